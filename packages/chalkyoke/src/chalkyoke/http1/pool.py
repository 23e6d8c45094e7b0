"""
chalkyoke.http1.pool

Kept connections to upstreams, by address.
"""

import asyncio
from enum import StrEnum

import msgspec

from chalkyoke.http1.client import ClientConnection
from chalkyoke.sockets import set_user_timeout

# How long a connection is kept whose upstream does not say how long it keeps it, in seconds.
DEFAULT_IDLE_LIMIT_S = 20.0
# How much sooner than an upstream says a connection is given up, in seconds: it tells whole ones.
KEEP_ALIVE_MARGIN_S = 1.0
# How long bytes may stay unconfirmed before the system gives a connection up, in milliseconds: less
# than the 3 s that operators forgive a disturbed connection.
USER_TIMEOUT_MS = 2500


class ConnectFailure(StrEnum):
    """Why there is no connection. Nothing was sent in any of these cases."""

    REFUSED = "refused"
    TIMED_OUT = "timed_out"
    AT_LIMIT = "at_limit"


class _AddressEntry(msgspec.Struct):
    idle: list[ClientConnection] = msgspec.field(default_factory=list)
    open: int = 0


class ConnectionPool:
    """Keep connections to upstreams.

    Usage::

      >>> connection = await pool.connect("10.0.0.9", 8080, limit=50, timeout_s=0.3, fresh_s=20.0)
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._addresses: dict[tuple[str, int], _AddressEntry] = {}
        self.opened_connections = 0

    async def connect(
        self, ip: str, port: int, *, limit: int, timeout_s: float, fresh_s: float
    ) -> ClientConnection | ConnectFailure:
        """Take a kept connection, or open one.

        :param limit: connections at most to this address.
        :param timeout_s: how long the opening may take.
        :param fresh_s: a kept connection is taken only if it was used within this time.
        """
        entry = self._addresses.setdefault((ip, port), _AddressEntry())
        kept = self._take_idle(entry, fresh_s)
        if kept is not None:
            return kept
        return await self.open(ip, port, limit=limit, timeout_s=timeout_s)

    async def open(
        self, ip: str, port: int, *, limit: int, timeout_s: float
    ) -> ClientConnection | ConnectFailure:
        """Open a connection, also where some are kept.

        :param limit: connections at most to this address.
        :param timeout_s: how long the opening may take.
        """
        entry = self._addresses.setdefault((ip, port), _AddressEntry())
        if entry.open >= limit:
            return ConnectFailure.AT_LIMIT

        entry.open += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await self._loop.create_connection(ClientConnection, ip, port)
        except TimeoutError:
            entry.open -= 1
            return ConnectFailure.TIMED_OUT
        except OSError:
            entry.open -= 1
            return ConnectFailure.REFUSED
        except BaseException:
            entry.open -= 1
            raise
        self.opened_connections += 1
        set_user_timeout(connection.transport, USER_TIMEOUT_MS)
        connection.on_close = lambda closed: self._remove_closed((ip, port), closed)
        if connection.closed:
            self._remove_closed((ip, port), connection)
        return connection

    def release(self, ip: str, port: int, connection: ClientConnection) -> None:
        """Keep a connection whose answer has ended, if it can serve again."""
        entry = self._addresses.get((ip, port))
        if entry is None or not connection.reusable:
            if not connection.closed:
                connection.transport.close()
            return
        entry.idle.append(connection)

    def abort_idle(self, ip: str, port: int) -> None:
        """Close the kept connections to an address, since they may have gone silent."""
        entry = self._addresses.get((ip, port))
        if entry is None:
            return
        for connection in entry.idle:
            connection.transport.abort()
        entry.idle.clear()

    def close_expired(self) -> None:
        """Close what has been idle for too long; call about once a second."""
        now = self._loop.time()
        for key, entry in list(self._addresses.items()):
            for connection in list(entry.idle):
                if not connection.reusable or now - connection.idle_since > _idle_limit_s(
                    connection
                ):
                    entry.idle.remove(connection)
                    connection.transport.close()
            if entry.open == 0 and not entry.idle:
                del self._addresses[key]

    def close(self) -> None:
        """Close all kept connections."""
        for entry in self._addresses.values():
            for connection in entry.idle:
                connection.transport.abort()

    def _take_idle(self, entry: _AddressEntry, fresh_s: float) -> ClientConnection | None:
        now = self._loop.time()
        while entry.idle:
            connection = entry.idle.pop()
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
        entry.open -= 1
        if connection in entry.idle:
            entry.idle.remove(connection)


def _idle_limit_s(connection: ClientConnection) -> float:
    if connection.keep_alive_s <= 0:
        return DEFAULT_IDLE_LIMIT_S
    return max(0.0, connection.keep_alive_s - KEEP_ALIVE_MARGIN_S)
