"""
tests.test_brittle_replicas

Guards against a failure of replicas that state in their answers that they fall over if they reject
more than a number of requests a second: hosts that choose alone filled them together, and the load
of each replica that fell over made the next one fall over.
"""

import asyncio
import random

from tests.gatewayfleet import run_check

DOMAINS = ("a", "a", "a", "b", "b", "c", "c")
REPLICAS = 3
SLOTS = 4
WORK_S = 0.2
MAX_REJECTIONS_PER_S = 5
BACK_AFTER_S = 2.0
# Nearly twice what the slots take.
REQUESTS_PER_S = 110
LEARN_S = 3.0
BRITTLE_S = 10.0
# The operators' bound on the replicas that fall over in one brittle period.
MAX_EXITS = 2 + REPLICAS / 10
# Share of what the slots take that has to be served meanwhile.
MIN_SERVED_SHARE = 0.7


async def send_at_rate(fleet, seconds, route):
    """Send different requests at a steady rate to random nodes, and return the answers."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    rng = random.Random(61)
    sent = []
    while loop.time() < until:
        node = rng.randrange(len(DOMAINS))
        path = f"/{route}/{loop.time()}"
        sent.append(asyncio.ensure_future(fleet.send_request(node, path, until_whole=True)))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    return await asyncio.gather(*sent)


def play_overload(route):
    """Send more requests than the replicas take, which become brittle meanwhile.

    :return: how often the replicas fell over, and the share of their capacity that was served.
    """
    found = []

    async def check(fleet):
        for each in fleet.seats:
            each.faults.work_s, each.faults.queue = WORK_S, SLOTS
            each.faults.back_after_s = BACK_AFTER_S
        await send_at_rate(fleet, 3.0, route)
        for each in fleet.seats:
            each.faults.brittle = 1_000
        await send_at_rate(fleet, LEARN_S, route)
        for each in fleet.seats:
            each.rejected.clear()
            each.faults.brittle, each.faults.queue = MAX_REJECTIONS_PER_S, 1
        got = await send_at_rate(fleet, BRITTLE_S, route)
        capacity = REPLICAS * SLOTS / WORK_S * BRITTLE_S
        found.append(sum(len(each.exit_times) for each in fleet.seats))
        found.append(round(sum(each.status == 200 for each in got) / capacity, 3))

    run_check(check, domains=DOMAINS, replicas=REPLICAS)
    return found


def test_brittle_replicas_stay_up_under_more_requests_than_they_take():
    found = {route: play_overload(route) for route in ("book", "find")}
    for exits, served in found.values():
        assert exits <= MAX_EXITS, found
        assert served >= MIN_SERVED_SHARE, found
