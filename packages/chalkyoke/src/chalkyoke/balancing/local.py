"""
chalkyoke.balancing.local

Choose a replica by this node's own statistics: load per slot, latency, failures, reachability.
"""

import math
from collections.abc import Callable, Collection, Iterable

from chalkyoke.balancing.state import ReplicaStats
from chalkyoke.catalog.resources import Replica
from chalkyoke.scheduling.features import Features

# Cost of a recent failure, in requests per slot.
FAILURE_WEIGHT = 1.5
# Cost of a replica that an observer announced as a suspect, in requests per slot.
SUSPECT_COST = 1.5
# Share of repeatable requests that ignore suspicions: they probe whether a suspect answers again,
# at the cost of a second send.
SUSPECT_PROBE_SHARE = 0.1
# Validity of a suspicion without a repeated broadcast, in seconds: two broadcast intervals.
SUSPICION_VALID_S = 4.0
# Cost of a replica in another failure domain, in requests per slot: such traffic is charged.
OTHER_DOMAIN_COST = 0.05
# Cost of such a replica with the feature ``local_domain`` while a replica at home is expected to
# answer in time, in requests per slot: above any load, below that of an unreachable replica.
LEAVING_HOME_COST = 100.0
# Share of the time to the goal within which a replica at home must be expected to answer: answers
# vary by half of their mean.
HOME_GOAL_SHARE = 0.6
# Weighted number of recent failures from which a replica is no reason to stay at home.
MAX_HOME_FAILURES = 0.5
# Cost of an unreachable replica, in requests per slot: it ranks after all reachable replicas.
UNREACHABLE_COST = 1_000.0
# Cost of a replica that the caller asks to avoid, in requests per slot: it ranks after all others.
AVOIDED_COST = 10_000.0
# Latencies below this value are treated as equal, in seconds.
LATENCY_FLOOR_S = 0.005
# Longest time between a replica's new start and the news of it, in seconds.
MAX_RESTART_NEWS_S = 3.0


class LocalBalancer:
    """Choose replicas for this node.

    :param failure_domain: of this node.
    :param random: source of numbers in [0, 1), to spread equal choices.
    :param features: with ``local_domain``, requests stay in this node's failure domain while their
        goal can be met there; with ``time_factors``, reported time factors count.
    """

    def __init__(
        self,
        failure_domain: str,
        random: Callable[[], float],
        features: Features | None = None,
    ) -> None:
        self._features = features or Features()
        self._domain = failure_domain
        self._random = random
        self._stats: dict[str, ReplicaStats] = {}
        self._suspects: dict[str, tuple[frozenset[str], float]] = {}

    def stats(self, replica: str) -> ReplicaStats:
        """Return the statistics of a replica; create them at first use.

        :rtype: ReplicaStats
        """
        found = self._stats.get(replica)
        if found is None:
            found = self._stats[replica] = ReplicaStats()
        return found

    def choose(
        self,
        replicas: Iterable[Replica],
        now: float,
        *,
        avoid: Collection[str] = (),
        repeatable: bool = False,
        max_outstanding: Callable[[Replica], int] | None = None,
        goal_s: float = math.inf,
    ) -> Replica | None:
        """Choose the replica with the lowest cost.

        Replicas that seem bad rank last but are never excluded, so that suspicions cannot leave a
        service without replicas. No bad replica is chosen while a good one has reached its bound:
        the request waits for the good one.

        :param avoid: replicas that were already tried.
        :param repeatable: whether a failure costs no more than another send.
        :param max_outstanding: bound of this node's requests at a replica; no bound by default.
        :param goal_s: time until the answer is due, in seconds.
        :return: the replica; None where the request should not be sent now.
        """
        trusts_all = repeatable and self._random() < SUSPECT_PROBE_SHARE
        best: tuple[float, Replica] | None = None
        good_is_full = False
        replicas = list(replicas)
        away_cost = self._away_cost(replicas, avoid, max_outstanding, goal_s, now)
        for replica in replicas:
            stats = self.stats(replica.id)
            if stats.rest_left_s(now) > 0 or stats.limited_until > now:
                continue
            if max_outstanding is not None and stats.outstanding >= max_outstanding(replica):
                is_good = now >= stats.unreachable_until and replica.id not in avoid
                good_is_full = good_is_full or is_good
                continue
            cost = self._cost(replica, stats, now)
            if replica.failure_domain != self._domain:
                cost += away_cost
            if not trusts_all and self._is_suspect(replica, now):
                cost += SUSPECT_COST
            if replica.id in avoid:
                cost += AVOIDED_COST
            if best is None or cost < best[0]:
                best = (cost, replica)
        if best is None or (good_is_full and best[0] >= UNREACHABLE_COST):
            return None
        return best[1]

    def record_rest(self, replica: str, seconds: float, now: float) -> tuple[bool, float]:
        """Record that a replica asks this node to send nothing for some seconds.

        :return: whether no earlier rest was in effect, and the remaining time in seconds.
        """
        stats = self.stats(replica)
        is_new = stats.rest_left_s(now) <= 0
        return is_new, stats.record_rest(seconds, now)

    def replace_start(self, ended: str, later: str, now: float) -> None:
        """Record that a replica has started again, which this node hears some time afterwards.

        A rest that was asked for in that time may be the later start's.

        :param ended: id of the earlier start.
        :param later: id of the later start.
        """
        earlier = self.stats(ended)
        if now - earlier.rest_asked_at <= MAX_RESTART_NEWS_S:
            stats = self.stats(later)
            stats.resting_until = max(stats.resting_until, earlier.resting_until)

    def rest_left_s(self, replicas: Iterable[Replica], now: float) -> float:
        """Return the remaining time, in seconds, in which all replicas ask this node for rest.

        :return: 0 where a replica accepts requests, or there is none.
        """
        left = (self.stats(each.id).rest_left_s(now) for each in replicas)
        return min(left, default=0.0)

    def record_limited(self, replica: str, seconds: float, now: float) -> None:
        """Record that a replica's announced limit allows no request for some seconds."""
        self.stats(replica).limited_until = now + seconds

    def clear_limits(self) -> None:
        """Clear the recorded limits after a change: replicas may accept more, or have no limit."""
        for stats in self._stats.values():
            stats.limited_until = 0.0

    def first_limit_to_open(self, replicas: Iterable[Replica], now: float) -> Replica | None:
        """Find the replica whose limit allows a request first, if limits block all replicas.

        Replicas that asked for rest are left out.

        :return: the replica; None where one is not limited or all are at rest.
        """
        awake = [each for each in replicas if self.stats(each.id).rest_left_s(now) <= 0]
        if any(self.stats(each.id).limited_until <= now for each in awake):
            return None
        return min(awake, key=lambda each: self.stats(each.id).limited_until, default=None)

    def are_all_unreachable(
        self, replicas: Iterable[Replica], now: float, *, tried: Collection[str]
    ) -> bool:
        """Return whether a request has tried all replicas and all are in connection backoff.

        Another immediate attempt would only wait for one more time-out.

        :param tried: replicas that the request has tried.
        """
        return all(
            each.id in tried and now < self.stats(each.id).unreachable_until for each in replicas
        )

    def set_suspects(self, service: str, replicas: Iterable[str], now: float) -> bool:
        """Replace the suspects of a service with those that its observer announced.

        :param replicas: all suspects of the service.
        :return: whether the suspects have changed.
        """
        before, _ = self._suspects.get(service, (frozenset(), 0.0))
        after = frozenset(replicas)
        self._suspects[service] = (after, now + SUSPICION_VALID_S)
        return before != after

    def _is_suspect(self, replica: Replica, now: float) -> bool:
        suspects, until = self._suspects.get(replica.service, (frozenset(), 0.0))
        return now < until and replica.id in suspects

    def prune(self, kept: Collection[str], now: float) -> None:
        """Delete the statistics of removed replicas.

        Those with requests in flight or a rest are kept, since a lapsed record may reappear.
        """
        for name in [each for each in self._stats if each not in kept]:
            stats = self._stats[name]
            if stats.outstanding == 0 and stats.rest_left_s(now) <= 0:
                del self._stats[name]

    def _away_cost(
        self,
        replicas: list[Replica],
        avoid: Collection[str],
        max_outstanding: Callable[[Replica], int] | None,
        goal_s: float,
        now: float,
    ) -> float:
        """Return the cost of leaving this node's failure domain, in requests per slot."""
        if not self._features.local_domain:
            return OTHER_DOMAIN_COST
        for replica in replicas:
            if replica.failure_domain != self._domain or replica.id in avoid:
                continue
            stats = self.stats(replica.id)
            if max_outstanding is not None and stats.outstanding >= max_outstanding(replica):
                continue
            if self._is_healthy(replica, stats, now) and (
                self._expected_answer_s(replica, stats, now) <= HOME_GOAL_SHARE * goal_s
            ):
                return LEAVING_HOME_COST
        return 0.0

    def _is_healthy(self, replica: Replica, stats: ReplicaStats, now: float) -> bool:
        if stats.rest_left_s(now) > 0 or stats.limited_until > now:
            return False
        if now < stats.unreachable_until or self._is_suspect(replica, now):
            return False
        return stats.recent_failures(now) < MAX_HOME_FAILURES

    def _expected_answer_s(self, replica: Replica, stats: ReplicaStats, now: float) -> float:
        """Predict the time until what the goal asks for from latency and load, in seconds.

        Requests beyond the slots wait for the ends of those before them. The latencies contain the
        mean time factor, so that only the deviation from it counts.
        """
        rounds = (stats.load(now) + 1.0) / max(1, replica.slots)
        wait_s = stats.latency_s * max(0.0, rounds - 1.0)
        deviation = self._time_factor(stats, now) / self._mean_time_factor(stats)
        return (stats.due_latency_s + wait_s) * deviation

    def _time_factor(self, stats: ReplicaStats, now: float) -> float:
        return stats.time_factor.current(now) if self._features.time_factors else 1.0

    def _mean_time_factor(self, stats: ReplicaStats) -> float:
        return stats.time_factor.mean if self._features.time_factors else 1.0

    def _cost(self, replica: Replica, stats: ReplicaStats, now: float) -> float:
        load = (stats.load(now) + 1.0) / max(1, replica.slots)
        speed = max(LATENCY_FLOOR_S, stats.recent_latency_s(now))
        cost = load * (1.0 + speed * 4.0) * self._time_factor(stats, now)
        cost += FAILURE_WEIGHT * stats.recent_failures(now)
        if now < stats.unreachable_until:
            cost += UNREACHABLE_COST
        return cost + 0.02 * self._random()
