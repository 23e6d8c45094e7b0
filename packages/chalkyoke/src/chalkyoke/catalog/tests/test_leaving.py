from chalkyoke.catalog.starts import KEPT_S, MOST_KEPT, StartMemory
from chalkyoke.storage.messages import Item, Removed

from .test_state import make


def listed(state, revision, *names, value=b"ready"):
    items = [Item(name, value, revision) for name in names]
    state.adopt_replicas(items, revision, 0.0)


def test_what_a_replica_says_goes_before_what_its_record_says():
    state = make()
    listed(state, 1, "r1", "r2")
    assert state.note_leaving("r1", 1.0)
    assert not state.note_leaving("r1", 1.1)
    assert [each.draining for each in state.replicas.values()] == [True, False]
    state.change_replicas([Item("r1", b"ready again", 2)], 2, 2.0)
    assert state.replicas["r1"].draining


def test_it_holds_for_a_record_that_lapses_and_for_one_that_comes_late():
    state = make()
    state.note_leaving("r1", 0.5)
    listed(state, 1, "r1", "r2")
    assert state.replicas["r1"].draining
    state.change_replicas([Removed("r1", 2)], 2, 2.0)
    assert state.departed["r1"].replica.draining
    state.forget_removed(40.0, 30.0)
    state.change_replicas([Item("r1", b"ready", 3)], 3, 41.0)
    assert state.replicas["r1"].draining


def test_it_is_no_news_where_the_record_said_so():
    state = make()
    listed(state, 1, "r1", value=b"draining")
    assert not state.note_leaving("r1", 1.0)


def test_what_is_remembered_is_bounded_in_time_and_number():
    leaving = StartMemory()
    for number in range(MOST_KEPT + 10):
        leaving.keep(f"r{number}", None, 0.0)
    assert "r9" not in leaving
    assert "r10" in leaving
    leaving.forget({"r11"}, KEPT_S + 1.0)
    assert "r11" in leaving
    assert "r12" not in leaving
