"""
tests.test_uneven_callers

Guards against a host that serves less because callers open nine in ten of their connections to it:
what it may spend alone of quotas, retries and limits is a share for an even load.
"""

import asyncio
import json

from chalkyoke_fakes.platformfleet import KEY, TEAM, default_configuration

from tests.gatewayfleet import run_check

DOMAINS = ("a", "a", "a", "b", "b", "c", "c")
REQUESTS_PER_S, PREFERRED_SHARE = 60, 0.9
# Quota of the callers' team; they stay a sixth below it.
RATE_PER_S = 72
PHASE_S = 6.0
# Operators require three quarters of the share served before.
MIN_SHARE = 0.95


def limit_team(fleet, version=2):
    document = default_configuration(version)
    document["tenants"] = [
        {"name": TEAM, "api-keys": [KEY], "priority": 1, "rate-per-s": RATE_PER_S, "burst": 72}
    ]
    fleet.store.put("op/config", json.dumps(document).encode())


async def send_phase(fleet, preferred):
    """Send to all nodes in turn, but most requests to a preferred one; return the answers."""
    paths = ("/chat/1", "/explain/1", "/find/1", "/book/1")
    asked = []
    for number in range(int(PHASE_S * REQUESTS_PER_S)):
        node = number % len(fleet.nodes)
        if preferred is not None and number % 10 < 10 * PREFERRED_SHARE:
            node = preferred
        path, body = paths[number // 7 % len(paths)], b"%d" % number
        asked.append(asyncio.ensure_future(fleet.send_request(node, path, body, until_whole=True)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return await asyncio.gather(*asked)


def served_shares(prepare):
    shares = []

    async def check(fleet):
        prepare(fleet)
        await asyncio.sleep(2.0)
        for preferred in (None, 0, 4, None):
            got = await send_phase(fleet, preferred)
            shares.append(sum(each.status == 200 and each.whole for each in got) / len(got))

    run_check(check, domains=DOMAINS, replicas=9)
    return shares


def test_a_host_with_most_new_connections_serves_as_before():
    shares = served_shares(lambda fleet: None)
    assert min(shares) >= MIN_SHARE, shares


def test_a_host_with_most_new_connections_spends_the_quota_of_all_hosts():
    shares = served_shares(limit_team)
    assert min(shares) >= MIN_SHARE, shares
