"""What replicas state about the rejections that they survive."""

import pytest
from chalkyoke.balancing.brittle import MAX_PAUSE_S, STATEMENT_VALID_S, BrittleReplicas
from chalkyoke.balancing.queueing import QueuedServices


def test_a_service_is_brittle_until_all_its_replicas_say_otherwise_or_fall_silent():
    brittle = BrittleReplicas()
    brittle.record_answer("seats", "s1", 5, 10.0)
    brittle.record_answer("seats", "s2", 5, 10.0)
    brittle.record_answer("seats", "s1", None, 11.0)
    assert brittle.is_brittle("seats", 11.0) and not brittle.is_brittle("other", 11.0)
    brittle.record_answer("seats", "s2", None, 12.0)
    assert not brittle.is_brittle("seats", 12.0)
    brittle.record_answer("seats", "s2", 5, 13.0)
    assert brittle.is_brittle("seats", 13.0 + STATEMENT_VALID_S)
    assert not brittle.is_brittle("seats", 13.1 + STATEMENT_VALID_S)


@pytest.mark.parametrize("most, nodes", [(5, 7), (5, 1), (40, 7)])
def test_rejections_of_all_nodes_together_stay_below_what_a_replica_survives(most, nodes):
    brittle = BrittleReplicas()
    assert brittle.pause_s("seats", "s1", nodes) == 0.0
    brittle.record_answer("seats", "s1", most, 10.0)
    assert nodes / brittle.pause_s("seats", "s1", nodes) <= most


def test_the_pause_is_bounded_in_large_fleets_and_for_replicas_that_survive_no_rejection():
    brittle = BrittleReplicas()
    for most in (0, 1):
        brittle.record_answer("seats", "s1", most, 10.0)
        assert brittle.pause_s("seats", "s1", 195) == MAX_PAUSE_S


def test_a_brittle_service_is_queued_whatever_its_use():
    brittle = BrittleReplicas()
    queued = QueuedServices(lambda: 10.0, lambda name: brittle.is_brittle(name, 10.0), never=True)
    assert not queued.is_queued("seats")
    brittle.record_answer("seats", "s1", 5, 10.0)
    assert queued.is_queued("seats") and not queued.is_queued("other")
