"""
tests.test_resting_upstreams

The completions API has the same question as the gateway: an upstream that turns a request away with
a time of rest must be left alone by that process. Before, the time was told to the caller only.
"""

import asyncio
from collections import defaultdict

from tests.rests import MAX_REQUESTS_IN_RETRY_AFTER, most_in_rest
from tests.virtual import run
from tests.world import World

REST_S = 10.0
PLAYED_S = 12.0


async def play_requests(world):
    """Ask at all processes in turn, 80 times a second."""
    calls = []
    for number in range(int(PLAYED_S * 80)):
        request = world.make_request(number, False)
        node = world.nodes[f"h{number % 6}"]
        calls.append(asyncio.ensure_future(world.send(node, request, None, "")))
        await asyncio.sleep(0.0125)
    await asyncio.gather(*calls, return_exceptions=True)


def rests_of(upstreams):
    turned_away = defaultdict(list)
    for upstream in upstreams:
        for process, at in upstream.turned_away:
            turned_away[upstream.id, process].append(at)
    return most_in_rest(turned_away, REST_S)


def test_an_upstream_that_wants_rest_is_left_alone_by_the_process_that_it_told():
    async def main():
        world = World(1, chaos=0.0)
        await asyncio.sleep(2.0)
        resting = [world.upstreams[name] for name in ("e0", "e1", "e2", "e3", "p0", "p1")]
        for upstream in resting:
            upstream.rest_s = REST_S
        await play_requests(world)
        return resting

    resting = run(main)
    assert any(each.turned_away for each in resting)
    assert rests_of(resting) <= MAX_REQUESTS_IN_RETRY_AFTER
