"""
chalkyoke.node.callerconnections

Connections of uvicorn's HTTP server that limit the time for a request, and let callers read the
last answer before they close.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from chalkyoke import problems
from chalkyoke.http1.connection_limit import (
    ConnectionUse,
    descriptor_limit,
    make_room,
    max_caller_connections,
    use_before_request,
)
from chalkyoke.http1.lingering import LingeringConnections
from chalkyoke.http1.lingertransport import LingeringTransport
from chalkyoke.http1.memory import CallerMemory
from chalkyoke.http1.messages import (
    AnswerHead,
    Header,
    Headers,
    encode_answer_head,
    find_header,
    reason_phrase,
)
from chalkyoke.http1.timelimits import BodyTime
from chalkyoke.http1.turns import ParsingTurns
from chalkyoke.outcomes import Reason, not_run

# How long an idle connection is kept open, in seconds.
KEEP_ALIVE_S = 30
# Longest time from the first byte of a request to the end of its head, in seconds.
HEAD_TIME_S = 10.0
# Time for a body of any size, in seconds; more is given for each byte.
BODY_TIME_S = 10.0
# Retry-After time of a request that is refused for lack of descriptors, in seconds.
NO_ROOM_RETRY_S = 1
# Key of the ASGI scope for the request's :class:`RequestResponseCycle`.
CYCLE_KEY = "chalkyoke.cycle"

Message = dict[str, Any]
Send = Callable[[Message], Awaitable[None]]


class ConnectionConfig(uvicorn.Config):
    """The configuration of a server, with the state that its connections share.

    :ivar closing: whether answers announce the close of their connection.
    :ivar lingering: what the connections share while they close.
    :ivar memory: accounts for what callers have not taken yet.
    :ivar turns: turns for connections whose input has many small chunks.
    """

    closing = False
    lingering = LingeringConnections()
    memory = CallerMemory()
    turns = ParsingTurns()

    @staticmethod
    def max_connections() -> int:
        """Return the highest number of connections that the system's limit leaves room for."""
        return max_caller_connections(descriptor_limit())


class CallerConnection(HttpToolsProtocol):
    """A connection that announces its close with its last answer once the server is closing.

    Requests that were read behind another one are answered, so only the last answer announces it.
    A connection that closes before its last request has been read is read on for some time, so
    that its caller sees the answer.
    """

    _input_timer: asyncio.TimerHandle | None = None
    _refused = False
    _in_message = False
    used_since = 0.0

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Serve a new connection."""
        lingering = self._shared.lingering
        memory = self._shared.memory
        self._lingering = LingeringTransport(
            transport,
            lingering,
            self._is_input_due,
            lambda: memory.shrink_receive_buffer(transport),
        )
        super().connection_made(self._lingering)
        self._opened_at = self.used_since = self.loop.time()
        self._set_input_timer(KEEP_ALIVE_S, self._lingering.close)
        make_room(cast(set[CallerConnection], self.connections), self._shared.max_connections())

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
        self._in_message = True
        self.used_since = self.loop.time()
        self._set_input_timer(HEAD_TIME_S, self._check_head_time)

    def on_headers_complete(self) -> None:
        """Start the request whose head is complete."""
        previous = self.cycle
        super().on_headers_complete()
        cast(dict[str, Any], self.cycle.scope)[CYCLE_KEY] = self.cycle
        length = find_header(self.headers, b"content-length")
        self._body_time = BodyTime(self.loop.time(), BODY_TIME_S, int(length) if length else None)
        self._set_input_timer(self._body_time.ends_at - self.loop.time(), self._check_body_time)
        if not self._shared.closing:
            return
        if previous is not None and not previous.response_started:
            previous.keep_alive = True
        self._announce_with_latest()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_time.on_received(len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Take the end of the request."""
        self._cancel_input_timer()
        self._in_message = False
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Go on with the next request."""
        super().on_response_complete()
        self.used_since = self.loop.time()

    @property
    def is_closed(self) -> bool:
        """Whether the connection was closed."""
        return self._lingering.is_closed

    @property
    def use(self) -> ConnectionUse:
        """What the connection is used for at present."""
        if self._lingering.is_closing():
            return ConnectionUse.CLOSING
        if self._owes_answer():
            return ConnectionUse.ANSWERING
        if self._in_message:
            return ConnectionUse.READING
        return use_before_request(
            self.loop.time(), self._opened_at, has_served=self.cycle is not None
        )

    def make_room(self) -> None:
        """Refuse the request that is being read; without one, close at once."""
        if self.use is ConnectionUse.READING:
            self.used_since = self.loop.time()
            self._refuse(_encode_no_room())
        else:
            self._lingering.close_now()

    def _owes_answer(self) -> bool:
        """Return whether a request has been read or its answer has begun."""
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return False
        return cycle.response_started or not cycle.more_body or bool(self.pipeline)

    def announce_close(self) -> None:
        """Announce the close with the answer to the latest request, unless that has begun."""
        self._announce_with_latest()

    def _announce_with_latest(self) -> None:
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
            self._refuse(_encode_too_slow())

    def _check_head_time(self) -> None:
        if self._is_idle():
            self._refuse(_encode_too_slow())
        else:
            # The answer to the request before comes first.
            self._set_input_timer(HEAD_TIME_S, self._check_head_time)

    def _refuse(self, answer: bytes) -> None:
        self._refused = True
        self.transport.write(answer)
        self.transport.close()
        if not self._is_idle():
            # The application gives up the body, and frees it.
            self.cycle.disconnected = True
            self.cycle.message_event.set()

    def _set_input_timer(self, seconds: float, action: Callable[[], None]) -> None:
        self._cancel_input_timer()
        self._input_timer = self.loop.call_later(seconds, action)

    def _cancel_input_timer(self) -> None:
        if self._input_timer is not None:
            self._input_timer.cancel()
            self._input_timer = None

    @property
    def _shared(self) -> ConnectionConfig:
        assert isinstance(self.config, ConnectionConfig)
        return self.config


def _encode_too_slow() -> bytes:
    return _encode_problem(408, problems.document(408, "bad_request", "it has not arrived in time"))


def _encode_no_room() -> bytes:
    refusal = not_run(Reason.SHED, "this host has too many connections", NO_ROOM_RETRY_S)
    retry_after = (b"Retry-After", b"%d" % NO_ROOM_RETRY_S)
    return _encode_problem(503, problems.of_refusal(refusal, "", ""), retry_after)


def _encode_problem(status: int, problem: dict[str, Any], *more: Header) -> bytes:
    body = msgspec.json.encode(problem)
    headers: Headers = [(b"Content-Type", problems.MEDIA_TYPE.encode()), *more]
    head = AnswerHead(status, reason_phrase(status), headers, len(body))
    return encode_answer_head(head, close=True, chunked=False) + body


def announce_close_before_end_of_body(app: Any) -> Any:
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
