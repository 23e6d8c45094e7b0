"""Plays of requests at random over connections that share little memory."""

import asyncio
import random

import pytest
from chalkyoke.http1.incoming import ServerLimits
from chalkyoke.http1.lingering import LingeringConnections
from chalkyoke.http1.memory import CallerMemory
from chalkyoke.http1.messages import AnswerHead
from chalkyoke.http1.server import ServerConnection
from chalkyoke.memory.account import MemoryAccount, Purpose

from .test_server import Handler, run, settle
from .transports import RecordingTransport

LIMITS = ServerLimits(header_bytes=4_096, body_bytes=300_000)
LIMIT = 1_000_000
STEPS = 400
CALLERS = 6
# Longer than every time limit of a connection, in seconds.
END_S = 60.0


class StrictTransport(RecordingTransport):
    """Refuses what a socket would refuse, and delivers input only while it is read."""

    def __init__(self):
        super().__init__()
        self.late = []
        self.lost = False

    def write(self, data):
        if self.closed or self.ended:
            self.late.append(data)
        super().write(data)


class PlayCaller:
    def __init__(self, memory, lingering, connections):
        self.requests = []
        self.connection = ServerConnection(
            self._start, lambda: LIMITS, connections, memory=memory, lingering=lingering
        )
        self.transport = StrictTransport()
        self.connection.connection_made(self.transport)
        self.unsent = b""

    def _start(self, request, writer):
        self.requests.append((request, writer))
        return Handler()

    def deliver(self, size):
        if self.transport.closed or not self.transport.reading:
            return
        piece, self.unsent = self.unsent[:size], self.unsent[size:]
        if piece:
            self.connection.data_received(piece)

    def answer(self, count=1):
        for _, writer in self.requests:
            if not writer.finished and count and not self.transport.closed:
                writer.send_head(AnswerHead(200, b"OK", [], 2), b"ok")
                writer.finish()
                count -= 1

    @property
    def is_busy(self):
        answered = all(writer.finished for _, writer in self.requests)
        return not self.transport.closed and (bool(self.unsent) or not answered)

    def lose_if_closed(self):
        if self.transport.closed and not self.transport.lost:
            self.transport.lost = True
            self.connection.connection_lost(None)


def random_request(chance):
    name = chance.choice(["get", "get", "length", "chunks", "chunks", "chunks", "odd"])
    head = b"POST /a HTTP/1.1\r\nHost: h\r\n"
    size = int(chance.choice([1, 100, 5_000, 16_384, 20_000, 65_536, 90_000, 290_000]))
    if chance.random() < 0.1:
        head += b"Expect: 100-continue\r\n"
    if name == "get":
        return b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
    if name == "length":
        return head + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
    if name == "chunks":
        parts, left = [], size
        while left:
            part = min(left, chance.randint(1, 30_000))
            parts.append(b"%x\r\n%s\r\n" % (part, b"y" * part))
            left -= part
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + b"".join(parts) + b"0\r\n\r\n"
    return chance.choice(
        [
            b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
            b"GET http://u@h/ HTTP/1.1\r\nHost: h\r\n\r\n",
            b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
            b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\n" + b"z" * 400_000,
            b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"v" * 9_000 + b"\r\n\r\n",
        ]
    )


@pytest.mark.parametrize("seed", range(24))
def test_whatever_callers_do_memory_is_refunded_and_connections_do_not_hang(seed):
    """Guards against leaked charges, grants that nobody resumes and answers after the last one."""

    async def check():
        chance = random.Random(seed)
        account = MemoryAccount(LIMIT)
        memory, lingering, connections = CallerMemory(account), LingeringConnections(), set()
        others = account.open(Purpose.BODIES_KEPT)
        callers = [PlayCaller(memory, lingering, connections) for _ in range(CALLERS)]
        everyone = list(callers)
        for _ in range(STEPS):
            number = chance.randrange(CALLERS)
            caller, act = callers[number], chance.random()
            if caller.transport.lost:
                callers[number] = PlayCaller(memory, lingering, connections)
                everyone.append(callers[number])
            elif act < 0.3:
                caller.unsent += random_request(chance)
            elif act < 0.7:
                caller.deliver(chance.choice([10, 1_000, 20_000, 70_000, 262_144]))
            elif act < 0.8:
                caller.answer(chance.randint(1, 20))
            elif act < 0.84:
                others.resize(chance.choice([0, 0, 400_000, 780_000, 950_000, 1_000_000]))
            elif act < 0.86:
                caller.connection.refuse_unread(1.0)
            elif act < 0.88:
                caller.connection.close_gracefully()
            elif act < 0.9:
                caller.transport.close()
            else:
                await asyncio.sleep(chance.choice([0.01, 0.05, 1.0]))
            await settle()
            for each in everyone:
                each.lose_if_closed()
        others.resize(0)
        # All that callers still have is sent and answered, or the connection closes.
        open_callers = [each for each in everyone if not each.transport.lost]
        for _ in range(600):
            busy = [each for each in open_callers if each.is_busy]
            if not busy:
                break
            for each in busy:
                each.deliver(65_536)
                await settle()
                each.answer(1)
                await settle()
                each.lose_if_closed()
            await asyncio.sleep(0.01)
        for each in open_callers:
            assert each.transport.closed or not each.unsent, "not read"
            refused = each.transport.ended
            done = all(writer.finished for _, writer in each.requests)
            assert each.transport.closed or refused or done, "not answered"
            assert each.transport.closed or refused or each.connection.idle
        assert not memory.grants.waiting
        await asyncio.sleep(END_S)
        for each in everyone:
            each.lose_if_closed()
            assert each.transport.lost, "still open"
            assert not each.transport.late, "written after the end"
        assert (account.total, connections, lingering.count) == (0, set(), 0)
        assert not any(account.by_purpose.values())

    run(check)
