"""
chalkyoke.gateway.events

Cut a stream of events at their ends and follow their ids, so that callers get whole events, each
once, and a broken stream can go on elsewhere.
"""

import msgspec

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
# An event that is longer, in bytes, is no event of ours: a bound on what one stream may hold.
MAX_PARTIAL_BYTES = 1_000_000


class WholeEvents(msgspec.Struct, frozen=True):
    """What is whole now.

    :param data: whole events, as they came.
    :param count: how many events these are.
    """

    data: bytes
    count: int


class EventSplitter:
    """Take bytes in, give whole events out.

    :param after: number of the event after which the caller wants the stream to go on; -1 where it
        wants all. Events up to it are dropped.
    :ivar last_id: number of the last whole event, -1 before the first.
    """

    __slots__ = ("_partial_bytes", "last_id")

    def __init__(self, after: int = -1) -> None:
        self._partial_bytes = b""
        self.last_id = after

    def feed(self, data: bytes) -> WholeEvents:
        """Take bytes in."""
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
        """Whether an event has begun and not ended."""
        return bool(self._partial_bytes)

    @property
    def is_too_large(self) -> bool:
        """Whether an event is larger than any that is passed on."""
        return len(self._partial_bytes) > MAX_PARTIAL_BYTES

    def discard_partial(self) -> None:
        """Forget a partial event, before the stream goes on elsewhere."""
        self._partial_bytes = b""

    def _new_events(self, whole: bytes) -> WholeEvents:
        """Leave out events that were there before; the usual case has none."""
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
    """Read the id of an event, where it is a whole number.

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
    return int(line) if line.isdigit() else None
