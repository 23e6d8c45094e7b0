"""Answers that end with their head: those to HEAD, and those whose status allows no body."""

import asyncio

import pytest
from chalkyoke.http1.client import BreakReason, ClientConnection

from .test_client import RecordingSink, match_own
from .transports import RecordingTransport

FRAMINGS = {
    "a length": (b"Content-Length: 5\r\n", 5),
    "a length of 0": (b"Content-Length: 0\r\n", 0),
    "chunks": (b"Transfer-Encoding: chunked\r\n", None),
    "neither": (b"", None),
}
INTERIM = b"HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n"
OTHER = b"HTTP/1.1 404 Not Found\r\nId: other\r\nContent-Length: 0\r\n\r\n"


def encode_head(status, framing):
    return b"HTTP/1.1 %d Reason\r\nId: mine\r\n%b\r\n" % (status, FRAMINGS[framing][0])


def receive(*pieces, bodiless=True, error=None, closes=False):
    async def main():
        connection, transport, sink = ClientConnection(), RecordingTransport(), RecordingSink()
        connection.connection_made(transport)
        connection.send(b"HEAD", sink, match_own, request_id="mine", bodiless=bodiless)
        for piece in pieces:
            if not transport.closed:
                connection.data_received(piece)
        if closes:
            connection.connection_lost(error)
        return connection, sink

    return asyncio.run(main())


def in_pieces(data, size):
    return [data[start : start + size] for start in range(0, len(data), size)]


# Guards against an answer to HEAD that waits for the body whose length it states.
@pytest.mark.parametrize("piece_bytes", [1, 1_000])
@pytest.mark.parametrize("before", [b"", INTERIM, OTHER], ids=["alone", "interim", "other"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", [200, 404, 500])
def test_an_answer_to_head_ends_with_its_head(status, framing, before, piece_bytes):
    data = before + encode_head(status, framing)
    connection, sink = receive(*in_pieces(data, piece_bytes))
    assert (sink.head.status, sink.body, sink.ended, sink.broken) == (status, b"", 1, [])
    assert (sink.head.length, sink.head.has_body) == (FRAMINGS[framing][1], False)
    assert not connection.reusable


@pytest.mark.parametrize("error", [None, ConnectionResetError()], ids=["close", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_an_answer_to_head_that_is_cut_in_its_head_is_broken(framing, error):
    data = encode_head(200, framing)
    for cut in range(len(data)):
        _, sink = receive(data[:cut], error=error, closes=True)
        how = BreakReason.RESET if error else BreakReason.CLOSED
        assert (sink.head, sink.ended, sink.broken) == (None, 0, [how])
    _, sink = receive(data, error=error, closes=True)
    assert (sink.ended, sink.broken) == (1, [])


@pytest.mark.parametrize("piece_bytes", [1, 1_000])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_body_behind_an_answer_to_head_is_no_part_of_it(framing, piece_bytes):
    data = encode_head(200, framing) + b"hello"
    connection, sink = receive(*in_pieces(data, piece_bytes))
    assert (sink.body, sink.ended, sink.broken) == (b"", 1, [])
    assert not connection.reusable


@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_an_answer_whose_status_allows_no_body_ends_with_its_head(framing, status):
    connection, sink = receive(encode_head(status, framing), bodiless=False)
    assert (sink.head.status, sink.ended, sink.broken) == (status, 1, [])
    stated = FRAMINGS[framing][1] if status == 304 else None
    assert (sink.head.length, sink.head.has_body) == (stated, False)
    assert connection.reusable


def test_a_cancelled_request_gets_no_end_of_its_answer():
    """Guards against an end that is reported after the sink has given the request up."""

    class CancellingSink(RecordingSink):
        def answer_head(self, head):
            super().answer_head(head)
            self.connection.cancel()

    async def main():
        connection, sink = ClientConnection(), CancellingSink()
        sink.connection = connection
        connection.connection_made(RecordingTransport())
        connection.send(b"HEAD", sink, match_own, request_id="mine", bodiless=True)
        connection.data_received(encode_head(200, "a length"))
        assert (sink.head.status, sink.ended, sink.broken) == (200, 0, [])

    asyncio.run(main())
