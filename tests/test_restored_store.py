"""
tests.test_restored_store

Complete nodes with a store that returns from a snapshot some seconds old. The store assigns the
lost revisions again; these must not hide what replicas and operators write afterwards.
"""

import asyncio
import json

import pytest
from chalkyoke_fakes.platformfleet import default_configuration

from tests.gatewayfleet import run_check
from tests.test_leaving_and_rest import replicas_of_path, run_callers, served_share

PATHS = ("/chat/1", "/find/1")
# Number of revisions that the snapshot lacks, and the seconds in which they were written.
LOST_REVISIONS = 40
SNAPSHOT_AGE_S = 3.0
OUTAGE_S = 0.5
# Seconds after a replica has announced that it is leaving in which it may still get requests.
LEAVING_GRACE_S = 2.0
# Seconds after the store's return within which all nodes follow it again.
CONVERGED_S = 1.0
DURATION_S = 5.0
# Seconds after which the platform removes the record of a silent replica: three heartbeats.
RECORD_TIMEOUT_S = 3.6


def now():
    return asyncio.get_running_loop().time()


def count_late_sends(replica, since):
    """Count the requests that reached a replica after the grace time of its leaving."""
    return sum(each.at > since + LEAVING_GRACE_S for each in replica.seen)


def seconds_until_first_request(replica, since):
    """Return the seconds until a replica got its first request after ``since``, or None."""
    later = [each.at for each in replica.seen if each.at > since]
    return later[0] - since if later else None


class Operator:
    """Writes configurations, and rewrites the last one after the store has lost it."""

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
    """Let the store go offline, lose its last seconds and return from a snapshot.

    :param in_lost_seconds: called just before the store goes offline.
    """
    store, operator = fleet.store, Operator(fleet.store)
    snapshot = store.snapshot()
    for _ in range(LOST_REVISIONS):
        operator.configure()
        await asyncio.sleep(SNAPSHOT_AGE_S / LOST_REVISIONS)
    if in_lost_seconds is not None:
        await in_lost_seconds()
        await asyncio.sleep(0.5)
    store.go_offline()
    await asyncio.sleep(OUTAGE_S)
    store.restore(snapshot)
    operator.write_again()
    return operator


async def run_scenario_with_callers(fleet, path, scenario):
    """Run callers during a scenario and for some seconds after it."""
    callers = asyncio.ensure_future(
        run_callers(fleet, path, SNAPSHOT_AGE_S + OUTAGE_S + DURATION_S + 6.0)
    )
    await asyncio.sleep(1.0)
    result = await scenario()
    return result, await callers


def run_scenario_on_path(path, scenario):
    """Play a scenario on a fleet with running callers.

    :return: the result of the scenario, and the share of callers that were served.
    """
    outcomes = []

    async def check(fleet):
        result, got = await run_scenario_with_callers(
            fleet, path, lambda: scenario(fleet, replicas_of_path(fleet, path))
        )
        outcomes.append((result, served_share(got)))

    run_check(check)
    return outcomes[0]


def assert_gets_no_requests(path, scenario):
    """Assert that a replica got no late requests, and that other replicas served the callers."""
    late, served = run_scenario_on_path(path, scenario)
    assert late == 0, late
    assert served > 0.99, served


def assert_gets_requests(path, scenario):
    """Assert that a replica soon got its first request, and that callers were served."""
    first, served = run_scenario_on_path(path, scenario)
    assert first is not None and first < CONVERGED_S, first
    assert served > 0.99, served


# Guards against requests to a replica that announces leaving after the store's revisions went back.
def test_a_replica_that_leaves_after_a_restore_gets_no_requests():
    async def scenario(fleet, replicas):
        operator = await restore(fleet)
        await asyncio.sleep(CONVERGED_S)
        await replicas[0].write_record("draining")
        since = now()
        for _ in range(int(DURATION_S)):
            await asyncio.sleep(1.0)
            operator.configure()
        return count_late_sends(replicas[0], since)

    results = {path: run_scenario_on_path(path, scenario) for path in PATHS}
    assert all(late == 0 and served > 0.99 for late, served in results.values()), results


# Guards against requests to a replica whose record is removed after the revisions went back.
@pytest.mark.parametrize("path", PATHS)
def test_a_replica_whose_record_is_removed_after_a_restore_gets_no_requests(path):
    async def scenario(fleet, replicas):
        await restore(fleet)
        await asyncio.sleep(CONVERGED_S)
        fleet.store.remove(f"servers/{replicas[0].id}")
        since = now()
        await asyncio.sleep(DURATION_S)
        return count_late_sends(replicas[0], since)

    assert_gets_no_requests(path, scenario)


# Guards against requests to a replica that left in the seconds that the store has lost: its record
# in the snapshot still says that it is ready.
@pytest.mark.parametrize("path", PATHS)
def test_a_replica_that_left_in_the_lost_seconds_gets_no_requests(path):
    async def scenario(fleet, replicas):
        async def start_leaving():
            await replicas[0].write_record("draining")
            start_leaving.at = now()

        await restore(fleet, start_leaving)
        await asyncio.sleep(CONVERGED_S)
        await replicas[0].write_record("draining")
        await asyncio.sleep(DURATION_S)
        return count_late_sends(replicas[0], start_leaving.at)

    assert_gets_no_requests(path, scenario)


# Guards against requests to a removed replica that the snapshot lists until its record expires.
@pytest.mark.parametrize("path", PATHS)
def test_a_replica_removed_in_the_lost_seconds_gets_no_requests(path):
    async def scenario(fleet, replicas):
        key = f"servers/{replicas[0].id}"

        async def remove_record():
            fleet.store.remove(key)
            remove_record.at = now()

        await restore(fleet, remove_record)
        await asyncio.sleep(RECORD_TIMEOUT_S)
        fleet.store.remove(key)
        await asyncio.sleep(DURATION_S - RECORD_TIMEOUT_S)
        return count_late_sends(replicas[0], remove_record.at)

    assert_gets_no_requests(path, scenario)


# Guards against new replicas that get no requests after the store's revisions went back.
@pytest.mark.parametrize("path", PATHS)
def test_a_replica_that_registers_after_a_restore_gets_requests(path):
    async def scenario(fleet, replicas):
        await restore(fleet)
        await asyncio.sleep(CONVERGED_S)
        service = replicas[0].service
        new = await fleet.add_replica("new", service, "a", service == "model")
        since = now()
        await asyncio.sleep(DURATION_S)
        return new.seen[0].at - since if new.seen else None

    assert_gets_requests(path, scenario)


# Guards against a replica that restarts under its id and gets no requests after a restore.
@pytest.mark.parametrize("path", PATHS)
def test_a_replica_that_restarts_after_a_restore_gets_requests(path):
    async def scenario(fleet, replicas):
        async def start_leaving():
            await replicas[0].write_record("draining")

        await restore(fleet, start_leaving)
        await asyncio.sleep(CONVERGED_S)
        replicas[0].born += 1000
        await replicas[0].write_record("ready")
        since = now()
        await asyncio.sleep(DURATION_S)
        return seconds_until_first_request(replicas[0], since)

    assert_gets_requests(path, scenario)


# Guards against a live replica that only the snapshot lists and that never gets requests again.
def test_a_live_replica_whose_record_expired_gets_requests_again():
    async def scenario(fleet, replicas):
        async def expire_record():
            fleet.store.remove(f"servers/{replicas[0].id}")

        await restore(fleet, expire_record)
        since = now()
        await asyncio.sleep(2 * DURATION_S)
        return seconds_until_first_request(replicas[0], since)

    first, _ = run_scenario_on_path("/find/1", scenario)
    assert first is not None and RECORD_TIMEOUT_S < first < 2 * RECORD_TIMEOUT_S, first


# Guards against nodes that start after a restore and receive the outdated state of their peers.
def test_nodes_that_start_during_a_restore_follow_the_restored_store():
    async def scenario(fleet, replicas):
        await restore(fleet)
        for node in (1, 4):
            await fleet.kill_node(node)
            fleet.start_node(node, first_start=False)
        await asyncio.sleep(CONVERGED_S)
        await replicas[0].write_record("draining")
        since = now()
        await asyncio.sleep(DURATION_S)
        states = [node.catalog.state for node in fleet.nodes]
        return count_late_sends(replicas[0], since), {
            (each.epoch, each.replicas_revision) for each in states
        }

    (late, positions), _ = run_scenario_on_path("/find/1", scenario)
    assert late == 0, late
    assert len(positions) == 1, positions


# Guards against a node that starts after a restore and learns of a leaving replica only from the
# snapshot, which says that the replica is ready.
def test_a_node_that_starts_after_a_restore_learns_who_left_in_the_lost_seconds():
    async def scenario(fleet, replicas):
        async def start_leaving():
            await replicas[0].write_record("draining")
            start_leaving.at = now()

        await restore(fleet, start_leaving)
        await asyncio.sleep(CONVERGED_S)
        for node in (1, 4):
            await fleet.kill_node(node)
            fleet.start_node(node, first_start=False)
        await asyncio.sleep(DURATION_S)
        return count_late_sends(replicas[0], start_leaving.at)

    late, _ = run_scenario_on_path("/find/1", scenario)
    assert late == 0, late


ORDER_KEY, STATUS_KEY = "op/rollout/model", "status/rollout/model"
ROLLOUT_ORDER = json.dumps({"to-version": "v2", "over-s": 30.0}).encode()


# Guards against a trial that begins anew, and a rollout status that is never written again, after a
# restore.
def test_a_rollout_order_of_the_lost_seconds_continues_and_its_status_is_rewritten():
    async def scenario(fleet, replicas):
        for each in replicas[:3]:
            each.version = "v2"
            await each.write_record("ready")
        await asyncio.sleep(1.0)

        def read_rollouts():
            return [node.rollouts._rollouts["model"] for node in fleet.nodes]

        async def write_order():
            fleet.store.put(ORDER_KEY, ROLLOUT_ORDER)
            await asyncio.sleep(2.0)
            assert STATUS_KEY in fleet.store.items
            write_order.rollouts = read_rollouts()

        await restore(fleet, write_order)
        assert STATUS_KEY not in fleet.store.items
        await asyncio.sleep(CONVERGED_S)
        rollouts_kept = read_rollouts() == write_order.rollouts
        fleet.store.put(ORDER_KEY, ROLLOUT_ORDER)
        await asyncio.sleep(2.0)
        return (
            rollouts_kept and read_rollouts() == write_order.rollouts,
            STATUS_KEY in fleet.store.items,
        )

    result, _ = run_scenario_on_path("/chat/1", scenario)
    assert result == (True, True)
