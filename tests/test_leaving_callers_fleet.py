"""
tests.test_leaving_callers_fleet

Guards against work that goes on for callers that have left, in a large fleet: requests that links
held up reached replicas later, also by way of other hosts.
"""

import asyncio
import itertools
import random

import pytest
from chalkyoke_fakes.leaving import Departure, encode_request, measure_abandoned_work

from tests.gatewayfleet import run_check
from tests.leavingcallers import EVENTS, LEAVES_AFTER_S, PATHS, WORK_S
from tests.memorynet import PartitionMode

HOSTS = 100
REPLICAS = 12
CALLERS = 150
REQUESTS_PER_S = 25.0
# Links hold all bytes up for a part of each period, in seconds.
HOLD_PERIOD_S = 2.5
HELD_S = 1.5


def all_replicas(fleet):
    return [*fleet.models, *fleet.seats]


async def leave_fleet(fleet, hosts):
    """Send requests whose callers leave."""
    rng, numbers = random.Random(71), itertools.count(1)

    async def leave():
        name = f"left{next(numbers)}"
        method = rng.choice(list(PATHS))
        _, writer = await asyncio.open_connection(f"10.1.0.{rng.choice(hosts) + 1}", 80)
        writer.write(encode_request(name, method, PATHS[method], b"{}"))
        await asyncio.sleep(LEAVES_AFTER_S)
        writer.transport.abort()
        return Departure((name,), asyncio.get_running_loop().time())

    leaving = []
    for _ in range(CALLERS):
        leaving.append(asyncio.ensure_future(leave()))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    departures = await asyncio.gather(*leaving)
    await asyncio.sleep(2 * WORK_S)
    return departures


async def hold_links(fleet, periods):
    """Hold up all bytes between hosts and replicas for a part of each period, until cancelled.

    :param periods: receives the begin and the end of each time.
    """
    loop = asyncio.get_running_loop()
    while True:
        held = fleet.hold_links_to_replicas()
        periods.append((loop.time(), loop.time() + HELD_S))
        await asyncio.sleep(HELD_S)
        fleet.net.release(held)
        await asyncio.sleep(HOLD_PERIOD_S - HELD_S)


def measure(*, held=False, cut_hosts=(), hosts=HOSTS, **faults):
    """Let callers leave a fleet, and return what replicas did for them.

    :param held: whether links between hosts and replicas hold up bytes.
    :param cut_hosts: hosts that have lost their paths to replicas, and are the only ones that
        callers use; empty for all hosts.
    :param faults: faults of all replicas.
    """
    found = []

    async def check(fleet):
        for replica in all_replicas(fleet):
            replica.faults.work_s, replica.faults.event_s = WORK_S, WORK_S / EVENTS
            for name, value in faults.items():
                setattr(replica.faults, name, value)
        if cut_hosts:
            fleet.cut_from_replicas(cut_hosts, all_replicas(fleet), PartitionMode.REFUSE_NEW)
            await asyncio.gather(
                *(fleet.send_request(each, "/find/1", method="GET") for each in cut_hosts)
            )
        periods = []
        holding = asyncio.ensure_future(hold_links(fleet, periods)) if held else None
        used = cut_hosts or range(hosts)
        departures = await leave_fleet(fleet, used)
        if holding is not None:
            holding.cancel()
        found.append(measure_abandoned_work(departures, all_replicas(fleet), periods))

    domains = tuple("abc"[number % 3] for number in range(hosts))
    run_check(check, domains=domains, replicas=REPLICAS)
    return found[0]


@pytest.mark.parametrize(
    "case",
    [
        {},
        {"held": True},
        {"ignores_fin": True, "event_s": WORK_S},
        {"held": True, "cut_hosts": (0, 1)},
    ],
    ids=["close", "held", "ignores-fin", "tunnels-held"],
)
def test_work_ends_with_the_connections_of_callers(case):
    found = measure(**case)
    assert found.requests == CALLERS
    assert found.is_allowed, found
    # The bound on work says nothing if hardly any request would have lasted so long.
    assert found.lasting >= CALLERS / 15
