"""An upstream that sends an answer without end."""

import asyncio
import contextlib

# Size of the pieces in which bytes without end are sent.
PIECE_BYTES = 65_536
OK = b"HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
LINE = b"X-Name: value\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
FILLER = b"z" * PIECE_BYTES
# The first bytes of each answer, and those that follow them again and again.
ENDLESS_HEADS = {
    "reason": (b"HTTP/1.1 200 ", FILLER),
    "name": (OK, FILLER),
    "value": (OK + b"X: ", FILLER),
    "headers": (OK, LINE * (PIECE_BYTES // len(LINE))),
    "interim": (b"", INTERIM * (PIECE_BYTES // len(INTERIM))),
}
ENDLESS_BODIES = {
    "until close": (OK + b"\r\n", FILLER),
    "length": (OK + b"Content-Length: 99999999999999\r\n\r\n", FILLER),
    "chunks": (CHUNKED, b"%x\r\n%b\r\n" % (PIECE_BYTES, FILLER)),
    "size": (CHUNKED, b"0" * PIECE_BYTES),
    "extension": (CHUNKED + b"5;name=", FILLER),
    "trailer": (CHUNKED + b"4\r\ntrue\r\n0\r\nX: ", FILLER),
    "trailers": (CHUNKED + b"4\r\ntrue\r\n0\r\n", LINE * (PIECE_BYTES // len(LINE))),
}


class EndlessUpstream:
    """Answers each request without end, until the caller closes.

    :param first: the first bytes of an answer.
    :param piece: the bytes that follow again and again.
    :param interval_s: time between two pieces, in seconds.
    :ivar sent_bytes: number of bytes written.
    """

    def __init__(self, first, piece, interval_s=0.0):
        self._first, self._piece, self._interval_s = first, piece, interval_s
        self._serving = set()
        self.sent_bytes = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self._first)
                while not writer.transport.is_closing():
                    writer.write(self._piece)
                    self.sent_bytes += len(self._piece)
                    await writer.drain()
                    await asyncio.sleep(self._interval_s)
        finally:
            writer.transport.abort()
