"""Input that is paused for lack of memory, and requests that are refused meanwhile."""

import asyncio

from chalkyoke.http1.incoming import ServerLimits
from chalkyoke.http1.memory import GRANT_INTERVAL_S, CallerMemory
from chalkyoke.http1.messages import AnswerHead
from chalkyoke.memory.account import MIN_SHARE_BYTES, MemoryAccount, Purpose

from .test_server import Caller, run, settle

LIMIT = 10_000_000
LIMITS = ServerLimits(header_bytes=16_384, body_bytes=4_194_304)
CHUNKED = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
TINY = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


def test_a_small_body_that_ends_while_it_waits_for_room_does_not_stop_the_connection():
    """The connection was never read again, and its next request had no answer."""

    async def check():
        memory = CallerMemory(MemoryAccount(LIMIT))
        others = memory.account.open(Purpose.BODIES_KEPT)
        caller = Caller(LIMITS, memory)
        others.resize(LIMIT * 78 // 100)
        await caller.send(CHUNKED + b"1\r\nx\r\n0\r\n\r\n")
        await caller.answer(0)
        others.release()
        await asyncio.sleep(10 * GRANT_INTERVAL_S)
        assert caller.transport.reading
        await caller.send(TINY)
        assert len(caller.requests) == 2

    run(check)


def test_a_body_whose_end_comes_with_its_last_piece_does_not_stop_the_connection():
    """The connection was never read again, and its next request had no answer."""

    async def check():
        memory = CallerMemory(MemoryAccount(LIMIT))
        others = memory.account.open(Purpose.BODIES_KEPT)
        caller = Caller(LIMITS, memory)
        await caller.send(CHUNKED)
        others.resize(LIMIT * 78 // 100)
        size = MIN_SHARE_BYTES + 1
        await caller.send(b"%x\r\n" % size + b"x" * size + b"\r\n0\r\n\r\n")
        await caller.answer(0)
        others.release()
        await asyncio.sleep(10 * GRANT_INTERVAL_S)
        assert caller.transport.reading
        await caller.send(TINY)
        assert len(caller.requests) == 2

    run(check)


def test_a_refused_connect_is_answered_once_while_memory_is_exhausted():
    """Its head was charged after the refusal, and refused again after the end of the stream."""

    async def check():
        memory = CallerMemory(MemoryAccount(LIMIT))
        memory.account.open(Purpose.BODIES_KEPT).resize(LIMIT)
        caller = Caller(LIMITS, memory)
        await caller.send(b"CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n")
        await settle()
        assert caller.transport.written.count(b"HTTP/1.1 ") == 1
        assert caller.transport.written.startswith(b"HTTP/1.1 400 ")

    run(check)


def test_a_body_behind_the_last_answer_is_refunded_with_that_answer():
    """Its memory, and its place as the oldest body, were kept while the connection lingered."""

    async def check():
        memory = CallerMemory(MemoryAccount(LIMIT))
        caller = Caller(LIMITS, memory)
        await caller.send(TINY)
        caller.connection.close_gracefully()
        _, writer = caller.requests[0]
        writer.send_head(AnswerHead(200, b"OK", [], 2), b"ok")
        await caller.send(CHUNKED + b"20000\r\n" + b"x" * 0x18000)
        assert memory.account.total > 0x18000
        writer.finish()
        await settle()
        assert memory.account.total == 0

    run(check)


def test_an_interim_answer_is_not_written_into_the_answer_before():
    """Callers took it for a part of the body of that answer."""

    async def check():
        caller = Caller(LIMITS)
        await caller.send(TINY)
        _, writer = caller.requests[0]
        writer.send_head(AnswerHead(200, b"OK", [], 4), b"ab")
        await settle()
        await caller.send(
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n"
        )
        writer.send_body(b"cd")
        writer.finish()
        await settle()
        answer, _, interim = caller.transport.written.partition(b"abcd")
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert interim.startswith(b"HTTP/1.1 100 ")

    run(check)
