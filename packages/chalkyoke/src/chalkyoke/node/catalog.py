"""
chalkyoke.node.catalog

Keep the catalog up to date: a few watchers in each failure domain wait on the store, and all nodes
hear from their peers what is newer.
"""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from chalkyoke.catalog.messages import (
    CatalogAnswer,
    CatalogChanged,
    CatalogMessage,
    CatalogRequest,
    CatalogTold,
    ReplicasChanged,
    ReplicasTold,
)
from chalkyoke.catalog.resources import Catalog
from chalkyoke.catalog.state import CatalogState
from chalkyoke.links.peers import Links
from chalkyoke.logs import logger
from chalkyoke.membership.messages import MemberRecord
from chalkyoke.membership.view import MembershipView
from chalkyoke.storage.messages import Changes, HistoryLost, Item, Listing, Removed, Unavailable
from chalkyoke.storage.port import Store

WATCH_DUTY = "store-watch"
IDLE_S = 0.25
NEWCOMER_S = 1.0
GATHER_S = 0.05
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
LAG_S = 0.1
ASK_AGAIN_S = 0.3
BEHIND_RESTART_S = 0.4
DEPARTED_KEPT_S = 30.0
MOST_QUOTAS_LOGGED = 10

log = logger("catalog")


@dataclass(frozen=True, slots=True)
class Keys:
    """Where things lie in the store.

    :param document: the operators' document.
    :param replicas: prefix of the replicas' records.
    :param nodes: prefix of the nodes' registrations.
    """

    document: str
    replicas: str
    nodes: str


class CatalogKeeper:
    """Hold the catalog in force on this node.

    :param changed: called after the document or a replica has changed.
    :param registered: called with the nodes' registrations when they have changed.
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        state: CatalogState,
        store: Store,
        keys: Keys,
        view: MembershipView,
        links: Links,
        watchers: int,
        watch_wait_s: float,
        changed: Callable[[], None],
        registered: Callable[[dict[str, bytes]], None],
        now: Callable[[], float],
    ) -> None:
        self.state = state
        self._store = store
        self._keys = keys
        self._view = view
        self._links = links
        self._watchers = watchers
        self._wait_s = watch_wait_s
        self._changed = changed
        self._registered = registered
        self._now = now
        self._since = 0
        self._nodes: dict[str, bytes] = {}
        self._asked = 0.0
        self._behind_since = 0.0
        self._watch: asyncio.Task[Changes | HistoryLost | Unavailable] | None = None
        self._store_answers = True

    # The store.

    async def run(self) -> None:
        """Follow the store for as long as the process lives."""
        failures = 0
        while True:
            if self._since and not self._is_watcher():
                await asyncio.sleep(IDLE_S)
                continue
            good = await (self._wait_for_changes() if self._since else self._read_all())
            self._note_store(good)
            if good:
                failures = 0
                continue
            failures += 1
            await asyncio.sleep(min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(failures - 1, 5)))

    def _is_watcher(self) -> bool:
        """Tell whether this node waits on the store for its failure domain.

        A newcomer knows nobody yet and would believe so each time; what changes in its first
        second it hears from its peers, or from its first watch.
        """
        if self._now() < NEWCOMER_S:
            return False
        return self._view.holds_duty(WATCH_DUTY, self._watchers)

    def _note_store(self, answers: bool) -> None:
        if answers != self._store_answers:
            self._store_answers = answers
            if answers:
                log.notice("store_back", since=self._since)
            else:
                log.notice("store_lost", since=self._since, version=self.state.catalog.version)

    async def _read_all(self) -> bool:
        """Read everything at once."""
        found = await self._store.read("")
        if not isinstance(found, Listing):
            return False
        for item in found.items:
            self._take_document(item)
        self._take_replicas(Listing(_under(self._keys.replicas, found), found.at))
        self._nodes = {item.key: item.value for item in _under(self._keys.nodes, found)}
        self._registered(self._nodes)
        self._since = found.at
        return True

    async def _wait_for_changes(self) -> bool:
        self._watch = asyncio.ensure_future(self._store.watch("", self._since, self._wait_s))
        try:
            found = await self._watch
        except asyncio.CancelledError:
            if self._watch is not None and self._watch.cancelled() and not _is_cancelling():
                # This node was behind its peers: the watch may have gone silent.
                return True
            raise
        finally:
            self._watch = None
        if isinstance(found, HistoryLost):
            log.notice("history_lost", since=self._since)
            self._since = 0
            return True
        if isinstance(found, Unavailable):
            return False
        self._take_changes(found)
        # Changes come in crowds, and each call costs: let a few gather.
        await asyncio.sleep(GATHER_S)
        return True

    def _take_changes(self, found: Changes) -> None:
        replicas: list[Item | Removed] = []
        nodes_changed = False
        for change in found.changes:
            if change.key == self._keys.document and isinstance(change, Item):
                self._take_document(change)
            elif change.key.startswith(self._keys.replicas):
                replicas.append(change)
            elif change.key.startswith(self._keys.nodes):
                nodes_changed = True
                if isinstance(change, Item):
                    self._nodes[change.key] = change.value
                else:
                    self._nodes.pop(change.key, None)
        known_at = self.state.changed_at
        if self.state.change_replicas(replicas, found.at, self._now()):
            self._replicas_changed("store")
            self._tell(self.state.tell_replicas(known_at))
        self._since = max(self._since, found.at)
        if nodes_changed:
            self._registered(self._nodes)

    def _take_document(self, item: Item) -> None:
        if item.key != self._keys.document:
            return
        before = self.state.catalog
        taken = self.state.adopt_document(item.value)
        if isinstance(taken, Err):
            log.error("document_unreadable", revision=item.revision, why=taken.err_value)
        elif taken.ok_value:
            self._document_changed("store", before)
            if before.version:
                self._tell(self.state.tell_catalog(before.version))

    def _take_replicas(self, listing: Listing) -> None:
        first = not self.state.replicas_at
        if not self.state.adopt_replicas(listing.items, listing.at, self._now()):
            return
        self._replicas_changed("store")
        if not first:
            self._tell(self.state.tell_replicas())

    # Peers.

    def heard(self, address: str, record: MemberRecord) -> None:
        """Ask a peer for what it has and this node still lacks a moment later.

        :param address: link address of the peer.
        """
        newer = record.revision > self.state.catalog.version
        newer = newer or record.hosts_version > self.state.replicas_at
        now = self._now()
        if not newer:
            return
        if now - self._behind_since > 2.0:
            self._behind_since = now
        waited = now - self._behind_since
        if self.state.complete and waited < LAG_S:
            return
        self._ask(address)
        if self._watch is not None and waited > BEHIND_RESTART_S:
            self._watch.cancel()

    def receive(self, address: str, message: CatalogMessage) -> None:
        """Take a peer's question or answer.

        :param address: link address of the peer.
        """
        if isinstance(message, CatalogRequest):
            for answer in self.state.answers(message):
                self._links.send(address, answer)
        elif isinstance(message, CatalogTold | CatalogChanged):
            self._take_told_document(address, message)
        else:
            self._take_told_replicas(address, message)

    def _take_told_document(self, address: str, message: CatalogTold | CatalogChanged) -> None:
        before = self.state.catalog
        if isinstance(message, CatalogTold):
            taken = self.state.adopt_told(message)
        else:
            taken = self.state.adopt_changed(message)
        if self._is_taken(address, "version", taken):
            self._document_changed("peer", before)

    def _take_told_replicas(self, address: str, message: ReplicasTold | ReplicasChanged) -> None:
        state, now = self.state, self._now()
        taken: Result[bool, str]
        if isinstance(message, ReplicasTold):
            taken = Ok(state.adopt_replicas(message.items, message.at, now, message.changed_at))
        else:
            taken = state.adopt_changes(message, now)
        if self._is_taken(address, "replicas", taken):
            self._replicas_changed("peer")

    def _is_taken(self, address: str, what: str, taken: Result[bool, str]) -> bool:
        """Tell whether what a peer told has changed anything; ask it where that does not fit."""
        if isinstance(taken, Err):
            log.info("not_taken", what=what, peer=address, why=taken.err_value)
            self._ask(address)
            return False
        return taken.ok_value

    def _ask(self, address: str) -> None:
        """Ask a peer for what is newer than what this node has, unless it has just asked one."""
        if self._now() - self._asked < ASK_AGAIN_S:
            return
        self._asked = self._now()
        request = CatalogRequest(self.state.catalog.version, self.state.replicas_at)
        self._links.send(address, request)

    def _tell(self, message: CatalogAnswer) -> None:
        """Tell those of this failure domain that do not watch the store themselves."""
        for record in self._view.live():
            mine = record.failure_domain == self._view.domain
            other = mine and record.host != self._view.record.host
            if other and not self._view.has_duty(WATCH_DUTY, self._watchers, record.host):
                self._links.send(record.address, message)

    # Changes.

    def _document_changed(self, source: str, before: Catalog) -> None:
        catalog = self.state.catalog
        version = catalog.version
        log.info(
            "version",
            version=version,
            before=before.version,
            source=source,
            routes=len(catalog.routes),
            quotas=_changed_quotas(before, catalog),
        )
        self._view.update_self(revision=version)
        self._changed()

    def _replicas_changed(self, source: str) -> None:
        self.state.forget_departed(self._now(), DEPARTED_KEPT_S)
        log.info(
            "replicas",
            revision=self.state.replicas_at,
            source=source,
            count=len(self.state.replicas),
            draining=sorted(each.id for each in self.state.replicas.values() if each.draining),
        )
        self._view.update_self(hosts_version=self.state.changed_at)
        self._changed()


def _changed_quotas(before: Catalog, now: Catalog) -> dict[str, tuple[float, float]]:
    """List the teams whose quota has changed, with rate and burst; only a few of them."""
    changed = {
        name: (team.rate_per_s, team.burst)
        for name, team in now.teams.items()
        if (old := before.teams.get(name)) is None
        or (old.rate_per_s, old.burst) != (team.rate_per_s, team.burst)
    }
    return dict(itertools.islice(changed.items(), MOST_QUOTAS_LOGGED))


def _under(prefix: str, listing: Listing) -> tuple[Item, ...]:
    return tuple(item for item in listing.items if item.key.startswith(prefix))


def _is_cancelling() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


class Registration:
    """Keep this node listed in the store, under a lease.

    :param key: where.
    :param value: what is listed.
    """

    def __init__(self, store: Store, key: str, value: bytes, lease_s: float) -> None:
        self._store = store
        self._key = key
        self._value = value
        self._lease_s = lease_s
        self._lease = 0

    async def run(self) -> None:
        """Register, and renew the lease for as long as the process lives."""
        for failures in itertools.count():
            if await self._register():
                break
            await asyncio.sleep(min(MAX_PAUSE_S * 2, FIRST_PAUSE_S * 2 ** min(failures, 6)))
        while True:
            await asyncio.sleep(self._lease_s / 3)
            renewed = await self._store.renew_lease(self._lease)
            if not isinstance(renewed, Unavailable) and not hasattr(renewed, "lease"):
                await self._register()

    async def _register(self) -> bool:
        granted = await self._store.grant_lease(self._lease_s)
        if isinstance(granted, Unavailable):
            return False
        self._lease = granted.lease
        written = await self._store.write(self._key, self._value, lease=self._lease)
        return not isinstance(written, Unavailable)

    async def end(self) -> None:
        """Take this node off the list."""
        if self._lease:
            await self._store.end_lease(self._lease)
