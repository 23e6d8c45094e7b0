"""
chalkyoke.quarantine.heldrecords

Records of held requests in the store. They survive the loss of all nodes, and reach a failure
domain that is cut off from the others.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from chalkyoke.logs import logger
from chalkyoke.storage.messages import LeaseGranted, Written
from chalkyoke.storage.port import MAX_BACKUP_AGE_S, Store

# Lifetime of a record in the store, in seconds: the duration of a first hold, which is also the
# longest lease of the platform.
RECORD_TTL_S = 600.0
# Time for which new records share one lease, in seconds, so that many requests at once need only
# one call each.
LEASE_REUSE_S = 30.0
# Highest number of records that wait to be written. Each needs one call, and other nodes receive
# all held requests without the store.
MAX_WAITING = 100
# Backoff after a failed call, in seconds: doubled with each failure, up to the maximum.
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0

log = logger("quarantine")


class HeldRecords:
    """Write records of the requests that this node decided to hold back.

    :param prefix: prefix of the records' keys.
    :param now: the node's clock, in seconds.
    """

    def __init__(self, store: Store, prefix: str, now: Callable[[], float]) -> None:
        self._store = store
        self._prefix = prefix
        self._now = now
        self._waiting: deque[bytes] = deque(maxlen=MAX_WAITING)
        self._written: deque[tuple[bytes, float]] = deque(maxlen=MAX_WAITING)
        self._wake = asyncio.Event()
        self._lease: LeaseGranted | None = None
        self._lease_until = 0.0

    def queue_record(self, request: bytes) -> None:
        """Queue the record of a request for writing; a full queue drops its oldest record."""
        self._waiting.append(request)
        self._wake.set()

    def store_restored(self) -> None:
        """Queue the records again that a store restored from a backup may have lost."""
        self._lease_until = 0.0
        since = self._now() - MAX_BACKUP_AGE_S
        lost = [request for request, at in self._written if at >= since]
        self._written.clear()
        if lost:
            log.notice("records_again", records=len(lost))
        for request in lost:
            self.queue_record(request)

    async def run(self) -> None:
        """Write the queued records until cancelled, with a backoff after failures."""
        backoff_s = MIN_BACKOFF_S
        while True:
            if not self._waiting:
                self._wake.clear()
                await self._wake.wait()
            request = self._waiting.popleft()
            try:
                is_written = await self._write(request)
            except BaseException:
                self._waiting.append(request)
                raise
            if is_written:
                backoff_s = MIN_BACKOFF_S
                continue
            log.info("record_waits", digest=request.hex(), waiting=len(self._waiting) + 1)
            self._waiting.appendleft(request)
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def _write(self, request: bytes) -> bool:
        if self._lease is None or self._now() >= self._lease_until:
            granted = await self._store.grant_lease(RECORD_TTL_S)
            if not isinstance(granted, LeaseGranted):
                return False
            self._lease, self._lease_until = granted, self._now() + LEASE_REUSE_S
        lease = self._lease
        key = self._prefix + request.hex()
        written = await self._store.write(key, b"", lease=lease.lease)
        if not isinstance(written, Written) or written.epoch != lease.epoch:
            # The lease may have expired, or its number may belong to another writer by now.
            self._lease_until = 0.0
            return False
        self._written.append((request, self._now()))
        return True
