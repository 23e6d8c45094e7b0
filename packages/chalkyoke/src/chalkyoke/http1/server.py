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
    answer_head,
    connection_options,
    reason_of,
)

# Requests that may wait on one connection, in number; beyond it is not read on.
MAX_PIPELINED = 16
# How long a connection stays open after its last answer, in seconds, so that the caller reads it
# before the close reaches it.
LINGER_S = 1.0
# The slowest upload that is waited for, in bytes a second: a bound on held connections.
BODY_RATE_BYTES_S = 20_000
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


class Work(Protocol):
    """A request that is being answered."""

    def caller_left(self) -> None:
        """Learn that nobody waits for the answer any more."""

    def caller_can_read(self, can_read: bool) -> None:
        """Learn that the caller reads too slowly, or that it has caught up."""


Start = Callable[[Request, "Answering"], Work]


class Answering:
    """The way back to the caller of one request."""

    __slots__ = ("_bodiless", "_chunked", "_connection", "_left", "begun", "ended")

    def __init__(self, connection: "ServerConnection", bodiless: bool) -> None:
        self._connection = connection
        self._bodiless = bodiless
        self._chunked = False
        self._left = 0
        self.begun = False
        self.ended = False

    def begin(self, head: AnswerHead, data: bytes = b"") -> None:
        """Send the head, and the first bytes of the body with it."""
        if self.ended:
            return
        self.begun = True
        if head.status in BODILESS_STATUSES:
            self._bodiless = True
        self._chunked = head.length is None and not self._bodiless
        self._left = head.length or 0
        close = self._connection.closes_after_answer
        self._connection.write(answer_head(head, close=close, chunked=self._chunked))
        if data:
            self.send(data)

    def send(self, data: bytes) -> None:
        """Send more of the body."""
        if self.ended or self._bodiless or not data:
            return
        if self._chunked:
            self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))
            return
        self._left -= len(data)
        self._connection.write(data)

    def end(self) -> None:
        """End the answer; one whose length does not fit ends visibly broken."""
        if self.ended:
            return
        if not self._chunked and not self._bodiless and self._left != 0:
            self.abort()
            return
        self.ended = True
        self._connection.answered(LAST_CHUNK if self._chunked else b"")

    def abort(self) -> None:
        """Break the answer off, so that it can't be taken for a whole one."""
        if self.ended:
            return
        self.ended = True
        self._connection.drop()


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
        start: Start,
        limits: Callable[[], ServerLimits],
        connections: set["ServerConnection"],
        opened: Callable[[], None] = lambda: None,
    ) -> None:
        self._start = start
        self._limits = limits
        self._connections = connections
        self._opened = opened
        self._loop = asyncio.get_running_loop()
        self.idle_since = self._loop.time()
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[tuple[Request, bool, bool]] = deque()
        self._work: Work | None = None
        self._answering: Answering | None = None
        self._out: list[bytes] = []
        self._flushing = False
        self._timer: asyncio.TimerHandle | None = None
        self._refused = False
        self._last = False
        self._paused = False
        self.closes_after_answer = False
        self.stopping = False
        self._in_message = False
        self._head_complete = False
        self._unparsed = 0
        self._size = 0
        self._body_size = 0
        self._target = bytearray()
        self._headers: Headers = []
        self._body: list[bytes] = []

    # The connection.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self.transport = cast(asyncio.Transport, transport)
        self._connections.add(self)
        self._opened()
        self._arm(self._limits().idle_timeout_s)

    def connection_lost(self, _: Exception | None) -> None:
        """Tell the work in progress that its caller has left."""
        self._connections.discard(self)
        self._disarm()
        self._waiting.clear()
        work, self._work = self._work, None
        if work is not None:
            if self._answering is not None:
                self._answering.ended = True
            work.caller_left()

    def eof_received(self) -> bool:
        """Take a caller that closes its side for one that has left."""
        return False

    def pause_writing(self) -> None:
        """Hold the work back while the caller reads too slowly."""
        if self._work is not None:
            self._work.caller_can_read(False)

    def resume_writing(self) -> None:
        """Let the work go on."""
        if self._work is not None:
            self._work.caller_can_read(True)

    def data_received(self, data: bytes) -> None:
        """Parse what has come."""
        if self._refused or self._last:
            return
        if not self._in_message:
            self._arm(self._limits().header_timeout_s)
        if not self._head_complete:
            self._unparsed += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._last = True
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
        return self._work is None and not self._waiting and not self._in_message

    def stop(self) -> None:
        """Announce the end with the next answer; a connection at rest closes at once."""
        self.stopping = True
        if self._work is not None:
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
        self._size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._size += len(name) + len(value) + 4
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head as a whole."""
        self._head_complete = True
        limits = self._limits()
        if self._size > limits.header_bytes:
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
        self._arm(limits.header_timeout_s + (length or 0) / BODY_RATE_BYTES_S)
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
        keep = self._parser.should_keep_alive() and not self._last
        if b"close" in connection_options(self._headers):
            keep = False
        self._waiting.append((request, keep, request.method == b"HEAD"))
        self._reset_message()
        if self._work is None:
            self._next()
        elif len(self._waiting) >= MAX_PIPELINED:
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
        self._size = 0
        self._body_size = 0
        self._target = bytearray()
        self._headers = []
        self._body = []

    # Requests and answers.

    def _next(self) -> None:
        if not self._waiting:
            self._arm(self._limits().idle_timeout_s)
            return
        self._disarm()
        request, keep, bodiless = self._waiting.popleft()
        if self._paused and len(self._waiting) < MAX_PIPELINED:
            self._paused = False
            self.transport.resume_reading()
        self.closes_after_answer = not keep or self.stopping
        self._answering = Answering(self, bodiless)
        self._work = self._start(request, self._answering)
        if self._answering.ended:
            self._work = None

    def answered(self, rest: bytes) -> None:
        """End the answer in progress, and go on with the next request."""
        self._work = None
        self.idle_since = self._loop.time()
        if rest:
            self.write(rest)
        if self.closes_after_answer:
            self._linger()
            return
        self._loop.call_soon(self._after_answer)

    def _after_answer(self) -> None:
        if self._work is None and not self.transport.is_closing():
            if self.stopping and not self._waiting:
                self._linger()
                return
            self._next()

    def drop(self) -> None:
        """Break the connection off."""
        self._work = None
        self._out.clear()
        self.transport.abort()

    def write(self, data: bytes) -> None:
        """Send bytes; what comes in one turn of the loop goes out in one call."""
        self._out.append(data)
        if not self._flushing:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        if self._out and not self.transport.is_closing():
            self.transport.write(b"".join(self._out))
        self._out.clear()

    def _refuse(self, status: int) -> None:
        """Answer a request that can't be taken, then close; nothing of it is passed on."""
        if self._refused:
            return
        self._refused = True
        if self._work is not None:
            # An earlier request is still being answered; what follows it is not taken.
            self.closes_after_answer = True
            self._waiting.clear()
            return
        head = AnswerHead(status, reason_of(status), [], 0)
        self.write(answer_head(head, close=True, chunked=False))
        self._linger()

    def _linger(self) -> None:
        """Close after the caller had time to read: closing over unread bytes would reset."""
        self._refused = True
        self._flush()
        if self.transport.is_closing():
            return
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._disarm()
        self._timer = self._loop.call_later(LINGER_S, self.transport.close)

    # Time.

    def _arm(self, seconds: float) -> None:
        self._disarm()
        self._timer = self._loop.call_later(seconds, self._timed_out)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _timed_out(self) -> None:
        self._timer = None
        if self._in_message and self._work is None:
            self._refuse(408)
        elif self.idle:
            self.transport.close()
