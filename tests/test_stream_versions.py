"""
tests.test_stream_versions

Guards against a failure of services whose replicas run several software versions side by side:
streams went on at another version than the one that began them, so that callers got events that do
not fit together.
"""

import asyncio
import random
import re
from collections import Counter

from tests.gatewayfleet import run_check

DOMAINS = ("a", "a", "a", "b", "b", "c", "c")
# Four replicas of the first version and of the second, two of the third.
VERSIONS = ("v1", "v1.1", "v1", "v1.1", "v1.2")
REPLICAS = 10
EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+ of (\S+)\n\n")
STREAMS = 200
MEAN_PAUSE_S = 0.02


def events_of(body):
    """Return (number, version) of each whole event in an answer."""
    return [(int(number), version.decode()) for number, version in EVENT.findall(body)]


def break_streams(replicas, share, rng):
    """Let a share of the streams break off within an event, some events after their start."""
    for each in replicas:
        each.faults.break_streams = 1 if rng.random() < share else 0
        each.faults.break_after = rng.randrange(1, 5)


async def run_streams(fleet, count, send):
    """Begin streams one after the other, and wait for the end of all.

    :param send: coroutine function that plays one caller; gets the number of its stream.
    """
    rng = random.Random(64)
    tasks = []
    for number in range(count):
        break_streams(fleet.models, 0.5, rng)
        tasks.append(asyncio.ensure_future(send(number)))
        await asyncio.sleep(rng.expovariate(1 / MEAN_PAUSE_S))
    return await asyncio.gather(*tasks)


def test_a_broken_stream_goes_on_at_the_version_that_began_it():
    async def check(fleet):
        async def send(number):
            node = number % len(DOMAINS)
            body = f"stream {number}".encode()
            return await fleet.send_request(node, "/explain/1", body, until_whole=True)

        answers = await run_streams(fleet, STREAMS, send)
        runs = Counter()
        for replica in fleet.models:
            runs.update(replica.runs)
        resumed = [each for each in answers if runs[each.request] > 1]
        assert len(resumed) >= STREAMS / 10
        mixed = [each for each in resumed if len({v for _, v in events_of(each.body)}) > 1]
        assert not mixed, f"{len(mixed)} of {len(resumed)} resumed streams have two versions"
        went_on = sum(each.whole for each in resumed) / len(resumed)
        begun = sum(each.status == 200 for each in answers) / len(answers)
        assert went_on >= begun / 2, (went_on, begun)

    run_check(check, domains=DOMAINS, replicas=REPLICAS, versions=VERSIONS)
