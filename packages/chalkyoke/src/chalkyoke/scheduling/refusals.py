"""
chalkyoke.scheduling.refusals

Giving up before a request ran: hopeless, expired, without an upstream, or shed. Each answer goes
out at once, and shedding goes strictly from the lowest tier up.
"""

from collections.abc import Callable

import msgspec

from chalkyoke.invariants import require
from chalkyoke.outcomes import Reason
from chalkyoke.scheduling.declines import Closure, Declines, find_closure
from chalkyoke.scheduling.forecast import SlotForecast, find_late, may_shed
from chalkyoke.scheduling.headroom import Headroom
from chalkyoke.scheduling.messages import Action, Shed
from chalkyoke.scheduling.placement import Features, idle_time_s
from chalkyoke.scheduling.pool import PoolState
from chalkyoke.scheduling.shortlist import MAX_COMPARED
from chalkyoke.scheduling.state import Upstream, WaitingRequest

# How often the queue is played forward, in seconds, and how much less often for each request that
# waits: a long queue must not take the whole processor.
FORECAST_INTERVAL_S = 0.05
FORECAST_S_PER_WAITING = 0.0005
# Requests that wait at most, which bounds memory; far beyond what is served within a deadline.
MAX_WAITING_REQUESTS = 5000
# Bounds on when a caller is told to come back, in seconds.
MIN_RETRY_S = 0.5
MAX_RETRY_S = 60.0
# The same where a route has no upstream: one that starts takes seconds.
NO_UPSTREAM_RETRY_S = 5.0
# Over how long the callers are spread that come back when an upstream may take work again, in
# seconds: a few goals, so that they are not the next burst.
REOPENING_SPREAD_S = 0.5
# Others that have to wait before a request is refused at arrival.
MIN_REQUESTS_AHEAD = 1
# The soonest that a caller refused at arrival comes back, in seconds, and in waits of the queue.
MIN_EARLY_RETRY_S = 0.4
EARLY_RETRY_WAITS = 1.5
# How long one that was told to come back goes before what is new, beyond that time, in seconds.
RETRY_PRIORITY_S = 1.5
# How far beyond its goal a wait is borne, as a part of the time left then.
GOAL_OVERRUN_SHARE = 0.5


class Counters(msgspec.Struct):
    """What the scheduler did, for metrics.

    :param shed: refusals by (reason, rank).
    """

    granted: int = 0
    held: int = 0
    shed: dict[tuple[Reason, int], int] = msgspec.field(default_factory=dict)


class AddressedAction(msgspec.Struct):
    """One action and the entry process that it goes to.

    :param beside_free: whether the pool was mostly free when a request was refused.
    """

    entry: str
    action: Action
    pool_mostly_free: bool = False


class Refuser:
    """Decide what is given up, and word it.

    :param pool: the book-keeping.
    :param headroom: tells how fast tiers get slots.
    :param random: source of numbers in [0, 1), to spread the callers that come back.
    """

    def __init__(
        self,
        pool: PoolState,
        counters: Counters,
        features: Features,
        headroom: Headroom,
        random: Callable[[], float],
        now: float,
    ) -> None:
        self._pool = pool
        self._counters = counters
        self._features = features
        self._headroom = headroom
        self._random = random
        self._next_forecast = now
        self._promised: dict[int, float] = {}

    def check_arrival(
        self, item: WaitingRequest, now: float, *, settled: bool
    ) -> AddressedAction | None:
        """Refuse a request that could not be done, whatever else waits.

        :param settled: whether grants are given: until they are, what waits says nothing of how
            long a wait will be, and a new scheduler refused all but the first before a free pool.
        :rtype: Out or None
        """
        eligible = self._open(item.route)
        if not eligible:
            return self._word(item, Reason.NO_UPSTREAM, NO_UPSTREAM_RETRY_S)
        if item.deadline <= now:
            return self._word(item, Reason.EXPIRED, None)
        closed = find_closure(_openings(eligible, now), item.entry, item.domain, now)
        if closed is not None and _outlasts(closed, item, now):
            return self._word(item, Reason.NO_UPSTREAM, self._after(closed, now))
        if self._features.shed and self._is_hopeless(item, now):
            return self._word(item, Reason.HOPELESS, None)
        if not self._features.early or not item.has_goal:
            return None
        item.is_promised_retry = self._promised.pop(item.fingerprint, 0.0) > now
        return None if item.is_promised_retry or not settled else self._too_late(item, now)

    def _too_late(self, item: WaitingRequest, now: float) -> AddressedAction | None:
        """Refuse at once what would wait beyond its goal, so that its caller can come back."""
        if self._pool.has_lower_tier_waiting(item):
            return None
        if not item.is_long and self._pool.has_free_slot(now):
            return None
        ahead = sum(
            count for (rank, _), count in self._pool.waiting_counts.items() if rank == item.rank
        )
        if ahead < MIN_REQUESTS_AHEAD:
            return None
        promised = self._count_promised(now)
        wait = self._headroom.wait_s(item.rank, ahead, now)
        bearable = item.goal + GOAL_OVERRUN_SHARE * max(0.0, item.deadline - item.goal)
        if now + wait + item.least_s <= bearable:
            return None
        after = self._headroom.wait_s(item.rank, ahead + promised, now)
        retry = self._come_back(item, after)
        if item.fingerprint:
            self._promised[item.fingerprint] = now + retry + RETRY_PRIORITY_S
        return self._word(item, Reason.SHED, retry)

    def _count_promised(self, now: float) -> int:
        """Count the refused callers that have been told to come back and have not yet."""
        for fingerprint, until in list(self._promised.items()):
            if until < now:
                del self._promised[fingerprint]
        return len(self._promised)

    def _come_back(self, item: WaitingRequest, wait_s: float) -> float:
        """Say when to come back: when the queue has gone, while there is time left for it."""
        most = max(MIN_EARLY_RETRY_S, item.max_retry_after_s)
        base = min(most, max(MIN_EARLY_RETRY_S, EARLY_RETRY_WAITS * wait_s))
        return round(base * (0.6 + 0.4 * self._random()), 2)

    def make_room(self, item: WaitingRequest, now: float) -> list[AddressedAction]:
        """Keep the queue bounded: the lowest tier that shares upstreams gives way.

        :rtype: list[Out]
        """
        if len(self._pool.waiting) <= MAX_WAITING_REQUESTS:
            return []
        victim = item
        while (lower := self._lowest_beside(victim)).rank > victim.rank:
            victim = lower
        return [self.shed(victim, Reason.SHED, self.retry_after_s(victim.deadline - now))]

    def refuse_without_upstream(self) -> list[AddressedAction]:
        """Refuse what waits for a route that has no upstream any more.

        :rtype: list[Out]
        """
        closed = {route for _, route in self._pool.waiting_counts if not self._open(route)}
        return [
            self.shed(item, Reason.NO_UPSTREAM, NO_UPSTREAM_RETRY_S)
            for item in list(self._pool.waiting.values())
            if item.route in closed
        ]

    def _closed(self, now: float) -> list[AddressedAction]:
        """Refuse what waits for upstreams that are closed to its entry process for too long."""
        outs: list[AddressedAction] = []
        found: dict[tuple[str, str, str], Closure | None] = {}
        for route in {route for (_, route), count in self._pool.waiting_counts.items() if count}:
            openings = _openings(self._open(route), now)
            if any(each.is_clear(now) and until <= now for each, until in openings):
                continue
            for item in [each for each in self._pool.waiting.values() if each.route == route]:
                key = (route, item.domain, item.entry)
                if key not in found:
                    found[key] = find_closure(openings, item.entry, item.domain, now)
                closed = found[key]
                if closed is not None and _outlasts(closed, item, now):
                    retry = self._after(closed, now)
                    outs.append(self.shed(item, Reason.NO_UPSTREAM, retry))
        return outs

    def _after(self, closed: Closure, now: float) -> float:
        """Say when to come back: when an upstream may take work again, spread over a while."""
        return round(closed.until - now + REOPENING_SPREAD_S * self._random(), 2)

    def refuse_expired(self, now: float) -> list[AddressedAction]:
        """Refuse what has expired, become hopeless or waits where nothing is taken.

        :rtype: list[Out]
        """
        outs = self.refuse_without_upstream() + self._closed(now) if self._features.shed else []
        for item in list(self._pool.waiting.values()):
            if item.deadline <= now:
                outs.append(self.shed(item, Reason.EXPIRED, None))
            elif self._features.shed and self._has_become_hopeless(item, now):
                outs.append(self.shed(item, Reason.HOPELESS, None))
        return outs

    def shed_by_forecast(self, now: float) -> list[AddressedAction]:
        """Shed what would be late, and mark the late ones that have to be kept.

        It runs less often while much waits, to bound its share of the processor.

        :rtype: list[Out]
        """
        if not self._features.shed or now < self._next_forecast or not self._pool.waiting:
            return []
        pause = FORECAST_S_PER_WAITING * len(self._pool.waiting)
        self._next_forecast = now + max(FORECAST_INTERVAL_S, pause)
        return self.shed_late(now)

    def shed_late(self, now: float) -> list[AddressedAction]:
        """Play the queue forward, and shed the late ones from the lowest tier up.

        :rtype: list[Out]
        """
        pool = self._pool
        usable = (each for each in pool.upstreams.values() if each.is_usable("", now))
        ordered = (
            item
            for rank in sorted(pool.queues)
            for item in pool.queues[rank].fair_order(pool.weights)
        )
        late = find_late(ordered, pool.eligible, SlotForecast(usable, now), now)
        outs = [
            self.shed(entry.item, Reason.SHED, self.retry_after_s(entry.late_s))
            for entry in may_shed(late, pool.waiting.values(), pool.overlaps)
        ]
        kept = {entry.item.request for entry in late}
        for item in pool.waiting.values():
            pool.queues[item.rank].set_late(item, item.request in kept)
        return outs

    def shed(
        self, item: WaitingRequest, reason: Reason, retry_after_s: float | None
    ) -> AddressedAction:
        """Give a waiting request up.

        :raises InvariantBroken: when it is shed while a lower tier waits for the same upstreams.
        """
        self._pool.remove_waiting(item)
        if reason is Reason.SHED:
            require(
                not self._pool.has_lower_tier_waiting(item),
                "a higher tier is never shed while a lower one waits for the same upstreams",
                request=item.request,
                rank=item.rank,
            )
        return self._word(item, reason, retry_after_s)

    def retry_after_s(self, late_s: float) -> float:
        """Say when to come back: after the lateness, spread over as long again.

        :return: seconds.
        """
        base = min(MAX_RETRY_S, max(MIN_RETRY_S, late_s))
        return round(base * (1.0 + self._random()), 2)

    def _open(self, route: str) -> list[Upstream]:
        return [each for each in self._pool.eligible.get(route, ()) if not each.leaving]

    def _is_hopeless(self, item: WaitingRequest, now: float) -> bool:
        """Tell whether the deadline could not be met on an idle pool.

        Who comes back with a fraction of its time left would be cut off in the middle, at the cost
        of a prompt that is read in vain.
        """
        depths = self._pool.prefixes.matches(item.blocks)
        eligible = self._open(item.route)
        if len(eligible) > MAX_COMPARED:
            keeping = [each for each in eligible if each.spec.id in depths]
            eligible = [*self._pool.fastest(item.route, now), *keeping]
        item.least_s = min(
            idle_time_s(item, each, depths.get(each.spec.id, 0)) for each in eligible
        )
        return now + item.least_s > item.deadline

    def _has_become_hopeless(self, item: WaitingRequest, now: float) -> bool:
        """Look again, with the speeds known now, once the earlier figure says so."""
        if now + item.least_s <= item.deadline:
            return False
        return self._is_hopeless(item, now)

    def _lowest_beside(self, item: WaitingRequest) -> WaitingRequest:
        """Find the lowest tier's last request among those that share upstreams with one."""
        beside = (
            each
            for each in self._pool.waiting.values()
            if (each.route, item.route) in self._pool.overlaps
        )
        return max(beside, key=lambda each: (each.rank, each.deadline, each.order))

    def _word(
        self, item: WaitingRequest, reason: Reason, retry_after_s: float | None
    ) -> AddressedAction:
        key = (reason, item.rank)
        self._counters.shed[key] = self._counters.shed.get(key, 0) + 1
        name = self._pool.spec.name
        shed = Shed(item.request, item.attempt, name, reason, retry_after_s)
        return AddressedAction(item.entry, shed, pool_mostly_free=self._pool.is_mostly_free())


def _openings(upstreams: list[Upstream], now: float) -> list[tuple[Declines, float]]:
    return [(each.declines, each.limit_opens_at(now)) for each in upstreams]


def _outlasts(closed: Closure, item: WaitingRequest, now: float) -> bool:
    """Tell whether to answer a request at once rather than hold it for closed upstreams.

    What would start within its goal is held, and what would still be served where its caller can't
    be told to stay away for so long.
    """
    if closed.refused:
        return True
    if closed.until <= item.due:
        return False
    comes_back = closed.until - now <= item.max_retry_after_s
    return comes_back or closed.until + item.least_s > item.deadline
