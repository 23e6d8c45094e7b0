"""
chalkyoke.quotas.ledger

One team's window as its owner keeps it, and how much of it this side of a cut may use.

Before a cut all sides know what was spent: that counts on each side by its share only, since the
rest of it is the others' part. What is leased after the cut counts on its own side in full. With
``P`` spent before, each side may lease ``share * (most - P)``, and all sides together ``most - P``.
"""

import math

import msgspec

from chalkyoke.quotas.messages import QuotaSpent
from chalkyoke.quotas.window import BUCKETS, QuotaLimits, SpendingWindow

# How much longer than a cut goes unnoticed what was spent is not known to its other side, in
# seconds: as much as a copy of the window may be behind.
COPY_LAG_S = 0.2
# A quarter of the window may see three tenths of what the window may: when an owner is lost, what
# it leased is then spread enough for its successor to assume that it was spread evenly.
SHORT_WINDOW = 0.25
SHORT_SHARE = 0.3

Parts = tuple[float, ...]
"""Cost in equal parts of a window that ends now, oldest first."""

NOTHING: Parts = (0.0,) * BUCKETS


class Handed(msgspec.Struct, frozen=True):
    """A window for a team's new owner; empty where there is none.

    :param own: the part of it that no other node tells of.
    :param copied: whether it is the copy of another owner's window.
    :param share: the share of the limit that the owner of a copy used.
    """

    window: Parts = ()
    own: Parts = ()
    copied: bool = False
    share: float = 1.0


class Ledger(msgspec.Struct):
    """What was leased of one team's quota, in the window and before a cut.

    :param began: when this node became the owner, on its own clock, in seconds.
    :param most: what any window may see by the limit in force.
    :param share: the share of the limit in use. It grows only as fast as the window passes, since
        the other side of a cut may have spent its share until the cut healed.
    :param share_at: when ``share`` was true.
    :param surveyed: whether what was spent before is known.
    :param before: the part of ``window`` that others know of and count too: what was spent before
        a cut, and what was only assumed or taken over.
    :ivar returned: shares of other sides that came back; used as these sides come in sight.
    :ivar told: what nodes have told that they spent before.
    :ivar leased: what was leased since this node became the owner.
    :ivar common: what earlier owners told of that others know too.
    :ivar others_own: what each of them alone told of, added up.
    :ivar copied: what copies of their windows hold.
    :ivar copied_share: the share of the limit that the owner of that copy used.
    """

    window: SpendingWindow
    before: SpendingWindow
    window_limit: float
    began: float
    share: float
    share_at: float
    surveyed: bool
    spending_reports: dict[str, QuotaSpent] = msgspec.field(default_factory=dict)
    leased: float = 0.0
    common: Parts = NOTHING
    others_own: Parts = NOTHING
    copied: Parts = NOTHING
    copied_share: float = 1.0
    returned: float = 0.0

    def apply_limit(self, most: float) -> None:
        """Take a new limit of the window.

        A lower one binds from now on only: what was spent before was within the old limit, so it
        counts as the part of the new one that it was of the old one.
        """
        if most < self.window_limit:
            self.window.scale(most / self.window_limit)
            self.before.scale(most / self.window_limit)
        self.window_limit = most

    def apply_share(self, share: float, unnoticed_s: float, now: float) -> None:
        """Follow the share of the fleet that is in sight.

        :param unnoticed_s: how long a cut may go unnoticed, in seconds.
        """
        if share < self.share:
            self._divide(share, unnoticed_s + COPY_LAG_S, now)
        grown = self.share + (now - self.share_at) / self.window.window_s
        returned = min(self.returned, max(0.0, share - grown))
        self.returned -= returned
        self.share = min(share, grown + returned)
        self.share_at = now

    def apply_returned(self, parts: Parts, share: float, now: float) -> None:
        """Take what another side of a cut leased on its own, and its share of the limit.

        :param parts: parts of the window, oldest first.
        """
        pairs = zip(self.window.parts(now), parts, strict=True)
        self.window.resume(tuple(mine + theirs for mine, theirs in pairs), now)
        # Successors are told by this sum, as if it had been leased just now.
        self.leased += sum(parts)
        self.returned += share

    def allowed(self, most: float, now: float) -> float:
        """Give what the window may see on this side.

        :param most: what it may see over all sides.
        """
        before = self.before.spent(now)
        return before + self.share * (most - before)

    def room(self, most: float, now: float) -> float:
        """Tell how much may be leased now.

        :param most: what the window may see over all sides.
        """
        short_s = self.window.window_s * SHORT_WINDOW
        return min(
            self.allowed(most, now) - self.window.spent(now),
            self.share * SHORT_SHARE * most - self.window.spent(now, short_s),
        )

    def free_in_s(self, cost: float, most: float, share: float, now: float) -> float:
        """Tell in how many seconds so much more may be leased.

        :param most: what the window may see over all sides.
        :param share: the share of the fleet that is in sight; what is in use grows up to it.
        """
        free_s = self.window.free_in_s(cost, now)
        growing = (share - self.share) * most
        if growing < cost:
            return free_s
        return min(free_s, cost / most * self.window.window_s)

    def lease(self, amount: float, now: float) -> None:
        """Note that cost was leased."""
        self.window.add(amount, now)
        self.leased += amount

    def take_back(self, amount: float, now: float) -> None:
        """Note that leased cost has come back unspent."""
        self.leased -= self.window.give_back(amount, now)

    def own_spending(self, now: float) -> Parts:
        """Give what only this node can tell of, in parts of the window, oldest first."""
        pairs = zip(self.window.parts(now), self.before.parts(now), strict=True)
        return tuple(max(0.0, spent - before) for spent, before in pairs)

    def assume(self, cost: float, now: float) -> None:
        """Assume cost spent before, where nobody has told."""
        self.window.assume(cost, now)
        self.before.assume(cost, now)

    def resume(self, handed: Handed, now: float) -> None:
        """Go on from what an earlier owner, or a copy of its window, tells.

        Of several owners, what each alone can tell of adds up, and the rest is the same spending,
        seen by one a moment longer than by another: the fuller one counts. Copies count only
        while no owner tells of spending of its own: what they hold is in it.
        """
        if not any(handed.window):
            return
        if handed.copied:
            self.copied = fuller(self.copied, handed.window)
            if self.copied is handed.window:
                self.copied_share = handed.share
        else:
            rest = handed.own or NOTHING
            common = tuple(a - b for a, b in zip(handed.window, rest, strict=True))
            self.common = fuller(self.common, common)
            self.others_own = tuple(a + b for a, b in zip(self.others_own, rest, strict=True))
        if any(self.others_own):
            pairs = zip(self.common, self.others_own, strict=True)
            spent = tuple(a + b for a, b in pairs)
        else:
            spent = fuller(self.common, self.copied)
            if spent is self.copied:
                self._know_only(self.copied_share, now)
        self.surveyed = True
        self.window.resume(spent, now)
        self.before.resume(spent, now)
        self.window.add(self.leased, now)

    def resume_from_copy(self, window: Parts, share: float, now: float) -> None:
        """Go on from the copy that an owner out of sight has told until a moment ago.

        :param share: the share of the limit that it had.
        """
        known = _known_part(share, self.share) if self.share < share else 1.0
        self._know_only(share, now)
        self.copied, self.copied_share = window, share
        self.surveyed = True
        self.window.resume(window, now)
        self.before.resume(tuple(cost * known for cost in window), now)

    def _know_only(self, share: float, now: float) -> None:
        """Use no more than the share whose spending is known; the rest comes as the window passes.

        The copy of an owner that saw one side of a cut tells nothing of the others: after the loss
        of all that did, a whole limit beside it let a window see 1.13 of what it may.
        """
        if share < self.share:
            self.share, self.share_at = share, now

    def _divide(self, share: float, unknown_s: float, now: float) -> None:
        """Divide with the other sides of a cut what is left of the window.

        What was leased while the cut may have gone unnoticed is not known to them, and stays
        this side's own.

        :param unknown_s: for how long what was leased may not be known there, in seconds.
        """
        known = _known_part(self.share, share)
        unnoticed = min(BUCKETS, math.ceil(unknown_s / self.window.window_s * BUCKETS))
        parts = list(self.before.parts(now))
        spent = self.window.parts(now)
        for index in range(BUCKETS - unnoticed):
            parts[index] += known * (spent[index] - parts[index])
        self.before.resume(tuple(parts), now)


def fuller(one: Parts, other: Parts) -> Parts:
    """Give the window of two in which more was spent.

    Not the larger of each part: the clocks of two nodes are a part of the window's parts' length
    off, and the same spending would count twice at their edges.
    """
    return one if sum(one) >= sum(other) else other


def _known_part(share_before: float, share: float) -> float:
    """Give the part of a side's own spending that becomes common when its share falls.

    What is left of the limit falls in proportion to the share. Of spending ``o``, a part ``x * o``
    counts by the share and the rest in full, so ``x * share + (1 - x) = share / share_before``.
    """
    return (1.0 - share / share_before) / (1.0 - share)


def new_ledger(limits: QuotaLimits, number: int, most: float, share: float, now: float) -> Ledger:
    """Begin a ledger in which nothing was spent.

    :param number: names its window among all of the fleet.
    """
    return Ledger(
        SpendingWindow(limits.window_s, number),
        SpendingWindow(limits.window_s),
        most,
        now,
        share,
        now,
        surveyed=False,
    )
