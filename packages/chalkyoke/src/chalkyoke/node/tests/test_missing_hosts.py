"""
chalkyoke.node.tests.test_missing_hosts

Whether a node sees every host that may exist.
"""

from types import SimpleNamespace

from chalkyoke.node.fleetsize import LEFT_RETENTION_S, FleetSize

LONG_S = 10 * LEFT_RETENTION_S


def members(*hosts, leaving=()):
    return [SimpleNamespace(host=each, leaving=each in leaving) for each in hosts]


def make_fleet(*hosts):
    fleet = FleetSize()
    fleet.record_registered(hosts, 0.0)
    fleet.record_live(members(*hosts), 0.0)
    return fleet


def test_a_host_that_is_lost_is_missing_however_long_ago_it_was_seen():
    """Guards against a group that was cut off for minutes and took itself for the whole fleet."""
    fleet = make_fleet("a", "b", "c")
    assert fleet.is_whole(members("a", "b", "c"))
    for now in (1.0, LEFT_RETENTION_S + 1.0, LONG_S):
        fleet.record_live(members("a", "b"), now)
        assert not fleet.is_whole(members("a", "b"))
    fleet.record_live(members("a", "b", "c"), LONG_S + 1.0)
    assert fleet.is_whole(members("a", "b", "c"))


def test_a_host_that_left_on_plan_or_is_no_longer_registered_is_not_missing():
    fleet = make_fleet("a", "b", "c")
    fleet.record_live(members("a", "b", "c", leaving=("c",)), 1.0)
    fleet.record_live(members("a"), LONG_S)
    assert not fleet.is_whole(members("a"))
    fleet.record_registered(["a"], LONG_S)
    assert fleet.is_whole(members("a"))


def test_a_node_that_has_not_read_the_list_of_hosts_sees_no_whole_fleet():
    """Guards against a host that restarts in a group which is cut off."""
    fleet = FleetSize()
    fleet.record_live(members("a", "b"), 0.0)
    assert not fleet.is_whole(members("a", "b"))
