"""
chalkyoke.clock

A hybrid logical clock: timestamps that stay close to wall time and order a cause before its effect
across processes. Source: Kulkarni et al., "Logical Physical Clocks", 2014.
"""

from typing import NamedTuple

# Largest lead of a received timestamp over local wall time, in milliseconds.
MAX_DRIFT_MS = 60_000


class Stamp(NamedTuple):
    """A timestamp: wall time in milliseconds, and a counter that breaks ties."""

    wall_ms: int
    logical: int


class HybridClock:
    """Issue strictly increasing timestamps that also follow those of received messages."""

    def __init__(self) -> None:
        self._last = Stamp(0, 0)

    def tick(self, wall_ms: int) -> Stamp:
        """Return the timestamp of a local event.

        :param wall_ms: wall time now, in milliseconds.
        :return: a timestamp greater than every one issued or observed before.
        """
        if wall_ms > self._last.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.logical + 1)
        return self._last

    def observe(self, other: Stamp, wall_ms: int) -> None:
        """Advance the clock to the timestamp of a received message.

        :param other: the sender's timestamp; one that is more than :data:`MAX_DRIFT_MS` ahead is
            ignored, so that one host with a wrong clock does not advance all others.
        :param wall_ms: wall time now, in milliseconds.
        """
        if other.wall_ms > wall_ms + MAX_DRIFT_MS:
            return
        if other > self._last:
            self._last = other
