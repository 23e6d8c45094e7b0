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
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from chalkyoke.node.listening import ListenAddress

# Number of new connections that may wait for accept.
BACKLOG_CONNECTIONS = 1024
# How long an idle connection is kept open, in seconds.
KEEP_ALIVE_S = 30
# How long a server that stops waits for its last requests, in seconds.
STOP_WAIT_S = 2.0


class _Config(uvicorn.Config):
    """The configuration of a server, with the state that its connections share.

    :ivar closing: whether answers announce the close of their connection.
    """

    closing = False


class _Connection(HttpToolsProtocol):
    """A connection that announces its close with its last answer once the server is closing.

    Requests that were read behind another one are answered, so only the last answer announces it.
    """

    def on_headers_complete(self) -> None:
        """Start the request whose head is complete."""
        previous = self.cycle
        super().on_headers_complete()
        if not self._is_closing():
            return
        if previous is not None and not previous.response_started:
            previous.keep_alive = True
        self.announce_close()

    def announce_close(self) -> None:
        """Announce the close with the answer to the latest request, unless that has begun."""
        if self.cycle is not None and not self.cycle.response_started:
            self.cycle.keep_alive = False

    def _is_closing(self) -> bool:
        return isinstance(self.config, _Config) and self.config.closing


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the node."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """Serve one ASGI application on one address.

    :param address: ``ip:port``.
    :param certificate: file of a TLS certificate; empty for plain HTTP.
    :param key: file of the certificate's private key.
    """

    def __init__(self, app: Any, address: str, certificate: str = "", key: str = "") -> None:
        self._address = address
        self._socket: socket.socket | None = None
        self._config = _Config(
            app,
            loop="asyncio",
            http=_Connection,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            ssl_certfile=certificate or None,
            ssl_keyfile=key or None,
        )
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
            if isinstance(connection, _Connection):
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
