"""
chalkyoke.upstreams.tests.test_odd_answers

Answers of upstreams that are no whole answer in the body's own bytes.
"""

import asyncio

import pytest
from chalkyoke.upstreams.client import UpstreamClient, make_session
from chalkyoke.upstreams.messages import Declined, NoAnswer, Opened

from .cuttingupstream import CuttingUpstream

OK = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 5\r\n"
CHUNKS = b"\r\n5\r\nhello\r\n0\r\n\r\n"


def post(answer):
    """Post one request, and return its outcome and the head of the request."""

    async def main():
        async with CuttingUpstream() as upstream, make_session() as session:
            upstream.answers["/run"] = [answer]
            client = UpstreamClient(session)
            outcome = await client.post(upstream.address, "/run", b"b", {}, gate=lambda: True)
            if isinstance(outcome, Opened):
                outcome = outcome.response.status, await outcome.response.read()
            return outcome, upstream.requests[0]

    return asyncio.run(main())


# Guards against a switch to a protocol that nobody asked for, relayed as an empty answer.
@pytest.mark.parametrize("fields", [b"", b"Connection: Upgrade\r\nUpgrade: h2c\r\n", LENGTH])
def test_a_switch_of_protocols_is_no_answer(fields):
    outcome, _ = post(b"HTTP/1.1 101 Switching Protocols\r\n" + fields + b"\r\n")
    assert isinstance(outcome, NoAnswer)


# Guards against a status outside of 100 to 599 that a caller gets.
@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
def test_an_answer_without_a_valid_status_is_not_passed_on(status):
    outcome, _ = post(b"HTTP/1.1 %b Odd\r\n" % status + LENGTH + b"\r\nhello")
    assert isinstance(outcome, NoAnswer | Declined)


# Guards against coded bytes that a caller gets as the body.
@pytest.mark.parametrize(
    "coding", [b"gzip, chunked", b"chunked, gzip", b"gzip", b"identity", b"", b"chunked, chunked"]
)
def test_a_transfer_coding_other_than_chunks_is_no_answer(coding):
    outcome, _ = post(OK + b"Transfer-Encoding: %b\r\n" % coding + CHUNKS)
    assert isinstance(outcome, NoAnswer)


@pytest.mark.parametrize(
    "coding", [b"gzip", b"deflate", b"br", b"gzip, identity", b"identity, gzip"]
)
def test_a_content_coding_is_no_answer(coding):
    outcome, request = post(OK + LENGTH + b"Content-Encoding: %b\r\n\r\nhello" % coding)
    assert isinstance(outcome, NoAnswer)
    assert b"accept-encoding: identity\r\n" in request.lower()


@pytest.mark.parametrize("fields", [LENGTH, LENGTH + b"Content-Encoding: identity\r\n"])
def test_an_answer_without_a_coding_is_whole(fields):
    assert post(OK + fields + b"\r\nhello")[0] == (200, b"hello")


def test_an_answer_in_chunks_is_whole():
    assert post(OK + b"Transfer-Encoding: Chunked\r\n" + CHUNKS)[0] == (200, b"hello")


# Guards against two lengths of one body, of which the shorter one would cut it.
@pytest.mark.parametrize(
    "fields",
    [LENGTH + LENGTH, LENGTH + b"Content-Length: 4\r\n", b"Content-Length: 5, 4\r\n"],
)
def test_lengths_that_contradict_each_other_are_no_answer(fields):
    outcome, _ = post(OK + fields + b"\r\nhello")
    assert isinstance(outcome, NoAnswer)


# Guards against a call that ends in an unexpected exception, over bytes that are no text.
@pytest.mark.parametrize("reason", [b"\xff\xfe", b"caf\xe9", "\u00e9".encode()])
def test_an_answer_whose_reason_is_no_text_is_whole(reason):
    answer = b"HTTP/1.1 200 %b\r\n" % reason + LENGTH + b"X: \xff\r\n\r\nhello"
    assert post(answer)[0] == (200, b"hello")
