from types import SimpleNamespace

import pytest
from chalkyoke.node.versionhistory import (
    MAX_HISTORY_S,
    MAX_LEFT_VERSIONS,
    MAX_LISTED_VERSIONS,
    VersionHistories,
)

AGE_S = 8.0


class Node:
    """A node whose records are complete since 1.0 s."""

    def __init__(self, *versions, first_start=False):
        self.now = 1.0
        self.state = SimpleNamespace(complete=True, replicas={})
        self.histories = VersionHistories(self.state, lambda: self.now, first_start=first_start)
        self.run(*versions)

    def run(self, *versions, service="model"):
        """List one replica of each version, and no others."""
        self.state.replicas = {
            version: SimpleNamespace(service=service, version=version) for version in versions
        }
        self.histories.catalog_changed()

    def history(self, age_s=AGE_S):
        return self.histories.of_service("model", age_s)


@pytest.mark.parametrize("first_start", [False, True])
def test_a_node_knows_the_past_before_its_start_only_if_the_fleet_did_not_exist(first_start):
    """Guards against a version that had just left, of which a node knew nothing at its start."""
    node = Node("v1", first_start=first_start)
    node.now = 1.5
    assert node.history().versions == ("v1",)
    assert (node.history().covers_s >= AGE_S) is first_start
    node.now = 1.0 + AGE_S
    assert node.history().covers_s >= AGE_S


def test_a_node_without_complete_records_knows_no_version():
    node = Node()
    empty = VersionHistories(SimpleNamespace(complete=False), lambda: node.now)
    empty.catalog_changed()
    assert (empty.of_service("model", AGE_S).versions, node.history().covers_s) == ((), 0.0)
    assert empty.of_service("model", AGE_S).covers_s == 0.0


def test_a_version_that_has_left_is_listed_for_as_long_as_a_stream_of_it_may_be_resumed():
    """Guards against versions forgotten at once because no record of their removal was seen."""
    node = Node("v1")
    node.now = 100.0
    node.run("v2")
    node.now += AGE_S
    assert node.history().versions == ("v1", "v2")
    assert node.histories.of_service("other", AGE_S).versions == ()
    node.now += 0.1
    assert node.history().versions == ("v2",)
    assert node.history(2 * AGE_S).versions == ("v1", "v2")


def test_a_version_that_returns_and_leaves_again_counts_from_its_last_leave():
    node = Node("v1")
    for now, version in ((10.0, "v2"), (12.0, "v1"), (20.0, "v2")):
        node.now = now
        node.run(version)
    node.now = 20.0 + AGE_S
    assert node.history().versions == ("v1", "v2")


def test_a_history_does_not_reach_back_to_versions_that_it_has_forgotten():
    node = Node(first_start=True)
    assert node.history().covers_s == MAX_HISTORY_S
    for number in range(MAX_LEFT_VERSIONS + 3):
        node.now = 10.0 + number / MAX_LEFT_VERSIONS
        node.run(f"v{number}")
    assert len(node.history().versions) == MAX_LISTED_VERSIONS
    assert 0.0 < node.history().covers_s < 2.0


def test_a_version_is_forgotten_when_no_stream_of_it_may_be_resumed_any_more():
    node = Node("v1")
    node.run("v2")
    node.now += MAX_HISTORY_S
    node.run("v2")
    assert node.history(MAX_HISTORY_S).versions == ("v1", "v2")
    node.now += 0.1
    node.run("v2")
    assert node.history(2 * MAX_HISTORY_S).versions == ("v2",)
