from chalkyoke.catalog.starts import MAX_RETAINED_STARTS, RETENTION_S, RetainedStarts
from chalkyoke.storage.messages import Item, Removed

from .test_state import make_state


def apply_listing(state, revision, *names, value=b"ready"):
    items = [Item(name, value, revision) for name in names]
    state.apply_replicas_snapshot(items, revision, 0.0)


def test_an_announcement_takes_precedence_over_the_record():
    state = make_state()
    apply_listing(state, 1, "r1", "r2")
    assert state.mark_leaving("r1", 1.0)
    assert not state.mark_leaving("r1", 1.1)
    assert [each.draining for each in state.replicas.values()] == [True, False]
    state.apply_replica_changes([Item("r1", b"ready again", 2)], 2, 2.0)
    assert state.replicas["r1"].draining


def test_an_announcement_applies_to_removed_and_late_records():
    state = make_state()
    state.mark_leaving("r1", 0.5)
    apply_listing(state, 1, "r1", "r2")
    assert state.replicas["r1"].draining
    state.apply_replica_changes([Removed("r1", 2)], 2, 2.0)
    assert state.removed_replicas["r1"].replica.draining
    state.expire_removed(40.0, 30.0)
    state.apply_replica_changes([Item("r1", b"ready", 3)], 3, 41.0)
    assert state.replicas["r1"].draining


def test_an_announcement_is_not_new_if_the_record_is_draining():
    state = make_state()
    apply_listing(state, 1, "r1", value=b"draining")
    assert not state.mark_leaving("r1", 1.0)


def test_retained_starts_are_bounded_in_time_and_number():
    leaving = RetainedStarts()
    for number in range(MAX_RETAINED_STARTS + 10):
        leaving.put(f"r{number}", None, 0.0)
    assert "r9" not in leaving
    assert "r10" in leaving
    leaving.expire({"r11"}, RETENTION_S + 1.0)
    assert "r11" in leaving
    assert "r12" not in leaving
