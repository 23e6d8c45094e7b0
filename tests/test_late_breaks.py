"""
tests.test_late_breaks

Guards against streams that were cut off because they broke long after their first event: their
scheduler refused another replica, as if their callers had waited for a first event until then.
"""

import asyncio

from chalkyoke_fakes.replica import EVENTS_PER_STREAM, read_events

from tests.gatewayfleet import run_check

NODES = range(5)
EVENT_S = 0.7
# Events before the break: their time is longer than a caller waits for a first event (4 s).
EVENTS_BEFORE = 6


def test_a_stream_that_breaks_long_after_its_first_event_goes_on_at_another_replica():
    async def check(fleet):
        for each in fleet.models:
            each.faults.event_s = EVENT_S
            each.faults.break_streams = 1
            each.faults.break_after = EVENTS_BEFORE
        asked = [fleet.send_request(node, "/explain/1", until_whole=True) for node in NODES]
        answers = await asyncio.gather(*asked)
        assert sum(each.faults.break_streams == 0 for each in fleet.models) == len(answers)
        for each in answers:
            numbers = [number for number, _ in read_events(each.body)]
            assert (each.status, each.whole, numbers) == (200, True, [*range(EVENTS_PER_STREAM)])

    run_check(check, domains=("a", "a", "b", "b", "c"))
