"""Requests with a goal for the first output: order, headroom, pauses, early refusals, retries."""

import math

import msgspec
from chalkyoke.outcomes import Reason
from chalkyoke.scheduling.headroom import SWING_DEVIATIONS, Headroom
from chalkyoke.scheduling.messages import (
    Acquire,
    FirstOutput,
    Grant,
    Learned,
    LearnedSpeed,
    Release,
    Shed,
    Usage,
)
from chalkyoke.scheduling.placement import Features
from chalkyoke.scheduling.scheduler import PoolScheduler
from chalkyoke.scheduling.state import (
    PoolSpec,
    ReleaseOutcome,
    RouteSpec,
    TeamSpec,
    TierSpec,
    UpstreamSpec,
)

FEATURES = Features(late_last=False, headroom=True, early=True)
FAST, SLOW = "fast", "slow"
# Times of a caller that waits for long, in seconds.
PATIENT = {"goal_s": 20.0, "budget_s": 25.0, "whole_s": 60.0}


def upstream(name, slots=2, prefill=40_000.0, decode=200.0):
    return UpstreamSpec(
        name,
        "127.0.0.1:1",
        "z",
        slots,
        prefill,
        decode,
        batch_slowdown=1.0,
        prefill_chunk_tokens=2048,
        tokens_per_event=3,
    )


def make_scheduler(upstreams, features=FEATURES):
    names = frozenset(each.id for each in upstreams)
    spec = PoolSpec(
        "p",
        tuple(upstreams),
        (TierSpec("0", 0), TierSpec("1", 1)),
        (TeamSpec("t"),),
        (RouteSpec("r", names),),
    )
    return PoolScheduler(spec, lambda: 0.5, now=0.0, features=features)


def acquire(name, tier="1", **changes):
    message = Acquire(
        request=name,
        attempt=1,
        pool="p",
        route="r",
        tier=tier,
        team="t",
        prompt_tokens=400,
        max_output=2000,
        blocks=(),
        budget_s=3.0,
        waited_s=0.0,
        goal_s=0.6,
        likely_output=20,
        comes_back_s=4.0,
        gap_goal_s=0.3,
        whole_s=15.0,
    )
    return message.__class__(**{**_asdict(message), **changes})


def _asdict(message):
    return {name: getattr(message, name) for name in message.__struct_fields__}


def send_acquire(scheduler, now=0.0, **fields):
    outs = scheduler.acquire("h", "z", acquire(**fields), now)
    return [out.action for out in outs]


def granted(actions):
    return [each.upstream for each in actions if isinstance(each, Grant)]


def release(scheduler, name, now):
    message = Release(name, 1, "p", ReleaseOutcome.DELIVERED, Usage(400, -1, 20, 0.05, 0.3))
    return [out.action for out in scheduler.release("z", message, now)]


def test_higher_tier_goes_first_even_if_already_late():
    scheduler = make_scheduler([upstream(FAST, slots=1)])
    send_acquire(scheduler, name="holder", tier="0")
    send_acquire(scheduler, name="low", tier="1", now=0.1)
    send_acquire(scheduler, name="high", tier="0", now=0.1, goal_s=-1.0)
    assert [each.request for each in release(scheduler, "holder", 0.2)] == ["high"]


def test_late_request_waits_until_its_deadline_and_then_expires():
    scheduler = make_scheduler([upstream(FAST, slots=1)])
    send_acquire(scheduler, name="holder", tier="0", likely_output=600)
    send_acquire(scheduler, name="waits", tier="0", now=0.1)
    kept = [out.action for out in scheduler.tick(1.0)]
    assert kept == [] and scheduler.is_waiting("waits")
    gone = [out.action for out in scheduler.tick(3.2)]
    assert [(each.request, each.reason) for each in gone] == [("waits", Reason.EXPIRED)]


def test_long_requests_of_lower_tier_leave_slots_for_higher_tiers():
    scheduler = make_scheduler([upstream(FAST, slots=8)])
    for number in range(4):
        send_acquire(scheduler, name=f"h{number}", tier="0", likely_output=400)
    for step in range(200):
        scheduler.tick(0.05 * step)
    taken = [
        granted(send_acquire(scheduler, name=f"l{number}", likely_output=600, now=10.0))
        for number in range(4)
    ]
    assert sum(len(each) for each in taken) < 4
    assert granted(send_acquire(scheduler, name="urgent", tier="0", now=10.0)) == [FAST]
    short = send_acquire(scheduler, name="short", likely_output=10, now=10.0)
    assert granted(short) == [FAST]


def send_long_behind_reserve(scheduler):
    """Let long requests take all slots of a pool of 8 but two that are reserved, and one wait."""
    for number in range(4):
        send_acquire(scheduler, name=f"h{number}", tier="0", likely_output=400)
    for step in range(200):
        scheduler.tick(0.05 * step)
    for number in range(4):
        send_acquire(scheduler, name=f"l{number}", likely_output=600, now=10.0, **PATIENT)
    assert any(each.is_long for each in scheduler.waiting_items())


def test_short_requests_take_turns_with_a_long_one_that_waits_for_an_unreserved_slot():
    """Guards against short requests that overtake a long one of their tier without end."""
    scheduler = make_scheduler([upstream(FAST, slots=8)])
    send_long_behind_reserve(scheduler)
    first = send_acquire(scheduler, name="first", likely_output=10, now=10.0, **PATIENT)
    assert granted(first) == [FAST]
    assert granted(release(scheduler, "first", 10.1)) == []
    second = send_acquire(scheduler, name="second", likely_output=10, now=10.1, **PATIENT)
    assert granted(second) == []
    actions = release(scheduler, "h0", 10.2) + release(scheduler, "h1", 10.3)
    started = [each.request for each in actions if isinstance(each, Grant)]
    assert started[0].startswith("l") and "second" in started


def test_short_requests_for_other_upstreams_do_not_wait_for_a_long_one():
    """Guards against a long request that keeps slots free which it may not use itself."""
    spec = make_scheduler([upstream(FAST, slots=8), upstream(SLOW, slots=2)]).spec
    routes = (RouteSpec("r", frozenset((FAST,))), RouteSpec("other", frozenset((SLOW,))))
    spec = msgspec.structs.replace(spec, routes=routes)
    scheduler = PoolScheduler(spec, lambda: 0.5, now=0.0, features=FEATURES)
    send_long_behind_reserve(scheduler)
    for number in range(3):
        send_acquire(scheduler, name=f"s{number}", likely_output=10, now=10.0, **PATIENT)
    asked = {"route": "other", "likely_output": 10, "now": 10.0}
    assert granted(send_acquire(scheduler, name="other", **asked, **PATIENT)) == [SLOW]


def test_long_low_tier_request_gets_upstream_with_earliest_finish():
    """On a slow upstream, the request would occupy its slot several times as long, and streams
    would exceed their gap goals.
    """
    scheduler = make_scheduler([upstream(FAST), upstream(SLOW, prefill=14_000.0, decode=100.0)])
    assert granted(send_acquire(scheduler, name="long", likely_output=300)) == [FAST]
    assert granted(send_acquire(scheduler, name="short", likely_output=10)) == [FAST]
    assert granted(send_acquire(scheduler, name="third", likely_output=300)) == [SLOW]


def test_answer_too_long_for_slow_upstream_goes_to_fast_one():
    scheduler = make_scheduler([upstream(FAST), upstream(SLOW, prefill=14_000.0, decode=60.0)])
    assert granted(send_acquire(scheduler, name="long", likely_output=400)) == [FAST]


def test_long_prompt_avoids_upstream_with_running_stream():
    specs = [
        upstream("a", prefill=14_000.0, decode=100.0),
        upstream("b", prefill=14_000.0, decode=100.0),
    ]
    scheduler = make_scheduler(specs)
    first = granted(send_acquire(scheduler, name="stream", tier="0"))[0]
    scheduler.apply_first_output(FirstOutput("stream", "p", 0.05), 0.06)
    other = granted(send_acquire(scheduler, name="big", tier="0", prompt_tokens=5000, now=0.1))[0]
    assert other != first


def test_first_output_removes_prompt_from_prefill_backlog():
    scheduler = make_scheduler([upstream(FAST, slots=8)])
    send_acquire(scheduler, name="big", prompt_tokens=16_000, goal_s=2.0)
    (before,) = [a for a in send_acquire(scheduler, name="x", now=0.5) if isinstance(a, Grant)]
    scheduler.apply_first_output(FirstOutput("big", "p", 0.4), 0.5)
    (after,) = [a for a in send_acquire(scheduler, name="y", now=0.5) if isinstance(a, Grant)]
    assert after.expected_first_s < before.expected_first_s / 2


def send_requests(scheduler, count, now, start=0, **fields):
    return [
        send_acquire(
            scheduler, name=f"c{start + number}", fingerprint=start + number + 1, now=now, **fields
        )
        for number in range(count)
    ]


def test_request_that_would_miss_its_goal_is_refused_early_and_its_retry_goes_first():
    scheduler = make_scheduler([upstream(FAST, slots=1)])
    send_acquire(scheduler, name="holder", likely_output=400)
    answers = send_requests(scheduler, 6, now=0.1, comes_back_s=1.0)
    shed = [each for actions in answers for each in actions if isinstance(each, Shed)]
    assert shed and all(0 < each.retry_after_s <= 1.0 for each in shed)

    first = shed[0]
    number = int(first.request[1:])
    back = 0.1 + first.retry_after_s
    again = send_acquire(scheduler, name="again", fingerprint=number + 1, now=back)
    assert not [each for each in again if isinstance(each, Shed)]
    new = send_acquire(scheduler, name="new", fingerprint=999, now=back)
    assert [each for each in new if isinstance(each, Shed)]
    scheduler.tick(back + 0.05)
    queue = release(scheduler, "holder", back + 0.1)
    assert next(each.request for each in queue if isinstance(each, Grant)) == "again"


def test_higher_tier_is_not_refused_early_while_lower_tier_waits():
    scheduler = make_scheduler([upstream(FAST, slots=1)])
    send_acquire(scheduler, name="holder", tier="0", likely_output=1000)
    send_acquire(scheduler, name="low", now=0.1)
    for number in range(5):
        actions = send_acquire(scheduler, name=f"h{number}", tier="0", now=0.1)
        assert not [each for each in actions if isinstance(each, Shed)]


def test_successor_imports_learned_speeds():
    old = make_scheduler([upstream(FAST)])
    old.import_learned(Learned("p", (LearnedSpeed(FAST, 2.0, 3.0, 7),)))
    exported = old.export_learned()
    assert exported.speeds == (LearnedSpeed(FAST, 2.0, 3.0, 7),)
    new = make_scheduler([upstream(FAST)])
    new.import_learned(exported)
    new.import_learned(Learned("p", (LearnedSpeed(FAST, 9.0, 9.0, 3),)))
    new.import_learned(Learned("p", (LearnedSpeed("unknown", 9.0, 9.0, 3),)))
    assert new.export_learned() == exported


def test_headroom_grows_with_usage_of_higher_tiers():
    headroom = Headroom(0.0)
    assert headroom.reserved_slots(1) == 0
    for step in range(200):
        headroom.observe_running([0] * 8 + [1] * 3, 0.05 * step)
    assert (
        headroom.reserved_slots(1) == math.ceil(4 * SWING_DEVIATIONS)
        and headroom.reserved_slots(0) == 0
    )
    for step in range(200, 800):
        headroom.observe_running([], 0.05 * step)
    assert headroom.reserved_slots(1) == 0


def test_wait_is_predicted_from_grant_rate_of_tier():
    headroom = Headroom(0.0)
    for step in range(100):
        headroom.record_grant(1, 0.1 * step)
    assert 8 < headroom.grant_rate_per_s(1, 10.0) < 12
    assert 0.8 < headroom.wait_s(1, 10, 10.0) < 1.25
    assert headroom.wait_s(1, 10, 60.0) > 20


def test_request_without_goal_gets_fast_upstream():
    features = msgspec.structs.replace(FEATURES, late_last=True)
    scheduler = make_scheduler([upstream(FAST), upstream(SLOW, decode=100.0)], features)
    actions = send_acquire(scheduler, name="plain", goal_s=0.0, likely_output=300, budget_s=30.0)
    assert granted(actions) == [FAST]


def test_long_prompts_gather_where_gap_goals_are_already_exceeded():
    specs = [
        upstream("a", slots=6, prefill=14_000.0, decode=100.0),
        upstream("b", slots=6, prefill=14_000.0, decode=100.0),
    ]
    scheduler = make_scheduler(specs)
    for number in range(4):
        name = f"stream{number}"
        send_acquire(scheduler, name=name, tier="0", likely_output=500, now=0.1 * number)
        scheduler.apply_first_output(FirstOutput(name, "p", 0.05), 0.1 * number + 0.06)
    assert all(each.running for each in scheduler.upstreams.values())
    first = granted(send_acquire(scheduler, name="big1", tier="0", prompt_tokens=5000, now=1.0))
    scheduler.apply_first_output(FirstOutput("big1", "p", 0.4), 1.4)
    second = granted(send_acquire(scheduler, name="big2", tier="0", prompt_tokens=5000, now=1.5))
    assert first == second


def test_late_requests_do_not_make_later_timely_request_late():
    """Late requests are granted after it, so the forecast must simulate them after it too."""
    features = msgspec.structs.replace(FEATURES, early=False, fair=False)
    scheduler = make_scheduler([upstream(FAST, slots=1)], features)
    send_acquire(scheduler, name="holder", tier="1", likely_output=60)
    for number in range(4):
        send_acquire(
            scheduler, name=f"late{number}", tier="1", goal_s=-0.5, likely_output=60, now=0.01
        )
    send_acquire(scheduler, name="timely", tier="1", goal_s=0.6, likely_output=60, now=0.02)
    scheduler.tick(0.1)
    late = {each.request: each.late for each in scheduler.waiting_items()}
    assert late == {"late0": True, "late1": True, "late2": True, "late3": True, "timely": False}
    assert [each.request for each in release(scheduler, "holder", 0.2)] == ["timely"]


def test_long_prompt_waits_for_upstream_where_it_stalls_no_stream():
    fast = upstream(FAST, slots=1, prefill=80_000.0)
    slow = upstream(SLOW, slots=4, prefill=20_000.0)
    scheduler = make_scheduler([fast, slow])
    assert granted(send_acquire(scheduler, name="soon done", tier="0", likely_output=30)) == [FAST]
    for number in range(2):
        assert granted(send_acquire(scheduler, name=f"stream{number}", tier="0")) == [SLOW]
    long = {"prompt_tokens": 9000, "goal_s": 0.8, "tier": "0"}
    assert granted(send_acquire(scheduler, name="long", now=0.1, **long)) == []
    assert granted(release(scheduler, "soon done", 0.2)) == [FAST]


def test_long_prompt_starts_at_once_if_no_other_upstream_meets_its_goal():
    fast = upstream(FAST, slots=1, prefill=60_000.0)
    slow = upstream(SLOW, slots=4, prefill=20_000.0)
    scheduler = make_scheduler([fast, slow])
    assert granted(send_acquire(scheduler, name="holder", tier="0", likely_output=118)) == [FAST]
    assert granted(send_acquire(scheduler, name="stream", tier="0")) == [SLOW]
    long = {"prompt_tokens": 9000, "goal_s": 0.8, "tier": "0"}
    assert granted(send_acquire(scheduler, name="long", now=0.0, **long)) == [SLOW]


def test_new_scheduler_waits_for_lost_entries_less_than_a_short_goal():
    pool = make_scheduler([upstream(FAST)])
    lost = PoolScheduler(pool.spec, lambda: 0.5, 0.0, ["e1", "gone"], FEATURES)
    assert lost.acquire("e1", "z", acquire("q1", goal_s=0.3), 0.01) == []
    outs = lost.tick(0.11)
    assert [out.action.request for out in outs] == ["q1"]


def test_no_request_is_refused_early_before_new_scheduler_has_settled():
    spec = make_scheduler([upstream("u1"), upstream("u2")]).spec
    scheduler = PoolScheduler(spec, lambda: 0.5, 0.0, ["h", "other"], FEATURES)
    # Long answers, each of which occupies a slot for seconds.
    long_ones = {"likely_output": 0, "max_output": 2000, "gap_goal_s": 0.3, "goal_s": 1.0}
    asked = [send_acquire(scheduler, 0.01, name=f"x{number}", **long_ones) for number in range(3)]
    assert asked == [[], [], []]
    actions = [out.action for out in scheduler.tick(0.11)]
    assert [type(each) for each in actions] == [Grant] * 3


def test_requests_whose_upstreams_stay_out_of_reach_are_refused_in_time_for_a_retry():
    """Guards against waiting until the deadline while no upstream may be granted."""
    scheduler = make_scheduler([upstream(FAST, slots=1)])
    scheduler.upstreams[FAST].unreachable_from["z"] = 8.0
    send_acquire(scheduler, name="stays", now=0.2, comes_back_s=0.9)
    send_acquire(scheduler, name="waits", now=0.2, budget_s=9.0)
    gone = [out.action for out in scheduler.tick(0.25)]
    assert [(each.request, each.reason) for each in gone] == [("stays", Reason.NO_UPSTREAM)]
    assert gone[0].retry_after_s <= 0.9
    assert scheduler.is_waiting("waits"), "the upstream can be used again in time for it"
    assert scheduler.tick(8.1)[0].action.upstream == FAST
