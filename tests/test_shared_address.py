"""
tests.test_shared_address

Guards against two records with one address: a replica has ended, another serves at its address, and
the record of the first still exists. Each request for the first is answered 421 at once and does
not run.
"""

import asyncio
import json

import pytest

from tests.gatewayfleet import run_check
from tests.test_leaving_and_rest import (
    PATHS,
    WARM_UP_S,
    replicas_of_path,
    run_callers,
    served_share,
)

DURATION_S = 4.0


def write_stale_record(fleet, replica):
    record = json.loads(fleet.store.items[f"servers/{replica.id}"].value)
    fleet.store.put("servers/ghost", json.dumps({**record, "born": 1}).encode())


@pytest.mark.parametrize("path", PATHS)
def test_callers_are_served_despite_a_stale_record_for_the_same_address(path):
    async def check(fleet):
        replicas = replicas_of_path(fleet, path)
        await run_callers(fleet, path, WARM_UP_S)
        write_stale_record(fleet, replicas[0])
        await asyncio.sleep(0.3)
        before = len(replicas[0].seen)
        got = await run_callers(fleet, path, DURATION_S)
        assert served_share(got) >= 0.99
        # The live replica gets its share of the requests.
        assert len(replicas[0].seen) - before > len(got) / 20 or path in ("/chat/1", "/explain/1")
        # At plain services each node detects the stale record itself; a pool's scheduler detects it
        # for all nodes.
        assert 0 < replicas[0].misdirected <= 0.05 * len(got)

    run_check(check)
