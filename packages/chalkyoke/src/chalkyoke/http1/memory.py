"""
chalkyoke.http1.memory

The memory that callers' connections use: request bodies, and responses that callers have not taken.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

import msgspec

from chalkyoke.http1.messages import Headers
from chalkyoke.memory.account import MemoryAccount, Purpose
from chalkyoke.memory.bodygrants import BodyGrant, BodyGrants, BodyReader
from chalkyoke.memory.receiving import RECEIVE_BUFFER_BYTES, ReceiveBuffers
from chalkyoke.memory.stopped import stopped_by_size
from chalkyoke.sockets import SocketOptions, bound_unread, bound_unsent

# Bytes of responses in the program at which the handler of a request is told that its caller reads
# too slowly, and bytes that the system accepts for one peer before it can send them. The defaults
# of asyncio and the system are 64 KB and some 3 MB: several hundred slow readers would fill a
# small host before any of them was noticed.
WRITE_BUFFER_BYTES = 16_384
SYSTEM_UNSENT_BYTES = 16_384
# Retry-After time of a request that is refused for lack of memory, in seconds: time for some
# responses to drain, and below a third of the time that callers of plain services usually have.
RETRY_AFTER_S = 0.5
# Interval at which bodies that wait for memory are considered, in seconds.
GRANT_INTERVAL_S = 0.02


class HeadCheck(Protocol):
    """Decides by its head whether a request is read."""

    def __call__(self, target: bytes, headers: Headers, length: int) -> bool:
        """Return whether the request may be read.

        :param length: declared length of the body in bytes, 1 for a body of unknown length, 0 for
            no body.
        """


def admit_all(target: bytes, headers: Headers, length: int) -> bool:  # noqa: ARG001
    """Admit any request, where memory is not limited."""
    return True


class Released(msgspec.Struct, frozen=True):
    """A connection that was aborted to free its buffer.

    :param size: bytes that were buffered.
    :param stopped_s: time since its caller last took a byte, in seconds.
    """

    size: int
    stopped_s: float


class CallerMemory:
    """What callers' connections share: the account, and the buffers that are not empty.

    :param account: the host's account.
    :param admits: decides whether a request is read.
    :param on_upload_refused: called when an upload of unknown length is refused midway.
    :param on_head_refused: called when a request is refused before its head is complete.
    :param buffers: divides the memory for receive buffers among connections.
    :ivar grants: memory for bodies of unknown length.
    :ivar most_connections: the highest number of open connections so far.
    """

    def __init__(
        self,
        account: MemoryAccount | None = None,
        admits: HeadCheck = admit_all,
        on_upload_refused: Callable[[], None] = lambda: None,
        on_head_refused: Callable[[], None] = lambda: None,
        buffers: ReceiveBuffers | None = None,
    ) -> None:
        self.account = account or MemoryAccount()
        self.grants = BodyGrants(self.account)
        self._grant_timer: asyncio.TimerHandle | None = None
        self.admits = admits
        self.on_upload_refused = on_upload_refused
        self.on_head_refused = on_head_refused
        self._unsent: set[UnsentResponse] = set()
        self._buffers = buffers or ReceiveBuffers()
        self._buffer_bytes = RECEIVE_BUFFER_BYTES
        self.most_connections = 0
        self._listening: list[SocketOptions] = []

    def bound_listening(self, sockets: Iterable[SocketOptions]) -> None:
        """Bound what the system receives on each connection that listening sockets accept."""
        if self.account.is_limited:
            self._listening += sockets
            for each in self._listening:
                bound_unread(each, self._buffer_bytes)

    def share_receive_buffers(self, opened: asyncio.BaseTransport, connections: int) -> None:
        """Adapt the receive buffer of a new connection, and of later ones, to their number.

        :param connections: number of open connections.
        """
        self.most_connections = max(self.most_connections, connections)
        size = self._buffers.size(connections)
        if size != self._buffer_bytes:
            self._buffer_bytes = size
            for each in self._listening:
                if each.fileno() >= 0:
                    bound_unread(each, size)
        self.shrink_receive_buffer(opened)

    def shrink_receive_buffer(self, transport: asyncio.BaseTransport) -> None:
        """Give a connection a receive buffer as small as a new connection would get."""
        if self._buffer_bytes < RECEIVE_BUFFER_BYTES:
            bound_unread(transport, self._buffer_bytes)

    def watch(self, transport: asyncio.WriteTransport) -> "UnsentResponse | None":
        """Bound and account the buffers of a new connection; None without a limit."""
        if not self.account.is_limited:
            return None
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        bound_unsent(transport, SYSTEM_UNSENT_BYTES)
        return UnsentResponse(self.account, transport, self._unsent)

    def open_grant(self, reader: BodyReader) -> BodyGrant | None:
        """Begin to read a body of unknown length; None without a limit."""
        if not self.account.is_limited:
            return None
        return self.grants.open(reader, asyncio.get_running_loop().time())

    def watch_grants(self) -> None:
        """Consider waiting bodies until none is left; call when one begins to wait."""
        if self._grant_timer is None and self.grants.waiting:
            loop = asyncio.get_running_loop()
            self._grant_timer = loop.call_later(GRANT_INTERVAL_S, self._grant)

    def _grant(self) -> None:
        self._grant_timer = None
        self.grants.tick(asyncio.get_running_loop().time())
        self.watch_grants()

    def refresh(self, now: float) -> None:
        """Follow the buffers that have drained; call a few times a second.

        :param now: the loop's clock, in seconds.
        """
        for each in list(self._unsent):
            each.refresh(now)

    def release_stopped(self, now: float) -> Iterator[Released]:
        """Abort connections whose callers have stopped reading while memory is scarce.

        The largest buffer is released first.

        :param now: the loop's clock, in seconds.
        :return: what was released.
        """
        if not self.account.is_scarce:
            return
        for found in stopped_by_size(self._unsent, now):
            released = Released(found.unsent_bytes, now - found.progress_at)
            found.abort()
            yield released
            if not self.account.is_scarce:
                return


class UnsentResponse:
    """The bytes written to one connection that its caller has not taken yet.

    :ivar progress_at: when the caller last took a byte, or the buffer began to fill, on the loop's
        clock.
    """

    __slots__ = (
        "_buffers",
        "_charge",
        "_taken",
        "_transport",
        "_unsent",
        "_written",
        "progress_at",
    )

    def __init__(
        self,
        account: MemoryAccount,
        transport: asyncio.WriteTransport,
        buffers: set["UnsentResponse"],
    ) -> None:
        self._charge = account.open(Purpose.RESPONSES_SENT)
        self._transport = transport
        self._buffers = buffers
        self._written = 0
        self._taken = 0
        self._unsent = 0
        self.progress_at = 0.0

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes in the buffer."""
        return self._unsent

    def on_written(self, size: int, now: float) -> None:
        """Record that bytes were written.

        :param now: the loop's clock, in seconds.
        """
        self._written += size
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Read the size of the buffer.

        :param now: the loop's clock, in seconds.
        """
        unsent = self._transport.get_write_buffer_size()
        taken = self._written - unsent
        if taken > self._taken or not self._unsent:
            self.progress_at = now
        self._taken, self._unsent = taken, unsent
        # The system's buffer is full as long as the program's is not empty.
        self._charge.resize(unsent + SYSTEM_UNSENT_BYTES if unsent else 0)
        if unsent:
            self._buffers.add(self)
        else:
            self._buffers.discard(self)

    def close(self) -> None:
        """Refund the buffer of a closed connection."""
        self._unsent = 0
        self._charge.release()
        self._buffers.discard(self)

    def abort(self) -> None:
        """Abort the connection, which discards the buffer."""
        self.close()
        self._transport.abort()
