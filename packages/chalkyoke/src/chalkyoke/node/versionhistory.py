"""
chalkyoke.node.versionhistory

The software versions that the replicas of a service have run in the recent past.
"""

import math
from collections.abc import Callable

from chalkyoke.catalog.keeper import REMOVED_REPLICA_TTL_S
from chalkyoke.catalog.state import CatalogState
from chalkyoke.resumption.messages import VersionHistory


class VersionHistories:
    """Derive version histories from the replica records and from those removed lately.

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
        self._complete_since: float | None = None

    def catalog_changed(self) -> None:
        """Note when the records are complete for the first time."""
        if self._complete_since is None and self._state.complete:
            self._complete_since = self._now()

    def of_service(self, service: str) -> VersionHistory:
        """Return the version history of a service.

        :rtype: VersionHistory
        """
        if self._complete_since is None:
            return VersionHistory()
        listed = [
            *self._state.replicas.values(),
            *(each.replica for each in self._state.removed_replicas.values()),
        ]
        versions = {each.version for each in listed if each.service == service}
        known_s = math.inf if self._first_start else self._now() - self._complete_since
        covers_s = min(REMOVED_REPLICA_TTL_S, known_s)
        return VersionHistory(tuple(sorted(versions)), covers_s)
