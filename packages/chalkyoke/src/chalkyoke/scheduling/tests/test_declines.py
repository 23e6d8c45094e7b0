"""Handling of upstreams that decline requests: they look free to the scheduler."""

import math

from chalkyoke.outcomes import Reason
from chalkyoke.scheduling.declines import FIRST_PAUSE_S, MAX_PAUSE_S, Declines, find_closure
from chalkyoke.scheduling.messages import Grant, Release, Shed, Usage
from chalkyoke.scheduling.state import ReleaseOutcome

from .test_goals import acquire, make_scheduler, upstream

USAGE = Usage(100, -1, 20, 0.05, 0.3)


def decline(scheduler, name, now, domain="z", rest_s=0.0, attempt=1):
    message = Release(
        name, attempt, "p", ReleaseOutcome.UNUSED, Usage(), declined=True, rest_s=rest_s
    )
    return [out.action for out in scheduler.release(domain, message, now)]


def send_acquire(scheduler, name, now, entry="e", domain="z", **changes):
    outs = scheduler.acquire(entry, domain, acquire(name, **changes), now)
    return outs[0].action if outs else None


def test_pause_doubles_with_each_decline_up_to_one_second():
    declines, now, pauses = Declines(), 0.0, []
    for _ in range(7):
        declines.record_decline("a", now, now)
        pauses.append(declines.opens_at("a", now) - now)
        now = declines.opens_at("a", now)
    expected = [FIRST_PAUSE_S, 0.2, 0.4, 0.8, MAX_PAUSE_S, MAX_PAUSE_S, MAX_PAUSE_S]
    assert all(map(math.isclose, pauses, expected))
    assert declines.refuses_all


def test_declines_of_concurrent_requests_count_once():
    declines = Declines()
    for at in (1.0, 1.001, 1.002):
        declines.record_decline("a", 0.9, at)
    assert declines.opens_at("a", 1.002) == 1.0 + FIRST_PAUSE_S


def test_request_granted_before_last_decline_does_not_reset_pause():
    declines = Declines()
    declines.record_decline("a", 1.0, 1.0)
    declines.record_served("a", 0.5, 1.05)
    assert declines.opens_at("a", 1.05) > 1.05
    declines.record_served("a", 1.1, 1.2)
    assert declines.opens_at("a", 1.2) == -math.inf
    assert declines.is_clear(1.2)
    declines.record_rest("e", 3.0, 1.2)
    assert (declines.is_clear(1.3), declines.resting(1.3)) == (False, ["e"])
    assert (declines.is_clear(4.3), declines.resting(4.3)) == (True, [])


def test_decline_of_one_domain_pauses_only_that_domain():
    declines = Declines()
    declines.record_decline("a", 1.0, 1.0)
    assert declines.opens_at("b", 1.05) > 1.05
    declines.record_served("b", 1.2, 1.3)
    for at in (1.4, 1.6, 2.0):
        declines.record_decline("a", at, at)
    assert declines.opens_at("a", 2.0) > 2.0
    assert declines.opens_at("b", 2.0) == -math.inf


def test_declining_upstream_does_not_attract_requests_of_its_pool():
    scheduler = make_scheduler([upstream("u1", 4), upstream("u2", 4)])
    granted = []
    for number in range(200):
        now = number * 0.02
        name = f"x{number}"
        action = send_acquire(scheduler, name, now)
        while isinstance(action, Grant) and action.upstream == "u1":
            granted.append(now)
            decline(scheduler, name, now)
            tried = ("u1",)
            action = send_acquire(scheduler, name, now, attempt=2, tried=tried)
            assert not isinstance(action, Grant) or action.upstream == "u2"
        if isinstance(action, Grant):
            attempt = action.attempt
            done = Release(name, attempt, "p", ReleaseOutcome.DELIVERED, USAGE)
            scheduler.release("z", done, now + 0.01)
    # Within 4 s: four doubling pauses of 0.1 + 0.2 + 0.4 + 0.8 s, then one request a second.
    assert 4 <= len(granted) <= 8


def test_rest_applies_only_to_the_entry_process_that_it_names():
    scheduler = make_scheduler([upstream("u1", 4)])
    assert send_acquire(scheduler, "x", 0.0).upstream == "u1"
    outcome = Release("x", 1, "p", ReleaseOutcome.DELIVERED, USAGE, rest_s=3.0)
    scheduler.release("z", outcome, 0.1)
    refused = send_acquire(
        scheduler, "y", 0.2, entry="e", goal_s=0.5, budget_s=4.0, comes_back_s=3.0
    )
    assert isinstance(refused, Shed)
    assert refused.reason is Reason.NO_UPSTREAM
    assert 2.9 <= refused.retry_after_s <= 3.4
    assert send_acquire(scheduler, "z", 0.2, entry="f").upstream == "u1"
    assert send_acquire(scheduler, "w", 3.2, entry="e").upstream == "u1"


def test_request_waits_for_upstream_whose_rest_ends_within_its_goal():
    scheduler = make_scheduler([upstream("u1", 4)])
    send_acquire(scheduler, "x", 0.0)
    scheduler.release("z", Release("x", 1, "p", "delivered", USAGE, rest_s=0.6), 0.1)
    assert send_acquire(scheduler, "y", 0.2, goal_s=1.0, budget_s=4.0) is None
    granted = [out.action for out in scheduler.tick(0.8)]
    assert [type(each) for each in granted] == [Grant]


def test_pool_that_declines_all_refuses_at_once_and_is_probed_once_a_second():
    scheduler = make_scheduler([upstream("u1", 4), upstream("u2", 4)])
    tries, refusals = [], []
    for number in range(500):
        now, name = number * 0.02, f"x{number}"
        first = send_acquire(scheduler, name, now, goal_s=1.0, budget_s=4.0, comes_back_s=2.0)
        actions = [first, *(out.action for out in scheduler.tick(now))]
        while actions:
            action = actions.pop()
            if isinstance(action, Grant):
                tries.append(now)
                actions += decline(scheduler, action.request, now)
            elif isinstance(action, Shed):
                refusals.append(action)
    late = [at for at in tries if at > 4.0]
    assert len(late) <= 2 * 6 + 2
    assert scheduler.waiting == 0
    assert all(0 < each.retry_after_s <= MAX_PAUSE_S + 0.5 for each in refusals)


def test_closure_requires_every_upstream_to_be_closed():
    open_one, closed_one = Declines(), Declines()
    closed_one.record_decline("a", 0.0, 0.0)
    assert find_closure([(open_one, 0.0), (closed_one, 0.0)], "e", "a", 0.0) is None
    assert find_closure([(closed_one, 0.0)], "e", "a", 0.0).until == FIRST_PAUSE_S
    # An upstream at its announced limit counts as closed, but not as refusing.
    limited = find_closure([(open_one, 0.4), (closed_one, 0.0)], "e", "a", 0.0)
    assert (limited.until, limited.refused) == (FIRST_PAUSE_S, False)
    assert find_closure([], "e", "a", 0.0) is None
