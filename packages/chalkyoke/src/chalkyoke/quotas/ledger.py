"""
chalkyoke.quotas.ledger

The spending window of one team at its owner, and the part of it that this side of a partition may
use.

All sides of a partition know the spending from before it, so each side counts only its share of
that spending. Cost leased after the partition counts in full on its own side. With ``P`` spent
before, each side may lease ``share * (limit - P)``, and all sides together ``limit - P``.
"""

import math

import msgspec

from chalkyoke.quotas.messages import QuotaSpent
from chalkyoke.quotas.window import WINDOW_PARTS, QuotaLimits, SpendingWindow

# Lag of a window copy behind its owner, in seconds. Spending is unknown to the other side of a
# partition for this time in addition to the time until the partition is detected.
COPY_LAG_S = 0.2
# At most three tenths of the window limit may be leased in a quarter of the window. When an owner
# is lost, its leases are then spread enough for the successor to assume an even spread.
SHORT_WINDOW_FRACTION = 0.25
SHORT_WINDOW_SHARE = 0.3

Parts = tuple[float, ...]
"""Cost in each of the equal parts of a window that ends now, oldest first."""

EMPTY_PARTS: Parts = (0.0,) * WINDOW_PARTS


class HandedOffWindow(msgspec.Struct, frozen=True):
    """The window that a node hands off to a team's new owner; empty if the node has none.

    :param own: the part of the window that no other node reports.
    :param copied: whether the window is a copy of another owner's window.
    :param share: for a copy, the share of the limit that its owner used.
    :param assumed: whether ``window`` contains spending that was assumed since the snapshots in the
        store are not known, so that the new owner has to read them; ``own`` was leased since.
    """

    window: Parts = ()
    own: Parts = ()
    copied: bool = False
    share: float = 1.0
    assumed: bool = False


class Lowering(msgspec.Struct):
    """Spending that lower limits have scaled away, while it is still in the window.

    :param from_limit: the highest limit from which the window was lowered.
    """

    from_limit: float
    window: SpendingWindow
    before: SpendingWindow

    def parts(self, now: float) -> tuple[Parts, Parts]:
        """Return the cost in each part of both windows, oldest first."""
        return self.window.parts(now), self.before.parts(now)


class Ledger(msgspec.Struct):
    """The leased cost of one team's quota.

    :param window: cost leased in the window that ends now.
    :param before: the part of ``window`` that other nodes count too: spending from before a
        partition, and spending that was assumed or received in a hand-off.
    :param window_limit: cost that any window may hold under the limit in force.
    :param started_at: time at which this node became the owner, on its own clock, in seconds.
    :param share: share of the limit in use. It grows only as fast as the window passes, since the
        other side of a partition may have spent its share until the partition healed.
    :param share_at: time at which ``share`` was updated, in seconds.
    :param surveyed: whether the spending before this node became the owner is known.
    :ivar spending_reports: survey answers by host id.
    :ivar leased: cost leased since this node became the owner.
    :ivar common: the part of earlier owners' windows that other nodes know too.
    :ivar others_own: sum of the parts that only one earlier owner knows.
    :ivar copied: the copy of an earlier owner's window with the highest spending.
    :ivar copied_share: the share of the limit that the owner of that copy used.
    :ivar returned: shares that other sides of a healed partition returned; this side uses them as
        the nodes of those sides become visible.
    :ivar growth: cost in the window that may not have been spent, for a short time after the window
        was resumed from snapshots.
    :ivar growth_until: end of that time, in seconds.
    :ivar lowering: spending that lower limits have scaled away; None if none has.
    """

    window: SpendingWindow
    before: SpendingWindow
    window_limit: float
    started_at: float
    share: float
    share_at: float
    surveyed: bool
    spending_reports: dict[str, QuotaSpent] = msgspec.field(default_factory=dict)
    leased: float = 0.0
    common: Parts = EMPTY_PARTS
    others_own: Parts = EMPTY_PARTS
    copied: Parts = EMPTY_PARTS
    copied_share: float = 1.0
    returned: float = 0.0
    growth: float = 0.0
    growth_until: float = 0.0
    lowering: Lowering | None = None

    def apply_limit(self, limit: float, now: float) -> None:
        """Apply a new limit of the window.

        A lower limit binds future leases only: earlier spending was within the old limit, so it is
        scaled to the same fraction of the new limit. A limit that rises again within the window
        finds this spending again.
        """
        if limit < self.window_limit:
            self._lower_limit(limit, now)
        elif limit > self.window_limit and self.lowering is not None:
            self._restore_spending(self.lowering, limit, now)
        self.window_limit = limit

    def _lower_limit(self, limit: float, now: float) -> None:
        highest, left = self.window_limit, 1.0 - limit / self.window_limit
        taken = (
            tuple(left * each for each in self.window.parts(now)),
            tuple(left * each for each in self.before.parts(now)),
        )
        if self.lowering is not None:
            earlier = self.lowering.parts(now)
            taken = _add_parts(earlier[0], taken[0]), _add_parts(earlier[1], taken[1])
            highest = max(highest, self.lowering.from_limit)
        self.window.scale(limit / self.window_limit)
        self.before.scale(limit / self.window_limit)
        self.lowering = new_lowering(highest, taken, self.window.window_s, now)

    def _restore_spending(self, lowering: Lowering, limit: float, now: float) -> None:
        """Count spending again that a lower limit has scaled away, in proportion to the rise."""
        share = min(1.0, (limit - self.window_limit) / (lowering.from_limit - self.window_limit))
        window, before = lowering.parts(now)
        self.window.load_parts(_add_parts(self.window.parts(now), window, share), now)
        self.before.load_parts(_add_parts(self.before.parts(now), before, share), now)
        lowering.window.scale(1.0 - share)
        lowering.before.scale(1.0 - share)
        if share == 1.0:
            self.lowering = None

    def apply_share(self, share: float, unnoticed_s: float, now: float) -> None:
        """Apply the share of the fleet that this node sees.

        :param unnoticed_s: longest time until a partition is detected, in seconds.
        """
        if share < self.share:
            self._split_spending(share, unnoticed_s + COPY_LAG_S, now)
        grown = self.share + (now - self.share_at) / self.window.window_s
        returned = min(self.returned, max(0.0, share - grown))
        self.returned -= returned
        self.share = min(share, grown + returned)
        self.share_at = now

    def apply_returned(self, parts: Parts, share: float, now: float) -> None:
        """Add the cost that another side of a partition leased, and its share of the limit.

        :param parts: cost in each part of the window, oldest first.
        :param share: the share of the limit that the other side used.
        """
        pairs = zip(self.window.parts(now), parts, strict=True)
        self.window.load_parts(tuple(mine + theirs for mine, theirs in pairs), now)
        # Updates to successors are derived from this sum, so they show the cost as leased now.
        self.leased += sum(parts)
        self.returned += share

    def allowed_cost(self, limit: float, now: float) -> float:
        """Return the cost that the window may hold on this side of a partition.

        :param limit: the cost that the window may hold on all sides together.
        """
        before = self.before.spent(now)
        return before + self.share * (limit - before)

    def headroom(self, limit: float, now: float) -> float:
        """Return the cost that may be leased now; negative after the limit has fallen.

        :param limit: the cost that the window may hold on all sides together.
        """
        short_s = self.window.window_s * SHORT_WINDOW_FRACTION
        most = SHORT_WINDOW_SHARE * limit
        short = self.share * most - self.window.spent(now, short_s)
        if now < self.growth_until:
            # All sides know the resumed cost, and the assumed growth needs no even spread.
            known = max(0.0, self.before.spent(now, short_s) - self.growth)
            spent = self.window.spent(now, short_s) - self.growth
            short = known + self.share * (most - known) - spent
        return min(self.allowed_cost(limit, now) - self.window.spent(now), short)

    def free_in_s(self, cost: float, limit: float, share: float, now: float) -> float:
        """Return the time until the given cost may be leased in addition, in seconds.

        :param limit: the cost that the window may hold on all sides together.
        :param share: the share of the fleet that this node sees; the share in use grows up to it.
        """
        free_s = self.window.free_in_s(cost, now)
        growing = (share - self.share) * limit
        if growing < cost:
            return free_s
        return min(free_s, cost / limit * self.window.window_s)

    def add_lease(self, amount: float, now: float) -> None:
        """Count leased cost."""
        self.window.add(amount, now)
        self.leased += amount

    def return_unspent(self, amount: float, now: float) -> None:
        """Subtract leased cost that a node returned unspent."""
        self.leased -= self.window.subtract_unspent(amount, now)

    def own_spending(self, now: float) -> Parts:
        """Return the cost that only this node knows, by part of the window, oldest first."""
        pairs = zip(self.window.parts(now), self.before.parts(now), strict=True)
        return tuple(max(0.0, spent - before) for spent, before in pairs)

    def assume_spent(self, cost: float, now: float) -> None:
        """Replace the window by an assumed cost; used while no node has reported the spending."""
        self.window.assume_spent(cost, now)
        self.before.assume_spent(cost, now)

    def resume_window(self, handed: HandedOffWindow, now: float) -> None:
        """Resume the window of an earlier owner, or a copy of it.

        With several earlier owners, the parts that only one of them knows are added up. The rest is
        the same spending, which one owner saw a moment longer than another: the window with more
        spending counts. Copies count only while no earlier owner reports spending of its own,
        since that owner's window contains the content of the copies.
        """
        if not any(handed.window):
            return
        if handed.copied:
            self.copied = larger_window(self.copied, handed.window)
            if self.copied is handed.window:
                self.copied_share = handed.share
        else:
            rest = handed.own or EMPTY_PARTS
            common = tuple(a - b for a, b in zip(handed.window, rest, strict=True))
            self.common = larger_window(self.common, common)
            self.others_own = tuple(a + b for a, b in zip(self.others_own, rest, strict=True))
        if any(self.others_own):
            pairs = zip(self.common, self.others_own, strict=True)
            spent = tuple(a + b for a, b in pairs)
        else:
            spent = larger_window(self.common, self.copied)
            if spent is self.copied:
                self._cap_share(self.copied_share, now)
        self.surveyed = True
        self.window.load_parts(spent, now)
        self.before.load_parts(spent, now)
        self.window.add(self.leased, now)

    def resume_from_copy(self, window: Parts, share: float, now: float) -> None:
        """Resume the copy of the window of an owner that became unreachable a moment ago.

        :param share: the share of the limit that this owner used.
        """
        known = _common_fraction(share, self.share) if self.share < share else 1.0
        self._cap_share(share, now)
        self.copied, self.copied_share = window, share
        self.surveyed = True
        self.window.load_parts(window, now)
        self.before.load_parts(tuple(cost * known for cost in window), now)

    def resume_snapshot(self, parts: Parts, growth: float, leased: float, now: float) -> None:
        """Resume the window that a snapshot in the store stands for, after the loss of all hosts.

        All sides of a partition read the same snapshots, so its cost is known to all of them.

        :param parts: cost in each part of the window, oldest first.
        :param growth: the part of the cost in the newest quarter that may not have been spent.
        :param leased: cost that this owner has leased in the last window.
        """
        self.surveyed = True
        self.growth = growth
        self.growth_until = now + self.window.window_s * SHORT_WINDOW_FRACTION
        self.window.load_parts(parts, now)
        self.before.load_parts(parts, now)
        self.window.add(leased, now)

    def _cap_share(self, share: float, now: float) -> None:
        """Cap the share in use at the share whose spending is known; it grows as the window passes.

        The copy of an owner that saw one side of a partition lacks the spending on the other sides.
        If all copies from those sides are lost, leasing the whole limit in addition to the spending
        in this copy would bring the window to 1.13 times its limit.
        """
        if share < self.share:
            self.share, self.share_at = share, now

    def _split_spending(self, share: float, unknown_s: float, now: float) -> None:
        """Split the remaining window between the sides of a partition.

        The other sides don't know the cost leased while the partition was undetected; this cost
        counts in full on this side.

        :param unknown_s: time for which the other sides may lack this side's leases, in seconds.
        """
        known = _common_fraction(self.share, share)
        unnoticed = min(WINDOW_PARTS, math.ceil(unknown_s / self.window.window_s * WINDOW_PARTS))
        parts = list(self.before.parts(now))
        spent = self.window.parts(now)
        for index in range(WINDOW_PARTS - unnoticed):
            parts[index] += known * (spent[index] - parts[index])
        self.before.load_parts(tuple(parts), now)


def new_lowering(
    from_limit: float, parts: tuple[Parts, Parts], window_s: float, now: float
) -> Lowering:
    """Create the account of spending that was scaled away.

    :param parts: cost in each part of the window, and of the part known before, oldest first.
    :param window_s: length of the window, in seconds.
    """
    lowering = Lowering(from_limit, SpendingWindow(window_s), SpendingWindow(window_s))
    lowering.window.load_parts(parts[0], now)
    lowering.before.load_parts(parts[1], now)
    return lowering


def _add_parts(one: Parts, other: Parts, share: float = 1.0) -> Parts:
    return tuple(a + share * b for a, b in zip(one, other, strict=True))


def larger_window(one: Parts, other: Parts) -> Parts:
    """Return the one of two windows with the higher total spending.

    Taking the larger value of each part would count spending twice at the edges of parts, since the
    clocks of two nodes differ by a fraction of the length of a part.
    """
    return one if sum(one) >= sum(other) else other


def _common_fraction(share_before: float, share: float) -> float:
    """Return the fraction of a side's own spending that becomes common when its share falls.

    The rest of the limit falls in proportion to the share. Of own spending ``o``, a fraction
    ``x * o`` counts by the share and the rest in full, so
    ``x * share + (1 - x) = share / share_before``.
    """
    return (1.0 - share / share_before) / (1.0 - share)


def new_ledger(limits: QuotaLimits, number: int, limit: float, share: float, now: float) -> Ledger:
    """Create a ledger without spending.

    :param number: number of the window, unique in the fleet.
    """
    return Ledger(
        SpendingWindow(limits.window_s, number),
        SpendingWindow(limits.window_s),
        limit,
        now,
        share,
        now,
        surveyed=False,
    )
