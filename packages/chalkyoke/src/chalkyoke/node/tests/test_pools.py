"""Which replicas take new work, by what the store has told so far."""

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


def change(state, replicas, clock, revision, *changes):
    state.apply_replica_changes(changes, revision, clock.now)
    replicas.rebuild()


def test_a_leaving_that_was_heard_binds_while_the_store_is_away():
    """The store tells nothing more; time alone brings no leaving replica back."""
    state, replicas, clock = declared("m1 ready", "m2 ready")
    change(state, replicas, clock, 2, Item("m1", b"m1 draining", 2))
    for clock.now in (0.1, 5.0, 60.0):
        assert replicas.find("m1") is None
        assert [each.id for each in replicas.of_service("model")] == ["m2"]


def test_a_leaving_replica_is_no_last_resort_when_all_entries_lapse():
    state, replicas, clock = declared("m1 ready", "m2 ready")
    change(state, replicas, clock, 2, Item("m1", b"m1 draining", 2))
    change(state, replicas, clock, 3, Removed("m1", 3), Removed("m2", 4))
    assert [each.id for each in replicas.of_service("model")] == ["m2"]
    assert replicas.find("m1") is None


def test_an_entry_that_goes_without_a_word_ends_new_work_at_once():
    """Some replicas never say that they leave; a grant on its way is used for a moment more."""
    state, replicas, clock = declared("m1 ready", "m2 ready")
    change(state, replicas, clock, 2, Removed("m1", 2))
    assert [each.id for each in replicas.of_service("model")] == ["m2"]
    clock.now = DEPARTED_FALLBACK_S * 1.01
    assert replicas.find("m1") is None
    assert DEPARTED_FALLBACK_S < 2.0, "well within the time that a leaving replica serves on"


def test_entries_that_all_lapsed_serve_on_for_a_moment_and_not_for_longer():
    state, replicas, clock = declared("m1 ready")
    change(state, replicas, clock, 2, Removed("m1", 2))
    clock.now = DEPARTED_FALLBACK_S / 2
    assert replicas.find("m1") is not None
    clock.now = DEPARTED_FALLBACK_S * 2
    assert replicas.find("m1") is None and replicas.of_service("model") == []


def test_a_last_resort_counts_from_when_a_replica_went_not_from_when_that_was_heard():
    for heard_after_s, found in ((0.0, ["m1"]), (DEPARTED_FALLBACK_S + 0.1, [])):
        state, replicas, clock = declared("m1 ready")
        clock.now = 10.0
        state.apply_replica_changes([Removed("m1", 2)], 2, clock.now - heard_after_s)
        replicas.rebuild()
        assert [each.id for each in replicas.of_service("model")] == found
