"""
chalkyoke.quotas.snapshotcalls

The calls to the store that keep an owner's snapshots: when each is due, and what its answer means.
The calls are made elsewhere (``node.quotasnapshots``).

A key belongs to one process, so its value is never overwritten by a later process of the same host
before other owners have read it. Each write is conditional on the revision of the one before: a
write whose answer was lost can't be applied after a later one.
"""

import math

import msgspec

from chalkyoke.quotas.bucket import Bucket
from chalkyoke.quotas.growth import VALUE_TTL_S
from chalkyoke.quotas.ownersnapshots import Due, OwnerSnapshots
from chalkyoke.quotas.snapshots import read_values
from chalkyoke.storage.messages import (
    Conflict,
    LeaseGone,
    LeaseGranted,
    Listing,
    Unavailable,
    Written,
)

# Interval between renewals of the lease of a value, in seconds: a lost renewal doesn't expire it.
RENEWAL_INTERVAL_S = VALUE_TTL_S / 4
# Highest rate of writes of all owners together, per second: a quarter of what the store accepts.
MAX_FLEET_WRITES_PER_S = 300.0
# Number of writes that one owner may make at once, for a ramp after a time of few writes.
WRITE_BURST = 4.0
# Backoff after a failed call, in seconds: doubled with each failure, up to the maximum.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
# Time for which a new owner waits for hand-offs before it reads snapshots, in seconds: a round trip
# between failure domains.
SURVEY_WAIT_S = 0.01


class GrantLease(msgspec.Struct, frozen=True):
    """Request a lease of :data:`VALUE_TTL_S` for the owner's value."""


class RenewLease(msgspec.Struct, frozen=True):
    """Renew the lease of the owner's value."""

    lease: int


class WriteValue(msgspec.Struct, frozen=True):
    """Write the owner's value.

    :param number: number of the write.
    :param epoch: epoch of the store in the value.
    :param expected: revision that the key must have; 0 if it must not exist.
    """

    number: int
    value: bytes
    lease: int
    epoch: int
    expected: int


class ReadBack(msgspec.Struct, frozen=True):
    """Read the owner's own value, since it is not known which write was applied."""


class ReadAll(msgspec.Struct, frozen=True):
    """Read the values of all owners, for teams whose spending is not known."""

    teams: tuple[str, ...]


StoreCall = GrantLease | RenewLease | WriteValue | ReadBack | ReadAll
StoreAnswer = Written | Conflict | LeaseGone | LeaseGranted | Listing | Unavailable


class _Backoff(msgspec.Struct):
    until: float = 0.0
    failures: int = 0

    def fail(self, now: float) -> None:
        self.until = now + min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(self.failures, 6))
        self.failures += 1

    def succeed(self) -> None:
        self.until, self.failures = 0.0, 0


class SnapshotCalls:
    """Decide which calls to the store are due. Of each kind, one call is made at a time.

    :param key: the key of this process.
    :ivar resumed: teams whose windows the last read resumed.
    """

    def __init__(self, snapshots: OwnerSnapshots, key: str) -> None:
        self._snapshots = snapshots
        self._key = key
        self._lease: LeaseGranted | None = None
        self._renewed_at = 0.0
        self._revision: int | None = 0
        self._unresolved: WriteValue | None = None
        self._repeat = False
        self._budget = Bucket(MAX_FLEET_WRITES_PER_S, WRITE_BURST, WRITE_BURST, 0.0)
        self._writes, self._reads, self._renewals = _Backoff(), _Backoff(), _Backoff()
        self._unread_since = math.inf
        self.resumed: list[str] = []

    @property
    def failing(self) -> bool:
        """Whether the last write or read has failed, so that waiting for the next is no use."""
        return bool(self._writes.failures or self._reads.failures)

    def next_write(self, writers: int, now: float) -> GrantLease | WriteValue | ReadBack | None:
        """Return the call that the next write needs now; None if no write is due.

        :param writers: number of owners that may write.
        """
        if now < self._writes.until:
            return None
        if self._revision is None:
            return ReadBack()
        if self._lease is None and self._snapshots.unread_teams():
            # The lease is granted while the snapshots are read.
            return GrantLease()
        if self._snapshots.due(now) is Due.NOT and not self._repeat:
            return None
        self._repeat = True
        if self._lease is None:
            return GrantLease()
        self._budget.reconfigure(MAX_FLEET_WRITES_PER_S / max(1, writers), WRITE_BURST, now)
        if not self._budget.try_consume(1.0, now):
            return None
        self._repeat = False
        built = self._snapshots.build(self._lease.epoch, now)
        lease = self._lease
        return WriteValue(built.number, built.value, lease.lease, lease.epoch, self._revision)

    def next_renewal(self, now: float) -> RenewLease | None:
        """Return the renewal that is due now."""
        if self._lease is None or not self._snapshots.has_value or now < self._renewals.until:
            return None
        if now - self._renewed_at < RENEWAL_INTERVAL_S:
            return None
        return RenewLease(self._lease.lease)

    def next_read(self, now: float) -> ReadAll | None:
        """Return the read that is due now: a moment after no survey has answered."""
        teams = self._snapshots.unread_teams()
        if not teams:
            self._unread_since = math.inf
            return None
        self._unread_since = min(self._unread_since, now)
        if now < max(self._reads.until, self._unread_since + SURVEY_WAIT_S):
            return None
        return ReadAll(tuple(teams))

    def apply(self, call: StoreCall, answer: StoreAnswer, now: float) -> None:
        """Apply the answer to a call."""
        if isinstance(call, ReadAll):
            self._apply_read(call, answer, now)
        elif isinstance(call, RenewLease):
            self._apply_renewal(call, answer, now)
        elif isinstance(call, ReadBack):
            self._apply_read_back(answer, now)
        elif isinstance(call, WriteValue):
            self._apply_write(call, answer, now)
        else:
            self._apply_grant(answer, now)
        self._snapshots.store_failing = self.failing

    def store_restored(self, epoch: int) -> None:
        """Write again after a restore of the store; readers ignore values of an earlier epoch."""
        if self._lease is not None and epoch > self._lease.epoch:
            self._lose_value()

    def _apply_grant(self, answer: StoreAnswer, now: float) -> None:
        if not isinstance(answer, LeaseGranted):
            self._writes.fail(now)
            return
        self._lease, self._renewed_at = answer, now

    def _apply_renewal(self, call: RenewLease, answer: StoreAnswer, now: float) -> None:
        if self._lease is None or self._lease.lease != call.lease:
            return
        if isinstance(answer, LeaseGranted) and answer.epoch == self._lease.epoch:
            self._renewed_at = now
            self._renewals.succeed()
        elif isinstance(answer, LeaseGone | LeaseGranted):
            self._lose_value()
        else:
            self._renewals.fail(now)

    def _apply_write(self, call: WriteValue, answer: StoreAnswer, now: float) -> None:
        if self._lease is None or self._lease.lease != call.lease:
            # The lease was lost meanwhile, and the value with it.
            self._repeat = True
            return
        if isinstance(answer, Written) and answer.epoch == call.epoch:
            self._revision = answer.revision
            self._snapshots.acknowledged(call.number)
            self._writes.succeed()
            return
        self._repeat = True
        if isinstance(answer, LeaseGone | Written):
            self._lose_value()
            return
        if isinstance(answer, Unavailable):
            self._writes.fail(now)
        if isinstance(answer, Unavailable) and answer.may_have_been_applied:
            self._revision, self._unresolved = None, call
            return
        self._snapshots.not_applied(call.number)
        if isinstance(answer, Conflict):
            self._revision = None

    def _apply_read_back(self, answer: StoreAnswer, now: float) -> None:
        if not isinstance(answer, Listing):
            self._writes.fail(now)
            return
        self._writes.succeed()
        unresolved, self._unresolved = self._unresolved, None
        if self._lease is None or answer.epoch != self._lease.epoch:
            self._lose_value()
            return
        own = [item for item in answer.items if item.key == self._key]
        self._revision = own[0].revision if own else 0
        if unresolved is not None and own and own[0].value == unresolved.value:
            self._snapshots.acknowledged(unresolved.number)
            self._repeat = False

    def _apply_read(self, call: ReadAll, answer: StoreAnswer, now: float) -> None:
        if not isinstance(answer, Listing):
            self._reads.fail(now)
            return
        found = read_values((item.value for item in answer.items), answer.epoch)
        self.resumed = self._snapshots.apply_read(list(call.teams), found, now)
        self._reads.succeed()

    def _lose_value(self) -> None:
        """Start again without a value: the store has dropped it, or no reader accepts it."""
        self._lease, self._revision, self._unresolved = None, 0, None
        self._repeat = True
        self._snapshots.value_lost()
