"""
chalkyoke.http1.pool

A pool of idle connections to upstreams, by address.
"""

import asyncio
from collections.abc import Iterator

import msgspec

from chalkyoke.http1.client import BoundedClientConnection, ClientConnection
from chalkyoke.http1.dialing import ConnectFailure, Dialer, DirectDialer
from chalkyoke.http1.memory import SYSTEM_UNSENT_BYTES
from chalkyoke.memory.account import MemoryAccount
from chalkyoke.sockets import bound_unread, bound_unsent, set_user_timeout

# Longest idle time of a connection whose upstream announces no keep-alive time, in seconds.
DEFAULT_IDLE_LIMIT_S = 20.0
# Seconds by which an idle connection is closed before the time that its upstream announces, because
# upstreams announce whole seconds.
KEEP_ALIVE_MARGIN_S = 1.0
# Milliseconds that sent bytes may stay unacknowledged before the operating system closes a
# connection: less than the 3 s of disturbance that operators tolerate on a connection.
USER_TIMEOUT_MS = 2500


class _AddressEntry(msgspec.Struct):
    """The connections to one address.

    :ivar connections: all open connections, idle ones included.
    :ivar opening: number of connections that are being opened.
    """

    idle_connections: list[ClientConnection] = msgspec.field(default_factory=list)
    connections: set[ClientConnection] = msgspec.field(default_factory=set)
    opening: int = 0

    @property
    def count(self) -> int:
        """Number of connections that count toward the limit."""
        return len(self.connections) + self.opening


class ConnectionPool:
    """Open connections to upstreams and keep idle ones for reuse.

    :param memory: the host's account; with a limit, the system's buffers of each connection are
        bounded.
    :param dialer: opens the connections; by default, from this host only.
    :ivar opened_connections: number of connections opened so far.

    Usage::

      >>> connection = await pool.connect(
      ...     "10.0.0.9", 8080, limit=50, timeout_s=0.3, fresh_s=20.0, request_id="r1"
      ... )
    """

    def __init__(self, memory: MemoryAccount | None = None, dialer: Dialer | None = None) -> None:
        self._memory = memory or MemoryAccount()
        self._dialer = dialer or DirectDialer()
        self._loop = asyncio.get_running_loop()
        self._addresses: dict[tuple[str, int], _AddressEntry] = {}
        self.opened_connections = 0

    async def connect(
        self,
        ip: str,
        port: int,
        *,
        limit: int,
        timeout_s: float,
        fresh_s: float,
        request_id: str | None,
    ) -> ClientConnection | ConnectFailure:
        """Reuse an idle connection, or open a new one.

        :param limit: highest number of open connections to this address.
        :param timeout_s: limit for opening a connection, in seconds.
        :param fresh_s: longest idle time of a reused connection, in seconds.
        :param request_id: id of the request, by which its answer is known. A connection over which
            it was sent before is not reused; at the limit an idle one is closed to make room.
        """
        entry = self._addresses.setdefault((ip, port), _AddressEntry())
        idle = self._take_idle(entry, fresh_s, request_id)
        if idle is not None:
            return idle
        if entry.count >= limit:
            _close_one_idle(entry)
        return await self.open(ip, port, limit=limit, timeout_s=timeout_s)

    async def open(
        self, ip: str, port: int, *, limit: int, timeout_s: float
    ) -> ClientConnection | ConnectFailure:
        """Open a new connection even if idle ones exist.

        :param limit: highest number of open connections to this address.
        :param timeout_s: limit for opening the connection, in seconds.
        """
        entry = self._addresses.setdefault((ip, port), _AddressEntry())
        if entry.count >= limit:
            return ConnectFailure.AT_LIMIT

        entry.opening += 1
        try:
            found = await self._dialer.dial(self.make_connection, ip, port, timeout_s)
        finally:
            entry.opening -= 1
        if isinstance(found, ClientConnection):
            self._add(ip, port, found)
        return found

    async def is_path_lost(self, ip: str, port: int) -> bool:
        """Check whether only other hosts reach an upstream whose connection has failed.

        Such a failure is no sign that the upstream is down.
        """
        return await self._dialer.is_path_lost(ip, port)

    def make_connection(self) -> ClientConnection:
        """Create the protocol of a connection."""
        if not self._memory.is_limited:
            return ClientConnection()
        # A read of half of what may be unread keeps the sender busy meanwhile.
        return BoundedClientConnection(self._memory.unread_bound // 2)

    def adopt(self, ip: str, port: int, connection: ClientConnection) -> None:
        """Add a connection that was opened elsewhere as an idle one."""
        self._add(ip, port, connection)
        self.release(ip, port, connection)

    def silent_s(self, ip: str, port: int) -> float:
        """Return for how long an upstream has sent nothing amid its answers, in seconds.

        It is 0 while the upstream has begun no answer: then its silence means nothing.
        """
        entry = self._addresses.get((ip, port))
        if entry is None:
            return 0.0
        heard = [each.heard_at for each in entry.connections if each.is_answering]
        return self._loop.time() - max(heard) if heard else 0.0

    def connections(self) -> Iterator[tuple[tuple[str, int], ClientConnection]]:
        """Iterate over all open connections with their addresses."""
        for address, entry in list(self._addresses.items()):
            for connection in list(entry.connections):
                yield address, connection

    def _add(self, ip: str, port: int, connection: ClientConnection) -> None:
        entry = self._addresses.setdefault((ip, port), _AddressEntry())
        self.opened_connections += 1
        set_user_timeout(connection.transport, USER_TIMEOUT_MS)
        if self._memory.is_limited:
            bound_unread(connection.transport, self._memory.unread_bound)
            bound_unsent(connection.transport, SYSTEM_UNSENT_BYTES)
        entry.connections.add(connection)
        connection.on_close = lambda closed: self._remove_closed((ip, port), closed)
        if connection.closed:
            self._remove_closed((ip, port), connection)

    def release(self, ip: str, port: int, connection: ClientConnection) -> None:
        """Return a connection to the pool after its exchange, or close it if it can't be reused."""
        entry = self._addresses.get((ip, port))
        if entry is None or not connection.reusable:
            connection.retire()
            return
        entry.idle_connections.append(connection)

    def abort_idle(self, ip: str, port: int) -> None:
        """Abort the idle connections to an address, because they may be dead."""
        entry = self._addresses.get((ip, port))
        if entry is None:
            return
        for connection in entry.idle_connections:
            connection.transport.abort()
        entry.idle_connections.clear()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long; call about once a second."""
        now = self._loop.time()
        for key, entry in list(self._addresses.items()):
            for connection in list(entry.idle_connections):
                if not connection.reusable or now - connection.idle_since > _idle_limit_s(
                    connection
                ):
                    entry.idle_connections.remove(connection)
                    connection.transport.close()
            if entry.count == 0:
                del self._addresses[key]

    def close(self) -> None:
        """Abort all idle connections."""
        for entry in self._addresses.values():
            for connection in entry.idle_connections:
                connection.transport.abort()

    def _take_idle(
        self, entry: _AddressEntry, fresh_s: float, request_id: str | None
    ) -> ClientConnection | None:
        now = self._loop.time()
        for connection in reversed(entry.idle_connections.copy()):
            if not connection.may_send(request_id):
                continue
            entry.idle_connections.remove(connection)
            age = now - connection.idle_since
            if connection.reusable and age <= min(fresh_s, _idle_limit_s(connection)):
                return connection
            connection.transport.close()
        return None

    def _remove_closed(self, key: tuple[str, int], connection: ClientConnection) -> None:
        connection.on_close = None
        entry = self._addresses.get(key)
        if entry is None:
            return
        entry.connections.discard(connection)
        if connection in entry.idle_connections:
            entry.idle_connections.remove(connection)


def _close_one_idle(entry: _AddressEntry) -> None:
    """Close an idle connection, if there is one, so that it no longer counts toward the limit."""
    if not entry.idle_connections:
        return
    connection = entry.idle_connections.pop(0)
    entry.connections.discard(connection)
    connection.transport.close()


def _idle_limit_s(connection: ClientConnection) -> float:
    if connection.keep_alive_s <= 0:
        return DEFAULT_IDLE_LIMIT_S
    return max(0.0, connection.keep_alive_s - KEEP_ALIVE_MARGIN_S)
