"""
chalkyoke.gateway.relay

Take a replica's answer and pass it on: small plain answers whole, streams event by event.
"""

import asyncio
from collections.abc import Callable

import msgspec

from chalkyoke.gateway.events import EventCutter
from chalkyoke.gateway.ports import AnswerFields, HeaderFormat
from chalkyoke.gateway.verdict import MISDIRECTED, SERVER_ERROR_MIN, SendEnd
from chalkyoke.http1.client import BreakReason
from chalkyoke.http1.messages import AnswerHead, Headers, end_to_end_headers
from chalkyoke.http1.server import ResponseWriter

# A plain answer of up to so many bytes is read whole before any of it is passed on, so that one
# that breaks off can be had elsewhere; a longer one costs too much memory.
HELD_BYTES = 262_144
SUCCESS_MIN, SUCCESS_MAX = 200, 299


class Delivery(msgspec.Struct):
    """What one caller has got so far, over all sends of its request.

    :ivar cutter: follows the events of a stream.
    :ivar events: events passed on.
    :ivar first_at: when the first byte of the answer was passed on, on the node's clock.
    """

    answering: ResponseWriter
    cutter: EventCutter
    events: int = 0
    first_at: float = 0.0
    head_sent: bool = False


class Relay:
    """Takes the answer of one send.

    :param request_id: of the request; an answer to another one is none of this send.
    :param streams: whether the route's answers are series of events.
    :param clock: the node's clock, in seconds.
    :param first: called with the seconds from the send to the first event.
    :param told: called with the status and the fields of the answer, as soon as its head is there:
        a stream may take many seconds more.
    :ivar ended: set when the send is over, to how it ended.
    :ivar last_at: when something last came.
    :ivar longest_gap_s: the longest pause between two events, in seconds.
    """

    def __init__(
        self,
        delivery: Delivery,
        headers: HeaderFormat,
        request_id: str,
        clock: Callable[[], float],
        *,
        streams: bool,
        first: Callable[[float], None],
        told: Callable[[int, AnswerFields], None],
    ) -> None:
        self._delivery = delivery
        self._headers = headers
        self._request_id = request_id
        self._clock = clock
        self._streams = streams
        self._first = first
        self._told = told
        self._held: list[bytes] = []
        self._held_size = 0
        self._by_event = False
        self._passing = False
        self._cancelled = False
        self.head: AnswerHead | None = None
        self.fields = AnswerFields("")
        self.ended: asyncio.Future[SendEnd] = asyncio.get_running_loop().create_future()
        self.started_at = clock()
        self.first_at = 0.0
        self.last_at = self.started_at
        self.events = 0
        self.longest_gap_s = 0.0
        self._event_at = 0.0

    # The sink of the replica's connection.

    def belongs(self, headers: Headers) -> bool:
        """Read an answer's headers, and tell whether it is one to this request."""
        found = self._headers.read_answer(headers)
        if found.request_id != self._request_id:
            return False
        self.fields = found
        return True

    def answer_head(self, head: AnswerHead) -> None:
        """Take the head, and find out how the body is passed on."""
        self.last_at = self._clock()
        self.head = head
        self._told(head.status, self.fields)
        success = SUCCESS_MIN <= head.status <= SUCCESS_MAX
        self._by_event = self._streams and success and self._usable()

    def answer_data(self, data: bytes) -> None:
        """Take a part of the body."""
        now = self.last_at = self._clock()
        self.first_at = self.first_at or now
        if self._by_event:
            self._pass_events(data, now)
        elif self._passing:
            self._delivery.answering.send_body(data)
        else:
            self._hold(data, now)

    def answer_end(self) -> None:
        """Learn that the answer is whole."""
        self.last_at = self._clock()
        head = self.head
        if head is None:
            self._end(SendEnd.BROKEN)
        elif self._by_event:
            self._end_stream()
        elif self._passing:
            self._delivery.answering.finish()
            self._end(SendEnd.DELIVERED)
        else:
            self._end(self._judge(head))

    def answer_broken(self, _: BreakReason) -> None:
        """Learn that no more of the answer comes."""
        self._end(SendEnd.BROKEN)

    # What the exchange asks for.

    @property
    def begun(self) -> bool:
        """Whether a part of any answer has gone to the caller."""
        return self._delivery.head_sent

    def pass_on(self) -> None:
        """Pass a held answer on, whole."""
        head = self.head
        if head is None:
            return
        body = b"".join(self._held)
        whole = AnswerHead(head.status, head.reason, end_to_end_headers(head.headers), len(body))
        self._begin(whole, body, self._clock())
        self._delivery.answering.finish()

    def _usable(self) -> bool:
        """Tell whether an answer can be the replica's own, unaltered."""
        return self.fields.stamped and not self.fields.encoded

    def _judge(self, head: AnswerHead) -> SendEnd:
        if self.fields.not_run or head.status == MISDIRECTED:
            return SendEnd.DECLINED
        if SUCCESS_MIN <= head.status <= SUCCESS_MAX:
            if not self._usable() or self._streams:
                return SendEnd.UNUSABLE
            self.pass_on()
            return SendEnd.DELIVERED
        if head.status >= SERVER_ERROR_MIN:
            return SendEnd.FAILURE_ANSWER
        self.pass_on()
        return SendEnd.DELIVERED

    def _hold(self, data: bytes, now: float) -> None:
        self._held.append(data)
        self._held_size += len(data)
        head = self.head
        if self._held_size <= HELD_BYTES or head is None or not self._usable():
            return
        if head.status >= SERVER_ERROR_MIN or self.fields.not_run:
            return
        passed = AnswerHead(head.status, head.reason, end_to_end_headers(head.headers), head.length)
        self._begin(passed, b"".join(self._held), now)
        self._held.clear()
        self._passing = True

    def _pass_events(self, data: bytes, now: float) -> None:
        cut = self._delivery.cutter.feed(data)
        if self._delivery.cutter.too_large:
            self._end(SendEnd.UNUSABLE)
            return
        if not cut.count:
            return
        if not self.events:
            self._first(now - self.started_at)
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self._event_at)
        self._event_at = now
        self.events += cut.count
        self._delivery.events += cut.count
        if self._delivery.head_sent:
            self._delivery.answering.send_body(cut.data)
        elif self.head is not None:
            head = self.head
            passed = AnswerHead(head.status, head.reason, end_to_end_headers(head.headers), None)
            self._begin(passed, cut.data, now)

    def _begin(self, head: AnswerHead, data: bytes, now: float) -> None:
        self._delivery.head_sent = True
        self._delivery.first_at = now
        self._delivery.answering.send_head(head, data)

    def _end_stream(self) -> None:
        if self._delivery.cutter.partial or not self._delivery.head_sent:
            self._end(SendEnd.BROKEN)
            return
        self._delivery.answering.finish()
        self._end(SendEnd.DELIVERED)

    def _end(self, end: SendEnd) -> None:
        if not self.ended.done():
            self.ended.set_result(end)
