"""
tests.test_hosts_cut_from_replicas

Guards against a failure of hosts that had lost the path to all replicas, while callers, the store
and the other hosts reached them: their callers were refused until the path was back, and since the
hosts reported the replicas as unreachable, callers of the other hosts were refused as well.
"""

import asyncio
import random
from collections import Counter

from tests.gatewayfleet import run_check
from tests.memorynet import PartitionMode

DOMAINS = ("a", "a", "a", "b", "b", "c", "c")
CUT_NODES = (0, 1, 3, 5)
OTHER_NODES = (2, 4, 6)
ALL_NODES = range(len(DOMAINS))
PATHS = ("/chat/1", "/explain/1", "/find/1", "/book/1")
REPEATABLE = ("/explain/1", "/find/1")
# The operators' target: from 3 s after the cut began, callers of cut hosts are served at least two
# thirds as often as those of the other hosts.
CONTACT_S = 3.0
CUT_S = 10.0
MIN_SERVED_RATIO = 2 / 3
# The operators are alerted if over a tenth of the requests are not served.
MIN_SERVED_SHARE = 0.9
CALLERS_PER_NODE = 2
MEAN_PAUSE_S = 0.2


async def run_callers(fleet, seconds, nodes):
    """Run callers that send each request once, and return all their answers with their paths."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    got = []
    rng = random.Random(61)

    async def send_requests(node):
        while loop.time() < until:
            await asyncio.sleep(MEAN_PAUSE_S * 2 * rng.random())
            path = rng.choice(PATHS)
            got.append((path, await fleet.send_request(node, path, until_whole=True)))

    await asyncio.gather(*(send_requests(node) for node in nodes for _ in range(CALLERS_PER_NODE)))
    return got


def served_share(got, nodes, since):
    ends = [each.status == 200 and each.whole for _, each in got if is_from(each, nodes, since)]
    return sum(ends) / len(ends)


def is_from(answer, nodes, since):
    return answer.node in nodes and answer.asked_at >= since


def count_runs(fleet):
    runs = Counter()
    for replica in (*fleet.models, *fleet.seats):
        runs.update(replica.runs)
    return runs


def check_promises(fleet, got):
    """Check that a request that must not be repeated ran once at most, and 503 means not run."""
    runs = count_runs(fleet)
    for path, each in got:
        assert path in REPEATABLE or runs[each.request] <= 1
        assert each.status != 503 or runs[each.request] == 0


def play_cut(mode):
    """Cut some hosts from all replicas, then end the cut.

    :return: shares of the requests that were served at the cut hosts, at the others, and at all
        after the cut.
    """
    shares = []

    async def check(fleet):
        loop = asyncio.get_running_loop()
        await run_callers(fleet, 3.0, ALL_NODES)
        since = loop.time() + CONTACT_S
        partition = fleet.cut_from_replicas(CUT_NODES, (*fleet.models, *fleet.seats), mode)
        got = await run_callers(fleet, CUT_S, ALL_NODES)
        check_promises(fleet, got)
        shares.append(served_share(got, CUT_NODES, since))
        shares.append(served_share(got, OTHER_NODES, since))
        fleet.net.heal(partition)
        await asyncio.sleep(CONTACT_S)
        got = await run_callers(fleet, 3.0, ALL_NODES)
        check_promises(fleet, got)
        shares.append(served_share(got, ALL_NODES, 0.0))

    run_check(check, domains=DOMAINS)
    return shares


def test_callers_of_hosts_without_a_path_to_any_replica_are_served_by_way_of_other_hosts():
    served = {mode.name: play_cut(mode) for mode in PartitionMode}
    for cut, others, after in served.values():
        assert min(others, after) >= MIN_SERVED_SHARE, served
        assert cut >= MIN_SERVED_RATIO * others, served
