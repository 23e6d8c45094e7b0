"""
chalkyoke.quotas.growth

How much an owner may lease to one team, given what the store's snapshots say. A reader of the store
must never assume less spending than there was, so the window stays within each snapshot that the
store may hold, plus a fixed growth.
"""

import math

import msgspec

from chalkyoke.quotas.ledger import Ledger, Parts
from chalkyoke.quotas.window import SpendingWindow

# Lifetime of an owner's value in the store, in seconds. It expires some seconds after its owner was
# lost, so that the values of lost owners don't count for long beside those of their successors. It
# must last until processes that were killed at once have started again and read it. Leases may wait
# while the store is down, so a value that could not be read may exist for much longer.
VALUE_TTL_S = 6.0
# Cost that an owner may lease in a window while the store may hold a value that it could not read,
# as a fraction of the window limit: half of the part that owners don't lease.
UNREAD_SHARE = 0.1
# Time for which a new owner leases nothing until it has read the snapshots, in seconds: far longer
# than a usual read. Its leases would be handed off together with the assumed spending.
READ_WAIT_S = 0.1
# Cost that an owner may lease before its first acknowledged write, beyond what it knew at its
# start, as a fraction of the window limit. It serves requests for the time of some writes and comes
# from the part that owners don't lease.
FIRST_GROWTH_SHARE = 0.02


class Bound(msgspec.Struct, frozen=True):
    """What a reader of one snapshot assumes.

    :param sums: assumed cost in the newest part of the window, the newest two parts, and so on.
    :param share: the share of the limit that the owner used.
    """

    sums: Parts
    share: float


class TeamGrowth(msgspec.Struct):
    """The bounds of one team's window at its owner.

    :param recent: cost that this owner leased in the last window; it counts from the call that
        noticed it, which is never too early.
    :param window_limit: the limit by which the bounds were computed.
    :param sent: snapshots that the store may hold, by number of the write; the last acknowledged
        one and later ones without an answer.
    :param snapshot: what the latest write contained, without growth; None before the first write.
    :param inherited: bound by what this owner knew at its start; counts until the first
        acknowledged write.
    :param unread: whether the store may hold snapshots of this team that are not read yet.
    :param unreadable: whether the store held a value that could not be decoded and may contain this
        team; counts until the first acknowledged write.
    :param opened_at: time at which this node became the owner, in seconds.
    :param expected: highest cost of a request that was refused since the last write for lack of
        room within the bounds; the next write contains it.
    :param checked: cost leased at the last check whether a write is due.
    """

    recent: SpendingWindow
    window_limit: float
    sent: dict[int, Bound] = msgspec.field(default_factory=dict)
    snapshot: Bound | None = None
    inherited: Bound | None = None
    unread: bool = False
    unreadable: bool = False
    opened_at: float = 0.0
    expected: float = 0.0
    checked: float = -1.0
    _noticed: float = 0.0

    def room(self, ledger: Ledger, now: float) -> float:
        """Return the cost that may be leased now; infinite if no snapshot limits it."""
        self.apply_limit(ledger.window_limit)
        bounds = list(self.sent.values())
        if self.inherited is not None:
            bounds.append(self.inherited)
        room = math.inf
        if not self.is_known:
            is_waiting = self.unread and now < self.opened_at + READ_WAIT_S
            share = 0.0 if is_waiting else UNREAD_SHARE
            room = share * self.window_limit - self.leased_recently(ledger, now)
        if not bounds:
            return room
        sums = ledger.window.recent_sums(now)
        for bound in bounds:
            allowed = bound.sums
            if ledger.share < bound.share:
                # Since that snapshot a partition has left this owner a part of what a reader of the
                # snapshot assumes to be spent on all sides.
                allowed = _side_bound(bound.sums, ledger, now)
            pairs = zip(allowed, sums, strict=True)
            room = min(room, *(most - spent for most, spent in pairs))
        return room

    @property
    def is_known(self) -> bool:
        """Whether the store holds no snapshot of this team that this owner has not decoded."""
        return not (self.unread or self.unreadable)

    def leased_recently(self, ledger: Ledger, now: float) -> float:
        """Return the cost that this owner has leased in the last window."""
        more, self._noticed = ledger.leased - self._noticed, ledger.leased
        if more < 0:
            self.recent.subtract_unspent(-more, now)
        else:
            self.recent.add(more, now)
        return self.recent.spent(now)

    def inherit(self, ledger: Ledger, now: float, bound: Bound | None = None) -> None:
        """Bound the window until the first acknowledged write.

        :param bound: what a reader of earlier owners' snapshots assumes; None for the present
            content of the window, which these snapshots contain.
        """
        known = bound or Bound(ledger.window.recent_sums(now), ledger.share)
        more = FIRST_GROWTH_SHARE * ledger.window_limit
        self.inherited = Bound(tuple(each + more for each in known.sums), known.share)
        self.unread = False

    def acknowledge(self, number: int) -> None:
        """Apply the store's acknowledgement of a write, which replaces all earlier snapshots.

        Readers add this owner's snapshot to what other values contain, so these count no longer.
        """
        if number not in self.sent:
            return
        self.sent = {each: bound for each, bound in self.sent.items() if each >= number}
        self.inherited, self.unreadable = None, False

    def lose(self) -> None:
        """Forget all snapshots of this owner, which the store has dropped."""
        self.sent.clear()
        self.snapshot = None
        self.checked = -1.0

    def apply_limit(self, limit: float) -> None:
        """Scale the bounds with a lower limit, as the window itself."""
        if limit < self.window_limit:
            factor = limit / self.window_limit
            self.sent = {number: _scaled(each, factor) for number, each in self.sent.items()}
            self.snapshot = self.snapshot and _scaled(self.snapshot, factor)
            self.inherited = self.inherited and _scaled(self.inherited, factor)
        self.window_limit = limit


def _side_bound(sums: Parts, ledger: Ledger, now: float) -> Parts:
    """Return the part of a bound that one side of a partition may use (``ledger.allowed_cost``)."""
    known = ledger.before.recent_sums(now)
    pairs = zip(sums, known, strict=True)
    return tuple(before + ledger.share * (most - before) for most, before in pairs)


def _scaled(bound: Bound, factor: float) -> Bound:
    return Bound(tuple(each * factor for each in bound.sums), bound.share)
