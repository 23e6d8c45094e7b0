import asyncio

import pytest
from chalkyoke.http1.calls import MAX_BODY_BYTES, CallAnswer, CallFailed, HttpClient
from chalkyoke.http1.client import BreakReason
from chalkyoke.http1.pool import ConnectionPool

from tests import virtual

from .transports import RecordingTransport

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ClosingTransport(RecordingTransport):
    """Reports its end to its connection, as the event loop does."""

    def close(self):
        if not self.closed:
            asyncio.get_running_loop().call_soon(self.connection.connection_lost, None)
        super().close()

    def abort(self):
        self.close()
        super().abort()


class Server:
    """Opens connections that answer each call, unless they were to be silent."""

    def __init__(self):
        self.opened = []
        self.next_is_silent = False

    async def create_connection(self, factory, ip, port):
        connection, transport = factory(), ClosingTransport()
        transport.connection = connection
        connection.connection_made(transport)
        self.opened.append(connection)
        is_silent = self.next_is_silent
        transport.write = lambda data: None if is_silent else self.answer(connection, data)
        return transport, connection

    def answer(self, connection, data):
        asyncio.get_running_loop().call_soon(connection.data_received, ANSWER)


def run_calls(server, check):
    """Run a check with a client of a server, in virtual time."""

    async def main():
        asyncio.get_running_loop().create_connection = server.create_connection
        await check(HttpClient(ConnectionPool(), "127.0.0.1:1"))

    virtual.run(main)


def test_call_after_a_timeout_opens_a_new_connection():
    server = Server()

    async def check(client):
        async def call():
            return await client.call(b"GET", b"/", None, 1.0)

        whole = CallAnswer(200, b"ok", [(b"Content-Length", b"2")])
        assert await asyncio.gather(call(), call(), call()) == [whole] * 3
        server.next_is_silent = True
        assert await call() == CallFailed("timed out", sent=True)
        server.next_is_silent = False
        assert await call() == whole
        assert len(server.opened) == 5

    run_calls(server, check)


PAIRS = 100
WORK_S = 0.05
# Times between an answer and its copy; the next call is sent 0.04 s after the answer.
NEXT_CALL_S = 0.04
COPIES_S = {"while the connection is idle": 0.02, "while the next call waits": 0.06}


class RepeatingServer(Server):
    """Answers each call with its target, and every other one once more, late."""

    def __init__(self, copy_s):
        super().__init__()
        self._copy_s = copy_s
        self._calls = 0

    def answer(self, connection, data):
        target = data.split(b" ")[1]
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(target), target)
        self._calls += 1
        is_first = self._calls % 2 == 1
        self.send_later(connection, answer, 0.0 if is_first else WORK_S)
        if is_first:
            self.send_later(connection, answer, self._copy_s)

    def send_later(self, connection, answer, delay_s):
        def send():
            if not connection.transport.closed:
                connection.data_received(answer)

        asyncio.get_running_loop().call_later(delay_s, send)


# Guards against a late copy of one call's answer that was believed for the next call, so that a
# write counted as done, or a lease as granted, by the answer to another call.
@pytest.mark.parametrize("copy_s", COPIES_S.values(), ids=COPIES_S)
def test_no_call_gets_the_answer_to_another_one(copy_s):
    server = RepeatingServer(copy_s)

    async def check(client):
        for number in range(PAIRS):
            for target in (b"/%d/first" % number, b"/%d/second" % number):
                answer = await client.call(b"GET", target, None, 1.0)
                assert answer.body == target
                await asyncio.sleep(NEXT_CALL_S)

    run_calls(server, check)


PART_BYTES = 262_144
ENDLESS_HEADS = {
    "until close": b"HTTP/1.1 200 OK\r\n\r\n",
    "declared": b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
}


class EndlessServer(Server):
    """Answers each call with a body without end, until its connection is closed.

    :ivar sent_bytes: bytes of bodies that were sent.
    """

    def __init__(self, head):
        super().__init__()
        self.sent_bytes = 0
        self._head = head

    async def create_connection(self, factory, ip, port):
        connection, transport = factory(), RecordingTransport()
        connection.connection_made(transport)
        self.opened.append(connection)
        loop = asyncio.get_running_loop()

        def go_on():
            if not transport.closed:
                connection.data_received(b"z" * PART_BYTES)
                self.sent_bytes += PART_BYTES
                loop.call_later(0.02, go_on)

        def answer(_):
            connection.data_received(self._head)
            loop.call_soon(go_on)

        transport.write = answer
        return transport, connection


@pytest.mark.parametrize("head", ENDLESS_HEADS.values(), ids=ENDLESS_HEADS)
def test_an_answer_whose_body_has_no_end_fails_the_call_at_its_limit(head):
    """Guards against a store's answer without end that is collected until the call's timeout."""

    async def main():
        server, pool = EndlessServer(head), ConnectionPool()
        asyncio.get_running_loop().create_connection = server.create_connection
        caller = HttpClient(pool, "127.0.0.1:1")
        answer = await caller.call(b"GET", b"/", None, 20.0)
        assert answer == CallFailed(BreakReason.OVERSIZED, sent=True)
        await asyncio.sleep(1.0)
        assert server.opened[0].transport.closed
        assert server.sent_bytes <= MAX_BODY_BYTES + 3 * PART_BYTES
        await caller.call(b"GET", b"/", None, 20.0)
        assert len(server.opened) == 2

    virtual.run(main)
