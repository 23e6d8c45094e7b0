"""
chalkyoke.node.listener

Listens for HTTP connections on one address and closes them on a planned stop.
"""

import asyncio
import socket
from collections.abc import Callable

import msgspec

from chalkyoke import sockets
from chalkyoke.catalog.resources import RequestLimits
from chalkyoke.http1.connection_limit import (
    descriptor_limit,
    make_room,
    max_caller_connections,
)
from chalkyoke.http1.incoming import ServerLimits
from chalkyoke.http1.lingering import LingeringConnections
from chalkyoke.http1.memory import CallerMemory
from chalkyoke.http1.refusals import NoReports, ReadReports
from chalkyoke.http1.server import ServerConnection, StartHandler
from chalkyoke.http1.turns import ParsingTurns
from chalkyoke.logs import logger
from chalkyoke.node.listening import ListenAddress
from chalkyoke.sockets import ACCEPTED_AT_ONCE

# Number of new connections that may wait for accept: enough for a burst while the loop is busy.
BACKLOG_CONNECTIONS = 1024
# Interval at which a stop checks whether connections are still open, in seconds.
CLOSE_CHECK_S = 0.05
# How long a stopping node waits for a request on a connection whose close no answer has announced,
# in seconds.
IDLE_CLOSE_S = 0.5

log = logger("node")


class ListenerParts(msgspec.Struct, frozen=True):
    """What the listeners of a node share.

    :param limits: returns the limits of callers' requests in force.
    :param descriptors: number of file descriptors that this process may open; 0 for the limit of
        the system.
    :param memory: what callers' connections share to account for their buffers.
    :param reports: told of callers' requests that are refused before they have been read.
    """

    limits: Callable[[], RequestLimits]
    descriptors: int
    memory: CallerMemory
    reports: ReadReports = NoReports()

    def for_callers(self, address: str, start: StartHandler) -> "Listener":
        """Make the listener for callers."""
        return Listener(
            address, start, self._server_limits, self.descriptors, self.memory, self.reports
        )

    def for_pages(self, address: str, start: StartHandler) -> "Listener":
        """Make the listener for a page of this node, which is served however scarce memory is."""
        return Listener(address, start, self._server_limits, self.descriptors)

    def _server_limits(self) -> ServerLimits:
        limits = self.limits()
        return ServerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )


class Listener:
    """Accept HTTP connections on one address.

    :param address: ``ip:port``.
    :param start: starts the handler of one request.
    :param limits: returns the limits in force for requests and connections.
    :param descriptors: number of file descriptors that this process may open; 0 for the limit of
        the system.
    :param memory: what its connections share to account for their buffers.
    :param reports: told of requests that are refused before they have been read.
    """

    def __init__(
        self,
        address: str,
        start: StartHandler,
        limits: Callable[[], ServerLimits],
        descriptors: int = 0,
        memory: CallerMemory | None = None,
        reports: ReadReports | None = None,
    ) -> None:
        self._address = address
        self._start = start
        self._limits = limits
        self._memory = memory or CallerMemory()
        self._reports = reports or NoReports()
        self._lingering = LingeringConnections(self._reports.on_answer_lost)
        self._turns = ParsingTurns()
        self._max_connections = max_caller_connections(descriptors or descriptor_limit())
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._opening: set[asyncio.Future[object]] = set()
        self._stopping = False

    @property
    def listen_address(self) -> ListenAddress:
        """The address, and how to listen on it."""
        return ListenAddress(self._address, self.listen)

    async def listen(self) -> None:
        """Start to accept connections.

        :raises OSError: if the address can't be bound.
        """
        ip, port = self._address.rsplit(":", 1)
        self._server = await sockets.listen(
            self._make_connection, ip, int(port), BACKLOG_CONNECTIONS, ACCEPTED_AT_ONCE
        )
        self._memory.bound_listening(self._server.sockets)

    def close(self) -> None:
        """Stop accepting connections; open ones stay open, and those that wait are opened."""
        if self._server is None:
            return
        accepted = sockets.accept_waiting(self._server, BACKLOG_CONNECTIONS)
        self._server.close()
        for each in accepted:
            self._open_accepted(each)

    def announce_close(self) -> None:
        """Announce from now on with each answer that its connection closes, and close it then."""
        self._stopping = True
        for connection in self._connections:
            connection.stopping = True

    async def finish_requests(self) -> None:
        """Close each connection after the requests that it has read, and wait until all are closed.

        A connection that was accepted just before :meth:`close` may open later; its caller can
        still send one request, as can a caller that has just connected, or whose last answer has
        not announced the close.
        """
        self.announce_close()
        loop = asyncio.get_running_loop()
        while True:
            for connection in list(self._connections):
                if loop.time() - connection.idle_since >= IDLE_CLOSE_S:
                    connection.close_gracefully()
            await asyncio.sleep(CLOSE_CHECK_S)
            if not self._connections and not self._opening:
                return

    def refuse_unread(self, retry_after_s: float) -> int:
        """Refuse the requests that are still being read.

        :param retry_after_s: seconds after which their callers may retry.
        :return: how many there were.
        """
        return sum(each.refuse_unread(retry_after_s) for each in list(self._connections))

    def _open_accepted(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        opening: asyncio.Future[object] = asyncio.ensure_future(
            loop.connect_accepted_socket(self._make_connection, accepted)
        )
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)

    def _make_connection(self) -> ServerConnection:
        return ServerConnection(
            self._start,
            self._limits,
            self._connections,
            self._on_opened,
            self._memory,
            self._lingering,
            self._reports.on_refused,
            self._turns,
        )

    def _on_opened(self) -> None:
        if self._stopping:
            for connection in self._connections:
                connection.stopping = True
        self._limit_connections()

    def _limit_connections(self) -> None:
        """Close or refuse connections if too many are open."""
        most = self._max_connections
        if closed := make_room(self._connections, most):
            log.notice("room_made", closed=closed, open=len(self._connections), most=most)
