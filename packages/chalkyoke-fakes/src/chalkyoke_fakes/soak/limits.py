"""
chalkyoke_fakes.soak.limits

What operators allow beyond the limits that replicas name in their answers, summed over the nodes
that have passed on such an answer.
"""

import math
from collections.abc import Callable, Iterable, Mapping

from chalkyoke_fakes.soak.observations import Observations, Ran, TurnedAway

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


def windows_over(seen: Observations, excused: Callable[[str, float], bool]) -> list[str]:
    """Word the windows that saw more than is allowed, one at most for each time of a limit.

    :param excused: tells whether what a node sent at a moment does not count.
    """
    nodes = {each.request: each.node for each in seen.asked}
    told: dict[str, dict[str | int, float]] = {}
    for answer in sorted(seen.asked, key=lambda each: each.ended):
        if answer.limited:
            told.setdefault(answer.limited, {}).setdefault(answer.node, answer.ended)
    found: list[str] = []
    for limit in seen.limited:
        heard = told.get(limit.replica, {})
        reached: list[Ran | TurnedAway] = [*seen.ran, *seen.turned_away]
        arrivals = [
            (each.at, nodes[each.request])
            for each in reached
            if each.replica == limit.replica
            and limit.began <= each.at < limit.ended
            and each.request in nodes
            and not excused(nodes[each.request], each.at)
        ]
        first = max(min(heard.values(), default=math.inf), limit.began)
        most = worst_window(arrivals, heard, first)
        if most > most_allowed(limit.limit_per_s):
            found.append(f"{limit.replica} got {most}, {most_allowed(limit.limit_per_s)} allowed")
    return found
