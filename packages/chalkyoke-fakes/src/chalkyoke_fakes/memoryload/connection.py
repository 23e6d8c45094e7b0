"""
chalkyoke_fakes.memoryload.connection

One connection of a caller that may send and read slowly, at the same time, without copies.
"""

import asyncio
import math
import socket
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Self

from chalkyoke_fakes.resets import LINGER_NOT_AT_ALL

READ_BYTES = 65_536
# Most bytes of an answer's body that are kept.
KEPT_BYTES = 4_096


@dataclass(frozen=True, slots=True)
class Response:
    """An answer.

    :param body: the first bytes of the body; the rest is not kept.
    """

    status: int
    body: bytes


class BrokenConnectionError(Exception):
    """The connection ended before the end of an answer.

    :ivar began: whether a part of the answer had arrived.
    """

    def __init__(self, began: bool) -> None:
        super().__init__("ended in an answer" if began else "ended before an answer")
        self.began = began


class Connection:
    """A connection to a node.

    :param receive_buffer: size of the system's receive buffer in bytes; 0 for the usual one.
    :param read_pause_s: time between two reads, in seconds.
    :param read_bytes: most bytes of one read.
    :param resets: whether the caller resets the connection at the end, and so frees its port.
    """

    def __init__(
        self,
        address: str,
        *,
        receive_buffer: int = 0,
        read_pause_s: float = 0.0,
        read_bytes: int = READ_BYTES,
        resets: bool = True,
    ) -> None:
        self._address = address
        self._read_pause_s = read_pause_s
        self._read_bytes = read_bytes
        self._resets = resets
        self._has_begun = False
        self._received = bytearray()
        self._raw = socket.socket()
        self._raw.setblocking(False)
        if receive_buffer:
            self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)

    async def __aenter__(self) -> Self:
        ip, port = self._address.rsplit(":", 1)
        try:
            await asyncio.get_running_loop().sock_connect(self._raw, (ip, int(port)))
        except BaseException:
            self._raw.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._resets:
            self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT_AT_ALL)
        self._raw.close()

    async def send(self, parts: Iterable[bytes | memoryview], pause_s: float = 0.0) -> None:
        """Send parts one after the other.

        :param pause_s: time between two parts, in seconds.
        :raises OSError: when the connection breaks.
        """
        loop = asyncio.get_running_loop()
        for part in parts:
            await loop.sock_sendall(self._raw, part)
            if pause_s:
                await asyncio.sleep(pause_s)

    async def read_response(self) -> Response:
        """Read the next final answer.

        :raises BrokenConnectionError: when the connection ends before the end of the answer.
        """
        self._has_begun = bool(self._received)
        try:
            while True:
                head = await self._read_until(b"\r\n\r\n")
                status = int(head.split(b" ", 2)[1])
                if status >= 200:
                    return Response(status, await self._read_body(head.lower()))
        except (OSError, EOFError) as error:
            raise BrokenConnectionError(self._has_begun) from error

    async def _read_body(self, head: bytes) -> bytes:
        if b"transfer-encoding: chunked" in head:
            return await self._read_chunks()
        _, named, rest = head.partition(b"content-length:")
        if named:
            return await self._read_part(int(rest.split(b"\r\n", 1)[0]))
        return b""

    async def _read_chunks(self) -> bytes:
        kept = b""
        while size := int((await self._read_until(b"\r\n")).partition(b";")[0], 16):
            part = await self._read_part(size)
            kept += part[: KEPT_BYTES - len(kept)]
            await self._read_until(b"\r\n")
        while await self._read_until(b"\r\n") != b"\r\n":
            pass
        return kept

    async def _read_until(self, end: bytes) -> bytes:
        while (at := self._received.find(end)) < 0:
            await self._receive(math.inf)
        found = bytes(self._received[: at + len(end)])
        del self._received[: at + len(end)]
        return found

    async def _read_part(self, size: int) -> bytes:
        """Read a number of bytes, and return the first of them."""
        kept = b""
        while True:
            part = bytes(self._received[:size])
            del self._received[:size]
            kept += part[: KEPT_BYTES - len(kept)]
            size -= len(part)
            if not size:
                return kept
            await self._receive(size)

    async def _receive(self, most: float) -> None:
        if self._read_pause_s:
            await asyncio.sleep(self._read_pause_s)
        size = int(min(self._read_bytes, most))
        data = await asyncio.get_running_loop().sock_recv(self._raw, size)
        if not data:
            raise EOFError
        self._has_begun = True
        self._received += data
