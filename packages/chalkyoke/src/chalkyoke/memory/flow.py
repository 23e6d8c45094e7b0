"""
chalkyoke.memory.flow

Decides when the response of one replica is read while its caller reads slowly, or while too much of
it is held back. Time is an argument, in seconds.
"""

from chalkyoke.memory.account import MemoryAccount

# Time without reading after which a response is read although its caller does not take it, in
# seconds. Replicas abort a response that stays unread for some seconds; larger values risk that,
# smaller ones buffer in the host what a caller would have taken a moment later.
RESUME_AFTER_S = 1.0
# Interval at which a response that the account allows no further bytes is considered again, in
# seconds.
CHECK_INTERVAL_S = 0.25


class ResponseFlow:
    """Whether the response of one replica is read.

    :ivar is_paused: whether reading is paused.
    """

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._caller_can_read = True
        self._paused_at = 0.0
        self.is_paused = False

    def set_caller_can_read(self, can_read: bool, now: float) -> None:
        """Follow the state of the caller's send buffer."""
        self._caller_can_read = can_read
        if can_read:
            self.is_paused = False
        else:
            self._pause(now)

    def on_received(self, retained_bytes: int, unsent_bytes: int, now: float) -> None:
        """Pause if the response has used up its share of the account.

        :param retained_bytes: bytes of the response that are held back for a repeat.
        :param unsent_bytes: bytes of the response that the caller has not taken yet.
        """
        unsent = 0 if self._caller_can_read else unsent_bytes
        if not self.is_paused and retained_bytes + unsent > self._share:
            self._pause(now)

    def on_check(self, held_bytes: int, now: float) -> None:
        """Resume if reading was paused for long enough and the account allows it.

        :param held_bytes: bytes of the response that the host holds.
        """
        if not self.is_paused or not self._account.is_limited:
            return
        waited_enough = self._caller_can_read or now - self._paused_at >= RESUME_AFTER_S
        if waited_enough and held_bytes < self._share:
            self.is_paused = False

    def on_response_ended(self) -> None:
        """Forget a pause that was for the bytes held back of this response."""
        if self._caller_can_read:
            self.is_paused = False

    @property
    def _share(self) -> int:
        """Bytes of the response that the host may hold at present.

        If the caller reads, they are held back, and only the end of the response releases them.
        """
        return self._account.withheld_share if self._caller_can_read else self._account.share

    def _pause(self, now: float) -> None:
        if not self.is_paused:
            self._paused_at = now
        self.is_paused = True
