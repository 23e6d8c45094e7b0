"""Limits over a whole fleet in virtual time; fleet.py describes the simulated load."""

import os
import random

import pytest
from chalkyoke.limits.allowance import BURST_REQUESTS, BURST_S
from chalkyoke_fakes.soak.limits import max_allowed_requests

from tests import virtual

from .fleet import Fleet

REPLICAS = 6
# Number of seeds. Setting SEEDS, for example to a hundred, adds the larger fleets too.
SEEDS = range(int(os.environ.get("SEEDS", "3")))
HOSTS = (7, 24, 80) if os.environ.get("SEEDS") is None else (7, 24, 80, 195, 340)


def play(seed, hosts, limit_per_s, times, seconds, events=(), weights=None, limited=REPLICAS):
    """Simulate a fleet.

    :param times: demand as a multiple of the sum of all limits.
    """

    async def main():
        fleet = Fleet(hosts, REPLICAS, seed, weights)
        fleet.set_limits(limit_per_s, limited)
        await fleet.play(max(2.0, times * REPLICAS * limit_per_s), seconds, events)
        return fleet

    return virtual.run(main)


@pytest.mark.parametrize("hosts", HOSTS)
def test_no_window_exceeds_the_tolerance_of_operators(hosts):
    for seed in SEEDS:
        source = random.Random(f"{hosts}/{seed}")
        limit_per_s = source.choice((0.2, 0.4, 1.0, 3.8, 10.0, 40.0))
        times = source.choice((0.1, 0.8, 1.2, 2.0, 10.0))
        seconds = 12.0 if limit_per_s * times < 100 else 6.0
        fleet = play(seed, hosts, limit_per_s, times, seconds, limited=source.choice((2, 6)))
        assert fleet.worst() <= max_allowed_requests(limit_per_s), (hosts, seed, limit_per_s, times)


@pytest.mark.parametrize("hosts", HOSTS)
def test_no_window_exceeds_the_tolerance_while_hosts_are_killed_and_cut_off(hosts):
    for seed in SEEDS:
        source = random.Random(f"{hosts}/{seed}/faults")
        limit_per_s = source.choice((0.4, 3.8, 10.0))
        domain = [each for each in range(hosts) if each % 4 == source.randrange(4)]
        some = source.sample(range(hosts), max(1, hosts // 5))
        events = [
            (source.uniform(2, 5), lambda fleet, some=some: fleet.kill(*some)),
            (source.uniform(4, 7), lambda fleet, domain=domain: fleet.cut(domain, 4.0)),
            (source.uniform(13, 15), lambda fleet, some=some: fleet.kill(*some)),
            (source.uniform(14, 16), lambda fleet: fleet.kill(*fleet.nodes)),
        ]
        fleet = play(seed, hosts, limit_per_s, source.choice((0.8, 2.0)), 20.0, events)
        assert fleet.worst() <= max_allowed_requests(limit_per_s), (hosts, seed, limit_per_s)


def assert_nine_tenths_used(fleet, limit_per_s, began=4.0, seconds=10.0):
    """Check that nine tenths of the limits are used, and at most the limits and a burst."""
    most = limit_per_s * seconds + BURST_REQUESTS + BURST_S * limit_per_s
    used = fleet.used(limit_per_s, began, seconds)
    assert 0.9 <= used <= most / (limit_per_s * seconds), (limit_per_s, used)


@pytest.mark.parametrize("hosts", HOSTS)
def test_a_single_host_with_all_callers_uses_nine_tenths(hosts):
    weights = [1] + [0] * (hosts - 1)
    for limit_per_s in (0.4, 3.8, 40.0):
        fleet = play(1, hosts, limit_per_s, 2.0, 14.0, weights=weights)
        assert fleet.worst() <= max_allowed_requests(limit_per_s)
        assert_nine_tenths_used(fleet, limit_per_s)


@pytest.mark.parametrize("hosts", HOSTS)
def test_many_hosts_use_nine_tenths_with_more_demand_than_limits(hosts):
    for limit_per_s, times in ((0.4, 10.0), (3.8, 2.0), (10.0, 1.2)):
        fleet = play(2, hosts, limit_per_s, times, 14.0, weights=[1] * hosts)
        assert fleet.worst() <= max_allowed_requests(limit_per_s)
        assert_nine_tenths_used(fleet, limit_per_s)


def test_no_messages_are_sent_while_no_replica_is_limited():
    fleet = play(3, 24, -1.0, 1.0, 5.0)
    assert fleet.answers["served"] > 0
    assert not fleet.messages


def test_a_changed_limit_is_in_force_at_once():
    def lower_limits(fleet):
        fleet.set_limits(2.0)

    fleet = play(4, 24, 20.0, 1.2, 14.0, [(6.0, lower_limits)])
    assert fleet.worst(since=6.0) <= max_allowed_requests(2.0)


@pytest.mark.parametrize("times", [1.2, 2.0, 5.0])
def test_limited_capacity_serves_the_more_urgent_requests_in_time(times):
    fleet = play(5, 24, 3.8, times, 14.0)
    answers = fleet.answers
    urgent, other = (answers["served", name] / answers["asked", name] for name in ("r0", "r1"))
    assert urgent >= other
    # Served requests are in time; the others are refused at once.
    assert answers["in time"] >= 0.99 * answers["served"]


def test_unlimited_replicas_serve_all_requests_if_others_are_limited():
    free = play(6, 24, -1.0, 1.0, 8.0)
    limited = play(6, 24, 2.0, 10.0, 8.0, limited=2)
    for fleet in (free, limited):
        assert fleet.answers["served"] >= 0.99 * (
            fleet.answers["asked", "r0"] + fleet.answers["asked", "r1"]
        )
        assert fleet.answers["in time"] >= 0.99 * fleet.answers["served"]
