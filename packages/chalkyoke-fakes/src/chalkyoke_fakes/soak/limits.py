"""
chalkyoke_fakes.soak.limits

Check the limits that replicas announce in their answers. Requests are summed over the nodes that
have forwarded such an answer, and operators allow some excess.
"""

import math
from collections.abc import Callable, Iterable, Mapping

from chalkyoke_fakes.soak.observations import Observations, Rejection, ReplicaRun

# The first window begins this many seconds after a replica first announced its limit.
LIMIT_GRACE_S = 3.0
# A node's requests count from this many seconds after it forwarded an answer with a limit.
NODE_GRACE_S = 0.5
# A window of this many seconds may contain ``MAX_LIMIT_FACTOR`` times the limit plus
# ``SLACK_REQUESTS`` requests.
WINDOW_S = 4.0
MAX_LIMIT_FACTOR = 1.5
SLACK_REQUESTS = 5


def max_allowed_requests(limit_per_s: float) -> int:
    """Return the most requests that are allowed in one window.

    :param limit_per_s: the highest limit announced within the window, in requests a second.
    """
    return math.floor(MAX_LIMIT_FACTOR * limit_per_s * WINDOW_S + SLACK_REQUESTS)


def max_requests_in_window(
    arrivals: Iterable[tuple[float, str | int]],
    known_since: Mapping[str | int, float],
    first: float,
) -> int:
    """Count the most requests that reached one replica within any window.

    :param arrivals: when requests reached the replica, and the nodes that sent them.
    :param known_since: when each node first forwarded an answer with a limit.
    :param first: when the replica first announced a limit.
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
    """Describe the windows with more requests than allowed, at most one for each limit period.

    :param excused: returns whether a request that a node sent at a given time does not count.
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
