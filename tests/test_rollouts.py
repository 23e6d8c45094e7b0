"""
tests.test_rollouts

Orders to roll a service out to another version, over real sockets: gateway nodes as processes, with
the platform's fake store and replicas. The fake operator acts like a real one: new replicas start
beside the old ones, which stop at once without notice when the order is done.
"""

import asyncio
import itertools
import tempfile
import time
from pathlib import Path

from chalkyoke_fakes.platformfleet import PlatformFleet

CANARY_SHARE, CANARY_SLACK_REQUESTS = 0.3, 60
OVER_S = 6.0
END_STATES = ("completed", "rolled_back")


def with_fleet(check):
    async def main():
        with tempfile.TemporaryDirectory(prefix="chalkyoke-test-") as folder:
            fleet = PlatformFleet(Path(folder))
            fleet.limits |= {"canary_share": CANARY_SHARE, "canary_slack": CANARY_SLACK_REQUESTS}
            async with fleet:
                await check(fleet)

    asyncio.run(main())


def read_decisions(fleet):
    """Return the decisions that the leader logged, to show why an order ended as it did."""
    logs = "".join(path.read_text() for path in sorted(fleet.folder.glob("*.log")))
    return "\n".join(line for line in logs.splitlines() if '"event":"decided"' in line)


class Callers:
    """Three callers per node that send look-ups and bookings until ``stopped`` is set."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.statuses = []
        self.stopped = False

    async def run(self):
        await asyncio.gather(*(self._ask(node) for node in self.fleet.nodes for _ in range(3)))

    async def _ask(self, node):
        for turn in itertools.count():
            if self.stopped:
                return
            path = "/find/1" if turn % 2 else "/book/1"
            got = await self.fleet.send_request(node, path)
            self.statuses.append(got.status)
            await asyncio.sleep(0.03)


async def order_version_two(fleet, fail_each=0):
    """Order version 2 of the seat service, and start its three replicas."""
    await fleet.order_rollout("seats", "v2", OVER_S)
    new = [
        await fleet.add_replica(f"t{number}", "seats", zone, version="v2")
        for number, zone in enumerate(("a", "b", "c"))
    ]
    for replica in new:
        replica.faults.fail_each = fail_each
    return new


def count_runs(replicas):
    return sum(each.runs.total() for each in replicas)


def count_runs_within(replicas, since, until):
    return sum(since <= seen.at <= until for each in replicas for seen in each.seen)


def test_a_good_version_takes_over_by_its_deadline_and_nothing_is_cut_off():
    async def check(fleet):
        callers = Callers(fleet)
        asking = asyncio.create_task(callers.run())
        await asyncio.sleep(0.5)
        old = [each for each in fleet.replicas.values() if each.service == "seats"]
        ordered = time.monotonic()
        new = await order_version_two(fleet)
        await fleet.wait_until(lambda: fleet.rollout_state("seats") == "running", "an answer")
        await fleet.wait_until(lambda: fleet.rollout_state("seats") in END_STATES, "the end")
        assert fleet.rollout_state("seats") == "completed", read_decisions(fleet)
        # The canary bound holds until the deadline; after it, a good version gets all requests.
        window = (ordered, ordered + OVER_S)
        exposed = count_runs_within(new, *window)
        assert (
            exposed
            <= CANARY_SHARE * (count_runs_within(old, *window) + exposed) + CANARY_SLACK_REQUESTS
        )
        for replica in old:
            await replica.crash()
            await fleet.store.remove(f"servers/{replica.id}")
        ended = len(callers.statuses)
        await fleet.wait_until(lambda: len(callers.statuses) > ended + 100, "more answers")
        callers.stopped = True
        await asking
        assert set(callers.statuses) == {200}

    with_fleet(check)


def test_a_bad_version_is_rolled_back_and_gets_no_more_requests():
    async def check(fleet):
        callers = Callers(fleet)
        asking = asyncio.create_task(callers.run())
        await asyncio.sleep(0.5)
        new = await order_version_two(fleet, fail_each=2)
        await fleet.wait_until(lambda: fleet.rollout_state("seats") == "rolled_back", "the end")
        assert count_runs(new) <= CANARY_SLACK_REQUESTS + CANARY_SHARE * len(callers.statuses)
        await asyncio.sleep(0.3)
        left, ended = count_runs(new), len(callers.statuses)
        await fleet.wait_until(lambda: len(callers.statuses) > ended + 100, "more answers")
        callers.stopped = True
        await asking
        assert count_runs(new) == left
        assert set(callers.statuses[ended:]) == {200}

    with_fleet(check)


def test_invalid_orders_change_nothing():
    async def check(fleet):
        await fleet.store.put("op/rollout/seats", b'{"to-version": ')
        await fleet.order_rollout("nobody", "v2", OVER_S)
        await fleet.order_rollout("model", "v1", 2.0)
        await fleet.wait_until(lambda: fleet.rollout_state("model") == "completed", "the end")
        await fleet.wait_until(lambda: fleet.rollout_state("nobody") == "rolled_back", "the end")
        for path in ("/find/1", "/chat/1"):
            assert (await fleet.send_request("n1", path)).status == 200
        assert fleet.rollout_state("seats") == ""

    with_fleet(check)
