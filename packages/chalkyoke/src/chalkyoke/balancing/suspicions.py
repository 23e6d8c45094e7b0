"""
chalkyoke.balancing.suspicions

Detection of failing replicas of plain services: one node observes each service for all nodes.
"""

from collections.abc import Callable

import msgspec

from chalkyoke.balancing.local import LocalBalancer
from chalkyoke.balancing.messages import ReplicaReport, SuspectReplicas, SuspicionMessage
from chalkyoke.balancing.observer import Observer
from chalkyoke.balancing.reports import ReportBook
from chalkyoke.links.broadcast import relay_to_domain, send_to_all
from chalkyoke.logs import logger
from chalkyoke.membership.view import MembershipView

# Interval between repeated broadcasts of suspects, in seconds: twice within their validity, in case
# a message is lost.
REBROADCAST_INTERVAL_S = 2.0

log = logger("suspicions")


class _BroadcastState(msgspec.Struct):
    """The suspects of a service that were last broadcast, and when."""

    suspects: tuple[str, ...] = ()
    at: float = float("-inf")


class Suspicions:
    """Report this node's request outcomes, and observe the services assigned to this node.

    :param send: sends a message to a node by its link address.
    :param replicas: returns the number of replicas of a service.
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        view: MembershipView,
        balancer: LocalBalancer,
        send: Callable[[str, SuspicionMessage], None],
        replicas: Callable[[str], int],
        now: Callable[[], float],
    ) -> None:
        self._view = view
        self._balancer = balancer
        self._send = send
        self._replicas = replicas
        self._now = now
        self._reports = ReportBook()
        self._observers: dict[str, Observer] = {}
        self._broadcasts: dict[str, _BroadcastState] = {}

    def record_outcome(self, service: str, replica: str, route: str, *, failed: bool) -> None:
        """Record the outcome of a request to a replica of a plain service."""
        if self._reports.add_outcome(service, replica, route, failed=failed, now=self._now()):
            self._report(service)

    def tick(self) -> None:
        """Send due reports and repeat broadcasts of suspects; call about once a second."""
        for service in self._reports.due_services(self._now()):
            self._report(service)
        for service, observer in list(self._observers.items()):
            self._broadcast_suspects(service, observer)
            if observer.is_idle(self._now()):
                del self._observers[service]
                self._broadcasts.pop(service, None)

    def receive(self, message: SuspicionMessage) -> None:
        """Apply a node's report, or apply and relay an observer's list of suspects."""
        if isinstance(message, ReplicaReport):
            self._apply_report(message)
            return
        self._apply_suspects(message)
        relay_to_domain(self._view, self._send, message)

    def _report(self, service: str) -> None:
        report = self._reports.take_report(service)
        observer = next(iter(self._view.ranked(f"observer/{service}")), self._view.record)
        if observer.host == self._view.record.host:
            self._apply_report(report)
        else:
            self._send(observer.address, report)

    def _apply_report(self, report: ReplicaReport) -> None:
        observer = self._observers.setdefault(report.service, Observer())
        observer.add_counts(report.counts, self._now())
        if any(each.failures for each in report.counts):
            self._broadcast_suspects(report.service, observer)

    def _broadcast_suspects(self, service: str, observer: Observer) -> None:
        """Broadcast the suspects if they have changed or the last broadcast is outdated."""
        now = self._now()
        suspects = observer.suspects(self._replicas(service), now)
        last = self._broadcasts.setdefault(service, _BroadcastState())
        unchanged = set(suspects) == set(last.suspects)
        if unchanged and (not suspects or now - last.at < REBROADCAST_INTERVAL_S):
            return
        self._broadcasts[service] = _BroadcastState(suspects, now)
        message = SuspectReplicas(service, suspects)
        self._apply_suspects(message)
        told_to = send_to_all(self._view, self._send, message)
        if not unchanged:
            log.notice("suspects_named", service=service, replicas=suspects, told_to=told_to)

    def _apply_suspects(self, message: SuspectReplicas) -> None:
        if self._balancer.set_suspects(message.service, message.suspects, self._now()):
            log.info("suspects", service=message.service, replicas=message.suspects)
