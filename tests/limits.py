"""
tests.limits

Counts of how many requests exceed the limits that replicas announce in their answers.
"""

import math

from chalkyoke_fakes.soak.limits import max_allowed_requests, max_requests_in_window

__all__ = ["max_allowed_requests", "worst_windows"]


def first_limit_times(got):
    """Find when each node first forwarded an answer that announces a limit, per replica start.

    :return: times by replica and node, in seconds on the loop's clock.
    """
    limit_times = {}
    for each in sorted(got, key=lambda each: each.asked_at + each.took_s):
        if "server-limit" in each.headers:
            replica = each.headers["x-server-stamp"].partition(".")[0]
            limit_times.setdefault((replica, each.node), each.asked_at + each.took_s)
    return limit_times


def worst_windows(got, replicas, since=-math.inf):
    """Count the requests in the worst window of each replica that has announced a limit.

    :param since: when the limit last changed, in seconds on the loop's clock.
    :return: by replica, the largest number of requests in a window.
    """
    limit_times = first_limit_times(got)
    asked = {each.request: each for each in got}
    worst = {}
    for replica in replicas:
        first = min(
            (at for (name, _), at in limit_times.items() if name == replica.id), default=None
        )
        if first is None:
            continue
        arrivals = [
            (seen.at, asked[seen.headers["x-request-id"]].node)
            for seen in (*replica.seen, *replica.rejected)
            if seen.headers["x-request-id"] in asked
        ]
        nodes = {node: at for (name, node), at in limit_times.items() if name == replica.id}
        worst[replica.id] = max_requests_in_window(arrivals, nodes, max(first, since))
    return worst
