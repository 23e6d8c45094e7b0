"""
tests.test_silent_replicas

A sound replica may be silent for a second and go on. Its requests that must not be repeated are
answered, no path counts as lost, and the replica is used again.
"""

import asyncio

from tests.gatewayfleet import run_check
from tests.test_hosts_cut_from_replicas import check_promises, run_callers

NODES = range(4)
SILENCE_S = 1.2
# Time after the silence in which the replica is used again, in seconds.
BACK_S = 20.0


def test_a_replica_that_is_silent_for_a_second_costs_no_request_and_stays_in_use():
    async def check(fleet):
        loop = asyncio.get_running_loop()
        await run_callers(fleet, 2.0, NODES)
        silent = (fleet.models[0], fleet.seats[0])
        until = loop.time() + SILENCE_S
        for each in silent:
            each.faults.silent_until = until
        got = await run_callers(fleet, SILENCE_S, NODES)
        caught = [sum(seen.at >= until - SILENCE_S for seen in each.seen) for each in silent]
        assert min(caught) > 0
        got += await run_callers(fleet, BACK_S, NODES)
        check_promises(fleet, got)
        assert {(each.status, each.whole) for _, each in got} == {(200, True)}
        for node in fleet.nodes:
            assert not node.dialer.lost_paths and not node.quarantine._evidence.holds_any
        for each in silent:
            assert any(seen.at >= until for seen in each.seen)

    run_check(check, domains=("a", "a", "b", "b"))
