"""
chalkyoke.storage.port

What the product needs of a store.
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

# How old the copy may be at most that a store is restored from, in seconds: what was written before
# is in it.
MAX_BACKUP_AGE_S = 60.0


class Store(Protocol):
    """A key-value store. No call is repeated by the store's client itself."""

    async def read(self, prefix: str) -> Listing | Unavailable:
        """Read all items under a prefix, linearizably."""

    async def watch(
        self, prefix: str, since: int, wait_s: float, answer_s: float
    ) -> Changes | HistoryLost | Unavailable:
        """Wait until something under a prefix changes after a revision.

        :param wait_s: after so many seconds the answer holds no change.
        :param answer_s: how long the answer is waited for beyond that, in seconds.
        """

    async def write(
        self, key: str, value: bytes, *, lease: int = 0, expected: int | None = None
    ) -> Written | Conflict | LeaseGone | Unavailable:
        """Write one key.

        :param lease: the key goes with this lease; 0 is none.
        :param expected: the revision that the key must have, 0 for a key that must not exist.
        """

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable:
        """Begin a lease."""

    async def renew_lease(self, lease: int) -> LeaseGranted | LeaseGone | Unavailable:
        """Renew a lease."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease; one that can't be ended runs out."""
