"""
chalkyoke.links.keepalive

Find out that a link has gone silent: the listener confirms what it took, and a caller whose
messages stay unconfirmed for too long makes the link anew. The system's own time-outs see neither
a peer that takes bytes and reads nothing, nor a way on which bytes are lost behind it.
"""

# How often a node looks for links that went silent, in seconds: a heartbeat.
KEEP_S = 0.25
# A listener confirms at each so many looks what it took. One confirmation is some 80 bytes on
# the wire: 170 bytes a second for each link that is in use, 8 kB a second with 49 peers.
CONFIRM_LOOKS = 2
# How long messages may stay unconfirmed, in seconds: twice the time between two confirmations, and
# together with a look less than the heartbeats whose absence means that a peer is lost.
SILENT_S = 1.0
# After so long without a message a listener drops a link, in seconds: its caller may be gone
# without a word. A caller that lives makes the link anew with its next message.
UNUSED_S = 120.0


class Unconfirmed:
    """What a caller has sent and the listener has not confirmed yet."""

    def __init__(self) -> None:
        self.sent = 0
        self._confirmed = 0
        self._since = 0.0

    @property
    def count(self) -> int:
        """How many messages are unconfirmed."""
        return self.sent - self._confirmed

    def note_sent(self, now: float) -> None:
        """Note that a message was sent.

        :param now: seconds on a steady clock.
        """
        if not self.count:
            self._since = now
        self.sent += 1

    def note_confirmed(self, count: int, now: float) -> None:
        """Note how many messages the listener has taken; what is on its way counts from now."""
        if self._confirmed < count <= self.sent:
            self._confirmed, self._since = count, now

    def is_silent(self, now: float) -> bool:
        """Tell whether the listener has been silent for too long."""
        return self.count > 0 and now - self._since > SILENT_S


class Receipts:
    """What a listener has taken on one link.

    :param now: seconds on a steady clock.
    """

    def __init__(self, now: float) -> None:
        self._taken = 0
        self._told = 0
        self._at = now

    def note_taken(self, now: float) -> None:
        """Note that a message came in."""
        self._taken += 1
        self._at = now

    def due(self) -> int | None:
        """Give what is to be confirmed now; nothing where nothing came since.

        :rtype: int or None
        """
        if self._told == self._taken:
            return None
        self._told = self._taken
        return self._taken

    def is_unused(self, now: float) -> bool:
        """Tell whether nothing has come for so long that the caller may be gone."""
        return now - self._at > UNUSED_S
