"""
chalkyoke.memory.stopped

Chooses the buffers to release when memory is scarce: those whose readers have stopped, the largest
first.
"""

from collections.abc import Iterable
from typing import Protocol, TypeVar

# Time in which a reader has taken no byte after which it counts as stopped, in seconds. It is
# longer than the deadlines of callers, so that only responses that are late for certain are
# released. A slow reader may seem to stop for seconds, because its system announces free space in
# large steps.
STOPPED_AFTER_S = 20.0


class SendBuffer(Protocol):
    """A buffer of bytes that a reader has not taken yet."""

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes in the buffer."""

    @property
    def progress_at(self) -> float:
        """When the reader last took a byte, in seconds."""


B = TypeVar("B", bound=SendBuffer)


def stopped_by_size(buffers: Iterable[B], now: float) -> list[B]:
    """Return the buffers whose readers have stopped, the largest first.

    :param now: on the clock of ``progress_at``, in seconds.
    """
    stopped = [each for each in buffers if now - each.progress_at >= STOPPED_AFTER_S]
    return sorted(stopped, key=lambda each: each.unsent_bytes, reverse=True)
