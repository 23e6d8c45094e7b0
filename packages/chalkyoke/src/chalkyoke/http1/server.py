"""
chalkyoke.http1.server

The callers' side: one connection of a caller, its requests one after the other.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

import httptools
import msgspec

from chalkyoke.http1.messages import (
    AnswerHead,
    Headers,
    Request,
    connection_options,
    encode_answer_head,
    reason_phrase,
)

# Requests that may wait on one connection, in number; beyond it is not read on.
MAX_PIPELINED_REQUESTS = 16
# How long a connection stays open after its last answer, in seconds, so that the caller reads it
# before the close reaches it.
LINGER_S = 1.0
# The slowest upload that is waited for, in bytes a second: a bound on held connections.
MIN_BODY_BYTES_PER_S = 20_000
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
BODILESS_STATUSES = frozenset((204, 304))


class ServerLimits(msgspec.Struct, frozen=True):
    """What a caller may send.

    :param header_timeout_s: from the first byte of a request to the end of its head.
    :param idle_timeout_s: how long a connection may be at rest.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RequestHandler(Protocol):
    """A request that is being answered."""

    def caller_left(self) -> None:
        """Learn that nobody waits for the answer any more."""

    def caller_can_read(self, can_read: bool) -> None:
        """Learn that the caller reads too slowly, or that it has caught up."""


StartHandler = Callable[[Request, "ResponseWriter"], RequestHandler]


class ResponseWriter:
    """The way back to the caller of one request."""

    __slots__ = ("_bodiless", "_chunked", "_connection", "_unsent_bytes", "finished", "head_sent")

    def __init__(self, connection: "ServerConnection", bodiless: bool) -> None:
        self._connection = connection
        self._bodiless = bodiless
        self._chunked = False
        self._unsent_bytes = 0
        self.head_sent = False
        self.finished = False

    def send_head(self, head: AnswerHead, data: bytes = b"") -> None:
        """Send the head, and the first bytes of the body with it."""
        if self.finished:
            return
        self.head_sent = True
        if head.status in BODILESS_STATUSES:
            self._bodiless = True
        self._chunked = head.length is None and not self._bodiless
        self._unsent_bytes = head.length or 0
        close = self._connection.closes_after_answer
        self._connection.write(encode_answer_head(head, close=close, chunked=self._chunked))
        if data:
            self.send_body(data)

    def send_body(self, data: bytes) -> None:
        """Send more of the body."""
        if self.finished or self._bodiless or not data:
            return
        if self._chunked:
            self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))
            return
        self._unsent_bytes -= len(data)
        self._connection.write(data)

    def finish(self) -> None:
        """End the answer; one whose length does not fit ends visibly broken."""
        if self.finished:
            return
        if not self._chunked and not self._bodiless and self._unsent_bytes != 0:
            self.abort()
            return
        self.finished = True
        self._connection.finish_answer(LAST_CHUNK if self._chunked else b"")

    def abort(self) -> None:
        """Break the answer off, so that it can't be taken for a whole one."""
        if self.finished:
            return
        self.finished = True
        self._connection.abort()


class ServerConnection(asyncio.Protocol):
    """One connection of a caller.

    :param start: begins the work on one request.
    :param limits: gives the limits in force.
    :param connections: the set in which the connection lists itself while it is open.
    :param opened: called when the connection is open and listed.
    :ivar idle_since: when the last answer ended, in seconds on the loop's clock.
    """

    def __init__(
        self,
        start: StartHandler,
        limits: Callable[[], ServerLimits],
        connections: set["ServerConnection"],
        opened: Callable[[], None] = lambda: None,
    ) -> None:
        self._start_handler = start
        self._limits = limits
        self._connections = connections
        self._on_opened = opened
        self._loop = asyncio.get_running_loop()
        self.idle_since = self._loop.time()
        self._parser = httptools.HttpRequestParser(self)
        self._waiting_requests: deque[tuple[Request, bool, bool]] = deque()
        self._handler: RequestHandler | None = None
        self._response_writer: ResponseWriter | None = None
        self._write_buffer: list[bytes] = []
        self._flushing = False
        self._timer: asyncio.TimerHandle | None = None
        self._refused = False
        self._last_request_read = False
        self._paused = False
        self.closes_after_answer = False
        self.stopping = False
        self._in_message = False
        self._head_complete = False
        self._unparsed = 0
        self._head_size = 0
        self._body_size = 0
        self._target = bytearray()
        self._headers: Headers = []
        self._body: list[bytes] = []

    # The connection.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self.transport = cast(asyncio.Transport, transport)
        self._connections.add(self)
        self._on_opened()
        self._set_timer(self._limits().idle_timeout_s)

    def connection_lost(self, _: Exception | None) -> None:
        """Tell the work in progress that its caller has left."""
        self._connections.discard(self)
        self._cancel_timer()
        self._waiting_requests.clear()
        work, self._handler = self._handler, None
        if work is not None:
            if self._response_writer is not None:
                self._response_writer.finished = True
            work.caller_left()

    def eof_received(self) -> bool:
        """Take a caller that closes its side for one that has left."""
        return False

    def pause_writing(self) -> None:
        """Hold the work back while the caller reads too slowly."""
        if self._handler is not None:
            self._handler.caller_can_read(False)

    def resume_writing(self) -> None:
        """Let the work go on."""
        if self._handler is not None:
            self._handler.caller_can_read(True)

    def data_received(self, data: bytes) -> None:
        """Parse what has come."""
        if self._refused or self._last_request_read:
            return
        if not self._in_message:
            self._set_timer(self._limits().header_timeout_s)
        if not self._head_complete:
            self._unparsed += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._last_request_read = True
        except httptools.HttpParserError:
            self._refuse(400)
            return
        if self._in_message and not self._head_complete:
            if self._unparsed > self._limits().header_bytes:
                self._refuse(431)
        elif not self._in_message:
            self._unparsed = 0

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._handler is None and not self._waiting_requests and not self._in_message

    def close_gracefully(self) -> None:
        """Announce the end with the next answer; a connection at rest closes at once."""
        self.stopping = True
        if self._handler is not None:
            self.closes_after_answer = True
        elif self.idle:
            self.transport.close()

    # Parser events.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._in_message = True

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url
        self._head_size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._head_size += len(name) + len(value) + 4
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head as a whole."""
        self._head_complete = True
        limits = self._limits()
        if self._head_size > limits.header_bytes:
            self._refuse(431)
            return
        hosts = sum(1 for name, _ in self._headers if name.lower() == b"host")
        version = self._parser.get_http_version()
        if hosts > 1 or (hosts == 0 and version != "1.0") or not self._target.startswith(b"/"):
            self._refuse(400)
            return
        length = self._declared_length()
        if length is not None and length > limits.body_bytes:
            self._refuse(413)
            return
        self._set_timer(limits.header_timeout_s + (length or 0) / MIN_BODY_BYTES_PER_S)
        if any(name.lower() == b"expect" for name, _ in self._headers):
            self.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self._refused:
            return
        self._body_size += len(body)
        if self._body_size > self._limits().body_bytes:
            self._refuse(413)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        if self._refused:
            return
        request = Request(
            self._parser.get_method(),
            bytes(self._target),
            self._headers,
            b"".join(self._body),
        )
        keep = self._parser.should_keep_alive() and not self._last_request_read
        if b"close" in connection_options(self._headers):
            keep = False
        self._waiting_requests.append((request, keep, request.method == b"HEAD"))
        self._reset_message()
        if self._handler is None:
            self._start_next_request()
        elif len(self._waiting_requests) >= MAX_PIPELINED_REQUESTS:
            self._paused = True
            self.transport.pause_reading()

    def _declared_length(self) -> int | None:
        for name, value in self._headers:
            if name.lower() == b"content-length":
                return int(value)
        return None

    def _reset_message(self) -> None:
        self._in_message = False
        self._head_complete = False
        self._unparsed = 0
        self._head_size = 0
        self._body_size = 0
        self._target = bytearray()
        self._headers = []
        self._body = []

    # Requests and answers.

    def _start_next_request(self) -> None:
        if not self._waiting_requests:
            self._set_timer(self._limits().idle_timeout_s)
            return
        self._cancel_timer()
        request, keep, bodiless = self._waiting_requests.popleft()
        if self._paused and len(self._waiting_requests) < MAX_PIPELINED_REQUESTS:
            self._paused = False
            self.transport.resume_reading()
        self.closes_after_answer = not keep or self.stopping
        self._response_writer = ResponseWriter(self, bodiless)
        self._handler = self._start_handler(request, self._response_writer)
        if self._response_writer.finished:
            self._handler = None

    def finish_answer(self, rest: bytes) -> None:
        """End the answer in progress, and go on with the next request."""
        self._handler = None
        self.idle_since = self._loop.time()
        if rest:
            self.write(rest)
        if self.closes_after_answer:
            self._close_after_linger()
            return
        self._loop.call_soon(self._after_answer)

    def _after_answer(self) -> None:
        if self._handler is None and not self.transport.is_closing():
            if self.stopping and not self._waiting_requests:
                self._close_after_linger()
                return
            self._start_next_request()

    def abort(self) -> None:
        """Break the connection off."""
        self._handler = None
        self._write_buffer.clear()
        self.transport.abort()

    def write(self, data: bytes) -> None:
        """Send bytes; what comes in one turn of the loop goes out in one call."""
        self._write_buffer.append(data)
        if not self._flushing:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        if self._write_buffer and not self.transport.is_closing():
            self.transport.write(b"".join(self._write_buffer))
        self._write_buffer.clear()

    def _refuse(self, status: int) -> None:
        """Answer a request that can't be taken, then close; nothing of it is passed on."""
        if self._refused:
            return
        self._refused = True
        if self._handler is not None:
            # An earlier request is still being answered; what follows it is not taken.
            self.closes_after_answer = True
            self._waiting_requests.clear()
            return
        head = AnswerHead(status, reason_phrase(status), [], 0)
        self.write(encode_answer_head(head, close=True, chunked=False))
        self._close_after_linger()

    def _close_after_linger(self) -> None:
        """Close after the caller had time to read: closing over unread bytes would reset."""
        self._refused = True
        self._flush()
        if self.transport.is_closing():
            return
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._cancel_timer()
        self._timer = self._loop.call_later(LINGER_S, self.transport.close)

    # Time.

    def _set_timer(self, seconds: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(seconds, self._timed_out)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _timed_out(self) -> None:
        self._timer = None
        if self._in_message and self._handler is None:
            self._refuse(408)
        elif self.idle:
            self.transport.close()
