import json

from chalkyoke.catalog.messages import CatalogRequest, CatalogTold, ReplicasTold
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


def make():
    return CatalogState(read_catalog, read_replica)


def document(version):
    return json.dumps({"version": version}).encode()


@given(st.lists(st.tuples(st.integers(1, 9), st.booleans())))
def test_versions_only_rise_whether_from_the_store_or_from_peers(steps):
    state, peer, highest = make(), make(), 0
    for version, by_peer in steps:
        if by_peer:
            peer.adopt_document(document(version))
            state.adopt_told(peer.tell_catalog())
            highest = max(highest, peer.catalog.version)
        else:
            state.adopt_document(document(version))
            highest = max(highest, version)
        assert state.catalog.version == highest


def test_what_can_t_be_read_changes_nothing():
    state = make()
    state.adopt_document(document(3))
    assert isinstance(state.adopt_document(b"{"), Err)
    assert isinstance(state.adopt_told(CatalogTold(9, b"no zlib")), Err)
    assert state.catalog.version == 3


def test_changes_apply_once_and_in_order():
    state = make()
    state.adopt_replicas([Item("a", b"ready", 5)], at=10, now=0.0)
    assert state.change_replicas([Item("a", b"draining", 12)], 12, 1.0)
    assert not state.change_replicas([Item("a", b"ready", 5)], 12, 1.0)
    assert state.replicas["a"].draining
    assert state.change_replicas([Removed("a", 13)], 13, 2.0)
    assert state.replicas == {} and state.departed["a"].since == 2.0


def test_a_full_reading_replaces_and_an_older_one_does_not():
    state = make()
    state.adopt_replicas([Item("a", b"ready", 5), Item("b", b"ready", 6)], at=10, now=0.0)
    assert not state.adopt_replicas([Item("a", b"ready", 5)], at=9, now=0.0)
    assert state.adopt_replicas([Item("b", b"ready", 6), Item("c", b"ready", 11)], at=12, now=3.0)
    assert set(state.replicas) == {"b", "c"} and set(state.departed) == {"a"}


def test_a_record_that_can_t_be_read_hides_no_other():
    state = make()
    state.adopt_replicas([Item("a", b"", 5), Item("b", b"ready", 6)], at=10, now=0.0)
    assert set(state.replicas) == {"b"}


def test_a_peer_is_told_what_it_lacks_and_nothing_else():
    state = make()
    state.adopt_document(document(3))
    state.adopt_replicas([Item("a", b"ready", 5)], at=10, now=0.0)
    told = state.answers(CatalogRequest(version=3, replicas_at=4))
    assert [type(each) for each in told] == [ReplicasTold]
    assert state.answers(CatalogRequest(3, 10)) == []
    newcomer = make()
    for each in state.answers(CatalogRequest(0, 0)):
        if isinstance(each, CatalogTold):
            newcomer.adopt_told(each)
        else:
            newcomer.adopt_replicas(each.items, each.at, 0.0)
    assert newcomer.complete and newcomer.replicas == state.replicas
