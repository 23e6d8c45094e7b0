"""
chalkyoke.tunnels.opener

Opens tunnels to replicas through other hosts.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from chalkyoke.exceptions import LinkError, ProtocolError
from chalkyoke.http1.client import ClientConnection
from chalkyoke.http1.dialing import MakeConnection
from chalkyoke.links.connection import Connection
from chalkyoke.membership.messages import MemberRecord
from chalkyoke.tunnels.messages import (
    TUNNEL_REQUEST_KIND,
    TunnelAnswer,
    TunnelOutcome,
    TunnelRequest,
)
from chalkyoke.tunnels.paths import Address

# Timeout for opening a tunnel through one host, in seconds: the handshake of a stream between
# failure domains, and that host's own attempt to connect.
OPEN_TIMEOUT_S = 0.4
# Highest number of hosts that are asked for one tunnel.
MAX_HOSTS_ASKED = 3
# Time for which a host is not asked again after it could not open a tunnel, in seconds.
AVOID_S = 1.0


class Streams(Protocol):
    """Opens separate streams to other hosts."""

    async def open(self, address: str) -> Connection:
        """Open a stream to the link listener at an address.

        :raises LinkError: when the listener can't be reached.
        """


class TunnelOpener:
    """Open tunnels to replicas.

    A host of this failure domain is asked first, since the bytes then leave the domain only once.
    The others are asked at random: all hosts of a failure domain may have lost their paths.

    :param me: process of this host.
    :param domain: its failure domain.
    :param members: returns the live members of the fleet.
    :param random: source of numbers in [0, 1), to spread tunnels over hosts.
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        me: str,
        domain: str,
        streams: Streams,
        members: Callable[[], Iterable[MemberRecord]],
        random: Callable[[], float],
        now: Callable[[], float],
    ) -> None:
        self._me = me
        self._domain = domain
        self._streams = streams
        self._members = members
        self._random = random
        self._now = now
        self._avoided_until: dict[str, float] = {}
        self._without_tunnels: set[str] = set()

    def fit_processes(self) -> set[str]:
        """Return the processes through which tunnels may be opened."""
        return {each.process for each in self._members() if self._is_fit(each)}

    async def open(
        self, address: Address, make: MakeConnection
    ) -> ClientConnection | TunnelOutcome:
        """Open a tunnel to a replica through the first host that reaches it.

        :param make: creates the protocol of the connection.
        :return: the connection; otherwise ``UNREACHABLE`` if a host reaches other replicas only,
            ``NO_PATH`` if there is no other host left to ask for now, else ``BUSY``.
        """
        for member in self._candidates():
            found = await self._open_through(member, address, make)
            if isinstance(found, ClientConnection) or found is TunnelOutcome.UNREACHABLE:
                return found
            self._avoided_until[member.process] = self._now() + AVOID_S
        now = self._now()
        fit = self.fit_processes()
        left = any(now >= self._avoided_until.get(each, 0.0) for each in fit)
        return TunnelOutcome.BUSY if left else TunnelOutcome.NO_PATH

    def _is_fit(self, member: MemberRecord) -> bool:
        return (
            member.process != self._me
            and member.ready
            and not member.leaving
            and member.process not in self._without_tunnels
        )

    def _candidates(self) -> list[MemberRecord]:
        """List the hosts to ask in turn, without those that could not help lately."""
        now = self._now()
        self._avoided_until = {
            process: until for process, until in self._avoided_until.items() if until > now
        }
        members = list(self._members())
        self._without_tunnels &= {each.process for each in members}
        fit = [each for each in members if self._is_fit(each)]
        asked = [each for each in fit if each.process not in self._avoided_until]
        asked.sort(key=lambda _: self._random())
        own = [each for each in fit if each.failure_domain == self._domain]
        if own and all(each in asked for each in own):
            first = next(each for each in asked if each.failure_domain == self._domain)
            asked.remove(first)
            asked.insert(0, first)
        return asked[:MAX_HOSTS_ASKED]

    async def _open_through(
        self, member: MemberRecord, address: Address, make: MakeConnection
    ) -> ClientConnection | TunnelOutcome:
        """Ask one host; a host that does not answer in time counts as busy."""
        stream: Connection | None = None
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                stream = await self._streams.open(member.address)
                outcome = await self._request(stream, address)
            if outcome is not TunnelOutcome.OPENED:
                stream.abort()
                return outcome
            return _connect_through(stream, make)
        except (LinkError, ProtocolError, TimeoutError):
            if stream is not None:
                stream.abort()
            return TunnelOutcome.BUSY
        except BaseException:
            if stream is not None:
                stream.abort()
            raise

    async def _request(self, stream: Connection, address: Address) -> TunnelOutcome:
        if TUNNEL_REQUEST_KIND not in stream.peer_kinds:
            # A host of an older version would close the stream without an answer.
            self._without_tunnels.add(stream.peer)
            return TunnelOutcome.BUSY
        stream.send(TunnelRequest(*address))
        answer = await stream.receive()
        if not isinstance(answer, TunnelAnswer):
            return TunnelOutcome.BUSY
        try:
            return TunnelOutcome(answer.outcome)
        except ValueError:
            return TunnelOutcome.BUSY


def _connect_through(stream: Connection, make: MakeConnection) -> ClientConnection:
    """Use a stream as a connection to the replica.

    :raises LinkError: when the stream has closed meanwhile.
    """
    transport = stream.detach()
    connection = make()
    connection.via, connection.stream = stream.peer, stream
    transport.set_protocol(connection)
    connection.connection_made(transport)
    return connection
