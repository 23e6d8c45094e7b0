"""
chalkyoke.limits.known

The limits that replicas have named, as one node believes them.
"""

import math
from collections.abc import Container

import msgspec

from chalkyoke.catalog.starts import RetainedStarts

# A limit from which on it is none, in requests a second: hundreds of times what a replica of the
# largest fleets gets, and each request to one that is kept to a limit costs a question.
MOST_PER_S = 1000.0
# How long it is remembered that a limit is over, in seconds: older reports of it may still come.
ENDED_KEPT_S = 10.0


class _Report(msgspec.Struct):
    """The last report on one start.

    :ivar limit_per_s: nothing where it names no limit any more.
    :ivar at: when it was said, as far as is known, on the node's clock.
    """

    limit_per_s: float | None
    at: float


class KnownLimits:
    """Remember what replicas say, by the id of a start. Of two reports the later one holds."""

    def __init__(self) -> None:
        self._reports: RetainedStarts[_Report] = RetainedStarts()

    def update(self, start: str, limit_per_s: float | None, at: float) -> bool:
        """Take a report.

        :param limit_per_s: requests a second from all nodes; nothing where it names no limit.
        :param at: when it was said, in seconds on the node's clock.
        :return: whether another limit is believed now than before.
        """
        if limit_per_s is not None and not 0 <= limit_per_s < MOST_PER_S:
            limit_per_s = None
        report = self._reports.get(start)
        if report is None:
            if limit_per_s is None:
                return False
            self._reports.put(start, _Report(limit_per_s, at), at)
            return True
        if at < report.at:
            return False
        changed = report.limit_per_s != limit_per_s
        report.limit_per_s, report.at = limit_per_s, at
        return changed

    def limit_of(self, start: str) -> float | None:
        """Give the limit of a replica, in requests a second; nothing where it names none."""
        report = self._reports.get(start)
        return None if report is None else report.limit_per_s

    def has_report(self, start: str) -> bool:
        """Tell whether anything is known of a replica, that its limit is over included."""
        return start in self._reports

    def reported_at(self, start: str) -> float:
        """Tell when what is believed was said, on the node's clock."""
        report = self._reports.get(start)
        return -math.inf if report is None else report.at

    def limits(self) -> dict[str, float]:
        """Give the limits that are in force, by start, in requests a second."""
        found = ((start, self.limit_of(start)) for start in self._reports)
        return {start: limit_per_s for start, limit_per_s in found if limit_per_s is not None}

    def forget(self, listed: Container[str], now: float) -> None:
        """Drop what is over."""
        self._reports.expire(listed, now)
        for start in self._reports:
            if self.limit_of(start) is None and now - self.reported_at(start) > ENDED_KEPT_S:
                self._reports.remove(start)
