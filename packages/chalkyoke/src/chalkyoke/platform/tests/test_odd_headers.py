"""Headers of callers and replicas as no program of ours writes them.

Guards against a header whose number raises where it is parsed, or where it is told to other nodes:
int() refuses 4,301 digits, and a message carries 64 bits.
"""

import math

import msgspec
import pytest
from chalkyoke.decoding.bounds import MAX_INTEGER
from chalkyoke.gateway.events import event_id, event_number
from chalkyoke.http1.messages import find_integer
from chalkyoke.platform.headers import PlatformHeaders
from hypothesis import given
from hypothesis import strategies as st

NAMES = (
    b"X-Request-Id",
    b"X-Deadline-Ms",
    b"X-Credential",
    b"X-Token-Count",
    b"X-Prefix-Hash",
    b"X-Length-Hint",
    b"Last-Event-Id",
    b"Resumes",
    b"X-Server-Load",
    b"Retry-After",
    b"Server-Limit",
    b"Server-Brittle",
    b"Server-Leaving",
    b"X-Server-Stamp",
    b"X-Not-Run",
    b"Keep-Alive",
)
LONG = [b"9" * digits for digits in (16, 20, 309, 400, 4300, 4301, 9000)]
values = st.one_of(
    st.binary(max_size=12),
    st.sampled_from([*LONG, b"\xb2", b"1e400", b"-1", b"0x1", b"1_0", b" 7 ", b"nan", b"inf"]),
    st.integers().map(lambda number: b"%d" % number),
    st.floats().map(lambda number: repr(number).encode()),
)
lists = st.lists(values, max_size=4).map(b",".join)
pairs = st.tuples(values, values).map(b":".join)
headers = st.lists(st.tuples(st.sampled_from(NAMES), st.one_of(values, lists, pairs)), max_size=6)


def assert_carried(fields):
    """Check that messages carry all numbers of a value, and that they are finite."""
    for value in msgspec.structs.astuple(fields):
        numbers = value if isinstance(value, tuple) else (value,)
        for each in numbers:
            if isinstance(each, msgspec.Struct):
                assert_carried(each)
            elif isinstance(each, float):
                assert math.isfinite(each) and each >= 0
            elif isinstance(each, int):
                assert 0 <= each < 2**64
    msgspec.msgpack.encode(fields)


@given(headers)
def test_headers_are_values_that_messages_carry(found):
    reader = PlatformHeaders()
    assert_carried(reader.read_request(found))
    assert_carried(reader.read_answer(found))
    assert 0 <= find_integer(found, b"x-length-hint", MAX_INTEGER) <= MAX_INTEGER


@pytest.mark.parametrize("value", LONG)
def test_a_number_too_long_counts_as_absent(value):
    request = PlatformHeaders().read_request(
        [
            (b"X-Deadline-Ms", value),
            (b"X-Length-Hint", value),
            (b"X-Token-Count", value + b"," + value),
            (b"X-Prefix-Hash", value + b"00:1"),
        ]
    )
    assert request.deadline_s is None and request.estimated_output_tokens == 0
    assert (request.prompt_tokens, request.max_output_tokens, request.parts) == (0, 0, ())
    answer = PlatformHeaders().read_answer([(b"X-Server-Load", value + b",0,4")])
    assert answer.load is None


def test_the_longest_numbers_are_kept():
    request = PlatformHeaders().read_request(
        [(b"X-Prefix-Hash", b"f" * 16 + b":3"), (b"X-Length-Hint", b"9" * 15)]
    )
    assert request.parts[0].id == 2**64 - 1
    assert request.estimated_output_tokens == 10**15 - 1


@given(st.binary())
def test_an_event_has_a_number_or_none(event):
    assert (event_id(event) or 0) >= 0
    assert event_number(event.decode("latin-1")) >= -1


def test_ids_of_events_are_whole_numbers():
    assert event_id(b"id: 1700000000000000001\ndata: x") == 1_700_000_000_000_000_001
    for text in (b"id: \xb2", b"id: -1", b"id: " + b"9" * 5000, b"id: 1.5"):
        assert event_id(text) is None
    assert event_number("\xb2") == event_number("9" * 5000) == -1
