"""
chalkyoke.balancing.reports

Outcomes of this node's requests that have not yet been reported to an observer.
"""

import msgspec

from chalkyoke.balancing.messages import ReplicaReport, RouteCount

# How long successful answers are collected before a report, in seconds. Failures are reported
# immediately: a replica that fails half of its requests does so for some seconds only.
GATHER_INTERVAL_S = 1.0
# Rejections by full replicas from which a report is due earlier, and its interval then, in seconds:
# each second in which hosts fill the replicas alone costs as many sends as requests.
EARLY_REJECTIONS = 3
EARLY_INTERVAL_S = 0.25


class PlainEnd(msgspec.Struct, frozen=True):
    """The end of one send to a replica of a plain service.

    :param took_s: duration of the send, in seconds.
    :param due_s: time within which the answer was due, in seconds.
    :param is_evidence: whether the end says anything about the replica's health.
    :param failed: whether the replica failed the request.
    :param was_full: whether the replica rejected the request as it was full.
    """

    service: str
    replica: str
    route: str
    took_s: float
    due_s: float
    is_evidence: bool = True
    failed: bool = False
    was_full: bool = False


class _Use(msgspec.Struct):
    """The use of a service's slots by this node since the last report."""

    busy_s: float = 0.0
    rejections: int = 0


class ReportBook:
    """Count request outcomes by service, replica and route."""

    def __init__(self) -> None:
        self._uses: dict[str, _Use] = {}
        self._counts: dict[str, dict[tuple[str, str], tuple[int, int]]] = {}
        self._since: dict[str, float] = {}

    def add_outcome(
        self, service: str, replica: str, route: str, *, failed: bool, now: float
    ) -> bool:
        """Count the outcome of a request.

        :return: whether a report is due now: after a failure, or once the interval has passed.
        """
        counts = self._counts.setdefault(service, {})
        answers, failures = counts.get((replica, route), (0, 0))
        counts[replica, route] = (answers + (not failed), failures + failed)
        since = self._since.setdefault(service, now)
        return failed or now - since >= GATHER_INTERVAL_S

    def add_use(self, end: PlainEnd, now: float) -> bool:
        """Add the duration of a request, or count that a full replica rejected it.

        A duration counts up to the time by which the answer was due: a replica that hangs is not
        in use, and would make a service look busy.

        :return: whether a report is due now, since full replicas reject requests.
        """
        use = self._uses.setdefault(end.service, _Use())
        use.rejections += end.was_full
        use.busy_s += 0.0 if end.was_full else min(end.took_s, end.due_s)
        since = self._since.setdefault(end.service, now)
        return use.rejections >= EARLY_REJECTIONS and now - since >= EARLY_INTERVAL_S

    def take_report(self, service: str) -> ReplicaReport:
        """Build a report of all counts since the last one, and reset the counts."""
        counts = self._counts.pop(service, {})
        self._since.pop(service, None)
        counts_by_route = (RouteCount(*where, *ends) for where, ends in counts.items())
        use = self._uses.pop(service, _Use())
        return ReplicaReport(service, tuple(counts_by_route), round(use.busy_s, 4), use.rejections)

    def due_services(self, now: float) -> list[str]:
        """List the services whose collection interval has passed."""
        return [name for name, since in self._since.items() if now - since >= GATHER_INTERVAL_S]
