"""
chalkyoke.links.keepalive

Detection of links that have stopped working: the listener confirms received messages, and a caller
whose messages stay unconfirmed for too long reopens the link. The system's own timeouts detect
neither a peer that accepts bytes without reading them, nor a path that acknowledges bytes and then
loses them.
"""

# Interval at which a node checks for silent links, in seconds: one heartbeat interval.
KEEPALIVE_INTERVAL_S = 0.25
# Minimum interval of confirmations, in seconds.
MIN_CONFIRM_INTERVAL_S = 0.5
# Interval of confirmations, in heartbeat intervals; it applies with sparse heartbeats, where it is
# longer than the minimum.
CONFIRM_HEARTBEAT_INTERVALS = 1.45
# Time for which messages may stay unconfirmed, in confirmation intervals. Together with the
# interval of checks it is shorter than the time without heartbeats after which a peer is lost.
SILENT_CONFIRM_INTERVALS = 2.0
# Assumed confirmation interval until the listener has announced its own, in seconds: the interval
# for the sparsest heartbeats.
MAX_CONFIRM_INTERVAL_S = 1.45
# Time without a message after which a listener closes a link, in seconds, because the caller may
# have disappeared. A live caller reopens the link with its next message.
IDLE_TIMEOUT_S = 120.0


def confirm_interval_s(heartbeat_spacing_s: float) -> float:
    """Return the interval of a listener's confirmations, by its peers' heartbeat interval.

    :return: the interval in seconds.
    """
    return max(MIN_CONFIRM_INTERVAL_S, CONFIRM_HEARTBEAT_INTERVALS * heartbeat_spacing_s)


class Unconfirmed:
    """Track the messages that a caller has sent and the listener has not confirmed yet."""

    def __init__(self) -> None:
        self.sent = 0
        self._confirmed = 0
        self._unconfirmed_since_s = 0.0
        self._confirm_interval_s = MAX_CONFIRM_INTERVAL_S

    @property
    def count(self) -> int:
        """Number of unconfirmed messages."""
        return self.sent - self._confirmed

    def note_sent(self, now: float) -> None:
        """Record that a message was sent.

        :param now: seconds on a monotonic clock.
        """
        if not self.count:
            self._unconfirmed_since_s = now
        self.sent += 1

    def note_confirmed(self, count: int, every_s: float, now: float) -> None:
        """Record a confirmation; messages in transit count as unconfirmed from now on.

        :param count: number of messages that the listener has received on this link.
        :param every_s: interval of the listener's confirmations, in seconds.
        """
        self._confirm_interval_s = every_s
        if self._confirmed < count <= self.sent:
            self._confirmed, self._unconfirmed_since_s = count, now

    def is_silent(self, now: float) -> bool:
        """Return whether messages have been unconfirmed for too long."""
        return (
            self.count > 0
            and now - self._unconfirmed_since_s
            > SILENT_CONFIRM_INTERVALS * self._confirm_interval_s
        )


class Receipts:
    """Count the messages that a listener has received on one link.

    :param now: seconds on a monotonic clock.
    """

    def __init__(self, now: float) -> None:
        self._received_count = 0
        self._confirmed_count = 0
        self._last_received_s = now

    def note_received(self, now: float) -> None:
        """Record that a message was received."""
        self._received_count += 1
        self._last_received_s = now

    def next_confirmation(self) -> int | None:
        """Return the count to confirm now, or None if no message has arrived since the last one.

        :rtype: int or None
        """
        if self._confirmed_count == self._received_count:
            return None
        self._confirmed_count = self._received_count
        return self._received_count

    def is_idle(self, now: float) -> bool:
        """Return whether the link has been idle so long that the caller may be gone."""
        return now - self._last_received_s > IDLE_TIMEOUT_S
