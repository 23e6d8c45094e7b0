"""
chalkyoke_fakes.metastore

A stand-in for the metadata store of the users' platform: revisions, conditional writes, leases,
watches, a bounded history, outages, lost answers and restores from a snapshot. It runs in the event
loop of its test.
"""

import asyncio
import base64
import copy
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

HISTORY_LENGTH = 500
MAX_WAIT_S = 30.0
PAGE_KEYS = 50
FIRST_LEASE_ID = 1000


@dataclass
class Faults:
    """Faults that can be switched at run time.

    :ivar down: every call is answered with 503.
    :ivar silent: calls are not answered while this is set.
    :ivar slow_s: additional latency of every call, in seconds.
    :ivar lose_writes: the number of writes that are committed without an answer in time.
    """

    down: bool = False
    silent: bool = False
    slow_s: float = 0.0
    lose_writes: int = 0


@dataclass
class Entry:
    """The value of one key.

    :ivar created_revision: the revision at which the key was created.
    :ivar lease: number of the lease that the key is bound to; 0 for none.
    """

    value: bytes
    revision: int
    created_revision: int
    lease: int = 0


@dataclass
class Lease:
    """A lease.

    :ivar expires_at: when the lease expires, in seconds of the monotonic clock.
    """

    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass
class StoreState:
    """The state that a snapshot contains.

    :ivar history: revisions and keys of the last changes.
    :ivar oldest_revision: the first revision from which all changes are known.
    :ivar next_lease: number of the next lease.
    """

    entries: dict[str, Entry] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    revision: int = 0
    history: deque[tuple[int, str]] = field(default_factory=lambda: deque(maxlen=HISTORY_LENGTH))
    oldest_revision: int = 0
    next_lease: int = FIRST_LEASE_ID


class MetaStore:
    """The store's state and faults.

    :ivar epoch: rises by one at each restore from a snapshot.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.epoch = 1
        self._state = StoreState()
        self._platform_writes: dict[str, int] = {}
        self._lost_writes: dict[str, Entry | None] = {}
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self.address = ""

    @property
    def entries(self) -> dict[str, Entry]:
        """The stored entries by key."""
        return self._state.entries

    @property
    def leases(self) -> dict[int, Lease]:
        """The leases, by number."""
        return self._state.leases

    @property
    def revision(self) -> int:
        """The number of the last change."""
        return self._state.revision

    # Serving.

    async def start(self, ip: str) -> None:
        """Serve on a free port."""
        app = web.Application(middlewares=[self._handle_call])
        app.router.add_get("/kv-key", self._get_key)
        app.router.add_get("/kv-range", self._list_range)
        app.router.add_get("/kv-watch", self._watch_prefix)
        app.router.add_post("/kv-txn", self._commit_transaction)
        app.router.add_post("/kv-lease", self._grant_lease)
        app.router.add_post("/kv-keep/{lease}", self._renew_lease)
        app.router.add_delete("/kv-lease-end/{lease}", self._end_lease)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        site = web.TCPSite(self._runner, ip, 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
        self.address = f"{ip}:{port}"

    async def stop(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _handle_call(self, request: web.Request, handler: Any) -> web.StreamResponse:
        self.calls[request.path.split("/")[1]] += 1
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        while self.faults.silent:
            await asyncio.sleep(0.02)
        if self.faults.down:
            return self._add_epoch_header(web.json_response({"error": "down"}, status=503))
        self._expire_leases()
        answer: web.StreamResponse = await handler(request)
        while self.faults.silent:
            await asyncio.sleep(0.02)
        return self._add_epoch_header(answer)

    def _add_epoch_header(self, answer: web.StreamResponse) -> web.StreamResponse:
        """Add the header with the store's epoch to an answer."""
        answer.headers["Store-Era"] = str(self.epoch)
        return answer

    # Writes of the operator and the replicas.

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as the operator or a replica does, without a condition.

        :param lease: number of the lease to bind the key to; 0 for none.
        :return: the revision of the write.
        """
        self._put_entry(key, value, lease)
        self._platform_writes[key] = self.revision
        await self._notify_watchers()
        return self.revision

    async def remove(self, key: str) -> None:
        """Remove a key; does nothing where the key does not exist."""
        if self._remove_entry(key):
            self._platform_writes[key] = self.revision
            await self._notify_watchers()

    async def forget_history(self) -> None:
        """Clear the history, so that all watches end with 410."""
        self._state.history.clear()
        self._state.oldest_revision = self.revision + 1
        self._state.revision += 1
        await self._notify_watchers()

    # Restores from a snapshot.

    def take_snapshot(self) -> StoreState:
        """Return a deep copy of the store's state."""
        return copy.deepcopy(self._state)

    async def restore_snapshot(self, state: StoreState) -> None:
        """Restore a snapshot under a new epoch.

        Later writes are lost. Those of operators and replicas are remembered for
        :meth:`rewrite_lost_writes`.
        """
        self._lost_writes = {
            key: copy.copy(self.entries.get(key))
            for key, revision in self._platform_writes.items()
            if revision > state.revision
        }
        self._platform_writes.clear()
        self._state = copy.deepcopy(state)
        self.epoch += 1
        await self._notify_watchers()

    async def rewrite_lost_writes(self) -> None:
        """Repeat the lost writes of operators and replicas, except to keys written meanwhile."""
        lost, self._lost_writes = self._lost_writes, {}
        for key, entry in lost.items():
            if key in self._platform_writes:
                continue
            if entry is None:
                await self.remove(key)
            else:
                await self.put(key, entry.value)

    # Calls.

    async def _get_key(self, request: web.Request) -> web.Response:
        entry = self.entries.get(request.query["key"])
        if entry is None:
            return web.json_response({"at": self.revision}, status=404)
        return web.json_response({**self._encode_entry(request.query["key"]), "at": self.revision})

    async def _list_range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["path-prefix"], request.query.get("since-rev", "")
        keys = sorted(key for key in self.entries if key.startswith(prefix) and key > after)
        items = [self._encode_entry(key) for key in keys[:PAGE_KEYS]]
        return web.json_response(
            {"items": items, "more": len(keys) > PAGE_KEYS, "at": self.revision}
        )

    async def _watch_prefix(self, request: web.Request) -> web.Response:
        prefix, since = request.query["path-prefix"], int(request.query["since-rev"])
        wait_s = min(MAX_WAIT_S, int(request.query["wait-ms"]) / 1000)
        end = time.monotonic() + wait_s
        while True:
            if self.faults.down:
                return web.json_response({"error": "down"}, status=503)
            if not self._state.oldest_revision <= since <= self.revision:
                return web.json_response({"error": "history"}, status=410)
            events = self._events_since(prefix, since)
            left = end - time.monotonic()
            if events or left <= 0:
                return web.json_response({"events": events, "at": self.revision})
            try:
                async with asyncio.timeout(min(left, 0.2)), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                self._expire_leases()

    def _events_since(self, prefix: str, since: int) -> list[dict[str, Any]]:
        newest = {key: revision for revision, key in self._state.history if revision > since}
        return [
            self._encode_entry(key)
            if key in self.entries
            else {"key": key, "rev": revision, "gone": True}
            for key, revision in newest.items()
            if key.startswith(prefix)
        ]

    async def _commit_transaction(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body.get("expect-rev", []):
            entry = self.entries.get(row["key"])
            if (entry.revision if entry else 0) != row["rev"]:
                items = [self._encode_entry(each) for each in [row["key"]] if each in self.entries]
                return web.json_response({"items": items}, status=412)
        for put in body.get("put", []):
            lease = put.get("lease", 0)
            if put["key"].startswith(("op/", "servers/")):
                return web.json_response({"error": "not yours"}, status=403)
            if lease and lease not in self.leases:
                return web.json_response({"error": "no such lease"}, status=404)
        for put in body.get("put", []):
            self._put_entry(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("delete", []):
            self._remove_entry(key)
        await self._notify_watchers()
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            await asyncio.sleep(MAX_WAIT_S)
        return web.json_response({"rev": self.revision})

    async def _grant_lease(self, request: web.Request) -> web.Response:
        ttl_s = (await request.json())["ttl_ms"] / 1000
        number = self._state.next_lease
        self._state.next_lease += 1
        self.leases[number] = Lease(ttl_s, time.monotonic() + ttl_s)
        return web.json_response({"lease": number, "ttl_ms": ttl_s * 1000})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        lease = self.leases.get(int(request.match_info["lease"]))
        if lease is None:
            return web.json_response({"error": "over"}, status=404)
        lease.expires_at = time.monotonic() + lease.ttl_s
        return web.json_response({"ttl_ms": lease.ttl_s * 1000})

    async def _end_lease(self, request: web.Request) -> web.Response:
        self._drop_lease(int(request.match_info["lease"]))
        await self._notify_watchers()
        return web.json_response({})

    # State.

    def _put_entry(self, key: str, value: bytes, lease: int) -> None:
        self._state.revision += 1
        before = self.entries.get(key)
        made = before.created_revision if before else self.revision
        self.entries[key] = Entry(value, self.revision, made, lease)
        if lease:
            self.leases[lease].keys.add(key)
        self._state.history.append((self.revision, key))

    def _remove_entry(self, key: str) -> bool:
        if self.entries.pop(key, None) is None:
            return False
        self._state.revision += 1
        self._state.history.append((self.revision, key))
        return True

    def _drop_lease(self, number: int) -> None:
        lease = self.leases.pop(number, None)
        for key in lease.keys if lease else ():
            self._remove_entry(key)

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for number in [each for each, lease in self.leases.items() if lease.expires_at < now]:
            self._drop_lease(number)

    def _encode_entry(self, key: str) -> dict[str, Any]:
        entry = self.entries[key]
        return {
            "key": key,
            "value": base64.b64encode(entry.value).decode(),
            "rev": entry.revision,
            "made": entry.created_revision,
            "lease": entry.lease,
        }

    async def _notify_watchers(self) -> None:
        async with self._changed:
            self._changed.notify_all()
