"""
tests.test_answers_before_the_end_of_uploads

Guards against answers that callers lose because the server closes the connection while they send.
Uses real sockets, since the operating system resets a connection that is closed with unread input.
"""

import asyncio
import contextlib

import pytest
from chalkyoke.http1.incoming import ServerLimits
from chalkyoke.http1.lingering import LINGER_S
from chalkyoke.http1.server import ServerConnection

CALLERS = 20
LIMITS = ServerLimits(body_bytes=50_000, header_timeout_s=0.5)
# Longer than a connection lingers whose requests have been read.
SENDS_FOR_S = 2.2 * LINGER_S
INTERVAL_S = 0.02
SLOW_INTERVAL_S = 0.1

HEAD = b"PUT /a HTTP/1.1\r\nHost: h\r\n"
PIECE = b"x" * 8_000
UPLOADS = {
    "declared": (HEAD + b"Content-Length: 2000000\r\n\r\n", PIECE, INTERVAL_S, b"413"),
    "chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1f40\r\n" + PIECE + b"\r\n",
        INTERVAL_S,
        b"413",
    ),
    "expect": (
        HEAD + b"Content-Length: 2000000\r\nExpect: 100-continue\r\n\r\n",
        PIECE,
        INTERVAL_S,
        b"413",
    ),
    "large_pieces": (
        HEAD + b"Content-Length: 20000000\r\n\r\n",
        b"x" * 400_000,
        SLOW_INTERVAL_S,
        b"413",
    ),
    "no_request": (b"GET  /\r\n\r\n", PIECE, INTERVAL_S, b"400"),
    "slow_head": (HEAD, b"A: b\r\n", SLOW_INTERVAL_S, b"408"),
    "large_head": (HEAD, b"Name: " + b"v" * 2_000 + b"\r\n", INTERVAL_S, b"431"),
}


@pytest.mark.parametrize("upload", UPLOADS)
def test_a_refusal_reaches_callers_that_still_send(upload):
    """Guards against a reset one second behind the refusal of a request that still came."""
    begin, piece, interval_s, status = UPLOADS[upload]

    async def main():
        async with serve() as port:
            calls = (send_and_read(port, begin, piece, interval_s) for _ in range(CALLERS))
            answers = await asyncio.gather(*calls)
        assert [each[:13] for each in answers] == [b"HTTP/1.1 " + status + b" "] * CALLERS

    asyncio.run(main())


async def send_and_read(port, begin, piece, interval_s):
    """Send for some time, and read only then, as most clients do; return the answer."""
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    ends_at = loop.time() + SENDS_FOR_S
    try:
        writer.write(begin)
        while loop.time() < ends_at:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(interval_s)
        return await asyncio.wait_for(reader.read(), 5.0)
    except OSError as error:
        return type(error).__name__.encode()
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def serve():
    """Serve connections of which no request is complete; yield the port."""
    connections = set()

    def make():
        return ServerConnection(lambda *_: None, lambda: LIMITS, connections)

    server = await asyncio.get_running_loop().create_server(make, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for each in list(connections):
            each.transport.abort()
