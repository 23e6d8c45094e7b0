"""
chalkyoke.quarantine.heldrecords

Records in the store of the requests that are held back: they outlast the loss of all nodes, and
reach a failure domain that is cut off from the others.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from chalkyoke.logs import logger
from chalkyoke.storage.messages import LeaseGranted, Written
from chalkyoke.storage.port import MAX_BACKUP_AGE_S, Store

# How long the store keeps such a record, in seconds: the first hold, which is the longest that the
# platform's leases last too.
KEPT_S = 600.0
# A lease serves for the records of so many seconds, so that many requests at once cost a call each.
SHARED_S = 30.0
# Records that wait to be written at most; each is one call, and peers know of all of them anyway.
MOST_WAITING = 100
# Pause after a call that failed, in seconds: doubled with each, up to the longest.
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 8.0

log = logger("quarantine")


class HeldRecords:
    """Write records of requests that this node was the one to hold back.

    :param prefix: of the records' keys.
    :param now: the node's clock, in seconds.
    """

    def __init__(self, store: Store, prefix: str, now: Callable[[], float]) -> None:
        self._store = store
        self._prefix = prefix
        self._now = now
        self._waiting: deque[bytes] = deque(maxlen=MOST_WAITING)
        self._written: deque[tuple[bytes, float]] = deque(maxlen=MOST_WAITING)
        self._wake = asyncio.Event()
        self._lease: LeaseGranted | None = None
        self._lease_until = 0.0

    def queue_record(self, request: bytes) -> None:
        """Have a request written; where too many wait, the oldest is dropped."""
        self._waiting.append(request)
        self._wake.set()

    def store_restored(self) -> None:
        """Write again what a store that was restored from a copy may have lost."""
        self._lease_until = 0.0
        since = self._now() - MAX_BACKUP_AGE_S
        lost = [request for request, at in self._written if at >= since]
        self._written.clear()
        if lost:
            log.notice("records_again", records=len(lost))
        for request in lost:
            self.queue_record(request)

    async def run(self) -> None:
        """Write what waits, for as long as the process lives."""
        pause_s = FIRST_PAUSE_S
        while True:
            if not self._waiting:
                self._wake.clear()
                await self._wake.wait()
            request = self._waiting.popleft()
            if await self._write(request):
                pause_s = FIRST_PAUSE_S
                continue
            log.info("record_waits", digest=request.hex(), waiting=len(self._waiting) + 1)
            self._waiting.appendleft(request)
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)

    async def _write(self, request: bytes) -> bool:
        if self._lease is None or self._now() >= self._lease_until:
            granted = await self._store.grant_lease(KEPT_S)
            if not isinstance(granted, LeaseGranted):
                return False
            self._lease, self._lease_until = granted, self._now() + SHARED_S
        lease = self._lease
        key = self._prefix + request.hex()
        written = await self._store.write(key, b"", lease=lease.lease)
        if not isinstance(written, Written) or written.epoch != lease.epoch:
            # The lease may be what is gone, or be another writer's by now.
            self._lease_until = 0.0
            return False
        self._written.append((request, self._now()))
        return True
