"""
chalkyoke.links.peers

All links of one process: a listener, and one outgoing link to each process that it talks to.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable

import msgspec

from chalkyoke.exceptions import ChalkyokeError, LinkError
from chalkyoke.links.codec import FrameCodec
from chalkyoke.links.connection import Clock, Connection, Identity, LinkCounters
from chalkyoke.links.messages import Challenge, Hello, Welcome
from chalkyoke.sockets import set_user_timeout

CONNECT_S = 0.5
MAX_QUEUED = 2000
MAX_BACKOFF_S = 0.5
USER_TIMEOUT_MS = 1000

Handler = Callable[[Connection, msgspec.Struct], Awaitable[None] | None]


class _Outgoing:
    """One outgoing link: a bounded queue while it is not connected."""

    def __init__(self) -> None:
        self.queue: deque[msgspec.Struct] = deque(maxlen=MAX_QUEUED)
        self.connection: Connection | None = None
        self.task: asyncio.Task[None] | None = None
        self.failures = 0


class Links:
    """Send messages to other processes by address, and receive theirs.

    Messages may be lost when a link breaks; every slice repeats what it must not lose.

    :param me: who this process is.
    :param types: all message types that may come in.
    :param handler: called with each message that comes in; what it returns is awaited, and then
        the stream is at its end.
    :param listen: the address to listen on, where that is not the one that others are told.
    """

    def __init__(
        self,
        me: Identity,
        types: tuple[type[msgspec.Struct], ...],
        clock: Clock,
        handler: Handler,
        listen: str = "",
    ) -> None:
        self.me = me
        self._listen = listen or me.address
        self.counters = LinkCounters()
        self._codec = FrameCodec((*types, Challenge, Hello, Welcome))
        self._clock = clock
        self._handler = handler
        self._outgoing: dict[str, _Outgoing] = {}
        self._incoming: set[Connection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Open the listener.

        :raises OSError: when the address can't be bound.
        """
        ip, port = self._listen.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    async def close(self) -> None:
        """Close the listener and all links."""
        if self._server is not None:
            self._server.close()
        for outgoing in self._outgoing.values():
            if outgoing.task is not None:
                outgoing.task.cancel()
            if outgoing.connection is not None:
                outgoing.connection.abort()
        for connection in list(self._incoming):
            connection.abort()

    def send(self, address: str, message: msgspec.Struct) -> None:
        """Send a message, or queue it while the link comes up.

        :param address: ``ip:port`` of the other process's listener.
        """
        outgoing = self._outgoing.get(address)
        if outgoing is None:
            outgoing = self._outgoing[address] = _Outgoing()
        if outgoing.connection is not None and not outgoing.connection.closing:
            outgoing.connection.send(message)
            return

        if len(outgoing.queue) == MAX_QUEUED:
            self.counters.dropped += 1
        outgoing.queue.append(message)
        if outgoing.task is None:
            outgoing.task = asyncio.create_task(self._run(address, outgoing))

    async def open(self, address: str) -> Connection:
        """Open a stream of its own, for a transfer that must not delay other messages.

        :raises LinkError: when the listener is not reached.
        """
        ip, port = address.rsplit(":", 1)
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(ip, int(port))
        except (OSError, TimeoutError) as error:
            raise LinkError(f"{address} is not reached: {error}") from error
        set_user_timeout(writer, USER_TIMEOUT_MS)
        connection = Connection(reader, writer, self._codec, self._clock, self.counters)
        try:
            await connection.greet(self.me)
        except LinkError:
            connection.abort()
            raise
        return connection

    async def _run(self, address: str, outgoing: _Outgoing) -> None:
        """Connect, send what has queued up, and watch for the end of the link."""
        try:
            connection = await self.open(address)
        except LinkError:
            outgoing.failures += 1
            await asyncio.sleep(min(MAX_BACKOFF_S, 0.05 * 2 ** min(outgoing.failures, 6)))
            self._retire(address, outgoing)
            return

        outgoing.failures = 0
        outgoing.connection = connection
        while outgoing.queue:
            connection.send(outgoing.queue.popleft())
        with contextlib.suppress(ChalkyokeError):
            async for _ in connection.messages():
                pass
        outgoing.connection = None
        connection.abort()
        self._retire(address, outgoing)

    def _retire(self, address: str, outgoing: _Outgoing) -> None:
        outgoing.queue.clear()
        outgoing.task = None
        if outgoing.failures == 0 or outgoing.failures > 20:
            self._outgoing.pop(address, None)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer, self._codec, self._clock, self.counters)
        self._incoming.add(connection)
        try:
            await connection.accept(self.me)
            async for message in connection.messages():
                answered = self._handler(connection, message)
                if answered is not None:
                    await answered
                    return
        except ChalkyokeError:
            pass
        finally:
            self._incoming.discard(connection)
            connection.abort()
