"""
chalkyoke.scheduling.fairshare

Compute max-min fair shares of a tier's work rate over its teams, and the rate that the pool has
left for each tier. Work is measured in seconds on an average upstream.
"""

import bisect
import heapq
import itertools
import math
from collections.abc import Iterable

import msgspec

# Averaging windows of arriving work, in seconds. The short one follows a burst within a second, the
# long one spans several bursts: they are reported to last for some seconds.
SHORT_WINDOW_S = 1.5
LONG_WINDOW_S = 10.0
# Time in which a burst is expected to subside, in seconds. With a larger value, refused requests
# are told to return later; with a smaller value, some return during the same burst.
BURST_DECAY_S = 3.0
# Averaging window of the work done per slot, in seconds: some hundred requests of a busy pool.
YIELD_WINDOW_S = 5.0
# Initial work per second of a slot in use, and the slot time in seconds for which it counts: a
# request takes longer than on an idle upstream, as slots share the upstream.
INITIAL_YIELD = 0.6
INITIAL_YIELD_WEIGHT_S = 20.0
# Upper bound of the work per second of a slot: the fastest engines in use are 1.7 times faster than
# the average. The slot time of requests adopted from a previous scheduler is not known.
MAX_YIELD = 2.0
# Lower bound of a tier's rate as a share of the pool's, so that predicted waits stay finite.
MIN_RATE_SHARE = 0.01
# How long computed shares are used, in seconds: a sixth of the short window.
SHARES_VALID_S = 0.25
# Length and number of the intervals for which the work of a tier is predicted, in seconds: up to a
# third of the longest deadlines in use. Predictions are used for a twentieth of a second.
INTERVAL_S = 0.25
INTERVALS = 32
OUTLOOK_VALID_S = 0.05
# Work rate below which a team counts as idle, as a share of the tier's rate.
IDLE_SHARE = 1e-4


class DecayingRate:
    """Average the rate of some amount over an exponential window.

    The average is corrected for the time before the window was filled.

    :param window_s: the window in seconds.
    :param now: seconds on the scheduler's clock.
    """

    __slots__ = ("_at", "_since", "_sum", "_window_s")

    def __init__(self, window_s: float, now: float) -> None:
        self._window_s = window_s
        self._since = now
        self._at = now
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at a time in seconds."""
        self._sum = self._sum * math.exp((self._at - now) / self._window_s) + amount
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the average rate per second.

        :rtype: float
        """
        kept = self._sum * math.exp((self._at - now) / self._window_s)
        seen_s = max(SHARES_VALID_S, now - self._since)
        return kept / (self._window_s * -math.expm1(-seen_s / self._window_s))


class TeamDemand(msgspec.Struct, frozen=True):
    """The work that a team wants done.

    :param per_s: work in seconds per second.
    """

    team: str
    weight: float
    per_s: float


def water_level(rate_per_s: float, demands: Iterable[TeamDemand]) -> float:
    """Compute the max-min fair rate per unit of weight (water-filling).

    Each team gets the lower one of its demand and its weight times the level. Source: Bertsekas and
    Gallager, "Data Networks", 1992, section 6.5.2.

    :param rate_per_s: work that can be done, in seconds per second.
    :return: work in seconds per second and unit of weight; infinite where all demand can be met.
    """
    heap = [(each.per_s / each.weight, each.weight, each.team) for each in demands]
    heapq.heapify(heap)
    weight = sum(each[1] for each in heap)
    left = rate_per_s
    while heap:
        wanted, own, _ = heap[0]
        if wanted * weight > left:
            return left / weight
        heapq.heappop(heap)
        left -= wanted * own
        weight -= own
    return math.inf


class TierShares:
    """The demand and the fair shares of the teams of one tier.

    :param now: seconds on the scheduler's clock.
    """

    def __init__(self, now: float) -> None:
        self._short = DecayingRate(SHORT_WINDOW_S, now)
        self._long = DecayingRate(LONG_WINDOW_S, now)
        self._teams: dict[str, DecayingRate] = {}
        self._weights: dict[str, float] = {}
        self._level = math.inf
        self._valid_until = now
        self.limited: frozenset[str] = frozenset()

    def record_arrival(self, team: str, weight: float, work: float, now: float) -> None:
        """Add the work of a request, in seconds, to its team's demand."""
        self._short.add(work, now)
        self._long.add(work, now)
        if team not in self._teams:
            self._teams[team] = DecayingRate(SHORT_WINDOW_S, now - SHORT_WINDOW_S)
        self._teams[team].add(work, now)
        self._weights[team] = weight

    def demand_per_s(self, now: float, ahead_s: float = 0.0) -> float:
        """Predict the tier's demand some seconds ahead; a burst subsides to the long average.

        :return: work in seconds per second.
        """
        long = self._long.per_s(now)
        return long + (self._short.per_s(now) - long) * math.exp(-ahead_s / BURST_DECAY_S)

    def refresh(self, rate_per_s: float, now: float) -> None:
        """Recompute the shares if they are outdated.

        :param rate_per_s: work of the tier that the pool can do.
        """
        if now < self._valid_until:
            return
        self._valid_until = now + SHARES_VALID_S
        rates = {team: each.per_s(now) for team, each in self._teams.items()}
        idle = [team for team, rate in rates.items() if rate < IDLE_SHARE * rate_per_s]
        for team in idle:
            del self._teams[team], rates[team]
        demands = [TeamDemand(team, self._weights[team], rate) for team, rate in rates.items()]
        self._level = water_level(rate_per_s, demands)
        self.limited = frozenset(
            each.team for each in demands if each.per_s > each.weight * self._level
        )

    def team_rate_per_s(self, weight: float, rate_per_s: float) -> float:
        """Return the rate that a team of some weight can use, of a tier's rate.

        :param rate_per_s: work of the tier that the pool can do.
        :return: work in seconds per second.
        """
        return min(rate_per_s, weight * self._level)

    def fair_share_per_s(self, team: str, now: float) -> float:
        """Return the fair share of a team: at most its demand.

        :return: work in seconds per second.
        """
        demand = self._teams.get(team)
        if demand is None:
            return 0.0
        return min(demand.per_s(now), self._weights[team] * self._level)

    @property
    def teams(self) -> list[str]:
        """The teams with recent demand."""
        return list(self._teams)


class PoolRates:
    """The work that a pool does per second, and the part of it that each tier can use.

    :param now: seconds on the scheduler's clock.
    """

    def __init__(self, now: float) -> None:
        self.tiers: dict[int, TierShares] = {}
        self._slots = 0
        self._outlooks: dict[int, tuple[float, list[float]]] = {}
        self._done = DecayingRate(YIELD_WINDOW_S, now - YIELD_WINDOW_S)
        self._busy = DecayingRate(YIELD_WINDOW_S, now - YIELD_WINDOW_S)
        self._done.add(INITIAL_YIELD * INITIAL_YIELD_WEIGHT_S, now)
        self._busy.add(INITIAL_YIELD_WEIGHT_S, now)

    def set_slots(self, slots: int) -> None:
        """Set the number of slots of the upstreams that accept requests."""
        self._slots = slots

    def record_end(self, work: float, busy_s: float, now: float) -> None:
        """Learn from a request that has ended.

        :param work: its expected work in seconds, as counted at its arrival.
        :param busy_s: how long it held its slot, in seconds.
        """
        self._done.add(work, now)
        self._busy.add(max(busy_s, work / MAX_YIELD), now)

    def tier(self, rank: int, now: float) -> TierShares:
        """Return the shares of a tier; create them at first use."""
        found = self.tiers.get(rank)
        if found is None:
            found = self.tiers[rank] = TierShares(now)
        return found

    def pool_per_s(self, now: float) -> float:
        """Return the work that all slots do per second, in seconds.

        :rtype: float
        """
        busy = self._busy.per_s(now)
        work_per_slot = self._done.per_s(now) / busy if busy > 0 else INITIAL_YIELD
        return self._slots * work_per_slot

    def tier_per_s(self, rank: int, now: float, ahead_s: float = 0.0) -> float:
        """Predict the work per second that higher tiers leave to a tier some seconds ahead.

        :return: work in seconds per second; positive.
        """
        whole = self.pool_per_s(now)
        higher = sum(
            each.demand_per_s(now, ahead_s) for other, each in self.tiers.items() if other < rank
        )
        return max(MIN_RATE_SHARE * whole, whole - higher, 1e-6)

    def outlook(self, rank: int, now: float) -> list[float]:
        """Predict the work that a tier can get done up to the end of each coming interval.

        :return: work in seconds, for intervals of :data:`INTERVAL_S` from now on.
        """
        until, found = self._outlooks.get(rank, (now, []))
        if now < until:
            return found
        rates = (self.tier_per_s(rank, now, each * INTERVAL_S) for each in range(INTERVALS))
        found = list(itertools.accumulate(INTERVAL_S * rate for rate in rates))
        self._outlooks[rank] = (now + OUTLOOK_VALID_S, found)
        return found

    def drain_s(self, rank: int, work: float, now: float) -> float:
        """Predict how long a tier needs to get some work done.

        :param work: seconds on an average upstream.
        :return: seconds.
        """
        outlook = self.outlook(rank, now)
        index = bisect.bisect_left(outlook, work)
        if index == len(outlook):
            last = (outlook[-1] - outlook[-2]) / INTERVAL_S
            return INTERVALS * INTERVAL_S + (work - outlook[-1]) / last
        before = outlook[index - 1] if index else 0.0
        return INTERVAL_S * (index + (work - before) / (outlook[index] - before))
