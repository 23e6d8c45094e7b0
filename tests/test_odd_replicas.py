"""
tests.test_odd_replicas

Guards against replica records with odd numbers that take work from a sound replica: each of them
named its address under an id of its own, so that requests were sent there in vain (421), and a
record with another number for its start ended the streams of the sound one.
"""

import asyncio
import json

import pytest

from tests.gatewayfleet import run_check
from tests.test_leaving_and_rest import WARM_UP_S, replicas_of_path, run_callers, served_share
from tests.test_odd_entries import assert_alive, encode_with

FIELDS = ("slots", "born", "seq", "cold-left-ms", "version", "state", "zone", "service")
LITERALS = (str(2**64), str(10**30), "1e400", "-1", "true", '""', "null")
WRITE_INTERVAL_S = 0.1
DURATION_S = 8.0
# Share of requests that may be sent to an address in vain: an odd record that names a usable
# version or zone is told from a sound one by its answers only.
MAX_MISDIRECTED_SHARE = 0.04


@pytest.mark.parametrize("own_key", [False, True])
@pytest.mark.parametrize("path", ["/chat/1", "/book/1"])
def test_odd_records_take_little_work_from_a_sound_replica(path, own_key):
    async def check(fleet):
        await run_callers(fleet, path, WARM_UP_S)
        sound = replicas_of_path(fleet, path)[0]
        key = f"servers/{sound.id}"
        record = json.loads(fleet.store.items[key].value)
        asking = asyncio.ensure_future(run_callers(fleet, path, DURATION_S))
        for field in FIELDS:
            for number, literal in enumerate(LITERALS):
                odd = encode_with(record, (field,), literal)
                fleet.store.put(key if own_key else f"servers/{field}-{number}", odd)
                await asyncio.sleep(WRITE_INTERVAL_S)
        got = await asking
        assert_alive(fleet, path)
        assert served_share(got) == 1.0
        assert sound.misdirected <= MAX_MISDIRECTED_SHARE * len(got)
        await sound.write_record("ready")
        await asyncio.sleep(0.5)
        assert all(key in node.catalog.state._items for node in fleet.nodes)
        assert not any(key in node.catalog.state.unreadable for node in fleet.nodes)

    run_check(check, domains=("a", "a", "b", "b"))
