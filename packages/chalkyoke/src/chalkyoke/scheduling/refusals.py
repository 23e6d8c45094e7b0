"""
chalkyoke.scheduling.refusals

Refuse requests before they run because they are hopeless, expired, without an upstream or shed.
Refusals are sent immediately, and shedding proceeds strictly from the lowest tier up.
"""

from collections.abc import Callable

import msgspec

from chalkyoke.invariants import require
from chalkyoke.outcomes import Reason
from chalkyoke.scheduling.admission import FairAdmission
from chalkyoke.scheduling.declines import Closure, Declines, find_closure
from chalkyoke.scheduling.forecast import Late, SlotForecast, find_late, may_shed
from chalkyoke.scheduling.headroom import Headroom
from chalkyoke.scheduling.messages import Action, Shed
from chalkyoke.scheduling.placement import Features, idle_time_s
from chalkyoke.scheduling.pool import PoolState
from chalkyoke.scheduling.shortlist import MAX_COMPARED
from chalkyoke.scheduling.state import Upstream, WaitingRequest

# Minimum interval between forecasts of the queue, in seconds, and the interval for each waiting
# request, in seconds: a long queue must not use the whole processor.
FORECAST_INTERVAL_S = 0.05
FORECAST_S_PER_WAITING = 0.0005
# Maximum number of waiting requests, which bounds memory; far more than can be served within a
# deadline.
MAX_WAITING_REQUESTS = 5000
# Bounds of Retry-After, in seconds.
MIN_RETRY_S = 0.5
MAX_RETRY_S = 60.0
# Retry-After where a route has no upstream, in seconds: an upstream takes seconds to start.
NO_UPSTREAM_RETRY_S = 5.0
# Interval over which retries are spread after an upstream may accept requests again, in seconds: a
# few goals, so that the retries do not form a new burst.
REOPENING_SPREAD_S = 0.5
# Minimum number of waiting requests ahead for a refusal at arrival.
MIN_REQUESTS_AHEAD = 1
# Minimum Retry-After of a request refused at arrival, in seconds, before it is randomly reduced.
MIN_EARLY_RETRY_S = 0.4
# Retry-After of a request refused at arrival, as a multiple of the queue's predicted wait, before
# it is randomly reduced.
EARLY_RETRY_WAITS = 1.5
# How long after its Retry-After a refused request still takes precedence over new ones, in seconds.
RETRY_PRIORITY_S = 1.5
# Tolerated delay beyond the goal before a refusal at arrival, as a share of the time between goal
# and deadline.
GOAL_OVERRUN_SHARE = 0.5


class Counters(msgspec.Struct):
    """Counts of the scheduler's decisions, for metrics.

    :param held: how often a request was held for a busy upstream.
    :param shed: refusals by (reason, rank).
    """

    granted: int = 0
    held: int = 0
    shed: dict[tuple[Reason, int], int] = msgspec.field(default_factory=dict)


class AddressedAction(msgspec.Struct):
    """An action and the entry process that receives it.

    :param pool_mostly_free: whether the pool was mostly free when a request was refused.
    :param leaves_domain: whether the upstream of a grant is in another failure domain than the
        entry process.
    :param refused_again: whether a request was refused that returned at its assigned time.
    """

    entry: str
    action: Action
    pool_mostly_free: bool = False
    leaves_domain: bool = False
    refused_again: bool = False


class Refuser:
    """Decide which requests are refused, and build the refusals.

    :param pool: state of the pool.
    :param headroom: provides the rates at which tiers get slots.
    :param admission: predicts waits by fair shares and assigns the times of retries.
    :param random: source of numbers in [0, 1), to spread retries.
    """

    def __init__(
        self,
        pool: PoolState,
        counters: Counters,
        features: Features,
        headroom: Headroom,
        admission: FairAdmission,
        random: Callable[[], float],
        now: float,
    ) -> None:
        self._pool = pool
        self._counters = counters
        self._features = features
        self._headroom = headroom
        self._admission = admission
        self._random = random
        self._next_forecast = now
        self._promised_until: dict[int, float] = {}

    def check_arrival(
        self, item: WaitingRequest, now: float, *, settled: bool
    ) -> AddressedAction | None:
        """Refuse a request at arrival if it cannot be served in time.

        :param settled: whether the scheduler issues grants. Until then the queue length does not
            predict the wait, and a new scheduler would refuse all but the first request although
            the pool is free.
        :rtype: AddressedAction or None
        """
        if self._features.reserved_retries and item.has_goal and not item.assigned_at:
            self._admission.take_due_retry(item, now)
        eligible = self._open_upstreams(item.route)
        if not eligible:
            return self._build_refusal(item, Reason.NO_UPSTREAM, NO_UPSTREAM_RETRY_S)
        if item.deadline <= now:
            return self._build_refusal(item, Reason.EXPIRED, None)
        closure = find_closure(_open_times(eligible, now), item.entry, item.domain, now)
        if closure is not None and _should_refuse_closed(closure, item, now):
            return self._build_refusal(
                item, Reason.NO_UPSTREAM, self._reopening_retry_after_s(closure, now)
            )
        if self._features.shed and self._is_hopeless(item, now):
            return self._build_refusal(item, Reason.HOPELESS, None)
        if not self._features.early or not item.has_goal or self._features.fair_admission:
            return None
        item.is_promised_retry = self._promised_until.pop(item.fingerprint, 0.0) > now
        return None if item.is_promised_retry or not settled else self._refuse_early(item, now)

    def refuse_by_share(
        self, item: WaitingRequest, now: float, *, settled: bool
    ) -> list[AddressedAction]:
        """Refuse a request at arrival if its team's share cannot start it in time.

        Waiting requests of lower tiers would start even later, so they are refused before it. While
        one of them is a retry at its assigned time, the request is queued instead.

        :return: no refusals where the request is to be queued; otherwise its own is the last.
        """
        if not item.has_goal:
            return []
        admission = self._admission
        admission.set_latest_start(item, now)
        if item.assigned_at:
            return []
        if admission.schedule.find(item.fingerprint) is None:
            admission.record_arrival(item, now)
        if not settled:
            return []
        if self._starts_at_once(item, now) or admission.is_in_time(item, now):
            admission.schedule.end_unshared(item.fingerprint)
            return []
        if any(each.promised for rank, each in self._pool.queues.items() if rank > item.rank):
            return []
        lower = self._pool.lower_tier_waiting(item)
        actions = [
            self.shed(each, Reason.SHED, admission.retry_after_s(each, now)) for each in lower
        ]
        retry = admission.retry_after_s(item, now)
        return [*actions, self._build_refusal(item, Reason.SHED, retry)]

    def _starts_at_once(self, item: WaitingRequest, now: float) -> bool:
        """Return whether nothing waits in the tier or above it, and a slot is free."""
        queues = self._pool.queues
        if any(queue.size for rank, queue in queues.items() if rank <= item.rank):
            return False
        eligible = self._pool.eligible[item.route]
        return any(each.has_slot(now) and each.is_usable(item.domain, now) for each in eligible)

    def _refuse_early(self, item: WaitingRequest, now: float) -> AddressedAction | None:
        """Refuse a request that would wait beyond its goal, early enough for a timely retry."""
        if self._pool.has_lower_tier_waiting(item):
            return None
        if not self._pool.must_leave_headroom(item) and self._pool.has_free_slot(now):
            return None
        ahead = sum(
            count for (rank, _), count in self._pool.waiting_counts.items() if rank == item.rank
        )
        if ahead < MIN_REQUESTS_AHEAD:
            return None
        promised = self._count_promised_retries(now)
        wait = self._headroom.wait_s(item.rank, ahead, now)
        latest_start = item.goal + GOAL_OVERRUN_SHARE * max(0.0, item.deadline - item.goal)
        if now + wait + item.least_s <= latest_start:
            return None
        after = self._headroom.wait_s(item.rank, ahead + promised, now)
        retry = self._early_retry_after_s(item, after)
        if item.fingerprint:
            self._promised_until[item.fingerprint] = now + retry + RETRY_PRIORITY_S
        return self._build_refusal(item, Reason.SHED, retry)

    def _count_promised_retries(self, now: float) -> int:
        """Count refused requests whose promised retry is still pending; drop outdated promises."""
        for fingerprint, until in list(self._promised_until.items()):
            if until < now:
                del self._promised_until[fingerprint]
        return len(self._promised_until)

    def _early_retry_after_s(self, item: WaitingRequest, wait_s: float) -> float:
        """Return a Retry-After by which the queue should be served, within the caller's limit."""
        longest = max(MIN_EARLY_RETRY_S, item.max_retry_after_s)
        base = min(longest, max(MIN_EARLY_RETRY_S, EARLY_RETRY_WAITS * wait_s))
        return round(base * (0.6 + 0.4 * self._random()), 2)

    def make_room(self, item: WaitingRequest, now: float) -> list[AddressedAction]:
        """Shed one request when the queue is too long: from the lowest tier that shares upstreams.

        :rtype: list[AddressedAction]
        """
        if len(self._pool.waiting) <= MAX_WAITING_REQUESTS:
            return []
        victim = item
        while (lower := self._last_of_lowest_tier(victim)).rank > victim.rank:
            victim = lower
        return [self.shed(victim, Reason.SHED, self.retry_after_s(victim.deadline - now))]

    def refuse_without_upstream(self) -> list[AddressedAction]:
        """Refuse the waiting requests of routes that have no upstream any more.

        :rtype: list[AddressedAction]
        """
        closed_routes = {
            route for _, route in self._pool.waiting_counts if not self._open_upstreams(route)
        }
        return [
            self.shed(item, Reason.NO_UPSTREAM, NO_UPSTREAM_RETRY_S)
            for item in list(self._pool.waiting.values())
            if item.route in closed_routes
        ]

    def _refuse_closed(self, now: float) -> list[AddressedAction]:
        """Refuse requests whose upstreams reject their entry process for too long."""
        actions: list[AddressedAction] = []
        found: dict[tuple[str, str, str], Closure | None] = {}
        for route in {route for (_, route), count in self._pool.waiting_counts.items() if count}:
            open_times = _open_times(self._open_upstreams(route), now)
            if any(each.is_clear(now) and until <= now for each, until in open_times):
                continue
            for item in [each for each in self._pool.waiting.values() if each.route == route]:
                key = (route, item.domain, item.entry)
                if key not in found:
                    found[key] = find_closure(open_times, item.entry, item.domain, now)
                closure = found[key]
                if closure is not None and _should_refuse_closed(closure, item, now):
                    retry = self._reopening_retry_after_s(closure, now)
                    actions.append(self.shed(item, Reason.NO_UPSTREAM, retry))
        return actions

    def _refuse_unusable(self, now: float) -> list[AddressedAction]:
        """Refuse requests if no upstream can be used in time: all are suspended or out of reach.

        Such a request would wait until its deadline without any grant.
        """
        actions: list[AddressedAction] = []
        found: dict[tuple[str, str], float] = {}
        for item in list(self._pool.waiting.values()):
            key = (item.route, item.domain)
            if key not in found:
                upstreams = self._open_upstreams(item.route)
                opens = (each.reopens_at(item.domain) for each in upstreams)
                found[key] = min(opens, default=now)
            if found[key] + item.least_s > item.deadline:
                retry = min(found[key] - now, item.max_retry_after_s)
                actions.append(self.shed(item, Reason.NO_UPSTREAM, round(retry, 2)))
        return actions

    def _reopening_retry_after_s(self, closure: Closure, now: float) -> float:
        """Return a Retry-After at which an upstream may accept requests, plus random spread."""
        return round(closure.until - now + REOPENING_SPREAD_S * self._random(), 2)

    def refuse_expired(self, now: float) -> list[AddressedAction]:
        """Refuse requests that have expired, are hopeless or have no upstream that accepts them.

        :rtype: list[AddressedAction]
        """
        actions = (
            [
                *self.refuse_without_upstream(),
                *self._refuse_closed(now),
                *self._refuse_unusable(now),
            ]
            if self._features.shed
            else []
        )
        for item in list(self._pool.waiting.values()):
            if item.deadline <= now:
                actions.append(self.shed(item, Reason.EXPIRED, None))
            elif self._features.shed and self._has_become_hopeless(item, now):
                actions.append(self.shed(item, Reason.HOPELESS, None))
        return actions

    def shed_by_forecast(self, now: float) -> list[AddressedAction]:
        """Shed late requests if a forecast is due, and mark late ones that must be kept.

        Forecasts run less often with a longer queue, to bound their processor time.

        :rtype: list[AddressedAction]
        """
        if not self._features.shed or now < self._next_forecast or not self._pool.waiting:
            return []
        pause = FORECAST_S_PER_WAITING * len(self._pool.waiting)
        self._next_forecast = now + max(FORECAST_INTERVAL_S, pause)
        return self.shed_late(now)

    def shed_late(self, now: float) -> list[AddressedAction]:
        """Simulate the queue and shed the late requests from the lowest tier up.

        :rtype: list[AddressedAction]
        """
        pool = self._pool
        usable = (each for each in pool.upstreams.values() if each.is_usable("", now))
        ordered = (
            item
            for rank in sorted(pool.queues)
            for item in pool.queues[rank].fair_order(pool.weights)
        )
        late = find_late(ordered, pool.eligible, SlotForecast(usable, now), now)
        actions = [
            self.shed(entry.item, Reason.SHED, self._late_retry_after_s(entry, now))
            for entry in may_shed(late, pool.waiting.values(), pool.overlaps)
        ]
        kept = {entry.item.request for entry in late}
        for item in pool.waiting.values():
            # A retry at its assigned time keeps its precedence over new requests.
            is_late = item.request in kept and not item.assigned_at
            pool.queues[item.rank].set_late(item, is_late)
        return actions

    def shed(
        self, item: WaitingRequest, reason: Reason, retry_after_s: float | None
    ) -> AddressedAction:
        """Remove a waiting request and build its refusal.

        :raises InvariantBroken: when the request is shed while a lower tier waits for the same
            upstreams.
        """
        self._pool.remove_waiting(item)
        if reason is Reason.SHED:
            require(
                not self._pool.has_lower_tier_waiting(item),
                "a higher tier is never shed while a lower one waits for the same upstreams",
                request=item.request,
                rank=item.rank,
            )
        return self._build_refusal(item, reason, retry_after_s)

    def retry_after_s(self, late_s: float) -> float:
        """Return a Retry-After between the lateness and twice the lateness, within bounds.

        :return: seconds.
        """
        base = min(MAX_RETRY_S, max(MIN_RETRY_S, late_s))
        return round(base * (1.0 + self._random()), 2)

    def _late_retry_after_s(self, entry: Late, now: float) -> float:
        if self._features.fair_admission and entry.item.has_goal:
            return self._admission.retry_after_s(entry.item, now)
        return self.retry_after_s(entry.late_s)

    def _open_upstreams(self, route: str) -> list[Upstream]:
        return [each for each in self._pool.eligible.get(route, ()) if not each.leaving]

    def _is_hopeless(self, item: WaitingRequest, now: float) -> bool:
        """Return whether the deadline cannot be met even on an idle pool.

        A retry with little time left would be cut in the middle of its answer, and its prefill
        would be wasted.
        """
        depths = self._pool.prefixes.matches(item.blocks)
        eligible = self._open_upstreams(item.route)
        if len(eligible) > MAX_COMPARED:
            with_prefix = [each for each in eligible if each.spec.id in depths]
            eligible = [*self._pool.fastest(item.route, now), *with_prefix]
        item.least_s = min(
            idle_time_s(item, each, depths.get(each.spec.id, 0)) for each in eligible
        )
        return now + item.least_s > item.deadline

    def _has_become_hopeless(self, item: WaitingRequest, now: float) -> bool:
        """Check the cached minimum first, and recompute it with current speeds only if it fails."""
        if now + item.least_s <= item.deadline:
            return False
        return self._is_hopeless(item, now)

    def _last_of_lowest_tier(self, item: WaitingRequest) -> WaitingRequest:
        """Return the last request of the lowest tier among those that share upstreams with one."""
        sharing = (
            each
            for each in self._pool.waiting.values()
            if (each.route, item.route) in self._pool.overlaps
        )
        return max(sharing, key=lambda each: (each.rank, each.deadline, each.order))

    def _build_refusal(
        self, item: WaitingRequest, reason: Reason, retry_after_s: float | None
    ) -> AddressedAction:
        key = (reason, item.rank)
        self._counters.shed[key] = self._counters.shed.get(key, 0) + 1
        name = self._pool.spec.name
        shed = Shed(item.request, item.attempt, name, reason, retry_after_s)
        mostly_free = self._pool.is_mostly_free()
        return AddressedAction(
            item.entry,
            shed,
            pool_mostly_free=mostly_free,
            refused_again=item.is_promised_retry,
        )


def _open_times(upstreams: list[Upstream], now: float) -> list[tuple[Declines, float]]:
    return [(each.declines, each.limit_opens_at(now)) for each in upstreams]


def _should_refuse_closed(closure: Closure, item: WaitingRequest, now: float) -> bool:
    """Return whether to refuse a request immediately instead of holding it for closed upstreams.

    A request is held if it can start within its goal, or if it can still be served and the caller
    cannot wait for so long a Retry-After.
    """
    if closure.refused:
        return True
    if closure.until <= item.due:
        return False
    comes_back = closure.until - now <= item.max_retry_after_s
    return comes_back or closure.until + item.least_s > item.deadline
