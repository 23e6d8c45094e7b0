"""
tests.test_limits

What was seen: two of six engines named a limit of 3.6 and 3.7 requests a second in their answers,
and got 37 and 41 requests in 4 s from hosts that had passed these answers on; 27 are allowed, one
and a half times the limit and five requests, summed over all hosts.
"""

from tests.gatewayfleet import play
from tests.limits import most_allowed, over_limits
from tests.test_leaving_and_rest import PATHS, keep_asking, of_path, served_share

PLAYED_S = 12.0
LIMIT_PER_S = 3.8


def set_limits(replicas, limit_per_s):
    for replica in replicas:
        replica.faults.limit_per_s = limit_per_s


def worst_of(path, count, limit_per_s, **fleet):
    """Play callers before replicas of which some name a limit.

    :return: the most requests that one of these got in a window, how many are allowed, and the
        share of callers that were served.
    """
    found = []

    async def check(fleet):
        limited = of_path(fleet, path)[:count]
        set_limits(limited, limit_per_s)
        got = await keep_asking(fleet, path, PLAYED_S)
        found.append((max(over_limits(got, limited).values()), served_share(got)))

    play(check, **fleet)
    return found[0]


def test_a_limit_holds_over_all_nodes_and_callers_are_served_by_the_others():
    found = {path: worst_of(path, 2, LIMIT_PER_S) for path in PATHS}
    assert all(most <= most_allowed(LIMIT_PER_S) for most, _ in found.values()), found
    assert all(served >= 0.99 for _, served in found.values()), found


def test_a_limit_of_a_fraction_of_a_request_holds():
    found = {path: worst_of(path, 2, 0.4) for path in ("/chat/1", "/find/1")}
    assert all(most <= most_allowed(0.4) for most, _ in found.values()), found
    assert all(served >= 0.99 for _, served in found.values()), found


def test_limits_hold_where_all_replicas_name_one():
    found = {path: worst_of(path, 6, LIMIT_PER_S) for path in ("/chat/1", "/find/1")}
    assert all(most <= most_allowed(LIMIT_PER_S) for most, _ in found.values()), found
