"""
tests.test_uploads_to_completions

Guards against answers of the completions front that callers lose, since it closes the connection
while they send, and against requests without end that hold a connection. Uses real sockets.
"""

import asyncio
import contextlib
import json

import falcon.asgi
import pytest
from chalkyoke import problems
from chalkyoke.http1 import lingering, timelimits
from chalkyoke.node import callerconnections
from chalkyoke.node.servers import HttpServer
from chalkyoke_fakes.fleet import free_address

CALLERS = 20
SENDS_FOR_S = 1.5
INTERVAL_S = 0.02
HEAD = "POST /{status} HTTP/1.1\r\nHost: h\r\n"
CLOSE = "Connection: close\r\n"
DECLARED = "Content-Length: 2000000\r\n\r\n"
CHUNKS = "Transfer-Encoding: chunked\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PIECE = b"x" * 8_000
CHUNK = b"1f40\r\n" + PIECE + b"\r\n"
UPLOADS = {
    "declared": (HEAD + CLOSE + DECLARED, PIECE),
    "chunks": (HEAD + CLOSE + CHUNKS, CHUNK),
    "kept": (HEAD + DECLARED, PIECE),
    "expect": (HEAD + "Expect: 100-continue\r\n" + CLOSE + DECLARED, PIECE),
}


class Refusing:
    """Answers with the status in the path, if it is not 200 before the body is read."""

    async def on_post(self, req, resp, status):
        if status == "200":
            await req.stream.read()
        problems.respond(resp, problems.document(int(status), "bad_request", "refused"))


@pytest.mark.parametrize("status", [401, 413, 429, 503])
@pytest.mark.parametrize("upload", UPLOADS)
def test_the_problem_reaches_callers_that_still_send(upload, status):
    """Guards against a reset right behind an answer that came before the end of the body."""
    head, piece = UPLOADS[upload]
    begin = head.format(status=status).encode()

    async def main():
        async with serve() as port:
            calls = (send_and_read(port, begin, piece) for _ in range(CALLERS))
            for answer in await asyncio.gather(*calls):
                head, _, body = answer.removeprefix(CONTINUE).partition(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 %d " % status), answer
                assert b"connection: close" in head.lower()
                assert json.loads(body)["status"] == status

    asyncio.run(main())


def test_what_is_no_request_gets_400_though_its_caller_still_sends():
    async def main():
        async with serve() as port:
            calls = (send_and_read(port, b"\x16\x03\x01\r\n\r\n", PIECE) for _ in range(CALLERS))
            for answer in await asyncio.gather(*calls):
                assert answer.startswith(b"HTTP/1.1 400 "), answer

    asyncio.run(main())


SLOW = {
    "head": (b"GET /401 HTTP/1.1\r\n", b"A: b\r\n"),
    "body": (HEAD.format(status=200).encode() + DECLARED.encode(), b"x"),
    "chunks": (HEAD.format(status=200).encode() + CHUNKS.encode(), b"1\r\nx\r\n"),
    "no_body": (HEAD.format(status=200).encode() + DECLARED.encode(), b""),
}


@pytest.mark.parametrize("slow", SLOW)
def test_a_request_that_comes_too_slowly_gets_408(slow, monkeypatch):
    """Guards against requests without end that hold a connection for ever."""
    monkeypatch.setattr(callerconnections, "HEAD_TIME_S", 0.3)
    monkeypatch.setattr(callerconnections, "BODY_TIME_S", 0.3)
    monkeypatch.setattr(timelimits, "MIN_BODY_BYTES_PER_S", 10_000_000)

    async def main():
        async with serve() as port:
            calls = (send_and_read(port, *SLOW[slow]) for _ in range(CALLERS))
            for answer in await asyncio.gather(*calls):
                head, _, body = answer.partition(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 408 "), answer
                assert json.loads(body)["status"] == 408

    asyncio.run(main())


@pytest.mark.parametrize("begin", [b"", b"\r\n"])
def test_a_connection_without_a_request_is_closed_in_silence(begin, monkeypatch):
    monkeypatch.setattr(callerconnections, "KEEP_ALIVE_S", 0.3)

    async def main():
        async with serve() as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(begin)
            assert await asyncio.wait_for(reader.read(), 5.0) == b""
            writer.close()

    asyncio.run(main())


def test_an_upload_without_end_is_closed_behind_its_answer(monkeypatch):
    """Guards against refused uploads that hold a connection for ever."""
    monkeypatch.setattr(lingering, "MAX_LINGER_S", 0.5)
    head, piece = UPLOADS["kept"]

    async def main():
        async with serve() as port:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head.format(status=401).encode())
            with pytest.raises(ConnectionError):
                async with asyncio.timeout(8.0):
                    while True:
                        writer.write(piece)
                        await writer.drain()
                        await asyncio.sleep(INTERVAL_S)

    asyncio.run(main())


async def send_and_read(port, begin, piece):
    """Send for some time, and read only then, as most clients do; return the answer."""
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    ends_at = loop.time() + SENDS_FOR_S
    try:
        writer.write(begin)
        while loop.time() < ends_at:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(INTERVAL_S)
        return await asyncio.wait_for(reader.read(), 5.0)
    except OSError as error:
        return type(error).__name__.encode()
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def serve():
    """Serve an application that refuses all requests; yield the port."""
    app = falcon.asgi.App()
    app.add_route("/{status}", Refusing())
    address = free_address("127.0.0.1")
    server = HttpServer(app, address)
    await server.listen()
    server.start()
    try:
        yield int(address.rpartition(":")[2])
    finally:
        await server.stop(0.1)
