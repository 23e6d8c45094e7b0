"""
tests.test_restored_store

Whole nodes before a store that comes back from a copy some seconds old: the revisions that it gives
out again must not hide what replicas and operators write from then on.
"""

import asyncio
import json

import pytest
from chalkyoke_fakes.platformfleet import default_configuration

from tests.gatewayfleet import play
from tests.test_leaving_and_rest import keep_asking, of_path, served_share

PATHS = ("/chat/1", "/find/1")
# How many revisions the copy lacks, and how long before the return it was made, in seconds.
LOST_REVISIONS = 40
COPY_AGE_S = 3.0
AWAY_S = 0.5
# How long after it said that it leaves a replica may still get requests, in seconds.
LEFT_ALONE_S = 2.0
# How soon after the store's return all nodes go by it again, in seconds.
AGREED_S = 1.0
PLAYED_S = 5.0
# How long the platform lists a silent replica, in seconds: three heartbeats.
LAPSES_S = 3.6


def now():
    return asyncio.get_running_loop().time()


def later_sends(replica, since):
    """Count what reached a replica too long after it had said that it leaves."""
    return sum(each.at > since + LEFT_ALONE_S for each in replica.seen)


def first_after(replica, since):
    """Give how long after a moment a replica got its first request; nothing where it got none."""
    later = [each.at for each in replica.seen if each.at > since]
    return later[0] - since if later else None


class Operator:
    """Writes configurations, and writes the last one again where the store has lost it."""

    def __init__(self, store):
        self._store = store
        self._version = 1

    def configure(self):
        self._version += 1
        self.write_again()

    def write_again(self):
        document = json.dumps(default_configuration(self._version)).encode()
        self._store.put("op/config", document)


async def restore(fleet, in_lost_seconds=None):
    """Let the store lose its last seconds and come back from a copy.

    :param in_lost_seconds: done just before the store goes away.
    """
    store, operator = fleet.store, Operator(fleet.store)
    copy = store.copy()
    for _ in range(LOST_REVISIONS):
        operator.configure()
        await asyncio.sleep(COPY_AGE_S / LOST_REVISIONS)
    if in_lost_seconds is not None:
        await in_lost_seconds()
        await asyncio.sleep(0.5)
    store.go_away()
    await asyncio.sleep(AWAY_S)
    store.restore(copy)
    operator.write_again()
    return operator


async def asking(fleet, path, story):
    """Let callers ask while a story goes on, and for some seconds after it."""
    callers = asyncio.ensure_future(keep_asking(fleet, path, COPY_AGE_S + AWAY_S + PLAYED_S + 6.0))
    await asyncio.sleep(1.0)
    found = await story()
    return found, await callers


def play_path(path, story):
    """Play a story beside callers.

    :return: what the story gives, and the share of callers that were served.
    """
    found = []

    async def check(fleet):
        result, got = await asking(fleet, path, lambda: story(fleet, of_path(fleet, path)))
        found.append((result, served_share(got)))

    play(check)
    return found[0]


def assert_left_alone(path, story):
    """Assert that a replica got nothing too late, and that callers were served by the others."""
    late, served = play_path(path, story)
    assert late == 0, late
    assert served > 0.99, served


def assert_gets_work(path, story):
    """Assert that a replica soon got its first request, and that callers were served."""
    first, served = play_path(path, story)
    assert first is not None and first < AGREED_S, first
    assert served > 0.99, served


# Guards against sends to a replica that said it leaves after the store's revisions went back.
def test_a_replica_that_leaves_after_a_restore_is_left_alone():
    async def story(fleet, replicas):
        operator = await restore(fleet)
        await asyncio.sleep(AGREED_S)
        await replicas[0].write_record("draining")
        since = now()
        for _ in range(int(PLAYED_S)):
            await asyncio.sleep(1.0)
            operator.configure()
        return later_sends(replicas[0], since)

    found = {path: play_path(path, story) for path in PATHS}
    assert all(late == 0 and served > 0.99 for late, served in found.values()), found


# Guards against sends to a replica whose record went after the store's revisions went back.
@pytest.mark.parametrize("path", PATHS)
def test_a_replica_whose_record_goes_after_a_restore_is_left_alone(path):
    async def story(fleet, replicas):
        await restore(fleet)
        await asyncio.sleep(AGREED_S)
        fleet.store.remove(f"servers/{replicas[0].id}")
        since = now()
        await asyncio.sleep(PLAYED_S)
        return later_sends(replicas[0], since)

    assert_left_alone(path, story)


# Guards against work for a replica that left in the seconds that the store has lost, whose record
# in the copy says that it is ready.
@pytest.mark.parametrize("path", PATHS)
def test_a_replica_that_left_in_the_lost_seconds_stays_left_alone(path):
    async def story(fleet, replicas):
        async def leave():
            await replicas[0].write_record("draining")
            leave.at = now()

        await restore(fleet, leave)
        await asyncio.sleep(AGREED_S)
        await replicas[0].write_record("draining")
        await asyncio.sleep(PLAYED_S)
        return later_sends(replicas[0], leave.at)

    assert_left_alone(path, story)


# Guards against work for a replica that was gone, which the copy lists until it lapses again.
@pytest.mark.parametrize("path", PATHS)
def test_a_replica_that_went_in_the_lost_seconds_stays_gone(path):
    async def story(fleet, replicas):
        key = f"servers/{replicas[0].id}"

        async def go():
            fleet.store.remove(key)
            go.at = now()

        await restore(fleet, go)
        await asyncio.sleep(LAPSES_S)
        fleet.store.remove(key)
        await asyncio.sleep(PLAYED_S - LAPSES_S)
        return later_sends(replicas[0], go.at)

    assert_left_alone(path, story)


# Guards against new replicas that get no work after the store's revisions went back.
@pytest.mark.parametrize("path", PATHS)
def test_a_replica_that_comes_after_a_restore_gets_work(path):
    async def story(fleet, replicas):
        await restore(fleet)
        await asyncio.sleep(AGREED_S)
        service = replicas[0].service
        new = await fleet.add_replica("new", service, "a", service == "model")
        since = now()
        await asyncio.sleep(PLAYED_S)
        return new.seen[0].at - since if new.seen else None

    assert_gets_work(path, story)


# Guards against a new start under a known id that gets no work after the revisions went back.
@pytest.mark.parametrize("path", PATHS)
def test_a_replica_that_starts_anew_after_a_restore_gets_work(path):
    async def story(fleet, replicas):
        async def leave():
            await replicas[0].write_record("draining")

        await restore(fleet, leave)
        await asyncio.sleep(AGREED_S)
        replicas[0].born += 1000
        await replicas[0].write_record("ready")
        since = now()
        await asyncio.sleep(PLAYED_S)
        return first_after(replicas[0], since)

    assert_gets_work(path, story)


# Guards against a live replica, listed in the copy only, that never gets work again.
def test_a_replica_that_lapsed_and_lives_gets_work_again():
    async def story(fleet, replicas):
        async def lapse():
            fleet.store.remove(f"servers/{replicas[0].id}")

        await restore(fleet, lapse)
        since = now()
        await asyncio.sleep(2 * PLAYED_S)
        return first_after(replicas[0], since)

    first, _ = play_path("/find/1", story)
    assert first is not None and LAPSES_S < first < 2 * LAPSES_S, first


# Guards against nodes that start after a restore and are told what the others still believed.
def test_nodes_that_start_amid_a_restore_go_by_it():
    async def story(fleet, replicas):
        await restore(fleet)
        for node in (1, 4):
            await fleet.kill_node(node)
            fleet.start_node(node, first_start=False)
        await asyncio.sleep(AGREED_S)
        await replicas[0].write_record("draining")
        since = now()
        await asyncio.sleep(PLAYED_S)
        states = [node.catalog.state for node in fleet.nodes]
        return later_sends(replicas[0], since), {
            (each.epoch, each.replicas_revision) for each in states
        }

    (late, positions), _ = play_path("/find/1", story)
    assert late == 0, late
    assert len(positions) == 1, positions


# Guards against a node that starts after a restore and knows of a leaving replica by the copy only.
def test_a_node_that_starts_after_a_restore_is_told_who_left_in_the_lost_seconds():
    async def story(fleet, replicas):
        async def leave():
            await replicas[0].write_record("draining")
            leave.at = now()

        await restore(fleet, leave)
        await asyncio.sleep(AGREED_S)
        for node in (1, 4):
            await fleet.kill_node(node)
            fleet.start_node(node, first_start=False)
        await asyncio.sleep(PLAYED_S)
        return later_sends(replicas[0], leave.at)

    late, _ = play_path("/find/1", story)
    assert late == 0, late


ORDER_KEY, STATUS_KEY = "op/rollout/model", "status/rollout/model"
ORDER = json.dumps({"to-version": "v2", "over-s": 30.0}).encode()


# Guards against a trial that begins anew, and an answer that is never given again, after a restore.
def test_an_order_of_the_lost_seconds_goes_on_and_is_answered_again():
    async def story(fleet, replicas):
        for each in replicas[:3]:
            each.version = "v2"
            await each.write_record("ready")
        await asyncio.sleep(1.0)

        def rollouts():
            return [node.rollouts._rollouts["model"] for node in fleet.nodes]

        async def order():
            fleet.store.put(ORDER_KEY, ORDER)
            await asyncio.sleep(2.0)
            assert STATUS_KEY in fleet.store.items
            order.rollouts = rollouts()

        await restore(fleet, order)
        assert STATUS_KEY not in fleet.store.items
        await asyncio.sleep(AGREED_S)
        kept = rollouts() == order.rollouts
        fleet.store.put(ORDER_KEY, ORDER)
        await asyncio.sleep(2.0)
        return kept and rollouts() == order.rollouts, STATUS_KEY in fleet.store.items

    found, _ = play_path("/chat/1", story)
    assert found == (True, True)
