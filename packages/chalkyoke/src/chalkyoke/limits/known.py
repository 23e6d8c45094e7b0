"""
chalkyoke.limits.known

The limits that replicas have announced, as one node knows them.
"""

import math
from collections.abc import Container

import msgspec

from chalkyoke.catalog.starts import RetainedStarts

# Limit from which a replica counts as unlimited, in requests per second: hundreds of times the rate
# to a replica in the largest fleets. Each request to a limited replica costs a permit request.
MAX_LIMIT_PER_S = 1000.0
# Time for which the removal of a limit is kept, in seconds, since older reports of the limit may
# still arrive.
ENDED_RETENTION_S = 10.0


class _Report(msgspec.Struct):
    """The last report on one start of a replica.

    :ivar limit_per_s: requests per second; None after the limit was removed.
    :ivar at: estimated time of the replica's answer, in seconds on the node's clock.
    """

    limit_per_s: float | None
    at: float


class KnownLimits:
    """Keep the latest reported limit of each replica, by the id of the replica's start."""

    def __init__(self) -> None:
        self._reports: RetainedStarts[_Report] = RetainedStarts()

    def update(self, start: str, limit_per_s: float | None, at: float) -> bool:
        """Apply a report, unless a later one is known.

        :param limit_per_s: requests per second from all nodes; None if there is no limit.
        :param at: time of the replica's answer, in seconds on the node's clock.
        :return: whether the known limit has changed.
        """
        if limit_per_s is not None and not 0 <= limit_per_s < MAX_LIMIT_PER_S:
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
        """Return the limit of a replica, in requests per second; None if it has none."""
        report = self._reports.get(start)
        return None if report is None else report.limit_per_s

    def has_report(self, start: str) -> bool:
        """Return whether there is a report on a replica, the removal of its limit included."""
        return start in self._reports

    def reported_at(self, start: str) -> float:
        """Return the time of the last report, on the node's clock; minus infinity if none."""
        report = self._reports.get(start)
        return -math.inf if report is None else report.at

    def limits(self) -> dict[str, float]:
        """Return the limits in force by start, in requests per second."""
        found = ((start, self.limit_of(start)) for start in self._reports)
        return {start: limit_per_s for start, limit_per_s in found if limit_per_s is not None}

    def drop_expired(self, listed: Container[str], now: float) -> None:
        """Drop reports on starts that are not listed and on limits that were removed long ago.

        :param listed: the starts that the catalog lists.
        """
        self._reports.expire(listed, now)
        for start in self._reports:
            if self.limit_of(start) is None and now - self.reported_at(start) > ENDED_RETENTION_S:
                self._reports.remove(start)
