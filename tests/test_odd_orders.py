"""
tests.test_odd_orders

Guards against an odd entry over a roll-out's order or status that starts the trial of a version
anew: after a roll-back, requests went to the bad version again.
"""

import asyncio
import json

import pytest
from chalkyoke.platform.documents import read_record
from chalkyoke_fakes.replica import FIRST_VERSION
from result import Ok

from tests.gatewayfleet import run_check
from tests.odddata import nest
from tests.test_odd_entries import Callers, assert_alive, assert_served

ORDER_KEY, STATUS_KEY = "op/rollout/seats", "status/rollout/seats"
BAD_VERSION = "v2"
OVER_S = 10.0
ODD_VALUES = {
    "deep": nest(100_000).encode(),
    "not_utf8": b"\xff",
    "number": json.dumps({"to-version": 10**30, "over-s": OVER_S, "state": "running"}).encode(),
}


def read_status(fleet):
    item = fleet.store.items.get(STATUS_KEY)
    read = read_record(item) if item else None
    return str(read.ok_value.state) if isinstance(read, Ok) else None


async def roll_back_bad_version(fleet):
    """Order a version that fails each request, and wait until it is rolled back."""
    bad = [
        await fleet.add_replica(f"bad{number}", "seats", "a", False, BAD_VERSION)
        for number in range(2)
    ]
    for replica in bad:
        replica.faults.fail_each = 1
    fleet.store.put(ORDER_KEY, json.dumps({"to-version": BAD_VERSION, "over-s": OVER_S}).encode())
    for _ in range(100):
        await asyncio.sleep(0.2)
        if read_status(fleet) == "rolled_back":
            await asyncio.sleep(1.0)
            return bad
    raise AssertionError("the bad version was not rolled back")


@pytest.mark.parametrize("key", [ORDER_KEY, STATUS_KEY])
@pytest.mark.parametrize("odd", ODD_VALUES)
def test_a_bad_version_gets_no_requests_again_beside_an_odd_entry(key, odd):
    async def check(fleet):
        callers = Callers(fleet)
        bad = await roll_back_bad_version(fleet)
        before = sum(each.runs.total() for each in bad)
        writes = sum(change.key == STATUS_KEY for _, change in fleet.store.acknowledged)
        calls = len(fleet.status_writes)
        fleet.store.put(key, ODD_VALUES[odd])
        asked = len(callers.answers)
        await asyncio.sleep(6.0)
        assert_alive(fleet, odd)
        assert sum(each.runs.total() for each in bad) == before
        got = callers.answers[asked:]
        assert len(got) > 100 and all(each.status == 200 for each in got)
        if key == STATUS_KEY:
            # The status is the system's to write, so that nodes that start later know the end.
            assert read_status(fleet) == "rolled_back"
        assert len(fleet.status_writes) - calls <= 2, "one status takes one write"
        assert sum(change.key == STATUS_KEY for _, change in fleet.store.acknowledged) <= writes + 2
        await callers.stop()

    run_check(check, domains=("a", "a", "b", "b"), versions=(FIRST_VERSION,))


# Guards against an odd entry over a running order that withdraws it.
@pytest.mark.parametrize("odd", ODD_VALUES)
def test_a_roll_out_goes_on_beside_an_odd_order(odd):
    async def check(fleet):
        callers = Callers(fleet)
        new = [
            await fleet.add_replica(f"new{number}", "seats", "a", False, "v2")
            for number in range(3)
        ]
        order = json.dumps({"to-version": "v2", "over-s": OVER_S}).encode()
        fleet.store.put(ORDER_KEY, order)
        await asyncio.sleep(2.0)
        assert read_status(fleet) == "running"
        fleet.store.put(ORDER_KEY, ODD_VALUES[odd])
        await asyncio.sleep(OVER_S)
        assert_alive(fleet, odd)
        assert read_status(fleet) == "completed"
        assert_served(await callers.stop())
        before = sum(each.runs.total() for each in fleet.seats)
        got = [await fleet.send_request(node, "/book/1", until_whole=True) for node in range(4)]
        assert_served(got)
        assert sum(each.runs.total() for each in fleet.seats) == before
        assert sum(each.runs.total() for each in new) > 4

    limits = {"retry_slack": 1000.0, "canary_share": 0.3, "canary_slack": 60}
    run_check(check, domains=("a", "a", "b", "b"), limits=limits)
