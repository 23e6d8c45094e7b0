"""
chalkyoke.balancing.queueing

Decide whether a plain service is queued: whether the scheduler of its pool decides for its
requests, or each node alone. One node observes the use of a service's slots for all nodes and
announces the decision; each node keeps it while it is valid.
"""

from collections import deque
from collections.abc import Callable
from enum import StrEnum

import msgspec

# Period over which the use of the slots is averaged, in seconds: nodes report once a second, and a
# node with few requests a second later.
WINDOW_S = 3.0
# Share of the slots from which a service is queued. Nodes that choose alone overfill single
# replicas from about this mean use on, as requests of several nodes arrive together. A round trip
# for each request pays only above that.
START_USE_SHARE = 0.25
# Number of requests rejected by full replicas within the window from which a service is queued too,
# and the smallest use in that case: rejections at a lower one have another cause than demand.
START_REJECTIONS = 3
MIN_START_USE_SHARE = 0.08
# Share of the slots below which queueing stops, and the time for which the use must stay below it,
# in seconds; both far from the start, so that demand that varies in waves does not switch.
STOP_USE_SHARE = 0.15
STOP_AFTER_S = 10.0
# Validity of an announcement without a repetition, in seconds: two and a half intervals between
# repetitions. Nodes then choose alone, as they do while no node observes.
ANNOUNCEMENT_VALID_S = 5.0


class QueueingReason(StrEnum):
    """Why queueing starts or stops for a service."""

    USE = "use"
    REJECTIONS = "rejections"
    LOW_USE = "low use"


class QueueingChange(msgspec.Struct, frozen=True):
    """A decision that a service is queued from now on, or is no longer.

    :param use: mean share of the service's slots in use.
    :param rejections: requests that full replicas rejected within the window.
    """

    queued: bool
    reason: QueueingReason
    use: float
    rejections: int


class _Sample(msgspec.Struct, frozen=True):
    at: float
    busy_s: float
    rejections: int


class UseObserver:
    """Observe the use of one service's slots and decide whether the service is queued.

    :param queued: whether the service is queued at the moment, according to an earlier observer.
    """

    def __init__(self, now: float, *, queued: bool) -> None:
        self.queued = queued
        self._samples: deque[_Sample] = deque()
        self._busy_s = 0.0
        self._rejections = 0
        self._used_at = now

    def add_report(self, busy_s: float, rejections: int, now: float) -> None:
        """Add one node's report.

        :param busy_s: total duration of the node's requests since its last report, in seconds.
        :param rejections: requests that full replicas rejected since then.
        """
        if busy_s <= 0 and not rejections:
            return
        self._samples.append(_Sample(now, busy_s, rejections))
        self._busy_s += busy_s
        self._rejections += rejections

    def decide(self, slots: int, now: float) -> QueueingChange | None:
        """Return the change that the reports call for, or None.

        :param slots: slots of all replicas of the service.
        """
        self._drop_old(now)
        use = self._busy_s / WINDOW_S / max(1, slots)
        if use >= STOP_USE_SHARE or (self.queued and self._rejections):
            self._used_at = now
        if self.queued:
            if now - self._used_at < STOP_AFTER_S:
                return None
            return self._change(QueueingReason.LOW_USE, use, queued=False)
        if use >= START_USE_SHARE:
            return self._change(QueueingReason.USE, use, queued=True)
        if self._rejections >= START_REJECTIONS and use >= MIN_START_USE_SHARE:
            return self._change(QueueingReason.REJECTIONS, use, queued=True)
        return None

    def is_idle(self, now: float) -> bool:
        """Return whether the service is not queued and has no recent reports."""
        self._drop_old(now)
        return not self.queued and not self._samples

    def _change(self, reason: QueueingReason, use: float, *, queued: bool) -> QueueingChange:
        self.queued = queued
        return QueueingChange(queued, reason, use, self._rejections)

    def _drop_old(self, now: float) -> None:
        samples = self._samples
        while samples and samples[0].at <= now - WINDOW_S:
            oldest = samples.popleft()
            self._busy_s -= oldest.busy_s
            self._rejections -= oldest.rejections
        if not samples:
            self._busy_s = 0.0


class QueuedServices:
    """The plain services that are queued, as announced by their observers.

    :param now: the node's clock, in seconds.
    :param is_brittle: returns whether replicas of a service fall over if they reject requests. Such
        a service is queued at once, whatever else was announced.
    :param always: whether all plain services are queued, whatever was announced.
    :param never: whether none is queued by its use.
    """

    def __init__(
        self,
        now: Callable[[], float],
        is_brittle: Callable[[str], bool] = lambda _: False,
        *,
        always: bool = False,
        never: bool = False,
    ) -> None:
        self._now = now
        self._is_brittle = is_brittle
        self._always = always
        self._never = never
        self._valid_until: dict[str, float] = {}

    @property
    def announced(self) -> bool:
        """Whether announcements decide, so that services must be observed."""
        return not self._always and not self._never

    def is_queued(self, service: str) -> bool:
        """Return whether the scheduler of a plain service's pool decides for its requests now."""
        if self._is_brittle(service):
            return True
        if not self.announced:
            return self._always
        return self._now() < self._valid_until.get(service, 0.0)

    def names(self) -> list[str]:
        """List the services that were announced as queued and still are."""
        return [each for each in self._valid_until if self.is_queued(each)]

    def apply(self, service: str, *, queued: bool) -> bool:
        """Apply an announcement.

        :return: whether the service's state has changed.
        """
        before = self.is_queued(service)
        if queued:
            self._valid_until[service] = self._now() + ANNOUNCEMENT_VALID_S
        else:
            self._valid_until.pop(service, None)
        return self.is_queued(service) != before
