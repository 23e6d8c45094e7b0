"""
chalkyoke.administration.events

The timeline: a bounded ring of typed events in each process. Their timestamps order a cause before
its effect across all processes.
"""

from collections import deque
from collections.abc import Callable
from enum import StrEnum

import msgspec

from chalkyoke.clock import HybridClock, Stamp

# Number of events that a process keeps; the oldest are dropped first.
RING_LENGTH = 4096


class EventKind(StrEnum):
    """Kinds of events on the timeline."""

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

    :param wall_ms: wall time in milliseconds; together with ``logical`` the event's timestamp.
    :param request: id of the request that the event belongs to, or empty.
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

    :param wall_ms: returns the wall time, in milliseconds.
    """

    def __init__(self, host: str, clock: HybridClock, wall_ms: Callable[[], int]) -> None:
        self._host = host
        self._clock = clock
        self._wall_ms = wall_ms
        self._ring: deque[Event] = deque(maxlen=RING_LENGTH)

    def stamp(self) -> Stamp:
        """Return the timestamp of an outgoing message.

        :rtype: Stamp
        """
        return self._clock.tick(self._wall_ms())

    def observe(self, stamp: Stamp) -> None:
        """Advance the clock to the timestamp of an incoming message."""
        self._clock.observe(stamp, self._wall_ms())

    def add(self, kind: EventKind, request: str = "", **facts: object) -> Event:
        """Append an event.

        :param facts: details; each is stored as text.
        :return: the event with its timestamp.
        """
        stamp = self.stamp()
        texts = {name: str(value) for name, value in facts.items()}
        event = Event(stamp.wall_ms, stamp.logical, self._host, kind, request, texts)
        self._ring.append(event)
        return event

    def select(self, request: str = "", since_ms: int = 0, limit: int = RING_LENGTH) -> list[Event]:
        """List events, oldest first.

        :param request: only events of the request with this id; empty selects all.
        :param since_ms: only events at or after this wall time, in milliseconds.
        :param limit: highest number of events; the latest are returned.
        :rtype: list[Event]
        """
        found = [
            event
            for event in self._ring
            if event.wall_ms >= since_ms and (not request or event.request == request)
        ]
        return found[-limit:]


def event_id(event: Event) -> str:
    """Return the id of an event, unique in the fleet.

    :rtype: str
    """
    return f"{event.wall_ms:x}.{event.logical:x}.{event.host}"
