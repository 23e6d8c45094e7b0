"""Requests of unlike cost of one team that asks for about twice its quota."""

import heapq
import itertools
import random

import msgspec
import pytest
from chalkyoke.quotas.messages import QuotaRequest
from chalkyoke.quotas.owner import Presence, QuotaOwner
from chalkyoke.quotas.window import QuotaLimits

from .fleet import TEAM

LIMITS = QuotaLimits(window_s=8.0, over=0.1, slack=0.0)
SMALL, LARGE = 150.0, 1500.0
LARGE_SHARE = 0.1
DEMAND = 2.0
RETURNS = 3
SECONDS = 40.0


def play(rate_per_s, seed):
    """Send requests to the owner; a refused caller returns after its retry delay, three times.

    :param rate_per_s: rate and burst of the team's quota, in cost per second.
    :return: for each cost, the number of callers and of those that were granted.
    """
    source = random.Random(seed)
    team = msgspec.structs.replace(TEAM, rate_per_s=rate_per_s, burst=rate_per_s)
    owner = QuotaOwner(LIMITS, first_start=True, identity=1)
    owner.start_owning(team, Presence(1, 1), 0.0)
    window_rate = LIMITS.window_limit(team.rate_per_s, team.burst) / LIMITS.window_s
    mean = SMALL + LARGE_SHARE * (LARGE - SMALL)
    numbers = itertools.count()
    asked, granted = {SMALL: 0, LARGE: 0}, {SMALL: 0, LARGE: 0}
    events = [(0.0, next(numbers), 0.0, 0)]
    while events:
        now, _, cost, returns = heapq.heappop(events)
        if not cost:
            cost = LARGE if source.random() < LARGE_SHARE else SMALL
            asked[cost] += 1
            at = now + source.expovariate(DEMAND * window_rate / mean)
            if at < SECONDS:
                heapq.heappush(events, (at, next(numbers), 0.0, 0))
        request = QuotaRequest(team.name, 1, cost, 0.0, 1, 0, 0.0, 0, 0.0)
        grant = owner.answer_request(team, request, Presence(1, 1), now)
        if grant.amount > 0:
            granted[cost] += 1
        elif returns < RETURNS:
            heapq.heappush(events, (now + grant.retry_after_s, next(numbers), cost, returns + 1))
    return asked, granted


@pytest.mark.parametrize("rate_per_s", [1_500.0, 30_000.0])
def test_large_requests_are_granted_at_least_half_as_often_as_all(rate_per_s):
    """Guards against small requests that take each rest of a quota before a large one fits."""
    asked, granted = play(rate_per_s, seed=1)
    large, all_of_them = granted[LARGE] / asked[LARGE], sum(granted.values()) / sum(asked.values())
    assert large >= 0.5 * all_of_them, (asked, granted)
