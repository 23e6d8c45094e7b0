"""
chalkyoke.catalog.keeper

Keep the catalog up to date: a few nodes in each failure domain follow the store, and all nodes
hear from their peers what is newer.
"""

import itertools
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec
from result import Err, Ok, Result

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
from chalkyoke.links.peers import Links
from chalkyoke.logs import logger
from chalkyoke.membership.messages import MemberRecord
from chalkyoke.membership.view import MembershipView
from chalkyoke.storage.messages import Changes, Item, Listing, Removed
from chalkyoke.storage.port import Store

WATCH_DUTY = "store-watch"
# How long a node lags its peers before it asks them, in seconds: those that follow the store tell
# sooner, unless their messages were lost.
LAG_S = 0.1
# How long an answer is waited for before another peer is asked, in seconds.
ASK_AGAIN_S = 0.3
# How long a node lags before its own watch is in doubt, in seconds: some heartbeats.
DOUBT_S = 0.4
# After so many seconds without a newer peer a lag is another one.
LAG_OVER_S = 2.0
# How long a replica whose entry is gone is remembered, in seconds; beyond any deadline.
DEPARTED_KEPT_S = 30.0
# Changed quotas, or records that can't be read, that are named in one line of the log.
MOST_NAMED = 10

log = logger("catalog")


class StoreKeys(msgspec.Struct, frozen=True):
    """Where things lie in the store.

    :param document: the operators' document.
    :param records: prefixes of the replicas' records, of orders of roll-outs and their answers.
    :param nodes: prefix of the nodes' registrations.
    :param held: prefix of the records of requests that are held back.
    """

    document: str
    records: tuple[str, ...]
    nodes: str
    held: str


class CatalogSynchronizer:
    """Hold the catalog in force on this node.

    :param watchers: how many nodes of a failure domain follow the store.
    :param bounds: how long a watch of the store may take.
    :param changed: called after the document or a replica has changed.
    :param registered: called with the nodes' registrations when they have changed.
    :param now: the node's clock, in seconds.
    :ivar ignored: the store's answers that were older than what this node held, by kind.
    """

    def __init__(
        self,
        state: CatalogState,
        store: Store,
        keys: StoreKeys,
        view: MembershipView,
        links: Links,
        watchers: int,
        bounds: WatchTimeouts,
        changed: Callable[[], None],
        registered: Callable[[dict[str, bytes]], None],
        now: Callable[[], float],
    ) -> None:
        self.state = state
        self._keys = keys
        self._view = view
        self._links = links
        self._watchers = watchers
        self._changed = changed
        self._registered = registered
        self._now = now
        self.ignored_updates: Counter[str] = Counter()
        self._nodes: dict[str, bytes] = {}
        self._asked = 0.0
        self._behind_since = 0.0
        self._follower = StoreFollower(store, bounds, self, self._part, now)

    async def run(self) -> None:
        """Follow the store for as long as the process lives."""
        await self._follower.run()

    def resolve_conflicts(self) -> None:
        """Believe a restored store where nobody has corrected it; call some times a second."""
        if self.state.resolve_conflicts(self._now()):
            self._replicas_changed("settled", 0.0)

    # The store.

    def _part(self) -> WatchRole:
        watching = self._watching_hosts()
        if self._view.record.host not in watching:
            return WatchRole.NONE
        return WatchRole.PRIMARY if watching[0] == self._view.record.host else WatchRole.STANDBY

    def _watching_hosts(self) -> list[str]:
        """List the hosts of this failure domain that follow the store.

        The duty leaves a node that the store does not answer, however alive it is: a domain whose
        watchers were turned away would learn nothing while its other nodes reach the store.
        """
        return self._view.duty_holders(WATCH_DUTY, self._watchers, able=self._can_follow)

    def _can_follow(self, record: MemberRecord) -> bool:
        """Tell whether a node can follow the store for others.

        What comes without an epoch can't be compared once one is known.
        """
        return not record.store_lost and (record.store_epoch > 0 or not self.state.epoch)

    def on_availability(self, is_lost: bool) -> None:
        """Tell the peers whether the store answers this node."""
        self._view.update_self(store_lost=is_lost)

    def on_listing(self, listing: Listing) -> None:
        """Take all that the store holds."""
        epoch = listing.epoch or self.state.epoch
        self._note_ignored("listing", Position(epoch, listing.revision))
        for item in listing.items:
            self._take_document(item, 0.0)
        records = _under(self._keys.records, listing)
        self._take_replicas(Listing(records, listing.revision, epoch))
        self._nodes = {item.key: item.value for item in _under((self._keys.nodes,), listing)}
        self._registered(self._nodes)

    def on_changes(self, found: Changes, age_s: float) -> None:
        """Take what has changed in the store.

        :param age_s: how long ago it may have changed at most, in seconds.
        """
        position = Position(found.epoch or self.state.epoch, found.revision)
        if found.changes:
            self._note_ignored("changes", position)
        replicas: list[Item | Removed] = []
        nodes_changed = False
        for change in found.changes:
            if change.key == self._keys.document and isinstance(change, Item):
                self._take_document(change, age_s)
            elif change.key.startswith(self._keys.records):
                replicas.append(change)
            elif change.key.startswith(self._keys.nodes):
                nodes_changed = True
                if isinstance(change, Item):
                    self._nodes[change.key] = change.value
                else:
                    self._nodes.pop(change.key, None)
        known_at = self.state.last_change_revision
        if position.epoch == self.state.epoch:
            now = self._now()
            if self.state.apply_replica_changes(replicas, found.revision, now - age_s, now):
                self._replicas_changed("store", age_s)
                self._broadcast(self.state.build_replicas_update(known_at, age_s))
        if nodes_changed:
            self._registered(self._nodes)

    def _note_ignored(self, what: str, position: Position) -> None:
        """Count and log that the store's answer is older than what this node holds."""
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

    def _take_document(self, item: Item, age_s: float) -> None:
        if item.key != self._keys.document:
            return
        before = self.state.catalog
        taken = self.state.apply_document(item.value)
        if isinstance(taken, Err):
            log.error("document_unreadable", revision=item.revision, why=taken.err_value)
        elif taken.ok_value:
            self._document_changed("store", before, age_s)
            if before.version:
                self._broadcast(self.state.build_catalog_update(before.version))

    def _take_replicas(self, listing: Listing) -> None:
        before = self.state.position
        now = self._now()
        if not self.state.apply_replicas_snapshot(
            listing.items, listing.revision, now - UNKNOWN_AGE_S, epoch=listing.epoch, now=now
        ):
            return
        self._replicas_changed("store", UNKNOWN_AGE_S)
        if not before.revision:
            return
        is_restored = 0 < before.epoch < listing.epoch
        self._broadcast(
            self.state.build_restore_update() if is_restored else self.state.build_replicas_update()
        )

    # Peers.

    def receive_heartbeat(self, address: str, record: MemberRecord) -> None:
        """Ask a peer for what it has and this node still lacks a moment later.

        :param address: link address of the peer.
        """
        newer = record.revision > self.state.catalog.version
        replicas = Position(record.store_epoch, record.hosts_version)
        newer = newer or self.state.is_newer(replicas)
        now = self._now()
        if not newer:
            return
        if now - self._behind_since > LAG_OVER_S:
            self._behind_since = now
        waited = now - self._behind_since
        if self.state.complete and waited < LAG_S:
            return
        self._ask(address)
        if waited > DOUBT_S:
            self._follower.restart_watch()

    def receive(self, address: str, message: CatalogMessage) -> None:
        """Take a peer's question or answer.

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
            taken = self.state.apply_document_snapshot(message)
        else:
            taken = self.state.apply_document_delta(message)
        if self._is_taken(address, "version", taken):
            self._document_changed("peer", before, UNKNOWN_AGE_S)

    def _receive_replicas(self, address: str, message: ReplicasSnapshot | ReplicasDelta) -> None:
        state, now = self.state, self._now()
        taken: Result[bool, str]
        if isinstance(message, ReplicasSnapshot):
            age_s = UNKNOWN_AGE_S
            changed = state.apply_replicas_snapshot(
                message.items,
                message.revision,
                now - age_s,
                message.last_change_revision,
                epoch=message.epoch,
                now=now,
            )
            taken = Ok(changed)
        else:
            age_s = message.age_s
            taken = state.apply_replicas_delta(message, now - age_s, now)
        whole = isinstance(message, ReplicasDelta) and bool(message.base_epoch)
        if self._is_taken(address, "replicas", taken, whole=whole):
            self._replicas_changed("peer", age_s)

    def _is_taken(
        self, address: str, what: str, taken: Result[bool, str], *, whole: bool = False
    ) -> bool:
        """Tell whether what a peer told has changed anything; ask it where that does not fit.

        :param whole: whether it is asked for all then.
        """
        if isinstance(taken, Err):
            log.info("not_taken", what=what, peer=address, why=taken.err_value)
            self._ask(address, whole=whole)
            return False
        return taken.ok_value

    def _ask(self, address: str, *, whole: bool = False) -> None:
        """Ask a peer for what is newer than what this node has, unless it has just asked one."""
        if self._now() - self._asked < ASK_AGAIN_S:
            return
        self._asked = self._now()
        held_at = 0 if whole else self.state.replicas_revision
        request = CatalogRequest(self.state.catalog.version, held_at, self.state.epoch)
        self._links.send(address, request)

    def _broadcast(self, message: CatalogAnswer) -> None:
        """Tell all others of this failure domain: the store may be silent to the other watcher."""
        for record in self._view.live():
            mine = record.failure_domain == self._view.domain
            if mine and record.host != self._view.record.host:
                self._links.send(record.address, message)

    # Changes.

    def _document_changed(self, source: str, before: Catalog, age_s: float) -> None:
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
        self._changed()

    def _replicas_changed(self, source: str, age_s: float) -> None:
        self.state.expire_removed(self._now(), DEPARTED_KEPT_S)
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
            unreadable=dict(itertools.islice(self.state.unreadable.items(), MOST_NAMED)),
        )
        self._view.update_self(
            hosts_version=self.state.last_change_revision, store_epoch=self.state.epoch
        )
        self._changed()


def _changed_quotas(before: Catalog, now: Catalog) -> dict[str, tuple[float, float]]:
    """List the teams whose quota has changed, with rate and burst; only a few of them."""
    changed = {
        name: (team.rate_per_s, team.burst)
        for name, team in now.teams.items()
        if (old := before.teams.get(name)) is None
        or (old.rate_per_s, old.burst) != (team.rate_per_s, team.burst)
    }
    return dict(itertools.islice(changed.items(), MOST_NAMED))


def _count_versions(replicas: Iterable[Replica]) -> dict[str, int]:
    """Count the replicas by service and version, where a service has several versions."""
    counts = Counter((each.service, each.version) for each in replicas)
    several = Counter(service for service, _ in counts)
    return {
        f"{service}/{version}": count
        for (service, version), count in sorted(counts.items())
        if several[service] > 1
    }


def _under(prefixes: tuple[str, ...], listing: Listing) -> tuple[Item, ...]:
    return tuple(item for item in listing.items if item.key.startswith(prefixes))
