"""
chalkyoke.balancing.suspicions

Detection of failing replicas of plain services, and of services that need a queue: one node
observes each service for all nodes.
"""

from collections.abc import Callable, Iterable

import msgspec

from chalkyoke.balancing.local import SUSPICION_VALID_S, LocalBalancer
from chalkyoke.balancing.messages import (
    QueueingUpdate,
    ReplicaReport,
    SuspectReplicas,
    SuspicionMessage,
)
from chalkyoke.balancing.observer import Observer
from chalkyoke.balancing.queueing import QueuedServices, UseObserver
from chalkyoke.balancing.reports import PlainEnd, ReportBook
from chalkyoke.links.broadcast import relay_to_domain, send_to_all
from chalkyoke.logs import logger
from chalkyoke.membership.messages import MemberRecord
from chalkyoke.membership.view import MembershipView

# Interval between repeated broadcasts of suspects and of queued services, in seconds: twice within
# their validity, in case a message is lost.
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
    :param queueing: the services that are queued; None if none ever is.
    :param slots: returns the number of slots of a service's replicas.
    :param suspend: suspends suspects of a service in its pool's scheduler here, for some seconds.
    """

    def __init__(
        self,
        view: MembershipView,
        balancer: LocalBalancer,
        send: Callable[[str, SuspicionMessage], None],
        replicas: Callable[[str], int],
        now: Callable[[], float],
        queueing: QueuedServices | None = None,
        slots: Callable[[str], int] = lambda _: 0,
        suspend: Callable[[str, Iterable[str], float], None] = lambda *_: None,
    ) -> None:
        self._view = view
        self._balancer = balancer
        self._send = send
        self._replicas = replicas
        self._now = now
        self._reports = ReportBook()
        self._observers: dict[str, Observer] = {}
        self._broadcasts: dict[str, _BroadcastState] = {}
        self._queueing = queueing or QueuedServices(now, never=True)
        self._slots = slots
        self._suspend = suspend
        self._uses: dict[str, UseObserver] = {}
        self._announced_at: dict[str, float] = {}

    def record_end(self, end: PlainEnd) -> None:
        """Record the end of a send to a replica of a plain service."""
        counts = self._queueing.announced and (end.is_evidence or end.was_full)
        if counts and self._reports.add_use(end, self._now()):
            self._report(end.service)
        if end.is_evidence:
            self.record_outcome(end.service, end.replica, end.route, failed=end.failed)

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
        for service in list(self._uses):
            if self._observer(service).host == self._view.record.host:
                self._decide_queueing(service)
            else:
                self._forget_use(service)

    def receive(self, message: SuspicionMessage) -> None:
        """Apply a node's report, or apply and relay an observer's announcement."""
        if isinstance(message, ReplicaReport):
            self._apply_report(message)
            return
        if isinstance(message, QueueingUpdate):
            self._apply_queueing(message)
        else:
            self._apply_suspects(message)
        relay_to_domain(self._view, self._send, message)

    def _report(self, service: str) -> None:
        report = self._reports.take_report(service)
        observer = self._observer(service)
        if observer.host == self._view.record.host:
            self._apply_report(report)
        else:
            self._send(observer.address, report)

    def _observer(self, service: str) -> MemberRecord:
        return next(iter(self._view.ranked(f"observer/{service}")), self._view.record)

    def _apply_report(self, report: ReplicaReport) -> None:
        observer = self._observers.setdefault(report.service, Observer())
        observer.add_counts(report.counts, self._now())
        if any(each.failures for each in report.counts):
            self._broadcast_suspects(report.service, observer)
        self._apply_use(report)

    # Queueing.

    def _apply_use(self, report: ReplicaReport) -> None:
        """Add the use of a service's slots by a node; one of an older version reports none."""
        if not self._queueing.announced:
            return
        service, now = report.service, self._now()
        if service not in self._uses:
            queued = self._queueing.is_queued(service)
            self._uses[service] = UseObserver(now, queued=queued)
        self._uses[service].add_report(report.busy_s, report.rejections, now)
        self._decide_queueing(service)

    def _decide_queueing(self, service: str) -> None:
        """Announce that queueing starts or stops, and repeat the announcement while it lasts."""
        now, observer, slots = self._now(), self._uses[service], self._slots(service)
        change = observer.decide(slots, now)
        if change is not None:
            event = "queueing_started" if change.queued else "queueing_stopped"
            log.notice(
                event,
                service=service,
                reason=change.reason,
                use=round(change.use, 3),
                rejections=change.rejections,
                slots=slots,
            )
        due = now - self._announced_at.get(service, 0.0) >= REBROADCAST_INTERVAL_S
        if change is not None or (observer.queued and due):
            self._announced_at[service] = now
            message = QueueingUpdate(service, observer.queued)
            self._apply_queueing(message)
            send_to_all(self._view, self._send, message)
        if observer.is_idle(now):
            self._forget_use(service)

    def _forget_use(self, service: str) -> None:
        """Stop observing a service that is idle, or that another node observes from now on."""
        del self._uses[service]
        self._announced_at.pop(service, None)

    def _apply_queueing(self, message: QueueingUpdate) -> None:
        if self._queueing.apply(message.service, queued=message.queued):
            log.info("queueing", service=message.service, queued=message.queued)

    # Suspects.

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
        self._suspend(message.service, message.suspects, SUSPICION_VALID_S)
        if self._balancer.set_suspects(message.service, message.suspects, self._now()):
            log.info("suspects", service=message.service, replicas=message.suspects)
