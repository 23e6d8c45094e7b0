"""
chalkyoke_fakes.platformfleet

The users' platform on loopback addresses: a store and replicas in this event loop, and gateway
nodes as separate processes.
"""

import asyncio
import contextlib
import json
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

import aiohttp

from chalkyoke_fakes.children import REPLICA_ADDRESS_NUMBER, own_address, spawn
from chalkyoke_fakes.fleet import FLEET_KEY_HEX
from chalkyoke_fakes.metastore import MetaStore
from chalkyoke_fakes.replica import READ_LIMIT_BYTES, Replica

START_TIMEOUT_S = 20.0
POLL_S = 0.02
LOG_TAIL_LINES = 12
HOST = "desk.example"
KEY = "clerks-key"
TEAM = "clerks"


def default_configuration(version: int = 1) -> dict[str, Any]:
    """Make a configuration with routes to a model service and to a seat service.

    :rtype: dict
    """
    return {
        "version": version,
        "routes": [
            make_route("explain", "stream", "model", resumable=True, attempts=2),
            make_route("chat", "stream", "model"),
            make_route("book", "non_idempotent", "seats"),
            make_route("find", "idempotent", "seats", attempts=2),
        ],
        "services": [
            {
                "name": "model",
                "max-conns": 100,
                "engine": {"slots": 4, "kv-capacity": 100_000, "stride": 3},
            },
            {"name": "seats", "max-conns": 100},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 100_000,
            "header-timeout-ms": 2000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": TEAM, "api-keys": [KEY], "priority": 1}],
    }


def make_route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Make a route under a path prefix of its name.

    :rtype: dict
    """
    route = {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 8000,
        "goal-ms": 1000,
        "gap-goal-ms": 500,
        "priority": 1,
        "attempts": 1,
    }
    return {**route, **more, "service": service}


def _free_addresses(ip: str, count: int) -> list[str]:
    """Find distinct free ports: each port stays bound until all are found."""
    with contextlib.ExitStack() as held:
        probes = [held.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((ip, 0))
        return [f"{ip}:{probe.getsockname()[1]}" for probe in probes]


def open_session() -> aiohttp.ClientSession:
    """Open a session for any number of callers; none waits for another one's connection."""
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))


@dataclass
class CallerResponse:
    """The answer that a caller received.

    :ivar status: HTTP status; 0 where no answer came.
    :ivar whole: whether the answer was received up to its regular end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


@dataclass
class GatewayProcess:
    """One gateway node.

    :param advertised: address at which other nodes reach its links; empty for ``links`` itself.
    :param store: address at which the node reaches the store; empty for the store itself.
    :param source: folder of the packages that the node runs; None for this build.
    """

    name: str
    zone: str
    callers: str
    ready: str
    links: str
    metrics: str
    settings: Path
    advertised: str = ""
    store: str = ""
    source: Path | None = None
    popen: "subprocess.Popen[bytes] | None" = None

    @property
    def advertised_address(self) -> str:
        """The address at which other nodes reach the node's links."""
        return self.advertised or self.links

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)


class PlatformFleet:
    """Start a fleet on the stand-in of the platform, control its processes and end them.

    :param folder: folder for settings and logs.
    :param zones: the failure domain of each node.
    :ivar listen: further settings of the ``listen`` section of nodes of this build.
    :ivar memory: the ``memory`` section of the settings of all nodes.
    :ivar features: features of the pools' policy that nodes of this build switch on.
    :ivar plain_services: the setting ``scheduling.plain_services`` of all nodes.
    :ivar blocked_signals: signals that the next starts of nodes inherit as blocked.
    :ivar read_limit_bytes: bytes of a request that a replica receives before it reads them.
    """

    def __init__(self, folder: Path, zones: tuple[str, ...] = ("a", "b", "c")) -> None:
        self.folder = folder
        self.store = MetaStore()
        self.replicas: dict[str, Replica] = {}
        self.nodes: dict[str, GatewayProcess] = {}
        self.session: aiohttp.ClientSession
        self.limits: dict[str, float | str] = {"retry_slack": 100.0}
        self.listen: dict[str, float] = {}
        self.memory: dict[str, Any] = {}
        self.features: list[str] = []
        self.plain_services = "auto"
        self.read_limit_bytes = READ_LIMIT_BYTES
        self.blocked_signals: frozenset[signal.Signals] = frozenset()
        self._zones = zones
        self._numbers = iter(range(1, 1_000_000))

    async def __aenter__(self) -> Self:
        self.session = open_session()
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self.nodes.values():
            node.send_signal(signal.SIGCONT)
            node.send_signal(signal.SIGKILL)
        for node in self.nodes.values():
            if node.popen is not None:
                node.popen.wait()
        await self.session.close()
        for replica in self.replicas.values():
            await replica.crash()
        await self.store.stop()

    async def _start(self) -> None:
        await self.store.start("127.0.0.1")
        await self.configure(default_configuration())
        for number, zone in enumerate(self._zones):
            await self.add_replica(f"m{number}", "model", zone, engine=True)
            await self.add_replica(f"s{number}", "seats", zone)
        for number, zone in enumerate(self._zones):
            self._add_node(f"n{number + 1}", zone, own_address(number))
        await self._start_nodes()

    async def _start_nodes(self) -> None:
        for name in self.nodes:
            self.start_node(name)
        for name in self.nodes:
            await self.wait_until_ready(name)

    async def configure(self, configuration: dict[str, Any]) -> None:
        """Write the operators' configuration."""
        await self.store.put("op/config", json.dumps(configuration).encode())

    async def add_replica(
        self,
        name: str,
        service: str,
        zone: str,
        *,
        engine: bool = False,
        port: int = 0,
        version: str = "v1",
        **more: Any,
    ) -> Replica:
        """Start a replica.

        :param more: further fields of the replica.
        """
        more = {"read_limit_bytes": self.read_limit_bytes, **more}
        replica = Replica(name, service, zone, self.store, engine, version=version, **more)
        await replica.start(own_address(REPLICA_ADDRESS_NUMBER), port)
        self.replicas[name] = replica
        return replica

    async def order_rollout(self, service: str, version: str, over_s: float) -> None:
        """Order a roll-out: a service's traffic moves to replicas of a version.

        :param over_s: duration of the roll-out in seconds.
        """
        order = {"service": service, "to-version": version, "over-s": over_s}
        await self.store.put(f"op/rollout/{service}", json.dumps(order).encode())

    def rollout_state(self, service: str) -> str:
        """Return the state of a service's roll-out; empty where the system has not written one."""
        entry = self.store.entries.get(f"status/rollout/{service}")
        return json.loads(entry.value)["state"] if entry else ""

    def _add_node(self, name: str, zone: str, ip: str) -> None:
        path = self.folder / f"{name}.toml"
        callers, ready, links, metrics = _free_addresses(ip, 4)
        self.nodes[name] = GatewayProcess(name, zone, callers, ready, links, metrics, path)

    def start_node(self, name: str, *, first_start: bool = True) -> None:
        """Write a node's settings and start the node; it may have run before."""
        node = self.nodes[name]
        limits = "".join(f"{key} = {value}\n" for key, value in self.limits.items())
        memory = "".join(f"{key} = {json.dumps(value)}\n" for key, value in self.memory.items())
        listen = "".join(f"{key} = {value}\n" for key, value in self.listen.items())
        seeds = [each.advertised_address for each in self.nodes.values()][:3]
        node.settings.write_text(
            f'[node]\nhost = "{name}"\nfailure_domain = "{node.zone}"\n'
            f"first_start = {str(first_start).lower()}\n"
            f'[listen]\ncallers = "{node.callers}"\nready = "{node.ready}"\n'
            f'links = "{node.links}"\nmetrics = "{node.metrics}"\n'
            f'links_advertised = "{node.advertised_address}"\n'
            f"{listen}"
            f"[peers]\nseeds = {json.dumps(seeds)}\n"
            f'[store]\naddress = "{node.store or self.store.address}"\nsilence_ms = 3000\n'
            f'[fleet]\nkey_hex = "{FLEET_KEY_HEX}"\n'
            f"[limits]\n{limits}[memory]\n{memory}" + self._scheduling_section(node),
            encoding="utf-8",
        )
        command = [sys.executable, "-m", "chalkyoke.gatewayd", str(node.settings)]
        other = {} if node.source is None else {"PYTHONPATH": str(node.source)}
        node.popen = spawn(command, self.folder / f"{name}.log", other, self.blocked_signals)

    def _scheduling_section(self, node: "GatewayProcess") -> str:
        """Return the settings of the pools' policy; another build may not know the features."""
        features = [] if node.source is not None else self.features
        plain = f'plain_services = "{self.plain_services}"'
        return f"[scheduling]\n{plain}\non = {json.dumps(features)}\n"

    # Requests.

    async def is_ready(self, name: str) -> bool:
        """Check whether a node reports that it is ready for callers."""
        try:
            async with self.session.get(f"http://{self.nodes[name].ready}/readyz") as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def wait_until_ready(self, name: str) -> None:
        """Wait until a node is ready.

        :raises RuntimeError: when the node is not ready within :data:`START_TIMEOUT_S`, or has
            exited.
        """

        async def is_ready() -> bool:
            popen = self.nodes[name].popen
            if popen is not None and popen.poll() is not None:
                ended = f"{name} ended with {popen.returncode} before it was ready"
                raise RuntimeError(f"{ended}\n{self.log_tails()}")
            return await self.is_ready(name)

        await self.wait_until(is_ready, f"{name} to be ready")

    def log_tails(self) -> str:
        """Return the end of each node's log, since the folder may be removed with the fleet."""
        tails = []
        for path in sorted(self.folder.glob("*.log")):
            lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
            tails.append("\n".join([f"{path.name}:", *lines[-LOG_TAIL_LINES:]]))
        return "\n".join(tails)

    async def wait_until(self, check: Any, what: str, seconds: float = START_TIMEOUT_S) -> None:
        """Wait until a condition holds.

        :param check: function or coroutine function that returns whether the condition holds.
        :param what: description of the condition for the error message.
        :raises RuntimeError: when the condition does not hold within ``seconds``.
        """
        end = time.monotonic() + seconds
        while True:
            held = check()
            if asyncio.iscoroutine(held):
                held = await held
            if held:
                return
            if time.monotonic() > end:
                raise RuntimeError(f"timed out waiting for {what}\n{self.log_tails()}")
            await asyncio.sleep(POLL_S)

    async def send_request(
        self,
        node: str,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"{}",
        key: str | None = KEY,
        request_id: str = "",
        read_pause_s: float = 0.0,
        **headers: str,
    ) -> CallerResponse:
        """Send one request as a caller.

        :param read_pause_s: time between two reads of the answer, in seconds.
        :param headers: additional headers, with ``_`` for ``-``.
        """
        sent = {
            "Host": HOST,
            "X-Request-Id": request_id or f"q{next(self._numbers)}",
            "X-Deadline-Ms": "8000",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if key is not None:
            sent["X-Credential"] = key
        url = f"http://{self.nodes[node].callers}{path}"
        parts: list[bytes] = []
        try:
            async with self.session.request(method, url, data=body, headers=sent) as answer:
                found = {name.lower(): value for name, value in answer.headers.items()}
                try:
                    async for part in answer.content.iter_any():
                        parts.append(part)
                        await asyncio.sleep(read_pause_s)
                except aiohttp.ClientError:
                    return CallerResponse(answer.status, found, b"".join(parts), whole=False)
                return CallerResponse(answer.status, found, b"".join(parts), whole=True)
        except aiohttp.ClientError:
            return CallerResponse(0, {}, b"", whole=False)

    def count_runs(self) -> Counter[str]:
        """Count the runs of each request over all replicas."""
        total: Counter[str] = Counter()
        for replica in self.replicas.values():
            total.update(replica.runs)
        return total
