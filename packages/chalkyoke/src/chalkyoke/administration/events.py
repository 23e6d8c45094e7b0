"""
chalkyoke.administration.events

The time line: a bounded ring of typed events in each process, stamped so that a cause stands
before its effect over all processes.
"""

from collections import deque
from collections.abc import Callable
from enum import StrEnum

import msgspec

from chalkyoke.clock import HybridClock, Stamp

# Events that a process keeps, in number: the oldest go first.
RING_LENGTH = 4096


class EventKind(StrEnum):
    """What can be seen on the time line."""

    ARRIVED = "arrived"
    JOINED = "joined"
    FORWARDED = "forwarded"
    GRANTED = "granted"
    DISPATCHED = "dispatched"
    FIRST_BYTE = "first_byte"
    RESUMED = "resumed"
    UNREACHABLE = "unreachable"
    ANSWERING = "answering"
    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    CALLER_LEFT = "caller_left"
    MEMBER_JOINED = "member_joined"
    MEMBER_LEFT = "member_left"
    POOL_TAKEN = "pool_taken"
    POOL_GIVEN_UP = "pool_given_up"
    REVISION = "revision"
    CHANGE = "change"
    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"


class Event(msgspec.Struct, frozen=True):
    """One event.

    :param wall_ms: with ``logical`` the event's stamp.
    :param request: id of the request that it belongs to, or empty.
    :param facts: details, as text.
    """

    wall_ms: int
    logical: int
    host: str
    kind: EventKind
    request: str = ""
    facts: dict[str, str] = {}


class EventRing:
    """Keep the latest events of one process.

    :param wall_ms: source of wall time, in milliseconds.
    """

    def __init__(self, host: str, clock: HybridClock, wall_ms: Callable[[], int]) -> None:
        self._host = host
        self._clock = clock
        self._wall_ms = wall_ms
        self._ring: deque[Event] = deque(maxlen=RING_LENGTH)

    def stamp(self) -> Stamp:
        """Stamp an outgoing message.

        :rtype: Stamp
        """
        return self._clock.tick(self._wall_ms())

    def observe(self, stamp: Stamp) -> None:
        """Learn the stamp of an incoming message."""
        self._clock.observe(stamp, self._wall_ms())

    def add(self, kind: EventKind, request: str = "", **facts: object) -> Event:
        """Add an event.

        :return: the event, with its stamp.
        """
        stamp = self.stamp()
        texts = {name: str(value) for name, value in facts.items()}
        event = Event(stamp.wall_ms, stamp.logical, self._host, kind, request, texts)
        self._ring.append(event)
        return event

    def select(self, request: str = "", since_ms: int = 0, limit: int = RING_LENGTH) -> list[Event]:
        """List events, oldest first.

        :param request: only those of one request.
        :param since_ms: only those at or after this wall time, in milliseconds.
        :param limit: the latest so many.
        :rtype: list[Event]
        """
        found = [
            event
            for event in self._ring
            if event.wall_ms >= since_ms and (not request or event.request == request)
        ]
        return found[-limit:]


def event_id(event: Event) -> str:
    """Name an event over the whole fleet.

    :rtype: str
    """
    return f"{event.wall_ms:x}.{event.logical:x}.{event.host}"
