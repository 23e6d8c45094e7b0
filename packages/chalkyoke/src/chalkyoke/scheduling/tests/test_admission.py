"""Refusals at arrival and returns at assigned times; see chalkyoke.scheduling.admission."""

import itertools

from chalkyoke.gateway.settings import GATEWAY_FEATURES
from chalkyoke.outcomes import Reason
from chalkyoke.scheduling.messages import Acquire, Grant, Release, Shed, Usage
from chalkyoke.scheduling.scheduler import PoolScheduler
from chalkyoke.scheduling.state import PoolSpec, RouteSpec, TeamSpec, TierSpec, UpstreamSpec
from msgspec.structs import replace

ON = replace(GATEWAY_FEATURES, fair_admission=True, reserved_retries=True)
NUMBERS = itertools.count(1)


def full_pool():
    """Return a scheduler whose two slots are in use."""
    engines = tuple(UpstreamSpec(each, "a:1", "z", 1, 1000.0, 100.0) for each in "ef")
    tiers = tuple(TierSpec(str(rank), rank) for rank in range(3))
    routes = tuple(RouteSpec(each, frozenset(each)) for each in ("e", "f", "ef"))
    spec = PoolSpec("p", engines, tiers, (TeamSpec("a"), TeamSpec("b")), routes)
    scheduler = PoolScheduler(spec, lambda: 0.5, 0.0, features=ON)
    assert all(isinstance(send(scheduler, now=0.1)[-1], Grant) for _ in range(2))
    return scheduler


def acquire(team="a", tier="0", fingerprint=0, route="ef"):
    return Acquire(
        request=f"q{next(NUMBERS)}",
        attempt=1,
        pool="p",
        route=route,
        tier=tier,
        team=team,
        prompt_tokens=500,
        max_output=100,
        blocks=(),
        budget_s=4.0,
        waited_s=0.0,
        goal_s=1.0,
        likely_output=50,
        comes_back_s=3.0,
        gap_goal_s=0.0,
        whole_s=12.0,
        fingerprint=fingerprint,
    )


def send(scheduler, now=0.2, **options):
    return [out.action for out in scheduler.acquire("n", "z", acquire(**options), now)]


def first_refusal(scheduler, **options):
    """Send requests of one team until one is refused; return its refusal."""
    for number in range(1, 100):
        for action in send(scheduler, fingerprint=number, **options):
            if isinstance(action, Shed):
                return action, number
    raise AssertionError("none is refused")


def test_the_queue_of_one_team_refuses_no_request_of_another():
    """Guards against refusals of a team because of others' queues."""
    scheduler = full_pool()
    first_refusal(scheduler, team="a")
    assert not send(scheduler, team="b")


def test_waiting_requests_of_a_lower_tier_are_refused_before_a_higher_one():
    """Guards against a higher tier that is shed while a lower one waits."""
    scheduler = full_pool()
    assert not send(scheduler, tier="1")
    first_refusal(scheduler, team="a")
    assert {item.rank for item in scheduler.waiting_items()} == {0}


def test_requests_that_share_upstreams_only_indirectly_are_refused_first_too():
    """Guards against a broken invariant where routes of a pool overlap in a chain."""
    scheduler = full_pool()
    assert not send(scheduler, route="f", tier="2")
    assert not send(scheduler, route="ef", tier="1")
    first_refusal(scheduler, route="e")
    assert {item.rank for item in scheduler.waiting_items()} == {0}


def test_a_caller_that_returns_early_is_told_the_rest_of_its_time_and_then_goes_first():
    """Guards against callers that gain by ignoring Retry-After, and lose by respecting it."""
    scheduler = full_pool()
    refused, caller = first_refusal(scheduler)
    at = 0.2 + refused.retry_after_s
    early = send(scheduler, now=0.3, fingerprint=caller)[-1]
    assert abs(0.3 + early.retry_after_s - at) < 0.02
    assert not send(scheduler, now=at, fingerprint=caller)
    first = next(scheduler._pool.queues[0].ordered_queues()).front()[0]
    assert first.fingerprint == caller


def test_nothing_is_refused_while_a_slot_is_free_and_nothing_waits():
    """Guards against reserved work that refuses requests which nothing delays."""
    scheduler = full_pool()
    first_refusal(scheduler)
    for item in [*scheduler.waiting_items()]:
        scheduler._pool.remove_waiting(item)
    running = next(iter(scheduler._pool.running))
    scheduler.release("z", Release(running, 1, "p", "delivered", Usage(500, 0, 50, 0.1, 0.2)), 0.3)
    assert isinstance(send(scheduler, now=0.3)[-1], Grant)


def waiting_retry(scheduler):
    """Let a refused caller return at its assigned time; return its waiting request."""
    refused, caller = first_refusal(scheduler)
    assert not send(scheduler, now=0.2 + refused.retry_after_s, fingerprint=caller)
    return next(each for each in scheduler.waiting_items() if each.fingerprint == caller)


def test_a_returned_caller_is_held_for_upstreams_that_open_within_its_goal():
    """Guards against the order of retries being taken for a due time that has passed."""
    scheduler = full_pool()
    item = waiting_retry(scheduler)
    now = item.assigned_at + 0.1
    for upstream in scheduler.upstreams.values():
        upstream.declines.record_decline("z", now, now)
    assert item.request not in {
        out.action.request for out in scheduler._refuser._refuse_closed(now)
    }


def test_a_returned_caller_stays_first_although_it_will_miss_its_goal():
    """Guards against second refusals of retries that new requests overtake once they are late."""
    scheduler = full_pool()
    item = waiting_retry(scheduler)
    item.goal = item.assigned_at
    scheduler._refuser.shed_late(item.assigned_at + 0.1)
    assert item.request in scheduler._pool.waiting and not item.late


def test_no_time_is_assigned_beyond_the_longest_retry_after():
    """Guards against callers with long deadlines that are told to return before their times."""
    scheduler = full_pool()
    item = waiting_retry(scheduler)
    item.max_retry_after_s, item.latest_start, item.fingerprint = 900.0, 900.0, 99
    item.deadline, item.work = 2000.0, 40.0
    told = scheduler.admission.retry_after_s(item, 3.0)
    assert abs(scheduler.admission.schedule.find(99).at - 3.0 - told) < 0.02


def test_a_returned_caller_without_an_upstream_counts_as_refused_again():
    """Guards against second refusals that no metric shows."""
    scheduler = full_pool()
    refused, caller = first_refusal(scheduler)
    now = 0.2 + refused.retry_after_s
    message = acquire(fingerprint=caller, route="without upstreams")
    (out,) = scheduler.acquire("n", "z", message, now)
    assert out.action.reason == Reason.NO_UPSTREAM and out.refused_again


def test_a_returned_caller_keeps_its_place_in_the_next_attempt_of_its_host():
    """Guards against a lost precedence where a host requests the same grant again."""
    scheduler = full_pool()
    item = waiting_retry(scheduler)
    now = item.assigned_at + 0.1
    message = replace(acquire(fingerprint=item.fingerprint), request=item.request, attempt=2)
    assert not scheduler.acquire("n", "z", message, now)
    assert scheduler._pool.waiting[item.request].assigned_at == item.assigned_at
