"""
chalkyoke.links.keepalive

Find out that a link has gone silent: the listener confirms what it took, and a caller whose
messages stay unconfirmed for too long makes the link anew. The system's own time-outs see neither
a peer that takes bytes and reads nothing, nor a way on which bytes are lost behind it.
"""

# How often a node looks for links that went silent, in seconds: a heartbeat.
KEEPALIVE_INTERVAL_S = 0.25
# A listener confirms what it took each half second, and where heartbeats are sparse after so many
# of their spaces.
MIN_CONFIRM_INTERVAL_S = 0.5
CONFIRM_HEARTBEATS = 1.45
# How long messages may stay unconfirmed, in times between two confirmations. Together with a look
# that is less than the heartbeats whose absence means that a peer is lost.
SILENT_CONFIRM_INTERVALS = 2.0
# What a listener is taken to need for a confirmation before it has told, in seconds: with the
# sparsest heartbeats.
MAX_CONFIRM_INTERVAL_S = 1.45
# After so long without a message a listener drops a link, in seconds: its caller may be gone
# without a word. A caller that lives makes the link anew with its next message.
IDLE_TIMEOUT_S = 120.0


def confirm_interval_s(heartbeat_spacing_s: float) -> float:
    """Tell how often a listener confirms, by how often its peers send at least.

    :return: seconds.
    """
    return max(MIN_CONFIRM_INTERVAL_S, CONFIRM_HEARTBEATS * heartbeat_spacing_s)


class Unconfirmed:
    """What a caller has sent and the listener has not confirmed yet."""

    def __init__(self) -> None:
        self.sent = 0
        self._confirmed = 0
        self._unconfirmed_since_s = 0.0
        self._confirm_interval_s = MAX_CONFIRM_INTERVAL_S

    @property
    def count(self) -> int:
        """How many messages are unconfirmed."""
        return self.sent - self._confirmed

    def note_sent(self, now: float) -> None:
        """Note that a message was sent.

        :param now: seconds on a steady clock.
        """
        if not self.count:
            self._unconfirmed_since_s = now
        self.sent += 1

    def note_confirmed(self, count: int, every_s: float, now: float) -> None:
        """Note how many messages the listener has taken; what is on its way counts from now.

        :param every_s: how often the listener confirms, in seconds.
        """
        self._confirm_interval_s = every_s
        if self._confirmed < count <= self.sent:
            self._confirmed, self._unconfirmed_since_s = count, now

    def is_silent(self, now: float) -> bool:
        """Tell whether the listener has been silent for too long."""
        return (
            self.count > 0
            and now - self._unconfirmed_since_s
            > SILENT_CONFIRM_INTERVALS * self._confirm_interval_s
        )


class Receipts:
    """What a listener has taken on one link.

    :param now: seconds on a steady clock.
    """

    def __init__(self, now: float) -> None:
        self._received_count = 0
        self._confirmed_count = 0
        self._last_received_s = now

    def note_received(self, now: float) -> None:
        """Note that a message came in."""
        self._received_count += 1
        self._last_received_s = now

    def next_confirmation(self) -> int | None:
        """Give what is to be confirmed now; nothing where nothing came since.

        :rtype: int or None
        """
        if self._confirmed_count == self._received_count:
            return None
        self._confirmed_count = self._received_count
        return self._received_count

    def is_idle(self, now: float) -> bool:
        """Tell whether nothing has come for so long that the caller may be gone."""
        return now - self._last_received_s > IDLE_TIMEOUT_S
