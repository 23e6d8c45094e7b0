import json

from chalkyoke.catalog.messages import (
    CatalogDelta,
    CatalogRequest,
    CatalogSnapshot,
    ReplicasDelta,
    ReplicasSnapshot,
)
from chalkyoke.catalog.resources import Catalog, Replica
from chalkyoke.catalog.state import CatalogState
from chalkyoke.storage.messages import Item, Removed
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok


def read_catalog(document):
    try:
        return Ok(Catalog(version=json.loads(document)["version"]))
    except (ValueError, KeyError) as error:
        return Err(str(error))


def read_replica(item):
    if not item.value:
        return Err("empty")
    return Ok(Replica(item.key, "s", "10.0.0.1", 80, "z", 4, item.value == b"draining"))


def make_state():
    return CatalogState(read_catalog, read_replica)


def document(version):
    return json.dumps({"version": version}).encode()


@given(st.lists(st.tuples(st.integers(1, 9), st.booleans())))
def test_versions_only_rise_with_updates_from_the_store_and_peers(steps):
    state, peer, highest = make_state(), make_state(), 0
    for version, by_peer in steps:
        if by_peer:
            peer.apply_document(document(version))
            state.apply_document_snapshot(peer.build_catalog_update())
            highest = max(highest, peer.catalog.version)
        else:
            state.apply_document(document(version))
            highest = max(highest, version)
        assert state.catalog.version == highest


def test_a_document_that_can_t_be_parsed_changes_nothing():
    state = make_state()
    state.apply_document(document(3))
    assert isinstance(state.apply_document(b"{"), Err)
    assert isinstance(state.apply_document_snapshot(CatalogSnapshot(9, b"no zlib")), Err)
    assert state.catalog.version == 3


def test_changes_apply_once_and_in_order():
    state = make_state()
    state.apply_replicas_snapshot([Item("a", b"ready", 5)], at=10, since=0.0)
    assert state.apply_replica_changes([Item("a", b"draining", 12)], 12, 1.0)
    assert not state.apply_replica_changes([Item("a", b"ready", 5)], 12, 1.0)
    assert state.replicas["a"].draining
    assert state.apply_replica_changes([Removed("a", 13)], 13, 2.0)
    assert state.replicas == {} and state.removed_replicas["a"].since == 2.0


def test_a_newer_snapshot_replaces_all_records_and_an_older_one_none():
    state = make_state()
    state.apply_replicas_snapshot(
        [Item("a", b"ready", 5), Item("b", b"ready", 6)], at=10, since=0.0
    )
    assert not state.apply_replicas_snapshot([Item("a", b"ready", 5)], at=9, since=0.0)
    assert state.apply_replicas_snapshot(
        [Item("b", b"ready", 6), Item("c", b"ready", 11)], at=12, since=3.0
    )
    assert set(state.replicas) == {"b", "c"} and set(state.removed_replicas) == {"a"}


def test_an_unreadable_record_does_not_affect_other_records():
    state = make_state()
    state.apply_replicas_snapshot([Item("a", b"", 5), Item("b", b"ready", 6)], at=10, since=0.0)
    assert set(state.replicas) == {"b"}


def test_a_request_is_answered_with_missing_updates_only():
    state = make_state()
    state.apply_document(document(3))
    state.apply_replicas_snapshot([Item("a", b"ready", 5)], at=10, since=0.0)
    update = state.answer_request(CatalogRequest(version=3, replicas_at=4))
    assert [type(each) for each in update] == [ReplicasSnapshot]
    assert state.answer_request(CatalogRequest(3, 10)) == []
    new_node = make_state()
    for each in state.answer_request(CatalogRequest(0, 0)):
        if isinstance(each, CatalogSnapshot):
            new_node.apply_document_snapshot(each)
        else:
            new_node.apply_replicas_snapshot(each.items, each.at, 0.0)
    assert new_node.complete and new_node.replicas == state.replicas


def test_a_lagging_peer_receives_deltas():
    state, peer = make_state(), make_state()
    listing = [Item(name, b"ready", number) for number, name in enumerate("abcd", 1)]
    for each in (state, peer):
        each.apply_replicas_snapshot(listing, at=10, since=0.0)
        each.apply_document(document(1))
    state.apply_replica_changes([Item("b", b"draining", 12), Removed("c", 13)], 20, 1.0)
    state.apply_document(document(2))
    catalog, replicas = state.answer_request(
        CatalogRequest(peer.catalog.version, peer.replicas_revision)
    )
    assert isinstance(catalog, CatalogDelta) and isinstance(replicas, ReplicasDelta)
    assert len(replicas.written) == len(replicas.removed) == 1
    assert peer.apply_document_delta(catalog) == Ok(True)
    assert peer.apply_replicas_delta(replicas, 1.0) == Ok(True)
    assert peer.replicas == state.replicas and peer.catalog == state.catalog
    assert (
        (peer.replicas_revision, peer.last_change_revision)
        == (state.replicas_revision, state.last_change_revision)
        == (20, 13)
    )


def test_a_delta_with_an_unknown_base_is_rejected():
    state, peer = make_state(), make_state()
    peer.apply_replicas_snapshot([Item("a", b"ready", 5)], at=10, since=0.0)
    assert isinstance(peer.apply_replicas_delta(ReplicasDelta(11, 20, (), (), 0.0), 0.0), Err)
    state.apply_document(document(4))
    state.apply_document(document(5))
    peer.apply_document(document(3))
    assert isinstance(peer.apply_document_delta(state.build_catalog_update(4)), Err)
    assert (peer.replicas_revision, peer.catalog.version) == (10, 3)


def test_an_equal_snapshot_is_no_change_and_keeps_the_change_revision():
    state, peer = make_state(), make_state()
    items = [Item("a", b"ready", 5), Item("b", b"ready", 7)]
    state.apply_replicas_snapshot(items, at=10, since=0.0)
    peer.apply_replicas_snapshot(items, at=12, since=0.0)
    assert state.last_change_revision == peer.last_change_revision == 7
    update = peer.build_replicas_update()
    assert not state.apply_replicas_snapshot(update.items, update.at, 1.0, update.changed_at)
    assert (state.replicas_revision, state.last_change_revision) == (12, 7)


@given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from("abc"), st.booleans()), max_size=30))
def test_nodes_that_receive_deltas_agree_with_the_watching_node(steps):
    state, peers = make_state(), [make_state(), make_state()]
    for each in (state, *peers):
        each.apply_replicas_snapshot([Item("a", b"ready", 1)], at=1, since=0.0)
    revision = 1
    for lost, key, gone in steps:
        revision += 2
        known_at = state.last_change_revision
        change = Removed(key, revision) if gone else Item(key, b"%d" % revision, revision)
        state.apply_replica_changes([change], revision + 1, 0.0)
        for number, peer in enumerate(peers):
            if number != lost:
                update = state.build_replicas_update(known_at)
                if isinstance(peer.apply_replicas_delta(update, 0.0), Err):
                    for answer in state.answer_request(CatalogRequest(0, peer.replicas_revision)):
                        peer.apply_replicas_delta(answer, 0.0)
                assert peer.replicas == state.replicas
                assert peer.last_change_revision == state.last_change_revision


def test_an_unreadable_record_removes_its_replica_until_it_is_readable():
    state = make_state()
    state.apply_replicas_snapshot([Item("a", b"x", 1), Item("b", b"x", 2)], at=2, since=0.0)
    assert state.apply_replica_changes([Item("a", b"", 3)], 3, 0.0)
    assert set(state.replicas) == {"b"} and not state.removed_replicas
    # A rewrite that can't be parsed for the same reason is no change.
    assert not state.apply_replica_changes([Item("a", b"", 4)], 4, 0.0)
    assert set(state.unreadable) == {"a"}
    assert state.apply_replica_changes([Item("a", b"x", 5)], 5, 0.0)
    assert set(state.replicas) == {"a", "b"} and not state.unreadable


@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1))
def test_unreadable_records_never_affect_other_replicas(writes):
    state = make_state()
    state.apply_replicas_snapshot([Item("good", b"x", 1)], at=1, since=0.0)
    for revision, (key, is_bad) in enumerate(writes, start=2):
        state.apply_replica_changes([Item(key, b"" if is_bad else b"x", revision)], revision, 0.0)
        assert state.replicas["good"].id == "good"
    last = dict(writes)
    assert set(state.replicas) - {"good"} == {key for key, is_bad in last.items() if not is_bad}


def read_start(item):
    return Ok(Replica(f"{item.key}/{item.value.decode()}", "s", "10.0.0.1", 80, "z", 4))


def make_state_of_starts(*starts):
    state = CatalogState(read_catalog, read_start)
    for revision, start in enumerate(starts, start=1):
        state.apply_replica_changes([Item("m", start, revision)], revision, 0.0)
    return state


def test_a_later_start_replaces_the_earlier_start():
    state = make_state_of_starts(b"1", b"2")
    assert set(state.replicas) == {"m/2"} and not state.removed_replicas
    assert [each.ended.id for each in state.pop_restarted()] == ["m/1"]
    assert state.pop_restarted() == []


def test_another_version_under_the_same_start_id_is_a_later_start():
    """Guards against sends in progress that went on at a version which had not begun them."""
    state = CatalogState(
        read_catalog,
        lambda item: Ok(
            Replica(item.key, "s", "10.0.0.1", 80, "z", 4, version=item.value.decode())
        ),
    )
    for revision, version in enumerate((b"v1", b"v1", b"v2"), start=1):
        assert state.pop_restarted() == []
        state.apply_replica_changes([Item("m", version, revision)], revision, 0.0)
    (restart,) = state.pop_restarted()
    assert (restart.ended.version, restart.later.version) == ("v1", "v2")


def test_late_updates_of_an_earlier_start_never_replace_the_later_one():
    state, behind = make_state_of_starts(b"1", b"2"), make_state_of_starts(b"1")
    state.apply_replicas_delta(ReplicasDelta(0, 1, (Item("m", b"1", 1),), (), 0.1), 0.0)
    state.apply_replicas_snapshot([Item("m", b"1", 1)], at=1, since=0.0)
    assert set(state.replicas) == {"m/2"}
    # Two nodes with different starts agree again after an update.
    behind.apply_replicas_delta(state.build_replicas_update(1, 0.1), 0.0)
    assert set(behind.replicas) == {"m/2"}
