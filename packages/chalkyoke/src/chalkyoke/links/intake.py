"""
chalkyoke.links.intake

Streams whose bytes can be taken as they come. Waking a task for each piece is a quarter of what an
idle node of a large failure domain spends.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import SupportsIndex

Serve = Callable[["ByteStreamReader", asyncio.StreamWriter], Awaitable[None]]


class ByteStreamReader(asyncio.StreamReader):
    """A stream reader that can hand bytes over at once.

    :ivar ended: set when nothing more comes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ended = asyncio.Event()
        self._receiver: Callable[[bytes], None] | None = None

    def set_receiver(self, take: Callable[[bytes], None] | None) -> None:
        """Hand bytes over from here on, those that are held first; nothing is: hold them again."""
        self._receiver = take
        held = bytes(self._buffer)  # type: ignore[attr-defined]
        if take is not None and held:
            self._buffer.clear()  # type: ignore[attr-defined]
            take(held)

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Take bytes from the transport."""
        if self._receiver is None:
            super().feed_data(data)
        else:
            self._receiver(bytes(data))

    def feed_eof(self) -> None:
        """Learn that the peer has closed."""
        super().feed_eof()
        self.ended.set()

    def set_exception(self, exc: Exception) -> None:
        """Learn that the connection is lost."""
        super().set_exception(exc)
        self.ended.set()


async def open_stream(ip: str, port: int) -> tuple[ByteStreamReader, asyncio.StreamWriter]:
    """Open a connection.

    :raises OSError: when the address is not reached.
    """
    loop = asyncio.get_running_loop()
    intake = ByteStreamReader()
    protocol = asyncio.StreamReaderProtocol(intake)
    transport, _ = await loop.create_connection(lambda: protocol, ip, port)
    return intake, asyncio.StreamWriter(transport, protocol, intake, loop)


async def listen(serve: Serve, ip: str, port: int) -> asyncio.Server:
    """Listen, and serve each connection in a task of its own.

    :raises OSError: when the address can't be bound.
    """

    def accept() -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(ByteStreamReader(), serve)  # type: ignore[arg-type]

    return await asyncio.get_running_loop().create_server(accept, ip, port)
