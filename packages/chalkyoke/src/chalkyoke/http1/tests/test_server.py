import asyncio

import pytest
from chalkyoke.http1.messages import AnswerHead
from chalkyoke.http1.server import ServerConnection, ServerLimits

from tests import virtual

from .transports import RecordingTransport

LIMITS = ServerLimits(header_bytes=400, body_bytes=50, header_timeout_s=0.02, idle_timeout_s=5)
GOOD = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class Handler:
    def __init__(self):
        self.left = False
        self.readable = []

    def caller_left(self):
        self.left = True

    def caller_can_read(self, can_read):
        self.readable.append(can_read)


class Caller:
    """A caller on one connection; the test answers its recorded requests itself."""

    def __init__(self, limits=LIMITS):
        self.requests = []
        self.handlers = []
        self.connection = ServerConnection(self._start, lambda: limits, set())
        self.transport = RecordingTransport()
        self.connection.connection_made(self.transport)

    def _start(self, request, writer):
        self.requests.append((request, writer))
        self.handlers.append(Handler())
        return self.handlers[-1]

    async def send(self, data):
        self.connection.data_received(data)
        await settle()

    async def answer(self, number, body=b"ok", status=200):
        _, writer = self.requests[number]
        writer.send_head(AnswerHead(status, b"OK", [], len(body)), body)
        writer.finish()
        await settle()


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


def run(check):
    virtual.run(check)


POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"
HOSTILE = {
    "two lengths": (
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        400,
    ),
    "length and chunks": (
        POST + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "chunks twice": (
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        400,
    ),
    "a space before the colon": (b"GET /a HTTP/1.1\r\nHost : h\r\n\r\n", 400),
    "a folded header": (b"GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", 400),
    "bare line feeds": (b"GET /a HTTP/1.1\nHost: h\n\n", 400),
    "two hosts": (b"GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400),
    "no host": (b"GET /a HTTP/1.1\r\n\r\n", 400),
    "no path": (b"GET * HTTP/1.1\r\nHost: h\r\n\r\n", 400),
    "no request": (b"\x16\x03\x01hello\r\n\r\n", 400),
    "a large head": (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 400 + b"\r\n\r\n", 431),
    "a head without an end": (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 500, 431),
    "a large body": (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 51\r\n\r\n", 413),
    "a large body in chunks": (
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n"
        + b"z" * 64
        + b"\r\n",
        413,
    ),
}


@pytest.mark.parametrize("name", HOSTILE)
def test_hostile_request_is_refused_and_never_reaches_a_handler(name):
    data, status = HOSTILE[name]

    async def check():
        caller = Caller()
        await caller.send(data)
        assert caller.transport.written.startswith(b"HTTP/1.1 %d " % status)
        assert b"Connection: close" in caller.transport.written
        assert caller.requests == []
        await caller.send(GOOD)
        assert caller.requests == []

    run(check)


@pytest.mark.parametrize("name", HOSTILE)
def test_hostile_request_is_refused_when_it_arrives_byte_by_byte(name):
    data, status = HOSTILE[name]

    async def check():
        caller = Caller()
        for index in range(len(data)):
            await caller.send(data[index : index + 1])
        assert caller.transport.written.startswith(b"HTTP/1.1 %d " % status)
        assert caller.requests == []

    run(check)


def test_slow_head_is_answered_with_408():
    async def check():
        caller = Caller()
        await caller.send(b"GET /a HTTP/1.1\r\nHo")
        while not caller.transport.written:
            await asyncio.sleep(0.005)
        assert caller.transport.written.startswith(b"HTTP/1.1 408 ")
        assert caller.requests == []

    run(check)


def test_pipelined_requests_are_answered_in_order():
    async def check():
        caller = Caller()
        await caller.send(GOOD + GOOD.replace(b"/a", b"/b"))
        assert [request.target for request, _ in caller.requests] == [b"/a"]
        await caller.answer(0, b"one")
        assert [request.target for request, _ in caller.requests] == [b"/a", b"/b"]
        await caller.answer(1, b"two")
        written = caller.transport.written
        assert written.index(b"one") < written.index(b"two")
        assert not caller.transport.closed

    run(check)


def test_target_and_body_are_preserved_byte_for_byte():
    async def check():
        caller = Caller()
        head = b"PUT /a%2Fb/../c?q=%20;x HTTP/1.1\r\nHost: h\r\n"
        head += b"X-Odd:  two  words \r\nTransfer-Encoding: chunked\r\n\r\n"
        await caller.send(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        request, _ = caller.requests[0]
        assert (request.method, request.target) == (b"PUT", b"/a%2Fb/../c?q=%20;x")
        assert request.body == b"abcde"

    run(check)


def test_answer_shorter_than_its_length_aborts_the_connection():
    async def check():
        caller = Caller()
        await caller.send(GOOD)
        _, writer = caller.requests[0]
        writer.send_head(AnswerHead(200, b"OK", [], 10), b"half")
        writer.finish()
        await settle()
        assert caller.transport.aborted

    run(check)


def test_aborted_chunked_answer_has_no_last_chunk():
    async def check():
        caller = Caller()
        await caller.send(GOOD)
        _, writer = caller.requests[0]
        writer.send_head(AnswerHead(200, b"OK", [], None), b"half")
        await settle()
        writer.abort()
        assert b"Transfer-Encoding: chunked" in caller.transport.written
        assert not caller.transport.written.endswith(b"0\r\n\r\n")
        assert caller.transport.aborted

    run(check)


def test_handler_is_notified_when_its_caller_disconnects():
    async def check():
        caller = Caller()
        await caller.send(GOOD)
        caller.connection.connection_lost(None)
        assert caller.handlers[0].left

    run(check)


def test_handler_is_paused_while_its_caller_reads_too_slowly():
    async def check():
        caller = Caller()
        await caller.send(GOOD)
        caller.connection.pause_writing()
        caller.connection.resume_writing()
        assert caller.handlers[0].readable == [False, True]

    run(check)


def test_planned_stop_announces_the_close_in_the_answer():
    async def check():
        caller = Caller()
        await caller.send(GOOD)
        caller.connection.close_gracefully()
        assert not caller.transport.closed
        await caller.answer(0)
        assert b"Connection: close" in caller.transport.written
        assert caller.transport.ended and not caller.transport.aborted

    run(check)


def test_planned_stop_answers_a_partly_received_request():
    async def check():
        caller = Caller()
        await caller.send(GOOD)
        await caller.answer(0)
        await caller.send(GOOD[:10])
        caller.connection.close_gracefully()
        assert not caller.transport.closed
        await caller.send(GOOD[10:])
        await caller.answer(1)
        assert caller.transport.written.count(b"HTTP/1.1 200") == 2
        assert caller.transport.ended

    run(check)


def test_planned_stop_closes_an_idle_connection():
    async def check():
        caller = Caller()
        caller.connection.close_gracefully()
        assert caller.transport.closed

    run(check)
