"""
chalkyoke.http1.client

The upstreams' side: one connection to an upstream, one request at a time on it.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol, cast

import httptools

from chalkyoke.http1.messages import AnswerHead, Headers, connection_options

# The last status that announces another answer (RFC 9110).
MAX_INFORMATIONAL_STATUS = 199
BODILESS_STATUSES = frozenset((204, 304))
# An answer with a longer head, in bytes, is not read: a bound on memory, four times what callers
# may send.
MAX_ANSWER_HEAD_BYTES = 65_536


class BreakReason(StrEnum):
    """How an exchange ended without a whole answer."""

    CLOSED = "closed"
    RESET = "reset"
    GARBLED = "garbled"
    CANCELLED = "cancelled"


class AnswerSink(Protocol):
    """Takes one answer as it comes. ``answer_end`` or ``answer_broken`` is called once, last."""

    def answer_head(self, head: AnswerHead) -> None:
        """Take the head."""

    def answer_data(self, data: bytes) -> None:
        """Take a part of the body."""

    def answer_end(self) -> None:
        """Learn that the answer is whole."""

    def answer_broken(self, how: BreakReason) -> None:
        """Learn that no more of the answer comes."""


AnswerMatcher = Callable[[Headers], bool]


class ClientConnection(asyncio.Protocol):
    """One connection to an upstream.

    An answer that belongs to another request is skipped, and bytes that come while no request is
    in progress close the connection: they belong to no request.

    :ivar idle_since: when the last answer ended, on the loop's clock.
    :ivar keep_alive_s: how long the upstream says that it keeps the connection; 0 where it does
        not say.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._sink: AnswerSink | None = None
        self._matches_request: AnswerMatcher | None = None
        self._bodiless = False
        self._unusable = False
        self._parser = httptools.HttpResponseParser(self)
        self.idle_since = self._loop.time()
        self.keep_alive_s = 0.0
        self.closed = False
        self.on_close: Callable[[ClientConnection], None] | None = None
        self._head: AnswerHead | None = None
        self._headers: Headers = []
        self._head_size = 0
        self._reason = bytearray()
        self._skipping = False
        self._until_close = False

    # The connection.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End what is in progress; an answer that ends with its connection may be whole."""
        self.closed = True
        if self.on_close is not None:
            self.on_close(self)
        if self._sink is None:
            return
        ends_here = self._head is not None and not self._skipping and self._until_close
        if ends_here and exc is None:
            self._finish(whole=True)
        else:
            self._break_exchange(BreakReason.CLOSED if exc is None else BreakReason.RESET)

    def eof_received(self) -> bool:
        """Close this side too."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what has come."""
        if self._sink is None:
            self._unusable = True
            self.transport.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._abort_garbled()
        except httptools.HttpParserError:
            # Bytes after a whole answer belong to nobody; the answer itself stands.
            if self._sink is None:
                self.transport.abort()
            else:
                self._abort_garbled()

    # One exchange.

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent."""
        return (
            self._sink is None
            and not self._unusable
            and not self.closed
            and not self.transport.is_closing()
        )

    def send(
        self, data: bytes, sink: AnswerSink, belongs: AnswerMatcher, *, bodiless: bool = False
    ) -> None:
        """Send a request; from here on it may have run.

        :param data: head and body.
        :param belongs: tells by its headers whether an answer belongs to the request.
        :param bodiless: whether the answer has no body whatever its head says (``HEAD``).
        """
        self._sink, self._matches_request, self._bodiless = sink, belongs, bodiless
        self._reset_message()
        self.transport.write(data)

    def cancel(self) -> None:
        """Drop the exchange and the connection; the sink is told nothing more."""
        self._sink = None
        self.transport.abort()

    def abort_as_reset(self) -> None:
        """End the exchange as one that the upstream broke off: it has ended, if silently."""
        self._break_exchange(BreakReason.RESET)
        self.transport.abort()

    def pause(self) -> None:
        """Stop to read."""
        if not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if not self.transport.is_closing():
            self.transport.resume_reading()

    # Parser events.

    def on_message_begin(self) -> None:
        """Begin an answer; one that comes after the expected one is stray."""
        if self._sink is None:
            self._unusable = True
        self._reset_message()

    def on_status(self, status: bytes) -> None:
        """Take a part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._head_size += len(name) + len(value)
        if self._head_size <= MAX_ANSWER_HEAD_BYTES:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head on, if the answer belongs to the request."""
        sink, belongs = self._sink, self._matches_request
        status = self._parser.get_status_code()
        if sink is None or belongs is None or status <= MAX_INFORMATIONAL_STATUS:
            self._skipping = True
            return
        if self._head_size > MAX_ANSWER_HEAD_BYTES or not belongs(self._headers):
            self._skipping = True
            return
        length = self._declared_length(status)
        self._head = AnswerHead(status, bytes(self._reason), self._headers, length)
        sink.answer_head(self._head)

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on."""
        if self._sink is not None and not self._skipping:
            self._sink.answer_data(body)

    def on_message_complete(self) -> None:
        """End an answer; after a skipped one the expected one may still come."""
        if not self._skipping and self._sink is not None:
            self._finish(whole=True)

    def _declared_length(self, status: int) -> int | None:
        if self._bodiless or status in BODILESS_STATUSES:
            return 0
        chunked = False
        length: int | None = None
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"content-length":
                length = int(value)
            elif lower == b"transfer-encoding":
                chunked = True
        self._until_close = length is None and not chunked
        return length

    def _reset_message(self) -> None:
        self._head = None
        self._headers = []
        self._head_size = 0
        self._reason = bytearray()
        self._skipping = False
        self._until_close = False

    # Ends.

    def _finish(self, *, whole: bool) -> None:
        sink, self._sink = self._sink, None
        self.idle_since = self._loop.time()
        if not self.closed:
            self._update_keep_alive()
        if sink is not None and whole:
            sink.answer_end()

    def _update_keep_alive(self) -> None:
        options = connection_options(self._headers)
        if b"close" in options or self._until_close or self._bodiless:
            self._unusable = True
            self.transport.close()
            return
        for name, value in self._headers:
            if name.lower() == b"keep-alive":
                self.keep_alive_s = _keep_alive_timeout_s(value)

    def _abort_garbled(self) -> None:
        self._break_exchange(BreakReason.GARBLED)
        self.transport.abort()

    def _break_exchange(self, how: BreakReason) -> None:
        sink, self._sink = self._sink, None
        self._unusable = True
        if sink is not None:
            sink.answer_broken(how)


def _keep_alive_timeout_s(value: bytes) -> float:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return 0.0
