"""The memory of what callers send: bodies of unknown length, pipelined requests and heads."""

import asyncio
import tracemalloc

import pytest
from chalkyoke.http1.incoming import ServerLimits
from chalkyoke.http1.memory import GRANT_INTERVAL_S, CallerMemory
from chalkyoke.http1.server import (
    HEAD_PIECE_BYTES,
    MAX_PIPELINED_BYTES,
    MAX_PIPELINED_REQUESTS,
)
from chalkyoke.memory.account import MemoryAccount, Purpose
from chalkyoke.memory.bodygrants import MAX_WAIT_S

from .test_server import SMALL_CHUNKS_ITERATIONS, Caller, run, settle

LIMIT = 10_000_000
LIMITS = ServerLimits(header_bytes=16_384, body_bytes=4_194_304)
CHUNKED = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
TINY = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


def memory_of(limit, **more):
    return CallerMemory(MemoryAccount(limit), **more)


def chunk_of(body):
    return b"%x\r\n%s\r\n" % (len(body), body)


def test_an_upload_of_unknown_length_waits_for_room_and_arrives_whole():
    """It was refused in the middle as soon as the limit was reached."""

    async def check():
        memory = memory_of(LIMIT)
        others = memory.account.open(Purpose.BODIES_KEPT)
        caller = Caller(LIMITS, memory)
        body = bytes(range(256)) * 1_000
        await caller.send(CHUNKED)
        others.resize(LIMIT)
        await caller.send(chunk_of(body) + b"0\r\n\r\n" + TINY)
        assert not caller.transport.reading and caller.requests == []
        await asyncio.sleep(MAX_WAIT_S / 2)
        assert not caller.transport.reading and caller.transport.written == b""
        others.release()
        await asyncio.sleep(20 * GRANT_INTERVAL_S)
        assert caller.transport.reading
        assert caller.requests[0][0].body == body
        await caller.answer(0)
        await caller.answer(1)
        assert caller.transport.written.count(b"HTTP/1.1 200 ") == 2
        assert memory.account.total == 0

    run(check)


def test_an_upload_that_finds_no_room_for_too_long_is_answered_with_503():
    async def check():
        refused = []
        memory = memory_of(LIMIT, on_upload_refused=lambda: refused.append(1))
        others = memory.account.open(Purpose.BODIES_KEPT)
        caller = Caller(LIMITS, memory)
        await caller.send(CHUNKED)
        others.resize(LIMIT)
        await caller.send(chunk_of(b"x" * 100_000))
        await asyncio.sleep(MAX_WAIT_S + 2 * GRANT_INTERVAL_S)
        assert caller.transport.written.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 0.50" in caller.transport.written
        # What still comes is read and ignored.
        assert caller.transport.reading
        assert (caller.requests, refused, memory.account.total) == ([], [1], LIMIT)

    run(check)


def test_a_caller_that_leaves_while_its_upload_waits_refunds_it():
    async def check():
        memory = memory_of(LIMIT)
        others = memory.account.open(Purpose.BODIES_KEPT)
        caller = Caller(LIMITS, memory)
        await caller.send(CHUNKED)
        others.resize(LIMIT)
        await caller.send(chunk_of(b"x" * 100_000))
        caller.connection.connection_lost(None)
        assert memory.account.total == LIMIT and not memory.grants.waiting
        await settle()

    run(check)


def test_a_body_in_tiny_chunks_takes_hardly_more_memory_than_its_bytes():
    """Kept as a list of parts, each byte took some 40."""

    async def check():
        caller = Caller(LIMITS, memory_of(LIMIT))
        piece = chunk_of(b"x") * 5_000
        await caller.send(CHUNKED)
        tracemalloc.start()
        try:
            for _ in range(20):
                await caller.send(piece, SMALL_CHUNKS_ITERATIONS)
            held = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
        assert 100_000 <= held < 300_000

    run(check)


def test_pipelined_requests_wait_in_the_system_beyond_some_bytes():
    """Sixteen large requests of each connection together filled the host."""

    async def check():
        memory = memory_of(100 * LIMIT)
        caller = Caller(LIMITS, memory)
        request = b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n" + b"y" * 30_000
        for _ in range(8):
            if caller.transport.reading:
                await caller.send(request)
        assert not caller.transport.reading
        assert memory.account.by_purpose[Purpose.BODIES_KEPT] < 2 * MAX_PIPELINED_BYTES + 100_000
        for number in range(4):
            assert len(caller.requests) == number + 1
            await caller.answer(number)
            if caller.transport.reading:
                await caller.send(request)
        assert caller.transport.written.count(b"HTTP/1.1 200 ") == 4

    run(check)


def test_requests_that_come_in_one_read_wait_unparsed_beyond_the_bound():
    """All requests of one read were parsed: thousands of tiny ones, of some KB each."""

    async def check():
        memory = memory_of(LIMIT)
        caller = Caller(LIMITS, memory)
        await caller.send(TINY * 2_000)
        most = MAX_PIPELINED_REQUESTS + HEAD_PIECE_BYTES // len(TINY) + 1
        assert len(caller.connection._waiting_requests) <= most
        assert not caller.transport.reading
        for number in range(2_000):
            await caller.answer(number)
        assert len(caller.requests) == 2_000 and caller.transport.reading
        assert memory.account.total == 0

    run(check)


def test_heads_are_charged_with_what_their_headers_take():
    """A head of 16 KB in tiny headers takes half a megabyte, sixteen of each connection waited."""

    async def check():
        memory = memory_of(100 * LIMIT)
        caller = Caller(LIMITS, memory)
        request = b"GET /a HTTP/1.1\r\nHost: h\r\n" + b"ab:cd\r\n" * 1_500 + b"\r\n"
        tracemalloc.start()
        try:
            await caller.send(request * 16)
            held = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
        assert len(caller.connection._waiting_requests) <= 2
        assert memory.account.total >= 0.7 * held
        for number in range(16):
            await caller.answer(number)
        assert len(caller.requests) == 16 and memory.account.total == 0

    run(check)


def test_a_long_head_without_end_is_refused_when_room_is_short_and_a_short_one_is_read():
    async def check():
        refused = []
        memory = memory_of(LIMIT, on_head_refused=lambda: refused.append(1))
        memory.account.open(Purpose.BODIES_KEPT).resize(LIMIT // 2)
        short, long = Caller(LIMITS, memory), Caller(LIMITS, memory)
        await short.send(TINY[:-2])
        await long.send(TINY[:-2] + b"ab:cd\r\n" * 1_000)
        assert long.transport.written.startswith(b"HTTP/1.1 503 ") and refused == [1]
        await short.send(b"\r\n")
        assert len(short.requests) == 1
        short.connection.connection_lost(None)
        assert memory.account.total == LIMIT // 2

    run(check)


# Guards against bodies that wait for room, or for their turn to be parsed, in such numbers that
# what is held for them leaves no room for small requests.
@pytest.mark.parametrize("data", [chunk_of(b"x" * 65_536), chunk_of(b"x") * 5_000])
def test_bodies_that_wait_leave_room_for_small_requests(data):
    async def check():
        memory = memory_of(LIMIT)
        callers = [Caller(LIMITS, memory) for _ in range(400)]
        for caller in callers:
            caller.connection.data_received(CHUNKED)
            caller.connection.data_received(data)
        assert memory.account.admits(1, 0.0)
        await settle()
        refused = [each for each in callers if each.transport.written]
        assert 0 < len(refused) < len(callers)
        assert all(each.transport.written.startswith(b"HTTP/1.1 503 ") for each in refused)
        assert memory.account.admits(1, 0.0)

    run(check)
