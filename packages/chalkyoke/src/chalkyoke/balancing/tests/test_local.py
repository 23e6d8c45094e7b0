from chalkyoke.balancing.local import LocalBalancer
from chalkyoke.catalog.resources import Replica
from chalkyoke.scheduling.features import Features


def replicas(count=3):
    return [Replica(f"r{n}", "s", "10.0.0.1", 80 + n, f"z{n}", 6) for n in range(count)]


def make():
    return LocalBalancer("z0", lambda: 0.5)


def test_the_least_loaded_replica_is_chosen():
    balancer = make()
    balancer.stats("r0").outstanding = 4
    balancer.stats("r1").record_load(5, 0, now=0.0)
    assert balancer.choose(replicas(), 0.0).id == "r2"


def test_reported_load_decays():
    balancer = make()
    balancer.stats("r0").record_load(6, 6, now=0.0)
    assert balancer.choose(replicas(), 0.0).id != "r0"
    assert balancer.choose(replicas(), 10.0).id == "r0"


def test_failing_or_unreachable_replica_ranks_last_but_is_never_excluded():
    balancer = make()
    balancer.stats("r0").record_failure(1.0, 0.0)
    balancer.stats("r1").record_unreachable(0.0)
    assert balancer.choose(replicas(), 0.1).id == "r2"
    for each in replicas():
        balancer.stats(each.id).record_unreachable(0.1)
    assert balancer.choose(replicas(), 0.2) is not None


def test_failures_decay():
    balancer = make()
    balancer.stats("r0").record_failure(1.0, 0.0)
    assert balancer.choose(replicas(), 0.1).id != "r0"
    assert balancer.choose(replicas(), 60.0).id == "r0"


def test_other_replicas_are_tried_before_avoided_ones():
    assert make().choose(replicas(), 0.0, avoid=["r0", "r1"]).id == "r2"
    assert make().choose(replicas(1), 0.0, avoid=["r0"]).id == "r0"


def test_faster_replica_is_preferred():
    balancer = make()
    balancer.stats("r0").record_answer(0.5, 0.0)
    balancer.stats("r1").record_answer(0.05, 0.0)
    balancer.stats("r2").record_answer(0.5, 0.0)
    assert balancer.choose(replicas(), 0.0).id == "r1"


def test_a_replica_that_was_slow_once_is_used_again_although_the_others_have_free_slots():
    """Guards against a replica that was silent for a second and then got no more requests."""
    balancer = make()
    balancer.stats("r0").record_answer(1.2, 0.0)
    chosen = set()
    for step in range(100):
        now = step / 5
        chosen.add(balancer.choose(replicas(2), now).id)
        balancer.stats("r1").record_answer(0.05, now)
        if now <= 2.0:
            assert chosen == {"r1"}
    assert chosen == {"r0", "r1"}


def test_no_replica_is_chosen_beyond_outstanding_bound():
    balancer = make()
    for each in replicas():
        balancer.stats(each.id).outstanding = 1
    assert balancer.choose(replicas(), 0.0, max_outstanding=lambda _: 1) is None


def test_full_replica_is_preferred_over_unreachable_one():
    balancer = make()
    balancer.stats("r0").outstanding = 1
    balancer.stats("r1").record_unreachable(0.0)
    assert balancer.choose(replicas(2), 0.1, max_outstanding=lambda _: 1) is None
    balancer.stats("r0").outstanding = 0
    assert balancer.choose(replicas(2), 0.1, max_outstanding=lambda _: 1).id == "r0"


def test_unreachable_replica_is_tried_if_all_are_unreachable():
    balancer = make()
    for name in ("r0", "r1"):
        balancer.stats(name).record_unreachable(0.0)
    balancer.stats("r0").outstanding = 1
    assert balancer.choose(replicas(2), 0.1, max_outstanding=lambda _: 1).id == "r1"


def make_placed():
    return LocalBalancer("z0", lambda: 0.5, Features(local_domain=True, time_factors=True))


def test_a_request_stays_at_home_while_a_replica_there_answers_within_the_goal():
    balancer = make_placed()
    balancer.stats("r0").record_answer(0.045, 0.0)
    balancer.stats("r0").outstanding = 7
    assert balancer.choose(replicas(), 0.0, goal_s=0.2).id == "r0"
    assert balancer.choose(replicas(), 0.0, goal_s=0.08).id != "r0"


def test_a_failing_or_tried_replica_at_home_is_no_reason_to_stay():
    balancer = make_placed()
    assert balancer.choose(replicas(), 0.0, avoid=("r0",), goal_s=0.2).id != "r0"
    balancer.stats("r0").record_failure(1.0, 0.0)
    assert balancer.choose(replicas(), 0.1, goal_s=0.2).id != "r0"


def test_streams_stay_at_home_by_the_time_of_their_first_event():
    """Guards against streams that leave home because they last longer than their goal."""
    balancer = make_placed()
    balancer.stats("r0").record_answer(3.0, 0.0, 0.2)
    balancer.stats("r0").outstanding = 1
    assert balancer.choose(replicas(), 0.0, goal_s=0.6).id == "r0"
    assert balancer.choose(replicas(), 0.0, goal_s=0.3).id != "r0"


def test_a_factor_that_is_always_reported_is_not_counted_twice():
    """Guards against leaving a replica whose measured latency already contains its factor."""
    balancer = make_placed()
    stats = balancer.stats("r0")
    for number in range(500):
        stats.time_factor.record(2.0, number * 0.2)
        stats.record_answer(0.1, number * 0.2)
    assert balancer.choose(replicas(), 100.0, goal_s=0.2).id == "r0"


def test_a_reported_time_factor_counts_only_while_it_is_valid():
    balancer = make_placed()
    balancer.stats("r0").record_answer(0.1, 0.0)
    balancer.stats("r0").time_factor.record(2.5, 0.0)
    assert balancer.choose(replicas(), 0.1, goal_s=0.2).id != "r0"
    assert balancer.choose(replicas(), 5.0, goal_s=0.2).id == "r0"
