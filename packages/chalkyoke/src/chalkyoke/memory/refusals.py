"""
chalkyoke.memory.refusals

Finds out when a host begins to refuse requests for lack of memory, and when it stops. Time is an
argument, in seconds.
"""

import msgspec

# Time without a refusal after which a host no longer refuses, in seconds.
QUIET_S = 5.0


class RefusalsEnded(msgspec.Struct, frozen=True):
    """A time in which requests were refused.

    :param refused: number of refused requests.
    :param lasted_s: time from the first to the last one, in seconds.
    """

    refused: int
    lasted_s: float


class Refusals:
    """The refusals of a host that follow each other within :data:`QUIET_S`."""

    def __init__(self) -> None:
        self._refused = 0
        self._first_at = 0.0
        self._last_at = 0.0

    def on_refused(self, now: float) -> bool:
        """Count a refusal.

        :return: whether it is the first one.
        """
        if not self._refused:
            self._first_at = now
        self._last_at = now
        self._refused += 1
        return self._refused == 1

    def on_tick(self, now: float) -> RefusalsEnded | None:
        """Return the refusals that have ended, once."""
        if not self._refused or now - self._last_at < QUIET_S:
            return None
        ended = RefusalsEnded(self._refused, self._last_at - self._first_at)
        self._refused = 0
        return ended
