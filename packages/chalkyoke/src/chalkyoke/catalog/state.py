"""
chalkyoke.catalog.state

The catalog and the replicas in force on this node. Versions of the catalog only rise while the
process lives, whether they come from the store or from peers. Revisions of the store rise within
one of its epochs; a later epoch is a store that was restored from a copy.
"""

import zlib
from collections.abc import Callable, Iterable, Mapping

from result import Err, Ok, Result

from chalkyoke.catalog.difference import apply_difference, encode_difference
from chalkyoke.catalog.messages import (
    CatalogAnswer,
    CatalogDelta,
    CatalogRequest,
    CatalogSnapshot,
    ReplicasDelta,
    ReplicasSnapshot,
)
from chalkyoke.catalog.recent import RecentChanges, RecentDocuments
from chalkyoke.catalog.records import ReadRecord, ReceivedOrder, Records, RemovedReplica
from chalkyoke.catalog.resources import Catalog, Replica
from chalkyoke.catalog.restores import (
    MISSING_RECORD_TTL_S,
    OUTDATED_RECORD_TTL_S,
    Conflicts,
    Position,
    SupersededItems,
)
from chalkyoke.invariants import require
from chalkyoke.rollouts.resources import RolloutStatus
from chalkyoke.storage.messages import Item, Removed

# Bound on a document that peers send, in bytes: four times the largest value of the store.
MAX_DOCUMENT_BYTES = 4_000_000
# How old an update may be that names no age, in seconds: beyond all that goes by ages.
UNKNOWN_AGE_S = 60.0

ReadCatalog = Callable[[bytes], Result[Catalog, str]]


class CatalogState:
    """Hold what is declared.

    :param read_catalog: reads the operators' document.
    :param read_record: reads a replica's record, an order of a roll-out, the answer to one or the
        record of a request that is held back. All of these spread alike, in the order of the
        store's revisions.
    :ivar epoch: the store's epoch that the replicas are of; 0 is not known.
    :ivar replicas_revision: the store's revision up to which the replicas are complete.
    :ivar changed_at: revision of the newest change of a replica. It is the same on all nodes that
        know the same, however they learnt it, so that none asks another for what it has.
    """

    def __init__(self, read_catalog: ReadCatalog, read_record: ReadRecord) -> None:
        self.read_catalog = read_catalog
        self.catalog = Catalog()
        self.epoch = 0
        self.replicas_revision = 0
        self.last_change_revision = 0
        self._records = Records(read_record)
        self._document = b""
        self._items: dict[str, Item] = {}
        self._recent = RecentChanges()
        self._documents = RecentDocuments()
        self._superseded = SupersededItems()
        self._conflicts = Conflicts()
        self._restored: ReplicasDelta | None = None

    @property
    def complete(self) -> bool:
        """Whether this node knows enough to serve.

        :rtype: bool
        """
        return self.catalog.version > 0 and self.replicas_revision > 0

    @property
    def position(self) -> Position:
        """Up to where in the store's changes the replicas are complete.

        :rtype: Position
        """
        return Position(self.epoch, self.replicas_revision)

    # The records in force.

    @property
    def replicas(self) -> dict[str, Replica]:
        """Replicas by id of their start."""
        return self._records.replicas

    @property
    def removed_replicas(self) -> dict[str, RemovedReplica]:
        """Replicas whose record is gone, by id of their start."""
        return self._records.removed_replicas

    @property
    def orders(self) -> dict[str, ReceivedOrder]:
        """Orders of roll-outs, by service."""
        return self._records.orders

    @property
    def statuses(self) -> dict[str, RolloutStatus]:
        """The answers to orders, by service."""
        return self._records.statuses

    @property
    def held_requests(self) -> set[bytes]:
        """Requests that are held back, as far as the store says so."""
        return self._records.held_requests

    @property
    def released_requests(self) -> set[bytes]:
        """Requests that operators have released."""
        return self._records.released_requests

    @property
    def unreadable(self) -> dict[str, str]:
        """Why a record can't be read, by key."""
        return self._records.unreadable

    def mark_leaving(self, start: str, now: float) -> bool:
        """Note that a replica has said itself that it leaves; no record of that start undoes it.

        :param start: the replica's id.
        :return: whether it was taken to stay until now.
        """
        return self._records.mark_leaving(start, now)

    def is_leaving(self, start: str) -> bool:
        """Tell whether a replica has said itself that it leaves.

        :param start: the replica's id.
        """
        return self._records.is_leaving(start)

    def leaving_despite_restore(self) -> set[str]:
        """List the replicas that leave though a restored store may say otherwise.

        :rtype: set[str]
        """
        return self._records.leaving_despite_restore()

    def pop_restarted(self) -> list[Replica]:
        """Take the starts of replicas that later ones have taken the place of since the last call.

        :rtype: list[Replica]
        """
        return self._records.pop_restarted()

    def expire_removed(self, now: float, keep_s: float) -> None:
        """Drop the memory of replicas that went long ago."""
        self._records.expire_removed(now, keep_s)

    # The operators' document.

    def apply_document(self, document: bytes) -> Result[bool, str]:
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
        self._documents.add(catalog.version, document)
        require(self.catalog.version > before, "a configuration never reverts", before=before)
        return Ok(True)

    def apply_document_snapshot(self, message: CatalogSnapshot) -> Result[bool, str]:
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
        return self.apply_document(document)

    def apply_document_delta(self, message: CatalogDelta) -> Result[bool, str]:
        """Take the operators' document from a peer as a difference, if it is newer.

        :return: whether it was newer, or why it can't be read: the peer is to be asked then.
        """
        if message.version <= self.catalog.version:
            return Ok(False)
        base = self._documents.find(message.base)
        if base is None:
            return Err(f"version {message.base} is not held")
        restored = apply_difference(base, message.difference, MAX_DOCUMENT_BYTES)
        return restored if isinstance(restored, Err) else self.apply_document(restored.ok_value)

    def build_catalog_update(self, held: int = 0) -> CatalogSnapshot | CatalogDelta:
        """Give a peer the document, or what has changed of it.

        :param held: the version that the peer holds.
        """
        base = self._documents.find(held)
        if base is None:
            return CatalogSnapshot(self.catalog.version, zlib.compress(self._document, 1))
        return CatalogDelta(self.catalog.version, held, encode_difference(base, self._document))

    # Replicas.

    def apply_replicas_snapshot(
        self,
        items: Iterable[Item],
        at: int,
        since: float,
        changed_at: int | None = None,
        *,
        epoch: int = 0,
        now: float = 0.0,
    ) -> bool:
        """Take all replicas' records as of a revision, if that is newer.

        :param since: when they may have changed at the earliest, on this node's clock.
        :param changed_at: revision of the newest change; nothing where that is not known.
        :param epoch: the store's epoch.
        :param now: the node's clock, in seconds.
        :return: whether anything of a replica changed.
        """
        if not self.is_newer(Position(epoch, at)):
            return False
        listed = {item.key: item for item in items}
        gone = set(self._items) - set(listed)
        newest = max((item.revision for item in listed.values()), default=0)
        if changed_at is None:
            changed_at = at if gone else newest
        if 0 < self.epoch < epoch:
            self._enter_epoch(listed, Position(epoch, at), changed_at, since, now)
            return True
        changed = self.replicas_revision == 0 or epoch != self.epoch
        self.epoch = epoch
        for key in gone:
            changed |= self._take_removed(key, since, now)
        for item in listed.values():
            changed |= self._take_written(item, since, now)
        self.replicas_revision = at
        self.last_change_revision = max(self.last_change_revision, changed_at)
        self._recent.reset(at)
        return changed

    def apply_replica_changes(
        self, changes: Iterable[Item | Removed], at: int, since: float, now: float = 0.0
    ) -> bool:
        """Take all that has changed since the revision that is held, in the epoch that is held.

        :param since: when it may have changed at the earliest, on this node's clock.
        :param now: the node's clock, in seconds.
        :return: whether anything of a replica changed.
        """
        newer = [each for each in changes if each.revision > self.replicas_revision]
        changed = False
        for change in newer:
            if isinstance(change, Removed):
                changed |= self._take_removed(change.key, since, now)
            else:
                changed |= self._take_written(change, since, now)
        self._recent.append(newer)
        self.replicas_revision = max(self.replicas_revision, at)
        self.last_change_revision = max(
            [self.last_change_revision, *(each.revision for each in newer)]
        )
        return changed

    def apply_replicas_delta(
        self, message: ReplicasDelta, since: float, now: float = 0.0
    ) -> Result[bool, str]:
        """Take the changes that a peer sends.

        :param since: when it may have changed at the earliest, on this node's clock.
        :param now: the node's clock, in seconds.
        :return: whether anything of a replica changed, or why it can't be taken: the peer is to
            be asked then.
        """
        if message.epoch == self.epoch:
            if message.base_epoch:
                # A second watcher reports the same restore.
                return Ok(False)
            if message.base_revision > self.replicas_revision:
                return Err(
                    f"complete up to {self.replicas_revision}, not up to {message.base_revision}"
                )
            changes: tuple[Item | Removed, ...] = (*message.written, *message.removed)
            return Ok(self.apply_replica_changes(changes, message.revision, since, now))
        if not self.is_newer(Position(message.epoch, message.revision)):
            return Ok(False)
        if (message.base_epoch, message.base_revision) != (self.epoch, self.last_change_revision):
            base = f"{self.last_change_revision} of epoch {self.epoch}"
            return Err(
                f"known up to {base}, not {message.base_revision} of epoch {message.base_epoch}"
            )
        listed = self._items | {item.key: item for item in message.written}
        for each in message.removed:
            listed.pop(each.key, None)
        changed = self.apply_replicas_snapshot(
            listed.values(),
            message.revision,
            since,
            message.last_change_revision,
            epoch=message.epoch,
            now=now,
        )
        return Ok(changed)

    def is_newer(self, position: Position) -> bool:
        """Tell whether replicas as of a position are newer than those that are held.

        Where the epoch is not known, it comes from a node that does not know of epochs: what it
        says can't be compared with what this node has by the store or by others.
        """
        if position.epoch == 0 and self.epoch > 0:
            return False
        return position > self.position

    def resolve_conflicts(self, now: float) -> bool:
        """Believe the store where it goes on contradicting what this node has seen later.

        :return: whether anything changed.
        """
        self._superseded.expire(now)
        changed = False
        for key in self._conflicts.pop_due(now):
            item = self._items.get(key)
            if item is None:
                changed |= self._records.remove(key, now)
            else:
                changed |= self._records.put(item, now, self.epoch)
        return changed

    def _enter_epoch(
        self,
        listed: Mapping[str, Item],
        position: Position,
        changed_at: int,
        since: float,
        now: float,
    ) -> None:
        """Take all that a restored store holds, but for what this node has seen later."""
        self._restored = self._restore_delta(listed, position, changed_at)
        self._records.retain_leaving(now)
        for key in self._records:
            if key not in listed:
                self._miss(key, since, now)
        for item in listed.values():
            if item in self._superseded and self._records.is_externally_written(item):
                self._conflicts.add(item.key, now + OUTDATED_RECORD_TTL_S)
                continue
            self._conflicts.remove(item.key)
            self._records.put(item, since, position.epoch, again=True)
        self._items = dict(listed)
        self.epoch, self.replicas_revision = position.epoch, position.revision
        self.last_change_revision = changed_at
        self._recent.reset(position.revision)

    def _miss(self, key: str, since: float, now: float) -> None:
        item = self._records.get(key)
        if item is not None and self._records.is_externally_written(item):
            self._conflicts.add(key, now + MISSING_RECORD_TTL_S)
        else:
            self._records.remove(key, since)

    def _take_written(self, item: Item, since: float, now: float) -> bool:
        self._items[item.key] = item
        before = self._records.get(item.key)
        if before is not None and before != item:
            self._superseded.add(before, now)
        ended = self._conflicts.remove(item.key)
        # Peers have the same conflict, and are to learn of its end.
        return self._records.put(item, since, self.epoch, again=ended) or ended

    def _take_removed(self, key: str, since: float, now: float) -> bool:
        self._items.pop(key, None)
        before = self._records.get(key)
        if before is not None:
            self._superseded.add(before, now)
        ended = self._conflicts.remove(key)
        return self._records.remove(key, since) or ended

    # Updates for peers.

    def build_replicas_update(
        self, held_at: int = 0, age_s: float = UNKNOWN_AGE_S
    ) -> ReplicasSnapshot | ReplicasDelta:
        """Give a peer the replicas, or what has changed of them in the same epoch.

        :param held_at: the revision up to which the peer is complete.
        :param age_s: how long ago what has changed since may have changed, in seconds.
        """
        changes = self._recent.list_after(held_at) if held_at else None
        if changes is None:
            items = tuple(self._items.values())
            return ReplicasSnapshot(
                self.replicas_revision, self.last_change_revision, items, self.epoch
            )
        return ReplicasDelta(
            held_at,
            self.replicas_revision,
            tuple(each for each in changes if isinstance(each, Item)),
            tuple(each for each in changes if isinstance(each, Removed)),
            age_s,
            self.epoch,
        )

    def build_restore_update(self) -> ReplicasSnapshot | ReplicasDelta:
        """Give a peer in the epoch before what the restored store has changed.

        :return: the difference while nothing else has changed since; else all.
        """
        restored = self._restored
        if (
            restored is None
            or restored.revision != self.replicas_revision
            or restored.epoch != self.epoch
        ):
            return self.build_replicas_update()
        return restored

    def answer_request(self, request: CatalogRequest) -> list[CatalogAnswer]:
        """Give a peer what it lacks.

        :rtype: list[CatalogAnswer]
        """
        answers: list[CatalogAnswer] = []
        if self.catalog.version > request.version:
            answers.append(self.build_catalog_update(request.version))
        if request.epoch == self.epoch:
            if self.replicas_revision > request.replicas_revision:
                answers.append(self.build_replicas_update(request.replicas_revision))
        elif request.epoch < self.epoch:
            # One that asks without an epoch may be of any.
            is_before = self._restored is not None and request.epoch == self._restored.base_epoch
            whole = not is_before or not request.replicas_revision
            answers.append(self.build_replicas_update() if whole else self.build_restore_update())
        return answers

    def _restore_delta(
        self, listed: Mapping[str, Item], position: Position, changed_at: int
    ) -> ReplicasDelta | None:
        """Compare what a restored store holds with what it held before."""
        if not self.epoch:
            return None
        removed = [Removed(key, position.revision) for key in self._items if key not in listed]
        written = [item for item in listed.values() if self._items.get(item.key) != item]
        return ReplicasDelta(
            self.last_change_revision,
            position.revision,
            tuple(written),
            tuple(removed),
            UNKNOWN_AGE_S,
            position.epoch,
            self.epoch,
            changed_at,
        )
