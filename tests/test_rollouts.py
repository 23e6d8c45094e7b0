"""
tests.test_rollouts

Orders to move a service to another version, over real sockets: gateway nodes as processes, before
the stand-ins of the platform's store and replicas. The stand-in's operator acts as the users' does:
new replicas start beside the old ones, which end at once, without a word, when the order is done.
"""

import asyncio
import itertools
import tempfile
import time
from pathlib import Path

from chalkyoke_fakes.platformfleet import PlatformFleet

SHARE, SLACK = 0.3, 60
OVER_S = 6.0
ENDS = ("completed", "rolled_back")


def with_fleet(check):
    async def main():
        with tempfile.TemporaryDirectory(prefix="chalkyoke-test-") as folder:
            fleet = PlatformFleet(Path(folder))
            fleet.limits |= {"canary_share": SHARE, "canary_slack": SLACK}
            async with fleet:
                await check(fleet)

    asyncio.run(main())


def decisions(fleet):
    """Give what the leader logged of its decisions, to tell why an order ended as it did."""
    logs = "".join(path.read_text() for path in sorted(fleet.folder.glob("*.log")))
    return "\n".join(line for line in logs.splitlines() if '"event":"decided"' in line)


class Callers:
    """Ask for look-ups and bookings at all nodes, some at a time, until told to stop."""

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


async def order(fleet, fail_each=0):
    """Order version 2 of the seat service, and start its replicas."""
    await fleet.order_rollout("seats", "v2", OVER_S)
    new = [
        await fleet.add_replica(f"t{number}", "seats", zone, version="v2")
        for number, zone in enumerate(("a", "b", "c"))
    ]
    for replica in new:
        replica.faults.fail_each = fail_each
    return new


def runs(replicas):
    return sum(each.runs.total() for each in replicas)


def runs_within(replicas, since, until):
    return sum(since <= seen.at <= until for each in replicas for seen in each.seen)


def test_a_good_version_takes_over_by_its_deadline_and_nothing_is_cut_off():
    async def check(fleet):
        callers = Callers(fleet)
        asking = asyncio.create_task(callers.run())
        await asyncio.sleep(0.5)
        old = [each for each in fleet.replicas.values() if each.service == "seats"]
        ordered = time.monotonic()
        new = await order(fleet)
        await fleet.wait_until(lambda: fleet.rollout_state("seats") == "running", "an answer")
        await fleet.wait_until(lambda: fleet.rollout_state("seats") in ENDS, "the end")
        assert fleet.rollout_state("seats") == "completed", decisions(fleet)
        # The bound holds until the deadline; a good version gets everything from there on.
        window = (ordered, ordered + OVER_S)
        exposed = runs_within(new, *window)
        assert exposed <= SHARE * (runs_within(old, *window) + exposed) + SLACK
        for replica in old:
            await replica.crash()
            await fleet.store.remove(f"servers/{replica.id}")
        ended = len(callers.statuses)
        await fleet.wait_until(lambda: len(callers.statuses) > ended + 100, "more answers")
        callers.stopped = True
        await asking
        assert set(callers.statuses) == {200}

    with_fleet(check)


def test_a_bad_version_is_rolled_back_and_left():
    async def check(fleet):
        callers = Callers(fleet)
        asking = asyncio.create_task(callers.run())
        await asyncio.sleep(0.5)
        new = await order(fleet, fail_each=2)
        await fleet.wait_until(lambda: fleet.rollout_state("seats") == "rolled_back", "the end")
        assert runs(new) <= SLACK + SHARE * len(callers.statuses)
        await asyncio.sleep(0.3)
        left, ended = runs(new), len(callers.statuses)
        await fleet.wait_until(lambda: len(callers.statuses) > ended + 100, "more answers")
        callers.stopped = True
        await asking
        assert runs(new) == left
        assert set(callers.statuses[ended:]) == {200}

    with_fleet(check)


def test_orders_that_make_no_sense_change_nothing():
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
