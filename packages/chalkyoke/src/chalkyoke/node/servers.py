"""
chalkyoke.node.servers

HTTP servers inside this process's event loop: uvicorn with the asyncio loop and one worker.
"""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, cast

import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from chalkyoke import problems
from chalkyoke.http1.lingering import LingeringConnections
from chalkyoke.http1.lingertransport import LingeringTransport
from chalkyoke.http1.messages import (
    AnswerHead,
    Headers,
    encode_answer_head,
    find_header,
    reason_phrase,
)
from chalkyoke.http1.timelimits import BodyTime
from chalkyoke.node.listening import ListenAddress

# Number of new connections that may wait for accept.
BACKLOG_CONNECTIONS = 1024
# How long an idle connection is kept open, in seconds.
KEEP_ALIVE_S = 30
# Longest time from the first byte of a request to the end of its head, in seconds.
HEAD_TIME_S = 10.0
# Time for a body of any size, in seconds; more is given for each byte.
BODY_TIME_S = 10.0
# Key of the ASGI scope for the request's :class:`RequestResponseCycle`.
CYCLE_KEY = "chalkyoke.cycle"
# How long a server that stops waits for its last requests, in seconds.
STOP_WAIT_S = 2.0


Message = dict[str, Any]
Send = Callable[[Message], Awaitable[None]]


class _Config(uvicorn.Config):
    """The configuration of a server, with the state that its connections share.

    :ivar closing: whether answers announce the close of their connection.
    :ivar lingering: what the connections share while they close.
    """

    closing = False
    lingering: LingeringConnections


class _Connection(HttpToolsProtocol):
    """A connection that announces its close with its last answer once the server is closing.

    Requests that were read behind another one are answered, so only the last answer announces it.
    A connection that closes before its last request has been read is read on for some time, so
    that its caller sees the answer.
    """

    _input_timer: asyncio.TimerHandle | None = None
    _refused = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Serve a new connection."""
        lingering = cast(_Config, self.config).lingering
        self._lingering = LingeringTransport(transport, lingering, self._is_input_due)
        super().connection_made(self._lingering)
        self._set_input_timer(KEEP_ALIVE_S, self._lingering.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request in progress."""
        self._cancel_input_timer()
        self._lingering.on_lost(exc)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse input, or discard it after the last answer."""
        if self._lingering.discard(len(data)):
            return
        super().data_received(data)
        if self._input_timer is None and self._is_idle():
            # Line breaks before a request have ended the idle timeout of the base class.
            self._set_input_timer(KEEP_ALIVE_S, self._lingering.close)

    def send_400_response(self, msg: str) -> None:
        """Refuse what is no request, and close."""
        self._refused = True
        super().send_400_response(msg)

    def on_message_begin(self) -> None:
        """Limit the time for the head of a request."""
        super().on_message_begin()
        self._set_input_timer(HEAD_TIME_S, self._check_head_time)

    def on_headers_complete(self) -> None:
        """Start the request whose head is complete."""
        previous = self.cycle
        super().on_headers_complete()
        cast(dict[str, Any], self.cycle.scope)[CYCLE_KEY] = self.cycle
        length = find_header(self.headers, b"content-length")
        self._body_time = BodyTime(self.loop.time(), BODY_TIME_S, int(length) if length else None)
        self._set_input_timer(self._body_time.ends_at - self.loop.time(), self._check_body_time)
        if not self._is_closing():
            return
        if previous is not None and not previous.response_started:
            previous.keep_alive = True
        self.announce_close()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_time.on_received(len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Take the end of the request."""
        self._cancel_input_timer()
        super().on_message_complete()

    def announce_close(self) -> None:
        """Announce the close with the answer to the latest request, unless that has begun."""
        if self.cycle is not None and not self.cycle.response_started:
            self.cycle.keep_alive = False

    def _is_input_due(self) -> bool:
        return self._refused or (self.cycle is not None and self.cycle.more_body)

    def _is_idle(self) -> bool:
        return self.cycle is None or self.cycle.response_complete

    def _check_body_time(self) -> None:
        left_s = self._body_time.ends_at - self.loop.time()
        if self.pipeline:
            # It is not read before the answer to the request before has been sent.
            self._body_time.extend(BODY_TIME_S)
            left_s = BODY_TIME_S
        if left_s > 0:
            self._set_input_timer(left_s, self._check_body_time)
        elif not self.cycle.response_started:
            self._refuse_slow_request()

    def _check_head_time(self) -> None:
        if self._is_idle():
            self._refuse_slow_request()
        else:
            # The answer to the request before comes first.
            self._set_input_timer(HEAD_TIME_S, self._check_head_time)

    def _refuse_slow_request(self) -> None:
        self._refused = True
        self.transport.write(_encode_too_slow())
        self.transport.close()

    def _set_input_timer(self, seconds: float, action: Callable[[], None]) -> None:
        self._cancel_input_timer()
        self._input_timer = self.loop.call_later(seconds, action)

    def _cancel_input_timer(self) -> None:
        if self._input_timer is not None:
            self._input_timer.cancel()
            self._input_timer = None

    def _is_closing(self) -> bool:
        return isinstance(self.config, _Config) and self.config.closing


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the node."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def _encode_too_slow() -> bytes:
    problem = problems.document(408, "bad_request", "it has not arrived in time")
    body = msgspec.json.encode(problem)
    headers: Headers = [(b"Content-Type", problems.MEDIA_TYPE.encode())]
    head = AnswerHead(408, reason_phrase(408), headers, len(body))
    return encode_answer_head(head, close=True, chunked=False) + body


def _announce_close_before_end_of_body(app: Any) -> Any:
    """Wrap an application to announce a close with an answer that comes before the whole request.

    Otherwise a caller that sends a body without end would keep its connection for ever.
    """

    async def wrapped(scope: dict[str, Any], receive: Any, send: Send) -> None:
        async def send_announced(message: Message) -> None:
            cycle = scope.get(CYCLE_KEY)
            if message["type"] == "http.response.start" and cycle is not None and cycle.more_body:
                cycle.keep_alive = False
            await send(message)

        await app(scope, receive, send_announced)

    return wrapped


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
            _announce_close_before_end_of_body(app),
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
        self._config.lingering = LingeringConnections()
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
