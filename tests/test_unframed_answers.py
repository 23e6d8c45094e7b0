"""
tests.test_unframed_answers

Answers with neither a length nor chunks, which end with their connection: complete ones arrive
complete, and one that is broken off is never taken for complete.
"""

import asyncio

from chalkyoke_fakes.replica import read_events

from tests.gatewayfleet import run_check

EVENTS = 8


def send_unframed(fleet, **faults):
    for replica in (*fleet.models, *fleet.seats):
        replica.faults.unframed = True
        for name, value in faults.items():
            setattr(replica.faults, name, value)


async def send_to_all(fleet, paths, rounds=5):
    asked = (
        fleet.send_request(node, path, b"%d" % turn)
        for turn in range(rounds)
        for node in range(len(fleet.nodes))
        for path in paths
    )
    return await asyncio.gather(*asked)


def test_answers_that_end_with_their_connection_arrive_complete():
    async def check(fleet):
        send_unframed(fleet)
        got = await send_to_all(fleet, ("/chat/1", "/explain/1", "/find/1", "/book/1"))
        assert all((each.status, each.whole) == (200, True) for each in got)
        streams = [each for each in got if b"piece" in each.body]
        assert all(len(read_events(each.body)) == EVENTS for each in streams)
        assert len(streams) == len(got) / 2

    run_check(check)


def test_a_stream_that_ends_inside_an_event_is_never_said_to_be_complete():
    """Guards against the end of a connection that is taken for the end of a stream."""

    async def check(fleet):
        send_unframed(fleet, break_streams=1_000_000, break_after=3)
        got = await send_to_all(fleet, ("/chat/1",))
        assert [each.whole for each in got] == [False] * len(got)
        assert {len(read_events(each.body)) for each in got} == {3}
        resumed = await send_to_all(fleet, ("/explain/1",), rounds=1)
        for each in resumed:
            numbers = [number for number, _ in read_events(each.body)]
            assert numbers == list(range(len(numbers)))
            assert each.whole == (len(numbers) == EVENTS)

    run_check(check)
