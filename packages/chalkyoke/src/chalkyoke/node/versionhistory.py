"""
chalkyoke.node.versionhistory

The software versions that the replicas of a service have run in the recent past.
"""

import math
from collections.abc import Callable

from chalkyoke.catalog.state import CatalogState
from chalkyoke.resumption.messages import VersionHistory

# How far a history reaches back at most, in seconds: longer than a caller may resume a stream on
# any route in use.
MAX_HISTORY_S = 600.0
# Maximum number of versions that have left and are remembered. Their names are foreign input.
MAX_LEFT_VERSIONS = 1_000
# Maximum number of versions in a history. Two are as undecided as all.
MAX_LISTED_VERSIONS = 8


class VersionHistories:
    """Remember which versions of which services had a replica, and until when.

    Whatever ends a replica's version counts as its end now, so the history does not depend on how
    the node learns of it: a removal, another start or another version under the same id, a record
    that can't be read, or a snapshot that lacks it.

    :param now: the node's clock, in seconds.
    :param first_start: whether the whole fleet starts for the first time, so that no stream can be
        older than this node.
    """

    def __init__(
        self, state: CatalogState, now: Callable[[], float], *, first_start: bool = False
    ) -> None:
        self._state = state
        self._now = now
        self._first_start = first_start
        self._known_since: float | None = None
        self._listed: set[tuple[str, str]] = set()
        self._left: dict[tuple[str, str], float] = {}

    def catalog_changed(self) -> None:
        """Note the versions that have appeared or left."""
        now = self._now()
        if self._known_since is None:
            if not self._state.complete:
                return
            self._known_since = -math.inf if self._first_start else now
        listed = {(each.service, each.version) for each in self._state.replicas.values()}
        for each in self._listed - listed:
            # The latest to leave are last.
            self._left.pop(each, None)
            self._left[each] = now
        self._listed = listed
        self._forget_oldest(now)

    def of_service(self, service: str, age_s: float) -> VersionHistory:
        """Return the version history of a service.

        :param age_s: how far back the versions are listed, in seconds.
        :rtype: VersionHistory
        """
        if self._known_since is None:
            return VersionHistory()
        now = self._now()
        recent = {each for each, left_at in self._left.items() if now - left_at <= age_s}
        versions = {version for name, version in self._listed | recent if name == service}
        covers_s = min(MAX_HISTORY_S, now - self._known_since)
        return VersionHistory(tuple(sorted(versions)[:MAX_LISTED_VERSIONS]), covers_s)

    def _forget_oldest(self, now: float) -> None:
        """Forget versions that left long ago, or the first to leave if there are too many."""
        for each, left_at in list(self._left.items()):
            is_old = now - left_at > MAX_HISTORY_S
            if not is_old and len(self._left) <= MAX_LEFT_VERSIONS:
                return
            del self._left[each]
            if not is_old and self._known_since is not None:
                self._known_since = max(self._known_since, left_at)
