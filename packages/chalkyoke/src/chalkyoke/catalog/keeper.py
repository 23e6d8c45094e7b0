"""
chalkyoke.catalog.keeper

Keep the catalog up to date. A few nodes in each failure domain watch the store and broadcast the
changes; all other nodes receive updates from their peers.
"""

import itertools
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec
from result import Err, Ok, Result

from chalkyoke.catalog.confirmation import StoreConfirmation
from chalkyoke.catalog.follower import StoreFollower, WatchRole, WatchTimeouts
from chalkyoke.catalog.messages import (
    CatalogAnswer,
    CatalogDelta,
    CatalogMessage,
    CatalogRequest,
    CatalogSnapshot,
    ReplicasDelta,
    ReplicasSnapshot,
)
from chalkyoke.catalog.resources import Catalog, Replica
from chalkyoke.catalog.restores import Position
from chalkyoke.catalog.state import UNKNOWN_AGE_S, CatalogState
from chalkyoke.catalog.unreadable import UnreadableEntries
from chalkyoke.links.peers import Links
from chalkyoke.logs import logger
from chalkyoke.membership.messages import MemberRecord
from chalkyoke.membership.view import MembershipView
from chalkyoke.storage.messages import Changes, Item, Listing, Removed
from chalkyoke.storage.port import Store

# Name of the duty that the watchers of a failure domain hold.
WATCH_DUTY = "store-watch"
# How long a node may lag a peer before it requests an update, in seconds. The nodes that watch the
# store broadcast sooner than that, unless their messages are lost.
REQUEST_AFTER_LAG_S = 0.1
# Minimum time between two update requests, in seconds: the node waits this long for an answer
# before it asks another peer.
REQUEST_INTERVAL_S = 0.3
# How long a node may lag before it restarts its own watch, in seconds: a few heartbeat intervals.
RESTART_WATCH_AFTER_LAG_S = 0.4
# Age of a lag, in seconds, above which an observed lag counts as a new one.
LAG_RESET_S = 2.0
# How long a removed replica is remembered, in seconds: longer than any request deadline.
REMOVED_REPLICA_TTL_S = 30.0
# Maximum length of a record, in bytes: a snapshot of the records must fit into one frame.
MAX_RECORD_BYTES = 16_384
# Maximum number of changed quotas in one log line.
MAX_LOGGED_ENTRIES = 10

log = logger("catalog")


class StoreKeys(msgspec.Struct, frozen=True):
    """Keys and key prefixes in the store.

    :param document: key of the operators' document.
    :param records: prefixes of the replica records, roll-out orders, roll-out statuses and records
        of requests that are held back.
    :param nodes: prefix of the node registrations.
    :param held: prefix of the records of requests that are held back.
    :param quotas: prefix of the snapshots of quota windows.
    """

    document: str
    records: tuple[str, ...]
    nodes: str
    held: str
    quotas: str = "quotas/"


class CatalogSynchronizer:
    """Synchronize this node's catalog with the store and with its peers.

    :param watchers: the number of nodes in each failure domain that watch the store.
    :param timeouts: timeouts of a watch of the store.
    :param changed: called after the document or a record has changed.
    :param registered: called with the node registrations after they have changed.
    :param now: the node's clock, in seconds.
    :ivar ignored_updates: number of store answers that were older than this node's state, by kind.
    """

    def __init__(
        self,
        state: CatalogState,
        store: Store,
        keys: StoreKeys,
        view: MembershipView,
        links: Links,
        watchers: int,
        timeouts: WatchTimeouts,
        changed: Callable[[], None],
        registered: Callable[[dict[str, bytes]], None],
        now: Callable[[], float],
    ) -> None:
        self.state = state
        self._keys = keys
        self._view = view
        self._links = links
        self._watcher_count = watchers
        self._on_change = changed
        self._on_registrations = registered
        self._now = now
        self.ignored_updates: Counter[str] = Counter()
        self._unreadable = UnreadableEntries()
        self._node_registrations: dict[str, bytes] = {}
        self._requested_at = -REQUEST_INTERVAL_S
        self._refused_version = 0
        self._lagging_since = 0.0
        self._follower = StoreFollower(store, timeouts, self, self._watch_role, now)
        self._confirmation = StoreConfirmation(store, self, now)

    async def run(self) -> None:
        """Watch the store until the process ends."""
        await self._follower.run()

    async def confirm(self) -> bool:
        """Bring this node's records up to date with the store.

        :return: whether the store has answered a call that began after this one.
        """
        return await self._confirmation.confirm()

    def describe_lack(self) -> str:
        """Return what this node lacks to serve; empty if its catalog is complete."""
        if self.state.complete:
            return ""
        if self.state.catalog.version:
            return "the replicas are not known yet"
        if self._unreadable.document:
            return f"the configuration can't be read: {self._unreadable.document}"
        return "no configuration is known yet"

    def resolve_conflicts(self) -> None:
        """Resolve expired conflicts with a restored store; call a few times a second."""
        if self.state.resolve_conflicts(self._now()):
            self._handle_records_change("settled", 0.0)

    # The store.

    def _watch_role(self) -> WatchRole:
        watching = self._list_watcher_hosts()
        if self._view.record.host not in watching:
            return WatchRole.NONE
        return WatchRole.PRIMARY if watching[0] == self._view.record.host else WatchRole.STANDBY

    def _list_watcher_hosts(self) -> list[str]:
        """List the hosts of this failure domain that watch the store, the primary first.

        A node that gets no answers from the store loses the duty even while it is alive. Otherwise
        a failure domain whose watchers can't reach the store would receive no updates although its
        other nodes can reach the store.
        """
        return self._view.duty_holders(WATCH_DUTY, self._watcher_count, able=self._can_watch)

    def _can_watch(self, record: MemberRecord) -> bool:
        """Return whether a node can watch the store for its failure domain.

        A node without an epoch can't, once this node knows one: updates without an epoch can't be
        compared with updates that have one.
        """
        return not record.store_lost and (record.store_epoch > 0 or not self.state.epoch)

    def on_availability(self, is_lost: bool) -> None:
        """Announce to the peers whether the store answers this node."""
        self._view.update_self(store_lost=is_lost)

    def on_listing(self, listing: Listing) -> None:
        """Apply a complete listing of the store."""
        epoch = listing.epoch or self.state.epoch
        self._report_ignored("listing", Position(epoch, listing.revision))
        for item in listing.items:
            self._apply_document(item, 0.0)
        records = _filter_by_prefix(self._keys.records, listing)
        cut = tuple(_cut_record(each) for each in records)
        self._apply_snapshot(Listing(cut, listing.revision, epoch))
        self._node_registrations = {
            item.key: item.value for item in _filter_by_prefix((self._keys.nodes,), listing)
        }
        self._on_registrations(self._node_registrations)

    def on_changes(self, found: Changes, age_s: float) -> None:
        """Apply changes of the store and broadcast those of the records and the document.

        :param age_s: greatest age of the changes, in seconds.
        """
        position = Position(found.epoch or self.state.epoch, found.revision)
        if found.changes:
            self._report_ignored("changes", position)
        replicas: list[Item | Removed] = []
        nodes_changed = False
        for change in found.changes:
            if change.key == self._keys.document and isinstance(change, Item):
                self._apply_document(change, age_s)
            elif change.key.startswith(self._keys.records):
                replicas.append(_cut_record(change) if isinstance(change, Item) else change)
            elif change.key.startswith(self._keys.nodes):
                nodes_changed = True
                if isinstance(change, Item):
                    self._node_registrations[change.key] = change.value
                else:
                    self._node_registrations.pop(change.key, None)
        known_at = self.state.last_change_revision
        if position.epoch == self.state.epoch:
            now = self._now()
            if self.state.apply_replica_changes(replicas, found.revision, now - age_s, now):
                self._handle_records_change("store", age_s)
                self._broadcast(self.state.build_replicas_update(known_at, age_s))
        if nodes_changed:
            self._on_registrations(self._node_registrations)

    def position(self) -> Position:
        """Return the store's position up to which the records are complete."""
        return self.state.position

    def apply_confirmed(self, found: Changes, since: Position) -> bool:
        """Apply the changes since an earlier :meth:`position`.

        Registrations are left to the watch, which has the earlier ones too.

        :return: false if the records have moved to another epoch since.
        """
        if self.state.epoch != since.epoch:
            return False
        changes = (each for each in found.changes if not each.key.startswith(self._keys.nodes))
        kept = msgspec.structs.replace(found, changes=tuple(changes))
        self.on_changes(kept, UNKNOWN_AGE_S)
        return True

    def _report_ignored(self, what: str, position: Position) -> None:
        """Count and log a store answer that is older than this node's state."""
        held = self.state.position
        if position >= held:
            return
        self.ignored_updates[what] += 1
        log.notice(
            "update_ignored",
            what=what,
            revision=position.revision,
            epoch=position.epoch,
            held=held.revision,
            held_epoch=held.epoch,
        )

    def _apply_document(self, item: Item, age_s: float) -> None:
        if item.key != self._keys.document:
            return
        before = self.state.catalog
        applied = self.state.apply_document(item.value)
        if isinstance(applied, Err):
            why = applied.err_value
            self._unreadable.note_document(item.key, item.revision, why, before.version)
            return
        self._unreadable.clear_document()
        if applied.ok_value:
            self._handle_document_change("store", before, age_s)
            if before.version:
                self._broadcast(self.state.build_catalog_update(before.version))

    def _apply_snapshot(self, listing: Listing) -> None:
        before = self.state.position
        now = self._now()
        if not self.state.apply_replicas_snapshot(
            listing.items, listing.revision, now - UNKNOWN_AGE_S, epoch=listing.epoch, now=now
        ):
            return
        self._handle_records_change("store", UNKNOWN_AGE_S)
        if not before.revision:
            return
        is_restored = 0 < before.epoch < listing.epoch
        self._broadcast(
            self.state.build_restore_update() if is_restored else self.state.build_replicas_update()
        )

    # Peers.

    def receive_heartbeat(self, address: str, record: MemberRecord) -> None:
        """Request an update from a peer that is ahead, once this node has lagged for a while.

        A longer lag also restarts this node's own watch of the store.

        :param address: link address of the peer.
        """
        newer = record.revision > self.state.catalog.version
        newer = newer and record.revision != self._refused_version
        replicas = Position(record.store_epoch, record.hosts_version)
        newer = newer or self.state.is_newer(replicas)
        now = self._now()
        if not newer:
            return
        if now - self._lagging_since > LAG_RESET_S:
            self._lagging_since = now
        lag_s = now - self._lagging_since
        if self.state.complete and lag_s < REQUEST_AFTER_LAG_S:
            return
        self._request_update(address)
        if lag_s > RESTART_WATCH_AFTER_LAG_S:
            self._follower.restart_watch()

    def receive(self, address: str, message: CatalogMessage) -> None:
        """Answer a peer's request, or apply its update.

        :param address: link address of the peer.
        """
        if isinstance(message, CatalogRequest):
            for answer in self.state.answer_request(message):
                self._links.send(address, answer)
        elif isinstance(message, CatalogSnapshot | CatalogDelta):
            self._receive_document(address, message)
        else:
            self._receive_replicas(address, message)

    def _receive_document(self, address: str, message: CatalogSnapshot | CatalogDelta) -> None:
        before = self.state.catalog
        if isinstance(message, CatalogSnapshot):
            applied = self.state.apply_document_snapshot(message)
            if isinstance(applied, Err):
                # A peer of another build reads what this one can't; it would answer the same again.
                self._refused_version = message.version
                log.error(
                    "not_taken",
                    what="version",
                    peer=address,
                    why=applied.err_value,
                    version=message.version,
                )
                return
        else:
            applied = self.state.apply_document_delta(message)
        if self._check_applied(address, "version", applied):
            self._handle_document_change("peer", before, UNKNOWN_AGE_S)

    def _receive_replicas(self, address: str, message: ReplicasSnapshot | ReplicasDelta) -> None:
        state, now = self.state, self._now()
        applied: Result[bool, str]
        if isinstance(message, ReplicasSnapshot):
            age_s = UNKNOWN_AGE_S
            changed = state.apply_replicas_snapshot(
                message.items,
                message.at,
                now - age_s,
                message.changed_at,
                epoch=message.epoch,
                now=now,
            )
            applied = Ok(changed)
        else:
            age_s = message.age_s
            applied = state.apply_replicas_delta(message, now - age_s, now)
        request_snapshot = isinstance(message, ReplicasDelta) and bool(message.base_epoch)
        if self._check_applied(address, "replicas", applied, request_snapshot=request_snapshot):
            self._handle_records_change("peer", age_s)

    def _check_applied(
        self, address: str, what: str, applied: Result[bool, str], *, request_snapshot: bool = False
    ) -> bool:
        """Return whether a peer's update changed anything; request another if it did not apply.

        :param what: the kind of update, for the log.
        :param request_snapshot: whether that request is for a snapshot.
        """
        if isinstance(applied, Err):
            log.info("not_taken", what=what, peer=address, why=applied.err_value)
            self._request_update(address, request_snapshot=request_snapshot)
            return False
        return applied.ok_value

    def _request_update(self, address: str, *, request_snapshot: bool = False) -> None:
        """Request newer state from a peer, unless a request was sent within the interval.

        :param request_snapshot: whether to request a snapshot of the records.
        """
        if self._now() - self._requested_at < REQUEST_INTERVAL_S:
            return
        self._requested_at = self._now()
        held_at = 0 if request_snapshot else self.state.replicas_revision
        request = CatalogRequest(self.state.catalog.version, held_at, self.state.epoch)
        self._links.send(address, request)

    def _broadcast(self, message: CatalogAnswer) -> None:
        """Send an update to all other hosts of this failure domain.

        The other watchers are included, since the store may not be answering them.
        """
        for record in self._view.live():
            in_same_domain = record.failure_domain == self._view.domain
            if in_same_domain and record.host != self._view.record.host:
                self._links.send(record.address, message)

    # Changes.

    def _handle_document_change(self, source: str, before: Catalog, age_s: float) -> None:
        catalog = self.state.catalog
        version = catalog.version
        log.info(
            "version",
            version=version,
            before=before.version,
            source=source,
            news_age_s=round(age_s, 3),
            routes=len(catalog.routes),
            quotas=_changed_quotas(before, catalog),
        )
        self._view.update_self(revision=version)
        self._on_change()

    def _handle_records_change(self, source: str, age_s: float) -> None:
        self.state.expire_removed(self._now(), REMOVED_REPLICA_TTL_S)
        self._unreadable.note_records(self.state.unreadable)
        log.info(
            "replicas",
            revision=self.state.replicas_revision,
            epoch=self.state.epoch,
            changed_at=self.state.last_change_revision,
            source=source,
            news_age_s=round(age_s, 3),
            count=len(self.state.replicas),
            draining=sorted(each.id for each in self.state.replicas.values() if each.draining),
            versions=_count_versions(self.state.replicas.values()),
            unreadable=len(self.state.unreadable),
        )
        self._view.update_self(
            hosts_version=self.state.last_change_revision, store_epoch=self.state.epoch
        )
        self._on_change()


def _changed_quotas(before: Catalog, now: Catalog) -> dict[str, tuple[float, float]]:
    """List new rate and burst of the teams whose quota changed, up to the log limit."""
    changed = {
        name: (team.rate_per_s, team.burst)
        for name, team in now.teams.items()
        if (old := before.teams.get(name)) is None
        or (old.rate_per_s, old.burst) != (team.rate_per_s, team.burst)
    }
    return dict(itertools.islice(changed.items(), MAX_LOGGED_ENTRIES))


def _count_versions(replicas: Iterable[Replica]) -> dict[str, int]:
    """Count the replicas by service and version, for services that run several versions."""
    counts = Counter((each.service, each.version) for each in replicas)
    several = Counter(service for service, _ in counts)
    return {
        f"{service}/{version}": count
        for (service, version), count in sorted(counts.items())
        if several[service] > 1
    }


def _cut_record(item: Item) -> Item:
    """Cut the value of a record that is longer than any of ours: it is sent to all peers."""
    if len(item.value) <= MAX_RECORD_BYTES:
        return item
    return Item(item.key, item.value[:MAX_RECORD_BYTES], item.revision)


def _filter_by_prefix(prefixes: tuple[str, ...], listing: Listing) -> tuple[Item, ...]:
    return tuple(item for item in listing.items if item.key.startswith(prefixes))
