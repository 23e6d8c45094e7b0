"""
chalkyoke.tunnels.server

Serves tunnels: connects streams of other hosts to replicas that this host reaches.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import cast

from chalkyoke.discard import Discard
from chalkyoke.exceptions import LinkError
from chalkyoke.hangups import HangupWatch
from chalkyoke.http1.memory import SYSTEM_UNSENT_BYTES
from chalkyoke.http1.pool import USER_TIMEOUT_MS
from chalkyoke.links.connection import Connection
from chalkyoke.logs import logger
from chalkyoke.memory.account import MemoryAccount, Purpose
from chalkyoke.sockets import bound_unread, bound_unsent, connect, set_user_timeout
from chalkyoke.tunnels.dialer import CHECK_TIMEOUT_S, FleetDialer
from chalkyoke.tunnels.messages import TunnelAnswer, TunnelOutcome, TunnelRequest
from chalkyoke.tunnels.paths import Address

# Highest number of tunnels that this host serves: with two file descriptors each, a tenth of those
# of the smallest hosts that operators run.
MAX_TUNNELS = 200
# Time for which a process stays lost before its tunnels end, in seconds: a live one is taken for
# lost for up to a second while another host of its failure domain starts.
LOST_S = 2.0
# Interval at which a stop checks whether tunnels are still open, in seconds.
END_CHECK_S = 0.05

log = logger("tunnels")


class TunnelEnd(asyncio.Protocol):
    """One end of a tunnel. Writes received bytes to the other end, at the pace of its reader.

    :param account: counts the bytes that wait to be written to this end.
    """

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._charge = account.open(Purpose.TUNNELS)
        self._discard: Discard | None = None
        self.closed = asyncio.Event()
        self.other: TunnelEnd | None = None
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Write bytes to the other end."""
        if self._discard is not None:
            # The replica still works on a request that was given up.
            self._discard.reset()
        elif self.other is None:
            self.transport.abort()
        else:
            self.other.transport.write(data)

    def pause_writing(self) -> None:
        """Stop reading at the other end, as this end is read too slowly."""
        self._charge.resize(self.transport.get_write_buffer_size() + self._account.unread_bound)
        if self.other is not None:
            self.other.pause_reading()

    def resume_writing(self) -> None:
        """Read at the other end again."""
        self._charge.release()
        if self.other is not None:
            self.other.resume_reading()

    def pause_reading(self) -> None:
        """Read no more from this end's peer."""
        if not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read from this end's peer again."""
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        """Close this end when its peer closes it."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the tunnel."""
        self._charge.release()
        self.closed.set()
        if self.other is not None:
            self.other.end(broken=exc is not None)

    def end(self, *, broken: bool) -> None:
        """Close this end after what is written, or at once if the other end broke."""
        if broken:
            self.transport.abort()
        else:
            self.transport.close()

    def discard(self) -> None:
        """Close this end, and drop what was written to it and has not arrived."""
        if self._discard is None:
            self._discard = Discard(self.transport)


class CallingEnd(TunnelEnd):
    """The end at the host that has asked for the tunnel."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        super().connection_made(transport)
        self._hangups = HangupWatch(transport, self.transport.abort)

    def pause_reading(self) -> None:
        """Read no more from the host, but notice that it closes the tunnel."""
        super().pause_reading()
        self._hangups.start()

    def resume_reading(self) -> None:
        """Read from the host again."""
        self._hangups.stop()
        super().resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """End the tunnel; nobody reads the answer to what the replica has not received yet."""
        self._hangups.stop()
        self._charge.release()
        self.closed.set()
        if self.other is not None:
            self.other.discard()


class TunnelServer:
    """Serve tunnels to replicas.

    :param dialer: knows which replicas this host reaches.
    :param replicas: returns the addresses of all replicas.
    :ivar tunnels: the open tunnels, by the end at the host that asked, with its process.
    """

    def __init__(
        self, dialer: FleetDialer, replicas: Callable[[], set[Address]], account: MemoryAccount
    ) -> None:
        self._dialer = dialer
        self._replicas = replicas
        self._account = account
        self._stopping = False
        self._opening = 0
        self.tunnels: dict[CallingEnd, str] = {}
        self._lost: dict[str, asyncio.TimerHandle] = {}

    async def serve(self, stream: Connection, message: TunnelRequest) -> None:
        """Answer a request for a tunnel, and serve the tunnel until its end.

        :param stream: the stream on which the request came.
        """
        address = (message.ip, message.port)
        self._opening += 1
        try:
            found = await self._connect(address)
        finally:
            self._opening -= 1
        if isinstance(found, TunnelOutcome):
            log.info("tunnel_refused", peer=stream.peer, replica=message.ip, why=found)
            await stream.send_and_wait(TunnelAnswer(found))
            return
        await self._splice(stream, found)

    def refuse_new(self) -> None:
        """Open no tunnel from now on; a host that has not seen this one leave asks another one."""
        self._stopping = True

    async def finish(self, seconds: float) -> None:
        """Open no tunnel from now on, and wait for the end of the open and the opening ones.

        The hosts that use them close them after their requests, since they see this host leave.

        :param seconds: longest time to wait.
        """
        self.refuse_new()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, seconds)):
                while self._opening or self.tunnels:  # noqa: ASYNC110
                    await asyncio.sleep(END_CHECK_S)

    def member_left(self, process: str) -> None:
        """End the tunnels of a process that stays lost for :data:`LOST_S`.

        A tunnel that has ended can't be taken back, and a process that is believed lost may live.
        """
        if process not in self._lost:
            loop = asyncio.get_running_loop()
            self._lost[process] = loop.call_later(LOST_S, self._end_tunnels, process)

    def member_joined(self, process: str) -> None:
        """Keep the tunnels of a process that was believed lost."""
        if (timer := self._lost.pop(process, None)) is not None:
            timer.cancel()

    def _end_tunnels(self, process: str) -> None:
        del self._lost[process]
        for end in [end for end, user in self.tunnels.items() if user == process]:
            end.transport.abort()

    async def _connect(self, address: Address) -> TunnelEnd | TunnelOutcome:
        if self._stopping or self._account.is_scarce:
            return TunnelOutcome.BUSY
        if len(self.tunnels) + self._opening > MAX_TUNNELS:
            return TunnelOutcome.BUSY
        if address not in self._replicas():
            return TunnelOutcome.UNKNOWN_REPLICA
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                _, end = await connect(lambda: TunnelEnd(self._account), *address)
        except (TimeoutError, OSError):
            reaches_others = await self._dialer.reaches_others(address, began)
            return TunnelOutcome.UNREACHABLE if reaches_others else TunnelOutcome.NO_PATH
        set_user_timeout(end.transport, USER_TIMEOUT_MS)
        if self._account.is_limited:
            bound_unread(end.transport, self._account.unread_bound)
            bound_unsent(end.transport, SYSTEM_UNSENT_BYTES)
        return end

    async def _splice(self, stream: Connection, replica_end: TunnelEnd) -> None:
        """Connect a stream to a replica until one of them closes."""
        try:
            transport = stream.detach()
        except LinkError:
            replica_end.transport.abort()
            raise
        calling_end = CallingEnd(self._account)
        calling_end.other, replica_end.other = replica_end, calling_end
        self.tunnels[calling_end] = stream.peer
        try:
            if self._account.is_limited:
                bound_unread(transport, self._account.unread_bound)
                bound_unsent(transport, SYSTEM_UNSENT_BYTES)
            transport.set_protocol(calling_end)
            calling_end.connection_made(transport)
            if replica_end.closed.is_set():
                return
            stream.send(TunnelAnswer(TunnelOutcome.OPENED))
            await calling_end.closed.wait()
        finally:
            del self.tunnels[calling_end]
            replica_end.discard()
