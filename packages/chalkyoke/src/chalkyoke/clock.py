"""
chalkyoke.clock

A hybrid logical clock: stamps that stay close to wall time and order a cause before its effect
across processes. Source: Kulkarni et al., "Logical Physical Clocks", 2014.
"""

from typing import NamedTuple

MAX_DRIFT_MS = 60_000


class Stamp(NamedTuple):
    """One moment: wall time in milliseconds, and a counter that breaks ties."""

    wall_ms: int
    logical: int


class HybridClock:
    """Issue stamps that only grow, and learn from the stamps of others."""

    def __init__(self) -> None:
        self._last = Stamp(0, 0)

    def tick(self, wall_ms: int) -> Stamp:
        """Stamp a local event.

        :param wall_ms: wall time now, in milliseconds.
        :return: a stamp greater than every stamp issued or observed before.
        """
        if wall_ms > self._last.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.logical + 1)
        return self._last

    def observe(self, other: Stamp, wall_ms: int) -> None:
        """Learn a stamp that came with a message.

        :param other: the sender's stamp; one that is more than :data:`MAX_DRIFT_MS` ahead is
            ignored, so that one host with a wrong clock does not move all others.
        :param wall_ms: wall time now, in milliseconds.
        """
        if other.wall_ms > wall_ms + MAX_DRIFT_MS:
            return
        if other > self._last:
            self._last = other
