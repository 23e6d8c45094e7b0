"""
chalkyoke_fakes.fleet

A whole fleet on the loopback addresses of this machine, with stand-ins and nodes as separate
processes, for the demo, tests and benches.
"""

import asyncio
import hashlib
import json
import signal
import socket
import subprocess
import sys
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from chalkyoke_fakes.children import (
    RELAY_ADDRESS_NUMBER,
    REPLICA_ADDRESS_NUMBER,
    own_address,
    spawn,
)
from chalkyoke_fakes.latecopies import LateCopies
from chalkyoke_fakes.soak.relay import Relay

START_TIMEOUT_S = 15.0
POLL_S = 0.05
OPERATOR_TOKEN = "demo-operator"
FLEET_KEY_HEX = "00112233445566778899aabbccddeeff"


def free_address(ip: str) -> str:
    """Find a free port on a loopback address.

    :return: ``ip:port``.
    """
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return f"{ip}:{probe.getsockname()[1]}"


@dataclass
class Process:
    """One process of the fleet.

    :param address: where callers or clients reach the process.
    :param arguments: the whole command line of a stand-in.
    """

    name: str
    address: str
    popen: "subprocess.Popen[bytes]"
    links: str = ""
    administration: str = ""
    failure_domain: str = ""
    arguments: list[str] = field(default_factory=list)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)


class LocalFleet:
    """Start a fleet, inject faults into it and end its processes.

    :param folder: folder for settings and logs.
    :param platform: engines, plain services and entry hosts.
    :param resources: the fleet's configuration.
    :param copied_share: share of the answers of upstreams, store and host list that reach the nodes
        once more, late; from 0 to 1.
    :ivar host_entries: the initial entries of the host list.
    """

    def __init__(
        self,
        folder: Path,
        platform: dict[str, Any],
        resources: dict[str, Any],
        copied_share: float = 0.0,
    ) -> None:
        self.folder = folder
        self._copied_share = copied_share
        self.relays: list[Relay] = []
        self.platform = platform
        self.resources = resources
        self.nodes: dict[str, Process] = {}
        self.upstreams: dict[str, Process] = {}
        self.store: Process | None = None
        self.hosts: Process | None = None
        self.host_entries: list[dict[str, Any]] = []
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_example(cls, folder: Path, example: Path) -> "LocalFleet":
        """Create the fleet of an example folder with ``platform.toml`` and ``fleet.toml``."""
        platform = tomllib.loads((example / "platform.toml").read_text(encoding="utf-8"))
        resources = tomllib.loads((example / "fleet.toml").read_text(encoding="utf-8"))
        return cls(folder, platform, resources)

    async def __aenter__(self) -> "LocalFleet":
        self._session = aiohttp.ClientSession()
        try:
            await self.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        self.kill_processes()
        for relay in self.relays:
            await relay.stop()
        await self.session.close()

    @property
    def session(self) -> aiohttp.ClientSession:
        """The HTTP session for control routes."""
        assert self._session is not None
        return self._session

    # Starting.

    async def start(self) -> None:
        """Start all stand-ins and nodes, and apply the configuration."""
        self._start_upstreams()
        self.store = self._start_fake("store", "chalkyoke_fakes.store", "127.0.0.1")
        for entry in self.platform["entry"]:
            self._add_node(entry)
        for listed in self.host_entries:
            if listed["id"] in self.upstreams:
                listed["address"] = await self._address_for_nodes(listed["address"])
        hosts_file = self.folder / "hosts.json"
        hosts_file.write_text(json.dumps(self.host_entries), encoding="utf-8")
        arguments = ["--hosts", str(hosts_file), "--lag-s", str(self.platform.get("lag_s", 0.5))]
        self.hosts = self._start_fake("hosts", "chalkyoke_fakes.hosts", "127.0.0.1", *arguments)
        await self._wait_for_fakes()
        self._store_address = await self._address_for_nodes(self.store.address)
        self._hosts_address = await self._address_for_nodes(self.hosts.address)
        for entry in self.platform["entry"]:
            self.start_node(entry["host"])
        await self._wait_until(self._all_alive, "nodes to start")
        await self.apply_configuration(self.resources)
        await self._wait_until(self._all_ready, "nodes to be ready")

    async def _address_for_nodes(self, address: str) -> str:
        """Return the address at which nodes reach a stand-in, that of a relay for late copies."""
        if not self._copied_share:
            return address
        relay = Relay(address)
        relay.late_copies = LateCopies(len(self.relays), self._copied_share)
        self.relays.append(relay)
        await relay.start(own_address(RELAY_ADDRESS_NUMBER))
        return relay.address

    def _start_upstreams(self) -> None:
        for engine in self.platform.get("engine", []):
            options = (
                "slots",
                "prefill_tokens_per_s",
                "decode_tokens_per_s",
                "batch_slowdown",
                "cache_blocks",
            )
            arguments = [
                part
                for name in options
                if name in engine
                for part in ("--" + name.replace("_", "-"), str(engine[name]))
            ]
            self._start_upstream(engine, "chalkyoke_fakes.engine", arguments)
        for plain in self.platform.get("plain", []):
            arguments = ["--latency-s", str(plain.get("latency_s", 0.03))]
            arguments += ["--checks"] if plain.get("checks") else []
            self._start_upstream(plain, "chalkyoke_fakes.plain", arguments)

    def _start_upstream(self, spec: dict[str, Any], module: str, arguments: list[str]) -> None:
        process = self._start_fake(
            spec["id"], module, own_address(REPLICA_ADDRESS_NUMBER), *arguments
        )
        process.failure_domain = spec["failure_domain"]
        self.upstreams[spec["id"]] = process
        self.host_entries.append(
            {
                "id": spec["id"],
                "address": process.address,
                "failure_domain": spec["failure_domain"],
                "state": "live",
                "labels": spec["labels"],
            }
        )

    def _start_fake(self, name: str, module: str, ip: str, *arguments: str) -> Process:
        address = free_address(ip)
        command = [sys.executable, "-m", module, "--address", address, *arguments]
        return Process(name, address, self._spawn(name, command), arguments=command)

    def _spawn(self, name: str, command: list[str]) -> "subprocess.Popen[bytes]":
        return spawn(command, self.folder / f"{name}.log")

    def _add_node(self, entry: dict[str, Any]) -> None:
        ip = own_address(len(self.nodes))
        process = Process(
            entry["host"],
            free_address(ip),
            None,  # type: ignore[arg-type]
            free_address(ip),
            free_address(ip),
            entry["failure_domain"],
        )
        self.nodes[entry["host"]] = process
        self.host_entries.append(
            {
                "id": entry["host"],
                "address": process.links,
                "failure_domain": entry["failure_domain"],
                "state": "live",
                "labels": {"kind": "entry"},
            }
        )

    def start_node(self, host: str) -> None:
        """Write a node's settings and start the node; it may have run before."""
        node = self.nodes[host]
        settings = self.folder / f"{host}.toml"
        extra = self.platform.get("settings", "")
        settings.write_text(
            f'[node]\nhost = "{host}"\nfailure_domain = "{node.failure_domain}"\n'
            f'[listen]\ncallers = "{node.address}"\nlinks = "{node.links}"\n'
            f'administration = "{node.administration}"\n'
            f'[platform]\nstore_url = "http://{self._store_address}"\n'
            f'hosts_url = "http://{self._hosts_address}/v1/hosts"\n'
            f'[fleet]\nkey_hex = "{FLEET_KEY_HEX}"\n'
            f'[administration]\noperate_sha256 = ["{_sha256(OPERATOR_TOKEN)}"]\n{extra}',
            encoding="utf-8",
        )
        command = [sys.executable, "-m", "chalkyoke.cli", "serve", "--settings", str(settings)]
        node.popen = self._spawn(host, command)

    # Requests.

    async def get_json(self, address: str, path: str) -> Any:
        """Read the JSON answer of a control or administration route."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        async with self.session.get(f"http://{address}{path}", headers=headers) as response:
            return await response.json()

    async def set_faults(self, process: Process | None, **faults: object) -> None:
        """Set faults of a stand-in by name."""
        assert process is not None
        async with self.session.put(f"http://{process.address}/control", json=faults) as response:
            response.raise_for_status()

    async def change_host(self, **host: object) -> None:
        """Add, update or remove an entry of the host list, after the list's lag."""
        assert self.hosts is not None
        async with self.session.post(
            f"http://{self.hosts.address}/v1/hosts", json=host
        ) as response:
            response.raise_for_status()

    async def apply_configuration(
        self,
        resources: dict[str, Any],
        host: str = "",
        change_id: str = "first",
        base: int | None = None,
    ) -> tuple[int, Any]:
        """Apply a configuration through one node.

        :param host: the node; empty for the first one.
        :param base: the revision that the change is based on, or None.
        :return: status and body of the answer.
        """
        node = self.nodes[host or next(iter(self.nodes))]
        async with self.session.post(
            f"http://{node.administration}/v1/apply",
            json={"change_id": change_id, "base": base, "resources": resources},
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        ) as response:
            return response.status, json.loads(await response.read())

    async def counts(self) -> dict[str, Any]:
        """Return the counts of all upstreams that answer, by upstream."""
        found: dict[str, Any] = {}
        for name, process in self.upstreams.items():
            try:
                found[name] = await self.get_json(process.address, "/control")
            except aiohttp.ClientError:
                continue
        return found

    # Ending.

    def kill_processes(self) -> None:
        """End all processes that this fleet started."""
        every = [*self.nodes.values(), *self.upstreams.values(), self.store, self.hosts]
        started = [each for each in every if each is not None and each.popen is not None]
        for process in started:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
        for process in started:
            process.popen.wait()

    # Waiting.

    async def _wait_for_fakes(self) -> None:
        async def answered() -> bool:
            assert self.store is not None
            assert self.hosts is not None
            for process in [self.store, self.hosts, *self.upstreams.values()]:
                await self.get_json(process.address, "/control")
            return True

        await self._wait_until(answered, "stand-ins to start")

    async def _all_alive(self) -> bool:
        for node in self.nodes.values():
            await self.get_json(node.administration, "/v1/health")
        return True

    async def _all_ready(self) -> bool:
        for node in self.nodes.values():
            status = await self.get_json(node.administration, "/v1/status")
            if status["revision"] < 1 or len(status["nodes"]) < len(self.nodes):
                return False
        return True

    async def _wait_until(self, check: Any, what: str) -> None:
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while True:
                    try:
                        if await check():
                            return
                    except (aiohttp.ClientError, OSError):
                        pass
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            raise RuntimeError(
                f"timed out waiting for {what}; see the logs in {self.folder}"
            ) from None


def _sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
