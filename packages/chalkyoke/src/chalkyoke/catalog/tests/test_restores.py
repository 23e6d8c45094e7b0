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
    start, _, born = start.partition("@")
    draining = state == "draining"
    return Ok(
        Replica(start, "pool", "127.0.0.1", 80, "a", 4, draining=draining, born=int(born or 0))
    )


def make_state(*items, at=10, epoch=1):
    state = CatalogState(lambda document: Ok(Catalog(version=1)), read_record)
    state.apply_replicas_snapshot(items, at, 0.0, epoch=epoch, now=0.0)
    return state


def replica_ids(state, *, draining=False):
    return {each.id for each in state.replicas.values() if each.draining is draining}


A, B = Item("a", b"a1 ready", 3), Item("b", b"b1 ready", 4)


# Guards against ignoring updates because a restored store has lower revisions.
def test_a_higher_epoch_is_newer_whatever_its_revisions_are():
    state = make_state(A, B, at=35)
    assert state.apply_replicas_snapshot([A, B], 31, 0.0, epoch=2, now=1.0)
    assert (state.epoch, state.replicas_revision, state.last_change_revision) == (2, 31, 4)
    assert state.apply_replica_changes([Item("a", b"a1 draining", 32)], 32, 1.0, 1.0)
    assert replica_ids(state, draining=True) == {"a1"}
    assert not state.apply_replicas_snapshot([A, B], 36, 0.0, epoch=1, now=1.0)


# Guards against requests to a leaving replica whose record is still ready in the backup.
def test_a_leaving_start_stays_leaving_despite_an_older_record():
    state = make_state(A, B)
    state.apply_replica_changes([Item("a", b"a1 draining", 12)], 12, 0.0, 0.0)
    state.apply_replicas_snapshot([A, B], 10, 0.0, epoch=2, now=1.0)
    assert replica_ids(state) == {"b1"}
    state.resolve_conflicts(1.0 + OUTDATED_RECORD_TTL_S)
    assert replica_ids(state) == {"b1"}
    state.apply_replica_changes([Item("a", b"a2 ready", 11)], 11, 7.0, 7.0)
    assert replica_ids(state) == {"a2", "b1"}


# Guards against requests to a removed replica before a restored store can remove its record again.
def test_a_removed_start_returns_only_if_the_store_keeps_its_record():
    for keeps in (False, True):
        state = make_state(A, B)
        state.apply_replica_changes([Removed("a", 12)], 12, 0.0, 0.0)
        state.apply_replicas_snapshot([A, B], 10, 0.0, epoch=2, now=1.0)
        assert replica_ids(state) == {"b1"}
        if not keeps:
            assert state.apply_replica_changes([Removed("a", 11)], 11, 4.0, 4.0)
        state.resolve_conflicts(1.0 + OUTDATED_RECORD_TTL_S)
        assert replica_ids(state) == ({"a1", "b1"} if keeps else {"b1"})


# Guards against what a replica had announced being forgotten, because the backup names an earlier
# start of it that this node has never seen.
def test_an_earlier_start_in_the_backup_does_not_replace_a_later_one():
    for again in (False, True):
        state = make_state(Item("a", b"a2@2 ready", 12), B, at=12)
        state.mark_leaving("a2", 0.5)
        state.apply_replicas_snapshot([Item("a", b"a1@1 ready", 3), B], 10, 0.0, epoch=2, now=1.0)
        assert replica_ids(state, draining=True) == {"a2"} and state.pop_restarted() == []
        if again:
            state.apply_replica_changes([Item("a", b"a2@2 ready", 11)], 11, 2.0, 2.0)
        state.resolve_conflicts(1.0 + OUTDATED_RECORD_TTL_S)
        assert replica_ids(state, draining=again) == ({"a2"} if again else {"a1", "b1"})


def test_a_later_start_in_the_backup_replaces_an_earlier_one():
    state = make_state(Item("a", b"a1@1 ready", 3), B)
    state.apply_replicas_snapshot([Item("a", b"a2@2 ready", 9), B], 10, 0.0, epoch=2, now=1.0)
    assert replica_ids(state) == {"a2", "b1"}
    assert [each.ended.id for each in state.pop_restarted()] == ["a1"]


# Guards against a replica without requests because the backup lacks its first record.
def test_a_record_missing_in_the_backup_stays_in_force_until_rewritten():
    for again in (False, True):
        state = make_state(B)
        state.apply_replica_changes([Item("a", b"a1 ready", 12)], 12, 0.0, 0.0)
        state.apply_replicas_snapshot([B], 10, 0.0, epoch=2, now=1.0)
        assert replica_ids(state) == {"a1", "b1"}
        if again:
            # Peers have the same conflict, so its end counts as a change that they receive.
            assert state.apply_replica_changes([Item("a", b"a1 ready", 11)], 11, 2.0, 2.0)
        state.resolve_conflicts(1.0 + MISSING_RECORD_TTL_S)
        assert replica_ids(state) == ({"a1", "b1"} if again else {"b1"})


# Guards against a roll-out status that the backup lacks and that is therefore never written again.
def test_a_status_missing_in_the_backup_is_removed_at_once():
    order = Item("order", b"2", 5)
    state = make_state(order)
    state.apply_replica_changes([Item("status", b"2", 12)], 12, 0.0, 0.0)
    state.apply_replicas_snapshot([order], 10, 0.0, epoch=2, now=1.0)
    assert set(state.orders) == {"pool"} and not state.statuses


# Guards against an earlier order in force again until the later one is rewritten.
def test_an_order_that_replaced_another_stays_in_force():
    first = Item("order", b"2", 5)
    state = make_state(first)
    state.apply_replica_changes([Item("order", b"3", 12)], 12, 0.0, 0.0)
    state.apply_replicas_snapshot([first], 10, 0.0, epoch=2, now=1.0)
    assert state.orders["pool"].order.version == "3"
    state.resolve_conflicts(1.0 + OUTDATED_RECORD_TTL_S)
    assert state.orders["pool"].order.version == "2"


# Guards against a trial that restarts, with another exposure, because its order was rewritten.
def test_a_lost_order_that_is_rewritten_is_the_same_order():
    state = make_state(B, at=30)
    state.apply_replica_changes([Item("order", b"2", 35)], 35, 3.0, 3.0)
    given = state.orders["pool"]
    state.apply_replicas_snapshot([B], 28, 0.0, epoch=2, now=5.0)
    assert state.orders["pool"] == given
    state.apply_replica_changes([Item("order", b"2", 31)], 31, 6.0, 6.0)
    again = state.orders["pool"]
    assert (again.since, again.order.name) == (given.since, given.order.name)
    assert again.order.revision == 31
    # A node with only the rewritten order has a matching name; a node with another order does not.
    late = make_state(B, Item("order", b"2", 31), at=31, epoch=2)
    assert late.orders["pool"].order.name.matches(again.order.name)
    other = make_state(B, Item("order", b"3", 35), at=35, epoch=2)
    assert not other.orders["pool"].order.name.matches(again.order.name)


# Guards against an order that is ignored because the operator repeats it after a roll-back.
def test_an_order_that_is_repeated_in_the_same_epoch_is_a_new_order():
    state = make_state(Item("order", b"2", 5))
    given = state.orders["pool"].order.name
    state.apply_replica_changes([Item("order", b"2", 12)], 12, 3.0, 3.0)
    assert not state.orders["pool"].order.name.matches(given)


# Guards against snapshots to every host of a large failure domain when the store is restored.
def test_peers_in_the_previous_epoch_receive_a_delta():
    state, peer, other = make_state(A, B), make_state(A, B), make_state(A)
    state.apply_replicas_snapshot([B, Item("c", b"c1 ready", 9)], 9, 0.0, epoch=2, now=1.0)
    delta = state.build_restore_update()
    assert isinstance(delta, ReplicasDelta) and len(delta.written) == 1
    assert peer.apply_replicas_delta(delta, 0.0, 1.0) == Ok(True)
    assert (peer.position, peer.last_change_revision) == (
        state.position,
        state.last_change_revision,
    )
    assert replica_ids(peer) == replica_ids(state) == {"a1", "b1", "c1"}
    # A second delta of the same restore leads to no request for a snapshot.
    assert peer.apply_replicas_delta(delta, 0.0, 1.0) == Ok(False)
    # A peer in another state requests a snapshot.
    assert isinstance(other.apply_replicas_delta(delta, 0.0, 1.0), Err)
    (whole,) = state.answer_request(CatalogRequest(1, 0, other.epoch))
    assert other.apply_replicas_snapshot(
        whole.items, whole.at, 0.0, whole.changed_at, epoch=2, now=1.0
    )
    assert other.position == state.position


# Guards against updates from nodes without an epoch, whose revisions can't be compared.
def test_updates_without_an_epoch_are_ignored_once_one_is_known():
    state = make_state(A, B, epoch=2)
    assert not state.apply_replicas_snapshot([A], 40, 0.0, now=1.0)
    assert state.apply_replicas_delta(
        ReplicasDelta(10, 40, (), (Removed("a", 40),), 0.0), 0.0
    ) == Ok(False)
    assert replica_ids(state) == {"a1", "b1"}
    (answer,) = state.answer_request(CatalogRequest(1, 50))
    assert len(answer.items) == 2


# Guards against a node that treats the first epoch that it receives as a restore.
def test_the_first_epoch_is_not_a_restore():
    state = make_state(A, B, epoch=0)
    assert state.apply_replicas_snapshot([B], 10, 0.0, epoch=3, now=1.0)
    assert (state.epoch, replica_ids(state)) == (3, {"b1"})


class StoreWithBackups(RuleBasedStateMachine):
    """A store that may be restored at any time, two nodes that watch it and a peer of one."""

    KEYS = ("a", "b", "c")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.epoch, self.revision, self.items = 1, 1, {}
        self.backups = [(1, {})]
        self.nodes = [make_state(at=1) for _ in range(3)]
        self.starts = 0
        self.left = set()

    def write(self, key, text):
        self.revision += 1
        self.items[key] = Item(key, text.encode(), self.revision)
        self.deliver([self.items[key]])

    def deliver(self, changes):
        for node in self.nodes[:2]:
            if node.epoch == self.epoch and node.replicas_revision == self.revision - 1:
                node.apply_replica_changes(changes, self.revision, self.now, self.now)
        self.left |= replica_ids(self.nodes[0], draining=True)

    @rule(key=st.sampled_from(KEYS))
    def restarts_replica(self, key):
        self.starts += 1
        self.write(key, f"{key}{self.starts} ready")

    @rule(key=st.sampled_from(KEYS))
    def drains_replica(self, key):
        if key in self.items:
            start = self.items[key].value.decode().partition(" ")[0]
            self.write(key, f"{start} draining")

    @rule(key=st.sampled_from(KEYS))
    def removes_replica(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.deliver([Removed(key, self.revision)])

    @rule()
    def makes_backup(self):
        self.backups.append((self.revision, dict(self.items)))

    @rule(which=st.integers(0, 5))
    def restores_backup(self, which):
        self.revision, items = self.backups[which % len(self.backups)]
        self.items = dict(items)
        # Later backups than this one have writes that are lost now.
        self.backups = [each for each in self.backups if each[0] <= self.revision]
        self.epoch += 1

    @rule()
    def lists_store(self):
        for node in self.nodes[:2]:
            node.apply_replicas_snapshot(
                self.items.values(), self.revision, self.now, epoch=self.epoch, now=self.now
            )

    @rule(seconds=st.sampled_from((0.5, 3.0, 6.0)))
    def advances_time(self, seconds):
        self.now += seconds
        for node in self.nodes:
            node.resolve_conflicts(self.now)

    @rule()
    def peer_requests_update(self):
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
    def converges(self):
        """After a listing and the end of all conflicts, every node agrees with the store."""
        self.lists_store()
        self.advances_time(6.0)
        self.peer_requests_update()
        self.advances_time(6.0)
        listed = {each.value.decode().partition(" ")[0] for each in self.items.values()}
        for node in self.nodes:
            assert node.position == self.nodes[0].position
            assert set(node.replicas) == listed

    @invariant()
    def a_start_that_announced_leaving_is_never_ready(self):
        for node in self.nodes[:2]:
            assert not replica_ids(node) & self.left


StoreWithBackups.TestCase.settings = settings(max_examples=150, stateful_step_count=30)
TestStoreWithBackups = StoreWithBackups.TestCase
