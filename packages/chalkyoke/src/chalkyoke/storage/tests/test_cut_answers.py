"""Answers of a key-value service that are cut off after any of their bytes, by a close or a reset.

Guards against a configuration that is read empty or in part, and against a write whose outcome the
service has not told.
"""

import asyncio

import pytest
from chalkyoke.administration.metrics import Metrics
from chalkyoke.configuration.publisher import (
    AnswerLost,
    Found,
    Get,
    Mismatch,
    Put,
    Unavailable,
    Written,
)
from chalkyoke.storage.keyvalue import INDEX_HEADER, StoreClient, make_session
from chalkyoke.upstreams.tests.cuttingupstream import CuttingUpstream

MAX_CALLS = 20
VALUE = bytes(range(20))
REASONS = {200: b"OK", 404: b"Not Found"}
# Each call, the status and body of its answer, and what the call returns for it whole and in part.
CALLS = {
    "value": (lambda key: Get(key), 200, VALUE, Found(VALUE, 7), Unavailable()),
    "empty value": (lambda key: Get(key), 200, b"", Found(b"", 7), Unavailable()),
    "no value": (lambda key: Get(key), 404, b"", Found(None, 0), Unavailable()),
    "written": (lambda key: Put(key, b"v", 3), 200, b"true", Written(7), AnswerLost()),
    "mismatch": (lambda key: Put(key, b"v", 3), 200, b"false", Mismatch(), AnswerLost()),
}
ends = pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])


def encode(status, body, framing):
    lines = [b"HTTP/1.1 %d %b" % (status, REASONS[status]), b"%b: 7" % INDEX_HEADER.encode()]
    if framing == "length":
        lines.append(b"Content-Length: %d" % len(body))
    elif framing == "chunks":
        lines.append(b"Transfer-Encoding: chunked")
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        body = chunk + b"0\r\n\r\n"
    return b"\r\n".join([*lines, b"", body])


def call_for_each(make_call, answers, resets):
    """Make a call for each answer, and return what the calls return."""

    async def main():
        at_once = asyncio.Semaphore(MAX_CALLS)

        async def call(number):
            async with at_once:
                return await client.execute(make_call(f"{number}"))

        async with CuttingUpstream() as store, make_session() as session:
            store.resets = resets
            client = StoreClient(session, f"http://{store.address}", Metrics())
            for number, data in enumerate(answers):
                for query in ("raw=", "cas=3"):
                    store.answers[f"/v1/kv/{number}?{query}"] = [data]
            return await asyncio.gather(*(call(number) for number in range(len(answers))))

    return asyncio.run(main())


@ends
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("name", CALLS)
def test_a_call_whose_answer_is_cut_after_any_byte_fails(name, framing, resets):
    make_call, status, body, whole, failed = CALLS[name]
    data = encode(status, body, framing)
    answers = [data[:cut] for cut in range(len(data) + 1)]
    *found, last = call_for_each(make_call, answers, resets)
    head_end = data.index(b"\r\n\r\n") + 4
    # The status alone tells that there is no value.
    told = status == 404
    for cut, each in enumerate(found):
        assert each == (whole if told and cut >= head_end else failed)
    assert last == whole


# Guards against a value that a reset has cut off.
@pytest.mark.parametrize("name", [each for each in CALLS if each != "no value"])
def test_a_reset_does_not_end_an_answer_that_ends_with_its_connection(name):
    make_call, status, body, whole, failed = CALLS[name]
    data = encode(status, body, "until close")
    answers = [data[:cut] for cut in range(len(data) + 1)]
    assert call_for_each(make_call, answers, resets=True) == [failed] * len(answers)
    assert call_for_each(make_call, [data], resets=False) == [whole]
