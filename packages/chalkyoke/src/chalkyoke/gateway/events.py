"""
chalkyoke.gateway.events

Split a stream into whole events and track their ids, so that callers receive each event whole and
once, and another replica can resume a broken stream.
"""

import msgspec

EVENT_END = b"\n\n"
# Maximum number of digits of an event's id.
MAX_ID_DIGITS = 100
ID_FIELD = b"id:"
# Size limit of an incomplete event, in bytes, to bound the memory of one stream. No replica sends
# events as large as that.
MAX_PARTIAL_BYTES = 1_000_000


class WholeEvents(msgspec.Struct, frozen=True):
    """The whole events in the received data.

    :param data: unaltered bytes of the events.
    :param count: number of events.
    """

    data: bytes
    count: int


class EventSplitter:
    """Split received bytes into whole events.

    :param after: number of the event after which the caller resumes the stream; -1 for all events.
        Events up to that number are dropped.
    :ivar last_id: number of the last whole event; -1 before the first.
    """

    __slots__ = ("_partial_bytes", "last_id")

    def __init__(self, after: int = -1) -> None:
        self._partial_bytes = b""
        self.last_id = after

    def feed(self, data: bytes) -> WholeEvents:
        """Add received bytes and return the events that are whole now and new to the caller."""
        if self._partial_bytes:
            data = self._partial_bytes + data
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._partial_bytes = data
            return WholeEvents(b"", 0)

        whole, self._partial_bytes = data[:end], data[end:]
        return self._new_events(whole)

    @property
    def has_partial(self) -> bool:
        """Whether the received data ends within an event."""
        return bool(self._partial_bytes)

    @property
    def partial_size(self) -> int:
        """Size of the incomplete event, in bytes."""
        return len(self._partial_bytes)

    @property
    def is_too_large(self) -> bool:
        """Whether the incomplete event exceeds the size limit."""
        return len(self._partial_bytes) > MAX_PARTIAL_BYTES

    def discard_partial(self) -> None:
        """Discard an incomplete event before another replica resumes the stream."""
        self._partial_bytes = b""

    def _new_events(self, whole: bytes) -> WholeEvents:
        """Leave out repeated events; usually there are none."""
        kept: list[bytes] = []
        for event in whole.split(EVENT_END)[:-1]:
            number = event_id(event)
            if number is not None:
                if number <= self.last_id:
                    continue
                self.last_id = number
            kept.append(event)
        if not kept:
            return WholeEvents(b"", 0)
        return WholeEvents(EVENT_END.join(kept) + EVENT_END, len(kept))


def event_id(event: bytes) -> int | None:
    """Read the id of an event; None if there is none or if it is not a whole number.

    :rtype: int or None
    """
    if event.startswith(ID_FIELD):
        start = 0
    else:
        found = event.find(b"\n" + ID_FIELD)
        if found < 0:
            return None
        start = found + 1
    line = event[start + len(ID_FIELD) :].split(b"\n", 1)[0].strip()
    number = event_number(line.decode("latin-1"))
    return None if number < 0 else number


def event_number(text: str) -> int:
    """Parse an event's id as a whole number; -1 if it is none.

    :rtype: int
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_ID_DIGITS
    return int(text) if is_number else -1
