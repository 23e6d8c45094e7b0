"""
tests.test_stream_versions

Guards against a failure of services whose replicas run several software versions side by side:
streams went on at another version than the one that began them, so that callers got events that do
not fit together.
"""

import asyncio
import random
from collections import Counter

from chalkyoke_fakes.replica import read_events

from tests.gatewayfleet import run_check
from tests.streamcallers import check_streams, run_streams, share, take_stream

DOMAINS = ("a", "a", "a", "b", "b", "c", "c")
# Four replicas of the first version and of the second, two of the third.
VERSIONS = ("v1", "v1.1", "v1", "v1.1", "v1.2")
REPLICAS = 10
STREAMS = 200
MEAN_PAUSE_S = 0.02
EVENT_S = 0.04
# A stream takes 0.32 s of one of 40 slots, which bear one each 8 ms.
OVERLOAD_PAUSE_S = 0.004


def test_a_broken_stream_goes_on_at_the_version_that_began_it():
    async def check(fleet):
        async def send(number):
            node = number % len(DOMAINS)
            body = f"stream {number}".encode()
            return await fleet.send_request(node, "/explain/1", body, until_whole=True)

        answers = await run_streams(fleet, STREAMS, MEAN_PAUSE_S, 0.5, send)
        runs = Counter()
        for replica in fleet.models:
            runs.update(replica.runs)
        resumed = [each for each in answers if runs[each.request] > 1]
        assert len(resumed) >= STREAMS / 10
        mixed = [each for each in resumed if len({v for _, v in read_events(each.body)}) > 1]
        assert not mixed, f"{len(mixed)} of {len(resumed)} resumed streams have two versions"
        went_on = share([each.whole for each in resumed])
        begun = share([each.status == 200 for each in answers])
        assert went_on >= begun / 2, (went_on, begun)

    run_check(check, domains=DOMAINS, replicas=REPLICAS, versions=VERSIONS)


def test_a_stream_taken_up_at_another_host_goes_on_at_the_version_that_began_it():
    """Also while the hosts that began the streams are killed, one or two at a time."""

    async def check(fleet):
        rng = random.Random(65)
        down = set()
        for each in fleet.models:
            each.faults.event_s = EVENT_S

        async def crash_nodes():
            while True:
                await asyncio.sleep(0.7)
                crashed = rng.sample(range(len(DOMAINS)), rng.randrange(1, 3))
                down.update(crashed)
                for each in crashed:
                    await fleet.crash_node(each)
                await asyncio.sleep(0.7)
                for each in crashed:
                    fleet.start_node(each, first_start=False)
                await asyncio.sleep(1.0)
                down.clear()

        def choose_node(_):
            return rng.choice([each for each in range(len(DOMAINS)) if each not in down])

        crashing = asyncio.ensure_future(crash_nodes())
        streams = await run_streams(
            fleet,
            STREAMS,
            2 * MEAN_PAUSE_S,
            0.2,
            lambda number: take_stream(fleet, choose_node, f"stream {number}".encode()),
        )
        crashing.cancel()
        check_streams(streams)

    run_check(check, domains=DOMAINS, replicas=REPLICAS, versions=VERSIONS)


def test_streams_that_are_taken_up_go_on_while_more_streams_begin_than_engines_serve():
    """Guards against streams that waited behind all new requests, and were shed for it."""

    async def check(fleet):
        rng = random.Random(67)
        for each in fleet.models:
            each.faults.event_s = EVENT_S
        streams = await run_streams(
            fleet,
            2 * STREAMS,
            OVERLOAD_PAUSE_S,
            0.3,
            lambda number: take_stream(
                fleet, lambda _: rng.randrange(len(DOMAINS)), f"stream {number}".encode()
            ),
        )
        began, _ = check_streams(streams)
        assert began < 0.9, "the engines are not overloaded"

    run_check(check, domains=DOMAINS, replicas=REPLICAS, versions=VERSIONS)


def test_a_host_that_is_cut_off_does_not_resume_a_stream_at_a_version_that_it_only_assumes():
    """Another version starts where the host cannot know of it, and begins the stream."""

    async def check(fleet):
        others = range(1, len(DOMAINS))
        # Long enough that all hosts know how long the service has run a single version.
        await asyncio.sleep(20.0)
        unknown = (("Last-Event-Id", 3), ("Resumes", "of a host that is gone"))
        answer = await fleet.send_request(2, "/explain/1", until_whole=True, headers=unknown)
        assert answer.status == 200 and read_events(answer.body)[0] == (4, "v1")

        fleet.store.silent_hosts.add("n0")
        # A watch of the store that was pending then may still be answered.
        await asyncio.sleep(5.0)
        fleet.cut_links([0], others)
        for each in fleet.models:
            await each.write_record("draining")
        fleet.models += [
            await fleet.add_replica(f"m9{n}", "model", "b", True, "v1.2") for n in range(4)
        ]
        await asyncio.sleep(0.2)
        rng = random.Random(66)

        def choose_node(stream):
            return rng.choice(others) if not stream.events else 0

        streams = await run_streams(
            fleet,
            STREAMS // 4,
            MEAN_PAUSE_S,
            1.0,
            lambda number: take_stream(fleet, choose_node, f"stream {number}".encode()),
        )
        assert sum("v1.2" in each.versions for each in streams) >= 10
        assert sum(len(each.tries) > 1 for each in streams) >= 10
        assert not any(len(each.versions) > 1 for each in streams)

    run_check(check, domains=DOMAINS)
