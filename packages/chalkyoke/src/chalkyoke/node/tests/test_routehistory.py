from types import SimpleNamespace

import pytest
from chalkyoke.catalog.resources import Route, Target
from chalkyoke.node.routehistory import RouteHistories
from chalkyoke.resumption.origins import route_key, targets_digest

AGE_S = 8.0
HOST = "desk.example"


def route(prefix, *services):
    return Route(prefix, HOST, prefix, tuple(Target(each, 1.0) for each in services))


class Node:
    """A node that has known these routes from its start on."""

    def __init__(self, *routes):
        self.now = 100.0
        self._state = SimpleNamespace(catalog=SimpleNamespace(version=0, routes=()))
        self.histories = RouteHistories(self._state, lambda: self.now)
        self.histories.catalog_changed()
        self.configure(1, *routes)

    def configure(self, version, *routes):
        self._state.catalog = SimpleNamespace(version=version, routes=routes)
        self.histories.catalog_changed()

    def has_moved(self, prefix="/a/", *services):
        targets = targets_digest((each, 1.0) for each in services or ("model",))
        return self.histories.has_moved(route_key(HOST.upper(), prefix), targets, AGE_S)


def test_a_route_that_a_node_has_always_known_has_not_moved():
    node = Node(route("/a/", "model"))
    assert not node.has_moved()
    node.configure(2, route("/a/", "model"), route("/b/", "other"))
    assert not node.has_moved()


@pytest.mark.parametrize(
    ("before", "after"),
    [
        ([route("/a/", "other")], [route("/a/", "model")]),
        ([route("/a/", "model", "other")], [route("/a/", "model")]),
        ([], [route("/a/", "model")]),
        ([route("/", "other")], [route("/", "other"), route("/a/", "model")]),
        ([route("/a/", "model"), route("/a/b/", "other")], [route("/a/", "model")]),
    ],
    ids=["moved", "no longer split", "added", "longer prefix", "longer prefix gone"],
)
def test_a_route_has_moved_for_as_long_as_streams_of_the_old_service_may_be_resumed(before, after):
    """Guards against streams that went on at the only version of another service."""
    node = Node(*before)
    node.configure(2, *after)
    node.now += AGE_S
    assert node.has_moved()
    node.now += 0.1
    assert not node.has_moved()


def test_a_route_that_goes_and_comes_back_has_moved():
    node = Node(route("/a/", "model"))
    node.configure(2)
    assert node.has_moved()
    node.configure(3, route("/a/", "model"))
    assert node.has_moved()


def test_a_route_has_moved_where_two_nodes_know_different_services():
    node = Node(route("/a/", "model"))
    assert node.has_moved("/a/", "other") and node.has_moved("/b/")


def test_a_node_without_a_catalog_knows_of_no_move():
    nobody = RouteHistories(SimpleNamespace(), lambda: 0.0)
    assert not nobody.has_moved("h/", 1, AGE_S)
    assert not Node(route("/a/", "model")).histories.has_moved("", 0, AGE_S)
