"""Interim answers, which an upstream may send before the answer to a request."""

import asyncio

import pytest
from chalkyoke.http1.client import MAX_INTERIM_ANSWERS, BreakReason, ClientConnection

from .test_client import OWN_ANSWER, RecordingSink, exchange, match_own
from .transports import RecordingTransport

INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
PIECE_BYTES = 65_536
# Answers that may be parsed beyond the limit: those in the bytes that are parsed at once.
SLACK_ANSWERS = 4_096 // len(INTERIM) + 1


def test_some_interim_answers_are_skipped():
    _, _, sink = exchange(INTERIM * MAX_INTERIM_ANSWERS, OWN_ANSWER)
    assert (sink.body, sink.ended, sink.broken) == (b"ok", 1, [])


@pytest.mark.parametrize("piece_bytes", [100, PIECE_BYTES])
def test_interim_answers_without_end_stand_no_host_still(piece_bytes):
    """Guards against other requests refused while a host parsed 37,000 interim answers to each."""

    async def main():
        connection, transport, sink = ClientConnection(), RecordingTransport(), RecordingSink()
        connection.connection_made(transport)
        connection.send(b"GET", sink, match_own)
        parsed = 0
        begin = connection.on_message_begin

        def count():
            nonlocal parsed
            parsed += 1
            begin()

        connection.on_message_begin = count
        connection._parser = type(connection._parser)(connection)
        data = INTERIM * 40_000
        for at in range(0, len(data), piece_bytes):
            if transport.closed:
                break
            connection.data_received(data[at : at + piece_bytes])
        assert sink.broken == [BreakReason.OVERSIZED] and transport.aborted
        assert parsed <= MAX_INTERIM_ANSWERS + SLACK_ANSWERS

    asyncio.run(main())


def test_the_limit_counts_for_one_request():
    """Guards against a limit that fills up over the requests of a kept connection."""

    async def main():
        connection = ClientConnection()
        connection.connection_made(RecordingTransport())
        for number in range(4):
            sink = RecordingSink()
            connection.send(b"GET", sink, match_own, request_id=f"{number}")
            connection.data_received(INTERIM * MAX_INTERIM_ANSWERS + OWN_ANSWER)
            assert (sink.ended, sink.broken) == (1, [])
        assert connection.reusable

    asyncio.run(main())
