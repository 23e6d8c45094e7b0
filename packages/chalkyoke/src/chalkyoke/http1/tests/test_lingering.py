"""Tests of the time for which a connection is read after its last answer."""

import asyncio

import pytest
from chalkyoke.http1.incoming import ServerLimits
from chalkyoke.http1.lingering import (
    DISCARDED_BYTES_PER_S,
    LINGER_S,
    MAX_LINGER_S,
    MAX_PATIENT_CONNECTIONS,
    MIN_READ_INTERVAL_S,
    STOP_LINGER_S,
    UPLOAD_LINGER_S,
    LingeringConnections,
    LingerTimes,
)
from chalkyoke.http1.server import ServerConnection

from tests import virtual

from .test_server import GOOD, Caller
from .transports import RecordingTransport

LIMITS = ServerLimits(body_bytes=1000, header_timeout_s=2.0)
PIECE_S = 0.5
REFUSED = {
    "declared": b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n",
    "chunks": b"PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nf4240\r\n"
    + b"x" * 1001,
    "expect": b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n"
    b"Expect: 100-continue\r\n\r\n",
}


def test_the_rest_of_a_request_is_waited_for_between_its_pieces_and_not_for_ever():
    times = LingerTimes(10.0, None)
    assert times.closes_at == 10.0 + UPLOAD_LINGER_S
    now = 10.0
    while times.closes_at > now and now < 100.0:
        now += UPLOAD_LINGER_S / 2
        times.on_input(1, now)
    assert times.closes_at == 10.0 + MAX_LINGER_S


def test_a_request_that_has_come_whole_is_not_waited_for():
    times = LingerTimes(10.0, 100)
    times.on_input(99, 11.0)
    assert times.unfinished and times.closes_at == 11.0 + UPLOAD_LINGER_S
    times.on_input(1, 12.0)
    assert not times.unfinished and times.closes_at == 12.0 + LINGER_S


def test_a_planned_stop_bounds_the_time_once():
    times = LingerTimes(10.0, None)
    times.on_input(1, 20.0)
    times.stop(20.0)
    assert times.closes_at == 20.0 + LINGER_S
    for now in (21.0, 22.0, 22.9):
        times.on_input(1, now)
        times.stop(now)
    assert times.closes_at == 20.0 + STOP_LINGER_S


@pytest.mark.parametrize("name", REFUSED)
def test_an_upload_is_read_on_behind_its_refusal_until_its_caller_closes(name):
    """Guards against a close that reset the connection while the caller still sent its body."""

    async def check():
        caller = Caller(LIMITS)
        await caller.send(REFUSED[name])
        assert caller.transport.written.startswith(b"HTTP/1.1 413 ") and caller.transport.ended
        assert caller.transport.written.count(b"HTTP/1.1 ") == 1
        for _ in range(10):
            await asyncio.sleep(PIECE_S)
            assert caller.transport.reading and not caller.transport.closed
            await caller.send(b"x" * 1000)
        assert not caller.connection.eof_received()
        assert caller.requests == []

    virtual.run(check)


def test_an_upload_without_end_is_closed():
    async def check():
        ended = []
        caller = Caller(LIMITS)
        caller.connection._lingering.on_answer_lost = ended.append
        began = asyncio.get_running_loop().time()
        await caller.send(REFUSED["chunks"])
        while not caller.transport.closed:
            await caller.send(b"x" * 1000)
            await asyncio.sleep(PIECE_S)
        took_s = asyncio.get_running_loop().time() - began
        assert MAX_LINGER_S <= took_s <= MAX_LINGER_S + PIECE_S
        assert [each.cause for each in ended] == ["time"]

    virtual.run(check)


def test_what_comes_behind_the_last_answer_is_read():
    """Guards against a reset of callers that send requests behind one that closes."""

    async def check():
        caller = Caller(LIMITS)
        await caller.send(GOOD[:-2] + b"Connection: close\r\n\r\n")
        await caller.answer(0)
        assert caller.transport.ended
        for _ in range(4):
            await caller.send(GOOD)
            await asyncio.sleep(LINGER_S * 0.75)
            assert caller.transport.reading and not caller.transport.closed
        await asyncio.sleep(LINGER_S * 0.5)
        assert caller.transport.closed and len(caller.requests) == 1

    virtual.run(check)


def test_a_planned_stop_closes_a_connection_whose_caller_sends_on():
    """Guards against a stop that lasts as long as an upload without end."""

    async def check():
        caller = Caller(LIMITS)
        await caller.send(REFUSED["chunks"])
        await asyncio.sleep(PIECE_S)
        for _ in range(int(STOP_LINGER_S / PIECE_S)):
            caller.connection.close_gracefully()
            assert not caller.transport.closed
            await caller.send(b"x" * 1000)
            await asyncio.sleep(PIECE_S)
        assert caller.transport.closed

    virtual.run(check)


def test_discarded_input_is_bounded_over_all_connections():
    """Guards against refused uploads that keep the loop from other callers."""

    async def check():
        lingering = LingeringConnections()
        connections = [_refused_connection(lingering) for _ in range(MAX_PATIENT_CONNECTIONS + 1)]
        assert lingering.count == len(connections)
        size = 262_144
        connection, transport = connections[0]
        connection.data_received(b"x" * size)
        assert not transport.reading
        pause_s = size * len(connections) / DISCARDED_BYTES_PER_S
        assert pause_s > MIN_READ_INTERVAL_S
        await asyncio.sleep(pause_s * 0.9)
        assert not transport.reading
        await asyncio.sleep(pause_s * 0.2)
        assert transport.reading
        await asyncio.sleep(LINGER_S + 0.1)
        assert [each.closed for _, each in connections] == [False] * (len(connections) - 1) + [True]
        for each, _ in connections:
            each.connection_lost(None)
        assert lingering.count == 0

    virtual.run(check)


def _refused_connection(lingering):
    connection = ServerConnection(
        lambda *_: None, lambda: LIMITS, set(), lambda: None, None, lingering
    )
    transport = RecordingTransport()
    connection.connection_made(transport)
    connection.data_received(REFUSED["declared"])
    return connection, transport
