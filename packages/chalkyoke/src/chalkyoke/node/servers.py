"""
chalkyoke.node.servers

HTTP servers inside this process's event loop: uvicorn with the asyncio loop and one worker.
"""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn

from chalkyoke.http1.lingering import LingeringConnections
from chalkyoke.http1.memory import CallerMemory
from chalkyoke.http1.turns import ParsingTurns
from chalkyoke.node.callerconnections import (
    KEEP_ALIVE_S,
    ConnectionConfig,
    announce_close_before_end_of_body,
)
from chalkyoke.node.connections import HttpConnection
from chalkyoke.node.listening import ListenAddress
from chalkyoke.sockets import ACCEPTED_AT_ONCE, set_backlog

# Number of new connections that may wait for accept.
BACKLOG_CONNECTIONS = 1024
# How long a server that stops waits for its last requests, in seconds.
STOP_WAIT_S = 2.0


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the node."""

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to accept connections, a few at a time."""
        await super().startup(sockets)
        for each in self.servers:
            set_backlog(each, BACKLOG_CONNECTIONS)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """Serve one ASGI application on one address.

    :param address: ``ip:port``.
    :param certificate: file of a TLS certificate; empty for plain HTTP.
    :param key: file of the certificate's private key.
    :param memory: accounts for what the peers of connections have not taken yet.
    """

    def __init__(
        self,
        app: Any,
        address: str,
        certificate: str = "",
        key: str = "",
        memory: CallerMemory | None = None,
    ) -> None:
        self._address = address
        self._memory = memory or CallerMemory()
        self._socket: socket.socket | None = None
        self._config = ConnectionConfig(
            announce_close_before_end_of_body(app),
            loop="asyncio",
            http=HttpConnection,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            backlog=ACCEPTED_AT_ONCE,
            timeout_keep_alive=KEEP_ALIVE_S,
            ssl_certfile=certificate or None,
            ssl_keyfile=key or None,
        )
        self._config.lingering = LingeringConnections()
        self._config.memory = self._memory
        self._config.turns = ParsingTurns()
        self._server = _Server(self._config)
        self._task: asyncio.Task[None] | None = None

    @property
    def listen_address(self) -> ListenAddress:
        """The address, and how to listen on it."""
        return ListenAddress(self._address, self.listen)

    async def listen(self) -> None:
        """Bind the address; connections wait until the server is started.

        :raises OSError: when the address can't be bound.
        """
        ip, port = self._address.rsplit(":", 1)
        # asyncio disables Nagle's algorithm only on sockets with an explicit protocol number.
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # Accepted connections inherit it; set later, it would not bound what has come.
            self._memory.bound_listening([listening])
            listening.bind((ip, int(port)))
            listening.listen(BACKLOG_CONNECTIONS)
        except OSError:
            listening.close()
            raise
        self._socket = listening

    def start(self) -> None:
        """Start serving in a task of the running event loop; listen first."""
        assert self._socket is not None
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))

    def announce_close(self) -> None:
        """Announce the close of each connection with its next answer; serve on meanwhile."""
        self._config.closing = True
        for connection in self._server.server_state.connections:
            if isinstance(connection, HttpConnection):
                connection.announce_close()

    async def stop(self, wait_s: float = STOP_WAIT_S) -> None:
        """Stop accepting connections and wait for the requests in progress.

        :param wait_s: how long to wait; connections that are still open then are closed.
        """
        self._config.timeout_graceful_shutdown = wait_s  # type: ignore[assignment]
        self._server.should_exit = True
        if self._task is not None:
            await self._task
        elif self._socket is not None:
            self._socket.close()
