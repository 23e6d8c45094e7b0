"""How an answer's end is found, and whether its connection can be used again."""

import pytest
from chalkyoke.http1.client import BreakReason

from .test_client import exchange

BODY = b"hello"


def encode(version, *headers, body=BODY):
    lines = [b"HTTP/%b 200 OK" % version, b"Id: mine", *headers, b"", body]
    return b"\r\n".join(lines)


LENGTH = b"Content-Length: 5"
CHUNKED = b"Transfer-Encoding: chunked"
CHUNKS = b"5\r\nhello\r\n0\r\n\r\n"


# Guards against a request over a connection that its upstream closes, or whose next answer the
# parser refuses.
@pytest.mark.parametrize(
    "answer",
    [
        encode(b"1.0", LENGTH),
        encode(b"1.0", b"Connection: keep-alive", LENGTH),
        encode(b"1.0", CHUNKED, body=CHUNKS),
        encode(b"1.1", b"Connection: close", LENGTH),
        encode(b"1.1", b"Connection: keep-alive, close", LENGTH),
    ],
)
def test_an_answer_after_which_the_connection_carries_no_other_request(answer):
    connection, transport, sink = exchange(answer)
    assert (sink.body, sink.ended, sink.broken) == (BODY, 1, [])
    assert not connection.reusable and transport.closed


@pytest.mark.parametrize("answer", [encode(b"1.1", LENGTH), encode(b"1.1", CHUNKED, body=CHUNKS)])
def test_an_answer_of_the_current_version_keeps_its_connection(answer):
    connection, transport, sink = exchange(answer)
    assert (sink.body, sink.ended, sink.broken) == (BODY, 1, [])
    assert connection.reusable and not transport.closed


# Guards against a coded body that reaches its caller without the header that names the coding.
@pytest.mark.parametrize(
    ("headers", "body"),
    [
        ((b"Transfer-Encoding: gzip, chunked",), CHUNKS),
        ((b"Transfer-Encoding: gzip", CHUNKED), CHUNKS),
        ((b"Transfer-Encoding: chunked, gzip",), CHUNKS),
        ((CHUNKED, CHUNKED), CHUNKS),
        ((b"Transfer-Encoding: gzip",), BODY),
        ((b"Transfer-Encoding: identity",), BODY),
        ((b"Transfer-Encoding: ",), CHUNKS),
    ],
)
def test_a_transfer_coding_other_than_chunks_breaks_the_exchange(headers, body):
    connection, transport, sink = exchange(encode(b"1.1", *headers, body=body))
    assert (sink.head, sink.ended, sink.broken) == (None, 0, [BreakReason.GARBLED])
    assert transport.aborted and not connection.reusable


@pytest.mark.parametrize(
    "headers",
    [
        (LENGTH, LENGTH),
        (LENGTH, b"Content-Length: 4"),
        (b"Content-Length: 4", LENGTH),
        (b"Content-Length: 5, 5",),
        (b"Content-Length: ",),
        (b"Content-Length: -5",),
        (b"Content-Length: +5",),
        (b"Content-Length: 0x5",),
        (b"Content-Length: 99999999999999999999",),
        (LENGTH, CHUNKED),
        (CHUNKED, LENGTH),
        (b"Content-Length : 5",),
        (b"Content-Length:\r\n 5",),
        (b"X: a\r\n b", LENGTH),
        (b"X: a\n" + LENGTH,),
        (b"Content-Len",),
    ],
)
def test_a_head_whose_framing_is_not_certain_breaks_the_exchange(headers):
    """Guards against a body that ends where only one reading of the head says so."""
    _, transport, sink = exchange(encode(b"1.1", *headers))
    assert (sink.head, sink.ended, sink.broken) == (None, 0, [BreakReason.GARBLED])
    assert transport.aborted
