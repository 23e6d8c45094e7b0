"""
chalkyoke.limits.known

The limits that replicas have named, as one node believes them.
"""

import math
from collections.abc import Container

import msgspec

# A limit from which on it is none, in requests a second: hundreds of times what a replica of the
# largest fleets gets, and each request to one that is kept to a limit costs a question.
MOST_PER_S = 1000.0
# How long it is remembered that a limit is over, in seconds: older news of it may still come.
ENDED_KEPT_S = 10.0
# How long it is remembered of a replica that is not listed, in seconds: a record that lapsed with
# the store may come back.
KEPT_S = 600.0
# Starts that are remembered at most, in number; 0.3 MB. The oldest go first.
MOST_KEPT = 2_000


class _Heard(msgspec.Struct):
    """What was heard last of one start.

    :ivar limit_per_s: nothing where it names no limit any more.
    :ivar at: when it was said, as far as is known, on the node's clock.
    :ivar listed: when its record was last there.
    """

    limit_per_s: float | None
    at: float
    listed: float


class KnownLimits:
    """Remember what replicas say, by the id of a start. Of two words the later one is believed."""

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}

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
            self._heard[start] = _Heard(limit_per_s, at, at)
            if len(self._heard) > MOST_KEPT:
                del self._heard[next(iter(self._heard))]
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
        return {
            start: heard.limit_per_s
            for start, heard in self._heard.items()
            if heard.limit_per_s is not None
        }

    def forget(self, listed: Container[str], now: float) -> None:
        """Drop what is over."""
        for start, heard in list(self._heard.items()):
            if start in listed:
                heard.listed = now
            ended = heard.limit_per_s is None and now - heard.at > ENDED_KEPT_S
            if ended or now - heard.listed > KEPT_S:
                del self._heard[start]
