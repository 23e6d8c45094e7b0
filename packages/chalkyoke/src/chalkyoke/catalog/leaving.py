"""
chalkyoke.catalog.leaving

Starts of replicas that have said in their answers that they leave. Their records may say so later
or, while the store is silent, not at all; nothing undoes it but a new start.
"""

from collections.abc import Container

# How long it is remembered of a replica that is not listed, in seconds: far beyond the time for
# which a leaving replica serves on; a record that lapsed with the store may come back meanwhile.
KEPT_S = 600.0
# Starts that are remembered at most, in number; 0.2 MB. The oldest go first.
MOST_KEPT = 2_000


class LeavingStarts:
    """Remember who leaves, by the id of a start."""

    def __init__(self) -> None:
        self._known: dict[str, float] = {}

    def __contains__(self, start: str) -> bool:
        return start in self._known

    def note(self, start: str, now: float) -> bool:
        """Note that a start of a replica leaves.

        :return: whether that is new.
        """
        is_new = start not in self._known
        self._known[start] = now
        if len(self._known) > MOST_KEPT:
            del self._known[next(iter(self._known))]
        return is_new

    def forget(self, listed: Container[str], now: float) -> None:
        """Drop what is over: starts that have not been listed for long."""
        for start, known_at in list(self._known.items()):
            if start in listed:
                self._known[start] = now
            elif now - known_at > KEPT_S:
                del self._known[start]
