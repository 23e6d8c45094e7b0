"""
chalkyoke.upstreams.tests.test_cut_answers

Answers of upstreams that are cut off after any number of their bytes, by a close or a reset.
"""

import asyncio

import aiohttp
import pytest
from chalkyoke.upstreams.client import UpstreamClient, make_session
from chalkyoke.upstreams.messages import NoAnswer, NotConnected, Opened

from .cuttingupstream import CuttingUpstream

MAX_CALLS = 20
BODY = b"a body"
OK = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
OLD = b"HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n"
LENGTH = b"Content-Length: 6\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n2\r\na \r\n4;name=value\r\nbody\r\n0\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
# Answers, each with its status and body; None if it is not whole.
ANSWERS = {
    "length": (OK + LENGTH + b"\r\n" + BODY, 200, BODY),
    "length of 0": (OK + b"Content-Length: 0\r\n\r\n", 200, b""),
    "short of its length": (OK + b"Content-Length: 1234\r\n\r\n" + b"z" * 50, None, None),
    "chunks": (OK + CHUNKED + b"\r\n", 200, BODY),
    "trailers": (OK + CHUNKED + b"Name: value\r\n\r\n", 200, BODY),
    "interim": (INTERIM + OK + LENGTH + b"\r\n" + BODY, 200, BODY),
    "HTTP/1.0 length": (OLD + LENGTH + b"\r\n" + BODY, 200, BODY),
    "204": (b"HTTP/1.1 204 No Content\r\n\r\n", 204, b""),
    "404": (b"HTTP/1.1 404 Not Found\r\n" + LENGTH + b"\r\n" + BODY, 404, BODY),
}
# Sound answers that end with their connection, up to the end of their head.
UNFRAMED_HEADS = {
    "no framing": OK + b"\r\n",
    "HTTP/1.0": OLD + b"\r\n",
    "interim": INTERIM + OK + b"\r\n",
}
ends = pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])


async def read_answer(client, address, path):
    """Post a request, and return the status and body of its answer; None if it is not whole.

    On a loaded machine, opening a connection may take longer than it may; nothing is sent then.
    """
    outcome = NotConnected("")
    while isinstance(outcome, NotConnected):
        outcome = await client.post(address, path, b"body", {}, gate=lambda: True)
    if not isinstance(outcome, Opened):
        assert isinstance(outcome, NoAnswer)
        return None
    try:
        return outcome.response.status, await outcome.response.read()
    except (aiohttp.ClientError, OSError):
        return None
    finally:
        outcome.response.release()


def receive(answers, resets):
    """Return what a client reads of each answer; some calls run at once."""

    async def main():
        at_once = asyncio.Semaphore(MAX_CALLS)

        async def read(path):
            async with at_once:
                return await read_answer(client, upstream.address, path)

        async with CuttingUpstream() as upstream, make_session() as session:
            upstream.answers = {f"/{number}": [each] for number, each in enumerate(answers)}
            upstream.resets = resets
            client = UpstreamClient(session)
            return await asyncio.gather(*(read(path) for path in upstream.answers))

    return asyncio.run(main())


def cuts_of(data):
    return [data[:cut] for cut in range(len(data))]


# Guards against a part of an answer that is taken for the whole, as by a reader that ends a head, a
# length or a chunk where the connection ends.
@ends
@pytest.mark.parametrize("name", ANSWERS)
def test_an_answer_that_is_cut_after_any_byte_is_not_whole(name, resets):
    data, status, body = ANSWERS[name]
    *cut, whole = receive([*cuts_of(data), data], resets)
    assert set(cut) == {None}
    assert whole == (None if status is None else (status, body))


@ends
@pytest.mark.parametrize("name", UNFRAMED_HEADS)
def test_an_answer_that_ends_with_its_connection_and_is_cut_in_its_head_is_not_whole(name, resets):
    assert set(receive(cuts_of(UNFRAMED_HEADS[name]), resets)) == {None}


# Guards against an empty or short answer that reached its caller as a whole one.
@pytest.mark.parametrize("name", UNFRAMED_HEADS)
def test_a_reset_does_not_end_an_answer_that_ends_with_its_connection(name):
    answers = [UNFRAMED_HEADS[name] + BODY[:cut] for cut in range(len(BODY) + 1)]
    assert set(receive(answers, resets=True)) == {None}
    assert receive(answers, resets=False)[-1] == (200, BODY)
