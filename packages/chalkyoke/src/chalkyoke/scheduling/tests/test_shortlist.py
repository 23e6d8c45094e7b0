from chalkyoke.scheduling.placement import Features
from chalkyoke.scheduling.scheduler import PoolScheduler
from chalkyoke.scheduling.shortlist import (
    MAX_BUSY_COMPARED,
    MAX_CACHED_COMPARED,
    MAX_COMPARED,
    MAX_FREE_COMPARED,
    Openings,
    fastest_upstreams,
)
from chalkyoke.scheduling.state import PoolSpec, RouteSpec, TeamSpec, TierSpec

from .test_goals import acquire, upstream


def scheduler_of(count):
    """Make a scheduler over engines of which every third one is three times slower."""
    speeds = [40_000.0, 13_000.0, 40_000.0]
    upstreams = tuple(
        upstream(f"u{number:03d}", prefill=speeds[number % 3]) for number in range(count)
    )
    spec = PoolSpec(
        "pool",
        upstreams,
        (TierSpec("1", 0),),
        (TeamSpec("a"),),
        (RouteSpec("r", frozenset(each.id for each in upstreams)),),
    )
    return PoolScheduler(spec, lambda: 0.5, 0.0, features=Features(late_last=False))


def openings_of(scheduler, now=1.0):
    eligible = {"r": [scheduler.upstreams[name] for name in sorted(scheduler.upstreams)]}
    return Openings(eligible, now)


def test_small_pool_compares_all_upstreams():
    openings = openings_of(scheduler_of(MAX_COMPARED))
    assert len(openings.candidates("r", "d", {})) == MAX_COMPARED


def test_large_pool_compares_fastest_upstreams_and_those_with_cached_prefix():
    scheduler = scheduler_of(140)
    depths = {f"u{number:03d}": number for number in range(1, 140, 3)}
    compared = openings_of(scheduler).candidates("r", "d", depths)
    assert len(compared) == MAX_FREE_COMPARED + MAX_CACHED_COMPARED
    names = [each.spec.id for each in compared]
    assert all(int(name[1:]) % 3 != 1 for name in names[:MAX_FREE_COMPARED])
    assert set(sorted(depths)[-MAX_CACHED_COMPARED:]) <= set(names)


def test_busy_upstreams_are_compared_by_earliest_finish():
    scheduler = scheduler_of(60)
    for number in range(200):
        scheduler.acquire("e", "d", acquire(f"x{number}"), 0.0)
    busy = [each for each in scheduler.upstreams.values() if not each.has_slot(0.1)]
    assert len(busy) > MAX_BUSY_COMPARED
    compared = openings_of(scheduler, 0.1).candidates("r", "d", {})
    soonest = sorted(each.expected_finishes()[0] for each in busy)[:MAX_BUSY_COMPARED]
    assert sorted(each.expected_finishes()[0] for each in compared if each in busy) == soonest


def test_invalidated_openings_count_a_new_grant():
    scheduler = scheduler_of(40)
    openings = openings_of(scheduler)
    free = openings.free_slots("r", "d")
    scheduler.acquire("e", "d", acquire("x"), 1.0)
    assert openings.free_slots("r", "d") == free
    openings.invalidate_slots()
    assert openings.free_slots("r", "d") == free - 1


def test_fastest_upstreams_have_lowest_idle_time():
    chosen = fastest_upstreams(scheduler_of(90).upstreams.values())
    assert all(int(each.spec.id[1:]) % 3 != 1 for each in chosen)
