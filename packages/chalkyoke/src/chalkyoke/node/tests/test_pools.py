"""Which replicas take new requests, by the updates that the store has sent so far."""

from chalkyoke.catalog.resources import Replica
from chalkyoke.catalog.state import CatalogState
from chalkyoke.node.pools import DEPARTED_FALLBACK_S, DeclaredReplicas
from chalkyoke.storage.messages import Item, Removed
from result import Ok


def read_replica(item):
    name, _, state = item.value.decode().partition(" ")
    return Ok(Replica(name, "model", "127.0.0.1", 1, "a", 4, draining=state == "draining"))


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def declared(*values):
    clock = Clock()
    state = CatalogState(lambda document: Ok(None), read_replica)
    items = [Item(value.split()[0], value.encode(), 1) for value in values]
    state.apply_replicas_snapshot(items, 1, clock.now)
    replicas = DeclaredReplicas(state, clock)
    replicas.rebuild()
    return state, replicas, clock


def apply_changes(state, replicas, clock, revision, *changes):
    state.apply_replica_changes(changes, revision, clock.now)
    replicas.rebuild()


def test_a_leaving_replica_stays_excluded_while_the_store_is_unavailable():
    """The store sends no more updates, and the passing of time must not restore the replica."""
    state, replicas, clock = declared("m1 ready", "m2 ready")
    apply_changes(state, replicas, clock, 2, Item("m1", b"m1 draining", 2))
    for clock.now in (0.1, 5.0, 60.0):
        assert replicas.find("m1") is None
        assert [each.id for each in replicas.of_service("model")] == ["m2"]


def test_a_leaving_replica_is_no_fallback_when_all_records_are_removed():
    state, replicas, clock = declared("m1 ready", "m2 ready")
    apply_changes(state, replicas, clock, 2, Item("m1", b"m1 draining", 2))
    apply_changes(state, replicas, clock, 3, Removed("m1", 3), Removed("m2", 4))
    assert [each.id for each in replicas.of_service("model")] == ["m2"]
    assert replicas.find("m1") is None


def test_a_removed_replica_gets_no_new_requests_while_others_are_left():
    """Some replicas never announce that they leave; grants in transit stay usable for a moment."""
    state, replicas, clock = declared("m1 ready", "m2 ready")
    apply_changes(state, replicas, clock, 2, Removed("m1", 2))
    assert [each.id for each in replicas.of_service("model")] == ["m2"]
    clock.now = DEPARTED_FALLBACK_S * 1.01
    assert replicas.find("m1") is None
    assert DEPARTED_FALLBACK_S < 2.0, "a departed replica keeps serving for longer"


def test_the_last_removed_replica_is_a_fallback_for_a_limited_time():
    state, replicas, clock = declared("m1 ready")
    apply_changes(state, replicas, clock, 2, Removed("m1", 2))
    clock.now = DEPARTED_FALLBACK_S / 2
    assert replicas.find("m1") is not None
    clock.now = DEPARTED_FALLBACK_S * 2
    assert replicas.find("m1") is None and replicas.of_service("model") == []


def test_the_fallback_time_runs_from_the_removal_and_not_from_its_receipt():
    for delay_s, found in ((0.0, ["m1"]), (DEPARTED_FALLBACK_S + 0.1, [])):
        state, replicas, clock = declared("m1 ready")
        clock.now = 10.0
        state.apply_replica_changes([Removed("m1", 2)], 2, clock.now - delay_s)
        replicas.rebuild()
        assert [each.id for each in replicas.of_service("model")] == found
