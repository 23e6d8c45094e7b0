"""
chalkyoke.links.connection

One authenticated stream of messages between two processes.
"""

import asyncio
import contextlib
import secrets
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, cast

import msgspec

from chalkyoke.clock import Stamp
from chalkyoke.discard import Discard
from chalkyoke.exceptions import LinkError, ProtocolError, UnknownKind
from chalkyoke.links.codec import FrameCodec, FrameReader
from chalkyoke.links.handshake import (
    NONCE_BYTES,
    hello_is_valid,
    make_hello,
    make_welcome,
    welcome_is_valid,
)
from chalkyoke.links.intake import ByteStreamReader
from chalkyoke.links.messages import Challenge, Hello, Skipped, Welcome

# Timeout of the handshake, in seconds: several round trips between regions.
HANDSHAKE_S = 2.0
# Maximum size of one read, in bytes: the usual size of a socket buffer.
MAX_READ_BYTES = 65_536
# Maximum size of the send buffer of one peer, in bytes: 1.6 s of the smallest links that operators
# run (5 Mbit/s). Messages that wait longer are outdated, and their senders repeat those that must
# not be lost.
MAX_UNSENT_BYTES = 1_000_000


def _max_unsent_bytes() -> int:
    return MAX_UNSENT_BYTES


MessageReceiver = Callable[[msgspec.Struct], Awaitable[None] | None]


class Clock(Protocol):
    """The part of the process's hybrid clock that a connection uses."""

    def stamp(self) -> Stamp:
        """Return a stamp for an outgoing message."""

    def observe(self, stamp: Stamp) -> None:
        """Advance the clock by the stamp of a received message."""


class Identity(msgspec.Struct, frozen=True):
    """The identity and key by which a process authenticates on its links.

    :param address: ``ip:port`` of the process's link listener.
    :param key: the key that all processes of the fleet share.
    """

    process: str
    address: str
    failure_domain: str
    key: bytes


class LinkCounters(msgspec.Struct):
    """Counters of bytes and messages over all links of a process.

    :param dropped: messages that were dropped because a queue or send buffer was full.
    :param silent: links that were reopened because the peer confirmed no messages.
    :param withheld: messages that were not sent because the peer does not know their kind.
    :param skipped: received messages of a kind that this process does not know.
    """

    sent_bytes: int = 0
    received_bytes: int = 0
    sent: int = 0
    received: int = 0
    dropped: int = 0
    silent: int = 0
    withheld: int = 0
    skipped: int = 0


class Connection:
    """Send and receive messages over one stream.

    :param max_unsent_bytes: returns the size of the send buffer above which messages are dropped,
        in bytes.
    :ivar peer: id of the peer process, once the handshake is done.
    :ivar peer_address: ``ip:port`` of the peer's listener.
    :ivar peer_kinds: the kinds of messages that the listener has announced that it understands; set
        on the calling side only.
    """

    def __init__(
        self,
        reader: ByteStreamReader,
        writer: asyncio.StreamWriter,
        codec: FrameCodec,
        clock: Clock,
        counters: LinkCounters,
        max_unsent_bytes: Callable[[], int] = _max_unsent_bytes,
    ) -> None:
        self.peer = ""
        self.peer_address = ""
        self.peer_domain = ""
        self.peer_kinds: frozenset[str] = frozenset()
        self._reader = reader
        self._writer = writer
        self._codec = codec
        self._clock = clock
        self._counters = counters
        self._max_unsent_bytes = max_unsent_bytes
        self._frames = FrameReader(is_trusted=False)
        self._ready: list[msgspec.Struct] = []

    @property
    def unsent_bytes(self) -> int:
        """Size of the send buffer, in bytes."""
        return self._writer.transport.get_write_buffer_size()

    @property
    def closing(self) -> bool:
        """Whether the stream is closing, so that no more messages can be sent."""
        return self._writer.is_closing()

    def send(self, message: msgspec.Struct) -> bool:
        """Send a message without waiting.

        :return: whether the message was written to the stream; it is dropped if the stream is
            closing or the peer reads too slowly.
        """
        if self._writer.is_closing() or self.unsent_bytes > self._max_unsent_bytes():
            self._counters.dropped += 1
            return False
        frame = self._codec.encode(self._clock.stamp(), message)
        self._writer.write(frame)
        self._counters.sent += 1
        self._counters.sent_bytes += len(frame)
        return True

    async def send_and_wait(self, message: msgspec.Struct) -> None:
        """Send a message, and wait until the send buffer has drained.

        :raises LinkError: when the stream is closed or lost.
        """
        if not self.send(message):
            raise LinkError("the link is closed")
        try:
            await self._writer.drain()
        except OSError as error:
            raise LinkError(str(error)) from error

    async def receive(self) -> msgspec.Struct | None:
        """Receive the next message, or None when the stream has ended.

        :raises ProtocolError: when the peer does not follow the protocol.
        """
        while not self._ready:
            try:
                data = await self._reader.read(MAX_READ_BYTES)
            except OSError:
                # The system ends a partitioned stream by ETIMEDOUT, which is no ConnectionError.
                return None
            if not data:
                return None
            self._decode(data)
        self._counters.received += 1
        return self._ready.pop(0)

    async def deliver(self, on_message: MessageReceiver) -> Awaitable[None] | None:
        """Pass received messages to a callback until the stream ends or one is answered on it.

        :param on_message: receives a message; an awaitable that it returns answers on this stream.
        :return: that awaitable, or None when the stream has ended.
        :raises ProtocolError: when the peer does not follow the protocol.
        """
        ends: asyncio.Future[Awaitable[None] | None] = asyncio.get_running_loop().create_future()

        def on_bytes(data: bytes) -> None:
            try:
                self._decode(data)
                answered = self._deliver_ready(on_message)
            except ProtocolError as error:
                self._reader.set_receiver(None)
                ends.set_exception(error)
                return
            if answered is not None:
                self._reader.set_receiver(None)
                ends.set_result(answered)

        self._reader.set_receiver(on_bytes)
        if self._ready and not ends.done():
            on_bytes(b"")
        ended = asyncio.ensure_future(self._reader.ended.wait())
        either: list[asyncio.Future[Any]] = [ends, ended]
        try:
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
        finally:
            ended.cancel()
            self._reader.set_receiver(None)
        return ends.result() if ends.done() else None

    def _deliver_ready(self, on_message: MessageReceiver) -> Awaitable[None] | None:
        while self._ready:
            self._counters.received += 1
            answered = on_message(self._ready.pop(0))
            if answered is not None:
                return answered
        return None

    def _decode(self, data: bytes) -> None:
        self._counters.received_bytes += len(data)
        for frame in self._frames.feed(data):
            try:
                stamp, message = self._codec.decode(frame)
            except UnknownKind as error:
                self._ready.append(Skipped(error.kind))
                continue
            self._clock.observe(stamp)
            self._ready.append(message)

    async def handshake_as_caller(self, me: Identity) -> None:
        """Authenticate to the listener, as the calling side, and check its proof.

        :raises LinkError: when the listener does not hold the fleet's key or does not answer.
        """
        try:
            async with asyncio.timeout(HANDSHAKE_S):
                challenge = await self.receive()
                if not isinstance(challenge, Challenge):
                    raise LinkError("the listener sent no challenge")
                nonce = secrets.token_bytes(NONCE_BYTES)
                hello = make_hello(
                    me.key, challenge.nonce, me.process, me.address, me.failure_domain, nonce
                )
                self.send(hello)
                welcome = await self.receive()
        except (TimeoutError, ProtocolError) as error:
            raise LinkError(f"handshake failed: {error}") from error
        if not isinstance(welcome, Welcome) or not welcome_is_valid(me.key, nonce, welcome):
            raise LinkError("the listener does not hold the fleet's key")
        self._frames.trust()
        self.peer = welcome.process
        self.peer_kinds = frozenset(welcome.kinds)

    async def handshake_as_listener(self, me: Identity) -> None:
        """Check the caller's proof, as the listener, and authenticate to the caller.

        :raises LinkError: when the caller does not hold the fleet's key or does not answer.
        """
        nonce = secrets.token_bytes(NONCE_BYTES)
        self.send(Challenge(nonce))
        try:
            async with asyncio.timeout(HANDSHAKE_S):
                hello = await self.receive()
        except (TimeoutError, ProtocolError) as error:
            raise LinkError(f"handshake failed: {error}") from error
        if not isinstance(hello, Hello) or not hello_is_valid(me.key, nonce, hello):
            raise LinkError("the caller does not hold the fleet's key")
        self._frames.trust()
        self.peer, self.peer_address = hello.process, hello.address
        self.peer_domain = hello.failure_domain
        self.send(make_welcome(me.key, hello, me.process, self._codec.kinds))

    async def close(self) -> None:
        """Close the stream, and wait up to 1 s until buffered data is sent."""
        self._writer.close()
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(1.0):
                await self._writer.wait_closed()

    def detach(self) -> asyncio.Transport:
        """Stop reading messages, and return the transport for another protocol.

        Keep this connection while the transport is in use.

        :raises LinkError: when the stream is closed, or holds bytes that were not read.
        """
        if self.closing or self._ready or self._reader.has_unread:
            raise LinkError("the stream can't be detached")
        return cast(asyncio.Transport, self._writer.transport)

    def abort(self) -> None:
        """Close the stream at once and drop unsent data."""
        self._writer.transport.abort()

    def discard(self) -> None:
        """Close the stream, and drop what was sent and has not arrived.

        This is for a stream whose peer may still begin or continue work on what was sent.
        """
        Discard(cast(asyncio.Transport, self._writer.transport))
