"""
chalkyoke_fakes.store

A stand-in for the platform's key-value service, in the wire format of Consul's KV HTTP API:
compare-and-swap by modify index, blocking queries and sessions (leases). Calls are counted and
rate-limited, and a value has at most one megabyte.
"""

import asyncio
import itertools
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import falcon
import falcon.asgi

from chalkyoke_fakes.serving import Control, parser, serve

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_S = 60.0


@dataclass
class Faults:
    """Faults that can be switched at run time.

    :ivar outage: every call fails at once with 503.
    :ivar delay_s: additional latency of every call, in seconds.
    :ivar lose_writes: the number of writes that take effect and are answered with 500.
    :ivar writes_per_s: rate limit of writes, in calls a second.
    :ivar reads_per_s: rate limit of reads, in calls a second.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_writes: int = 0
    writes_per_s: float = 200.0
    reads_per_s: float = 2000.0


@dataclass
class Entry:
    """One value, its modify index and the session that holds it."""

    value: bytes
    index: int
    session: str = ""


@dataclass
class Bucket:
    """A token bucket that holds the calls of one second.

    :ivar filled: when tokens were last added, in seconds of the monotonic clock.
    """

    tokens: float = 0.0
    filled: float = field(default_factory=time.monotonic)

    def try_take_call(self, rate: float) -> bool:
        """Take one token, if there is one.

        :param rate: calls a second, and the capacity of the bucket.
        """
        now = time.monotonic()
        self.tokens = min(rate, self.tokens + (now - self.filled) * rate)
        self.filled = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Store:
    """The values, sessions, faults and counters.

    :ivar sessions: time to live in seconds and expiry on the monotonic clock, by session.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.entries: dict[str, Entry] = {}
        self.sessions: dict[str, tuple[float, float]] = {}
        self.calls: Counter[str] = Counter()
        self.changed = asyncio.Condition()
        self._indexes = itertools.count(1)
        self._buckets = {
            "read": Bucket(self.faults.reads_per_s),
            "write": Bucket(self.faults.writes_per_s),
        }

    def counts(self) -> dict[str, Any]:
        """Return the number of calls by kind and the number of keys."""
        return {**self.calls, "keys": len(self.entries)}

    async def admit(self, kind: str) -> None:
        """Count a call, and reject it during an outage (503) or above the rate limit (429).

        :param kind: ``read`` or ``write``.
        """
        self.calls[kind] += 1
        if self.faults.outage:
            raise falcon.HTTPServiceUnavailable(description="outage")
        rate = self.faults.writes_per_s if kind == "write" else self.faults.reads_per_s
        if not self._buckets[kind].try_take_call(rate):
            self.calls["limited"] += 1
            raise falcon.HTTPTooManyRequests(description="rate limit")
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)

    def expire_sessions(self) -> None:
        """Remove expired sessions and release the keys that they hold."""
        now = time.monotonic()
        for name in [each for each, (_, until) in self.sessions.items() if until < now]:
            del self.sessions[name]
            for entry in self.entries.values():
                if entry.session == name:
                    entry.session = ""

    async def write(self, key: str, value: bytes, cas: int | None, session: str) -> bool:
        """Write a value if its modify index is the expected one and no other session holds the key.

        :param cas: the expected modify index, 0 for a new key; None writes without this condition.
        :param session: session that acquires the key; empty for none.
        :return: whether the value was written.
        """
        self.expire_sessions()
        held = self.entries.get(key)
        if cas is not None and (held.index if held else 0) != cas:
            return False
        if session and (
            session not in self.sessions or (held and held.session not in ("", session))
        ):
            return False
        self.entries[key] = Entry(value, next(self._indexes), session)
        async with self.changed:
            self.changed.notify_all()
        return True


class KeyPage:
    """The route of one key."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response, key: str) -> None:
        """Read a value; with ``index`` wait until the modify index differs from it."""
        store = self._store
        await store.admit("read")
        index = req.get_param_as_int("index")
        if index is not None:
            wait = min(MAX_WAIT_S, float((req.get_param("wait") or "5s").rstrip("s")))
            await self._wait_for_change(key, index, wait)
        if store.faults.outage:
            raise falcon.HTTPServiceUnavailable(description="outage")
        entry = store.entries.get(key)
        if entry is None:
            raise falcon.HTTPNotFound
        resp.set_header("X-Consul-Index", str(entry.index))
        resp.data = entry.value

    async def _wait_for_change(self, key: str, index: int, wait_s: float) -> None:
        def is_other() -> bool:
            entry = self._store.entries.get(key)
            return (entry.index if entry else 0) != index

        try:
            async with asyncio.timeout(wait_s), self._store.changed:
                await self._store.changed.wait_for(is_other)
        except TimeoutError:
            return

    async def on_put(self, req: falcon.asgi.Request, resp: falcon.asgi.Response, key: str) -> None:
        """Write a value by compare-and-swap."""
        store = self._store
        value = await req.stream.read()
        await store.admit("write")
        if len(value) > MAX_VALUE_BYTES:
            raise falcon.HTTPContentTooLarge
        session = req.get_param("acquire") or ""
        written = await store.write(key, value, req.get_param_as_int("cas"), session)
        if written and store.faults.lose_writes > 0:
            store.faults.lose_writes -= 1
            raise falcon.HTTPInternalServerError(description="the answer is lost")
        resp.media = written
        if written:
            resp.set_header("X-Consul-Index", str(store.entries[key].index))

    async def on_delete(self, _: falcon.asgi.Request, resp: falcon.asgi.Response, key: str) -> None:
        """Delete a value."""
        await self._store.admit("write")
        self._store.entries.pop(key, None)
        resp.media = True


class SessionPage:
    """The routes of sessions, which are Consul's leases."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def on_put(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, action: str, name: str = ""
    ) -> None:
        """Create, renew or destroy a session."""
        store = self._store
        await store.admit("write")
        store.expire_sessions()
        if action == "create":
            media = await req.get_media(default_when_empty={})
            ttl = float(str(media.get("TTL", "10s")).rstrip("s"))
            name = f"session-{next(store._indexes)}"
            store.sessions[name] = (ttl, time.monotonic() + ttl)
        elif name not in store.sessions:
            raise falcon.HTTPNotFound
        elif action == "renew":
            ttl, _ = store.sessions[name]
            store.sessions[name] = (ttl, time.monotonic() + ttl)
        else:
            store.sessions[name] = (0.0, 0.0)
            store.expire_sessions()
        resp.media = {"ID": name}


def make_app() -> Any:
    """Build the application."""
    store = Store()
    app: Any = falcon.asgi.App()
    app.add_route("/v1/kv/{key:path}", KeyPage(store))
    app.add_route("/v1/session/{action}", SessionPage(store))
    app.add_route("/v1/session/{action}/{name}", SessionPage(store))
    app.add_route("/control", Control(store))
    return app


if __name__ == "__main__":
    serve(make_app(), parser("a key-value service").parse_args().address)
