from chalkyoke.outcomes import Reason
from chalkyoke.scheduling.messages import (
    Acquire,
    Adopt,
    Grant,
    LoadReport,
    Progress,
    Release,
    RunningItem,
    Shed,
    Usage,
)
from chalkyoke.scheduling.scheduler import PoolScheduler
from chalkyoke.scheduling.state import PoolSpec, RouteSpec, TeamSpec, TierSpec, UpstreamSpec


def make_spec(slots=1, upstreams=("u1",), **team):
    return PoolSpec(
        "pool",
        tuple(UpstreamSpec(name, f"{name}:1", "d", slots, 1000, 50) for name in upstreams),
        (TierSpec("high", 0), TierSpec("low", 1)),
        (TeamSpec("a", **team), TeamSpec("b")),
        (RouteSpec("r", frozenset(upstreams)),),
    )


def make_scheduler(expected=(), **options):
    return PoolScheduler(make_spec(**options), lambda: 0.5, 0.0, expected)


def acquire(name, tier="high", team="a", attempt=1, budget=30.0, most=100):
    return Acquire(name, attempt, "pool", "r", tier, team, 100, most, (), budget, 0.0)


def send_acquires(scheduler, now, *messages):
    outs = []
    for message in messages:
        outs += scheduler.acquire("e1", "d", message, now)
    return [out.action for out in outs]


def send_release(scheduler, name, now, outcome="delivered", attempt=1):
    usage = Usage(100, 0, 20, 0.1, 0.5)
    release = Release(name, attempt, "pool", outcome, usage)
    return [out.action for out in scheduler.release("d", release, now)]


def make_running_item(name, upstream="u1", attempt=1):
    return RunningItem(name, attempt, upstream, "high", "a", "r", 100, 100, 0, 0.0)


def test_repeated_acquire_changes_nothing_and_repeats_the_grant():
    scheduler = make_scheduler()
    first = send_acquires(scheduler, 0.0, acquire("x"))
    assert send_acquires(scheduler, 0.1, acquire("x")) == first
    assert (scheduler.running, scheduler.waiting) == (1, 0)


def test_waiting_request_that_is_adopted_as_running_is_not_granted_again():
    scheduler = make_scheduler(expected=["e1", "e2"])
    assert send_acquires(scheduler, 0.0, acquire("x")) == []
    scheduler.adopt("e1", Adopt("pool", (make_running_item("x"),)), 0.1)
    scheduler.adopt("e2", Adopt("pool", ()), 0.1)
    assert (scheduler.running, scheduler.waiting) == (1, 0)


def test_released_grant_is_not_adopted_over_newer_attempt():
    scheduler = make_scheduler(expected=["e1", "e2"])
    send_acquires(scheduler, 0.0, acquire("x", attempt=2))
    scheduler.adopt("e1", Adopt("pool", (make_running_item("x", attempt=1),)), 0.05)
    assert (scheduler.running, scheduler.waiting) == (0, 1)


def test_nothing_is_granted_until_all_entries_report_or_settle_time_passes():
    scheduler = make_scheduler(expected=["e1", "e2"])
    assert send_acquires(scheduler, 0.0, acquire("x")) == []
    scheduler.adopt("e1", Adopt("pool", (make_running_item("y"),)), 0.1)
    assert scheduler.tick(0.2) == []
    scheduler.adopt("e2", Adopt("pool", ()), 0.3)
    assert scheduler.running == 1
    silent = make_scheduler(expected=["e1", "e2"])
    send_acquires(silent, 0.0, acquire("x"))
    assert isinstance(silent.tick(1.0)[0].action, Grant)


def test_higher_tiers_go_first_and_teams_share_a_tier():
    scheduler = make_scheduler()
    send_acquires(scheduler, 0.0, acquire("first"), acquire("low", "low"), acquire("high"))
    assert send_release(scheduler, "first", 1.0)[0].request == "high"
    assert send_release(scheduler, "high", 2.0)[0].request == "low"
    send_acquires(scheduler, 3.0, *(acquire(f"a{i}") for i in range(3)), acquire("b0", team="b"))
    assert send_release(scheduler, "low", 4.0)[0].request.startswith(("a", "b"))
    order = [
        send_release(scheduler, name, 5.0 + i)[0].request
        for i, name in enumerate(_walk(scheduler, 2))
    ]
    assert "b0" in [*order, *scheduler._pool.running]


def _walk(scheduler, steps):
    for _ in range(steps):
        yield next(iter(scheduler._pool.running))


def test_team_gets_no_more_grants_than_its_limit():
    scheduler = make_scheduler(slots=5, max_running=2)
    send_acquires(scheduler, 0.0, *(acquire(f"a{i}") for i in range(4)), acquire("b", team="b"))
    assert sorted(scheduler._pool.running) == ["a0", "a1", "b"]


def test_request_that_no_idle_upstream_can_finish_is_refused_as_hopeless():
    action = send_acquires(make_scheduler(), 0.0, acquire("x", budget=0.05))[0]
    assert isinstance(action, Shed)
    assert (action.reason, action.retry_after_s) == (Reason.HOPELESS, None)


def test_unreachable_upstream_is_avoided_and_retried_later():
    scheduler = make_scheduler(upstreams=("u1", "u2"))
    first = send_acquires(scheduler, 0.0, acquire("x"))[0].upstream
    send_release(scheduler, "x", 0.1, "unreachable")
    again = send_acquires(scheduler, 0.2, acquire("x", attempt=2))[0]
    assert again.upstream != first
    send_release(scheduler, "x", 0.3, attempt=2)
    assert scheduler.upstreams[first].is_usable("d", 5.0)
    assert scheduler.upstreams[first].is_usable("another-domain", 0.2)


def test_backoffs_name_the_upstream_and_the_failure_domain():
    scheduler = make_scheduler(upstreams=("u1", "u2"))
    first = send_acquires(scheduler, 0.0, acquire("x"))[0].upstream
    send_release(scheduler, "x", 0.1, "unreachable")
    for index in range(3):
        upstream = send_acquires(scheduler, index + 1, acquire(f"y{index}"))[0].upstream
        send_release(scheduler, f"y{index}", index + 1.1, "failed")
    found = [(each.upstream, each.domain) for each in scheduler.take_backoffs()]
    assert found[0] == (first, "d") and (upstream, "") in found[1:]
    assert not scheduler.take_backoffs()


def test_repeatedly_failing_upstream_is_suspended():
    scheduler = make_scheduler()
    for index in range(3):
        send_acquires(scheduler, index, acquire(f"x{index}"))
        send_release(scheduler, f"x{index}", index + 0.5, "failed")
    assert not scheduler.upstreams["u1"].is_usable("d", 2.6)
    assert scheduler.upstreams["u1"].is_usable("d", 10.0)


def test_progress_report_ends_grant_whose_release_was_lost():
    scheduler = make_scheduler()
    send_acquires(scheduler, 0.0, acquire("x"), acquire("y"))
    assert scheduler.apply_progress("e1", Progress("pool", ()), 1.0) == []
    outs = scheduler.apply_progress("e1", Progress("pool", ()), 5.0)
    assert outs[0].action.request == "y"


def test_load_report_adds_only_foreign_load():
    scheduler = make_scheduler(slots=3)
    send_acquires(scheduler, 0.0, acquire("x"), acquire("y"))
    scheduler.apply_load_report(LoadReport("u1", 2, 0, 0.5), 0.5)
    assert scheduler.upstreams["u1"].foreign_load == 0
    scheduler.apply_load_report(LoadReport("u1", 3, 0, 0.5), 0.6)
    assert send_acquires(scheduler, 0.7, acquire("z")) == []
    assert isinstance(scheduler.tick(10.0)[0].action, Grant)


def test_requests_of_dead_entry_process_are_removed():
    scheduler = make_scheduler()
    send_acquires(scheduler, 0.0, acquire("x"), acquire("y"))
    scheduler.remove_entry("e1", 1.0)
    assert (scheduler.running, scheduler.waiting) == (0, 0)
    assert scheduler.upstreams["u1"].running == {}


def test_requests_of_removed_route_are_refused():
    scheduler = make_scheduler()
    send_acquires(scheduler, 0.0, acquire("x"), acquire("y"))
    outs = scheduler.configure(PoolSpec("pool", make_spec().upstreams, make_spec().tiers), 1.0)
    assert [out.action.reason for out in outs] == [Reason.NO_UPSTREAM]


def test_grants_of_silent_entry_process_are_ended():
    scheduler = make_scheduler()
    scheduler.remove_entry("e1", 0.0)
    # A message that was in flight when its sender died arrives after the report of its death.
    send_acquires(scheduler, 0.1, acquire("x"))
    scheduler.acquire("e2", "d", acquire("y"), 0.2)
    granted = []
    for second in range(1, 20):
        scheduler.apply_progress("e2", Progress("pool", ()), float(second))
        granted += [out.action.request for out in scheduler.tick(float(second))]
    assert granted == ["y"]


def test_refusal_states_whether_pool_is_mostly_free():
    scheduler = make_scheduler(slots=4)
    hopeless = acquire("x", budget=0.01)
    assert [out.pool_mostly_free for out in scheduler.acquire("e1", "d", hopeless, 0.0)] == [True]
    send_acquires(scheduler, 0.0, acquire("a"), acquire("b"))
    hopeless = acquire("y", budget=0.01)
    assert [out.pool_mostly_free for out in scheduler.acquire("e1", "d", hopeless, 0.0)] == [False]


def test_a_request_that_goes_on_at_its_silent_replica_counts_there_and_not_where_it_was_granted():
    """Guards against a slot that is granted twice: the later grant crossed the entry's message."""
    scheduler = make_scheduler()
    (first,) = send_acquires(scheduler, 0.0, acquire("x"))
    send_release(scheduler, "x", 1.0, outcome="failed")
    (second,) = send_acquires(scheduler, 1.0, acquire("x", attempt=2))
    assert second.attempt == 2
    item = make_running_item("x", upstream=first.upstream, attempt=1)
    scheduler.adopt("e1", Adopt("pool", (item,)), 1.01)
    send_release(scheduler, "x", 1.02, outcome="unused", attempt=2)
    assert scheduler.running == 1
    send_release(scheduler, "x", 2.0)
    assert scheduler.running == 0


def test_a_grant_that_ends_with_an_unknown_outcome_is_released():
    """Guards against an outcome of another version that raised, and held its slot."""
    scheduler = make_scheduler()
    send_acquires(scheduler, 0.0, acquire("first"), acquire("next"))
    assert send_release(scheduler, "first", 1.0, "calcelled")[0].request == "next"
    assert scheduler.upstreams["u1"].failures == 0.0
