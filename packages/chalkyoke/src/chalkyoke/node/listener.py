"""
chalkyoke.node.listener

Listens for HTTP connections on one address and closes them on a planned stop.
"""

import asyncio
import resource
from collections.abc import Callable

from chalkyoke.catalog.resources import RequestLimits
from chalkyoke.http1.connection_limit import close_idle_connections, max_caller_connections
from chalkyoke.http1.server import ServerConnection, ServerLimits, StartHandler
from chalkyoke.logs import logger

# Number of new connections that may wait for accept: enough for a burst while the loop is busy.
BACKLOG_CONNECTIONS = 1024
# Interval at which a stop checks whether connections are still open, in seconds.
CLOSE_CHECK_S = 0.05

log = logger("node")


def server_limits(limits: RequestLimits) -> ServerLimits:
    """Return the limits of a server's connections that the catalog declares."""
    return ServerLimits(
        limits.header_bytes, limits.body_bytes, limits.header_timeout_s, limits.idle_timeout_s
    )


class Listener:
    """Accept HTTP connections on one address.

    :param address: ``ip:port``.
    :param start: starts the handler of one request.
    :param limits: returns the limits in force for requests and connections.
    :param descriptors: number of file descriptors that this process may open; 0 for the limit of
        the system.
    """

    def __init__(
        self,
        address: str,
        start: StartHandler,
        limits: Callable[[], ServerLimits],
        descriptors: int = 0,
    ) -> None:
        self._address = address
        self._start = start
        self._limits = limits
        self._max_connections = max_caller_connections(descriptors or _descriptor_limit())
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Start to accept connections.

        :raises OSError: if the address can't be bound.
        """
        ip, port = self._address.rsplit(":", 1)
        self._server = await asyncio.get_running_loop().create_server(
            self._make_connection,
            ip,
            int(port),
            backlog=BACKLOG_CONNECTIONS,
            reuse_address=True,
        )

    def close(self) -> None:
        """Stop accepting connections; open ones stay open."""
        if self._server is not None:
            self._server.close()

    async def finish_requests(self) -> None:
        """Close each connection after its request in progress, and wait until all are closed."""
        for connection in list(self._connections):
            connection.close_gracefully()
        while self._connections:  # noqa: ASYNC110
            await asyncio.sleep(CLOSE_CHECK_S)

    def _make_connection(self) -> ServerConnection:
        return ServerConnection(self._start, self._limits, self._connections, self._limit_idle)

    def _limit_idle(self) -> None:
        """Close idle connections if too many are open."""
        most = self._max_connections
        if closed := close_idle_connections(self._connections, most):
            log.notice("room_made", closed=closed, open=len(self._connections), most=most)


def _descriptor_limit() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
