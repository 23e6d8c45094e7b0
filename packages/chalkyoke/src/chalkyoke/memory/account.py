"""
chalkyoke.memory.account

Counts the bytes that a host buffers, by purpose, and decides from the total what may be buffered in
addition. All totals are counters: no decision walks over connections.
"""

from enum import StrEnum

# Share of the limit up to which responses are buffered for callers that read slowly, and plain
# responses are held back for a repeat. Each slow reader uses some 80 KB even if nothing more is
# buffered for it; the part up to the refusal of bodies has room for several hundred of them.
BUFFER_LEVEL = 0.2
# Share of the limit at which request bodies of the least and of the most urgent rank are refused;
# the other ranks lie between them in equal steps.
LEAST_URGENT_LEVEL = 0.8
MOST_URGENT_LEVEL = 0.95
# Share of the limit, below the level of each rank, that only small bodies may use.
SMALL_BODY_SHARE = 0.1
# Largest part of the bytes that are free below the buffer level that one buffer may hold. The
# share shrinks with each buffer that grows, so that the total approaches the level without
# exceeding it however many buffers there are, and the first ones leave room for others.
SHARE_OF_FREE = 0.25
# Bytes that one buffer may always hold: a few events of a stream, or a usual plain response.
# Smaller values would delay responses that hardly use memory.
MIN_SHARE_BYTES = 16_384
# The same for a body that comes while others use at most this share of the limit: a small host
# would never read a body of the largest size otherwise.
LONE_BODY_SHARE = 0.6
FEW_BODIES_SHARE = 0.05
# Share of the limit up to which requests may wait that are not read meanwhile. It leaves room for
# small requests of any rank.
WAITING_LEVEL = 0.6
# Share of the limit up to which heads that are not complete may grow beyond a usual size.
HEAD_LEVEL = 0.5
# Share of the limit that messages to other hosts may use while they wait to be sent.
LINK_LEVEL = 0.1
# Bytes that the system may receive for one connection before the program reads them: a small share
# of the limit, so that hundreds of paused connections fit, and at least this much. With half of
# it, a response of 200 KB took 54 ms instead of 10 over loopback, whose segments are larger.
MIN_UNREAD_BYTES = 32_768
UNREAD_SHARE = 0.0005


class Purpose(StrEnum):
    """What buffered bytes are for."""

    BODIES_READ = "request_bodies_being_read"
    BODIES_KEPT = "request_bodies_kept"
    RESPONSES_RETAINED = "plain_responses_retained"
    RESPONSES_SENT = "responses_in_transit"
    UNREAD = "responses_unread"
    LINKS = "link_queues"
    TUNNELS = "tunnels"


class MemoryAccount:
    """Counts buffered bytes against a limit.

    :param limit_bytes: largest total, in bytes; 0 for no limit. It may be changed at any time.
    :ivar total: number of buffered bytes.
    :ivar peak: the largest total so far, in bytes.
    :ivar is_nearly_full: whether the process has nearly reached the memory of its host.

    Usage::

      >>> account = MemoryAccount(1_000_000)
      >>> charge = account.open(Purpose.BODIES_READ)
      >>> charge.resize(400_000)
      >>> account.total
      400000
      >>> charge.release()
    """

    def __init__(self, limit_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self.total = 0
        self.peak = 0
        self.is_nearly_full = False
        self.by_purpose = dict.fromkeys(Purpose, 0)

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.limit_bytes > 0

    @property
    def is_exceeded(self) -> bool:
        """Whether the total has reached the limit."""
        return self.is_limited and self.total >= self.limit_bytes

    @property
    def is_scarce(self) -> bool:
        """Whether requests of the least urgent rank are refused."""
        return self.is_limited and self.total >= self.limit_bytes * LEAST_URGENT_LEVEL

    @property
    def refuses_large(self) -> bool:
        """Whether no large body is read, since the process has nearly used up its host's memory.

        While little is buffered, most of that memory is free for new buffers.
        """
        return self.is_nearly_full and self.total >= self.limit_bytes * BUFFER_LEVEL

    @property
    def share(self) -> int:
        """Bytes that one buffer may hold at present; only meaningful with a limit."""
        free = self.limit_bytes * BUFFER_LEVEL - self.total
        return max(MIN_SHARE_BYTES, int(free * SHARE_OF_FREE))

    @property
    def withheld_share(self) -> int:
        """Bytes of a response that one request may hold back if it can't be forwarded in part.

        It is larger than :attr:`share`, because such a response makes no progress at all meanwhile.
        Only meaningful with a limit.
        """
        free = self.limit_bytes * LEAST_URGENT_LEVEL - self.total
        return max(MIN_SHARE_BYTES, int(free * SHARE_OF_FREE))

    @property
    def unread_bound(self) -> int:
        """Bytes that the system may receive for one connection before the program reads them."""
        return max(MIN_UNREAD_BYTES, int(self.limit_bytes * UNREAD_SHARE))

    @property
    def link_share(self) -> int:
        """Bytes that the queue of one link may hold at present; only meaningful with a limit."""
        free = self.limit_bytes * LINK_LEVEL - self.by_purpose[Purpose.LINKS]
        return max(MIN_SHARE_BYTES, int(free * SHARE_OF_FREE))

    def admits_more_head(self, size: int) -> bool:
        """Return whether a head that is not complete may go on.

        :param size: bytes of memory that it uses.
        """
        if not self.is_limited:
            return True
        if size <= MIN_SHARE_BYTES:
            return not self.is_exceeded
        return size <= (self.limit_bytes * HEAD_LEVEL - self.total) * SHARE_OF_FREE

    def admits_waiting(self, size: int) -> bool:
        """Return whether a request may wait to be read on.

        :param size: bytes that are held for it meanwhile, in the program and in the system.
        """
        return not self.is_limited or self.total + size <= self.limit_bytes * WAITING_LEVEL

    def admits_any(self, length: int) -> bool:
        """Return whether a request of any rank may be read; parameters as for :meth:`admits`."""
        return self.admits(length, 0.0)

    def admits(self, length: int, urgency: float) -> bool:
        """Return whether a request may be read.

        :param length: declared length of its body in bytes; 1 if it is unknown, 0 without a body.
            A request without a body is refused at the limit itself, whatever its rank.
        :param urgency: position of its rank among all ranks, from 0 for the least urgent to 1.
        """
        if not self.is_limited:
            return True
        if not length:
            return not self.is_exceeded
        level = LEAST_URGENT_LEVEL + urgency * (MOST_URGENT_LEVEL - LEAST_URGENT_LEVEL)
        return self._fits(length, level)

    def _fits(self, length: int, level: float) -> bool:
        """Return whether a body fits below a level; a large one leaves room for small ones."""
        if length <= MIN_SHARE_BYTES:
            return length <= self.limit_bytes * level - self.total
        if self.refuses_large:
            return False
        free = self.limit_bytes * (level - SMALL_BODY_SHARE) - self.total
        share = LONE_BODY_SHARE if self._has_few_bodies else SHARE_OF_FREE
        return length <= free * share

    @property
    def _has_few_bodies(self) -> bool:
        bodies = self.by_purpose[Purpose.BODIES_READ] + self.by_purpose[Purpose.BODIES_KEPT]
        return bodies <= self.limit_bytes * FEW_BODIES_SHARE

    def open(self, purpose: Purpose) -> "Charge":
        """Open a charge of 0 bytes for one buffer."""
        return Charge(self, purpose)

    def add(self, purpose: Purpose, difference: int) -> None:
        """Add bytes to a purpose, or take them away if the number is negative."""
        self.total += difference
        if self.total > self.peak:
            self.peak = self.total
        self.by_purpose[purpose] += difference


class Charge:
    """The bytes that one buffer holds.

    :ivar size: number of bytes that are charged.
    """

    __slots__ = ("_account", "_purpose", "size")

    def __init__(self, account: MemoryAccount, purpose: Purpose) -> None:
        self._account = account
        self._purpose = purpose
        self.size = 0

    def resize(self, size: int) -> None:
        """Charge the present size of the buffer, in bytes."""
        if size == self.size:
            return
        self._account.add(self._purpose, size - self.size)
        self.size = size

    def release(self) -> None:
        """Refund all bytes; a second call has no effect."""
        self.resize(0)

    def move(self, purpose: Purpose) -> None:
        """Charge the same bytes to another purpose."""
        size = self.size
        self.resize(0)
        self._purpose = purpose
        self.resize(size)
