"""
review.platform2

Small stand-ins of the users' platform on loopback addresses, for the scripts of the second review:
the store, plain replicas, relays between hosts, and the gateway's processes. They use the standard
library only.
"""

import asyncio
import base64
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
FLEET_KEY_HEX = "6368616c6b796f6b652d666c6565742d6b6579"
# Time after which the store drops the entry of a replica that it does not hear, in seconds: three
# heartbeats of 1.2 s.
ENTRY_SILENCE_S = 3.6
POLL_S = 0.02
HOST_NAME = re.compile(rb"front-([a-z])\d+/")


class Network:
    """Which zone is cut off at present; traffic within a zone always passes."""

    def __init__(self) -> None:
        self.cut_zone = ""

    def separates(self, one: str, other: str) -> bool:
        """Return whether a cut lies between two zones; the store stands in a zone of its own."""
        return one != other and self.cut_zone in (one, other) and self.cut_zone != ""

    async def wait_for_path(self, one: str, other: str) -> None:
        """Wait until no cut lies between two zones."""
        while self.separates(one, other):  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Read one HTTP message; return its first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return first, headers, body


def encode_answer(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    """Encode an HTTP answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Store:
    """The platform's store, with an address for each zone."""

    def __init__(self, network: Network) -> None:
        self._network = network
        self._rev = 10
        self._leases = 0
        self._ends: dict[int, float] = {}
        self._ttls: dict[int, float] = {}
        self._events: list[dict[str, object]] = []
        self._changed = asyncio.Condition()
        self.items: dict[str, dict[str, object]] = {}
        self.addresses: dict[str, str] = {}
        self._servers: list[asyncio.Server] = []
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self, zones: list[str], ip: str) -> None:
        """Listen on one address for each zone."""
        for zone in zones:
            server = await asyncio.start_server(self._handler(zone), ip, 0)
            self._servers.append(server)
            self.addresses[zone] = f"{ip}:{server.sockets[0].getsockname()[1]}"
        self._sweeper = asyncio.create_task(self._sweep())

    def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()
        if self._sweeper is not None:
            self._sweeper.cancel()

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return the revision."""
        self._rev += 1
        made = self.items.get(key, {}).get("made", self._rev)
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "rev": self._rev, "made": made, "lease": lease}
        self.items[key] = item
        self._events.append(item)
        async with self._changed:
            self._changed.notify_all()
        return self._rev

    async def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self._rev += 1
            self._events.append({"key": key, "rev": self._rev, "gone": True})
            async with self._changed:
                self._changed.notify_all()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [each for each, end in self._ends.items() if end < now]:
                await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self._ends.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            await self.remove(key)

    def _handler(self, zone: str) -> Callable[..., object]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError):
                while (message := await read_message(reader)) is not None:
                    await self._network.wait_for_path(zone, "store")
                    if writer.is_closing() or reader.at_eof():
                        break
                    await asyncio.sleep(0.004)
                    status, found = await self._answer(*message)
                    await self._network.wait_for_path(zone, "store")
                    body = json.dumps(found).encode()
                    writer.write(encode_answer(status, body, {"Content-Type": "application/json"}))
                    await writer.drain()
                    if message[1].get("connection", "") == "close":
                        break
            writer.close()

        return serve

    async def _answer(
        self, first: str, _headers: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, object]]:
        method, target, _ = first.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = parts.path
        if path == "/kv-range":
            return 200, self._range(query)
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "at": self._rev})
        if path == "/kv-watch":
            return 200, await self._watch(query)
        if path == "/kv-txn":
            return await self._transact(json.loads(body))
        if path == "/kv-lease":
            self._leases += 1
            ttl_ms = json.loads(body)["ttl_ms"]
            self._ttls[self._leases] = ttl_ms / 1000
            self._ends[self._leases] = time.monotonic() + ttl_ms / 1000
            return 200, {"lease": self._leases, "ttl_ms": ttl_ms}
        lease = int(unquote(path.rpartition("/")[2]))
        if lease not in self._ends:
            return 404, {}
        if method == "DELETE":
            await self._end_lease(lease)
            return 200, {}
        self._ends[lease] = time.monotonic() + self._ttls[lease]
        return 200, {"lease": lease, "ttl_ms": int(self._ttls[lease] * 1000)}

    def _range(self, query: dict[str, str]) -> dict[str, object]:
        prefix, after = query.get("path-prefix", ""), query.get("since-rev", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = keys[:500]
        items = [self.items[key] for key in page]
        return {"items": items, "at": self._rev, "more": len(keys) > len(page)}

    async def _watch(self, query: dict[str, str]) -> dict[str, object]:
        prefix, since = query.get("path-prefix", ""), int(query["since-rev"])
        end = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            found = [
                each
                for each in self._events
                if int(str(each["rev"])) > since and str(each["key"]).startswith(prefix)
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return {"events": found, "at": self._rev}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left), self._changed:
                    await self._changed.wait()

    async def _transact(self, body: dict[str, list[dict[str, object]]]) -> tuple[int, dict]:
        for row in body["expect-rev"]:
            held = self.items.get(str(row["key"]), {}).get("rev", 0)
            if held != row["rev"]:
                keys = [str(each["key"]) for each in body["expect-rev"]]
                return 412, {"items": [self.items[key] for key in keys if key in self.items]}
        for row in body["put"]:
            lease = int(str(row.get("lease", 0)))
            if lease and lease not in self._ends:
                return 404, {}
        for row in body["put"]:
            value = base64.b64decode(str(row["value"]))
            await self.put(str(row["key"]), value, int(str(row.get("lease", 0))))
        for key in body.get("delete", []):
            await self.remove(str(key))
        return 200, {"rev": self._rev}


class Replica:
    """A replica of a plain service: it answers each request after a fixed time.

    :ivar runs: the id of each request that ran, and when it arrived.
    """

    def __init__(self, name: str, service: str, zone: str, network: Network) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.runs: list[tuple[str, float]] = []
        self.work_s = 0.02
        self._network = network
        self._address = ""
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self._address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def declare(self, store: Store) -> None:
        """Write the replica's entry into the store."""
        entry = {
            "service": self.service,
            "addr": self._address,
            "zone": self.zone,
            "version": 1,
            "slots": 16,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
        }
        await store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while (message := await read_message(reader)) is not None:
                _, headers, _ = message
                request = headers.get("x-request-id", "")
                sender_zone = request.partition("-")[0]
                if self._network.separates(self.zone, sender_zone):
                    # The request would not have arrived, and its sender hears nothing.
                    await self._network.wait_for_path(self.zone, sender_zone)
                    break
                arrived = time.monotonic()
                same = {"X-Request-Id": request}
                if headers.get("x-expect-instance", self.name) != self.name:
                    writer.write(encode_answer(421, b"", {**same, "X-Not-Run": "1"}))
                    continue
                self.runs.append((request, arrived))
                await asyncio.sleep(self.work_s)
                stamp = {"X-Server-Stamp": f"{self.name}.{request}", "X-Server-Load": "1,0,16"}
                writer.write(encode_answer(200, b"done", {**same, **stamp}))
                await writer.drain()
        writer.close()


class LinkRelay:
    """Stands before the links of one host, and holds back what comes from a zone beyond a cut."""

    def __init__(self, zone: str, target: str, network: Network) -> None:
        self.address = ""
        self._zone = zone
        self._target = target
        self._network = network
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._relay, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ip, port = self._target.rsplit(":", 1)
        try:
            there, back = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        peer = {"zone": self._zone}

        async def copy(source: asyncio.StreamReader, sink: asyncio.StreamWriter, up: bool) -> None:
            is_first = up
            while data := await source.read(65536):
                if is_first:
                    # The first message of the caller names its process.
                    found = HOST_NAME.search(data)
                    if found is not None:
                        peer["zone"], is_first = found[1].decode(), False
                await self._network.wait_for_path(self._zone, peer["zone"])
                sink.write(data)
                await sink.drain()
            await self._network.wait_for_path(self._zone, peer["zone"])

        tasks = [
            asyncio.create_task(copy(reader, back, True)),
            asyncio.create_task(copy(there, writer, False)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for each in (writer, back):
            with contextlib.suppress(OSError):
                each.close()


def free_ports(ip: str, count: int) -> list[int]:
    """Find distinct free ports; each stays bound until all are found."""
    with contextlib.ExitStack() as held:
        probes = [held.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((ip, 0))
        return [probe.getsockname()[1] for probe in probes]


class Host:
    """One front machine with the gateway's process.

    :ivar front: the address for callers.
    :ivar links_target: the address at which the process listens for other hosts.
    """

    def __init__(self, name: str, zone: str, ip: str, folder: Path) -> None:
        self.name = name
        self.zone = zone
        front, ready, links, metrics = free_ports(ip, 4)
        self.front = (ip, front)
        self.ready = (ip, ready)
        self.links_target = f"{ip}:{links}"
        self.advertised = self.links_target
        self._metrics = f"{ip}:{metrics}"
        self._path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._misses = 2
        self.popen: subprocess.Popen[bytes] | None = None

    def start(self, store: str, seeds: list[str], bounds: dict[str, float], *, first: bool) -> None:
        """Write the settings as the deploy file's template has them, and start the process."""
        limits = "".join(f"{name} = {value}\n" for name, value in bounds.items())
        self._path.write_text(
            f'[node]\nhost = "{self.name}"\nfailure_domain = "{self.zone}"\n'
            f"first_start = {str(first).lower()}\n"
            "cores = 2\ncpu_share = 0.537\nlink_mbps = 1000.0\n"
            f'[listen]\ncallers = "{self.front[0]}:{self.front[1]}"\n'
            f'ready = "{self.ready[0]}:{self.ready[1]}"\nlinks = "{self.links_target}"\n'
            f'links_advertised = "{self.advertised}"\nmetrics = "{self._metrics}"\n'
            f"[peers]\nseeds = {json.dumps(seeds)}\n"
            f'[store]\naddress = "{store}"\nsilence_ms = 3000\n'
            f'[fleet]\nkey_hex = "{FLEET_KEY_HEX}"\n'
            f"[limits]\n{limits}grace_s = 8\ndescriptors = 4100\n[memory]\nlimit_mb = 300\n",
            encoding="utf-8",
        )
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with self._log.open("ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "chalkyoke.gatewayd"],
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env={**kept, "PYTHONPATH": str(DEPS), "CHALKYOKE_BOOT": str(self._path)},
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    @property
    def receives_callers(self) -> bool:
        """Whether the platform passes new connections to this host."""
        return self._misses < 2

    async def check_ready(self) -> bool:
        """Ask whether the host is ready, as the platform does each second."""
        status = 0
        with contextlib.suppress(TimeoutError, OSError, ValueError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                if message is not None:
                    status = int(message[0].split(" ")[1])
        self._misses = 0 if status == 200 else self._misses + 1
        return status == 200

    def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()


def make_folder() -> Path:
    """Make a temporary folder for settings and logs."""
    return Path(tempfile.mkdtemp(prefix="review-"))


def remove_folder(folder: Path) -> None:
    """Remove the temporary folder."""
    shutil.rmtree(folder, ignore_errors=True)
