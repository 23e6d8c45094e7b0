"""
chalkyoke.balancing.reports

What this node's requests met at replicas and its observer does not know yet.
"""

from chalkyoke.balancing.messages import ReplicaReport, RouteCount

# How long good answers are gathered, in seconds. Failures are told at once: a replica that fails
# half of its requests does so for some seconds only.
GATHER_INTERVAL_S = 1.0


class ReportBook:
    """Count how requests ended, by service, replica and route."""

    def __init__(self) -> None:
        self._counts: dict[str, dict[tuple[str, str], tuple[int, int]]] = {}
        self._since: dict[str, float] = {}

    def add_outcome(
        self, service: str, replica: str, route: str, *, failed: bool, now: float
    ) -> bool:
        """Count the end of a request.

        :return: whether a report is due now.
        """
        counts = self._counts.setdefault(service, {})
        answers, failures = counts.get((replica, route), (0, 0))
        counts[replica, route] = (answers + (not failed), failures + failed)
        since = self._since.setdefault(service, now)
        return failed or now - since >= GATHER_INTERVAL_S

    def take_report(self, service: str) -> ReplicaReport:
        """Word a report of all that was counted since the last one."""
        counts = self._counts.pop(service, {})
        self._since.pop(service, None)
        told = (RouteCount(*where, *ends) for where, ends in counts.items())
        return ReplicaReport(service, tuple(told))

    def due_services(self, now: float) -> list[str]:
        """List the services whose answers were gathered for long enough."""
        return [name for name, since in self._since.items() if now - since >= GATHER_INTERVAL_S]
