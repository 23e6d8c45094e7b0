"""
chalkyoke.balancing.local

Choose a replica by what this node alone has seen: load per slot, speed, failures, reachability.
"""

from collections.abc import Callable, Collection, Iterable

from chalkyoke.balancing.state import ReplicaStats
from chalkyoke.catalog.resources import Replica

# What a recent failure costs, in requests for each slot.
FAILURE_WEIGHT = 1.5
# What a replica costs that other nodes suspect, in requests for each slot.
SUSPECT_COST = 1.5
# One request in so many that may be repeated goes by no suspicion: it finds out whether the replica
# answers again, at the cost of a second send.
SUSPECT_PROBE_SHARE = 0.1
# How long a suspicion holds without being told again, in seconds: two tellings.
SUSPICION_VALID_S = 4.0
# What another failure domain costs: traffic between domains is paid for.
OTHER_DOMAIN_COST = 0.05
# Costs that put a replica behind all that seem good, and behind those that are only busy.
UNREACHABLE_COST = 1_000.0
EXCLUDED_COST = 10_000.0
# Answers below this count alike, in seconds.
LATENCY_FLOOR_S = 0.005


class LocalBalancer:
    """Choose replicas for this node.

    :param failure_domain: of this node.
    :param random: source of numbers in [0, 1), to spread equal choices.
    """

    def __init__(self, failure_domain: str, random: Callable[[], float]) -> None:
        self._domain = failure_domain
        self._random = random
        self._seen: dict[str, ReplicaStats] = {}
        self._suspects: dict[str, tuple[frozenset[str], float]] = {}

    def stats(self, replica: str) -> ReplicaStats:
        """Give what is known of a replica.

        :rtype: Seen
        """
        found = self._seen.get(replica)
        if found is None:
            found = self._seen[replica] = ReplicaStats()
        return found

    def choose(
        self,
        replicas: Iterable[Replica],
        now: float,
        *,
        avoid: Collection[str] = (),
        repeatable: bool = False,
        max_outstanding: Callable[[Replica], int] | None = None,
    ) -> Replica | None:
        """Choose the replica with the least cost.

        Replicas that seem bad come last and are never shut out: a pool must not go empty by
        suspicion. Only while a better one has its bound in use, it is worth waiting for.

        :param avoid: replicas that were tried already.
        :param repeatable: whether a failure costs no more than another send.
        :param max_outstanding: bound of this node's requests at a replica; none where nothing is
            given.
        :return: nothing where none should be sent to now.
        """
        trusts_all = repeatable and self._random() < SUSPECT_PROBE_SHARE
        best: tuple[float, Replica] | None = None
        good_is_full = False
        for replica in replicas:
            seen = self.stats(replica.id)
            if seen.rest_left_s(now) > 0 or seen.limited_until > now:
                continue
            if max_outstanding is not None and seen.outstanding >= max_outstanding(replica):
                is_good = now >= seen.unreachable_until and replica.id not in avoid
                good_is_full = good_is_full or is_good
                continue
            cost = self._cost(replica, seen, now)
            if not trusts_all and self._is_suspect(replica, now):
                cost += SUSPECT_COST
            if replica.id in avoid:
                cost += EXCLUDED_COST
            if best is None or cost < best[0]:
                best = (cost, replica)
        if best is None or (good_is_full and best[0] >= UNREACHABLE_COST):
            return None
        return best[1]

    def record_rest(self, replica: str, seconds: float, now: float) -> tuple[bool, float]:
        """Learn that a replica wants nothing of this node for some time.

        :return: whether it is the first time to say so, rests that are over aside, and for how long
            it gets nothing, in seconds.
        """
        seen = self.stats(replica)
        is_new = seen.rest_left_s(now) <= 0
        return is_new, seen.record_rest(seconds, now)

    def rest_left_s(self, replicas: Iterable[Replica], now: float) -> float:
        """Tell for how much longer all replicas want nothing of this node, in seconds.

        :return: 0 where one may be sent to.
        """
        left = (self.stats(each.id).rest_left_s(now) for each in replicas)
        return min(left, default=0.0)

    def record_limited(self, replica: str, seconds: float, now: float) -> None:
        """Learn that the limit that a replica names allows no request for some time."""
        self.stats(replica).limited_until = now + seconds

    def clear_limits(self) -> None:
        """Forget what limits allow: a replica may take more now, or whatever comes."""
        for seen in self._seen.values():
            seen.limited_until = 0.0

    def first_limit_to_open(self, replicas: Iterable[Replica], now: float) -> Replica | None:
        """Find the replica whose limit allows a request first, where limits hold up all.

        Those that want rest are left out.
        """
        awake = [each for each in replicas if self.stats(each.id).rest_left_s(now) <= 0]
        if any(self.stats(each.id).limited_until <= now for each in awake):
            return None
        return min(awake, key=lambda each: self.stats(each.id).limited_until, default=None)

    def are_all_unreachable(
        self, replicas: Iterable[Replica], now: float, *, tried: Collection[str]
    ) -> bool:
        """Tell whether a request has tried all replicas and none can be connected to.

        Another try at once would only wait for one more time-out.

        :param tried: replicas that the request has tried.
        """
        return all(
            each.id in tried and now < self.stats(each.id).unreachable_until for each in replicas
        )

    def set_suspects(self, service: str, replicas: Iterable[str], now: float) -> bool:
        """Take the replicas of a service that fail far more than others, as all nodes see it.

        :param replicas: all suspects of the service.
        :return: whether they are others than before.
        """
        before, _ = self._suspects.get(service, (frozenset(), 0.0))
        after = frozenset(replicas)
        self._suspects[service] = (after, now + SUSPICION_VALID_S)
        return before != after

    def _is_suspect(self, replica: Replica, now: float) -> bool:
        suspects, until = self._suspects.get(replica.service, (frozenset(), 0.0))
        return now < until and replica.id in suspects

    def prune(self, kept: Collection[str], now: float) -> None:
        """Drop what is known of replicas that are gone; a record that lapses may come back."""
        for name in [each for each in self._seen if each not in kept]:
            seen = self._seen[name]
            if seen.outstanding == 0 and seen.rest_left_s(now) <= 0:
                del self._seen[name]

    def _cost(self, replica: Replica, seen: ReplicaStats, now: float) -> float:
        load = (seen.load(now) + 1.0) / max(1, replica.slots)
        speed = max(LATENCY_FLOOR_S, seen.latency_s) if seen.latency_s else LATENCY_FLOOR_S
        cost = load * (1.0 + speed * 4.0)
        cost += FAILURE_WEIGHT * seen.recent_failures(now)
        if now < seen.unreachable_until:
            cost += UNREACHABLE_COST
        if replica.failure_domain != self._domain:
            cost += OTHER_DOMAIN_COST
        return cost + 0.02 * self._random()
