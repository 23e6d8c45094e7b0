"""
chalkyoke.catalog.restores

Conflicts between this node's records and a store that was restored from a backup. The backup lacks
the latest writes, which their writers repeat within seconds. Until then the later records that the
node knows stay in force.
"""

import msgspec

from chalkyoke.storage.messages import Item
from chalkyoke.storage.port import MAX_BACKUP_AGE_S

# How long a record that the backup lacks stays in force, in seconds: its writer repeats the write
# within two seconds.
MISSING_RECORD_TTL_S = 2.5
# How long a record of the backup that is known to be outdated is ignored, in seconds: the store
# removes a record that its replica no longer renews after three heartbeats.
OUTDATED_RECORD_TTL_S = 5.0
# Maximum number of superseded records that are remembered; they take 0.5 MB. The oldest are dropped
# first.
MAX_SUPERSEDED = 2_000


class Position(msgspec.Struct, frozen=True, order=True):
    """A state of the store, ordered by age: a higher epoch is newer, whatever its revision is."""

    epoch: int
    revision: int


class _Superseded(msgspec.Struct, frozen=True):
    value: bytes
    at: float


class SupersededItems:
    """Remember superseded records, so that they are recognized in a restored backup."""

    def __init__(self) -> None:
        self._superseded: dict[tuple[str, int], _Superseded] = {}

    def __contains__(self, item: Item) -> bool:
        found = self._superseded.get((item.key, item.revision))
        return found is not None and found.value == item.value

    def add(self, item: Item, now: float) -> None:
        """Remember a record that was replaced or removed."""
        self._superseded[item.key, item.revision] = _Superseded(item.value, now)
        while len(self._superseded) > MAX_SUPERSEDED:
            del self._superseded[next(iter(self._superseded))]

    def expire(self, now: float) -> None:
        """Drop records that were superseded before any backup that may still be restored."""
        for key, each in list(self._superseded.items()):
            if now - each.at <= MAX_BACKUP_AGE_S:
                return
            del self._superseded[key]


class Conflicts:
    """The keys on which a restored store contradicts what this node has seen later."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def add(self, key: str, until: float) -> None:
        """Add a key whose later record stays in force until a time on this node's clock."""
        self._until[key] = until

    def remove(self, key: str) -> bool:
        """Remove the conflict of a key, because the store has changed the key.

        :return: whether there was a conflict.
        """
        return self._until.pop(key, None) is not None

    def pop_due(self, now: float) -> list[str]:
        """Remove and return the keys whose conflict has expired: the store's value now applies."""
        due = [key for key, until in self._until.items() if until <= now]
        for key in due:
            del self._until[key]
        return due
