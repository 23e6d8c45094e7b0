"""
chalkyoke.platform.store

The client of the platform's metadata store.
"""

import base64
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from result import Err

from chalkyoke.decoding.bounds import MAX_INTEGER, Count, Milliseconds
from chalkyoke.decoding.decoder import decode_json
from chalkyoke.http1.calls import MAX_LISTING_BYTES, CallAnswer, CallFailed, HttpClient
from chalkyoke.http1.messages import find_integer
from chalkyoke.storage.messages import (
    Changes,
    Conflict,
    HistoryLost,
    Item,
    LeaseGone,
    LeaseGranted,
    Listing,
    Removed,
    Unavailable,
    Written,
)

CALL_TIMEOUT_S = 2.0  # a watch has its own timeout
MAX_PAGES = 50  # in one listing
OK, GONE, NOT_FOUND, CONFLICT = 200, 410, 404, 412
NOT_APPLIED_STATUSES = (429, 503)  # the store has certainly not applied the call
EPOCH = b"store-era"  # this header's number rises by one with each restore from a backup

T = TypeVar("T", bound=msgspec.Struct)


class _Item(msgspec.Struct):
    key: str
    rev: Count
    value: bytes = b""
    gone: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    at: Count
    more: bool = False


class _Events(msgspec.Struct):
    events: list[_Item]
    at: Count


class _Revision(msgspec.Struct):
    rev: Count


class _Lease(msgspec.Struct):
    ttl_ms: Milliseconds
    lease: Count = 0


class PlatformStore:
    """Implement :class:`chalkyoke.storage.port.Store` with the platform's metadata store."""

    def __init__(self, caller: HttpClient) -> None:
        self._caller = caller

    async def read(self, prefix: str) -> Listing | Unavailable:
        """Read all items under a prefix, in pages; fail if the store is restored in between."""
        items: list[Item] = []
        at, epoch, start, body_bytes = 0, 0, "", 0
        for _ in range(MAX_PAGES):
            target = f"/kv-range?path-prefix={quote(prefix)}{start}"
            answer = await self._call(b"GET", target, None, CALL_TIMEOUT_S)
            body_bytes += 0 if isinstance(answer, Unavailable) else len(answer.body)
            if body_bytes > MAX_LISTING_BYTES:
                break
            page = _decode(answer, _Range)
            if isinstance(page, Unavailable):
                return page
            if start and _read_epoch(answer) != epoch:
                return Unavailable("restored between two pages", may_have_been_applied=False)
            at, epoch = at or page.at, _read_epoch(answer)
            items += [_make_item(each) for each in page.items]
            if not page.more:
                return Listing(tuple(items), at, epoch)
            start = f"&since-rev={quote(page.items[-1].key)}" if page.items else start
        return Unavailable("a listing without an end", may_have_been_applied=False)

    async def watch(
        self, prefix: str, since: int, wait_s: float, answer_s: float
    ) -> Changes | HistoryLost | Unavailable:
        """Wait for changes under a prefix after a revision."""
        wait_ms = int(wait_s * 1000)
        target = f"/kv-watch?path-prefix={quote(prefix)}&since-rev={since}&wait-ms={wait_ms}"
        answer = await self._call(b"GET", target, None, wait_s + answer_s)
        if isinstance(answer, CallAnswer) and answer.status == GONE:
            return HistoryLost()
        found = _decode(answer, _Events)
        if isinstance(found, Unavailable):
            return found
        changes = tuple(
            Removed(each.key, each.rev) if each.gone else _make_item(each) for each in found.events
        )
        return Changes(changes, found.at, _read_epoch(answer))

    async def write(
        self, key: str, value: bytes, *, lease: int = 0, expected: int | None = None
    ) -> Written | Conflict | LeaseGone | Unavailable:
        """Write one key in its own transaction."""
        conditions = [] if expected is None else [{"key": key, "rev": expected}]
        put = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        body = {"expect-rev": conditions, "put": [put], "delete": []}
        answer = await self._call(b"POST", "/kv-txn", body, CALL_TIMEOUT_S)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == CONFLICT:
            return Conflict()
        if answer.status == NOT_FOUND:
            return LeaseGone()
        done = _decode(answer, _Revision)
        return done if isinstance(done, Unavailable) else Written(done.rev, _read_epoch(answer))

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable:
        """Grant a lease with a time to live, in seconds."""
        answer = await self._call(
            b"POST", "/kv-lease", {"ttl_ms": int(ttl_s * 1000)}, CALL_TIMEOUT_S
        )
        return _make_lease(answer)

    async def renew_lease(self, lease: int) -> LeaseGranted | LeaseGone | Unavailable:
        """Renew a lease for its time to live."""
        answer = await self._call(b"POST", f"/kv-keep/{lease}", None, CALL_TIMEOUT_S)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == NOT_FOUND:
            return LeaseGone()
        return _make_lease(answer, lease)

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease; if the call fails, the lease expires by itself."""
        await self._call(b"DELETE", f"/kv-lease-end/{lease}", None, CALL_TIMEOUT_S)

    async def _call(
        self, method: bytes, target: str, body: dict[str, Any] | None, timeout_s: float
    ) -> CallAnswer | Unavailable:
        encoded = None if body is None else msgspec.json.encode(body)
        answer = await self._caller.call(method, target.encode(), encoded, timeout_s)
        if isinstance(answer, CallFailed):
            return Unavailable(answer.reason, answer.sent)
        if answer.status in NOT_APPLIED_STATUSES:
            return Unavailable(str(answer.status), may_have_been_applied=False)
        return answer


def _make_item(each: _Item) -> Item:
    return Item(each.key, each.value, each.rev)


def _read_epoch(reply: CallAnswer | Unavailable) -> int:
    return 0 if isinstance(reply, Unavailable) else find_integer(reply.headers, EPOCH, MAX_INTEGER)


def _make_lease(answer: CallAnswer | Unavailable, number: int = 0) -> LeaseGranted | Unavailable:
    read = _decode(answer, _Lease)
    if isinstance(read, Unavailable):
        return read
    return LeaseGranted(read.lease or number, read.ttl_ms / 1000, _read_epoch(answer))


def _decode(answer: CallAnswer | Unavailable, kind: type[T]) -> T | Unavailable:
    if isinstance(answer, Unavailable):
        return answer
    if answer.status != OK:
        return Unavailable(str(answer.status), may_have_been_applied=True)
    read = decode_json(answer.body, kind)
    if isinstance(read, Err):
        return Unavailable(f"unreadable answer: {read.err_value}", may_have_been_applied=True)
    return read.ok_value
