"""Plain services under load in the scheduler of their pool, and the faults of one grant."""

import pytest
from chalkyoke.scheduling.messages import (
    Acquire,
    Grant,
    Progress,
    ProgressItem,
    Release,
    Usage,
    Withdraw,
)
from chalkyoke.scheduling.scheduler import PoolScheduler
from chalkyoke.scheduling.tests.plainload import PlainLoad, in_goal, share

PROBE = Usage(total_s=0.009)


def rejected(call):
    return call.rejected > 0


@pytest.mark.parametrize("oneway_s", (0.0005, 0.0045))
@pytest.mark.parametrize("rate", (120, 250, 400))
def test_replicas_reject_nothing_and_calls_meet_goals_of_0_2_s(rate, oneway_s):
    """Guards against overfilled replicas (31 of 100 arrivals were rejected) and idle slots."""
    calls = PlainLoad(lambda _: rate, oneway_s=oneway_s).run(15.0)
    assert share(calls, rejected) < 0.01
    assert share(calls, in_goal) > 0.95


@pytest.mark.parametrize("queue", (0, 1))
def test_replicas_that_queue_less_than_the_extra_grants_are_not_overfilled(queue):
    """Guards against grants that are sent to a full replica and rejected, again and again."""
    load = PlainLoad(lambda _: 300)
    load.queue = queue
    calls = load.run(12.0)
    assert share(calls, rejected) < 0.01
    assert share(calls, in_goal) > 0.95


def test_equal_replicas_share_the_usual_load():
    """Guards against a replica that is filled while others are free, as its prediction is lower."""
    load = PlainLoad(lambda _: 123)
    load.run(15.0)
    assert max(load.started.values()) < 1.2 * load.started.total() / 3


def test_bursts_of_twice_the_rate_reject_nothing_and_shed_no_higher_tier():
    load = PlainLoad(lambda t: 500 if t % 10 > 7.5 else 250)
    calls = load.run(22.0)
    high = [each for each in calls if each.tier == "0"]
    assert share(calls, rejected) < 0.01
    assert share(calls, in_goal) > 0.85
    assert share(high, in_goal) > 0.98
    assert all(each.ended_at is not None for each in high)


def test_team_far_above_its_share_does_not_delay_the_other_one():
    """Guards against first come, first served: team a sends 50 of 550 calls a second."""
    load = PlainLoad(lambda _: 550)
    load.draw_team = lambda: "a" if load.random.random() < 1 / 11 else "b"
    load.draw_tier = lambda: "2"
    calls = load.run(12.0)
    assert share([each for each in calls if each.team == "a"], in_goal) > 0.9
    assert share([each for each in calls if each.team == "b"], in_goal) < 0.8


def test_a_lost_replica_costs_only_its_running_calls():
    load = PlainLoad(lambda _: 200)
    load.after(5.0, load.lost.add, "r0")
    calls = [each for each in load.run(12.0) if each.at > 5.5]
    assert share(calls, in_goal) > 0.95


def test_a_call_never_runs_twice():
    """Guards calls that may run once, through bursts, declines, refusals and a lost replica."""
    load = PlainLoad(lambda t: 900 if t % 4 > 2 else 300, slots=(2, 2, 6))
    load.after(5.0, load.lost.add, "r2")
    load.run(10.0)
    assert max(each.runs for each in load.calls.values()) == 1


def test_a_cut_off_failure_domain_uses_the_replicas_that_it_reaches():
    load = PlainLoad(lambda _: 60)
    for name in ("r0", "r1"):
        load.lost.add(name)
        load.scheduler.upstreams[name].unreachable_from["z"] = 100.0
    calls = load.run(10.0)
    assert share(calls, in_goal) > 0.95
    assert not load.scheduler.upstreams["r0"].running


def test_routes_that_fail_anywhere_suspend_no_replica_and_suspects_get_no_grants():
    """Guards against a loss of capacity by failures that say nothing about their replica."""
    load = PlainLoad(lambda _: 400)
    load.failing_share = 0.14
    assert share(load.run(10.0), in_goal) > 0.82
    load.scheduler.suspend(["r1"], 4.0, load.now)
    assert not load.scheduler.upstreams["r1"].is_usable("z", load.now + 3.9)


def test_a_suspect_is_used_where_no_other_replica_is_reached():
    """Guards a failure domain that is cut off with one replica, which fails some requests."""
    load = PlainLoad(lambda _: 1)
    for name in ("r0", "r2"):
        load.scheduler.upstreams[name].unreachable = 1
    load.scheduler.suspend(["r1"], 4.0, 0.0)
    assert load.scheduler.upstreams["r1"].is_usable("z", 0.1)


class OneSlot:
    """A pool with one replica of one slot and one extra grant."""

    def __init__(self):
        spec = PlainLoad(lambda _: 1, slots=(1,)).spec
        self.scheduler = PoolScheduler(spec, lambda: 0.5, 0.0)

    def acquire(self, name, now, attempt=1):
        message = Acquire(
            name, attempt, "p", "r", "2", "a", 0, 0, (), 2.0, 0.0, goal_s=0.2, whole_s=2.0
        )
        actions = self.scheduler.acquire("h", "z", message, now)
        return [each.action.request for each in actions if isinstance(each.action, Grant)]


def test_a_grant_whose_answer_was_lost_is_repeated_or_ended_by_a_withdrawal():
    pool = OneSlot()
    assert pool.acquire("x", 0.0) == ["x"] == pool.acquire("x", 0.03), "repeated, not granted anew"
    pool.scheduler.end_withdrawn_grant("other", Withdraw("x", "p"), 0.1)
    assert pool.scheduler.running == 1, "only the entry process of the grant may end it"
    pool.scheduler.end_withdrawn_grant("h", Withdraw("x", "p"), 0.1)
    assert pool.scheduler.running == 0


def test_a_grant_whose_release_was_lost_ends_and_a_long_one_stays():
    """Guards against slots that stay taken: short requests are in no progress report."""
    pool = OneSlot()
    pool.acquire("lost", 0.0)
    pool.acquire("long", 0.0)
    for now in (1.0, 2.0, 3.0, 4.0):
        pool.scheduler.apply_progress(
            "h", Progress("p", (ProgressItem("long", 0, -1.0, now),)), now
        )
        pool.scheduler.tick(now)
    assert list(pool.scheduler.upstreams["r0"].running) == ["long"]


@pytest.mark.parametrize("waiting", (0, 9))
def test_reported_load_of_other_hosts_takes_slots_while_it_is_fresh(waiting):
    """Guards against grants to a replica that hosts without a scheduler have filled."""
    pool = OneSlot()
    pool.acquire("x", 0.0)
    full = Release("x", 1, "p", "unused", PROBE, True, running=1, waiting=waiting, slots=1)
    pool.scheduler.release("z", full, 0.01)
    assert pool.acquire("y", 0.02) == []
    granted = [each.action.request for each in pool.scheduler.tick(0.15)]
    assert granted == ["y"], "the report has expired, and a full replica does not refuse all"
