"""
chalkyoke.scheduling.forecast

Predict which waiting requests would be late and which of them may be shed. The queue is simulated
over the slots in grant order (list scheduling, Graham 1969).
"""

import heapq
import itertools
import math
from collections.abc import Container, Iterable

import msgspec

from chalkyoke.scheduling.placement import Prediction, lateness_s, predict
from chalkyoke.scheduling.shortlist import MAX_COMPARED, MAX_FREE_COMPARED
from chalkyoke.scheduling.state import Upstream, WaitingRequest

# Number of waiting requests that a forecast simulates; those behind them are late anyway.
MAX_FORECAST_REQUESTS = 4000


class Late(msgspec.Struct, frozen=True):
    """A waiting request that is predicted to miss its goal or deadline.

    :param late_s: predicted lateness in seconds.
    :param hopeless: whether the caller would have disconnected by then.
    """

    item: WaitingRequest
    late_s: float
    hopeless: bool = True


class SlotForecast:
    """Simulate when the slots of upstreams become free.

    :param upstreams: upstreams that accept new requests.
    :param now: seconds on the scheduler's clock.
    """

    def __init__(self, upstreams: Iterable[Upstream], now: float) -> None:
        self._now = now
        self._slots: dict[str, list[float]] = {}
        self._limited_until: dict[str, float] = {}
        for upstream in upstreams:
            if upstream.allowance is not None:
                self._limited_until[upstream.spec.id] = upstream.limit_opens_at(now)
            finishes = [max(now, item.expected_finish) for item in upstream.running.values()]
            free = max(0, upstream.max_grants(now) - upstream.occupied(now))
            slots = finishes + [now] * free
            heapq.heapify(slots)
            if slots:
                self._slots[upstream.spec.id] = slots

    def soonest_start(self, upstreams: Iterable[Upstream]) -> tuple[Upstream, float] | None:
        """Find the upstream whose next slot becomes free first.

        :return: the upstream and the time on the scheduler's clock; None where none has slots.
        """
        best: tuple[Upstream, float] | None = None
        limited = self._limited_until
        for upstream in upstreams:
            slots = self._slots.get(upstream.spec.id)
            if not slots:
                continue
            start = max(slots[0], limited.get(upstream.spec.id, 0.0)) if limited else slots[0]
            if best is None or start < best[1]:
                best = (upstream, start)
        return best

    def next_start(self, upstream: Upstream) -> float:
        """Return when an upstream can start its next request; infinite where it has no slots.

        An upstream with an announced limit starts nothing before the limit allows it, even with
        free slots.

        :rtype: float
        """
        slots = self._slots.get(upstream.spec.id)
        if not slots:
            return math.inf
        return max(slots[0], self._limited_until.get(upstream.spec.id, slots[0]))

    def soonest_candidates(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams with the earliest starts; all of them in a small pool.

        :rtype: list[Upstream]
        """
        if len(upstreams) <= MAX_COMPARED:
            return upstreams
        return heapq.nsmallest(MAX_FREE_COMPARED, upstreams, key=self.next_start)

    def occupy(self, upstream: Upstream, seconds: float) -> None:
        """Occupy the next slot of an upstream for a duration in seconds."""
        start = self.next_start(upstream)
        heapq.heapreplace(self._slots[upstream.spec.id], start + seconds)
        if upstream.allowance is not None:
            gap_s = 1.0 / upstream.allowance.rate_per_s
            self._limited_until[upstream.spec.id] = start + gap_s


def find_late(
    ordered: Iterable[WaitingRequest],
    eligible: dict[str, list[Upstream]],
    forecast: SlotForecast,
    now: float,
) -> list[Late]:
    """Simulate the queue and list the requests that would be late.

    A late request is granted after all timely requests of its tier, so the simulation also places
    it after them, and it does not make them late.

    :param ordered: waiting requests, highest tier first, in the order of their grants.
    :param eligible: upstreams by route.
    :param now: seconds on the scheduler's clock.
    :rtype: list[Late]
    """
    late: list[Late] = []
    bounded = itertools.islice(ordered, MAX_FORECAST_REQUESTS)
    for _, tier in itertools.groupby(bounded, key=lambda item: item.rank):
        late_items = [item for item in tier if not _simulate_timely(item, eligible, forecast, now)]
        late += [_simulate_late(item, eligible, forecast, now) for item in late_items]
    return late


def _simulate_timely(
    item: WaitingRequest, eligible: dict[str, list[Upstream]], forecast: SlotForecast, now: float
) -> bool:
    """Occupy a slot for a request if it would be in time; return whether it would."""
    upstreams = eligible[item.route]
    found = forecast.soonest_start(upstreams)
    if found is None:
        return True

    upstream, start = found
    prediction = predict(item, upstream, 0, upstream.spec.slots, now)
    if lateness_s(item, start, prediction) > 0:
        upstream, start, prediction = _earliest_finish(item, upstreams, forecast, now)
    in_time = lateness_s(item, start, prediction) <= 0
    if in_time or (start <= now and _could_start(item, upstream, now)):
        forecast.occupy(upstream, prediction.finish_s)
        return True
    return False


def _simulate_late(
    item: WaitingRequest, eligible: dict[str, list[Upstream]], forecast: SlotForecast, now: float
) -> Late:
    """Simulate a late request; a hopeless one occupies no slot."""
    upstream, start, prediction = _earliest_finish(item, eligible[item.route], forecast, now)
    hopeless = not item.has_goal or start + prediction.first_s > item.deadline
    if not hopeless:
        forecast.occupy(upstream, prediction.finish_s)
    return Late(item, lateness_s(item, start, prediction), hopeless)


def _earliest_finish(
    item: WaitingRequest, upstreams: list[Upstream], forecast: SlotForecast, now: float
) -> tuple[Upstream, float, Prediction]:
    best: tuple[float, Upstream, float, Prediction] | None = None
    for upstream in forecast.soonest_candidates(upstreams):
        start = forecast.next_start(upstream)
        prediction = predict(item, upstream, 0, upstream.spec.slots, now)
        finish = lateness_s(item, start, prediction)
        if best is None or finish < best[0]:
            best = (finish, upstream, start, prediction)
    assert best is not None
    return best[1:]


def _could_start(item: WaitingRequest, upstream: Upstream, now: float) -> bool:
    """Return whether a slot is free and the optimistic prediction meets the deadline."""
    prediction = predict(item, upstream, 0, upstream.occupied(now) + 1, now)
    optimistic = prediction.first_s if item.has_goal else prediction.optimistic_s
    return upstream.has_slot(now) and now + optimistic <= item.deadline


def may_shed(
    late: list[Late], waiting: Iterable[WaitingRequest], overlaps: Container[tuple[str, str]]
) -> list[Late]:
    """Select the late requests that may be shed, strictly from the lowest tier up.

    A request may be shed only if no request of a lower tier remains waiting for the same upstreams.

    :param late: requests predicted to be late; those that are not hopeless are kept.
    :param waiting: all waiting requests.
    :param overlaps: pairs of routes that share an upstream.
    :return: requests that may be shed, lowest tier first.
    """
    late = [entry for entry in late if entry.hopeless]
    shed_ids = {id(entry.item) for entry in late}
    left: dict[str, int] = {}
    for item in waiting:
        if id(item) not in shed_ids:
            left[item.route] = max(left.get(item.route, -1), item.rank)

    allowed: list[Late] = []
    for entry in sorted(late, key=lambda each: -each.item.rank):
        item = entry.item
        lowest = max(
            (rank for route, rank in left.items() if (route, item.route) in overlaps), default=-1
        )
        if lowest > item.rank:
            left[item.route] = max(left.get(item.route, -1), item.rank)
        else:
            allowed.append(entry)
    return allowed
