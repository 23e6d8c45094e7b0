"""
chalkyoke_fakes.soak.limits

What operators allow beyond the limits that replicas name in their answers, summed over the nodes
that have passed on such an answer.
"""

import math
from collections.abc import Iterable, Mapping

# Windows begin so long after a replica first named its limit, in seconds.
IN_FORCE_S = 3.0
# A node counts from so long after it passed on an answer that names a limit, in seconds.
HEARD_S = 0.5
# What a window may see: so many times the limit, and so many requests.
WINDOW_S = 4.0
MOST_SHARE = 1.5
SLACK = 5


def most_allowed(limit_per_s: float) -> int:
    """Give the most requests that a window may see.

    :param limit_per_s: the highest limit that was named within it.
    """
    return math.floor(MOST_SHARE * limit_per_s * WINDOW_S + SLACK)


def worst_window(
    arrivals: Iterable[tuple[float, str | int]],
    told: Mapping[str | int, float],
    first: float,
) -> int:
    """Count the most requests that reached one replica within a window.

    :param arrivals: when requests reached it, and the nodes that sent them.
    :param told: when each node had first passed on an answer that names a limit.
    :param first: when the replica first named one.
    """
    counted = sorted(
        at
        for at, node in arrivals
        if at >= first + IN_FORCE_S and at >= told.get(node, math.inf) + HEARD_S
    )
    return max(
        (
            sum(1 for at in counted[index:] if at < began + WINDOW_S)
            for index, began in enumerate(counted)
        ),
        default=0,
    )
