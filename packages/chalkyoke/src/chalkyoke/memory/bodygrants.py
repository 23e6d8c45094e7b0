"""
chalkyoke.memory.bodygrants

Grants memory to request bodies of unknown length piece by piece, the oldest first. A body without a
grant is not read. Performs no I/O; time is an argument, in seconds.
"""

from typing import Protocol

from chalkyoke.memory.account import MIN_SHARE_BYTES, SHARE_OF_FREE, MemoryAccount, Purpose
from chalkyoke.memory.receiving import RECEIVE_BUFFER_BYTES

# Bytes that are granted at a time.
PIECE_BYTES = 65_536
# Share of the limit up to which all bodies of unknown length grow. It leaves room for requests
# that state their size.
COMMON_LEVEL = 0.45
# The same for the oldest body that waits, and for the oldest of all: it finds room to end, so that
# bodies that have been read in part don't wait for each other.
FIRST_WAITING_LEVEL = 0.5
OLDEST_LEVEL = 0.75
# Largest part of the limit that one body may use.
MAX_BODY_SHARE = 0.4
# Longest time that a body waits for its pieces, in seconds; then its caller may still have time to
# try another host.
MAX_WAIT_S = 3.0


class BodyReader(Protocol):
    """The connection on which a body arrives."""

    def pause_body(self) -> None:
        """Stop reading the body."""

    def resume_body(self) -> None:
        """Read the body on."""

    def refuse_body(self) -> None:
        """Refuse the request: its body does not fit, or has waited for too long."""


class BodyGrant:
    """The memory that is granted to one body.

    What is granted is charged, or what was received if that is more.

    :ivar granted: in bytes.
    :ivar received: bytes of the body so far.
    :ivar waits_since: when the body began to wait for its next piece; None if it is read.
    :ivar waited_s: how long it waited for earlier pieces, in seconds.
    """

    __slots__ = ("_charge", "_grants", "granted", "reader", "received", "waited_s", "waits_since")

    def __init__(self, grants: "BodyGrants", account: MemoryAccount, reader: BodyReader) -> None:
        self._grants = grants
        self._charge = account.open(Purpose.BODIES_READ)
        self.reader = reader
        self.granted = 0
        self.received = 0
        self.waits_since: float | None = None
        self.waited_s = 0.0

    @property
    def next_size(self) -> int:
        """Size of the body with its next piece, in bytes; the first piece is a small body."""
        if not self.granted:
            return max(MIN_SHARE_BYTES, self.received)
        return max(self.granted, self.received) + PIECE_BYTES

    @property
    def unreserved(self) -> int:
        """Bytes that the next piece would add to the account."""
        return self.next_size - self._charge.size

    def on_received(self, received: int, now: float) -> None:
        """Ask for the next piece if the body has used up what was granted.

        :param received: bytes of the body so far.
        """
        self.received = received
        if received < self.granted:
            return
        self._charge.resize(max(received, self._charge.size))
        self._grants.ask(self, now)

    def total_wait_s(self, now: float) -> float:
        """Return how long the body has waited for its pieces, in seconds."""
        return self.waited_s + (now - self.waits_since if self.waits_since is not None else 0.0)

    def grant(self, now: float) -> None:
        """Charge the next piece."""
        self.waited_s = self.total_wait_s(now)
        self.granted = self.next_size
        self.waits_since = None
        self._charge.resize(self.granted)

    def close(self) -> None:
        """Refund all; a second call has no effect."""
        self._grants.remove(self)
        self._charge.release()


class BodyGrants:
    """The bodies of unknown length that a host reads, in the order in which they came."""

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._open: dict[BodyGrant, None] = {}
        self._waiting: dict[BodyGrant, None] = {}

    @property
    def waiting(self) -> int:
        """Number of bodies that are not read."""
        return len(self._waiting)

    def open(self, reader: BodyReader, now: float) -> BodyGrant:
        """Begin to read a body; the reader may be paused at once."""
        grant = BodyGrant(self, self._account, reader)
        self._open[grant] = None
        self.ask(grant, now)
        return grant

    def remove(self, grant: BodyGrant) -> None:
        """Forget a body that has been read or given up."""
        self._open.pop(grant, None)
        self._waiting.pop(grant, None)

    def ask(self, grant: BodyGrant, now: float) -> None:
        """Grant the next piece of a body, or let it wait or be refused."""
        if grant in self._waiting:
            return
        if self._exceeds_any(grant):
            self._refuse(grant)
        elif self._fits(grant, is_first=False):
            grant.grant(now)
        elif self._waiting and not self._account.admits_waiting(RECEIVE_BUFFER_BYTES):
            self._refuse(grant)
        else:
            grant.waits_since = now
            self._waiting[grant] = None
            grant.reader.pause_body()

    def tick(self, now: float) -> None:
        """Grant pieces to waiting bodies, and refuse those that have waited for too long."""
        is_first = True
        for grant in [each for each in self._open if each in self._waiting]:
            if self._exceeds_any(grant):
                self._refuse(grant)
            elif self._fits(grant, is_first=is_first):
                self._waiting.pop(grant)
                grant.grant(now)
                grant.reader.resume_body()
            elif grant.total_wait_s(now) >= MAX_WAIT_S:
                self._refuse(grant)
            is_first = False

    def _refuse(self, grant: BodyGrant) -> None:
        self.remove(grant)
        grant.reader.refuse_body()

    def _exceeds_any(self, grant: BodyGrant) -> bool:
        """Return whether the body is larger than any may be."""
        limit = self._account.limit_bytes * MAX_BODY_SHARE
        return self._account.is_limited and grant.received > limit

    def _fits(self, grant: BodyGrant, *, is_first: bool) -> bool:
        """Return whether the next piece of a body may be granted.

        :param is_first: whether no older body waits.
        """
        account, added = self._account, grant.unreserved
        if not account.is_limited or added <= 0:
            return True
        total = account.total + added
        is_small = grant.next_size <= MIN_SHARE_BYTES
        if account.refuses_large and not is_small:
            return False
        if is_small or next(iter(self._open)) is grant:
            return total <= account.limit_bytes * OLDEST_LEVEL
        if is_first:
            return total <= account.limit_bytes * FIRST_WAITING_LEVEL
        free = account.limit_bytes * COMMON_LEVEL - account.total
        return grant.next_size <= free * SHARE_OF_FREE
