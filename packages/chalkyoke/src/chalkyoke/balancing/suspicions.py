"""
chalkyoke.balancing.suspicions

Replicas of plain services that answer badly: one node observes each service for all of them.
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

# How often suspects are named again while there are some, in seconds: twice within the time for
# which nodes go by them, in case a message was lost.
REBROADCAST_INTERVAL_S = 2.0

log = logger("suspicions")


class _BroadcastState(msgspec.Struct):
    """What the nodes were told of a service's replicas, and when."""

    suspects: tuple[str, ...] = ()
    at: float = float("-inf")


class Suspicions:
    """Report what requests met here, and observe the services that this node is to observe.

    :param send: sends a message to a node by its link address.
    :param replicas: tells how many replicas a service has.
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
        self._book = ReportBook()
        self._observers: dict[str, Observer] = {}
        self._told: dict[str, _BroadcastState] = {}

    def record_outcome(self, service: str, replica: str, route: str, *, failed: bool) -> None:
        """Note how a request to a replica of a plain service has ended."""
        if self._book.add_outcome(service, replica, route, failed=failed, now=self._now()):
            self._report(service)

    def tick(self) -> None:
        """Report what was gathered, and name suspects again; call about once a second."""
        for service in self._book.due_services(self._now()):
            self._report(service)
        for service, observer in list(self._observers.items()):
            self._judge(service, observer)
            if observer.is_idle(self._now()):
                del self._observers[service]
                self._told.pop(service, None)

    def receive(self, message: SuspicionMessage) -> None:
        """Take a report, or what an observer says."""
        if isinstance(message, ReplicaReport):
            self._take_report(message)
            return
        self._take_suspects(message)
        relay_to_domain(self._view, self._send, message)

    def _report(self, service: str) -> None:
        report = self._book.take_report(service)
        observer = next(iter(self._view.ranked(f"observer/{service}")), self._view.record)
        if observer.host == self._view.record.host:
            self._take_report(report)
        else:
            self._send(observer.address, report)

    def _take_report(self, report: ReplicaReport) -> None:
        observer = self._observers.setdefault(report.service, Observer())
        observer.add_counts(report.counts, self._now())
        if any(each.failures for each in report.counts):
            self._judge(report.service, observer)

    def _judge(self, service: str, observer: Observer) -> None:
        """Name the suspects to all nodes, where they have changed or were named some time ago."""
        now = self._now()
        suspects = observer.suspects(self._replicas(service), now)
        told = self._told.setdefault(service, _BroadcastState())
        same = set(suspects) == set(told.suspects)
        if same and (not suspects or now - told.at < REBROADCAST_INTERVAL_S):
            return
        self._told[service] = _BroadcastState(suspects, now)
        message = SuspectReplicas(service, suspects)
        self._take_suspects(message)
        told_to = send_to_all(self._view, self._send, message)
        if not same:
            log.notice("suspects_named", service=service, replicas=suspects, told_to=told_to)

    def _take_suspects(self, message: SuspectReplicas) -> None:
        if self._balancer.set_suspects(message.service, message.suspects, self._now()):
            log.info("suspects", service=message.service, replicas=message.suspects)
