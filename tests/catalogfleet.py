"""
tests.catalogfleet

The real membership and catalog of several nodes over a simulated store and simulated links, in
virtual time. Links have a bandwidth, connections may go silent for good, the store may turn hosts
away. What each node lacks of what the store has acknowledged is sampled as it plays.
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
# The smallest link of a host that the users run, and the delay between two failure domains.
LINK_BYTES_PER_S = 5e6 / 8
LINK_DELAY_S = 0.0005
STORE_ANSWER_S = 0.004
TICK_S = 0.05
SAMPLE_S = 0.05


def configuration(version, routes=40, marked=()):
    """Write a configuration; routes that are marked go to another service."""
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
    """Write a replica's record as a replica does."""
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
    """What a store held at a moment."""

    items: dict
    history: list
    revision: int


class Store:
    """A store with revisions, whose calls may go silent or be turned away by host.

    :ivar epoch: rises by one each time the store comes back from a copy.
    """

    def __init__(self):
        self.epoch = 1
        self.offline = False
        self._offline_event = asyncio.Event()
        self.revision = 0
        self.items = {}
        self.history = []
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

    def go_offline(self):
        """Break all calls in progress off, and turn all away until the store is back."""
        self.offline = True
        self._offline_event.set()
        self._offline_event = asyncio.Event()

    def restore(self, snapshot):
        """Come back from a copy: what was written since is gone, its revisions are free again."""
        self.items, self.history = dict(snapshot.items), list(snapshot.history)
        self.revision = snapshot.revision
        self.epoch += 1
        self.offline = False

    def silence_connections(self):
        """Let all calls in progress go without an answer for good; new ones are answered."""
        self._silence_event.set()
        self._silence_event = asyncio.Event()

    async def call(self, host, work):
        """Answer one call of a host, unless its connection goes silent."""
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
        if since > self.revision:
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
    """One host's way to the store, with the time-outs of the platform's adapter."""

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
    """Links between nodes: each host sends and takes in one byte after the other."""

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
    """One node's membership and catalog."""

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
        """Tell whether this node goes by a change or by a newer one."""
        if change.key == KEYS.document:
            return self.state.catalog.version >= read_version(change)
        return self.state.replicas_revision >= change.revision


def read_version(change):
    """Read the version at the head of a configuration."""
    return int(change.value[:40].split(b",")[0].split(b":")[1])


@dataclass
class Lag:
    """How long what the store had acknowledged was not known."""

    worst_s: float = 0.0
    host: str = ""
    key: str = ""
    at_s: float = 0.0


@dataclass
class Fleet:
    """A fleet to play with; set it up inside the loop.

    :param sizes: nodes by failure domain.
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
        """Note for each node how old the oldest change is that it does not know."""
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
        """List the hosts that follow the store for their failure domain at the start."""
        return {node.host for node in self.nodes if node.view.holds_duty(WATCH_DUTY, 2)}


def play(coroutine_function):
    """Play a coroutine function in virtual time."""
    return virtual.run(coroutine_function)
