"""
chalkyoke.catalog.state

The catalog and the replicas in force on this node. Versions only rise while the process lives,
whether they come from the store or from peers.
"""

import zlib
from collections.abc import Callable, Iterable

import msgspec
from result import Err, Ok, Result

from chalkyoke.catalog.difference import difference, restore
from chalkyoke.catalog.messages import (
    CatalogAnswer,
    CatalogChanged,
    CatalogRequest,
    CatalogTold,
    ReplicasChanged,
    ReplicasTold,
)
from chalkyoke.catalog.recent import RecentChanges, RecentDocuments
from chalkyoke.catalog.resources import Catalog, Replica
from chalkyoke.catalog.starts import StartMemory
from chalkyoke.invariants import require
from chalkyoke.quarantine.messages import HeldRecord
from chalkyoke.rollouts.resources import RolloutOrder, RolloutStatus
from chalkyoke.storage.messages import Item, Removed

# Bound on a document that peers tell, in bytes: four times the largest value of the store.
MAX_DOCUMENT_BYTES = 4_000_000
# What is told without its age may be as old as this, in seconds: beyond all that goes by ages.
UNKNOWN_AGE_S = 60.0

ReadCatalog = Callable[[bytes], Result[Catalog, str]]
Record = Replica | RolloutOrder | RolloutStatus | HeldRecord
ReadRecord = Callable[[Item], Result[Record, str]]


class Ordered(msgspec.Struct, frozen=True):
    """An order of a roll-out, and when it may have been given at the earliest.

    :param since: on this node's clock, in seconds.
    """

    order: RolloutOrder
    since: float


class Departed(msgspec.Struct):
    """A replica whose record is gone.

    :param since: when it may have gone at the earliest, on this node's clock, in seconds. News
        that came late count from the change, not from when they were heard.
    """

    replica: Replica
    since: float


class CatalogState(msgspec.Struct):
    """Hold what is declared.

    :param read_catalog: reads the operators' document.
    :param read_record: reads a replica's record, an order of a roll-out, the answer to one or the
        record of a request that is held back. All of these spread alike, in the order of the
        store's revisions.
    :ivar replicas_at: the store's revision up to which the replicas are complete.
    :ivar changed_at: revision of the newest change of a replica. It is the same on all nodes that
        know the same, however they heard, so that none asks another for what it has.
    :ivar orders: orders of roll-outs, by service.
    :ivar statuses: the answers to them, by service.
    :ivar held: requests that are held back, as far as the store says so.
    :ivar released: those of them that operators have released.
    :ivar unreadable: why a record can't be read, by key.
    """

    read_catalog: ReadCatalog
    read_record: ReadRecord
    catalog: Catalog = msgspec.field(default_factory=Catalog)
    replicas: dict[str, Replica] = msgspec.field(default_factory=dict)
    replicas_at: int = 0
    changed_at: int = 0
    departed: dict[str, Departed] = msgspec.field(default_factory=dict)
    orders: dict[str, Ordered] = msgspec.field(default_factory=dict)
    statuses: dict[str, RolloutStatus] = msgspec.field(default_factory=dict)
    held: set[bytes] = msgspec.field(default_factory=set)
    released: set[bytes] = msgspec.field(default_factory=set)
    unreadable: dict[str, str] = msgspec.field(default_factory=dict)
    _leaving: StartMemory[None] = msgspec.field(default_factory=StartMemory)
    _document: bytes = b""
    _restarted: list[Replica] = msgspec.field(default_factory=list)
    _items: dict[str, Item] = msgspec.field(default_factory=dict)
    _recent: RecentChanges = msgspec.field(default_factory=RecentChanges)
    _documents: RecentDocuments = msgspec.field(default_factory=RecentDocuments)

    @property
    def complete(self) -> bool:
        """Whether this node knows enough to serve.

        :rtype: bool
        """
        return self.catalog.version > 0 and self.replicas_at > 0

    # The operators' document.

    def adopt_document(self, document: bytes) -> Result[bool, str]:
        """Take the operators' document, if it is newer.

        :return: whether it was newer, or why it can't be read.
        """
        read = self.read_catalog(document)
        if isinstance(read, Err):
            return read
        catalog = read.ok_value
        if catalog.version <= self.catalog.version:
            return Ok(False)
        before = self.catalog.version
        self.catalog = catalog
        self._document = document
        self._documents.note(catalog.version, document)
        require(self.catalog.version > before, "a configuration never reverts", before=before)
        return Ok(True)

    def adopt_told(self, message: CatalogTold) -> Result[bool, str]:
        """Take the operators' document from a peer, if it is newer.

        :return: whether it was newer, or why it can't be read.
        """
        if message.version <= self.catalog.version:
            return Ok(False)
        inflater = zlib.decompressobj()
        try:
            document = inflater.decompress(message.document, MAX_DOCUMENT_BYTES)
        except zlib.error as error:
            return Err(f"not readable: {error}")
        return self.adopt_document(document)

    def adopt_changed(self, message: CatalogChanged) -> Result[bool, str]:
        """Take the operators' document from a peer as a difference, if it is newer.

        :return: whether it was newer, or why it can't be read: the peer is to be asked then.
        """
        if message.version <= self.catalog.version:
            return Ok(False)
        base = self._documents.find(message.base)
        if base is None:
            return Err(f"version {message.base} is not held")
        restored = restore(base, message.difference, MAX_DOCUMENT_BYTES)
        return restored if isinstance(restored, Err) else self.adopt_document(restored.ok_value)

    def tell_catalog(self, held: int = 0) -> CatalogTold | CatalogChanged:
        """Word the document for a peer.

        :param held: the version that the peer holds.
        """
        base = self._documents.find(held)
        if base is None:
            return CatalogTold(self.catalog.version, zlib.compress(self._document, 1))
        return CatalogChanged(self.catalog.version, held, difference(base, self._document))

    # Replicas.

    def adopt_replicas(
        self, items: Iterable[Item], at: int, since: float, changed_at: int | None = None
    ) -> bool:
        """Take all replicas' records as of a revision.

        :param since: when they may have changed at the earliest, on this node's clock.
        :param changed_at: revision of the newest change; nothing where that is not known.
        :return: whether anything of a replica changed.
        """
        if at <= self.replicas_at:
            return False
        held = {item.key: item for item in items}
        gone = set(self._items) - set(held)
        changed = self.replicas_at == 0
        for key in gone:
            changed |= self._remove(key, since)
        for item in held.values():
            changed |= self._put(item, since)
        if changed_at is None:
            newest = max((item.revision for item in held.values()), default=0)
            changed_at = at if gone else newest
        self.replicas_at = at
        self.changed_at = max(self.changed_at, changed_at)
        self._recent.restart(at)
        return changed

    def change_replicas(self, changes: Iterable[Item | Removed], at: int, since: float) -> bool:
        """Take all that has changed since the revision that is held.

        :param since: when it may have changed at the earliest, on this node's clock.
        :return: whether anything of a replica changed.
        """
        newer = [each for each in changes if each.revision > self.replicas_at]
        changed = False
        for change in newer:
            if isinstance(change, Removed):
                changed |= self._remove(change.key, since)
            else:
                changed |= self._put(change, since)
        self._recent.note(newer)
        self.replicas_at = max(self.replicas_at, at)
        self.changed_at = max([self.changed_at, *(each.revision for each in newer)])
        return changed

    def adopt_changes(self, message: ReplicasChanged, since: float) -> Result[bool, str]:
        """Take what a peer tells has changed.

        :param since: when it may have changed at the earliest, on this node's clock.
        :return: whether anything of a replica changed, or why it can't be taken: the peer is to
            be asked then.
        """
        if message.since > self.replicas_at:
            return Err(f"complete up to {self.replicas_at}, not up to {message.since}")
        return Ok(self.change_replicas((*message.written, *message.removed), message.at, since))

    def tell_replicas(
        self, held_at: int = 0, age_s: float = UNKNOWN_AGE_S
    ) -> ReplicasTold | ReplicasChanged:
        """Word the replicas for a peer.

        :param held_at: the revision up to which the peer is complete.
        :param age_s: how long ago what has changed since may have changed, in seconds.
        """
        changes = self._recent.after(held_at) if held_at else None
        if changes is None:
            return ReplicasTold(self.replicas_at, self.changed_at, tuple(self._items.values()))
        return ReplicasChanged(
            held_at,
            self.replicas_at,
            tuple(each for each in changes if isinstance(each, Item)),
            tuple(each for each in changes if isinstance(each, Removed)),
            age_s,
        )

    def note_leaving(self, start: str, now: float) -> bool:
        """Note that a replica has said itself that it leaves; no record of that start undoes it.

        :param start: the replica's id.
        :return: whether it was taken to stay until now.
        """
        is_new = start not in self._leaving
        self._leaving.keep(start, None, now)
        replica = self.replicas.get(start)
        if replica is not None:
            self.replicas[start] = self._as_told(replica)
        if (gone := self.departed.get(start)) is not None:
            gone.replica = self._as_told(gone.replica)
        return is_new and (replica is None or not replica.draining)

    def leaves(self, start: str) -> bool:
        """Tell whether a replica has said itself that it leaves.

        :param start: the replica's id.
        """
        return start in self._leaving

    def _as_told(self, replica: Replica) -> Replica:
        """Give a replica as it declares itself and as its answers tell of it."""
        if replica.draining or replica.id not in self._leaving:
            return replica
        return msgspec.structs.replace(replica, draining=True)

    def forget_departed(self, now: float, keep_s: float) -> None:
        """Drop the memory of replicas that went long ago."""
        self._leaving.forget(self.replicas.keys(), now)
        for name, each in list(self.departed.items()):
            if now - each.since > keep_s:
                del self.departed[name]

    def answers(self, request: CatalogRequest) -> list[CatalogAnswer]:
        """Give a peer what it lacks.

        :rtype: list[CatalogAnswer]
        """
        told: list[CatalogAnswer] = []
        if self.catalog.version > request.version:
            told.append(self.tell_catalog(request.version))
        if self.replicas_at > request.replicas_at:
            told.append(self.tell_replicas(request.replicas_at))
        return told

    def _put(self, item: Item, since: float) -> bool:
        read = self.read_record(item)
        if isinstance(read, Err):
            return self._refuse(item.key, read.err_value)
        self.unreadable.pop(item.key, None)
        before = self._items.get(item.key)
        self._items[item.key] = item
        record = read.ok_value
        if isinstance(record, RolloutOrder):
            return self._put_order(record, since)
        if isinstance(record, RolloutStatus):
            changed = self.statuses.get(record.service) != record
            self.statuses[record.service] = record
            return changed
        if isinstance(record, HeldRecord):
            return self._put_held(record)
        self._end_start_before(before, record)
        record = self._as_told(record)
        changed = self.replicas.get(record.id) != record
        self.replicas[record.id] = record
        self.departed.pop(record.id, None)
        return changed

    def _end_start_before(self, before: Item | None, replica: Replica) -> None:
        """Let go of the start of a replica that this record takes the place of."""
        if before is None:
            return
        read = self.read_record(before)
        if isinstance(read, Err) or not isinstance(read.ok_value, Replica):
            return
        if read.ok_value.id == replica.id:
            return
        ended = self.replicas.pop(read.ok_value.id, None)
        if ended is not None:
            self._restarted.append(ended)

    def take_restarted(self) -> list[Replica]:
        """Take the starts of replicas that later ones have taken the place of since the last call.

        :rtype: list[Replica]
        """
        restarted, self._restarted = self._restarted, []
        return restarted

    def _refuse(self, key: str, why: str) -> bool:
        """Take a record that can't be read: it names nothing, whatever it named before.

        :return: whether anything is told by that.
        """
        is_news = self.unreadable.get(key) != why
        self.unreadable[key] = why
        if (item := self._items.pop(key, None)) is not None:
            self._drop(item)
        return is_news

    def _put_held(self, record: HeldRecord) -> bool:
        mine, other = self.held, self.released
        if record.is_released:
            mine, other = other, mine
        is_news = record.request not in mine
        mine.add(record.request)
        other.discard(record.request)
        return is_news

    def _put_order(self, order: RolloutOrder, since: float) -> bool:
        held = self.orders.get(order.service)
        if held is not None and held.order == order:
            return False
        self.orders[order.service] = Ordered(order, since)
        return True

    def _remove(self, key: str, since: float) -> bool:
        self.unreadable.pop(key, None)
        item = self._items.pop(key, None)
        if item is None:
            return False
        if (gone := self._drop(item)) is not None:
            self.departed[gone.id] = Departed(gone, since)
        return True

    def _drop(self, item: Item) -> Replica | None:
        """Forget what a record that was read before has named; give the replica, if it was one."""
        read = self.read_record(item)
        if isinstance(read, Err):
            return None
        record = read.ok_value
        if isinstance(record, RolloutOrder):
            self.orders.pop(record.service, None)
        elif isinstance(record, RolloutStatus):
            self.statuses.pop(record.service, None)
        elif isinstance(record, HeldRecord):
            self.held.discard(record.request)
            self.released.discard(record.request)
        else:
            return self.replicas.pop(record.id, None)
        return None
