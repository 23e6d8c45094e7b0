"""
chalkyoke.catalog.recent

What changed lately, to tell a peer only what it lacks.
"""

from collections import deque
from collections.abc import Iterable

from chalkyoke.storage.messages import Item, Removed

# Changes of replicas that are kept, in number: a release of 1,300 replicas that all change within
# the seconds for which a peer may be out of touch; about 0.3 MB of records.
MAX_RECENT_CHANGES = 1500
# Older documents that are kept, in bytes: four of 1,400 routes. Peers lag by one or two.
MAX_RECENT_DOCUMENTS_BYTES = 1_500_000


class RecentChanges:
    """The last changes of the replicas' records, in the order of their revisions.

    :ivar since: all changes after this revision are held.
    """

    def __init__(self) -> None:
        self.since = 0
        self._changes: deque[Item | Removed] = deque()

    def reset(self, at: int) -> None:
        """Forget all; what came before a revision is not known one by one."""
        self._changes.clear()
        self.since = at

    def append(self, changes: Iterable[Item | Removed]) -> None:
        """Take changes that are newer than all that are held."""
        self._changes.extend(sorted(changes, key=lambda each: each.revision))
        while len(self._changes) > MAX_RECENT_CHANGES:
            self.since = self._changes.popleft().revision

    def list_after(self, revision: int) -> list[Item | Removed] | None:
        """List the newest change of each key after a revision; nothing where some are forgotten.

        :rtype: list[Item or Removed] or None
        """
        if revision < self.since:
            return None
        newest = {each.key: each for each in self._changes if each.revision > revision}
        return list(newest.values())


class RecentDocuments:
    """The last versions of the operators' document, by version."""

    def __init__(self) -> None:
        self._documents: dict[int, bytes] = {}

    def add(self, version: int, document: bytes) -> None:
        """Keep a version; the oldest go where all are too large together."""
        self._documents[version] = document
        while sum(map(len, self._documents.values())) > MAX_RECENT_DOCUMENTS_BYTES:
            del self._documents[min(self._documents)]

    def find(self, version: int) -> bytes | None:
        """Find a version that is still held."""
        return self._documents.get(version)
