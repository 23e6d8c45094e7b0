"""
tests.test_restored_spread

The real membership and catalog of many nodes, without a network, before a store that comes back
from a copy. Answers to the pattern of a fleet whose store is away for half a second and lacks its
last three seconds, beside a change of a replica and one of the configuration in each quarter of a
second; links of 5 Mbit/s and a tenth of the users' replicas a node.
"""

import asyncio

import pytest

from tests.catalogfleet import Fleet, play

SIZES = {
    7: {"a": 3, "b": 2, "c": 2},
    24: dict.fromkeys("abcd", 6),
    80: dict.fromkeys("abcde", 16),
}
SETTLED_S = 8.0
LOST_CHANGES = 12
CHANGE_S = 0.25
AWAY_S = 0.5
# How soon after the store's return all nodes in touch go by it, in seconds.
AGREED_S = 1.0
LOOK_S = 0.02
# A node that is turned away by the store, or falls behind twice, has some beats more.
BY_PEERS_S = 2.0


def agree(fleet):
    """Tell whether all nodes know the same state of the store, and believe the same."""
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
    while not agree(fleet) and loop.time() - began < most_s:
        await asyncio.sleep(LOOK_S)
    return loop.time() - began


async def lose_seconds(fleet, before_return=lambda: None):
    """Write for some seconds, and let the store come back from a copy that lacks them."""
    store = fleet.store
    copy = store.copy()
    for number in range(LOST_CHANGES):
        fleet.configure({number})
        fleet.drain(number)
        await asyncio.sleep(CHANGE_S)
    store.go_away()
    await asyncio.sleep(AWAY_S)
    before_return()
    fleet.network.bytes_by_kind.clear()
    store.restore(copy)


def played(nodes, story):
    async def main():
        fleet = Fleet(SIZES[nodes], replicas=4 * nodes)
        fleet.start()
        await asyncio.sleep(SETTLED_S)
        return await story(fleet)

    return play(main)


# Guards against nodes that go by what a restored store has lost, and against whole listings to all.
@pytest.mark.parametrize("nodes", SIZES)
def test_all_nodes_agree_soon_after_a_restore(nodes):
    async def story(fleet):
        await lose_seconds(fleet)
        restored_s = await seconds_until_agreed(fleet)
        for number in range(LOST_CHANGES):
            fleet.drain(number)
        again_s = await seconds_until_agreed(fleet)
        return restored_s, again_s, set(fleet.network.bytes_by_kind)

    restored_s, again_s, kinds = played(nodes, story)
    assert restored_s < AGREED_S and again_s < AGREED_S, (restored_s, again_s)
    assert "ReplicasSnapshot" not in kinds


# Guards against nodes that can't compare two listings of which one is of a later epoch.
def test_nodes_that_the_store_turns_away_learn_of_a_restore_from_others():
    async def story(fleet):
        away = {node.host for node in fleet.nodes if node.view.domain == "a"}

        def turn_away():
            fleet.store.refused = away

        await lose_seconds(fleet, turn_away)
        return await seconds_until_agreed(fleet)

    assert played(24, story) < BY_PEERS_S


# Guards against a second restore that is taken for the first one.
def test_two_restores_in_a_row_are_both_followed():
    async def story(fleet):
        await lose_seconds(fleet)
        await asyncio.sleep(0.1)
        await lose_seconds(fleet)
        return await seconds_until_agreed(fleet), {node.state.epoch for node in fleet.nodes}

    agreed_s, epochs = played(24, story)
    assert agreed_s < BY_PEERS_S
    assert epochs == {3}
