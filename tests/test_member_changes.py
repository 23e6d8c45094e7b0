"""
tests.test_member_changes

Guards against changes of the membership that were lost because the handling of another one failed:
the view had applied them and reported them no more.
"""

import asyncio

from tests.gatewayfleet import run_check
from tests.test_failing_loops import Calls, Failure

# Time in which the other nodes find that nodes have ended, in seconds.
NOTICE_S = 8.0


def test_each_member_that_left_is_handled_when_the_handling_of_another_fails():
    """Guards against tunnels and slots of a host that had left, kept for good."""
    failure = Failure("chalkyoke.node.schedulers.SchedulerHost.member_left")
    handled = Calls("chalkyoke.tunnels.server.TunnelServer.member_left")

    async def check(fleet):
        failure.left = 2
        await asyncio.gather(fleet.crash_node(2), fleet.crash_node(3))
        await asyncio.sleep(NOTICE_S)
        assert failure.raised == 2
        # Two nodes handle two members each.
        assert handled.calls == 4
        assert (await fleet.send_request(0, "/book/1")).status == 200
        assert sum(each.metrics.counter_value("faults") for each in fleet.nodes) == failure.raised

    with failure.patch(), handled.patch():
        run_check(check, may_fault=True, domains=("a", "b", "c", "d"), replicas=2)
