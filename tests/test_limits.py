"""
tests.test_limits

Guards against limits that nodes ignore or apply separately. Two of six engines announced limits of
3.6 and 3.7 requests per second in their answers, and got 37 and 41 requests in 4 s from hosts that
had forwarded these answers. Operators allow 27 requests: one and a half times the limit plus five
requests, summed over all hosts. No code read the limit in the answers, and no node counted the
requests that a replica gets from all hosts together; this fleet of complete nodes in virtual time
sent 245 to 254 requests in 4 s without limits.
"""

import asyncio

from tests.gatewayfleet import run_check
from tests.limits import max_allowed_requests, worst_windows
from tests.test_leaving_and_rest import PATHS, replicas_of_path, run_callers, served_share

DURATION_S = 12.0
LIMIT_PER_S = 3.8


def set_limits(replicas, limit_per_s):
    for replica in replicas:
        replica.faults.limit_per_s = limit_per_s


def run_with_limits(path, count, limit_per_s, **fleet):
    """Run callers while ``count`` of the replicas of a path announce a limit.

    :return: the largest number of requests that one of these replicas got in a window, and the
        share of callers that were served.
    """
    found = []

    async def check(fleet):
        limited = replicas_of_path(fleet, path)[:count]
        set_limits(limited, limit_per_s)
        got = await run_callers(fleet, path, DURATION_S)
        found.append((max(worst_windows(got, limited).values()), served_share(got)))

    run_check(check, **fleet)
    return found[0]


# Guards against nodes that each use the whole limit of a replica.
def test_a_limit_holds_across_all_nodes_and_other_replicas_serve_the_callers():
    found = {path: run_with_limits(path, 2, LIMIT_PER_S) for path in PATHS}
    assert all(most <= max_allowed_requests(LIMIT_PER_S) for most, _ in found.values()), found
    assert all(served >= 0.99 for _, served in found.values()), found


# Guards against a fraction of a request that each node rounds up to one.
def test_a_limit_below_one_request_per_second_holds():
    found = {path: run_with_limits(path, 2, 0.4) for path in ("/chat/1", "/find/1")}
    assert all(most <= max_allowed_requests(0.4) for most, _ in found.values()), found
    assert all(served >= 0.99 for _, served in found.values()), found


def test_limits_hold_when_all_replicas_announce_one():
    found = {path: run_with_limits(path, 6, LIMIT_PER_S) for path in ("/chat/1", "/find/1")}
    assert all(most <= max_allowed_requests(LIMIT_PER_S) for most, _ in found.values()), found


def run_with_limit_change(path, before, after, seconds=DURATION_S):
    """Run callers while two of six replicas announce a limit, and later another one.

    :param before: the first limit, in requests per second.
    :param after: the later limit, in requests per second; negative for none.
    :return: the largest number of requests that one of the two replicas got in a window after the
        change, and the share of callers that were served.
    """
    found = []

    async def check(fleet):
        limited = replicas_of_path(fleet, path)[:2]
        set_limits(limited, before)
        got = await run_callers(fleet, path, 6.0)
        changed_at = asyncio.get_running_loop().time()
        set_limits(limited, after)
        got += await run_callers(fleet, path, seconds)
        found.append((max(worst_windows(got, limited, changed_at).values()), served_share(got)))

    run_check(check)
    return found[0]


def test_a_lowered_limit_takes_effect_as_soon_as_a_first_one():
    found = {path: run_with_limit_change(path, 7.6, LIMIT_PER_S) for path in ("/chat/1", "/find/1")}
    assert all(most <= max_allowed_requests(LIMIT_PER_S) for most, _ in found.values()), found
    assert all(served >= 0.99 for _, served in found.values()), found


# Guards against a limit that stays in force after the replica has withdrawn it.
def test_a_limit_ends_when_answers_no_longer_announce_one():
    # Without a limit, the replicas share the load evenly: each gets a sixth of 50 to 60 requests
    # per second.
    most, served = run_with_limit_change("/find/1", LIMIT_PER_S, -1.0, seconds=16.0)
    assert most > 2 * max_allowed_requests(LIMIT_PER_S)
    assert served >= 0.99


# Guards against a limit of zero that never ends, since no answer can withdraw it.
def test_a_replica_with_a_limit_of_zero_is_probed_until_the_limit_ends():
    found = {
        path: run_with_limit_change(path, 0.0, -1.0, seconds=20.0)
        for path in ("/find/1", "/book/1")
    }
    assert all(most > 2 * max_allowed_requests(LIMIT_PER_S) for most, _ in found.values()), found


# Guards against a limit that is exceeded when the nodes that keep count of it are lost.
def test_a_limit_holds_while_nodes_are_killed_and_restarted():
    most = {}

    def check_of(path):
        async def check(fleet):
            limited = replicas_of_path(fleet, path)[:2]
            set_limits(limited, LIMIT_PER_S)
            callers = asyncio.ensure_future(run_callers(fleet, path, 2 * DURATION_S))
            for number in (0, 3, 1, 4, 2, 5):
                await asyncio.sleep(2.5)
                await fleet.kill_node(number)
                await asyncio.sleep(1.0)
                fleet.start_node(number, first_start=False)
            most[path] = max(worst_windows(await callers, limited).values())

        return check

    for path in ("/chat/1", "/find/1"):
        run_check(check_of(path))
    assert all(count <= max_allowed_requests(LIMIT_PER_S) for count in most.values()), most


def test_a_limit_holds_across_24_nodes():
    domains = tuple("abcd"[number // 6] for number in range(24))
    found = {
        path: run_with_limits(path, 2, LIMIT_PER_S, domains=domains)
        for path in ("/chat/1", "/find/1")
    }
    assert all(most <= max_allowed_requests(LIMIT_PER_S) for most, _ in found.values()), found
    assert all(served >= 0.99 for _, served in found.values()), found


# Guards against limits that are split evenly among nodes although one node has all callers.
def test_a_single_node_with_all_callers_uses_the_full_limits():
    used = {}

    def check_of(path):
        async def check(fleet):
            replicas = replicas_of_path(fleet, path)
            set_limits(replicas, LIMIT_PER_S)
            await run_callers(fleet, path, 3.0, nodes=(0,))
            before = sum(len(each.seen) for each in replicas)
            await run_callers(fleet, path, DURATION_S, nodes=(0,))
            sent = sum(len(each.seen) for each in replicas) - before
            used[path] = sent / (len(replicas) * LIMIT_PER_S * DURATION_S)

        return check

    for path in ("/chat/1", "/find/1"):
        run_check(check_of(path))
    assert all(0.9 <= share <= 1.1 for share in used.values()), used
