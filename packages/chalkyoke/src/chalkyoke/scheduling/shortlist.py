"""
chalkyoke.scheduling.shortlist

Which upstreams of a large pool are looked at closely for one request. A prediction takes some
10 us, so that a decision over 140 of them takes 2 ms; what most of them would do is told apart
well enough by a figure that is kept until something changes there.
"""

import heapq
from collections.abc import Iterable

from chalkyoke.scheduling.state import Upstream

# Up to so many upstreams all are compared; a pool of this size costs under half a millisecond.
MOST_COMPARED = 32
# Of more: so many with a free slot, so many whose next slot gets free soonest, and so many that
# keep the most of the prompt.
FREE_COMPARED = 16
BUSY_COMPARED = 8
CACHED_COMPARED = 8


def shortlist(upstreams: list[Upstream], depths: dict[str, int], now: float) -> list[Upstream]:
    """Choose the upstreams that are compared for one request.

    :param upstreams: those that may take it.
    :param depths: cached leading blocks of its prompt, by upstream.
    :param now: seconds on the scheduler's clock.
    :rtype: list[Upstream]
    """
    if len(upstreams) <= MOST_COMPARED:
        return upstreams
    free = [each for each in upstreams if each.has_slot(now)]
    busy = [each for each in upstreams if not each.has_slot(now)]
    keeping = [each for each in upstreams if each.spec.id in depths]
    chosen = heapq.nsmallest(FREE_COMPARED, free, key=Upstream.typical_s)
    chosen += heapq.nsmallest(BUSY_COMPARED, busy, key=_next_end)
    chosen += heapq.nlargest(CACHED_COMPARED, keeping, key=lambda each: depths[each.spec.id])
    return list(dict.fromkeys(chosen))


def fastest(upstreams: Iterable[Upstream]) -> list[Upstream]:
    """Choose those that would serve a request soonest if they were idle."""
    return heapq.nsmallest(BUSY_COMPARED, upstreams, key=Upstream.idle_s)


def _next_end(upstream: Upstream) -> float:
    ends = upstream.ends()
    return ends[0] if ends else 0.0
