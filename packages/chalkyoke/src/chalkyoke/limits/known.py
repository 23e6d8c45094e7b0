"""
chalkyoke.limits.known

The limits that replicas have named, as one node believes them.
"""

import math
from collections.abc import Container

import msgspec

from chalkyoke.catalog.starts import StartMemory

# A limit from which on it is none, in requests a second: hundreds of times what a replica of the
# largest fleets gets, and each request to one that is kept to a limit costs a question.
MOST_PER_S = 1000.0
# How long it is remembered that a limit is over, in seconds: older news of it may still come.
ENDED_KEPT_S = 10.0


class _Heard(msgspec.Struct):
    """What was heard last of one start.

    :ivar limit_per_s: nothing where it names no limit any more.
    :ivar at: when it was said, as far as is known, on the node's clock.
    """

    limit_per_s: float | None
    at: float


class KnownLimits:
    """Remember what replicas say, by the id of a start. Of two words the later one is believed."""

    def __init__(self) -> None:
        self._heard: StartMemory[_Heard] = StartMemory()

    def hear(self, start: str, limit_per_s: float | None, at: float) -> bool:
        """Take a replica's word.

        :param limit_per_s: requests a second from all nodes; nothing where it names no limit.
        :param at: when it was said, in seconds on the node's clock.
        :return: whether another limit is believed now than before.
        """
        if limit_per_s is not None and not 0 <= limit_per_s < MOST_PER_S:
            limit_per_s = None
        heard = self._heard.get(start)
        if heard is None:
            if limit_per_s is None:
                return False
            self._heard.keep(start, _Heard(limit_per_s, at), at)
            return True
        if at < heard.at:
            return False
        changed = heard.limit_per_s != limit_per_s
        heard.limit_per_s, heard.at = limit_per_s, at
        return changed

    def of(self, start: str) -> float | None:
        """Give the limit of a replica, in requests a second; nothing where it names none."""
        heard = self._heard.get(start)
        return None if heard is None else heard.limit_per_s

    def remembers(self, start: str) -> bool:
        """Tell whether anything is known of a replica, that its limit is over included."""
        return start in self._heard

    def said_at(self, start: str) -> float:
        """Tell when what is believed was said, on the node's clock."""
        heard = self._heard.get(start)
        return -math.inf if heard is None else heard.at

    def limits(self) -> dict[str, float]:
        """Give the limits that are in force, by start, in requests a second."""
        found = ((start, self.of(start)) for start in self._heard)
        return {start: limit_per_s for start, limit_per_s in found if limit_per_s is not None}

    def forget(self, listed: Container[str], now: float) -> None:
        """Drop what is over."""
        self._heard.forget(listed, now)
        for start in self._heard:
            if self.of(start) is None and now - self.said_at(start) > ENDED_KEPT_S:
                self._heard.drop(start)
