"""
chalkyoke.storage.port

The interface that the scheduler requires of a store.
"""

from typing import Protocol

from chalkyoke.storage.messages import (
    Changes,
    Conflict,
    HistoryLost,
    LeaseGone,
    LeaseGranted,
    Listing,
    Unavailable,
    Written,
)

# Maximum age of a backup from which a store is restored, in seconds: the backup includes all writes
# that are older.
MAX_BACKUP_AGE_S = 60.0


class Store(Protocol):
    """A key-value store. An implementation does not retry calls; its callers do."""

    async def read(self, prefix: str) -> Listing | Unavailable:
        """Read all items under a prefix, linearizably."""

    async def watch(
        self, prefix: str, since: int, wait_s: float, answer_s: float
    ) -> Changes | HistoryLost | Unavailable:
        """Wait for changes under a prefix after a revision.

        :param wait_s: time after which the store answers without a change, in seconds.
        :param answer_s: how long to wait for the answer beyond that, in seconds.
        """

    async def write(
        self, key: str, value: bytes, *, lease: int = 0, expected: int | None = None
    ) -> Written | Conflict | LeaseGone | Unavailable:
        """Write one key, optionally under a condition.

        :param lease: the key is removed when this lease ends; 0 means no lease.
        :param expected: the revision that the key must have; 0 if the key must not exist; None to
            write without a condition.
        """

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable:
        """Grant a lease with a time to live, in seconds."""

    async def renew_lease(self, lease: int) -> LeaseGranted | LeaseGone | Unavailable:
        """Renew a lease for its time to live."""

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease; if the call fails, the lease expires by itself."""
