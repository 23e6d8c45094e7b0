"""
chalkyoke.scheduling.fit

The order in which upstreams get work, so that all are equally loaded and fast slots stay free.
"""

import math

from chalkyoke.scheduling.state import Upstream

# Number of speed classes for each factor of two in speed. Within a class, differences of learned
# speeds are too small or too uncertain to prefer an upstream by them.
CLASSES_PER_DOUBLING = 2


def by_fit(upstream: Upstream, now: float) -> tuple[int, int, float]:
    """Return the key that orders upstreams by load, and equally loaded ones slowest first.

    Equal numbers of requests on all upstreams are shares of the work in proportion to their
    speeds. Among upstreams with equal loads, the slots of fast ones stay free for requests that no
    other can finish in time. Upstreams of one speed take turns by their load of the last seconds.

    :param now: seconds on the scheduler's clock.
    """
    level = upstream.occupied(now) + 1
    if not upstream.time_factor.is_neutral:
        level = round(level * upstream.time_factor.current(now))
    slowness = round(CLASSES_PER_DOUBLING * math.log2(upstream.idle_s()))
    return level, -slowness, upstream.recent_load(now)
