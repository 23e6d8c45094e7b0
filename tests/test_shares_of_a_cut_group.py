"""
tests.test_shares_of_a_cut_group

Guards against limits of the whole fleet that each side of a network partition uses for itself.
"""

import asyncio
import json
from unittest import mock

import pytest
from chalkyoke_fakes.platformfleet import default_configuration

from tests import gatewayfleet
from tests.gatewayfleet import run_check
from tests.limits import max_allowed_requests, worst_windows
from tests.test_leaving_and_rest import replicas_of_path, run_callers
from tests.test_limits import LIMIT_PER_S, set_limits

PATH = "/find/1"
# Time after which the lost hosts are out of the membership view, in seconds.
VIEW_CHANGED_S = 6.0
# Time after which hosts that left on plan no longer count, in seconds.
LONG_CUT_S = 130.0
MAX_PLAY_S = 300.0
RATE_PER_S = 40.0
QUOTA_WINDOW_S = 8.0
QUOTA_OVER = 0.1
CALLERS_PER_NODE = 8
CALLERS_S = 16.0
CALLER_PAUSE_S = 0.15


def cut_off(fleet, group, *, store):
    """Cut a group of hosts off from the others, and from the store if ``store`` is set."""
    others = [each for each in range(len(fleet.domains)) if each not in group]
    fleet.cut_links(group, others)
    if store:
        names = {f"n{each}" for each in group}
        fleet.store.silent_hosts.update(names)
        fleet.store.silence_connections()
        # Their registrations expire with their leases.
        for key in [each for each in fleet.store.items if each.rpartition("/")[2] in names]:
            fleet.store.remove(key)


def max_in_window(times, window_s):
    return max(sum(at - window_s < each <= at for each in times) for at in times)


async def ask_for_more_than_the_quota(fleet):
    """Run callers at all nodes; return when the requests that were sent on arrived."""
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def call(node):
        while loop.time() < began + CALLERS_S:
            await fleet.send_request(node, PATH, until_whole=True)
            await asyncio.sleep(CALLER_PAUSE_S)

    nodes = range(len(fleet.domains))
    await asyncio.gather(*(call(node) for node in nodes for _ in range(CALLERS_PER_NODE)))
    return [seen.at for each in fleet.seats for seen in each.seen if seen.at >= began]


@pytest.mark.parametrize("store", [True, False], ids=["links and store", "links"])
def test_a_quota_holds_when_a_group_has_been_cut_off_for_minutes(store):
    """Guards against sides that forget each other and then grant the whole quota each."""
    counts = []

    async def check(fleet):
        document = default_configuration(2)
        document["tenants"][0].update({"rate-per-s": RATE_PER_S, "burst": 0})
        fleet.store.put("op/config", json.dumps(document).encode())
        cut_off(fleet, (0, 2), store=store)
        await asyncio.sleep(LONG_CUT_S)
        counts.append(max_in_window(await ask_for_more_than_the_quota(fleet), QUOTA_WINDOW_S))

    with mock.patch.object(gatewayfleet, "MAX_CHECK_S", MAX_PLAY_S):
        run_check(check, domains=("a", "a", "b", "b"), replicas=4)
    assert counts[0] > 0
    assert counts[0] <= RATE_PER_S * QUOTA_WINDOW_S * (1 + QUOTA_OVER)


def test_a_replica_limit_holds_while_the_fleet_is_split_in_halves():
    """Guards against halves that allocate the whole limit each."""
    counts = []

    async def check(fleet):
        limited = replicas_of_path(fleet, PATH)[:2]
        set_limits(limited, LIMIT_PER_S)
        await run_callers(fleet, PATH, 3.0)
        cut_off(fleet, (0, 2, 4), store=True)
        await asyncio.sleep(VIEW_CHANGED_S)
        got = await run_callers(fleet, PATH, 8.0)
        counts.append(max(worst_windows(got, limited).values()))

    run_check(check)
    assert 0 < counts[0] <= max_allowed_requests(LIMIT_PER_S)
