"""
tests.test_restored_spread

The real membership and catalog of many nodes, without a network, with a store that returns from a
snapshot. The store is offline for half a second and lacks its last three seconds, in which one
replica and the configuration changed every quarter of a second. Links have 5 Mbit/s, and the number
of replicas per node is a tenth of that in production.
"""

import asyncio

import pytest

from tests.catalogfleet import Fleet, run_in_virtual_time

DOMAIN_SIZES = {
    7: {"a": 3, "b": 2, "c": 2},
    24: dict.fromkeys("abcd", 6),
    80: dict.fromkeys("abcde", 16),
}
SETTLED_S = 8.0
LOST_CHANGE_PAIRS = 12
CHANGE_INTERVAL_S = 0.25
OUTAGE_S = 0.5
# Seconds after the store's return within which all connected nodes follow it.
CONVERGED_S = 1.0
POLL_S = 0.02
# A longer time, some heartbeats more, for nodes that the store refuses or that fall behind twice.
CONVERGED_BY_PEERS_S = 2.0


def all_nodes_agree(fleet):
    """Return whether all nodes have the store's epoch, one position and one set of leaving ones."""
    store = fleet.store
    states = [node.state for node in fleet.nodes]
    positions = {(each.epoch, each.last_change_revision) for each in states}
    leaving = {
        frozenset(key for key, it in each.replicas.items() if it.draining) for each in states
    }
    return (
        len(positions) == 1
        and {each.epoch for each in states} == {store.epoch}
        and len(leaving) == 1
    )


async def seconds_until_agreed(fleet, most_s=20.0):
    loop = asyncio.get_running_loop()
    began = loop.time()
    while not all_nodes_agree(fleet) and loop.time() - began < most_s:
        await asyncio.sleep(POLL_S)
    return loop.time() - began


async def lose_recent_changes(fleet, before_return=lambda: None):
    """Write for some seconds, and let the store return from a snapshot that lacks the writes."""
    store = fleet.store
    snapshot = store.snapshot()
    for number in range(LOST_CHANGE_PAIRS):
        fleet.configure({number})
        fleet.drain_replica(number)
        await asyncio.sleep(CHANGE_INTERVAL_S)
    store.go_offline()
    await asyncio.sleep(OUTAGE_S)
    before_return()
    fleet.network.bytes_by_kind.clear()
    store.restore(snapshot)


def run_scenario(nodes, scenario):
    async def main():
        fleet = Fleet(DOMAIN_SIZES[nodes], replicas=4 * nodes)
        fleet.start()
        await asyncio.sleep(SETTLED_S)
        return await scenario(fleet)

    return run_in_virtual_time(main)


# Guards against nodes that keep what a restored store has lost, and against full snapshots to all
# nodes.
@pytest.mark.parametrize("nodes", DOMAIN_SIZES)
def test_all_nodes_agree_soon_after_a_restore(nodes):
    async def scenario(fleet):
        await lose_recent_changes(fleet)
        restored_s = await seconds_until_agreed(fleet)
        for number in range(LOST_CHANGE_PAIRS):
            fleet.drain_replica(number)
        again_s = await seconds_until_agreed(fleet)
        return restored_s, again_s, set(fleet.network.bytes_by_kind)

    restored_s, again_s, kinds = run_scenario(nodes, scenario)
    assert restored_s < CONVERGED_S and again_s < CONVERGED_S, (restored_s, again_s)
    assert "ReplicasSnapshot" not in kinds


# Guards against nodes that cannot compare two listings of different epochs.
def test_nodes_that_the_store_refuses_learn_of_a_restore_from_peers():
    async def scenario(fleet):
        refused_hosts = {node.host for node in fleet.nodes if node.view.domain == "a"}

        def refuse_domain():
            fleet.store.refused_hosts = refused_hosts

        await lose_recent_changes(fleet, refuse_domain)
        return await seconds_until_agreed(fleet)

    assert run_scenario(24, scenario) < CONVERGED_BY_PEERS_S


# Guards against a second restore that nodes mistake for the first one.
def test_two_restores_in_a_row_are_both_followed():
    async def scenario(fleet):
        await lose_recent_changes(fleet)
        await asyncio.sleep(0.1)
        await lose_recent_changes(fleet)
        return await seconds_until_agreed(fleet), {node.state.epoch for node in fleet.nodes}

    agreed_s, epochs = run_scenario(24, scenario)
    assert agreed_s < CONVERGED_BY_PEERS_S
    assert epochs == {3}
