from types import SimpleNamespace

import pytest
from chalkyoke.node.versionhistory import VersionHistories


def histories(first_start):
    """Return the histories of a node that got complete records at 1.0 s, and its clock."""
    clock = SimpleNamespace(now=1.0)
    replica = SimpleNamespace(service="model", version="v1")
    state = SimpleNamespace(complete=True, replicas={"m0": replica}, removed_replicas={})
    found = VersionHistories(state, lambda: clock.now, first_start=first_start)
    found.catalog_changed()
    return found, clock


@pytest.mark.parametrize("first_start", [False, True])
def test_a_node_knows_the_past_before_its_start_only_if_the_fleet_did_not_exist(first_start):
    """Guards against a version that had just left, of which a node knew nothing at its start."""
    found, clock = histories(first_start)
    clock.now = 1.5
    history = found.of_service("model")
    assert history.versions == ("v1",)
    assert (history.covers_s >= 8.0) is first_start
    clock.now = 9.5
    assert found.of_service("model").covers_s >= 8.0
