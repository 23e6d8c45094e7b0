"""
tests.limits

How well limits are kept that replicas name in their answers, from when requests reached them.
"""

import math

from chalkyoke_fakes.soak.limits import max_allowed_requests, max_requests_in_window

__all__ = ["max_allowed_requests", "over_limits"]


def told_at(got):
    """Find when each node had first passed on an answer that names a limit, by start of a replica.

    :return: by replica and node, on the loop's clock.
    """
    told = {}
    for each in sorted(got, key=lambda each: each.asked_at + each.took_s):
        if "server-limit" in each.headers:
            replica = each.headers["x-server-stamp"].partition(".")[0]
            told.setdefault((replica, each.node), each.asked_at + each.took_s)
    return told


def over_limits(got, replicas, since=-math.inf):
    """Count what reached each replica that has named a limit in its worst window.

    :param since: when the limit last changed, on the loop's clock.
    :return: by replica, the most requests in a window.
    """
    told = told_at(got)
    asked = {each.request: each for each in got}
    found = {}
    for replica in replicas:
        first = min((at for (name, _), at in told.items() if name == replica.id), default=None)
        if first is None:
            continue
        arrivals = [
            (seen.at, asked[seen.headers["x-request-id"]].node)
            for seen in (*replica.seen, *replica.rejected)
            if seen.headers["x-request-id"] in asked
        ]
        nodes = {node: at for (name, node), at in told.items() if name == replica.id}
        found[replica.id] = max_requests_in_window(arrivals, nodes, max(first, since))
    return found
