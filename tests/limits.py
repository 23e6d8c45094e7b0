"""
tests.limits

Counts of how many requests exceed the limits that replicas announce in their answers.
"""

import math

from chalkyoke_fakes.soak.limits import most_allowed, worst_window

__all__ = ["most_allowed", "worst_windows"]


def first_limit_times(got):
    """Find when each node first forwarded an answer that announces a limit, per replica start.

    :return: times by replica and node, in seconds on the loop's clock.
    """
    told = {}
    for each in sorted(got, key=lambda each: each.asked_at + each.took_s):
        if "server-limit" in each.headers:
            replica = each.headers["x-server-stamp"].partition(".")[0]
            told.setdefault((replica, each.node), each.asked_at + each.took_s)
    return told


def worst_windows(got, replicas, since=-math.inf):
    """Count the requests in the worst window of each replica that has announced a limit.

    :param since: when the limit last changed, in seconds on the loop's clock.
    :return: by replica, the largest number of requests in a window.
    """
    told = first_limit_times(got)
    asked = {each.request: each for each in got}
    found = {}
    for replica in replicas:
        first = min((at for (name, _), at in told.items() if name == replica.id), default=None)
        if first is None:
            continue
        arrivals = [
            (seen.at, asked[seen.headers["x-request-id"]].node)
            for seen in (*replica.seen, *replica.turned_away)
            if seen.headers["x-request-id"] in asked
        ]
        nodes = {node: at for (name, node), at in told.items() if name == replica.id}
        found[replica.id] = worst_window(arrivals, nodes, max(first, since))
    return found
