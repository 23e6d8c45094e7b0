"""
chalkyoke.links.intake

Streams that pass received bytes to a callback. Waking a task for each read instead takes a quarter
of the processor time of an idle node of a large failure domain.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import SupportsIndex

from chalkyoke import sockets

Serve = Callable[["ByteStreamReader", asyncio.StreamWriter], Awaitable[None]]


class ByteStreamReader(asyncio.StreamReader):
    """A stream reader that can pass bytes to a callback as soon as they arrive.

    :ivar ended: set when the stream has ended or failed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ended = asyncio.Event()
        self._receiver: Callable[[bytes], None] | None = None

    @property
    def has_unread(self) -> bool:
        """Whether bytes are buffered, or the stream has ended."""
        return bool(self._buffer) or self.at_eof()  # type: ignore[attr-defined]

    def set_receiver(self, receiver: Callable[[bytes], None] | None) -> None:
        """Pass buffered and further bytes to a callback, or buffer them again if it is None."""
        self._receiver = receiver
        held = bytes(self._buffer)  # type: ignore[attr-defined]
        if receiver is not None and held:
            self._buffer.clear()  # type: ignore[attr-defined]
            receiver(held)

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Receive bytes from the transport."""
        if self._receiver is None:
            super().feed_data(data)
        else:
            self._receiver(bytes(data))

    def feed_eof(self) -> None:
        """Handle that the peer has closed the stream."""
        super().feed_eof()
        self.ended.set()

    def set_exception(self, exc: Exception) -> None:
        """Handle that the connection is lost."""
        super().set_exception(exc)
        self.ended.set()


async def open_stream(ip: str, port: int) -> tuple[ByteStreamReader, asyncio.StreamWriter]:
    """Open a connection.

    :raises OSError: when the address can't be reached.
    """
    intake = ByteStreamReader()
    protocol = asyncio.StreamReaderProtocol(intake)
    transport, _ = await sockets.connect(lambda: protocol, ip, port)
    loop = asyncio.get_running_loop()
    return intake, asyncio.StreamWriter(transport, protocol, intake, loop)


async def listen(serve: Serve, ip: str, port: int) -> asyncio.Server:
    """Listen, and serve each connection in a separate task.

    :raises OSError: when the address can't be bound.
    """

    def accept() -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(ByteStreamReader(), serve)  # type: ignore[arg-type]

    return await sockets.listen(accept, ip, port)
