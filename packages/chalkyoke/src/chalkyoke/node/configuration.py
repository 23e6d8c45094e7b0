"""
chalkyoke.node.configuration

Keeps the configuration and the host list up to date: one watcher in each failure domain queries the
platform, all other nodes query their peers.
"""

import asyncio
from collections.abc import Callable

from result import Err

from chalkyoke.administration.metrics import Metrics
from chalkyoke.configuration.chunks import chunk_hash
from chalkyoke.configuration.messages import (
    HostsAnswer,
    HostsRequest,
    ListedHost,
    RevisionAnswer,
    RevisionRequest,
    Root,
)
from chalkyoke.configuration.publisher import CHUNK_PREFIX, ROOT_KEY, Found, decode_root
from chalkyoke.configuration.state import ConfigurationState
from chalkyoke.discovery.host_list import HostListClient
from chalkyoke.links.connection import Connection
from chalkyoke.links.peers import Links
from chalkyoke.logs import logger
from chalkyoke.membership.messages import MemberRecord
from chalkyoke.membership.view import MembershipView
from chalkyoke.node.fleet import FleetView
from chalkyoke.settings import TimingSection
from chalkyoke.storage.keyvalue import StoreClient

WATCH_DUTY = "watch"
# The shortest time between two requests to peers for the same item, in seconds.
REQUEST_INTERVAL_S = 0.3
# How long a watcher waits after a failed call or while it has no watch duty, in seconds.
RETRY_DELAY_S = 0.25

log = logger("configuration")


class ConfigurationKeeper:
    """Keep the revision and the host list in force on this node up to date.

    :param changed: called after either has changed.
    :param now: seconds on the monotonic clock since this process started.
    """

    def __init__(
        self,
        view: MembershipView,
        store: StoreClient,
        hosts: HostListClient,
        links: Links,
        timing: TimingSection,
        metrics: Metrics,
        changed: Callable[[], None],
        now: Callable[[], float],
    ) -> None:
        self.state = ConfigurationState()
        self.hosts: tuple[ListedHost, ...] = ()
        self.hosts_version = 0
        self.fleet = FleetView(self.state.resources, ())
        self._view = view
        self._store = store
        self._host_list = hosts
        self._links = links
        self._timing = timing
        self._metrics = metrics
        self._changed = changed
        self._now = now
        self._root_version = 0
        self._unreadable_root: bytes | None = None
        self._requested_at: dict[str, float] = {}

    # Start.

    async def start(self) -> None:
        """Query the platform once; if it is unavailable, the peers will send both."""
        await asyncio.gather(self._poll_hosts(), self._read_root())

    # Loops of the watcher.

    async def watch_root(self) -> None:
        """Watch the root key while this process is its failure domain's watcher."""
        while True:
            if not self._view.holds_duty(WATCH_DUTY):
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            wait = self._timing.watch_wait_s
            found = await self._store.watch(ROOT_KEY, self._root_version, wait)
            if isinstance(found, Found):
                await self._apply_root(found)
            else:
                await asyncio.sleep(RETRY_DELAY_S)

    async def watch_hosts(self) -> None:
        """Poll the host list while this process is its failure domain's watcher."""
        while True:
            await asyncio.sleep(self._timing.hosts_interval_s)
            if self._view.holds_duty(WATCH_DUTY):
                await self._poll_hosts()

    # Peers.

    def receive_heartbeat(self, address: str, record: MemberRecord) -> None:
        """Request a newer revision or host list from the peer whose heartbeat announces it.

        :param address: link address of the peer.
        """
        if record.revision > self.state.revision and self._may_request("revision"):
            held = tuple(self.state.chunks)
            self._links.send(address, RevisionRequest(self.state.revision, held))
        if record.hosts_version > self.hosts_version and self._may_request("hosts"):
            self._links.send(address, HostsRequest(self.hosts_version))

    def receive(
        self,
        connection: Connection,
        message: RevisionRequest | RevisionAnswer | HostsRequest | HostsAnswer,
    ) -> None:
        """Answer a peer's request, or apply its answer if it is newer."""
        if isinstance(message, RevisionRequest):
            if self.state.revision > message.above_revision:
                chunks = {
                    h: c for h, c in self.state.chunks.items() if h not in message.held_chunks
                }
                answer = RevisionAnswer(self.state.root, chunks)
                self._links.send(connection.peer_address, answer)
        elif isinstance(message, RevisionAnswer):
            self.adopt(message.root, message.chunks, "a peer")
        elif isinstance(message, HostsRequest):
            if self.hosts_version > message.above_version:
                answer_hosts = HostsAnswer(self.hosts_version, self.hosts)
                self._links.send(connection.peer_address, answer_hosts)
        else:
            self._adopt_hosts(message)

    # Applying revisions and host lists.

    def adopt(self, root: Root, chunks: dict[str, bytes], source: str) -> None:
        """Apply a configuration if its revision is higher than the current one.

        :param source: the origin of the configuration, for the log.
        """
        adopted = self.state.apply_root(root, chunks)
        if isinstance(adopted, Err):
            self._metrics.count("revision_unreadable")
            log.warning("revision from {} was rejected: {}", source, adopted.err_value)
        elif adopted.ok_value:
            log.info("revision {} from {} is in force", root.revision, source)
            self._rebuild()

    async def _read_root(self) -> None:
        found = await self._store.get(ROOT_KEY)
        if isinstance(found, Found):
            await self._apply_root(found)

    async def _apply_root(self, found: Found) -> None:
        decoded = decode_root(found.value)
        if isinstance(decoded, Err):
            self._record_unreadable_root(found, decoded.err_value)
            await asyncio.sleep(RETRY_DELAY_S)
            return
        root = decoded.ok_value
        if root.revision > self.state.revision:
            chunks = await self._fetch_chunks(root)
            if chunks is None:
                await asyncio.sleep(RETRY_DELAY_S)
                return
            self.adopt(root, chunks, "the store")
        self._root_version = max(self._root_version, found.version)

    def _record_unreadable_root(self, found: Found, reason: str) -> None:
        """Let the watch wait for the next write of the root once it was read alike twice.

        The first time, a part of it may have been read.
        """
        if found.value == self._unreadable_root:
            self._root_version = max(self._root_version, found.version)
            return
        self._unreadable_root = found.value
        self._metrics.count("revision_unreadable")
        log.error("root in the store is unreadable: {}", reason)

    async def _fetch_chunks(self, root: Root) -> dict[str, bytes] | None:
        chunks: dict[str, bytes] = {}
        for digest in self.state.missing_chunks(root):
            found = await self._store.get(CHUNK_PREFIX + digest)
            if not isinstance(found, Found) or found.value is None:
                return None
            if chunk_hash(found.value) != digest:
                self._metrics.count("chunk_unreadable")
                log.warning("chunk {} in the store does not match its hash", digest)
                return None
            chunks[digest] = found.value
        return chunks

    async def _poll_hosts(self) -> None:
        answer = await self._host_list.fetch()
        if answer is not None:
            self._adopt_hosts(answer)

    def _adopt_hosts(self, answer: HostsAnswer) -> None:
        if answer.version <= self.hosts_version:
            return
        self.hosts_version, self.hosts = answer.version, answer.hosts
        self._rebuild()

    def _rebuild(self) -> None:
        self.fleet = FleetView(self.state.resources, self.hosts)
        self._view.set_candidates(self.fleet.candidates())
        self._view.update_self(
            revision=self.state.revision,
            hosts_version=self.hosts_version,
            ready=self.state.revision > 0,
        )
        self._changed()

    def _may_request(self, item: str) -> bool:
        now = self._now()
        if now - self._requested_at.get(item, -REQUEST_INTERVAL_S) < REQUEST_INTERVAL_S:
            return False
        self._requested_at[item] = now
        return True
