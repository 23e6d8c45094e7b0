"""
chalkyoke.balancing.reports

Outcomes of this node's requests that have not yet been reported to an observer.
"""

from chalkyoke.balancing.messages import ReplicaReport, RouteCount

# How long successful answers are collected before a report, in seconds. Failures are reported
# immediately: a replica that fails half of its requests does so for some seconds only.
GATHER_INTERVAL_S = 1.0


class ReportBook:
    """Count request outcomes by service, replica and route."""

    def __init__(self) -> None:
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

    def take_report(self, service: str) -> ReplicaReport:
        """Build a report of all counts since the last one, and reset the counts."""
        counts = self._counts.pop(service, {})
        self._since.pop(service, None)
        counts_by_route = (RouteCount(*where, *ends) for where, ends in counts.items())
        return ReplicaReport(service, tuple(counts_by_route))

    def due_services(self, now: float) -> list[str]:
        """List the services whose collection interval has passed."""
        return [name for name, since in self._since.items() if now - since >= GATHER_INTERVAL_S]
