"""
chalkyoke.http1.client

The client side of HTTP/1.1: a connection to an upstream, with one request at a time.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol, cast

import httptools

from chalkyoke.discard import Discard
from chalkyoke.http1.heads import contains_status_line, has_unknown_coding
from chalkyoke.http1.messages import AnswerHead, Headers, connection_options
from chalkyoke.http1.sent_ids import SentIds
from chalkyoke.http1.upload import Upload
from chalkyoke.invariants import require
from chalkyoke.sockets import unacknowledged_bytes

# Lowest and highest valid status (RFC 9110, section 15).
MIN_STATUS, MAX_STATUS = 100, 599
# Highest status of an interim answer, which another answer follows (RFC 9110).
MAX_INFORMATIONAL_STATUS = 199
# Connections of earlier versions end with one answer unless both sides agree otherwise, and their
# chunks need not be understood on the way (RFC 9112, sections 6.1 and 9.3).
PERSISTENT_VERSION = "1.1"
NO_CONTENT, NOT_MODIFIED = 204, 304
BODILESS_STATUSES = frozenset((NO_CONTENT, NOT_MODIFIED))
# Most bytes that one read takes where memory is limited: with asyncio's 256 KB, a single read could
# pass on far more for a slow caller than the buffer at which reading pauses.
MAX_BOUNDED_READ_BYTES = 65_536
# Most bytes without a part of a body: a head, trailers, or the header of a chunk. It bounds memory
# at four times the head that callers may send.
MAX_ANSWER_HEAD_BYTES = 65_536
# Most bytes that precede the awaited answer: interim answers, and answers to other requests.
MAX_SKIPPED_BYTES = 1_048_576
# Most interim answers to one request; tens of thousands of small ones fit in the bytes above, and
# would stand the event loop still.
MAX_INTERIM_ANSWERS = 100
# Bytes that are parsed at once before the awaited answer begins; the limit above may be exceeded by
# as much.
HEAD_PIECE_BYTES = 4_096


class BreakReason(StrEnum):
    """Why an exchange ended without a complete answer."""

    CLOSED = "closed"
    RESET = "reset"
    GARBLED = "garbled"
    OVERSIZED = "oversized"
    CANCELLED = "cancelled"


class AnswerMatch(StrEnum):
    """Whether an answer belongs to the request in progress; an invalid one is no answer at all."""

    OWN = "own"
    OTHER = "other"
    INVALID = "invalid"


class AnswerSink(Protocol):
    """Receives one answer as a stream. The last call is one ``answer_end`` or ``answer_broken``."""

    def answer_head(self, head: AnswerHead) -> None:
        """Receive the head."""

    def answer_data(self, data: bytes) -> None:
        """Receive a part of the body."""

    def answer_end(self) -> None:
        """Handle the end of a complete answer."""

    def answer_broken(self, how: BreakReason) -> None:
        """Handle the end of an incomplete answer.

        :param how: why the exchange broke.
        """


AnswerMatcher = Callable[[Headers], AnswerMatch]


class ClientConnection(asyncio.Protocol):
    """One connection to an upstream.

    An answer to another request is skipped. A head that is not the head of one answer breaks the
    exchange, and one whose upstream sends without end what is no part of its answer breaks as
    oversized. Bytes that arrive while no request is in progress abort the connection, because they
    belong to no request. Each request id is sent once over a connection, so that an answer belongs
    to one send even if the upstream sends it late or more than once.

    :ivar idle_since: when the last answer ended, on the loop's clock.
    :ivar keep_alive_s: seconds for which the upstream announces to keep an idle connection; 0
        when it announces nothing.
    :ivar on_close: called once when the connection has closed.
    :ivar active_at: when the connection was opened, a request was sent or bytes arrived, whichever
        was last, on the loop's clock.
    :ivar heard_at: when the connection was opened or bytes arrived.
    :ivar via: process of the host through which the connection passes; empty if it is direct.
    :ivar stream: the stream over which the connection was opened, if any; it closes the transport
        when it is collected.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._sink: AnswerSink | None = None
        self._match_answer: AnswerMatcher | None = None
        self._bodiless = False
        self._upload: Upload | None = None
        self._sent_ids = SentIds()
        self._unusable = False
        self._discard: Discard | None = None
        self._parser = httptools.HttpResponseParser(self)
        self.idle_since = self.active_at = self.heard_at = self._loop.time()
        self.keep_alive_s = 0.0
        self.via = ""
        self.stream: object = None
        self.closed = False
        self.on_close: Callable[[ClientConnection], None] | None = None
        self._head: AnswerHead | None = None
        self._headers: Headers = []
        self._bytes_since_body = 0
        self._skipped_bytes = 0
        self._interim_answers = 0
        self._reason = bytearray()
        self._skipping = False
        self._until_close = False
        self._paused = False

    # Connection events.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange in progress.

        An answer without a length is complete when the upstream closes without an error.
        """
        self.closed = True
        self._end_upload()
        if self.on_close is not None:
            self.on_close(self)
        if self._sink is None:
            return
        ends_here = self._head is not None and not self._skipping and self._until_close
        # The end of another host on the way closes the connection too.
        if ends_here and exc is None and not self.via:
            self._finish(whole=True)
        else:
            self._break_exchange(BreakReason.CLOSED if exc is None else BreakReason.RESET)

    def eof_received(self) -> bool:
        """Close this side too when the upstream closes its side."""
        return False

    def pause_writing(self) -> None:
        """Stop to write a request body while the upstream reads too slowly."""
        if self._upload is not None:
            self._upload.pause()

    def resume_writing(self) -> None:
        """Continue to write a request body."""
        if self._upload is not None:
            self._upload.resume()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or abort the connection when no request is in progress."""
        self.active_at = self.heard_at = self._loop.time()
        left = memoryview(data)
        while left:
            size = HEAD_PIECE_BYTES if self._head is None else MAX_BOUNDED_READ_BYTES
            self._receive_piece(left[:size])
            left = left[size:]

    def _receive_piece(self, data: memoryview) -> None:
        if self._discard is not None:
            # The upstream still works on a request that was given up.
            self._discard.reset()
            return
        if self._sink is None:
            self._unusable = True
            self.transport.abort()
            return
        self._bytes_since_body += len(data)
        if self._head is None:
            self._skipped_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._abort_exchange(BreakReason.GARBLED)
        except httptools.HttpParserError:
            # Bytes after a complete answer belong to no request; the answer stays valid.
            if self._sink is None:
                self.transport.abort()
            else:
                self._abort_exchange(BreakReason.GARBLED)
        if self._sink is not None and self._is_oversized():
            self._abort_exchange(BreakReason.OVERSIZED)

    def _is_oversized(self) -> bool:
        if self._bytes_since_body > MAX_ANSWER_HEAD_BYTES:
            return True
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            return True
        return self._head is None and self._skipped_bytes > MAX_SKIPPED_BYTES

    # Exchanges.

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress."""
        return self._sink is not None

    @property
    def is_answering(self) -> bool:
        """Whether the upstream has begun to answer the request in progress, and is read."""
        return self._sink is not None and self._head is not None and not self._paused

    def retire(self) -> None:
        """Let the exchange in progress end, then carry no other request."""
        self._unusable = True
        if not self.is_busy and not self.closed and self._discard is None:
            self.transport.close()

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request."""
        return (
            self._sink is None
            and not self._unusable
            and not self._sent_ids.is_full
            and not self.closed
            and not self.transport.is_closing()
        )

    def may_send(self, request_id: str | None) -> bool:
        """Return whether an answer to this request can't be confused with an earlier one.

        :param request_id: id that the answer will name; None if it names none.
        """
        return self._sent_ids.may_send(request_id)

    def send(
        self,
        data: bytes,
        sink: AnswerSink,
        match_answer: AnswerMatcher,
        *,
        request_id: str | None = None,
        bodiless: bool = False,
        upload: Upload | None = None,
    ) -> None:
        """Send a request for which :meth:`may_send` is true.

        From this call on the upstream may have run it.

        :param data: head and body; only the head if the body is uploaded in pieces.
        :param upload: the body, if it is uploaded in pieces.
        :param match_answer: tells by its headers whether an answer belongs to the request.
        :param request_id: id by which ``match_answer`` knows the answer. If None, the connection
            carries no other request.
        :param bodiless: whether the answer has no body whatever its head says (``HEAD``).
        """
        require(self.may_send(request_id), "a request id is sent once over a connection")
        self._sent_ids.add(request_id)
        self._sink, self._match_answer, self._bodiless = sink, match_answer, bodiless
        self.active_at = self._loop.time()
        self._skipped_bytes = self._interim_answers = 0
        self._reset_message()
        self._upload = upload
        if upload is None:
            self.transport.write(data)
        else:
            upload.start(data, self.transport)

    def cancel(self) -> int | None:
        """Give up the request in progress, without any further call to the sink.

        :return: the bytes of the request that the upstream's system has not acknowledged; None if
            the connection is closed, or the system does not tell.
        """
        unacknowledged = unacknowledged_bytes(self.transport)
        unsent = self.transport.get_write_buffer_size()
        self._sink = None
        self._end_upload()
        self._discard_connection()
        return None if unacknowledged is None else unsent + unacknowledged

    def abort_as_reset(self) -> None:
        """Give up the request in progress, and report it as reset by the upstream.

        This is for an upstream whose process has ended without closing its connections.
        """
        self._break_exchange(BreakReason.RESET)
        self._discard_connection()

    def pause(self) -> None:
        """Pause reading."""
        self._paused = True
        if not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        self._paused = False
        if not self.transport.is_closing():
            self.transport.resume_reading()

    # Parser events.

    def on_message_begin(self) -> None:
        """Start an answer; one after the expected answer makes the connection unusable."""
        if self._sink is None:
            self._unusable = True
        self._reset_message()

    def on_status(self, status: bytes) -> None:
        """Append a part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are ignored (RFC 9110, section 6.5.1)."""
        if self._head is None:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head to the sink if the answer belongs to the request, else skip the answer."""
        sink, match_answer = self._sink, self._match_answer
        if sink is None or match_answer is None:
            self._skipping = True
            return
        if contains_status_line(bytes(self._reason), self._headers):
            self._abort_exchange(BreakReason.GARBLED)
            return
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            self._abort_exchange(BreakReason.GARBLED)
            return
        if status <= MAX_INFORMATIONAL_STATUS:
            self._skipping = True
            self._interim_answers += 1
            return
        match = match_answer(self._headers)
        if match is AnswerMatch.INVALID:
            self._abort_exchange(BreakReason.GARBLED)
            return
        if match is AnswerMatch.OTHER:
            self._skipping = True
            return
        has_body = not self._bodiless and status not in BODILESS_STATUSES
        if has_body and has_unknown_coding(self._headers):
            self._abort_exchange(BreakReason.GARBLED)
            return
        length = self._declared_length(status)
        self._until_close = self._until_close and has_body
        self._head = AnswerHead(status, bytes(self._reason), self._headers, length, has_body)
        sink.answer_head(self._head)
        if self._bodiless and self._sink is not None:
            # The parser does not know that no body follows.
            self._finish(whole=True)

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body to the sink."""
        self._bytes_since_body = 0
        if self._sink is not None and not self._skipping:
            self._sink.answer_data(body)

    def on_message_complete(self) -> None:
        """End the exchange; after a skipped answer the expected one may still follow."""
        if not self._skipping and self._sink is not None:
            self._finish(whole=True)

    def _declared_length(self, status: int) -> int | None:
        if status == NO_CONTENT:
            return None
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
        self._bytes_since_body = 0
        self._reason = bytearray()
        self._skipping = False
        self._until_close = False

    # Ends of exchanges.

    def _finish(self, *, whole: bool) -> None:
        sink, self._sink = self._sink, None
        self.idle_since = self._loop.time()
        if self._upload is not None and not self._upload.is_complete:
            # The upstream still expects the rest of the body.
            self._discard_connection().reset()
        self._end_upload()
        if not self.closed:
            self._update_keep_alive()
        if sink is not None and whole:
            sink.answer_end()

    def _end_upload(self) -> None:
        upload, self._upload = self._upload, None
        if upload is not None:
            upload.close()

    def _update_keep_alive(self) -> None:
        options = connection_options(self._headers)
        persists = self._parser.get_http_version() == PERSISTENT_VERSION
        if not persists or b"close" in options or self._until_close or self._bodiless:
            self._unusable = True
            self.transport.close()
            return
        for name, value in self._headers:
            if name.lower() == b"keep-alive":
                self.keep_alive_s = _keep_alive_timeout_s(value)

    def _abort_exchange(self, how: BreakReason) -> None:
        self._break_exchange(how)
        self._discard_connection().reset()

    def _discard_connection(self) -> Discard:
        self._unusable = True
        if self._discard is None:
            self._discard = Discard(self.transport)
        return self._discard

    def _break_exchange(self, how: BreakReason) -> None:
        sink, self._sink = self._sink, None
        self._unusable = True
        self._end_upload()
        if sink is not None:
            sink.answer_broken(how)


class BoundedClientConnection(ClientConnection, asyncio.BufferedProtocol):
    """A connection that reads little at a time, for a process whose memory is limited.

    :param read_bytes: most bytes that one read takes; at most :data:`MAX_BOUNDED_READ_BYTES`.
    """

    # The event loop has one thread and uses the buffer up before the next read.
    _shared_buffer = memoryview(bytearray(MAX_BOUNDED_READ_BYTES))

    def __init__(self, read_bytes: int) -> None:
        super().__init__()
        self._buffer = self._shared_buffer[:read_bytes]

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Return the buffer for the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes."""
        self.data_received(bytes(self._buffer[:nbytes]))


def _keep_alive_timeout_s(value: bytes) -> float:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return 0.0
