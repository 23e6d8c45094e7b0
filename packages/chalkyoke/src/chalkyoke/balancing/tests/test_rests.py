from chalkyoke.balancing.local import LocalBalancer
from chalkyoke.retry_after import MAX_RETRY_AFTER_S

from .test_local import replicas as some_replicas


def make(count):
    return LocalBalancer("z0", lambda: 0.5), some_replicas(count)


def test_resting_replica_is_not_chosen_before_rest_ends():
    balancer, replicas = make(2)
    assert balancer.record_rest("r0", 3.0, 10.0) == (True, 3.0)
    assert {balancer.choose(replicas, 12.9).id for _ in range(20)} == {"r1"}
    assert balancer.choose(replicas[:1], 12.9) is None
    assert balancer.choose(replicas[:1], 13.0) is replicas[0]


def test_a_shorter_rest_does_not_end_a_longer_one():
    balancer, replicas = make(1)
    balancer.record_rest("r0", 3.0, 10.0)
    assert balancer.record_rest("r0", 0.5, 11.0) == (False, 2.0)
    assert balancer.rest_left_s(replicas, 12.0) == 1.0


def test_common_rest_lasts_until_first_replica_returns():
    balancer, replicas = make(2)
    balancer.record_rest("r0", 3.0, 10.0)
    assert balancer.rest_left_s(replicas, 10.0) == 0.0
    balancer.record_rest("r1", 2.0, 10.0)
    assert balancer.rest_left_s(replicas, 10.0) == 2.0
    assert balancer.rest_left_s([], 10.0) == 0.0


def test_rest_is_bounded_and_survives_lapsed_record():
    balancer, replicas = make(1)
    assert balancer.record_rest("r0", float("inf"), 0.0) == (True, MAX_RETRY_AFTER_S)
    balancer.prune((), 1.0)
    assert balancer.rest_left_s(replicas, 1.0) == MAX_RETRY_AFTER_S - 1.0
    balancer.prune((), MAX_RETRY_AFTER_S)
    assert balancer.rest_left_s(replicas, 1.0) == 0.0
