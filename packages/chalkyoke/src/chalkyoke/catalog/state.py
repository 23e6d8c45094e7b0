"""
chalkyoke.catalog.state

The catalog and the replica records in force on this node. The version of the catalog only rises
while the process lives, whether updates come from the store or from peers. Revisions of the store
rise within one epoch; the epoch rises when the store is restored from a backup.
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
from chalkyoke.catalog.records import ReadRecord, ReceivedOrder, Records, RemovedReplica, Restart
from chalkyoke.catalog.resources import Catalog, Replica
from chalkyoke.catalog.restores import (
    MISSING_RECORD_TTL_S,
    OUTDATED_RECORD_TTL_S,
    Conflicts,
    Position,
    SupersededItems,
)
from chalkyoke.decoding.decoder import decompress
from chalkyoke.invariants import require
from chalkyoke.rollouts.resources import RolloutStatus
from chalkyoke.storage.messages import Item, Removed

# Maximum size of a document, in bytes: four times the largest value that the store accepts.
MAX_DOCUMENT_BYTES = 4_000_000
# Age assumed for an update that carries none, in seconds: above every limit that depends on ages.
UNKNOWN_AGE_S = 60.0

ReadCatalog = Callable[[bytes], Result[Catalog, str]]


class CatalogState:
    """The catalog and the records of this node; builds and applies updates between nodes.

    :param read_catalog: parses the operators' document.
    :param read_record: parses a replica record, a roll-out order, a roll-out status or the record
        of a request that is held back. All four kinds propagate in the same way, in the order of
        the store's revisions.
    :ivar epoch: the store epoch of the replica records; 0 if it is not known.
    :ivar replicas_revision: the store revision up to which the replica records are complete.
    :ivar last_change_revision: revision of the latest change of a record. Nodes with the same
        records have the same value, from whichever source they received them, so no node requests
        records that it already has.
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
        self._recent_changes = RecentChanges()
        self._recent_documents = RecentDocuments()
        self._superseded = SupersededItems()
        self._conflicts = Conflicts()
        self._restore_update: ReplicasDelta | None = None

    @property
    def complete(self) -> bool:
        """Whether this node has a catalog and replica records, so that it can serve.

        :rtype: bool
        """
        return self.catalog.version > 0 and self.replicas_revision > 0

    @property
    def position(self) -> Position:
        """The store's epoch and the revision up to which the replica records are complete.

        :rtype: Position
        """
        return Position(self.epoch, self.replicas_revision)

    # The records in force.

    @property
    def replicas(self) -> dict[str, Replica]:
        """Replicas by start id."""
        return self._records.replicas

    @property
    def removed_replicas(self) -> dict[str, RemovedReplica]:
        """Replicas whose record was removed, by start id."""
        return self._records.removed_replicas

    @property
    def orders(self) -> dict[str, ReceivedOrder]:
        """Roll-out orders, by service."""
        return self._records.orders

    @property
    def statuses(self) -> dict[str, RolloutStatus]:
        """Roll-out statuses, written in answer to orders, by service."""
        return self._records.statuses

    @property
    def held_requests(self) -> set[bytes]:
        """Identities of the requests that the store lists as held back."""
        return self._records.held_requests

    @property
    def released_requests(self) -> set[bytes]:
        """Identities of the requests that operators have released."""
        return self._records.released_requests

    @property
    def unreadable(self) -> dict[str, str]:
        """The reason why a record can't be parsed, by key."""
        return self._records.unreadable

    def stored_revision(self, key: str) -> int:
        """Return the store's revision of a record, readable or not; 0 if there is none."""
        item = self._items.get(key)
        return item.revision if item is not None else 0

    def mark_leaving(self, start: str, now: float) -> bool:
        """Mark a replica start as leaving, as it has announced; no record of it reverts this.

        :param start: id of the replica start.
        :return: whether the start was not known to leave before.
        """
        return self._records.mark_leaving(start, now)

    def is_leaving(self, start: str) -> bool:
        """Return whether a replica start has announced that it leaves.

        :param start: id of the replica start.
        """
        return self._records.is_leaving(start)

    def leaving_despite_restore(self) -> set[str]:
        """List the replica starts that stay leaving although a restored store may list them ready.

        :rtype: set[str]
        """
        return self._records.leaving_despite_restore()

    def pop_restarted(self) -> list[Restart]:
        """Return and clear the replica starts that a later start has replaced since the last call.

        :rtype: list[Restart]
        """
        return self._records.pop_restarted()

    def expire_removed(self, now: float, keep_s: float) -> None:
        """Forget replicas that were removed more than ``keep_s`` seconds ago."""
        self._records.expire_removed(now, keep_s)

    # The operators' document.

    def apply_document(self, document: bytes) -> Result[bool, str]:
        """Apply the operators' document if its version is higher.

        :return: whether it was applied, or why it can't be parsed.
        """
        if len(document) > MAX_DOCUMENT_BYTES:
            return Err(f"larger than {MAX_DOCUMENT_BYTES} bytes")
        read = self.read_catalog(document)
        if isinstance(read, Err):
            return read
        catalog = read.ok_value
        if catalog.version <= self.catalog.version:
            return Ok(False)
        before = self.catalog.version
        self.catalog = catalog
        self._document = document
        self._recent_documents.add(catalog.version, document)
        require(self.catalog.version > before, "a configuration never reverts", before=before)
        return Ok(True)

    def apply_document_snapshot(self, message: CatalogSnapshot) -> Result[bool, str]:
        """Apply a peer's complete document if its version is higher.

        :return: whether it was applied, or why it can't be parsed.
        """
        if message.version <= self.catalog.version:
            return Ok(False)
        return decompress(message.document, MAX_DOCUMENT_BYTES).and_then(self.apply_document)

    def apply_document_delta(self, message: CatalogDelta) -> Result[bool, str]:
        """Apply a peer's document that was sent as a difference, if its version is higher.

        :return: whether it was applied, or why it can't be: the caller then requests the document.
        """
        if message.version <= self.catalog.version:
            return Ok(False)
        base = self._recent_documents.find(message.base)
        if base is None:
            return Err(f"base version {message.base} is not available")
        restored = apply_difference(base, message.difference, MAX_DOCUMENT_BYTES)
        return restored.and_then(self.apply_document)

    def build_catalog_update(self, peer_version: int = 0) -> CatalogSnapshot | CatalogDelta:
        """Build the update that brings a peer to this node's document.

        :param peer_version: the version that the peer has. The update is a difference where that
            version is still available here, else the complete document.
        """
        base = self._recent_documents.find(peer_version)
        if base is None:
            return CatalogSnapshot(self.catalog.version, zlib.compress(self._document, 1))
        return CatalogDelta(
            self.catalog.version, peer_version, encode_difference(base, self._document)
        )

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
        """Replace all records by a snapshot, if its position is newer.

        :param at: the store revision of the snapshot.
        :param since: earliest time at which the records may have changed, on this node's clock, in
            seconds.
        :param changed_at: revision of the latest change in the snapshot; None if not known.
        :param epoch: the store's epoch; 0 if not known.
        :param now: the node's clock, in seconds.
        :return: whether any record changed.
        """
        if not self.is_newer(Position(epoch, at)):
            return False
        listed = {item.key: item for item in items}
        gone = set(self._items) - set(listed)
        newest = max((item.revision for item in listed.values()), default=0)
        if changed_at is None:
            changed_at = at if gone else newest
        if 0 < self.epoch < epoch:
            self._apply_restored_snapshot(listed, Position(epoch, at), changed_at, since, now)
            return True
        changed = self.replicas_revision == 0 or epoch != self.epoch
        self.epoch = epoch
        for key in gone:
            changed |= self._apply_removal(key, since, now)
        for item in listed.values():
            changed |= self._apply_write(item, since, now)
        self.replicas_revision = at
        self.last_change_revision = max(self.last_change_revision, changed_at)
        self._recent_changes.reset(at)
        return changed

    def apply_replica_changes(
        self, changes: Iterable[Item | Removed], at: int, since: float, now: float = 0.0
    ) -> bool:
        """Apply the changes since this node's revision, within its epoch.

        Changes at or below this node's revision are skipped.

        :param at: the store revision up to which the records are complete afterwards.
        :param since: earliest time of the changes, on this node's clock, in seconds.
        :param now: the node's clock, in seconds.
        :return: whether any record changed.
        """
        newer = [each for each in changes if each.revision > self.replicas_revision]
        changed = False
        for change in newer:
            if isinstance(change, Removed):
                changed |= self._apply_removal(change.key, since, now)
            else:
                changed |= self._apply_write(change, since, now)
        self._recent_changes.append(newer)
        self.replicas_revision = max(self.replicas_revision, at)
        self.last_change_revision = max(
            [self.last_change_revision, *(each.revision for each in newer)]
        )
        return changed

    def apply_replicas_delta(
        self, message: ReplicasDelta, since: float, now: float = 0.0
    ) -> Result[bool, str]:
        """Apply a peer's delta of the records.

        :param since: earliest time of the changes, on this node's clock, in seconds.
        :param now: the node's clock, in seconds.
        :return: whether any record changed, or why the delta does not apply to this node's records:
            the caller then requests an update from the peer.
        """
        if message.epoch == self.epoch:
            if message.base_epoch:
                # Another watcher has already reported the same restore.
                return Ok(False)
            if message.since > self.replicas_revision:
                return Err(f"complete up to {self.replicas_revision}, not up to {message.since}")
            changes: tuple[Item | Removed, ...] = (*message.written, *message.removed)
            return Ok(self.apply_replica_changes(changes, message.at, since, now))
        if not self.is_newer(Position(message.epoch, message.at)):
            return Ok(False)
        if (message.base_epoch, message.since) != (self.epoch, self.last_change_revision):
            base = f"{self.last_change_revision} of epoch {self.epoch}"
            return Err(f"known up to {base}, not {message.since} of epoch {message.base_epoch}")
        listed = self._items | {item.key: item for item in message.written}
        for each in message.removed:
            listed.pop(each.key, None)
        changed = self.apply_replicas_snapshot(
            listed.values(),
            message.at,
            since,
            message.changed_at,
            epoch=message.epoch,
            now=now,
        )
        return Ok(changed)

    def is_newer(self, position: Position) -> bool:
        """Return whether a position is newer than that of this node's records.

        A position without an epoch comes from a node that does not support epochs. It can't be
        compared with a position that has an epoch, so it does not count as newer than one.
        """
        if position.epoch == 0 and self.epoch > 0:
            return False
        return position > self.position

    def resolve_conflicts(self, now: float) -> bool:
        """Apply the restored store's value of each key whose conflict has expired.

        :return: whether any record changed.
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

    def _apply_restored_snapshot(
        self,
        listed: Mapping[str, Item],
        position: Position,
        changed_at: int,
        since: float,
        now: float,
    ) -> None:
        """Apply the snapshot of a restored store, except for keys with newer knowledge here.

        Those keys become conflicts: the later value stays in force until the conflict expires.
        """
        self._restore_update = self._make_restore_delta(listed, position, changed_at)
        self._records.retain_leaving(now)
        for key in self._records:
            if key not in listed:
                self._handle_missing(key, since, now)
        for item in listed.values():
            if self._is_outdated(item):
                self._conflicts.add(item.key, now + OUTDATED_RECORD_TTL_S)
                continue
            self._conflicts.remove(item.key)
            self._records.put(item, since, position.epoch, again=True)
        self._items = dict(listed)
        self.epoch, self.replicas_revision = position.epoch, position.revision
        self.last_change_revision = changed_at
        self._recent_changes.reset(position.revision)

    def _is_outdated(self, item: Item) -> bool:
        """Return whether a restored store lists an older record than this node knows."""
        if item in self._superseded and self._records.is_externally_written(item):
            return True
        return self._records.names_earlier_start(item)

    def _handle_missing(self, key: str, since: float, now: float) -> None:
        item = self._records.get(key)
        if item is not None and self._records.is_externally_written(item):
            self._conflicts.add(key, now + MISSING_RECORD_TTL_S)
        else:
            self._records.remove(key, since)

    def _apply_write(self, item: Item, since: float, now: float) -> bool:
        self._items[item.key] = item
        before = self._records.get(item.key)
        if before is not None and before != item:
            self._superseded.add(before, now)
        ended = self._conflicts.remove(item.key)
        # Peers have the same conflict, so its end is reported as a change that they receive.
        return self._records.put(item, since, self.epoch, again=ended) or ended

    def _apply_removal(self, key: str, since: float, now: float) -> bool:
        self._items.pop(key, None)
        before = self._records.get(key)
        if before is not None:
            self._superseded.add(before, now)
        ended = self._conflicts.remove(key)
        return self._records.remove(key, since) or ended

    # Updates for peers.

    def build_replicas_update(
        self, peer_revision: int = 0, age_s: float = UNKNOWN_AGE_S
    ) -> ReplicasSnapshot | ReplicasDelta:
        """Build the update that brings a peer of the same epoch to this node's records.

        The update is a delta where all changes since the peer's revision are still available, else
        a snapshot.

        :param peer_revision: the revision up to which the peer is complete; 0 asks for a snapshot.
        :param age_s: greatest age of the changes, in seconds.
        """
        changes = self._recent_changes.list_after(peer_revision) if peer_revision else None
        if changes is None:
            items = tuple(self._items.values())
            return ReplicasSnapshot(
                self.replicas_revision, self.last_change_revision, items, self.epoch
            )
        return ReplicasDelta(
            peer_revision,
            self.replicas_revision,
            tuple(each for each in changes if isinstance(each, Item)),
            tuple(each for each in changes if isinstance(each, Removed)),
            age_s,
            self.epoch,
        )

    def build_restore_update(self) -> ReplicasSnapshot | ReplicasDelta:
        """Build the update for a peer that is in the epoch before the restore.

        :return: the delta of the restore while no other change has followed it, else a snapshot.
        """
        restored = self._restore_update
        if (
            restored is None
            or restored.at != self.replicas_revision
            or restored.epoch != self.epoch
        ):
            return self.build_replicas_update()
        return restored

    def answer_request(self, request: CatalogRequest) -> list[CatalogAnswer]:
        """Build the updates for a peer's request; the list is empty if the peer is up to date.

        :rtype: list[CatalogAnswer]
        """
        answers: list[CatalogAnswer] = []
        if self.catalog.version > request.version:
            answers.append(self.build_catalog_update(request.version))
        if request.epoch == self.epoch:
            if self.replicas_revision > request.replicas_at:
                answers.append(self.build_replicas_update(request.replicas_at))
        elif request.epoch < self.epoch:
            # A request without an epoch may come from a node in any epoch, so it gets a snapshot.
            is_before = (
                self._restore_update is not None
                and request.epoch == self._restore_update.base_epoch
            )
            whole = not is_before or not request.replicas_at
            answers.append(self.build_replicas_update() if whole else self.build_restore_update())
        return answers

    def _make_restore_delta(
        self, listed: Mapping[str, Item], position: Position, changed_at: int
    ) -> ReplicasDelta | None:
        """Make the delta between the store before and after a restore; None for the first epoch."""
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
