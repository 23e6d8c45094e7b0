"""
Stand-ins for the review's scripts: the platform's store, the filled settings, the front machines'
processes, plain replicas and callers. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
ZONES = {"saltlake": "kol", "newtown": "kol", "howrah": "kol"}
BOUNDS = {
    "contact-ms": 3000,
    "drain-ms": 2000,
    "grace-s": 8,
    "config-ms": 2000,
    "loss-slack-ms": 200,
    "retry-ratio": 0.2,
    "retry-window-s": 10,
    "retry-slack": 54,
    "quota-window-s": 8,
    "quota-over": 0.1,
    "quota-slack": 72000,
}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream"]
CONTRACTS += ["tenants", "quota", "platform"]
HEARTBEAT_S = 1.2
HOST = "desk.example"
KEY = "station-desk-key"
TEAM = "station"
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected"}


class Record:
    """The file in which a case writes what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, *words: object) -> None:
        """Write one line with the time since the start, in seconds."""
        at = f"{time.monotonic() - self._began:9.4f}"
        print(at, *words, file=self._file)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def own_network(number: int) -> str:
    """Return a loopback address of this process, so that two cases do not share ports."""
    process = os.getpid()
    return f"127.{20 + process % 200}.{process // 200 % 250}.{number}"


def free_ports(ip: str, count: int) -> list[int]:
    """Find distinct free ports."""
    with contextlib.ExitStack() as held:
        probes = [held.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((ip, 0))
        return [probe.getsockname()[1] for probe in probes]


# HTTP.


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers, with their names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in head[1:] if line)
    return head[0], {name.lower(): value.strip() for name, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body that has a length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return b"".join(parts)


def encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encode an answer whose body has a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


# The platform's store.


class Store:
    """The platform's metadata store: revisions, conditions, leases, watches and a history."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 0
        self.address = ""
        self._history: list[tuple[int, str]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_numbers = itertools.count(1)
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Serve on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def put(self, key: str, value: dict[str, Any]) -> None:
        """Write a key as the operator or a replica does."""
        self._put(key, json.dumps(value).encode(), 0)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self._note(key)

    def _put(self, key: str, value: bytes, lease: int) -> None:
        made = self.items[key]["made"] if key in self.items else self.revision + 1
        self._note(key)
        text = base64.b64encode(value).decode()
        self.items[key] = {
            "key": key,
            "value": text,
            "rev": self.revision,
            "made": made,
            "lease": lease,
        }

    def _note(self, key: str) -> None:
        self.revision += 1
        self._history.append((self.revision, key))
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [each for each, (_, until) in self._leases.items() if until < now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                target = first.split(" ")[1]
                self._expire()
                status, answer = await self._answer(target, body)
                text = json.dumps(answer).encode()
                writer.write(encode(status, {"Content-Type": "application/json"}, text))
                await writer.drain()
        writer.close()

    async def _answer(self, target: str, body: bytes) -> tuple[int, dict[str, Any]]:
        path, _, query = target.partition("?")
        pairs = (each.partition("=") for each in query.split("&") if each)
        asked = {name: _unquote(value) for name, _, value in pairs}
        call = path.split("/")[1]
        if call == "kv-range":
            return 200, self._list(asked["path-prefix"], asked.get("since-rev", ""))
        if call == "kv-watch":
            return await self._watch(asked)
        if call == "kv-txn":
            return self._commit(json.loads(body))
        if call == "kv-lease":
            lease, ttl_s = next(self._lease_numbers), json.loads(body)["ttl_ms"] / 1000
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttl_ms": ttl_s * 1000}
        if call == "kv-keep":
            lease = int(path.split("/")[2])
            if lease not in self._leases:
                return 404, {}
            ttl_s = self._leases[lease][0]
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttl_ms": ttl_s * 1000}
        if call == "kv-lease-end":
            self._end_lease(int(path.split("/")[2]))
            return 200, {}
        item = self.items.get(asked.get("key", ""))
        return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})

    def _list(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:500]]
        return {"items": items, "more": len(keys) > len(items), "at": self.revision}

    async def _watch(self, asked: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, since = asked["path-prefix"], int(asked["since-rev"])
        end = time.monotonic() + int(asked["wait-ms"]) / 1000
        while True:
            keys = {
                key: rev for rev, key in self._history if rev > since and key.startswith(prefix)
            }
            left = end - time.monotonic()
            if keys or left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        events = [
            self.items.get(key, {"key": key, "rev": rev, "gone": True}) for key, rev in keys.items()
        ]
        return 200, {"events": events, "at": self.revision}

    def _commit(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in call.get("expect-rev", []):
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [item] if item else []}
        for each in call.get("put", []):
            if each.get("lease") and each["lease"] not in self._leases:
                return 404, {}
        for each in call.get("put", []):
            self._put(each["key"], base64.b64decode(each["value"]), each.get("lease", 0))
        for key in call.get("delete", []):
            self.remove(key)
        return 200, {"rev": self.revision}


def _unquote(text: str) -> str:
    return re.sub("%([0-9A-Fa-f]{2})", lambda found: chr(int(found[1], 16)), text)


# The front machines.


class Front:
    """One front machine: its settings file, filled as the platform does, and its process."""

    def __init__(self, name: str, zone: str, ip: str) -> None:
        self.name, self.zone, self.ip = name, zone, ip
        ports = free_ports(ip, 4)
        self.listen = dict(zip(("front", "ready", "control"), ports[:3], strict=True))
        self.own_port = ports[3]
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def seed(self) -> str:
        """The address at which other machines reach this one."""
        return f"{self.ip}:{self.listen['control']}"

    def fields(self, store: str, seeds: list[str], *, bootstrap: bool) -> dict[str, Any]:
        """Return the fields of the platform's settings."""
        return {
            "node": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "port-range": [self.own_port, self.own_port],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "contracts": CONTRACTS,
            "listen": {name: f"{self.ip}:{port}" for name, port in self.listen.items()},
            "limits": {
                "cpu-share": 0.537,
                "cores": 2,
                "memory-mb": 300,
                "max-fds": 4100,
                "link-mbps": 1000.0,
            },
            "bounds": BOUNDS,
            "platform": {"addr": store},
        }

    def start(self, folder: Path, store: str, seeds: list[str], *, bootstrap: bool) -> None:
        """Write the settings file and start the process with the command of the deploy file."""
        template = (ROOT / "deploy" / "settings.toml").read_text(encoding="utf-8")
        path = folder / f"{self.name}.toml"
        filled = fill(template, self.fields(store, seeds, bootstrap=bootstrap))
        path.write_text(filled, encoding="utf-8")
        deploy = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        found = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE)
        if found is None:
            raise RuntimeError("the deploy file has no command")
        command = found[1].split()
        if command[0] == "python3":
            command[0] = sys.executable
        variables = {"PATH": os.environ["PATH"], "HOME": str(folder), "LANG": "C.UTF-8"}
        variables |= {"PYTHONPATH": str(DEPS), "CHALKYOKE_BOOT": str(path)}
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=variables, stdout=log, stderr=log, start_new_session=True
            )

    async def wait_until_ready(self, seconds: float = 20.0) -> None:
        """Wait for a 200 of the ready page."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(self.ip, self.listen["ready"])
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
                if " 200 " in first:
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    def kill(self) -> None:
        """End the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fill the gaps of a template as the platform does."""

    def look_up(name: str) -> Any:
        found: Any = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(found: re.Match[str]) -> str:
        return found[2] if look_up(found[1]) else ""

    def gap(found: re.Match[str]) -> str:
        name, _, form = found[1].partition("|")
        value = look_up(name)
        if form == "json" or isinstance(value, bool | dict):
            return json.dumps(value)
        return "" if value is None else str(value)

    whole = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([^#/}]+)\}\}", gap, whole)


def make_route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Make a route of the configuration, under a path prefix of its name."""
    route = {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 1200,
        "goal-ms": 150,
        "priority": 2,
        "attempts": 1,
        "service": service,
    }
    return {**route, **more}


def make_configuration(
    routes: list[dict[str, Any]], services: list[dict[str, Any]], version: int = 3
) -> dict[str, Any]:
    """Make a whole configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": TEAM, "api-keys": [KEY], "priority": 2}],
    }


# Callers.


class Answer:
    """What a caller got: status 0 if the connection ended before a whole answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body


async def call(
    front: Front, method: str, path: str, request_id: str, body: bytes, deadline_ms: int
) -> Answer:
    """Send one request on a connection of its own and read the answer."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\nX-Credential: {KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(front.ip, front.listen["front"])
            try:
                writer.write(head.encode() + body)
                first, headers = await read_head(reader)
                content = await read_body(reader, headers)
                return Answer(int(first.split(" ")[1]), headers, content)
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return Answer(0, {}, b"")


# The frame of a case.


def run_case(play: Callable[[Path, Record, bool], Awaitable[bool]], folder: Path, temp: str) -> int:
    """Play a case and return its exit code: 1 if the rule was broken, 0 if it held, 2 otherwise."""
    record = Record(folder / "record.txt")
    try:
        broken = asyncio.run(_in_time(play, Path(temp), record))
    except Exception as error:
        record.write("the case could not run:", repr(error))
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return 2
    finally:
        record.close()
    return 1 if broken else 0


async def _in_time(
    play: Callable[[Path, Record, bool], Awaitable[bool]], temp: Path, record: Record
) -> bool:
    async with asyncio.timeout(110):
        return await play(temp, record, os.environ.get("TROUBLE", "1") != "0")
