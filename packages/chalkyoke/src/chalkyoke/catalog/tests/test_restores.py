from chalkyoke.catalog.messages import CatalogRequest, ReplicasDelta
from chalkyoke.catalog.resources import Catalog, Replica
from chalkyoke.catalog.restores import MISSING_RECORD_TTL_S, OUTDATED_RECORD_TTL_S
from chalkyoke.catalog.state import CatalogState
from chalkyoke.rollouts.resources import RolloutOrder, RolloutState, RolloutStatus
from chalkyoke.storage.messages import Item, Removed
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok


def read_record(item):
    text = item.value.decode()
    if item.key.startswith("order"):
        return Ok(RolloutOrder("pool", text, text, 20.0, item.revision))
    if item.key.startswith("status"):
        return Ok(RolloutStatus("pool", text, RolloutState.RUNNING, item.revision))
    start, _, state = text.partition(" ")
    return Ok(Replica(start, "pool", "127.0.0.1", 80, "a", 4, draining=state == "draining"))


def make_state(*items, at=10, epoch=1):
    state = CatalogState(lambda document: Ok(Catalog(version=1)), read_record)
    state.apply_replicas_snapshot(items, at, 0.0, epoch=epoch, now=0.0)
    return state


def names(state, *, draining=False):
    return {each.id for each in state.replicas.values() if each.draining is draining}


A, B = Item("a", b"a1 ready", 3), Item("b", b"b1 ready", 4)


# Guards against updates that are ignored since the revisions of a restored store are lower.
def test_a_later_epoch_is_newer_whatever_its_revisions_are():
    state = make_state(A, B, at=35)
    assert state.apply_replicas_snapshot([A, B], 31, 0.0, epoch=2, now=1.0)
    assert (state.epoch, state.replicas_revision, state.last_change_revision) == (2, 31, 4)
    assert state.apply_replica_changes([Item("a", b"a1 draining", 32)], 32, 1.0, 1.0)
    assert names(state, draining=True) == {"a1"}
    assert not state.apply_replicas_snapshot([A, B], 36, 0.0, epoch=1, now=1.0)


# Guards against work for a replica that the copy says is ready, after it said that it leaves.
def test_a_start_that_leaves_is_not_ready_again_by_an_older_record():
    state = make_state(A, B)
    state.apply_replica_changes([Item("a", b"a1 draining", 12)], 12, 0.0, 0.0)
    state.apply_replicas_snapshot([A, B], 10, 0.0, epoch=2, now=1.0)
    assert names(state) == {"b1"}
    state.resolve_conflicts(1.0 + OUTDATED_RECORD_TTL_S)
    assert names(state) == {"b1"}
    state.apply_replica_changes([Item("a", b"a2 ready", 11)], 11, 7.0, 7.0)
    assert names(state) == {"a2", "b1"}


# Guards against work for a replica that is gone, until the store has had time to remove it.
def test_a_start_that_is_gone_comes_back_only_if_the_store_keeps_it():
    for keeps in (False, True):
        state = make_state(A, B)
        state.apply_replica_changes([Removed("a", 12)], 12, 0.0, 0.0)
        state.apply_replicas_snapshot([A, B], 10, 0.0, epoch=2, now=1.0)
        assert names(state) == {"b1"}
        if not keeps:
            assert state.apply_replica_changes([Removed("a", 11)], 11, 4.0, 4.0)
        state.resolve_conflicts(1.0 + OUTDATED_RECORD_TTL_S)
        assert names(state) == ({"a1", "b1"} if keeps else {"b1"})


# Guards against a pause of a replica whose first record is among the lost ones.
def test_a_record_that_the_copy_lacks_stays_in_force_until_it_is_written_again():
    for again in (False, True):
        state = make_state(B)
        state.apply_replica_changes([Item("a", b"a1 ready", 12)], 12, 0.0, 0.0)
        state.apply_replicas_snapshot([B], 10, 0.0, epoch=2, now=1.0)
        assert names(state) == {"a1", "b1"}
        if again:
            # Peers have the same conflict, and are to learn of its end.
            assert state.apply_replica_changes([Item("a", b"a1 ready", 11)], 11, 2.0, 2.0)
        state.resolve_conflicts(1.0 + MISSING_RECORD_TTL_S)
        assert names(state) == ({"a1", "b1"} if again else {"b1"})


# Guards against an answer of this system's own that is not seen to be lost.
def test_an_answer_to_an_order_that_the_copy_lacks_is_gone_at_once():
    order = Item("order", b"2", 5)
    state = make_state(order)
    state.apply_replica_changes([Item("status", b"2", 12)], 12, 0.0, 0.0)
    state.apply_replicas_snapshot([order], 10, 0.0, epoch=2, now=1.0)
    assert set(state.orders) == {"pool"} and not state.statuses


# Guards against an earlier order that is in force again for the moment before the rewrite.
def test_an_order_that_took_the_place_of_another_stays_in_force():
    first = Item("order", b"2", 5)
    state = make_state(first)
    state.apply_replica_changes([Item("order", b"3", 12)], 12, 0.0, 0.0)
    state.apply_replicas_snapshot([first], 10, 0.0, epoch=2, now=1.0)
    assert state.orders["pool"].order.version == "3"
    state.resolve_conflicts(1.0 + OUTDATED_RECORD_TTL_S)
    assert state.orders["pool"].order.version == "2"


# Guards against a trial that begins anew, with another exposure, for an order written again.
def test_an_order_that_was_lost_and_is_written_again_is_the_same_order():
    state = make_state(B, at=30)
    state.apply_replica_changes([Item("order", b"2", 35)], 35, 3.0, 3.0)
    given = state.orders["pool"]
    state.apply_replicas_snapshot([B], 28, 0.0, epoch=2, now=5.0)
    assert state.orders["pool"] == given
    state.apply_replica_changes([Item("order", b"2", 31)], 31, 6.0, 6.0)
    again = state.orders["pool"]
    assert (again.since, again.order.name) == (given.since, given.order.name)
    assert again.order.revision == 31
    # A node that knows the later one only means the same; one with another order does not.
    late = make_state(B, Item("order", b"2", 31), at=31, epoch=2)
    assert late.orders["pool"].order.name.matches(again.order.name)
    other = make_state(B, Item("order", b"3", 35), at=35, epoch=2)
    assert not other.orders["pool"].order.name.matches(again.order.name)


# Guards against an order that the operator gives anew, after a roll back, and that is not followed.
def test_an_order_that_is_given_once_more_in_the_same_epoch_is_another():
    state = make_state(Item("order", b"2", 5))
    given = state.orders["pool"].order.name
    state.apply_replica_changes([Item("order", b"2", 12)], 12, 3.0, 3.0)
    assert not state.orders["pool"].order.name.matches(given)


# Guards against whole listings to each host of a large domain when the store is restored.
def test_peers_in_the_epoch_before_are_told_the_difference():
    state, peer, other = make_state(A, B), make_state(A, B), make_state(A)
    state.apply_replicas_snapshot([B, Item("c", b"c1 ready", 9)], 9, 0.0, epoch=2, now=1.0)
    delta = state.build_restore_update()
    assert isinstance(delta, ReplicasDelta) and len(delta.written) == 1
    assert peer.apply_replicas_delta(delta, 0.0, 1.0) == Ok(True)
    assert (peer.position, peer.last_change_revision) == (
        state.position,
        state.last_change_revision,
    )
    assert names(peer) == names(state) == {"a1", "b1", "c1"}
    # A second delta of the same restore makes nobody ask for all.
    assert peer.apply_replicas_delta(delta, 0.0, 1.0) == Ok(False)
    # One that knew something else asks for all.
    assert isinstance(other.apply_replicas_delta(delta, 0.0, 1.0), Err)
    (whole,) = state.answer_request(CatalogRequest(1, 0, other.epoch))
    assert other.apply_replicas_snapshot(
        whole.items, whole.at, 0.0, whole.changed_at, epoch=2, now=1.0
    )
    assert other.position == state.position


# Guards against updates of nodes that know no epoch, whose revisions can't be compared.
def test_what_comes_without_an_epoch_is_not_taken_once_one_is_known():
    state = make_state(A, B, epoch=2)
    assert not state.apply_replicas_snapshot([A], 40, 0.0, now=1.0)
    assert state.apply_replicas_delta(
        ReplicasDelta(10, 40, (), (Removed("a", 40),), 0.0), 0.0
    ) == Ok(False)
    assert names(state) == {"a1", "b1"}
    (answer,) = state.answer_request(CatalogRequest(1, 50))
    assert len(answer.items) == 2


# Guards against a node that knows no epoch yet and takes its first one for a restore.
def test_the_first_epoch_is_no_restore():
    state = make_state(A, B, epoch=0)
    assert state.apply_replicas_snapshot([B], 10, 0.0, epoch=3, now=1.0)
    assert (state.epoch, names(state)) == (3, {"b1"})


class StoreWithCopies(RuleBasedStateMachine):
    """A store that is restored at any time, two nodes that follow it, one that asks one of them."""

    KEYS = ("a", "b", "c")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.epoch, self.revision, self.items = 1, 1, {}
        self.copies = [(1, {})]
        self.nodes = [make_state(at=1) for _ in range(3)]
        self.starts = 0
        self.left = set()

    def write(self, key, text):
        self.revision += 1
        self.items[key] = Item(key, text.encode(), self.revision)
        self.tell([self.items[key]])

    def tell(self, changes):
        for node in self.nodes[:2]:
            if node.epoch == self.epoch and node.replicas_revision == self.revision - 1:
                node.apply_replica_changes(changes, self.revision, self.now, self.now)
        self.left |= names(self.nodes[0], draining=True)

    @rule(key=st.sampled_from(KEYS))
    def starts_anew(self, key):
        self.starts += 1
        self.write(key, f"{key}{self.starts} ready")

    @rule(key=st.sampled_from(KEYS))
    def drains(self, key):
        if key in self.items:
            start = self.items[key].value.decode().partition(" ")[0]
            self.write(key, f"{start} draining")

    @rule(key=st.sampled_from(KEYS))
    def goes(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.tell([Removed(key, self.revision)])

    @rule()
    def copies_itself(self):
        self.copies.append((self.revision, dict(self.items)))

    @rule(which=st.integers(0, 5))
    def is_restored(self, which):
        self.revision, items = self.copies[which % len(self.copies)]
        self.items = dict(items)
        # Copies that are later than this one are of writes that are lost.
        self.copies = [each for each in self.copies if each[0] <= self.revision]
        self.epoch += 1

    @rule()
    def is_read(self):
        for node in self.nodes[:2]:
            node.apply_replicas_snapshot(
                self.items.values(), self.revision, self.now, epoch=self.epoch, now=self.now
            )

    @rule(seconds=st.sampled_from((0.5, 3.0, 6.0)))
    def passes(self, seconds):
        self.now += seconds
        for node in self.nodes:
            node.resolve_conflicts(self.now)

    @rule()
    def peer_asks(self):
        watcher, peer = self.nodes[0], self.nodes[2]
        for answer in watcher.answer_request(CatalogRequest(1, peer.replicas_revision, peer.epoch)):
            if not isinstance(answer, ReplicasDelta):
                at = (answer.at, self.now, answer.changed_at)
                peer.apply_replicas_snapshot(answer.items, *at, epoch=answer.epoch, now=self.now)
            elif isinstance(peer.apply_replicas_delta(answer, self.now, self.now), Err):
                (whole,) = watcher.answer_request(CatalogRequest(1, 0, peer.epoch))
                at = (whole.at, self.now, whole.changed_at)
                peer.apply_replicas_snapshot(whole.items, *at, epoch=whole.epoch, now=self.now)

    @rule()
    def all_is_calm(self):
        """After the store was read and all doubts are over, all go by the store."""
        self.is_read()
        self.passes(6.0)
        self.peer_asks()
        self.passes(6.0)
        listed = {each.value.decode().partition(" ")[0] for each in self.items.values()}
        for node in self.nodes:
            assert node.position == self.nodes[0].position
            assert set(node.replicas) == listed

    @invariant()
    def a_start_that_left_is_not_ready(self):
        for node in self.nodes[:2]:
            assert not names(node) & self.left


StoreWithCopies.TestCase.settings = settings(max_examples=150, stateful_step_count=30)
TestStoreWithCopies = StoreWithCopies.TestCase
