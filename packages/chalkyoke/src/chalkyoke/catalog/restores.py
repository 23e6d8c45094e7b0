"""
chalkyoke.catalog.restores

What a node knows beyond a store that was restored from a copy: the copy lacks the latest writes,
which their writers write again within seconds. Until then the later knowledge stays in force.
"""

import msgspec

from chalkyoke.storage.messages import Item
from chalkyoke.storage.port import MAX_BACKUP_AGE_S

# How long a record that the copy lacks stays in force, in seconds: writers are back within two.
MISSING_RECORD_TTL_S = 2.5
# How long a record of the copy that is known to be outdated is not believed, in seconds: the store
# removes what a replica has stopped renewing after three heartbeats.
OUTDATED_RECORD_TTL_S = 5.0
# How many records are remembered that later ones took the place of, at most; 0.5 MB. The oldest go
# first.
MAX_SUPERSEDED = 2_000


class Position(msgspec.Struct, frozen=True, order=True):
    """A state of the store. A later epoch is newer, whatever its revisions are."""

    epoch: int
    revision: int


class _Superseded(msgspec.Struct, frozen=True):
    value: bytes
    at: float


class SupersededItems:
    """Remember records that later ones took the place of, to know them again in a copy."""

    def __init__(self) -> None:
        self._kept: dict[tuple[str, int], _Superseded] = {}

    def __contains__(self, item: Item) -> bool:
        found = self._kept.get((item.key, item.revision))
        return found is not None and found.value == item.value

    def add(self, item: Item, now: float) -> None:
        """Remember a record that is no longer in force."""
        self._kept[item.key, item.revision] = _Superseded(item.value, now)
        while len(self._kept) > MAX_SUPERSEDED:
            del self._kept[next(iter(self._kept))]

    def expire(self, now: float) -> None:
        """Drop what is older than a copy may be."""
        for key, each in list(self._kept.items()):
            if now - each.at <= MAX_BACKUP_AGE_S:
                return
            del self._kept[key]


class Conflicts:
    """The keys on which a restored store contradicts what this node has seen later."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def add(self, key: str, until: float) -> None:
        """Note a key whose later knowledge stays in force until a moment."""
        self._until[key] = until

    def remove(self, key: str) -> bool:
        """End a conflict, since the store has changed the key.

        :return: whether there was one.
        """
        return self._until.pop(key, None) is not None

    def pop_due(self, now: float) -> list[str]:
        """Take the keys for which the store is to be believed from now on."""
        due = [key for key, until in self._until.items() if until <= now]
        for key in due:
            del self._until[key]
        return due
