"""
tests.crowds

Crowds of clients that send bodies in unusual ways, and what a process uses meanwhile.
"""

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from tests import slowpeers

SAMPLE_S = 0.05
# Bytes that are sent in one call, so that a client that is not read stops there.
SEND_BYTES = 65_536
READ_BYTES = 65_536
# Answers that promise that the request has not run and will not.
NOT_RUN_STATUSES = frozenset((408, 413, 421, 429, 431, 503))


@dataclass(frozen=True)
class Body:
    """A body as it is sent.

    :ivar framing: the header that frames it.
    :ivar start: what is sent first.
    :ivar end: the last bytes, which few of a crowd's clients send.
    :ivar repeated: whether what is sent first is sent again without end.
    :ivar piece_bytes: bytes that are sent at a time.
    :ivar pause_s: time between two pieces, in seconds.
    """

    framing: str
    start: bytes
    end: bytes = b""
    repeated: bool = False
    piece_bytes: int = SEND_BYTES
    pause_s: float = 0.0

    def pieces(self, *, whole: bool) -> Iterator[memoryview]:
        """Return the pieces in which a client sends the body.

        :param whole: whether it sends the end, too.
        """
        yield from _split(self.start, self.piece_bytes)
        while self.repeated:
            yield from _split(self.start, self.piece_bytes)
        if whole:
            yield memoryview(self.end)


def _split(data: bytes, size: int) -> Iterator[memoryview]:
    left = memoryview(data)
    while left:
        yield left[:size]
        left = left[size:]


def declared_body(size: int, sent: int | None = None, **manner) -> Body:
    """Return a body of a declared length, whose last byte few clients send.

    :param sent: bytes that are sent, if it isn't the declared length.
    """
    data = b"x" * (size if sent is None else sent)
    return Body(f"Content-Length: {size}", data[:-1], data[-1:], **manner)


def chunked_body(size: int, chunk_bytes: int, **manner) -> Body:
    """Return a body in chunks, whose last chunk few clients send."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    data = chunk * (size // chunk_bytes)
    return Body("Transfer-Encoding: chunked", data, b"0\r\n\r\n", **manner)


class Crowd:
    """Clients that send bodies, and stay until they leave together or are closed.

    :param address: ``ip:port``.
    :param make_head: returns the head of a request, given the header that frames its body.
    :param whole_each: one of so many clients sends its whole body; 0 for none.
    :ivar statuses: number of answers by status; 0 for connections that ended without an answer.
    :ivar may_have_run: number of whole bodies that no answer has refused.
    """

    def __init__(self, address, make_head, body, size, *, whole_each=0):
        self._address = address
        self._make_head = make_head
        self._body = body
        self._size = size
        self._whole_each = whole_each
        self._tasks = []
        self.connected = 0
        self.statuses = Counter()
        self.may_have_run = len(range(0, size, whole_each)) if whole_each else 0

    async def __aenter__(self):
        """Let all clients connect, and begin to send."""
        self._tasks = [
            asyncio.create_task(
                self._run_client(whole=bool(self._whole_each) and number % self._whole_each == 0)
            )
            for number in range(self._size)
        ]
        while self.connected < self._size:
            await asyncio.sleep(SAMPLE_S)
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_client(self, *, whole):
        loop = asyncio.get_running_loop()
        ip, port = self._address.rsplit(":", 1)
        with socket.socket() as raw:
            raw.setblocking(False)
            try:
                await loop.sock_connect(raw, (ip, int(port)))
            finally:
                self.connected += 1
            sending = asyncio.create_task(self._send(raw, whole=whole))
            try:
                answer = b""
                with contextlib.suppress(OSError):
                    while part := await loop.sock_recv(raw, READ_BYTES):
                        answer = answer or part
                status = int(answer[9:12] or 0)
                self.statuses[status] += 1
                self.may_have_run -= whole and status in NOT_RUN_STATUSES
            finally:
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)

    async def _send(self, raw, *, whole):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            await loop.sock_sendall(raw, self._make_head(self._body.framing))
            for piece in self._body.pieces(whole=whole):
                await loop.sock_sendall(raw, piece)
                await asyncio.sleep(self._body.pause_s)


class Usage:
    """The most that a process uses while it is watched.

    :param address: address on which the process listens for callers.
    :ivar system_bytes: the most that the system held for connections of callers.
    :ivar descriptors: the highest number of open descriptors.
    """

    def __init__(self, pid, address):
        self._pid = pid
        self._address = address
        self.system_bytes = 0
        self.descriptors = 0

    async def __aenter__(self):
        """Begin to watch."""
        self._task = asyncio.create_task(self._watch())
        return self

    async def __aexit__(self, *_):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    @property
    def memory_mb(self):
        """The most memory of the process, with what the system held for it, in MB."""
        return slowpeers.peak_resident_mb(self._pid) + self.system_bytes / 1e6

    async def _watch(self):
        while True:
            held = slowpeers.system_buffer_bytes(self._address, "127.0.0.1:1")
            self.system_bytes = max(self.system_bytes, held)
            self.descriptors = max(self.descriptors, _count_descriptors(self._pid))
            await asyncio.sleep(SAMPLE_S)


def _count_descriptors(pid):
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())


async def request_status(address, request, patience_s):
    """Send one request on a connection of its own; return the status, 0 without an answer."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(patience_s):
            reader, writer = await asyncio.open_connection(*address.rsplit(":", 1))
            try:
                writer.write(request)
                return int((await reader.readline())[9:12] or 0)
            finally:
                writer.close()
    return 0
