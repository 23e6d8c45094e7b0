"""An upstream that turns requests away looks free to its scheduler; what it is taken to mean."""

import math

from chalkyoke.outcomes import Reason
from chalkyoke.scheduling.declines import FIRST_PAUSE_S, MAX_PAUSE_S, Declines, find_closure
from chalkyoke.scheduling.messages import Grant, Release, Shed, Usage
from chalkyoke.scheduling.state import ReleaseOutcome

from .test_goals import acquire, make, upstream

USAGE = Usage(100, -1, 20, 0.05, 0.3)


def decline(scheduler, name, now, domain="z", rest_s=0.0, attempt=1):
    message = Release(
        name, attempt, "p", ReleaseOutcome.UNUSED, Usage(), declined=True, rest_s=rest_s
    )
    return [out.action for out in scheduler.release(domain, message, now)]


def ask(scheduler, name, now, entry="e", domain="z", **changes):
    outs = scheduler.acquire(entry, domain, acquire(name, **changes), now)
    return outs[0].action if outs else None


def test_the_pause_doubles_with_each_decline_up_to_one_a_second():
    declines, now, pauses = Declines(), 0.0, []
    for _ in range(7):
        declines.record_decline("a", now, now)
        pauses.append(declines.opens_at("a", now) - now)
        now = declines.opens_at("a", now)
    expected = [FIRST_PAUSE_S, 0.2, 0.4, 0.8, MAX_PAUSE_S, MAX_PAUSE_S, MAX_PAUSE_S]
    assert all(map(math.isclose, pauses, expected))
    assert declines.refuses_all


def test_declines_of_requests_that_were_under_way_together_count_once():
    declines = Declines()
    for at in (1.0, 1.001, 1.002):
        declines.record_decline("a", 0.9, at)
    assert declines.opens_at("a", 1.002) == 1.0 + FIRST_PAUSE_S


def test_a_request_from_before_the_last_decline_does_not_open_it():
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


def test_a_domain_that_is_turned_away_alone_is_left_out_alone():
    declines = Declines()
    declines.record_decline("a", 1.0, 1.0)
    assert declines.opens_at("b", 1.05) > 1.05
    declines.record_served("b", 1.2, 1.3)
    for at in (1.4, 1.6, 2.0):
        declines.record_decline("a", at, at)
    assert declines.opens_at("a", 2.0) > 2.0
    assert declines.opens_at("b", 2.0) == -math.inf


def test_an_upstream_that_declines_does_not_draw_the_work_of_its_pool():
    scheduler = make([upstream("u1", 4), upstream("u2", 4)])
    granted = []
    for number in range(200):
        now = number * 0.02
        name = f"x{number}"
        action = ask(scheduler, name, now)
        while isinstance(action, Grant) and action.upstream == "u1":
            granted.append(now)
            decline(scheduler, name, now)
            tried = ("u1",)
            action = ask(scheduler, name, now, attempt=2, tried_upstreams=tried)
            assert not isinstance(action, Grant) or action.upstream == "u2"
        if isinstance(action, Grant):
            attempt = action.attempt
            done = Release(name, attempt, "p", ReleaseOutcome.DELIVERED, USAGE)
            scheduler.release("z", done, now + 0.01)
    # Four pauses that double, then one request a second: 0.1 + 0.2 + 0.4 + 0.8 s, of 4 s.
    assert 4 <= len(granted) <= 8


def test_what_it_wants_nothing_of_is_an_entry_process_and_no_other():
    scheduler = make([upstream("u1", 4)])
    assert ask(scheduler, "x", 0.0).upstream == "u1"
    outcome = Release("x", 1, "p", ReleaseOutcome.DELIVERED, USAGE, rest_s=3.0)
    scheduler.release("z", outcome, 0.1)
    refused = ask(scheduler, "y", 0.2, entry="e", goal_s=0.5, budget_s=4.0, max_retry_after_s=3.0)
    assert isinstance(refused, Shed)
    assert refused.reason is Reason.NO_UPSTREAM
    assert 2.9 <= refused.retry_after_s <= 3.4
    assert ask(scheduler, "z", 0.2, entry="f").upstream == "u1"
    assert ask(scheduler, "w", 3.2, entry="e").upstream == "u1"


def test_a_request_is_held_for_an_upstream_that_is_back_within_its_goal():
    scheduler = make([upstream("u1", 4)])
    ask(scheduler, "x", 0.0)
    scheduler.release("z", Release("x", 1, "p", "delivered", USAGE, rest_s=0.6), 0.1)
    assert ask(scheduler, "y", 0.2, goal_s=1.0, budget_s=4.0) is None
    granted = [out.action for out in scheduler.tick(0.8)]
    assert [type(each) for each in granted] == [Grant]


def test_a_pool_that_refuses_all_answers_at_once_and_is_tried_once_a_second():
    scheduler = make([upstream("u1", 4), upstream("u2", 4)])
    tries, told = [], []
    for number in range(500):
        now, name = number * 0.02, f"x{number}"
        first = ask(scheduler, name, now, goal_s=1.0, budget_s=4.0, max_retry_after_s=2.0)
        actions = [first, *(out.action for out in scheduler.tick(now))]
        while actions:
            action = actions.pop()
            if isinstance(action, Grant):
                tries.append(now)
                actions += decline(scheduler, action.request, now)
            elif isinstance(action, Shed):
                told.append(action)
    late = [at for at in tries if at > 4.0]
    assert len(late) <= 2 * 6 + 2
    assert scheduler.waiting == 0
    assert all(0 < each.retry_after_s <= MAX_PAUSE_S + 0.5 for each in told)


def test_all_are_closed_only_while_none_is_open():
    open_one, closed_one = Declines(), Declines()
    closed_one.record_decline("a", 0.0, 0.0)
    assert find_closure([(open_one, 0.0), (closed_one, 0.0)], "e", "a", 0.0) is None
    assert find_closure([(closed_one, 0.0)], "e", "a", 0.0).until == FIRST_PAUSE_S
    # One that its limit holds up is closed as well, and refuses nothing.
    limited = find_closure([(open_one, 0.4), (closed_one, 0.0)], "e", "a", 0.0)
    assert (limited.until, limited.refused) == (FIRST_PAUSE_S, False)
    assert find_closure([], "e", "a", 0.0) is None
