"""
chalkyoke.http1.server

The server side of HTTP/1.1: reads the requests of a caller's connection and answers them in order.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import cast

import httptools

from chalkyoke.hangups import has_hung_up
from chalkyoke.http1.connection_limit import ConnectionUse, use_before_request
from chalkyoke.http1.incoming import IncomingRequest, ServerLimits, WaitingRequest
from chalkyoke.http1.lingering import LingeringClose, LingeringConnections
from chalkyoke.http1.memory import RETRY_AFTER_S, CallerMemory, UnsentResponse
from chalkyoke.http1.messages import (
    Headers,
    Request,
    connection_options,
    encode_refusal,
)
from chalkyoke.http1.offers import encode_without_offer
from chalkyoke.http1.pausing import PausableInput, PauseReason
from chalkyoke.http1.refusals import RefusedRead
from chalkyoke.http1.response import RequestHandler, ResponseWriter
from chalkyoke.http1.targets import to_origin_form
from chalkyoke.http1.timelimits import BodyTime
from chalkyoke.http1.turns import PIECE_BYTES as CHUNKED_PIECE_BYTES
from chalkyoke.http1.turns import ParsingTurns, PartCount
from chalkyoke.memory.receiving import RECEIVE_BUFFER_BYTES

# Number of complete requests that may wait on one connection; at this number the connection stops
# reading.
MAX_PIPELINED_REQUESTS = 16
# The same in bytes of memory; less if memory is scarce.
MAX_PIPELINED_BYTES = 65_536
# Bytes that are parsed at once in a head and in a body; the limit of the head may be exceeded by as
# much.
HEAD_PIECE_BYTES = 4_096
BODY_PIECE_BYTES = 65_536
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

StartHandler = Callable[[Request, ResponseWriter], RequestHandler]


class ServerConnection(asyncio.Protocol):
    """Serve one connection of a caller.

    :param start: starts the handler of one request.
    :param limits: returns the limits in force.
    :param connections: the set of open connections; it contains the connection while it is open.
    :param opened: called when the connection is open and in the set.
    :param memory: what the connections of a listener share to account for their buffers.
    :param lingering: what the connections of a listener share while they close.
    :param on_refused: called when a request is refused before its end.
    :param turns: what the connections of a listener share to parse small chunks in turn.
    :ivar idle_since: when the last answer ended, in seconds on the loop's clock.
    :ivar stopping: whether a planned stop has begun.
    """

    def __init__(
        self,
        start: StartHandler,
        limits: Callable[[], ServerLimits],
        connections: set["ServerConnection"],
        opened: Callable[[], None] = lambda: None,
        memory: CallerMemory | None = None,
        lingering: LingeringConnections | None = None,
        on_refused: Callable[[RefusedRead], None] = lambda _: None,
        turns: ParsingTurns | None = None,
    ) -> None:
        self._start_handler = start
        self._limits = limits
        self._connections = connections
        self._on_opened = opened
        self._memory = memory or CallerMemory()
        self._lingering = lingering or LingeringConnections()
        self._linger: LingeringClose | None = None
        self._on_refused = on_refused
        self._turns = turns or ParsingTurns()
        self._parts = PartCount()
        self._message_began = 0.0
        self._last_headers: Headers = []
        self._due_bytes: int | None = 0
        self._unsent: UnsentResponse | None = None
        self._incoming = IncomingRequest(self._memory.account)
        self._kept_charge = self._incoming.charge
        self._refusal: bytes | None = None
        self._loop = asyncio.get_running_loop()
        self.idle_since = self._opened_at = self._loop.time()
        self._closing_since = 0.0
        self._parser = httptools.HttpRequestParser(self)
        self._waiting_requests: deque[WaitingRequest] = deque()
        self._handler: RequestHandler | None = None
        self._response_writer: ResponseWriter | None = None
        self._write_buffer: list[bytes] = []
        self._flushing = False
        self._timer: asyncio.TimerHandle | None = None
        self._ignores_input = False
        self._body_paused_at = 0.0
        self._writing_paused = False
        self._keep_alive = True
        self.stopping = False
        self._in_message = False
        self._head_complete = False
        self._is_chunked = False
        self._is_continue_due = False
        self._body_time: BodyTime | None = None
        self._unparsed_bytes = 0

    # Connection events.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timeout."""
        self.transport = cast(asyncio.Transport, transport)
        self._connections.add(self)
        self._memory.share_receive_buffers(self.transport, len(self._connections))
        self._unsent = self._memory.watch(self.transport)
        self._input = PausableInput(
            self.transport,
            self._memory.account,
            self._receive_piece,
            self._piece_bytes,
            self._close_after_hangup,
        )
        self._on_opened()
        self._set_timer(self._limits().idle_timeout_s)

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the handler in progress that the caller has disconnected."""
        self._connections.discard(self)
        if self._linger is not None:
            self._linger.on_lost(error)
        self._cancel_timer()
        self._input.close()
        self._release_memory()
        self._cancel_handler()

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its side.

        Answers that are complete are still sent. The request in progress ends now, since a caller
        that does not read could hold up the close.
        """
        self._cancel_handler()
        return False

    def check_caller_left(self) -> bool:
        """Return whether the caller has closed its side, even if that has not been read yet."""
        if not self.transport.is_closing() and has_hung_up(self.transport):
            self._close_after_hangup()
        return self.transport.is_closing()

    def _close_after_hangup(self) -> None:
        """Handle that the caller has closed its side, although it was not read up to its end."""
        self._ignores_input = True
        self._cancel_handler()
        self.transport.close()

    def _cancel_handler(self) -> None:
        handler, self._handler = self._handler, None
        if handler is not None:
            if self._response_writer is not None:
                self._response_writer.finished = True
            handler.caller_left()

    def pause_writing(self) -> None:
        """Pause the handler while the caller reads too slowly."""
        self._writing_paused = True
        if self._handler is not None:
            self._handler.caller_can_read(False)

    def resume_writing(self) -> None:
        """Resume the handler."""
        self._writing_paused = False
        if self._handler is not None:
            self._handler.caller_can_read(True)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; after a refusal they are ignored."""
        if self._ignores_input:
            self._discard_input(len(data))
        else:
            self._input.feed(data)

    def _piece_bytes(self) -> int:
        if not self._head_complete:
            return HEAD_PIECE_BYTES
        return CHUNKED_PIECE_BYTES if self._is_chunked else BODY_PIECE_BYTES

    def _receive_piece(self, data: memoryview) -> None:
        """Parse a part of a request.

        Line breaks before a request, its head, the header of a chunk and trailers are refused when
        they exceed the limit of a head.
        """
        if self._ignores_input:
            self._discard_input(len(data))
            return
        if not self._in_message:
            self._set_timer(self._limits().header_timeout_s)
        self._unparsed_bytes += len(data)
        try:
            self._feed_parser(data)
        except httptools.HttpParserError:
            self._refuse(400)
            return
        if self._ignores_input:
            return
        if self._unparsed_bytes > self._limits().header_bytes:
            self._refuse(431)
        elif self._in_message and not self._head_complete:
            self._charge_head()
        if self._parts.take_exceeded():
            self._wait_for_turn()

    def _wait_for_turn(self) -> None:
        """Let other connections go on before the next piece of many small chunks is parsed."""
        if self._in_message and not self._memory.account.admits_waiting(RECEIVE_BUFFER_BYTES):
            self.refuse_body()
            return
        self._input.pause(PauseReason.TURN)
        self._turns.wait(lambda: self._input.resume(PauseReason.TURN))

    def _feed_parser(self, data: memoryview) -> None:
        """Feed the parser, and read requests that offer another protocol without their offer.

        :raises httptools.HttpParserError: if the bytes are no request.
        """
        while data and not self._ignores_input:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                # The parser has stopped at the end of the head.
                (head_end,) = offer.args
                data = data[head_end:]
            if not self._ignores_input:
                self._read_without_offer()

    def _read_without_offer(self) -> None:
        """Read the head of a request once more, without its offer of another protocol."""
        offering, incoming = self._parser, self._incoming
        head = encode_without_offer(
            offering.get_method(),
            bytes(incoming.target),
            offering.get_http_version(),
            incoming.headers,
        )
        incoming.discard_body()
        self._reset_message()
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(head)

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._handler is None and not self._waiting_requests and not self._in_message

    @property
    def is_closed(self) -> bool:
        """Whether the connection was closed."""
        return self.transport.is_closing()

    @property
    def use(self) -> ConnectionUse:
        """What the connection is used for at present."""
        if self._linger is not None:
            return ConnectionUse.CLOSING
        if self._handler is not None or self._waiting_requests:
            return ConnectionUse.ANSWERING
        if self._in_message:
            return ConnectionUse.READING
        has_served = self.idle_since > self._opened_at
        return use_before_request(self._loop.time(), self._opened_at, has_served=has_served)

    @property
    def used_since(self) -> float:
        """When that use began, in seconds on the loop's clock."""
        if self._linger is not None:
            return self._closing_since
        return self._message_began if self._in_message else self.idle_since

    def make_room(self) -> None:
        """Refuse the request that is being read; without one, close at once."""
        if self._linger is not None:
            self.transport.close()
        elif self._in_message:
            self.refuse_unread(RETRY_AFTER_S)
        else:
            self.close_gracefully()

    @property
    def closes_after_answer(self) -> bool:
        """Whether the connection closes after the answer in progress.

        During a planned stop, it closes after the last of the requests that have been read or are
        being read.
        """
        if not self._keep_alive:
            return True
        return self.stopping and not self._waiting_requests and not self._in_message

    def close_gracefully(self) -> None:
        """Close after the last request that has been read; an idle connection closes at once.

        The answer to that request announces the close with ``Connection: close``. If its head was
        sent before, its caller may send another request until the connection is closed as idle.
        """
        self.stopping = True
        if self._linger is not None:
            self._linger.stop()
        elif self.idle:
            self._flush()
            self.transport.close()

    def refuse_unread(self, retry_after_s: float) -> bool:
        """Refuse the request that is being read, since it can't be answered any more.

        :param retry_after_s: seconds after which its caller may retry.
        :return: whether there was one.
        """
        if not self._in_message or self._ignores_input or self.transport.is_closing():
            return False
        self._refuse_in_turn(_encode_unavailable(retry_after_s))
        return True

    # Parser events.

    def on_message_begin(self) -> None:
        """Mark the start of a request."""
        self._in_message = True
        self._message_began = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._incoming.add_target(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header to the request; trailers are ignored (RFC 9110, section 6.5.1)."""
        if not self._head_complete:
            self._incoming.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the complete head and refuse the request when it breaks a limit or a rule."""
        if self._ignores_input:
            # The parser goes on with requests that came together with a refused one.
            return
        if self._parser.get_method() == b"CONNECT":
            self._refuse(400)
            return
        if self._parser.should_upgrade():
            return
        self._head_complete = True
        self._unparsed_bytes = 0
        limits, incoming = self._limits(), self._incoming
        if incoming.head_bytes > limits.header_bytes:
            self._refuse(431)
            return
        hosts = sum(1 for name, _ in incoming.headers if name.lower() == b"host")
        version = self._parser.get_http_version()
        origin = to_origin_form(bytes(incoming.target), incoming.headers)
        if hosts > 1 or (hosts == 0 and version != "1.0") or origin is None:
            self._refuse(400)
            return
        incoming.use_origin_form(origin)
        length = incoming.declared_length()
        if length is not None and length > limits.body_bytes:
            self._refuse(413)
            return
        self._is_chunked = length is None and incoming.expected_size() > 0
        now = self._loop.time()
        self._body_time = BodyTime(now, limits.header_timeout_s, length)
        self._set_timer(self._body_time.ends_at - now)
        if not self._admit_body():
            return
        if any(name.lower() == b"expect" for name, _ in incoming.headers):
            self._is_continue_due = True
            if self._handler is None and not self._waiting_requests:
                self._send_continue()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, or refuse the request when the body is too large."""
        if self._ignores_input:
            self._discard_input(len(body))
            return
        self._unparsed_bytes = 0
        self._parts.on_part()
        if self._body_time is not None:
            self._body_time.on_received(len(body))
        incoming = self._incoming
        if incoming.body_bytes + len(body) > self._limits().body_bytes:
            self._refuse(413)
        else:
            incoming.add_body(body, self._loop.time())

    def on_message_complete(self) -> None:
        """Queue the complete request, and start it when no other is in progress."""
        if self._ignores_input or self._parser.should_upgrade():
            return
        incoming = self._incoming
        request = incoming.complete(self._parser.get_method())
        keep_alive = self._parser.should_keep_alive()
        if b"close" in connection_options(request.headers):
            keep_alive = False
        self._waiting_requests.append(WaitingRequest(request, keep_alive, incoming.charge))
        self._reset_message()
        # The end of a body may come with the bytes at which it began to wait for memory.
        self._input.resume(PauseReason.BODY_MEMORY)
        if self._handler is None:
            self._start_next_request()
        elif self._is_pipeline_full:
            self._input.pause(PauseReason.WAITING_REQUESTS)

    def _send_continue(self) -> None:
        """Tell a caller that waits with its body to send it, after the answers before."""
        if self._is_continue_due:
            self._is_continue_due = False
            self.write(CONTINUE)

    def _reset_message(self) -> None:
        self._in_message = False
        self._is_continue_due = False
        self._head_complete = False
        self._body_time = None
        self._unparsed_bytes = 0
        self._incoming = IncomingRequest(self._memory.account)

    # Requests and answers.

    @property
    def _is_pipeline_full(self) -> bool:
        """Whether no further request is read until one of those that wait is started."""
        waiting, account = self._waiting_requests, self._memory.account
        if not waiting:
            return False
        if len(waiting) >= MAX_PIPELINED_REQUESTS:
            return True
        share = account.share if account.is_limited else MAX_PIPELINED_BYTES
        held = sum(each.body_charge.size for each in waiting)
        return held >= min(MAX_PIPELINED_BYTES, share)

    def _start_next_request(self) -> None:
        if not self._waiting_requests:
            if self._refusal is not None:
                self._send_refusal(self._refusal)
                return
            self._send_continue()
            self._set_timer(self._limits().idle_timeout_s)
            return
        self._cancel_timer()
        waiting = self._waiting_requests.popleft()
        waiting.charge_copy()
        self._kept_charge = waiting.body_charge
        self._last_headers = waiting.request.headers
        if not self._is_pipeline_full:
            self._input.resume(PauseReason.WAITING_REQUESTS)
        self._keep_alive = waiting.keep_alive
        self._response_writer = ResponseWriter(self, waiting.request.method == b"HEAD")
        self._handler = self._start_handler(waiting.request, self._response_writer)
        if self._response_writer.finished:
            self._handler = None
        elif self._writing_paused and self._unsent is not None:
            # The caller has not taken the answers to its earlier requests yet.
            self._handler.caller_can_read(False)

    def finish_answer(self, final_bytes: bytes) -> None:
        """Finish the answer in progress, then start the next request or close the connection.

        :param final_bytes: the last bytes of the answer.
        """
        self._handler = None
        self._kept_charge.release()
        self.idle_since = self._loop.time()
        if final_bytes:
            self.write(final_bytes)
        announced = self._response_writer is not None and self._response_writer.close_announced
        if announced or not self._keep_alive:
            self._close_after_linger()
            return
        self._last_headers = []
        self._loop.call_soon(self._after_answer)

    def _after_answer(self) -> None:
        if self._handler is None and self._linger is None and not self.transport.is_closing():
            self._start_next_request()

    def abort(self) -> None:
        """Abort the connection and discard unsent bytes."""
        self._handler = None
        self._write_buffer.clear()
        self.transport.abort()

    def write(self, data: bytes) -> None:
        """Buffer bytes; one loop iteration's bytes are written in one call."""
        self._write_buffer.append(data)
        if not self._flushing:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        if self._write_buffer and not self.transport.is_closing():
            data = b"".join(self._write_buffer)
            self.transport.write(data)
            if self._unsent is not None:
                self._unsent.on_written(len(data), self._loop.time())
        self._write_buffer.clear()

    def _refuse(self, status: int) -> None:
        """Answer an unacceptable request with an error status in its turn, and close.

        No part of the request reaches a handler.
        """
        if not self._ignores_input:
            incoming = self._incoming
            took_s = self._loop.time() - self._message_began if self._in_message else 0.0
            declared = incoming.declared_length() if self._head_complete else None
            self._on_refused(
                RefusedRead(
                    status,
                    bytes(incoming.target),
                    incoming.headers,
                    incoming.body_bytes,
                    declared,
                    took_s,
                )
            )
            self._refuse_in_turn(encode_refusal(status, []))

    def _refuse_in_turn(self, refusal: bytes) -> None:
        """Refuse a request after the requests before it have been answered.

        The rest of it is ignored, and the connection closes.

        :param refusal: the complete answer.
        """
        self._ignores_input = True
        self._due_bytes = self._incoming.due_bytes() if self._head_complete else None
        self._incoming.discard_body()
        self._input.resume_all()
        if self._handler is None and not self._waiting_requests:
            self._send_refusal(refusal)
        else:
            self._refusal = refusal

    def _send_refusal(self, refusal: bytes) -> None:
        self._last_headers = self._incoming.headers
        self.write(refusal)
        self._close_after_linger()

    # Memory.

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the caller has not taken yet, where memory is accounted; else 0."""
        return 0 if self._unsent is None else self._unsent.unsent_bytes

    def _admit_body(self) -> bool:
        """Reserve memory for the body, or refuse the request.

        :return: whether the request is read.
        """
        incoming = self._incoming
        size = incoming.expected_size()
        if not self._memory.admits(bytes(incoming.target), incoming.headers, size):
            self._refuse_in_turn(_encode_unavailable(RETRY_AFTER_S))
            return False
        incoming.reserve(size)
        if size == 1 and incoming.declared_length() is None:
            # The request is refused at once if it may not even wait.
            incoming.grant = self._memory.open_grant(self)
        return not self._ignores_input

    def _charge_head(self) -> None:
        """Charge a head that is not complete, or refuse the request if there is no room for it."""
        self._incoming.reserve(0)
        if not self._memory.account.admits_more_head(self._incoming.charge.size):
            self._memory.on_head_refused()
            self._refuse_in_turn(_encode_unavailable(RETRY_AFTER_S))

    def pause_body(self) -> None:
        """Stop reading a body of unknown length until there is room for more of it."""
        self._cancel_timer()
        self._body_paused_at = self._loop.time()
        self._input.pause(PauseReason.BODY_MEMORY)
        self._memory.watch_grants()

    def resume_body(self) -> None:
        """Read a body of unknown length on."""
        if self._body_time is not None:
            now = self._loop.time()
            self._body_time.extend(now - self._body_paused_at)
            if self._handler is None:
                self._set_timer(self._body_time.ends_at - now)
        self._input.resume(PauseReason.BODY_MEMORY)

    def refuse_body(self) -> None:
        """Refuse a request whose body does not fit, or has waited too long for room."""
        if not self._ignores_input:
            self._memory.on_upload_refused()
            self._refuse_in_turn(_encode_unavailable(RETRY_AFTER_S))

    def _release_memory(self) -> None:
        self._incoming.discard_body()
        self._kept_charge.release()
        self._discard_waiting()
        if self._unsent is not None:
            self._unsent.close()

    def _discard_waiting(self) -> None:
        for waiting in self._waiting_requests:
            waiting.body_charge.release()
        self._waiting_requests.clear()

    # The close.

    def _close_after_linger(self) -> None:
        """Close when the caller has had the time to read the last answer."""
        self._ignores_input = True
        self._flush()
        if self.transport.is_closing():
            return
        self._cancel_timer()
        self._input.resume_all()
        self._incoming.discard_body()
        self._discard_waiting()
        self._closing_since = self._loop.time()
        self._memory.shrink_receive_buffer(self.transport)
        self._linger = LingeringClose(
            self.transport, self._lingering, self._due_bytes, self._last_headers
        )
        if self.stopping:
            self._linger.stop()

    def _discard_input(self, size: int) -> None:
        """Record input that comes behind the last request that is answered.

        :param size: in bytes.
        """
        if self._linger is not None:
            self._linger.discard(size)
        elif self._due_bytes is not None:
            self._due_bytes = max(0, self._due_bytes - size)

    # Timeouts.

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
            left_s = self._body_time.ends_at - self._loop.time() if self._body_time else 0.0
            if left_s > 0:
                self._set_timer(left_s)
            else:
                self._refuse(408)
        elif self.idle:
            self.transport.close()


def _encode_unavailable(retry_after_s: float) -> bytes:
    return encode_refusal(503, [(b"Retry-After", b"%.2f" % retry_after_s)])
