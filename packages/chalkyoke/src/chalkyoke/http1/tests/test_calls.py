import asyncio

from chalkyoke.http1.calls import CallAnswer, CallFailed, HttpClient
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
