"""
chalkyoke.scheduling.shortlist

Which upstreams of a large pool are looked at closely for one request. A decision that predicts for
all of them would take too long; what most of them would do is told apart well enough by a figure
that is kept until something changes there.
"""

import heapq
from collections.abc import Collection, Iterable

from chalkyoke.scheduling.state import Upstream

# Up to so many upstreams all are compared, in number.
MAX_COMPARED = 32
# Of more: so many with a free slot, so many whose next slot gets free soonest, and so many that
# keep the most of the prompt.
MAX_FREE_COMPARED = 16
MAX_BUSY_COMPARED = 8
MAX_CACHED_COMPARED = 8


# Route, failure domain, and the entry process where some upstream wants nothing of it.
_Sender = tuple[str, str, str]


class Openings:
    """What the upstreams have free at one moment, worked out once for all requests looked at then.

    While much waits, one decision looks at many requests and grants one or none.

    :param eligible: upstreams by route.
    :param now: seconds on the scheduler's clock.
    """

    def __init__(self, eligible: dict[str, list[Upstream]], now: float) -> None:
        self._eligible = eligible
        self._now = now
        self._usable: dict[_Sender, list[Upstream]] = {}
        self._best: dict[_Sender, list[Upstream]] = {}
        self._free: dict[_Sender, int] = {}
        self._resting: dict[str, frozenset[str]] = {}

    def usable_upstreams(self, route: str, domain: str, entry: str = "") -> list[Upstream]:
        """List the upstreams of a route that an entry process may be sent to.

        :param domain: failure domain of the entry process.
        :param entry: the entry process; empty for one that no upstream asked for rest.
        :rtype: list[Upstream]
        """
        key = self._sender(route, domain, entry)
        if key not in self._usable:
            self._usable[key] = [
                each
                for each in self._eligible[route]
                if each.is_usable(domain, self._now)
                and each.declines.rests_until(entry) <= self._now
            ]
        return self._usable[key]

    def free_slots(self, route: str, domain: str, entry: str = "") -> int:
        """Count the free slots of the upstreams that are usable.

        :rtype: int
        """
        key = self._sender(route, domain, entry)
        if key not in self._free:
            self._free[key] = sum(
                max(0, each.spec.slots - each.occupied(self._now))
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

        :param depths: cached leading blocks of its prompt, by upstream.
        :param tried: upstreams that it was sent to already; they are compared where all were.
        :rtype: list[Upstream]
        """
        found = self._shortest(self._sender(route, domain, entry), depths)
        if not tried:
            return found
        return [each for each in found if each.spec.id not in tried] or found

    def _sender(self, route: str, domain: str, entry: str) -> "_Sender":
        """Tell apart only those entry processes that some upstream wants nothing of."""
        if not entry:
            return route, domain, ""
        if route not in self._resting:
            resting = (each.declines.resting(self._now) for each in self._eligible[route])
            self._resting[route] = frozenset().union(*resting)
        return route, domain, entry if entry in self._resting[route] else ""

    def _shortest(self, key: "_Sender", depths: dict[str, int]) -> list[Upstream]:
        usable = self.usable_upstreams(*key)
        if len(usable) <= MAX_COMPARED:
            return usable
        if key not in self._best:
            self._best[key] = self._likely(usable)
        keeping = [each for each in usable if each.spec.id in depths] if depths else []
        most = heapq.nlargest(MAX_CACHED_COMPARED, keeping, key=lambda each: depths[each.spec.id])
        return list(dict.fromkeys([*self._best[key], *most]))

    def invalidate_slots(self) -> None:
        """Forget what was free, after a grant."""
        self._best.clear()
        self._free.clear()

    def _likely(self, usable: list[Upstream]) -> list[Upstream]:
        """Choose those that would serve a request of a usual size soonest."""
        free = [each for each in usable if each.has_slot(self._now)]
        busy = [each for each in usable if not each.has_slot(self._now)]
        soonest = heapq.nsmallest(MAX_FREE_COMPARED, free, key=Upstream.typical_s)
        return soonest + heapq.nsmallest(MAX_BUSY_COMPARED, busy, key=_next_end)


def fastest_upstreams(upstreams: Iterable[Upstream]) -> list[Upstream]:
    """Choose those that would serve a request soonest if they were idle."""
    return heapq.nsmallest(MAX_BUSY_COMPARED, upstreams, key=Upstream.idle_s)


def _next_end(upstream: Upstream) -> float:
    ends = upstream.expected_finishes()
    return ends[0] if ends else 0.0
