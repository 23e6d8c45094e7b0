"""
tests.gatewayfleet

Complete gateway nodes with a store and replicas, all in one event loop in virtual time, without a
network. The replicas are the fake ones of the platform; the store is that of ``catalogfleet``.
"""

import asyncio
import contextvars
import itertools
import json
import random
from dataclasses import dataclass, field
from pathlib import Path

import logbook
import msgspec
from chalkyoke.gateway.settings import GatewaySettings
from chalkyoke.node.gateway import GatewayNode
from chalkyoke.node.parts import PlatformParts
from chalkyoke.platform.documents import ROLLOUT_STATUSES_PREFIX
from chalkyoke.platform.start import platform_parts
from chalkyoke.storage.messages import Conflict, LeaseGranted, Unavailable, Written
from chalkyoke_fakes.platformfleet import HOST, KEY, default_configuration
from chalkyoke_fakes.replica import FIRST_VERSION, Replica

from tests import catalogfleet, virtual
from tests.memorynet import MemoryNet, PartitionMode, current_host

FLEET_KEY_HEX = "00" * 32
DEADLINE_MS = 8000
# Seconds until all nodes of a started fleet know each other.
SETTLED_S = 3.0
# Longest time that a check may run, in virtual seconds. Without this limit, a check that waits for
# an event that never happens would not end.
MAX_CHECK_S = 120.0


class _StoreClient(catalogfleet.StoreClient):
    """The store client of one host, with writes and leases."""

    def use_store(self, store):
        self._store = store

    async def write(self, key, value, *, lease=0, expected=None):
        if self._store.offline:
            return Unavailable("reset", may_have_been_applied=False)
        if key.startswith(ROLLOUT_STATUSES_PREFIX):
            self._store.status_writes.append(key)
        item = self._store.items.get(key)
        if expected is not None and expected != (item.revision if item else 0):
            return Conflict()
        self._store.put(key, value)
        return Written(self._store.revision, self._store.epoch)

    async def grant_lease(self, ttl_s):
        if self._store.offline:
            return Unavailable("reset", may_have_been_applied=False)
        return LeaseGranted(1, ttl_s, self._store.epoch)

    renew_lease = revoke_lease = grant_lease


class _ReplicaStore:
    """The interface of the store that the fake replicas use."""

    def __init__(self, store):
        self._store = store

    async def put(self, key, value):
        self._store.put(key, value)

    async def remove(self, key):
        if key in self._store.items:
            self._store.remove(key)


@dataclass
class CallerAnswer:
    """The answer that a caller received; status 0 means none.

    :ivar whole: whether the answer is complete.
    :ivar took_s: seconds from sending the request to the end of the answer.
    :ivar request: id of the request.
    :ivar node: index of the node that received the request.
    :ivar asked_at: time of sending, in seconds on the loop's clock.
    """

    status: int
    headers: dict
    body: bytes
    whole: bool
    took_s: float
    request: str = ""
    node: int = -1
    asked_at: float = 0.0


@dataclass
class GatewayFleet:
    """A simulated fleet; call ``start`` inside the event loop.

    :param domains: failure domain of each node.
    :param replicas: number of replicas of each of the two services.
    :param versions: software versions of the engines, one after the other.
    :param limits: the ``limits`` section of the settings of all nodes.
    :param scheduling: the ``scheduling`` section of the settings of all nodes.
    """

    domains: tuple = ("a", "a", "b", "b", "c", "c")
    replicas: int = 6
    versions: tuple = (FIRST_VERSION,)
    limits: dict = field(default_factory=lambda: {"retry_slack": 1000.0})
    scheduling: dict = field(default_factory=dict)
    models: list = field(default_factory=list)
    seats: list = field(default_factory=list)
    status_writes: list = field(default_factory=list)
    store_clients: dict = field(default_factory=dict)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.net = MemoryNet(loop)
        self.store = catalogfleet.Store()
        self.store.status_writes = self.status_writes
        self.store.put("op/config", json.dumps(default_configuration()).encode())
        self._request_numbers = itertools.count(1)
        for number in range(self.replicas):
            domain = self.domains[number * len(self.domains) // self.replicas]
            version = self.versions[number % len(self.versions)]
            self.models.append(await self.add_replica(f"m{number}", "model", domain, True, version))
            self.seats.append(await self.add_replica(f"s{number}", "seats", domain, False))
        self.nodes = [None] * len(self.domains)
        self._tasks = [None] * len(self.domains)
        for number in range(len(self.domains)):
            self.start_node(number)
        await asyncio.sleep(SETTLED_S)

    async def add_replica(self, name, service, domain, engine, version=FIRST_VERSION):
        loop = asyncio.get_running_loop()
        replica = Replica(
            name,
            service,
            domain,
            _ReplicaStore(self.store),
            engine,
            version=version,
            now=loop.time,
        )
        await replica.start(f"10.2.0.{len(self.net.listeners) + 1}", 8100)
        return replica

    def start_node(self, number, *, first_start=True):
        """Start a node, or restart one that was killed."""
        context = contextvars.copy_context()
        context.run(current_host.set, f"n{number}")
        node = context.run(
            GatewayNode, self._settings(number, first_start), Path(), self._platform(number)
        )
        self.nodes[number] = node
        self._tasks[number] = context.run(asyncio.ensure_future, node.run())

    async def stop_and_restart_node(self, number):
        """Stop a node on plan, as SIGTERM does, and start it again when the stop is complete."""
        self.nodes[number]._stopping.set()
        await self._tasks[number]
        self.start_node(number, first_start=False)

    def reload_node(self, number, path):
        """Write the settings of a node to a file, and let the node reload them as on SIGHUP."""
        sections = self.settings_document(number).items()
        lines = [f"[{name}]\n{_encode_section(section)}" for name, section in sections]
        path.write_text("".join(lines), encoding="utf-8")
        node = self.nodes[number]
        node._path, before = path, node.settings
        node._reload()
        assert node.settings is not before, "the node has rejected its settings"

    async def kill_node(self, number):
        """Stop a node without a shutdown, as a crash does."""
        self._tasks[number].cancel()
        for address in [each for each in self.net.listeners if each[0] == _ip(number)]:
            del self.net.listeners[address]
        node = self.nodes[number]
        node._supervisor.cancel()
        await node.links.close()

    async def crash_node(self, number):
        """Kill a node together with the connections of its callers."""
        await self.kill_node(number)
        self.net.reset_host(f"n{number}")

    def _settings(self, number, first_start):
        return msgspec.convert(self.settings_document(number, first_start), GatewaySettings)

    def settings_document(self, number, first_start=False):
        """Return the settings of a node, as they stand in its file."""
        ip = _ip(number)
        return {
            "node": {
                "host": f"n{number}",
                "failure_domain": self.domains[number],
                "first_start": first_start,
            },
            "listen": {"callers": f"{ip}:80", "ready": f"{ip}:81", "links": f"{ip}:82"},
            "store": {"address": "10.9.0.1:80"},
            "fleet": {"key_hex": FLEET_KEY_HEX},
            "peers": {"seeds": [f"{_ip(each)}:82" for each in range(min(3, len(self.domains)))]},
            "limits": self.limits,
            "scheduling": self.scheduling,
        }

    def _platform(self, number):
        parts = platform_parts()
        return PlatformParts(
            lambda _: self._make_store_client(number),
            parts.headers,
            parts.read_catalog,
            parts.read_record,
            parts.write_status,
            parts.keys,
        )

    def _make_store_client(self, number):
        client = _StoreClient(self.store, f"n{number}")
        self.store_clients.setdefault(number, []).append(client)
        return client

    def move_to_store(self, nodes, store):
        """Let another store answer the calls of some nodes; calls in progress get no answer."""
        store.status_writes = self.status_writes
        for client in (each for number in nodes for each in self.store_clients[number]):
            client.use_store(store)
        self.store.silence_connections()

    def cut_from_replicas(self, nodes, replicas, mode):
        """Partition nodes from replicas, while callers, the store and other nodes reach them.

        :param nodes: indices of the nodes.
        :rtype: Partition
        """
        return self.net.separate([f"n{each}" for each in nodes], _addresses(replicas), mode)

    def hold_links_to_replicas(self):
        """Hold up all bytes between all nodes and all replicas.

        :rtype: Hold
        """
        nodes = [f"n{each}" for each in range(len(self.domains))]
        return self.net.hold(nodes, _addresses([*self.models, *self.seats]))

    def cut_links(self, nodes, others):
        """Partition the links between two groups of nodes, given by their indices."""
        for group, rest in ((nodes, others), (others, nodes)):
            self.net.separate(
                [f"n{each}" for each in group],
                [(_ip(each), 82) for each in rest],
                PartitionMode.SILENT,
            )

    async def send_request(
        self,
        node,
        path,
        body=b"{}",
        *,
        method="POST",
        key=KEY,
        until_whole=False,
        headers=(),
        request="",
    ):
        """Send one request as a caller on a new connection, and wait for the answer.

        :param until_whole: close the connection as soon as the answer is complete; otherwise wait
            until the node closes it, which it does a second later.
        :param headers: further headers, as pairs of a name and a value.
        :param request: id of the request; by default one that no other request has.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        request = request or f"q{next(self._request_numbers)}"
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}\r\nX-Credential: {key}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n"
        )
        head += "".join(f"{name}: {value}\r\n" for name, value in headers) + "\r\n"
        try:
            reader, writer = await asyncio.open_connection(_ip(node), 80)
        except ConnectionRefusedError:
            return CallerAnswer(0, {}, b"", False, 0.0, request, node, began)
        writer.write(head.encode("latin-1") + body)
        answer = await _read_answer(reader, until_whole=until_whole)
        writer.close()
        got = _parse_answer(answer, loop.time() - began)
        got.request, got.node, got.asked_at = request, node, began
        return got


def _addresses(replicas):
    pairs = [each.listen_address.rsplit(":", 1) for each in replicas]
    return [(ip, int(port)) for ip, port in pairs]


def _encode_section(section):
    return "".join(f"{name} = {json.dumps(value)}\n" for name, value in section.items())


def _ip(node):
    return f"10.1.0.{node + 1}"


async def _read_answer(reader, *, until_whole):
    """Read an answer to its end, or what arrives of it before the connection is reset."""
    answer = b""
    try:
        while not (until_whole and _parse_answer(answer, 0.0).whole):
            more = await reader.read(65_536)
            if not more:
                break
            answer += more
    except ConnectionResetError:
        pass
    return answer


def _parse_answer(answer, took_s):
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    if len(lines) < 2:
        return CallerAnswer(0, {}, b"", False, took_s)
    pairs = (line.partition(":") for line in lines[1:])
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    if "content-length" in headers:
        whole = len(body) == int(headers["content-length"])
    else:
        whole = body.endswith(b"0\r\n\r\n")
    return CallerAnswer(int(lines[0].split(" ")[1]), headers, body, whole, took_s)


def run_check(check, *, seed=0, may_fault=False, **fleet):
    """Run a check on a started fleet, in virtual time and without log output.

    :param seed: seed of the random generator with which the nodes break ties.
    :param may_fault: whether nodes may have faults that don't end them.
    """

    async def main():
        fleet_under_test = GatewayFleet(**fleet)
        await fleet_under_test.start()
        async with asyncio.timeout(MAX_CHECK_S):
            await check(fleet_under_test)
        faults = [each.metrics.counter_value("faults") for each in fleet_under_test.nodes]
        assert may_fault or not any(faults), f"faults of the nodes: {faults}"

    # The seed makes each run the same.
    random.seed(seed)
    with logbook.NullHandler().applicationbound():
        virtual.run(main)
