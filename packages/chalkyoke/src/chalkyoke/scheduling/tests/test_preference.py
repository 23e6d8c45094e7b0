"""Placement by failure domain, speed and load among upstreams that meet the goal."""

import msgspec
from chalkyoke.scheduling.messages import (
    Adopt,
    FirstOutput,
    Grant,
    Progress,
    ProgressItem,
    Release,
    RunningItem,
    Usage,
)
from chalkyoke.scheduling.shortlist import Openings

from .test_goals import FEATURES, acquire, make_scheduler, upstream

LOCAL = msgspec.structs.replace(FEATURES, local_domain=True)
FIT = msgspec.structs.replace(FEATURES, best_fit=True)
TIMED = msgspec.structs.replace(FEATURES, time_factors=True)


def placed(scheduler, name, domain="a", now=1.0, **changes):
    for out in scheduler.acquire("e", domain, acquire(name, **changes), now):
        if isinstance(out.action, Grant):
            return out.action.upstream
    return None


def in_domain(name, domain, **options):
    return msgspec.structs.replace(upstream(name, **options), failure_domain=domain)


def test_a_request_stays_at_home_although_another_domain_is_faster():
    engines = [in_domain("home", "a"), in_domain("away", "b", decode=800.0)]
    assert placed(make_scheduler(engines, LOCAL), "r1") == "home"
    assert placed(make_scheduler(engines), "r1") == "away"


def test_requests_overflow_evenly_and_return_when_home_is_free():
    """Guards against a neighbour that gets all of the overflow, and against a lasting overflow."""
    engines = [in_domain(f"{domain}{n}", domain) for domain in "abc" for n in range(2)]
    scheduler = make_scheduler(engines, LOCAL)
    found = [placed(scheduler, f"r{n}") for n in range(8)]
    assert [each[0] for each in found[:4]] == ["a"] * 4
    assert sorted(each[0] for each in found[4:]) == ["b", "b", "c", "c"]
    done = Release("r0", 1, "p", "delivered", Usage(400, 0, 20, 0.05, 0.2))
    scheduler.release("a", done, 1.2)
    assert placed(scheduler, "r9", now=1.2)[0] == "a"


def test_a_domain_that_cannot_meet_the_goal_overflows():
    engines = [in_domain("home", "a", prefill=600.0), in_domain("away", "b")]
    assert placed(make_scheduler(engines, LOCAL), "r1") == "away"


def test_a_long_cached_prefix_elsewhere_outweighs_the_failure_domain():
    engines = [in_domain("home", "a"), in_domain("away", "b")]
    engines = [msgspec.structs.replace(each, cache_blocks=100) for each in engines]
    scheduler = make_scheduler(engines, LOCAL)
    long = {"prompt_tokens": 4000, "blocks": tuple(range(1, 15))}
    assert placed(scheduler, "r0", domain="b", **long) == "away"
    done = Release("r0", 1, "p", "delivered", Usage(4000, 0, 20, 0.1, 0.3))
    scheduler.release("b", done, 1.5)
    assert placed(scheduler, "r1", domain="a", now=1.5, **long) == "away"
    assert placed(scheduler, "r2", domain="a", now=1.5) == "home"


def test_the_slowest_engine_that_finishes_in_time_is_chosen():
    engines = [upstream("slow", decode=70.0), upstream("fast", decode=200.0)]
    scheduler = make_scheduler(engines, FIT)
    assert placed(scheduler, "short") == "slow"
    scheduler = make_scheduler(engines, FIT)
    assert placed(scheduler, "long", likely_output=500) == "fast"


def test_a_long_prompt_avoids_the_streams_of_a_slow_engine():
    """Guards against pauses above the gap goal of streams on slow engines."""
    engines = [upstream("slow", prefill=14_000.0), upstream("fast")]
    scheduler = make_scheduler(engines, FIT)
    assert placed(scheduler, "r1") == "slow"
    assert placed(scheduler, "r2", prompt_tokens=1800) == "fast"


def test_engines_of_one_speed_take_turns():
    unlearned = msgspec.structs.replace(FIT, learn=False)
    scheduler = make_scheduler([upstream(f"u{n}") for n in range(4)], unlearned)
    found = []
    for number in range(8):
        now = 1.0 + number
        found.append(placed(scheduler, f"r{number}", now=now))
        done = Release(f"r{number}", 1, "p", "delivered", Usage(400, 0, 20, 0.05, 0.2))
        scheduler.release("z", done, now + 0.9)
    assert set(found) == {"u0", "u1", "u2", "u3"}


def test_a_reported_time_factor_moves_requests_away_while_it_is_valid():
    timed = msgspec.structs.replace(TIMED, learn=False)
    untimed = msgspec.structs.replace(FEATURES, learn=False)

    def report(scheduler, slots):
        scheduler.apply_first_output(FirstOutput("r0", "p", 0.06, 1, 0, slots, 4.0), 1.1)
        return placed(scheduler, "r1", now=1.15), placed(scheduler, "r2", now=3.0)

    engines = [upstream("u0", decode=300.0, slots=4), upstream("u1", slots=4)]
    scheduler = make_scheduler(engines, timed)
    assert placed(scheduler, "r0") == "u0"
    assert report(scheduler, 4) == ("u1", "u0")
    for features, slots in ((timed, 0), (untimed, 4)):
        scheduler = make_scheduler(engines, features)
        placed(scheduler, "r0")
        assert report(scheduler, slots) != ("u1", "u0")


def test_the_learned_speed_does_not_contain_the_reported_factor():
    scheduler = make_scheduler([upstream("u0", slots=1)], TIMED)
    factor = scheduler.upstreams["u0"].time_factor
    for number in range(40):
        now = 1.0 + number * 0.3
        message = acquire(f"r{number}")
        (_,) = scheduler.acquire("e", "z", message, now)
        first_s = 0.012 * 2.5
        scheduler.apply_first_output(
            FirstOutput(f"r{number}", "p", first_s, 1, 0, 1, 2.5), now + first_s
        )
        done = Release(f"r{number}", 1, "p", "delivered", Usage(400, 0, 20, first_s, 0.25))
        scheduler.release("z", done, now + 0.25)
    assert factor.value == 2.5
    assert 0.5 < scheduler.upstreams["u0"].speed.prefill_factor < 1.4
    assert 0.5 < scheduler.upstreams["u0"].speed.decode_factor < 1.4


def test_shortlist_of_a_large_pool_contains_the_upstreams_at_home():
    """Guards against a shortlist of faster upstreams elsewhere."""
    engines = [in_domain(f"u{n:03}", "ab"[n % 2], decode=100.0 + n) for n in range(140)]
    engines += [in_domain("x", "c", decode=50.0)]
    scheduler = make_scheduler(engines, LOCAL)
    openings = Openings({"r": list(scheduler.upstreams.values())}, 1.0, LOCAL)
    assert "x" in [each.spec.id for each in openings.candidates("r", "c", {})]
    assert placed(scheduler, "r1", domain="c") == "x"


def test_a_request_leaves_home_if_the_only_engine_there_would_make_a_stream_late():
    """Guards against a request that waits at home while another failure domain has a free slot."""
    engines = [in_domain("home", "a"), in_domain("away", "b", prefill=10_000.0)]
    scheduler = make_scheduler(engines, LOCAL)
    urgent = {"tier": "0", "budget_s": 0.3, "goal_s": 0.0, "whole_s": 0.0, "gap_goal_s": 0.05}
    assert placed(scheduler, "urgent", **urgent) == "home"
    assert placed(scheduler, "stalled", domain="b", gap_goal_s=0.01) == "away"
    assert placed(scheduler, "r1", prompt_tokens=8000, goal_s=2.0) == "away"


def test_an_adopted_stream_does_not_count_time_lost_before():
    """Guards against a learned speed several times too fast after a change of the scheduler."""
    scheduler = make_scheduler([upstream("u0")], TIMED)
    placed(scheduler, "r0")
    scheduler.apply_first_output(FirstOutput("r0", "p", 0.06, 1, 0, 2, 2.5), 1.1)
    scheduler.release("z", Release("r0", 1, "p", "delivered", Usage(400, 0, 20, 0.06, 0.2)), 1.2)
    learned = scheduler.upstreams["u0"].speed.decode_factor
    running = RunningItem("r1", 1, "u0", "1", "t", "r", 400, 2000, 200, 1.0)
    scheduler.adopt("e", Adopt("p", (running,)), 1001.0)
    scheduler.apply_progress("e", Progress("p", (ProgressItem("r1", 400, 0.06, 2.0),)), 1002.0)
    assert 0.9 < scheduler.upstreams["u0"].speed.decode_factor / learned < 1.1
