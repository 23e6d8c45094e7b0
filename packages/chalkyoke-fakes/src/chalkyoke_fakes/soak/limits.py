"""
chalkyoke_fakes.soak.limits

What operators allow beyond the limits that replicas name in their answers, summed over the nodes
that have passed on such an answer.
"""

import math
from collections.abc import Callable, Iterable, Mapping

from chalkyoke_fakes.soak.observations import Observations, Rejection, ReplicaRun

# Windows begin so long after a replica first named its limit, in seconds.
LIMIT_GRACE_S = 3.0
# A node counts from so long after it passed on an answer that names a limit, in seconds.
NODE_GRACE_S = 0.5
# What a window may see: so many times the limit, and so many requests.
WINDOW_S = 4.0
MAX_LIMIT_FACTOR = 1.5
SLACK_REQUESTS = 5


def max_allowed_requests(limit_per_s: float) -> int:
    """Give the most requests that a window may see.

    :param limit_per_s: the highest limit that was named within it.
    """
    return math.floor(MAX_LIMIT_FACTOR * limit_per_s * WINDOW_S + SLACK_REQUESTS)


def max_requests_in_window(
    arrivals: Iterable[tuple[float, str | int]],
    known_since: Mapping[str | int, float],
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
        if at >= first + LIMIT_GRACE_S and at >= known_since.get(node, math.inf) + NODE_GRACE_S
    )
    return max(
        (
            sum(1 for at in counted[index:] if at < began + WINDOW_S)
            for index, began in enumerate(counted)
        ),
        default=0,
    )


def describe_exceeded_windows(
    observations: Observations, excused: Callable[[str, float], bool]
) -> list[str]:
    """Word the windows that saw more than is allowed, one at most for each time of a limit.

    :param excused: tells whether what a node sent at a moment does not count.
    """
    nodes = {each.request: each.node for each in observations.attempts}
    known_since: dict[str, dict[str | int, float]] = {}
    for answer in sorted(observations.attempts, key=lambda each: each.ended):
        if answer.limiting_replica:
            known_since.setdefault(answer.limiting_replica, {}).setdefault(
                answer.node, answer.ended
            )
    found: list[str] = []
    for limit in observations.limit_periods:
        known_since_by_node = known_since.get(limit.replica, {})
        reached: list[ReplicaRun | Rejection] = [*observations.runs, *observations.rejections]
        arrivals = [
            (each.at, nodes[each.request])
            for each in reached
            if each.replica == limit.replica
            and limit.began <= each.at < limit.ended
            and each.request in nodes
            and not excused(nodes[each.request], each.at)
        ]
        first = max(min(known_since_by_node.values(), default=math.inf), limit.began)
        most = max_requests_in_window(arrivals, known_since_by_node, first)
        if most > max_allowed_requests(limit.limit_per_s):
            found.append(
                f"{limit.replica} got {most}, {max_allowed_requests(limit.limit_per_s)} allowed"
            )
    return found
