"""
tests.test_closing_servers

Guards against requests on kept connections that cross the close at the end of a planned stop.
"""

import asyncio
import contextlib

from chalkyoke.node.servers import HttpServer
from chalkyoke_fakes.fleet import free_address

CLOSE = "connection: close"


class Application:
    """An ASGI application that answers once it is released."""

    def __init__(self):
        self.released = asyncio.Event()
        self.paths = []

    async def __call__(self, scope, receive, send):
        self.paths.append(scope["path"])
        await self.released.wait()
        headers = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body"})


class Connection:
    def __init__(self, reader, writer):
        self._reader, self._writer = reader, writer

    def send(self, path):
        self._writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())

    async def read_head(self):
        return (await self._reader.readuntil(b"\r\n\r\n")).decode().lower()

    async def is_closed(self):
        async with asyncio.timeout(1.0):
            return await self._reader.read(1) == b""


def with_server(check):
    async def main():
        application = Application()
        address = free_address("127.0.0.1")
        server = HttpServer(application, address)
        await server.listen()
        server.start()
        ip, port = address.rsplit(":", 1)

        async def connect():
            return Connection(*await asyncio.open_connection(ip, int(port)))

        try:
            await check(server, application, connect)
        finally:
            application.released.set()
            await server.stop()

    asyncio.run(main())


async def wait_for_paths(application, *paths):
    async with asyncio.timeout(1.0):
        while application.paths != list(paths):
            await asyncio.sleep(0.01)


def test_answers_announce_the_close_from_the_call_on():
    async def check(server, application, connect):
        kept, busy = await connect(), await connect()
        application.released.set()
        kept.send("/before")
        assert CLOSE not in await kept.read_head()
        application.released.clear()
        busy.send("/running")
        await wait_for_paths(application, "/before", "/running")
        server.announce_close()
        application.released.set()
        kept.send("/kept")
        new = await connect()
        new.send("/new")
        for each in (busy, kept, new):
            assert CLOSE in await each.read_head()
            assert await each.is_closed()

    with_server(check)


def test_a_request_behind_another_one_is_answered_before_the_announced_close():
    async def check(server, application, connect):
        both, later = await connect(), await connect()
        both.send("/1")
        both.send("/2")
        later.send("/1")
        await wait_for_paths(application, "/1", "/1")
        server.announce_close()
        later.send("/2")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(later.read_head(), 0.1)
        application.released.set()
        for each in (both, later):
            assert CLOSE not in await each.read_head()
            assert CLOSE in await each.read_head()
            assert await each.is_closed()

    with_server(check)
