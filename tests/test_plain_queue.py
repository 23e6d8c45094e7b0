"""
tests.test_plain_queue

Whole nodes before plain replicas with four slots and a queue of three: more callers than the slots,
the loss of the scheduler, and a failure domain that is cut off.
"""

import asyncio
import random

import pytest

from tests.gatewayfleet import run_check

WORK_S = 0.2
QUEUE = 3
CALLERS = 40
SECONDS = 6.0


async def run_callers(fleet, nodes, seconds=SECONDS):
    """Run callers of requests that may run once; return their answers."""
    loop = asyncio.get_running_loop()
    until, rng, got = loop.time() + seconds, random.Random(3), []

    async def call(number):
        await asyncio.sleep(0.5 * rng.random())
        while loop.time() < until:
            node = nodes[number % len(nodes)]
            got.append(await fleet.send_request(node, "/book/1", until_whole=True))
            number += 1
            await asyncio.sleep(0.1 * rng.random())

    await asyncio.gather(*(call(number) for number in range(CALLERS)))
    return got


def limit_slots(fleet):
    for each in fleet.seats:
        each.faults.work_s, each.faults.queue = WORK_S, QUEUE


def rejected_share(fleet, got):
    return sum(len(each.rejected) for each in fleet.seats) / len(got)


def assert_ran_once(fleet, got):
    runs = sum((each.runs for each in fleet.seats), start=type(fleet.seats[0].runs)())
    assert max(runs.values()) == 1, "at most once"
    for each in got:
        assert each.status != 200 or runs[each.request] == 1
        assert each.status != 503 or runs[each.request] == 0, "a refused request has not run"


def owner_of(fleet, service):
    process = fleet.nodes[0].scheduler_host.owner(service)
    return next(n for n, each in enumerate(fleet.nodes) if each.record.process == process)


@pytest.mark.parametrize(("choice", "most"), [("queued", 0.02), ("auto", 0.05)])
def test_more_callers_than_slots_are_queued_and_not_rejected_by_full_replicas(choice, most):
    """Guards against hosts that fill one replica while another is free: 40 callers, 24 slots."""

    async def check(fleet):
        limit_slots(fleet)
        got = await run_callers(fleet, range(6))
        assert rejected_share(fleet, got) < most
        assert sum(each.status == 200 for each in got) > 0.95 * len(got)
        assert_ran_once(fleet, got)

    run_check(check, scheduling={"plain_services": choice})


def test_the_loss_of_the_scheduler_midway_repeats_no_request_and_service_goes_on():
    async def check(fleet):
        limit_slots(fleet)
        owner = owner_of(fleet, "seats")
        others = [number for number in range(6) if number != owner]
        kill = asyncio.ensure_future(asyncio.sleep(2.0))
        kill.add_done_callback(lambda _: asyncio.ensure_future(fleet.kill_node(owner)))
        got = await run_callers(fleet, others)
        assert_ran_once(fleet, got)
        assert rejected_share(fleet, got) < 0.05
        assert sum(each.status == 200 for each in got) > 0.97 * len(got)

    run_check(check, scheduling={"plain_services": "queued"})


def test_a_service_with_little_use_asks_no_scheduler():
    async def check(fleet):
        got = [await fleet.send_request(n % 6, "/book/1", until_whole=True) for n in range(60)]
        assert all(each.status == 200 for each in got)
        assert all("seats" not in each.scheduler_host.pools for each in fleet.nodes)

    run_check(check, scheduling={"plain_services": "auto"})
