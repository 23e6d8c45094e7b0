"""
chalkyoke.scheduling.shortlist

Select the upstreams of a large pool that are compared for one request. Predicting every upstream
would make a decision too slow; a cached prediction for a typical request is accurate enough to
exclude most of them.
"""

import heapq
from collections.abc import Collection, Iterable

from chalkyoke.scheduling.features import Features
from chalkyoke.scheduling.fit import by_fit
from chalkyoke.scheduling.state import Upstream

# Number of upstreams up to which all are compared.
MAX_COMPARED = 32
# In a larger pool, the number of compared upstreams with a free slot, of busy ones with the
# earliest free slot, and of those with the longest cached prefix of the prompt.
MAX_FREE_COMPARED = 16
MAX_BUSY_COMPARED = 8
MAX_CACHED_COMPARED = 8
# Number of compared upstreams with a free slot outside the failure domain of the entry host, in
# addition to those at home. They are used only where none at home meets the goal.
MAX_AWAY_COMPARED = 8


# Cache key: route, failure domain, and the entry process if some upstream asks it for rest, else an
# empty string.
_SenderKey = tuple[str, str, str]


class Openings:
    """Cache the availability of upstreams for all requests that one decision examines.

    With a long queue, one decision examines many requests and grants one or none.

    :param eligible: upstreams by route.
    :param now: seconds on the scheduler's clock.
    :param features: with ``local_domain`` and ``best_fit``, the upstreams that these prefer are
        among those compared.
    """

    def __init__(
        self,
        eligible: dict[str, list[Upstream]],
        now: float,
        features: Features | None = None,
    ) -> None:
        self._eligible = eligible
        self._now = now
        self._features = features or Features()
        self._finish_key = self._factored_s if self._features.time_factors else Upstream.typical_s
        self._usable: dict[_SenderKey, list[Upstream]] = {}
        self._best: dict[_SenderKey, list[Upstream]] = {}
        self._free: dict[_SenderKey, int] = {}
        self._resting: dict[str, frozenset[str]] = {}

    def usable_upstreams(self, route: str, domain: str, entry: str = "") -> list[Upstream]:
        """List the upstreams of a route that an entry process may use.

        :param domain: failure domain of the entry process.
        :param entry: id of the entry process; empty for one that no upstream asked for rest.
        :rtype: list[Upstream]
        """
        key = self._sender_key(route, domain, entry)
        if key not in self._usable:
            self._usable[key] = [
                each
                for each in self._eligible[route]
                if each.is_usable(domain, self._now)
                and each.declines.rests_until(entry) <= self._now
            ]
        return self._usable[key]

    def free_slots(self, route: str, domain: str, entry: str = "") -> int:
        """Count the free slots of the usable upstreams.

        :rtype: int
        """
        key = self._sender_key(route, domain, entry)
        if key not in self._free:
            self._free[key] = sum(
                max(0, each.max_grants(self._now) - each.occupied(self._now))
                for each in self.usable_upstreams(route, domain, entry)
            )
        return self._free[key]

    def candidates(
        self,
        route: str,
        domain: str,
        depths: dict[str, int],
        entry: str = "",
        tried: Collection[str] = (),
    ) -> list[Upstream]:
        """List the upstreams that are compared for one request.

        :param depths: cached leading blocks of the prompt, by upstream.
        :param tried: upstreams that the request was already sent to; they are left out unless no
            other remains.
        :rtype: list[Upstream]
        """
        found = self._shortlist(self._sender_key(route, domain, entry), depths)
        if not tried:
            return found
        return [each for each in found if each.spec.id not in tried] or found

    def _sender_key(self, route: str, domain: str, entry: str) -> "_SenderKey":
        """Build a cache key, with the entry process only if an upstream asks it for rest."""
        if not entry:
            return route, domain, ""
        if route not in self._resting:
            resting = (each.declines.resting(self._now) for each in self._eligible[route])
            self._resting[route] = frozenset().union(*resting)
        return route, domain, entry if entry in self._resting[route] else ""

    def _shortlist(self, key: "_SenderKey", depths: dict[str, int]) -> list[Upstream]:
        usable = self.usable_upstreams(*key)
        if len(usable) <= MAX_COMPARED:
            return usable
        if key not in self._best:
            self._best[key] = self._best_upstreams(usable, key[1])
        with_prefix = [each for each in usable if each.spec.id in depths] if depths else []
        most = heapq.nlargest(
            MAX_CACHED_COMPARED, with_prefix, key=lambda each: depths[each.spec.id]
        )
        return list(dict.fromkeys([*self._best[key], *most]))

    def invalidate_slots(self) -> None:
        """Clear cached free slots and candidates; call after a grant."""
        self._best.clear()
        self._free.clear()

    def _best_upstreams(self, usable: list[Upstream], domain: str) -> list[Upstream]:
        """Select the upstreams with the best free slots and those that become free soonest."""
        free = [each for each in usable if each.has_slot(self._now)]
        busy = [each for each in usable if not each.has_slot(self._now)]
        if self._features.local_domain:
            home = [each for each in free if each.spec.failure_domain == domain]
            away = [each for each in free if each.spec.failure_domain != domain]
            best = self._best_free(home, MAX_FREE_COMPARED)
            best += self._best_free(away, MAX_AWAY_COMPARED)
        else:
            best = self._best_free(free, MAX_FREE_COMPARED)
        return best + heapq.nsmallest(MAX_BUSY_COMPARED, busy, key=_next_finish)

    def _best_free(self, free: list[Upstream], count: int) -> list[Upstream]:
        """Select the upstreams that would serve a typical request soonest.

        With the best fit, half of them are those that fit first; the others are fast enough for
        the requests that these could not finish in time.
        """
        if not self._features.best_fit:
            return heapq.nsmallest(count, free, key=self._finish_key)
        fitting = heapq.nsmallest(count // 2, free, key=lambda each: by_fit(each, self._now))
        fitting_ids = {each.spec.id for each in fitting}
        others = [each for each in free if each.spec.id not in fitting_ids]
        return fitting + heapq.nsmallest(count - count // 2, others, key=self._finish_key)

    def _factored_s(self, upstream: Upstream) -> float:
        return upstream.time_factor.lengthen(upstream.typical_s(), self._now)


def fastest_upstreams(upstreams: Iterable[Upstream]) -> list[Upstream]:
    """Select the upstreams that would serve a typical request soonest if they were idle."""
    return heapq.nsmallest(MAX_BUSY_COMPARED, upstreams, key=Upstream.idle_s)


def _next_finish(upstream: Upstream) -> float:
    ends = upstream.expected_finishes()
    return ends[0] if ends else 0.0
