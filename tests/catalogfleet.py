"""
tests.catalogfleet

The real membership and catalog of several nodes over a simulated store and simulated links, in
virtual time. Links have a bandwidth, connections may go silent permanently, and the store may
refuse hosts. The age of the oldest acknowledged change that a node lacks is sampled throughout.
"""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field

from chalkyoke.catalog.follower import WatchTimeouts
from chalkyoke.catalog.keeper import WATCH_DUTY, CatalogSynchronizer, StoreKeys
from chalkyoke.catalog.state import CatalogState
from chalkyoke.clock import Stamp
from chalkyoke.links.codec import FrameCodec
from chalkyoke.links.connection import MAX_UNSENT_BYTES
from chalkyoke.membership.messages import MEMBERSHIP_MESSAGES, Heartbeat, MemberRecord
from chalkyoke.membership.state import Candidate
from chalkyoke.membership.view import DEFAULT_INTERVAL_S, MembershipView
from chalkyoke.platform import documents
from chalkyoke.platform import store as platform_store
from chalkyoke.storage.messages import (
    Changes,
    HistoryLost,
    Item,
    Listing,
    Removed,
    Unavailable,
)

from tests import virtual

KEYS = StoreKeys(documents.CONFIGURATION_KEY, (documents.REPLICAS_PREFIX,), "nodes/", "held/")
# The smallest link bandwidth of a host in production (5 Mbit/s), and the delay in seconds
# between two failure domains.
LINK_BYTES_PER_S = 5e6 / 8
LINK_DELAY_S = 0.0005
STORE_ANSWER_S = 0.004
TICK_S = 0.05
SAMPLE_S = 0.05


def configuration(version, routes=40, marked=()):
    """Encode a configuration; routes in ``marked`` (by number) go to the service ``other``."""
    each = [
        {
            "name": f"route-{number:05d}-{number * 2654435761 % 2**32:08x}",
            "host": f"h{number * 40503 % 65536:04x}.example",
            "path-prefix": f"/p{number * 2246822519 % 2**32:08x}/",
            "kind": "stream",
            "timeout-ms": 6000,
            "goal-ms": 1000,
            "gap-goal-ms": 400,
            "priority": number % 3,
            "service": "other" if number in marked else "pool",
            "attempts": 1,
        }
        for number in range(routes)
    ]
    return json.dumps({"version": version, "routes": each, "services": []}).encode()


def replica(number, state="ready"):
    """Encode the record that a replica writes to the store."""
    return json.dumps(
        {
            "service": "pool",
            "addr": f"10.9.{number // 200}.{number % 200 + 1}:8100",
            "zone": "a",
            "version": 1,
            "slots": 4,
            "state": state,
            "cold-left-ms": 0,
            "seq": 1,
        }
    ).encode()


@dataclass(frozen=True)
class StoreSnapshot:
    """The content of a store at one moment."""

    items: dict
    history: list
    revision: int


class Store:
    """A store with revisions that can refuse calls or leave them unanswered, by host.

    :ivar epoch: rises by one with each restore from a snapshot.
    :ivar answer_delay_s: time that the store takes for an answer, in seconds.
    :ivar refused_hosts: hosts whose calls fail at once.
    :ivar silent_hosts: hosts whose calls get no answer.
    :ivar acknowledged: all changes, each with its time on the loop's clock.
    """

    def __init__(self):
        self.epoch = 1
        self.offline = False
        self._offline_event = asyncio.Event()
        self.revision = 0
        self.items = {}
        self.history = []
        self._forgotten_revision = 0
        self.acknowledged = []
        self.answer_delay_s = STORE_ANSWER_S
        self.refused_hosts = set()
        self.silent_hosts = set()
        self.call_count = 0
        self._change_event = asyncio.Event()
        self._silence_event = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        self.items[key] = item = Item(key, value, self.revision)
        self._record_change(item)

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self._record_change(Removed(key, self.revision))

    def _record_change(self, change):
        self.history.append(change)
        self.acknowledged.append((asyncio.get_running_loop().time(), change))
        self._change_event.set()
        self._change_event = asyncio.Event()

    def snapshot(self):
        return StoreSnapshot(dict(self.items), list(self.history), self.revision)

    def forget_history(self):
        """Forget all changes so far; watches of older revisions fail."""
        self._forgotten_revision = self.revision

    def go_offline(self):
        """Fail all calls in progress, and refuse new ones until ``restore``."""
        self.offline = True
        self._offline_event.set()
        self._offline_event = asyncio.Event()

    def restore(self, snapshot):
        """Return from a snapshot: later writes are lost, and their revisions are assigned again."""
        self.items, self.history = dict(snapshot.items), list(snapshot.history)
        self.revision = snapshot.revision
        self.epoch += 1
        self.offline = False

    def silence_connections(self):
        """Leave all calls in progress unanswered forever; new calls are answered."""
        self._silence_event.set()
        self._silence_event = asyncio.Event()

    async def call(self, host, work):
        """Run one call of a host, unless the store refuses it or its connection goes silent."""
        self.call_count += 1
        if self.offline:
            await asyncio.sleep(self.answer_delay_s)
            return Unavailable("reset", may_have_been_applied=False)
        if host in self.refused_hosts:
            await asyncio.sleep(self.answer_delay_s)
            return Unavailable("503", may_have_been_applied=False)
        if host in self.silent_hosts:
            await asyncio.Event().wait()
        silenced = asyncio.ensure_future(self._silence_event.wait())
        offline = asyncio.ensure_future(self._offline_event.wait())
        answering = asyncio.ensure_future(work())
        tasks = (silenced, offline, answering)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if answering.done():
                return answering.result()
            if not offline.done():
                await asyncio.Event().wait()
            return Unavailable("reset", may_have_been_applied=True)
        finally:
            for each in tasks:
                each.cancel()

    async def read(self, prefix):
        await asyncio.sleep(self.answer_delay_s)
        found = [item for key, item in self.items.items() if key.startswith(prefix)]
        return Listing(tuple(found), self.revision, self.epoch)

    async def watch(self, prefix, since, wait_s):
        await asyncio.sleep(self.answer_delay_s)
        if since > self.revision or since < self._forgotten_revision:
            return HistoryLost()
        if since == self.revision:
            try:
                await asyncio.wait_for(self._change_event.wait(), wait_s)
            except TimeoutError:
                return Changes((), since, self.epoch)
        found = {
            change.key: change
            for change in self.history
            if change.revision > since and change.key.startswith(prefix)
        }
        return Changes(tuple(found.values()), self.revision, self.epoch)


class StoreClient:
    """The store client of one host, with the timeouts of the platform adapter."""

    def __init__(self, store, host):
        self._store = store
        self._host = host

    async def read(self, prefix):
        return await self._call_with_timeout(
            platform_store.CALL_TIMEOUT_S, lambda: self._store.read(prefix)
        )

    async def watch(self, prefix, since, wait_s, answer_s):
        timeout_s = wait_s + answer_s
        return await self._call_with_timeout(
            timeout_s, lambda: self._store.watch(prefix, since, wait_s)
        )

    async def _call_with_timeout(self, timeout_s, work):
        try:
            return await asyncio.wait_for(self._store.call(self._host, work), timeout_s)
        except TimeoutError:
            return Unavailable("timed out", may_have_been_applied=True)


class Network:
    """Links between nodes; each host sends and receives serially at a fixed bandwidth.

    :ivar max_queued_s: longest time that a message waited to be sent, in seconds.
    :ivar dropped: number of messages dropped because too many bytes were queued.
    """

    def __init__(self, bytes_per_s=LINK_BYTES_PER_S):
        self.nodes = {}
        self.bytes_per_s = bytes_per_s
        self.sent_bytes = 0
        self.bytes_by_kind = Counter()
        self.dropped = 0
        self.max_queued_s = 0.0
        self._codec = FrameCodec(())
        self._uplink_free_at = {}
        self._downlink_free_at = {}

    def send(self, source, target, message):
        loop = asyncio.get_running_loop()
        now = loop.time()
        size = len(self._codec.encode(Stamp(1, 1), message)) + 60
        waiting_s = max(0.0, self._uplink_free_at.get(source, 0.0) - now)
        self.max_queued_s = max(self.max_queued_s, waiting_s)
        if waiting_s * self.bytes_per_s > MAX_UNSENT_BYTES:
            self.dropped += 1
            return
        self.sent_bytes += size
        self.bytes_by_kind[type(message).__name__] += size
        sent_at = now + waiting_s + size / self.bytes_per_s
        self._uplink_free_at[source] = sent_at
        received_at = (
            max(sent_at, self._downlink_free_at.get(target, 0.0)) + size / self.bytes_per_s
        )
        self._downlink_free_at[target] = received_at
        loop.call_at(received_at + LINK_DELAY_S, self._deliver, source, target, message)

    def _deliver(self, source, target, message):
        node = self.nodes.get(target)
        if node is not None:
            node.receive(source, message)


class _Links:
    def __init__(self, network, address):
        self._network = network
        self._address = address

    def send(self, address, message):
        self._network.send(self._address, address, message)


class Node:
    """The membership and the catalog of one node."""

    def __init__(self, fleet, host, domain):
        loop = asyncio.get_running_loop()
        self._now = loop.time
        self.host, self.address = host, f"{host}:1"
        self.links = _Links(fleet.network, self.address)
        record = MemberRecord(host, 1, self.address, "", domain, False, True, 0, 0)
        self.view = MembershipView(record, DEFAULT_INTERVAL_S)
        self.state = CatalogState(documents.read_catalog, documents.read_record)
        self.synchronizer = CatalogSynchronizer(
            self.state,
            StoreClient(fleet.store, host),
            KEYS,
            self.view,
            self.links,
            2,
            WatchTimeouts.split(fleet.silence_s),
            lambda: None,
            lambda registered: None,
            loop.time,
        )

    def receive(self, address, message):
        if not isinstance(message, MEMBERSHIP_MESSAGES):
            self.synchronizer.receive(address, message)
            return
        _, sends = self.view.receive(address, message, self._now())
        for send in sends:
            self.links.send(send.address, send.message)
        if isinstance(message, Heartbeat):
            self.synchronizer.receive_heartbeat(address, message.record)

    async def send_heartbeats(self):
        while True:
            for send in self.view.due_messages(self._now()):
                self.links.send(send.address, send.message)
            await asyncio.sleep(DEFAULT_INTERVAL_S)

    async def tick_view(self):
        while True:
            self.view.tick(self._now())
            await asyncio.sleep(TICK_S)

    def has_applied(self, change):
        """Return whether this node has applied a change or a newer one of the same kind."""
        if change.key == KEYS.document:
            return self.state.catalog.version >= read_version(change)
        return self.state.replicas_revision >= change.revision


def read_version(change):
    """Read the version at the start of an encoded configuration."""
    return int(change.value[:40].split(b",")[0].split(b":")[1])


@dataclass
class Lag:
    """The longest time that an acknowledged change was unknown to a node."""

    worst_s: float = 0.0
    host: str = ""
    key: str = ""
    at_s: float = 0.0


@dataclass
class Fleet:
    """A simulated fleet; call ``start`` inside the event loop.

    :param sizes: number of nodes by failure domain.
    """

    sizes: dict
    replicas: int = 140
    routes: int = 40
    silence_s: float = 3.0
    bytes_per_s: float = LINK_BYTES_PER_S
    lag: Lag = field(default_factory=Lag)

    def start(self):
        self.store = Store()
        self.network = Network(self.bytes_per_s)
        self.version = 1
        self.store.put(KEYS.document, configuration(1, self.routes))
        for number in range(self.replicas):
            self.store.put(f"{KEYS.records[0]}i-{number:04d}", replica(number))
        self.nodes = [
            Node(self, f"{domain}-{number}", domain)
            for domain, size in self.sizes.items()
            for number in range(size)
        ]
        self.network.nodes = {node.address: node for node in self.nodes}
        listed = [Candidate(node.host, node.address, node.view.domain) for node in self.nodes]
        self._loops = []
        for node in self.nodes:
            node.view.set_candidates(listed)
            for loop in (node.synchronizer.run(), node.send_heartbeats(), node.tick_view()):
                self._loops.append(asyncio.ensure_future(loop))
        self._loops.append(asyncio.ensure_future(self._sample_lag()))

    async def _sample_lag(self):
        """Record the age of the oldest acknowledged change that a node has not applied."""
        done = {node.host: 0 for node in self.nodes}
        while True:
            now = asyncio.get_running_loop().time()
            for node in self.nodes:
                known = done[node.host]
                while known < len(self.store.acknowledged):
                    at, change = self.store.acknowledged[known]
                    if not node.has_applied(change):
                        if now - at > self.lag.worst_s and now > 5.0:
                            self.lag = Lag(now - at, node.host, change.key, at)
                        break
                    known += 1
                done[node.host] = known
            await asyncio.sleep(SAMPLE_S)

    def configure(self, marked=()):
        self.version += 1
        self.store.put(KEYS.document, configuration(self.version, self.routes, marked))

    def drain_replica(self, number):
        self.store.put(f"{KEYS.records[0]}i-{number:04d}", replica(number, "draining"))

    def watchers(self):
        """List the hosts that hold the duty to watch the store for their failure domain."""
        return {node.host for node in self.nodes if node.view.holds_duty(WATCH_DUTY, 2)}


def run_in_virtual_time(coroutine_function):
    """Run a coroutine function in virtual time."""
    return virtual.run(coroutine_function)
