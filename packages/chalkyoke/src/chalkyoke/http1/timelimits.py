"""
chalkyoke.http1.timelimits

How long the body of a request may take to arrive. Performs no I/O.
"""

# Lowest accepted upload rate, in bytes per second. It bounds how long a slow upload occupies a
# connection.
MIN_BODY_BYTES_PER_S = 20_000


class BodyTime:
    """The time for one body: a base, and time for each byte at the lowest accepted rate.

    Where the length is declared, the time for all of its bytes is given at once; else as they come.

    :param now: when the head was complete, in seconds.
    :param base_s: in seconds.
    :param length: declared length in bytes; None if it is unknown.
    """

    __slots__ = ("_ends_at", "_length", "_received")

    def __init__(self, now: float, base_s: float, length: int | None) -> None:
        self._ends_at = now + base_s
        self._length = length
        self._received = 0

    @property
    def ends_at(self) -> float:
        """When the body is late unless more of it comes, in seconds."""
        size = self._received if self._length is None else self._length
        # In whole nanoseconds, as clocks are: a timer for this moment does not fire before it.
        return round(self._ends_at + size / MIN_BODY_BYTES_PER_S, 9)

    def on_received(self, size: int) -> None:
        """Record that a part of the body has come.

        :param size: in bytes, without the framing of chunks.
        """
        self._received += size

    def extend(self, seconds: float) -> None:
        """Add a time in which the caller could not send, as it was not read."""
        self._ends_at += seconds
