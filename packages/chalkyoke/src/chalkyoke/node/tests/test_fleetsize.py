"""
chalkyoke.node.tests.test_fleetsize
"""

from chalkyoke.membership.messages import MemberRecord
from chalkyoke.node.fleetsize import LEFT_RETENTION_S, LOST_RETENTION_S, FleetSize


def member(host, *, leaving=False):
    return MemberRecord(host, 1, f"{host}:1", "", "a", leaving, True, 0, 0)


def test_a_lost_host_counts_for_longer_than_one_that_left_on_plan():
    size = FleetSize()
    size.record_live([member("n0"), member("n1"), member("n2")], 0.0)
    size.record_live([member("n0"), member("n2", leaving=True)], 1.0)
    assert size.count() == 3
    size.record_live([member("n0")], LEFT_RETENTION_S + 1.0)
    assert size.count() == 2
    size.record_live([member("n0")], LOST_RETENTION_S + 1.0)
    assert size.count() == 1


def test_a_registered_host_counts_however_long_it_is_unreachable():
    size = FleetSize()
    size.record_registered(["n0", "n1"], 0.0)
    size.record_live([member("n0")], 2 * LOST_RETENTION_S)
    assert size.count() == 2
    size.record_registered(["n0"], 2 * LOST_RETENTION_S)
    size.record_live([member("n0")], 3 * LOST_RETENTION_S - 1.0)
    assert size.count() == 2
    size.record_live([member("n0")], 3 * LOST_RETENTION_S + 1.0)
    assert size.count() == 1


def test_a_host_that_returns_after_it_left_counts_as_live():
    size = FleetSize()
    size.record_live([member("n1", leaving=True)], 0.0)
    size.record_live([member("n1")], 1.0)
    size.record_live([member("n0")], LEFT_RETENTION_S + 10.0)
    assert size.count() == 2


def test_a_host_that_left_on_plan_does_not_count_again_when_its_registration_expires():
    size = FleetSize()
    size.record_registered(["n0", "n1"], 0.0)
    size.record_live([member("n0"), member("n1", leaving=True)], 0.0)
    size.record_live([member("n0")], LEFT_RETENTION_S + 1.0)
    size.record_registered(["n0"], LEFT_RETENTION_S + 2.0)
    assert size.count() == 1
