"""
chalkyoke.catalog.recent

The latest changes, from which deltas for lagging peers are built.
"""

from collections import deque
from collections.abc import Iterable

from chalkyoke.storage.messages import Item, Removed

# Maximum number of record changes that are kept, about 0.3 MB. It covers a release in which all
# 1,300 replicas change within the few seconds for which a peer may be unreachable.
MAX_RECENT_CHANGES = 1500
# Maximum total size of the document versions that are kept, in bytes: four versions with 1,400
# routes. Peers lag by one or two versions.
MAX_RECENT_DOCUMENTS_BYTES = 1_500_000


class RecentChanges:
    """The latest changes of the records, in the order of their revisions.

    :ivar since: all changes after this revision are available.
    """

    def __init__(self) -> None:
        self.since = 0
        self._changes: deque[Item | Removed] = deque()

    def reset(self, at: int) -> None:
        """Drop all changes; only changes after the given revision will be available."""
        self._changes.clear()
        self.since = at

    def append(self, changes: Iterable[Item | Removed]) -> None:
        """Append changes that are newer than all present ones; drop the oldest above the limit."""
        self._changes.extend(sorted(changes, key=lambda each: each.revision))
        while len(self._changes) > MAX_RECENT_CHANGES:
            self.since = self._changes.popleft().revision

    def list_after(self, revision: int) -> list[Item | Removed] | None:
        """List the latest change of each key after a revision; None if some were dropped.

        :rtype: list[Item or Removed] or None
        """
        if revision < self.since:
            return None
        newest = {each.key: each for each in self._changes if each.revision > revision}
        return list(newest.values())


class RecentDocuments:
    """The latest versions of the operators' document."""

    def __init__(self) -> None:
        self._documents: dict[int, bytes] = {}

    def add(self, version: int, document: bytes) -> None:
        """Add a version; drop the oldest versions while the total size exceeds the limit."""
        self._documents[version] = document
        while sum(map(len, self._documents.values())) > MAX_RECENT_DOCUMENTS_BYTES:
            del self._documents[min(self._documents)]

    def find(self, version: int) -> bytes | None:
        """Return a version of the document; None if it is not available any more."""
        return self._documents.get(version)
