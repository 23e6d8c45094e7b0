"""Scheduling for upstreams that announce a limit of requests per second."""

import pytest
from chalkyoke.limits.allowance import Allowance
from chalkyoke.scheduling.messages import Grant, Release, Shed, Usage
from chalkyoke.scheduling.state import ReleaseOutcome

from .test_goals import FAST, SLOW, acquire, make_scheduler, upstream

TICK_S = 0.05
LIMIT_PER_S = 4.0


def limited(names, limit_per_s=LIMIT_PER_S, slots=8):
    scheduler = make_scheduler([upstream(FAST, slots=slots), upstream(SLOW, slots=slots)])
    scheduler.set_allowances({name: Allowance(limit_per_s, 1.0, 0.0) for name in names}, 0.0)
    return scheduler


def simulate(scheduler, demand_per_s, seconds, run_s=0.2):
    """Send requests at a constant rate; return grants and refusals with their times."""
    granted, refused, ends = [], [], []
    number, now = 0, 0.0
    while now < seconds:
        outs = scheduler.tick(now)
        while number < now * demand_per_s:
            outs += scheduler.acquire("h", "z", acquire(f"q{number}"), now)
            number += 1
        for at, request in [each for each in ends if each[0] <= now]:
            ends.remove((at, request))
            usage = Usage(prompt_tokens=400, output_tokens=20, first_s=0.02, total_s=run_s)
            done = Release(request, 1, "p", ReleaseOutcome.DELIVERED, usage)
            outs += scheduler.release("z", done, now)
        for action in (each.action for each in outs):
            if isinstance(action, Grant):
                granted.append((now, action.upstream, action.counted))
                ends.append((now + run_s, action.request))
            elif isinstance(action, Shed):
                refused.append((now, action))
        now += TICK_S
    return granted, refused


def test_limited_upstream_gets_its_limit_and_others_take_the_rest():
    granted, refused = simulate(limited({FAST}), demand_per_s=20.0, seconds=10.0)
    counted = [at for at, name, counted in granted if counted]
    assert all(counted == (name == FAST) for _, name, counted in granted)
    assert len(counted) <= 10 * LIMIT_PER_S + 2
    assert not refused
    assert len(granted) >= 0.98 * 200


@pytest.mark.parametrize("times", [1.2, 2.0, 10.0])
def test_limits_are_fully_used_under_overload_and_excess_is_refused(times):
    sum_per_s = 2 * LIMIT_PER_S
    scheduler = limited({FAST, SLOW}, slots=50)
    granted, refused = simulate(scheduler, demand_per_s=times * sum_per_s, seconds=20.0)
    later = [at for at, _, _ in granted if at >= 5.0]
    assert 0.9 <= len(later) / (15.0 * sum_per_s) <= 1.1
    assert all(action.retry_after_s is None or action.retry_after_s > 0 for _, action in refused)
    # The queue is bounded by what the limits serve within a goal, not by the demand of seconds.
    assert scheduler.waiting <= 2 * sum_per_s


def test_limit_is_refunded_for_grant_that_was_never_sent():
    scheduler = limited({FAST, SLOW}, limit_per_s=1.0)
    outs = scheduler.acquire("h", "z", acquire("a"), 1.0)
    (grant,) = [each.action for each in outs if isinstance(each.action, Grant)]
    outs = scheduler.acquire("h", "z", acquire("b"), 1.0)
    (other,) = [each.action for each in outs if isinstance(each.action, Grant)]
    assert {grant.upstream, other.upstream} == {FAST, SLOW}
    assert not scheduler.acquire("h", "z", acquire("c", goal_s=2.0), 1.0)
    unused = Release("a", 1, "p", ReleaseOutcome.UNUSED, Usage())
    granted = [each.action for each in scheduler.release("z", unused, 1.01)]
    assert [(each.request, each.upstream) for each in granted] == [("c", grant.upstream)]
    # A declined request has reached the upstream, so it is not refunded.
    declined = Release("b", 1, "p", ReleaseOutcome.UNUSED, Usage(total_s=0.01), declined=True)
    assert not scheduler.release("z", declined, 1.02)


def test_limit_still_applies_to_upstream_that_returns():
    scheduler = limited({FAST}, limit_per_s=1.0)
    spec = scheduler.spec
    empty = make_scheduler([upstream(SLOW)]).spec
    scheduler.configure(empty, 1.0)
    scheduler.configure(spec, 1.1)
    assert scheduler.upstreams[FAST].allowance is not None


def test_removed_limit_no_longer_applies():
    scheduler = limited({FAST, SLOW}, limit_per_s=0.2)
    assert not scheduler.acquire("h", "z", acquire("a", goal_s=2.0, budget_s=6.0), 0.0)
    (out,) = scheduler.set_allowances({}, 0.1)
    assert out.action.request == "a"
    assert not out.action.counted
