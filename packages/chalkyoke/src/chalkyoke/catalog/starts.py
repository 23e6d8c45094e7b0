"""
chalkyoke.catalog.starts

Values that are kept for replica starts beyond the lifetime of their records. A record may disappear
with the store and come back; what the start has announced about itself still applies then.
"""

from collections.abc import Container, Iterator
from typing import Generic, TypeVar

# How long the value of a start without a record is kept, in seconds: far longer than a leaving
# replica continues to serve.
RETENTION_S = 600.0
# Maximum number of starts with a value; they take 0.3 MB. The oldest are dropped first.
MAX_RETAINED_STARTS = 2_000

T = TypeVar("T")


class RetainedStarts(Generic[T]):
    """Keep one value for each replica start, by start id, bounded in time and number."""

    def __init__(self) -> None:
        self._values: dict[str, T] = {}
        self._last_listed_at: dict[str, float] = {}

    def __contains__(self, start: str) -> bool:
        return start in self._values

    def __iter__(self) -> Iterator[str]:
        return iter(list(self._values))

    def get(self, start: str) -> T | None:
        """Return the value of a start; None if there is none."""
        return self._values.get(start)

    def put(self, start: str, value: T, now: float) -> None:
        """Set the value of a start; the oldest start is dropped if there are too many."""
        self._values[start] = value
        self._last_listed_at[start] = now
        if len(self._values) > MAX_RETAINED_STARTS:
            self.remove(next(iter(self._values)))

    def remove(self, start: str) -> None:
        """Remove the value of a start, if any."""
        self._values.pop(start, None)
        self._last_listed_at.pop(start, None)

    def expire(self, listed: Container[str], now: float) -> None:
        """Remove starts that have had no record for longer than the retention time.

        :param listed: ids of the starts that have a record.
        :param now: the node's clock, in seconds.
        """
        for start in self:
            if start in listed:
                self._last_listed_at[start] = now
            elif now - self._last_listed_at[start] > RETENTION_S:
                self.remove(start)
