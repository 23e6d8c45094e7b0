"""
tests.test_resting_upstreams

Guards against a process of the completions API that keeps sending requests to an upstream that has
declined one and requested a rest time, when the rest time reaches only the caller.
"""

import asyncio
from collections import defaultdict

from tests.rests import MAX_REQUESTS_IN_RETRY_AFTER, max_requests_in_rest
from tests.virtual import run
from tests.world import World

REST_S = 10.0
DURATION_S = 12.0


async def send_requests(world):
    """Send 80 requests per second, to each process in turn."""
    calls = []
    for number in range(int(DURATION_S * 80)):
        request = world.make_request(number, False)
        node = world.nodes[f"h{number % 6}"]
        calls.append(asyncio.ensure_future(world.send(node, request, None, "")))
        await asyncio.sleep(0.0125)
    await asyncio.gather(*calls, return_exceptions=True)


def max_requests_during_rest(upstreams):
    turned_away = defaultdict(list)
    for upstream in upstreams:
        for process, at in upstream.declined_at:
            turned_away[upstream.id, process].append(at)
    return max_requests_in_rest(turned_away, REST_S)


def test_a_process_pauses_requests_to_an_upstream_that_asked_it_for_rest():
    async def main():
        world = World(1, chaos=0.0)
        await asyncio.sleep(2.0)
        resting = [world.upstreams[name] for name in ("e0", "e1", "e2", "e3", "p0", "p1")]
        for upstream in resting:
            upstream.rest_s = REST_S
        await send_requests(world)
        return resting

    resting = run(main)
    assert any(each.declined_at for each in resting)
    assert max_requests_during_rest(resting) <= MAX_REQUESTS_IN_RETRY_AFTER
