"""
tests.test_failing_loops

Guards against a fault in one loop of a node that ended its process, with all requests in progress.
"""

import asyncio
import json
import math
from unittest import mock

import pytest
from chalkyoke.exceptions import InvariantBroken
from chalkyoke_fakes.platformfleet import default_configuration

from tests.gatewayfleet import run_check

# What each loop of a node calls.
CALLS = {
    "heartbeats": "chalkyoke.membership.view.MembershipView.due_messages",
    "members": "chalkyoke.membership.view.MembershipView.tick",
    "links": "chalkyoke.links.peers.Links.keep_alive",
    "silent paths": "chalkyoke.tunnels.dialer.FleetDialer.check_silent",
    "conflicts": "chalkyoke.catalog.state.CatalogState.resolve_conflicts",
    "housekeeping": "chalkyoke.gateway.grants.Grants.send_progress",
    "quota windows": "chalkyoke.quotas.client.QuotaClient.replicate_windows",
    "roll-outs": "chalkyoke.node.rollouts.Rollouts.tick",
    "pools": "chalkyoke.node.schedulers.SchedulerHost.tick",
    "store listing": "chalkyoke.catalog.keeper.CatalogSynchronizer.on_listing",
    "store changes": "chalkyoke.catalog.keeper.CatalogSynchronizer.on_changes",
    "registration": "chalkyoke.node.registration.Registration._renew",
    "held records": "chalkyoke.quarantine.heldrecords.HeldRecords._write",
    "quota snapshots": "chalkyoke.node.quotasnapshots.QuotaSnapshots._due_calls",
}


class Failure:
    """Makes a method raise.

    :ivar left: how many of its next calls raise.
    """

    def __init__(self, target):
        owner_path, _, self._name = target.rpartition(".")
        module, _, name = owner_path.rpartition(".")
        self._owner = getattr(__import__(module, fromlist=[name]), name)
        self._original = getattr(self._owner, self._name)
        self.left = 0
        self.raised = 0

    def patch(self):
        failure, original = self, self._original

        def call(*arguments, **named):
            if failure.left > 0:
                failure.left -= 1
                failure.raised += 1
                raise LookupError("planted")
            return original(*arguments, **named)

        return mock.patch.object(self._owner, self._name, call)


class Calls(Failure):
    """Counts the calls of a method."""

    calls = 0

    def patch(self):
        counter, original = self, self._original

        def call(*arguments, **named):
            counter.calls += 1
            return original(*arguments, **named)

        return mock.patch.object(self._owner, self._name, call)


@pytest.mark.parametrize("loop", CALLS)
def test_a_node_goes_on_when_one_of_its_loops_fails(loop):
    failure = Failure(CALLS[loop])

    async def check(fleet):
        for each in fleet.models:
            each.faults.event_s = 0.5
        document = default_configuration(2)
        document["tenants"][0] |= {"rate-per-s": 1000, "burst": 10}
        fleet.store.put("op/config", json.dumps(document).encode())
        in_progress = asyncio.ensure_future(fleet.send_request(0, "/chat/1", until_whole=True))
        await asyncio.sleep(0.5)
        failure.left = 3
        if loop == "store listing":
            fleet.store.silence_connections()
        fleet.nodes[0].held_records.queue_record(b"\x01" * 8)
        fleet.store.put("servers/other", b"{}")
        if loop == "store listing":
            fleet.store.forget_history()
        assert (await fleet.send_request(0, "/book/1")).status == 200
        await asyncio.sleep(25.0 if loop == "registration" else 8.0)
        assert failure.raised, "the loop was not called"
        assert not any(each.done() for each in fleet._tasks), "a node has ended"
        answer = await in_progress
        assert answer.status == 200 and answer.whole
        assert (await fleet.send_request(0, "/book/1")).status == 200
        faults = sum(each.metrics.counter_value("faults") for each in fleet.nodes)
        assert faults == failure.raised

    with failure.patch():
        limits = {"retry_slack": 1000.0, "quota_snapshots": True}
        run_check(check, may_fault=True, domains=("a", "b"), replicas=2, limits=limits)


def test_a_step_of_the_housekeeping_that_always_fails_keeps_no_other_from_its_turn():
    """Guards against state that was never dropped, as a step before it failed."""

    async def check(fleet):
        failure.left = math.inf
        await asyncio.sleep(1.5)
        last.calls = 0
        await asyncio.sleep(5.0)
        assert failure.raised >= 5 * len(fleet.nodes)
        assert last.calls >= 5 * len(fleet.nodes)

    failure = Failure("chalkyoke.gateway.grants.Grants.send_progress")
    last = Calls("chalkyoke.resumption.finder.OriginFinder.drop_expired")
    with failure.patch(), last.patch():
        run_check(check, may_fault=True, domains=("a", "b"), replicas=2)


def test_a_broken_invariant_in_a_loop_ends_the_node():
    async def check(fleet):
        node = fleet.nodes[0]
        broken = mock.Mock(side_effect=InvariantBroken("planted"))
        node._supervisor.repeat("planted", 0.1, broken)
        with pytest.raises(InvariantBroken):
            await fleet._tasks[0]

    run_check(check, domains=("a", "b"), replicas=2)
