"""
tests.test_odd_readers

Guards against a reader of bytes from elsewhere that raises: a value of another writer in the store
that was nested too deeply, or a host list, a load report or a caller's body, ended the loop that
read it, and the process with it, or got 500 where the caller was wrong.

The platform's documents, headers and frames have such tests beside them.
"""

import base64

import msgpack
import msgspec
import pytest
from chalkyoke.configuration.chunks import chunk_hash, merge_chunks, split_chunks
from chalkyoke.configuration.messages import Revision, Root
from chalkyoke.configuration.publisher import (
    CHUNK_PREFIX,
    MAX_SWAPS,
    ROOT_KEY,
    Accepted,
    Change,
    Found,
    Invalid,
    NotReached,
    Put,
    Written,
    decode_root,
    encode_root,
    publish_change,
)
from chalkyoke.configuration.resources import Route, Service, Team, read_document
from chalkyoke.configuration.state import ConfigurationState
from chalkyoke.discovery.host_list import read_hosts
from chalkyoke.entry.reception import ConfigurationLookup, read_completion
from chalkyoke.entry.streams import assemble_completion, read_usage
from chalkyoke.quotas.snapshots import FORMAT_VERSION, combine, read_values
from chalkyoke.quotas.window import WINDOW_PARTS
from chalkyoke.scheduling.messages import Acquire, Usage
from chalkyoke.tokens.codec import PREFIX, TokenCodec, request_id_of
from chalkyoke.tokens.messages import Token
from chalkyoke.upstreams.client import read_load
from chalkyokectl.limitstory import collect_limits, format_limits
from chalkyokectl.story import build_timeline, format_timeline, parse_log_lines
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from tests.odddata import (
    deep_msgpack,
    mutated_msgpack,
    nest,
    odd_json,
    odd_literals,
    odd_msgpack,
    odd_values,
)

DEEP = nest(100_000).encode()


def is_carried(message):
    """Return whether a message of the completions front arrives unchanged over a link."""
    packed = msgpack.packb(msgspec.to_builtins(message, builtin_types=(bytes,)))
    return msgspec.msgpack.decode(packed, type=type(message)) == message


# The completions front: hosts, load reports, bodies and answers.

HOSTS = {
    "version": 3,
    "hosts": [
        {"id": "h", "address": "10.0.0.1:80", "failure_domain": "a", "labels": {"hardware": "x"}}
    ],
}


@given(odd_json(HOSTS))
def test_a_host_list_is_an_error_or_can_be_told_to_peers(body):
    read = read_hosts(body)
    assert isinstance(read, Err) or is_carried(read.ok_value)


LOAD = {"running": 3, "waiting": 1, "age_s": 0.2, "draining": False, "cache_dropped": [5, 6]}


@given(odd_json(LOAD))
def test_a_load_report_is_an_error_or_can_be_told_to_peers(body):
    read = read_load("u", body)
    assert isinstance(read, Err) or all(is_carried(each) for each in read.ok_value)


@pytest.mark.parametrize("read", [read_hosts, lambda body: read_load("u", body), decode_root])
def test_deep_values_are_errors(read):
    assert isinstance(read(DEEP), Err)
    assert isinstance(read(b"\x91" * 100_000 + b"\xc0"), Err)


class Lookup(ConfigurationLookup):
    def service(self, name):
        return Service(name="chat", protocol="completions")

    def route(self, service, labels):
        return Route(name="all", service="chat")

    def tier_deadline_s(self, tier):
        return 30.0


TEAM = Team(name="clerks", tiers=["usual"])
BODY = {"model": "chat", "prompt": "a" * 40, "max_tokens": 16, "stream": True, "other": [1, {}]}


def read_body(body, headers=None):
    return read_completion(headers or {}, "/v1/completions", body, TEAM, Lookup())


@given(odd_json(BODY))
def test_a_callers_body_is_refused_or_can_be_sent_on(body):
    read = read_body(body)
    if isinstance(read, Err):
        assert read.err_value.status in (400, 413)
        return
    request = read.ok_value
    # The dispatcher decodes the body again, for the engine.
    assert msgspec.json.encode(msgspec.json.decode(request.body))
    assert is_carried(
        Acquire(
            "r",
            1,
            "p",
            "r",
            "t",
            "c",
            request.prompt_tokens,
            request.max_output,
            request.blocks,
            1.0,
            0.0,
        )
    )


@pytest.mark.parametrize(
    "body",
    [
        DEEP,
        b'{"model":"chat","prompt":"a","other":' + DEEP + b"}",
        b'{"model":"chat","prompt":"a","other":1e400}',
        b'{"model":"chat","prompt":"a","max_tokens":%d}' % 10**30,
        b"\xff",
    ],
)
def test_odd_bodies_get_400(body):
    assert read_body(body).err_value.status == 400
    assert isinstance(read_body(b'{"model":"chat","prompt":"a"}'), Ok)


@given(st.dictionaries(st.sampled_from(["x-deadline-ms", "x-labels", "x-tier"]), st.text()))
def test_odd_headers_of_callers_are_refused_or_read(headers):
    assert isinstance(read_body(b'{"model":"chat","prompt":"a"}', headers), Ok | Err)


EVENT = {
    "id": "c",
    "model": "m",
    "choices": [{"text": "a", "finish_reason": None, "delta": {"content": "b"}}],
    "usage": {
        "prompt_tokens": 3,
        "completion_tokens": 4,
        "prompt_tokens_details": {"cached_tokens": 1},
    },
}


@given(st.lists(odd_json(EVENT), max_size=3))
def test_an_engines_stream_is_an_answer_or_an_error(events):
    stream = b"".join(b"data: " + event + b"\n\n" for event in events) + b"data: [DONE]\n\n"
    usage = read_usage(stream)
    assert is_carried(Usage(usage.prompt_tokens, usage.cached_tokens, usage.output_tokens))
    assembled = assemble_completion(stream)
    assert isinstance(assembled, Err) or msgspec.json.decode(assembled.ok_value)["choices"]


# The completions front: the configuration in the store.

DOCUMENT = {
    "service": [{"name": "chat", "protocol": "completions"}],
    "tier": [{"name": "usual", "rank": 1}],
    "team": [{"name": "clerks", "tiers": ["usual"]}],
    "upstream_class": [{"name": "fast", "selector": {"hardware": "gen4"}, "slots": 4}],
    "route": [{"name": "all", "service": "chat"}],
}
SPECS = read_document(DOCUMENT).ok_value
CHUNKS = split_chunks(SPECS)
ROOT = Root(3, {}, (Revision(3, "c", "a", 5, ("service/chat.name",)),))


def make_root(chunks, revision=3):
    return msgspec.structs.replace(
        ROOT, revision=revision, chunks={name: chunk_hash(each) for name, each in chunks.items()}
    )


@given(odd_msgpack(msgspec.to_builtins(make_root(CHUNKS))))
def test_a_root_is_an_error_or_can_be_told_to_peers(value):
    read = decode_root(value)
    if isinstance(read, Ok):
        assert is_carried(read.ok_value)
        assert decode_root(encode_root(read.ok_value)) == read


chunk_lists = [msgpack.unpackb(each) for each in CHUNKS.values()]
odd_chunks = st.one_of(
    odd_msgpack(chunk_lists[0]),
    deep_msgpack,
    st.sampled_from(chunk_lists).flatmap(mutated_msgpack),
    st.tuples(odd_values, odd_values, odd_values).map(lambda entry: msgpack.packb([entry])),
)


@given(odd_chunks)
def test_odd_chunks_change_nothing(content):
    state = ConfigurationState()
    chunks = {**CHUNKS, "odd": content}
    root = make_root(chunks)
    fetched = {chunk_hash(each): each for each in chunks.values()}
    adopted = state.apply_root(root, fetched)
    if isinstance(adopted, Err):
        assert state.revision == 0 and state.specs == {}
    else:
        assert split_chunks(state.specs)
    sound = {chunk_hash(each): each for each in CHUNKS.values()}
    assert state.apply_root(make_root(CHUNKS, 4), sound) == Ok(True)


# Another writer's root under the number in force ended every host, as a broken invariant.
def test_a_root_with_the_number_in_force_and_another_content_is_an_error():
    state = ConfigurationState()
    sound = {chunk_hash(each): each for each in CHUNKS.values()}
    assert state.apply_root(make_root(CHUNKS), sound) == Ok(True)
    assert state.apply_root(make_root(CHUNKS), sound) == Ok(False)
    other = make_root({"service": CHUNKS["service"]})
    assert isinstance(state.apply_root(other, sound), Err)
    assert state.root == make_root(CHUNKS)


def publish(store, change):
    """Run the publication of a change on a store without faults."""
    program = publish_change(change, 0)
    call = next(program)
    try:
        for _ in range(MAX_SWAPS * 100):
            if isinstance(call, Put):
                store[call.key] = call.value
                call = program.send(Written(1))
            else:
                call = program.send(Found(store.get(call.key), 1))
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the program does not end")


@given(st.one_of(odd_msgpack(msgspec.to_builtins(make_root(CHUNKS))), odd_chunks))
def test_a_change_beside_an_odd_configuration_has_an_outcome(value):
    change = Change("c2", "a", None, SPECS)
    sound = {CHUNK_PREFIX + chunk_hash(each): each for each in CHUNKS.values()}
    outcome = publish({ROOT_KEY: value, **sound}, change)
    assert isinstance(outcome, Accepted | Invalid | NotReached)
    chunks = {**CHUNKS, "odd": value}
    keys = {CHUNK_PREFIX + chunk_hash(each): each for each in chunks.values()}
    outcome = publish({ROOT_KEY: encode_root(make_root(chunks)), **keys}, change)
    assert isinstance(outcome, Accepted | Invalid)


def test_numbers_that_no_chunk_carries_are_problems():
    for field, value in (("max_running", 2**64), ("weight", float("inf"))):
        document = {"team": [{"name": "clerks", "tiers": ["usual"], field: value}]}
        assert isinstance(read_document(document), Err), field
    assert isinstance(merge_chunks({"odd": msgpack.packb([[["a"], "b", {}]])}), Err)


# Tokens.

CODEC = TokenCodec(b"k" * 16)
TOKEN = Token("h", "10.0.0.1:80", 5, 6, 7)


@given(st.one_of(odd_msgpack(msgspec.to_builtins(TOKEN)), deep_msgpack))
def test_a_token_of_any_content_is_read_or_refused(body):
    signed = body + CODEC._mac(body)
    text = PREFIX + base64.urlsafe_b64encode(signed).rstrip(b"=").decode()
    assert isinstance(CODEC.decode(text), Ok | Err)
    assert isinstance(request_id_of(text), str)


@given(st.text())
def test_a_text_that_is_no_token_is_refused(text):
    assert isinstance(CODEC.decode(PREFIX + text), Err) and isinstance(CODEC.decode(text), Err)
    assert isinstance(request_id_of(PREFIX + text), str)


# Snapshots of quota windows.

SNAPSHOT = [FORMAT_VERSION, 1, [["clerks", 100.0, 1.0, [1] * WINDOW_PARTS]]]


@given(st.lists(odd_msgpack(SNAPSHOT), max_size=3))
def test_snapshots_of_other_writers_are_usable_or_counted_as_unreadable(values):
    read = read_values(values, 1)
    for snapshots in read.teams.values():
        found = combine(snapshots, 100.0, 100.0, 100.0)
        assert found is None or all(0 <= part <= 1e6 for part in found.bound)


def test_a_deep_snapshot_counts_as_unreadable():
    deep = msgpack.packb([FORMAT_VERSION, 1])[1:]
    values = [b"\x93" + deep + b"\x91" * 100_000, msgpack.packb(SNAPSHOT)]
    read = read_values(values, 1)
    assert not read.complete and list(read.teams) == ["clerks"]


# The command line of operators.

LINE = {
    "event": "replica_limit",
    "request": "r1",
    "at": "2026-01-01T00:00:00Z",
    "host": "n1",
    "replica": "m1",
    "age_s": 1.0,
    "share": 0.3,
    "suppressed": 2,
}


@given(st.lists(st.one_of(odd_json(LINE), odd_literals.map(str.encode)), max_size=4))
def test_log_lines_of_any_program_are_used_or_skipped(texts):
    lines = list(parse_log_lines(each.decode("latin-1") for each in texts))
    for line in (
        *format_timeline(build_timeline("r1", lines)),
        *format_limits(collect_limits(lines)),
    ):
        assert isinstance(line, str)
