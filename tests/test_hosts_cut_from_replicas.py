"""
tests.test_hosts_cut_from_replicas

Guards against a failure of hosts that had lost the path to all replicas, while callers, the store
and the other hosts reached them: their callers were refused until the path was back, and since the
hosts reported the replicas as unreachable, callers of the other hosts were refused as well.
"""

import asyncio
import random
from collections import Counter

import pytest

from tests.gatewayfleet import run_check
from tests.memorynet import PartitionMode

DOMAINS = ("a", "a", "a", "b", "b", "c", "c")
CUT_NODES = (0, 1, 3, 5)
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


def all_replicas(fleet):
    return [*fleet.models, *fleet.seats]


def play_cut(mode, replicas=all_replicas, cut_nodes=CUT_NODES, while_cut=None):
    """Cut some hosts from replicas, then end the cut.

    :param replicas: returns the replicas of a fleet from which the hosts are cut.
    :param while_cut: coroutine function that is run for the fleet during the cut.
    :return: shares of the requests that were served at the cut hosts, at the others, and at all
        after the cut.
    """
    shares = []
    others = [each for each in ALL_NODES if each not in cut_nodes]

    async def check(fleet):
        loop = asyncio.get_running_loop()
        await run_callers(fleet, 3.0, ALL_NODES)
        since = loop.time() + CONTACT_S
        partition = fleet.cut_from_replicas(cut_nodes, replicas(fleet), mode)
        disturbing = asyncio.ensure_future(while_cut(fleet)) if while_cut else None
        got = await run_callers(fleet, CUT_S, ALL_NODES)
        check_promises(fleet, got)
        assert not any(each.quarantine._evidence.holds_any for each in fleet.nodes)
        shares.append(served_share(got, cut_nodes, since))
        shares.append(served_share(got, others, since))
        if disturbing is not None:
            await disturbing
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


@pytest.mark.parametrize("mode", [PartitionMode.RESET, PartitionMode.SILENT])
@pytest.mark.parametrize("lost", ["one service", "one failure domain"])
def test_a_path_to_some_replicas_is_replaced_too(lost, mode):
    def replicas(fleet):
        if lost == "one service":
            return fleet.seats
        return [each for each in all_replicas(fleet) if each.zone == "a"]

    assert min(play_cut(mode, replicas)) >= MIN_SERVED_SHARE


@pytest.mark.parametrize("mode", [PartitionMode.RESET, PartitionMode.SILENT])
def test_a_whole_failure_domain_without_paths_is_served_by_way_of_the_others(mode):
    assert min(play_cut(mode, cut_nodes=(0, 1, 2))) >= MIN_SERVED_SHARE


async def stop_helper(fleet):
    await asyncio.sleep(CUT_S / 2)
    fleet.nodes[2]._stopping.set()


async def crash_helper(fleet):
    await asyncio.sleep(CUT_S / 2)
    await fleet.kill_node(2)
    await asyncio.sleep(1.0)
    fleet.start_node(2, first_start=False)


@pytest.mark.parametrize("disturb", [stop_helper, crash_helper], ids=["stop", "crash"])
def test_callers_are_served_while_a_host_on_the_way_stops_or_crashes(disturb):
    cut, others, _ = play_cut(PartitionMode.RESET, while_cut=disturb)
    assert cut >= MIN_SERVED_SHARE and cut >= MIN_SERVED_RATIO * others
