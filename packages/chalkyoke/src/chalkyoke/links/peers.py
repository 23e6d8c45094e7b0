"""
chalkyoke.links.peers

All links of one process: a listener, and one outgoing link to each process to which it sends.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

import msgspec

from chalkyoke.decimals import parse_count
from chalkyoke.decoding.addresses import MAX_PORT
from chalkyoke.decoding.decoder import MAX_REASON_CHARS
from chalkyoke.exceptions import ChalkyokeError, LinkError, ProtocolError
from chalkyoke.links import intake
from chalkyoke.links.codec import FrameCodec
from chalkyoke.links.connection import (
    MAX_UNSENT_BYTES,
    Clock,
    Connection,
    Identity,
    LinkCounters,
)
from chalkyoke.links.keepalive import KEEPALIVE_INTERVAL_S, Receipts, Unconfirmed
from chalkyoke.links.kinds import PeerKinds
from chalkyoke.links.messages import Challenge, Hello, Received, Skipped, Welcome
from chalkyoke.logs import logger
from chalkyoke.sockets import set_user_timeout

# Timeout of opening a link, in seconds: several round trips between regions.
CONNECT_S = 0.5
# Maximum number of messages that wait for a link to open: a busy node's messages of some
# heartbeat intervals.
MAX_QUEUED_MESSAGES = 2000
# Backoff after a failed connection attempt, in seconds, doubled per failure up to the maximum.
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
# Number of successive failures after which the state of an address is removed; the next message
# starts again with the shortest backoff.
MAX_FAILURES = 20
# Maximum number of pairs of a peer and a message kind that are remembered as logged.
MAX_LOGGED_KINDS = 1000
# TCP user timeout: time that the system waits for a peer's acknowledgement, in milliseconds. It is
# shorter than the time without heartbeats after which a peer is lost.
USER_TIMEOUT_MS = 1000
# Assumed size of a message that waits for its link to open, in bytes: they are not encoded yet, and
# most are heartbeats, grants and releases.
QUEUED_MESSAGE_BYTES = 500

Handler = Callable[[Connection, msgspec.Struct], Awaitable[None] | None]

log = logger("links")


class _Outgoing:
    """An outgoing link, with a bounded queue of messages while it is not connected."""

    def __init__(self) -> None:
        self.queue: deque[msgspec.Struct] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.connection: Connection | None = None
        self.task: asyncio.Task[None] | None = None
        self.failures = 0
        self.unconfirmed = Unconfirmed()
        self.is_full = False


class Links:
    """Send messages to other processes by address, and receive theirs.

    Messages may be lost when a link breaks; senders repeat messages that must not be lost.

    :param me: the identity of this process.
    :param types: all message types that may be received.
    :param handler: called with each received message; an awaitable that it returns is awaited, and
        then the stream is closed.
    :param listen: the address to listen on, if it differs from the announced one.
    :param kinds: the kinds that peers understand whose version does not announce them; None means
        all kinds.
    :ivar max_unsent_bytes: returns the size of one link's send buffer above which messages are
        dropped, in bytes; at most ``MAX_UNSENT_BYTES``. It may be replaced.
    """

    def __init__(
        self,
        me: Identity,
        types: tuple[type[msgspec.Struct], ...],
        clock: Clock,
        handler: Handler,
        listen: str = "",
        kinds: PeerKinds | None = None,
    ) -> None:
        self.me = me
        self._listen = listen or me.address
        self.counters = LinkCounters()
        self._codec = FrameCodec((*types, Challenge, Hello, Received, Welcome))
        self._clock = clock
        self._handler = handler
        self._kinds = kinds or PeerKinds()
        self._logged_kinds: set[tuple[str, str]] = set()
        self._outgoing: dict[str, _Outgoing] = {}
        self._incoming: dict[Connection, Receipts] = {}
        self._next_confirm = 0.0
        self.max_unsent_bytes: Callable[[], int] = lambda: MAX_UNSENT_BYTES
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Start to listen for links of other processes.

        :raises OSError: when the address can't be bound.
        """
        ip, port = self._listen.rsplit(":", 1)
        self._server = await intake.listen(self._serve, ip, int(port))

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
        """Send a message, or queue it until the link is open.

        :param address: ``ip:port`` of the other process's listener.
        """
        outgoing = self._outgoing.get(address)
        if outgoing is None:
            outgoing = self._outgoing[address] = _Outgoing()
        if outgoing.connection is not None and not outgoing.connection.closing:
            self._send_on(address, outgoing, message)
            return

        if len(outgoing.queue) == MAX_QUEUED_MESSAGES:
            self.counters.dropped += 1
        outgoing.queue.append(message)
        if outgoing.task is None:
            outgoing.task = asyncio.create_task(self._run(address, outgoing))

    def withholds(self, address: str, kind: type[msgspec.Struct]) -> bool:
        """Return whether messages of a kind are not sent, as the peer does not understand them.

        :param address: ``ip:port`` of the other process's listener.
        :return: false also while no link to the peer is open.
        """
        outgoing = self._outgoing.get(address)
        connection = outgoing.connection if outgoing is not None else None
        if connection is None or connection.closing:
            return False
        tag = str(kind.__struct_config__.tag)
        return not self._kinds.understands(connection.peer, connection.peer_kinds, tag)

    def keep_alive(self, confirm_s: float) -> None:
        """Confirm received messages and abort outgoing links whose peer stopped confirming.

        Call every ``KEEPALIVE_INTERVAL_S``. Messages in transit on an aborted link are lost, as
        after a reset; the next message to the peer opens a new link.

        :param confirm_s: how often to confirm, in seconds.
        """
        now = asyncio.get_running_loop().time()
        if now >= self._next_confirm:
            self._next_confirm = now + confirm_s - KEEPALIVE_INTERVAL_S / 2
            self._confirm(confirm_s, now)
        for address, outgoing in self._outgoing.items():
            if outgoing.connection is None or not outgoing.unconfirmed.is_silent(now):
                continue
            self.counters.silent += 1
            log.notice(
                "link_silent",
                peer=address,
                unconfirmed=outgoing.unconfirmed.count,
                unsent_bytes=outgoing.connection.unsent_bytes,
            )
            outgoing.connection.abort()

    def unsent_bytes(self) -> int:
        """Return the size of the send buffers of all links, in bytes.

        :rtype: int
        """
        open_ones = (each.connection for each in self._outgoing.values())
        return sum(each.unsent_bytes for each in open_ones if each is not None)

    def buffered_bytes(self) -> int:
        """Return the estimated memory of all messages that wait to be sent, in bytes.

        :rtype: int
        """
        queued = sum(len(each.queue) for each in self._outgoing.values())
        answers = sum(each.unsent_bytes for each in self._incoming)
        return self.unsent_bytes() + answers + queued * QUEUED_MESSAGE_BYTES

    def _max_unsent(self) -> int:
        return min(MAX_UNSENT_BYTES, self.max_unsent_bytes())

    def _confirm(self, every_s: float, now: float) -> None:
        for connection, receipts in list(self._incoming.items()):
            due = receipts.next_confirmation()
            if due is not None:
                connection.send(Received(due, every_s))
            elif receipts.is_idle(now):
                connection.abort()

    def _send_on(self, address: str, outgoing: _Outgoing, message: msgspec.Struct) -> None:
        connection = outgoing.connection
        if connection is None:
            return
        kind = str(message.__struct_config__.tag)
        if not self._kinds.understands(connection.peer, connection.peer_kinds, kind):
            self.counters.withheld += 1
            self._log_unknown_kind(connection.peer, kind, "withheld")
        elif connection.send(message):
            outgoing.is_full = False
            outgoing.unconfirmed.note_sent(asyncio.get_running_loop().time())
        elif not outgoing.is_full:
            outgoing.is_full = True
            log.notice("link_full", peer=address, unsent_bytes=connection.unsent_bytes)

    def _log_unknown_kind(self, peer: str, kind: str, how: str) -> None:
        """Log once per peer and kind that two versions differ in a kind of message."""
        if (peer, kind) in self._logged_kinds:
            return
        if len(self._logged_kinds) >= MAX_LOGGED_KINDS:
            self._logged_kinds.clear()
        self._logged_kinds.add((peer, kind))
        log.notice("kind_unknown", peer=peer, kind=kind, how=how)

    async def open(self, address: str) -> Connection:
        """Open a separate stream, for a transfer that must not delay other messages.

        :raises LinkError: when the listener can't be reached or the handshake fails.
        """
        ip, _, digits = address.rpartition(":")
        port = parse_count(digits)
        if port is None or port > MAX_PORT:
            raise LinkError(f"invalid address {address[:MAX_REASON_CHARS]!r}")
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await intake.open_stream(ip, port)
        except (OSError, TimeoutError) as error:
            raise LinkError(f"cannot reach {address}: {error}") from error
        set_user_timeout(writer, USER_TIMEOUT_MS)
        connection = self._make_connection(reader, writer)
        try:
            await connection.handshake_as_caller(self.me)
        except LinkError:
            connection.abort()
            raise
        return connection

    def _make_connection(
        self, reader: intake.ByteStreamReader, writer: asyncio.StreamWriter
    ) -> Connection:
        return Connection(reader, writer, self._codec, self._clock, self.counters, self._max_unsent)

    async def _run(self, address: str, outgoing: _Outgoing) -> None:
        """Open a link and serve it until it ends.

        The link is always retired at its end: a closed link that stayed registered would never be
        reopened, and its peer would receive no more messages from this process.
        """
        try:
            await self._run_connection(address, outgoing)
        except LinkError:
            outgoing.failures += 1
            doubled: float = FIRST_BACKOFF_S * 2 ** min(outgoing.failures, 6)
            await asyncio.sleep(min(MAX_BACKOFF_S, doubled))
        except Exception as error:
            log.error("link_broke", peer=address, error=repr(error))
            raise
        finally:
            self._retire(address, outgoing)

    async def _run_connection(self, address: str, outgoing: _Outgoing) -> None:
        """Connect, send the queued messages, and wait for the end of the link.

        :raises LinkError: when the listener can't be reached or the handshake fails.
        """
        connection = await self.open(address)
        outgoing.failures = 0
        outgoing.connection = connection
        outgoing.unconfirmed = Unconfirmed()
        while outgoing.queue:
            self._send_on(address, outgoing, outgoing.queue.popleft())

        def on_message(message: msgspec.Struct) -> None:
            if isinstance(message, Received):
                now = asyncio.get_running_loop().time()
                outgoing.unconfirmed.note_confirmed(message.count, message.every_s, now)

        try:
            await connection.deliver(on_message)
        except ProtocolError as error:
            log.notice("link_unreadable", peer=address, why=str(error))
        finally:
            connection.abort()

    def _retire(self, address: str, outgoing: _Outgoing) -> None:
        outgoing.connection = None
        outgoing.queue.clear()
        outgoing.task = None
        if outgoing.failures == 0 or outgoing.failures > MAX_FAILURES:
            self._outgoing.pop(address, None)

    async def _serve(self, reader: intake.ByteStreamReader, writer: asyncio.StreamWriter) -> None:
        connection = self._make_connection(reader, writer)
        loop = asyncio.get_running_loop()
        receipts = Receipts(loop.time())
        try:
            await connection.handshake_as_listener(self.me)
            self._incoming[connection] = receipts

            def on_message(message: msgspec.Struct) -> Awaitable[None] | None:
                receipts.note_received(loop.time())
                if isinstance(message, Skipped):
                    self.counters.skipped += 1
                    self._log_unknown_kind(connection.peer, message.kind, "skipped")
                    return None
                self._kinds.note_sent(connection.peer, str(message.__struct_config__.tag))
                return self._handler(connection, message)

            answered = await connection.deliver(on_message)
            # From here on the answer uses the stream, which needs no confirmations any more.
            self._incoming.pop(connection, None)
            if answered is not None:
                await answered
        except ChalkyokeError as error:
            log.info("link_refused", peer=connection.peer_address, why=str(error))
        finally:
            self._incoming.pop(connection, None)
            connection.abort()
