"""
chalkyoke.gateway.relay

Forward a replica's answer to the caller: small plain answers as a whole, streams event by event.
"""

import asyncio
from collections.abc import Callable

import msgspec

from chalkyoke.gateway.events import EventSplitter
from chalkyoke.gateway.ports import AnswerFields, HeaderFormat
from chalkyoke.gateway.verdict import MISDIRECTED, SERVER_ERROR_MIN, SendEnd
from chalkyoke.http1.client import AnswerMatch, BreakReason
from chalkyoke.http1.messages import AnswerHead, Headers, end_to_end_headers
from chalkyoke.http1.response import ResponseWriter
from chalkyoke.memory.account import Charge, MemoryAccount, Purpose

# A plain answer of up to this many bytes is buffered completely before any of it is forwarded, so
# that a broken one can be replaced by another attempt. Longer answers would take too much memory.
# Where memory is limited, the answer's share of the account is the limit if it is smaller.
MAX_BUFFERED_BYTES = 262_144
SUCCESS_MIN, SUCCESS_MAX = 200, 299


class Delivery(msgspec.Struct):
    """The part of the answer that the caller has received, over all sends of its request.

    :ivar splitter: tracks the events of a stream.
    :ivar events: number of events forwarded.
    :ivar first_at: when the first byte of the answer was forwarded, on the node's clock.
    :ivar last_event_at: when the last event was forwarded; 0 before.
    :ivar head_sent: whether the head of an answer has been forwarded.
    :ivar version: software version of the replicas that may write the rest of the stream; None
        before a replica has begun it.
    """

    response: ResponseWriter
    splitter: EventSplitter
    events: int = 0
    first_at: float = 0.0
    last_event_at: float = 0.0
    head_sent: bool = False
    version: str | None = None


class Relay:
    """Receives the answer of one send.

    :param retained: charge for the bytes that are buffered before they are forwarded.
    :param request_id: id of the request; an answer to another request is not accepted.
    :param version: software version of the replica.
    :param streams: whether the route's answers are series of events.
    :param clock: the node's clock, in seconds.
    :param on_first_event: called with the time from the send to the first event, in seconds.
    :param account: the host's account of buffered bytes.
    :param on_data: called after each part of the body.
    :param on_begun: called when the head of an answer has been received.
    :param on_progress: called before a part of the answer is forwarded, and when the answer ends.
    :param on_answer_head: called with the status and the fields of the answer as soon as its head
        is received, since a stream may last many seconds more.
    :ivar ended: future that gets the outcome of the send.
    :ivar broken_by: why the answer broke off; None if it did not.
    :ivar last_at: when data was last received, on the node's clock.
    :ivar resumed_at: when the node last resumed reading after a pause of its own, on the node's
        clock; 0 without a pause.
    :ivar longest_gap_s: the longest pause between two events, in seconds.
    :ivar ended_early: whether the send has ended by its head, before the end of the answer.
    """

    def __init__(
        self,
        delivery: Delivery,
        headers: HeaderFormat,
        request_id: str,
        clock: Callable[[], float],
        *,
        version: str,
        streams: bool,
        on_first_event: Callable[[float], None],
        on_answer_head: Callable[[int, AnswerFields], None],
        account: MemoryAccount | None = None,
        retained: Charge | None = None,
        on_data: Callable[[], None] = lambda: None,
        on_begun: Callable[[], None] = lambda: None,
        on_progress: Callable[[], None] = lambda: None,
    ) -> None:
        self._delivery = delivery
        self._headers = headers
        self._request_id = request_id
        self._clock = clock
        self._version = version
        self._streams = streams
        self._on_first_event = on_first_event
        self._on_answer_head = on_answer_head
        self._account = account or MemoryAccount()
        self._retained = retained or self._account.open(Purpose.RESPONSES_RETAINED)
        self._retained.release()
        self._on_data = on_data
        self._on_begun = on_begun
        self._on_progress = on_progress
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._is_event_stream = False
        self._is_forwarding = False
        self._cancelled = False
        self.head: AnswerHead | None = None
        self.fields = AnswerFields("")
        self.broken_by: BreakReason | None = None
        self.ended: asyncio.Future[SendEnd] = asyncio.get_running_loop().create_future()
        self.started_at = clock()
        self.first_at = 0.0
        self.last_at = self.started_at
        self.resumed_at = 0.0
        self.events = 0
        self.longest_gap_s = 0.0
        self.ended_early = False
        self._event_at = 0.0

    # Callbacks of the replica's connection.

    def match_answer(self, headers: Headers) -> AnswerMatch:
        """Read an answer's headers and return whether the answer belongs to this request."""
        found = self._headers.read_answer(headers)
        if found.contradictory:
            return AnswerMatch.INVALID
        if found.request_id != self._request_id:
            return AnswerMatch.OTHER
        self.fields = found
        return AnswerMatch.OWN

    def answer_head(self, head: AnswerHead) -> None:
        """Receive the head and decide how the body is forwarded."""
        self.last_at = self._clock()
        self.head = head
        self._on_answer_head(head.status, self.fields)
        success = SUCCESS_MIN <= head.status <= SUCCESS_MAX
        self._is_event_stream = self._streams and success and self._is_usable()
        self._on_begun()

    def answer_data(self, data: bytes) -> None:
        """Forward or buffer a part of the body."""
        now = self.last_at = self._clock()
        self.first_at = self.first_at or now
        if self._is_event_stream:
            self._forward_events(data, now)
        elif self._is_forwarding:
            self._delivery.response.send_body(data)
        else:
            self._buffer(data, now)
        self._on_data()

    def answer_end(self) -> None:
        """Finish the send at the end of a complete answer."""
        self._on_progress()
        self.last_at = self._clock()
        head = self.head
        if head is None:
            self._finish(SendEnd.BROKEN)
        elif self._is_event_stream:
            self._end_stream()
        elif self._is_forwarding:
            self._delivery.response.finish()
            self._finish(SendEnd.DELIVERED)
        else:
            self._finish(self._classify(head))

    def answer_broken(self, how: BreakReason) -> None:
        """Finish the send as broken, since the rest of the answer is lost."""
        self.broken_by = how
        self._finish(SendEnd.BROKEN)
        self._on_progress()

    # Calls of the exchange.

    @property
    def begun(self) -> bool:
        """Whether a part of any answer has been forwarded to the caller."""
        return self._delivery.head_sent

    @property
    def may_deliver(self) -> bool:
        """Whether the replica has begun an answer that the caller may get."""
        head = self.head
        if head is None or (self.ended.done() and self.ended.result() is not SendEnd.DELIVERED):
            return False
        if self._is_declined(head) or head.status >= SERVER_ERROR_MIN:
            return False
        if SUCCESS_MIN <= head.status <= SUCCESS_MAX:
            return self._is_event_stream if self._streams else self._is_usable() and not self.begun
        return not self.begun

    def end_early(self) -> None:
        """Finish the send by its head, without the rest of an answer that can't be used."""
        self.ended_early = True
        self._finish(SendEnd.DECLINED if self.is_declined else SendEnd.UNUSABLE)

    @property
    def retained_bytes(self) -> int:
        """Bytes of the answer that are buffered and not forwarded yet."""
        return self._retained.size

    def record_resumed(self) -> None:
        """Record that the node reads the answer again after a pause of its own.

        The pause is no sign that the replica has stalled.
        """
        self.last_at = self.resumed_at = self._clock()

    def pass_on(self) -> None:
        """Forward a buffered answer as a whole; does nothing before a head is received."""
        head = self.head
        if head is None:
            return
        body = b"".join(self._buffered)
        length = len(body) if head.has_body else head.length
        whole = AnswerHead(head.status, head.reason, end_to_end_headers(head.headers), length)
        self._begin_answer(whole, body, self._clock())
        self._clear_buffer()
        self._delivery.response.finish()

    @property
    def is_declined(self) -> bool:
        """Whether the replica has stated that it does not run the request."""
        return self.head is not None and self._is_declined(self.head)

    def _is_declined(self, head: AnswerHead) -> bool:
        """Return whether the replica states that it does not run the request."""
        return self.fields.not_run or head.status == MISDIRECTED

    def _is_usable(self) -> bool:
        """Return whether the answer is signed by the replica and not re-encoded on the way."""
        return self.fields.signed and not self.fields.encoded

    def _classify(self, head: AnswerHead) -> SendEnd:
        if self._is_declined(head):
            return SendEnd.DECLINED
        if self.begun:
            # Only events can continue an answer; a second head would be read as a part of it.
            return SendEnd.UNUSABLE
        if SUCCESS_MIN <= head.status <= SUCCESS_MAX:
            if not self._is_usable() or self._streams:
                return SendEnd.UNUSABLE
            self.pass_on()
            return SendEnd.DELIVERED
        if head.status >= SERVER_ERROR_MIN:
            return SendEnd.FAILURE_ANSWER
        self.pass_on()
        return SendEnd.DELIVERED

    def _buffer(self, data: bytes, now: float) -> None:
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        self._retained.resize(self._buffered_bytes)
        head = self.head
        if self._buffered_bytes <= self._max_buffered() or head is None or not self._is_usable():
            return
        if head.status >= SERVER_ERROR_MIN or self.fields.not_run or self.begun:
            return
        self._on_progress()
        caller_head = AnswerHead(
            head.status, head.reason, end_to_end_headers(head.headers), head.length
        )
        self._begin_answer(caller_head, b"".join(self._buffered), now)
        self._clear_buffer()
        self._is_forwarding = True

    def _max_buffered(self) -> int:
        if not self._account.is_limited:
            return MAX_BUFFERED_BYTES
        return min(MAX_BUFFERED_BYTES, self._account.share)

    def _clear_buffer(self) -> None:
        self._buffered.clear()
        self._retained.release()

    def _forward_events(self, data: bytes, now: float) -> None:
        whole_events = self._delivery.splitter.feed(data)
        self._retained.resize(self._delivery.splitter.partial_size)
        if self._delivery.splitter.is_too_large:
            self._finish(SendEnd.UNUSABLE)
            return
        if not whole_events.count:
            return
        self._on_progress()
        if not self.events:
            self._on_first_event(now - self.started_at)
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self._event_at)
        self._event_at = self._delivery.last_event_at = now
        self.events += whole_events.count
        self._delivery.events += whole_events.count
        if self._delivery.head_sent:
            self._delivery.response.send_body(whole_events.data)
        elif self.head is not None:
            head = self.head
            caller_head = AnswerHead(
                head.status, head.reason, end_to_end_headers(head.headers), None
            )
            self._begin_answer(caller_head, whole_events.data, now)

    def _begin_answer(self, head: AnswerHead, data: bytes, now: float) -> None:
        self._delivery.head_sent = True
        self._delivery.version = self._version
        self._delivery.first_at = now
        self._delivery.response.send_head(head, data)

    def _end_stream(self) -> None:
        if self._delivery.splitter.has_partial or not self._delivery.head_sent:
            self._finish(SendEnd.BROKEN)
            return
        self._delivery.response.finish()
        self._finish(SendEnd.DELIVERED)

    def _finish(self, end: SendEnd) -> None:
        if not self.ended.done():
            self.ended.set_result(end)
