"""
chalkyoke.catalog.starts

What is remembered of starts of replicas beyond their records: a record may lapse with the store and
come back, and what a start has said of itself still holds then.
"""

from collections.abc import Container, Iterator
from typing import Generic, TypeVar

# How long it is remembered of a start that is not listed, in seconds: far beyond the time for which
# a leaving replica serves on.
RETENTION_S = 600.0
# Starts that are remembered at most, in number; 0.3 MB. The oldest go first.
MAX_RETAINED_STARTS = 2_000

T = TypeVar("T")


class RetainedStarts(Generic[T]):
    """Remember something of starts of replicas, by their ids."""

    def __init__(self) -> None:
        self._kept: dict[str, T] = {}
        self._listed: dict[str, float] = {}

    def __contains__(self, start: str) -> bool:
        return start in self._kept

    def __iter__(self) -> Iterator[str]:
        return iter(list(self._kept))

    def get(self, start: str) -> T | None:
        """Give what is remembered of a start."""
        return self._kept.get(start)

    def put(self, start: str, value: T, now: float) -> None:
        """Remember something of a start."""
        self._kept[start] = value
        self._listed[start] = now
        if len(self._kept) > MAX_RETAINED_STARTS:
            self.remove(next(iter(self._kept)))

    def remove(self, start: str) -> None:
        """Forget a start."""
        self._kept.pop(start, None)
        self._listed.pop(start, None)

    def expire(self, listed: Container[str], now: float) -> None:
        """Drop what is over: starts that have not been listed for long."""
        for start in self:
            if start in listed:
                self._listed[start] = now
            elif now - self._listed[start] > RETENTION_S:
                self.remove(start)
