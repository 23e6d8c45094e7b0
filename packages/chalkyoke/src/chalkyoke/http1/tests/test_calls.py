import asyncio

import pytest
from chalkyoke.http1.calls import MAX_BODY_BYTES, CallAnswer, CallFailed, HttpClient
from chalkyoke.http1.client import BreakReason
from chalkyoke.http1.pool import ConnectionPool

from tests import virtual

from .transports import RecordingTransport

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Opens connections that answer each call until they are listed in ``silent``."""

    def __init__(self):
        self.opened = []
        self.silent = set()

    async def create_connection(self, factory, ip, port):
        connection, transport = factory(), RecordingTransport()
        connection.connection_made(transport)
        self.opened.append(connection)
        write = transport.write

        def answer(data):
            write(data)
            if connection not in self.silent:
                asyncio.get_running_loop().call_soon(connection.data_received, ANSWER)

        transport.write = answer
        return transport, connection


def test_call_after_a_timeout_opens_a_new_connection():
    async def main():
        server, pool = Server(), ConnectionPool()
        asyncio.get_running_loop().create_connection = server.create_connection
        caller = HttpClient(pool, "127.0.0.1:1")

        async def call():
            return await caller.call(b"GET", b"/", None, 1.0)

        whole = CallAnswer(200, b"ok", [(b"Content-Length", b"2")])
        assert await asyncio.gather(call(), call(), call()) == [whole] * 3
        server.silent = set(server.opened)
        assert await call() == CallFailed("timed out", sent=True)
        assert await call() == whole
        assert len(server.opened) == 4

    virtual.run(main)


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
