"""
chalkyoke.quotas.owner

The owner's side of quotas. A node is the owner of a team while rendezvous hashing over the live
members says so. Two nodes that both believe it each lease for the share of the fleet that they see,
so the sum stays near the limit.
"""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from chalkyoke.catalog.resources import Team
from chalkyoke.quotas.messages import QuotaGrant, QuotaRequest, QuotaSpent
from chalkyoke.quotas.window import QuotaLimits, SpendingWindow

VALID_S = 0.5
USED_SHARE = 0.8
ASSUMED_SHARE = 0.95
# The smaller side of a cut may begin at once: its share is small, and the other side's owner counts
# what was spent before. Whoever sees most of the fleet may be the successor of a dead owner.
MINOR_SHARE = 0.5
MAJOR_SHARE = 0.72
# A quarter of the window may see three tenths of what the window may: when a owner is lost, what it
# leased is then spread enough for its successor to assume that it was spread evenly.
SHORT_WINDOW = 0.25
SHORT_SHARE = 0.3
HELD_PER_RANK = 0.04
CHEAP_COSTS = 3.0
MOST_RANKS_HELD = 3
SPARE_DIVISOR = 8.0
SURVEY_S = 1.0
# So long after the first start of the whole fleet a new owner is the first one of its team.
FIRST_OWNERS_S = 6.0
KEPT_S = 3.0
MIN_RETRY_S = 0.05


@dataclass(frozen=True, slots=True)
class Presence:
    """How much of the fleet a node sees.

    :param live: members that it believes alive, itself included.
    :param known: members that there may be, those included that are dead or out of sight.
    """

    live: int
    known: int

    @property
    def share(self) -> float:
        """The share of the fleet's limits that this side of a cut may use.

        :rtype: float
        """
        return min(1.0, self.live / max(1, self.known))


@dataclass(slots=True)
class _Ledger:
    """One team's window as its owner keeps it.

    :param began: when this node became the owner.
    :param most: what any window may see by the limit in force.
    :param share: the share of the limit in use. It grows only as fast as the window passes, since
        the other side of a cut may have spent its share until the cut healed.
    :ivar told: what nodes have told that they spent before.
    :ivar leased: what was leased since this node became the owner.
    :ivar resumed: what an earlier owner had spent, where it goes on from its window; else -1.
    """

    window: SpendingWindow
    most: float
    began: float
    share: float
    share_at: float
    surveyed: bool
    told: dict[str, QuotaSpent] = field(default_factory=dict)
    leased: float = 0.0
    resumed: float = -1.0

    def follow_limit(self, most: float) -> None:
        """Take a new limit of the window.

        A lower one binds from now on only: what was spent before was within the old limit, so it
        counts as the part of the new one that it was of the old one.
        """
        if most < self.most:
            self.window.scale(most / self.most)
        self.most = most

    def move_share(self, share: float, now: float) -> float:
        """Follow the share of the fleet that is in sight.

        :return: the share of the limit to use now.
        """
        grown = self.share + (now - self.share_at) / self.window.window_s
        self.share = min(share, grown)
        self.share_at = now
        return self.share


class QuotaOwner:
    """Lease cost to the nodes that ask.

    :param limits: what any window may see.
    :param first_start: whether the whole fleet starts for the first time; otherwise, and some
        seconds later, another owner may have leased just now, and the window is assumed to be full.
    :param identity: random number of this process, to tell its windows from those of others.
    """

    def __init__(self, limits: QuotaLimits, *, first_start: bool, identity: int) -> None:
        self.limits = limits
        self._identity = identity
        self._numbers = itertools.count(1)
        self._first_start = first_start
        self._ledgers: dict[str, _Ledger] = {}
        self._given_up: dict[str, tuple[float, SpendingWindow]] = {}

    def is_new(self, team: str) -> bool:
        """Tell whether this node has not been a team's owner yet, and should ask what was spent.

        :rtype: bool
        """
        return team not in self._ledgers

    def open(self, team: Team, presence: Presence, now: float) -> None:
        """Begin to be a team's owner."""
        self._ledger(team, presence, now)

    def hand_over(self, team: str, now: float) -> tuple[float, ...]:
        """Give the window of a team up to its new owner; nothing where this node has none.

        :return: its parts, oldest first.
        """
        ledger = self._ledgers.pop(team, None)
        if ledger is not None:
            self._given_up[team] = (now, ledger.window)
        kept = self._given_up.get(team)
        return () if kept is None or now - kept[0] > KEPT_S else kept[1].parts(now)

    def ask(self, team: Team, message: QuotaRequest, presence: Presence, now: float) -> QuotaGrant:
        """Answer a node that asks for cost of a limited team.

        :rtype: QuotaGrant
        """
        ledger = self._ledger(team, presence, now)
        window = ledger.window
        share = ledger.move_share(presence.share, now)
        ledger.follow_limit(self.limits.most(team.rate_per_s, team.burst))
        most = ledger.most * USED_SHARE * share
        if message.lease_of == window.number:
            window.give_back(message.returned, now)
        # The less urgent are refused first: a part of the window is kept for the others.
        ranks_held = 0 if self._is_cheap(team, message) else min(message.rank, MOST_RANKS_HELD)
        ceiling = most * (1.0 - HELD_PER_RANK * ranks_held)
        short_s = self.limits.window_s * SHORT_WINDOW
        room = min(
            ceiling - window.spent(now),
            SHORT_SHARE * ceiling - window.spent(now, short_s),
        )
        if room < message.need:
            retry = max(MIN_RETRY_S, window.free_in_s(message.need - room, now))
            return QuotaGrant(
                team.name,
                message.number,
                0.0,
                retry,
                VALID_S,
                window.number,
                window.spent(now),
                most,
            )
        amount = message.need + min(message.ahead, (room - message.need) / SPARE_DIVISOR)
        window.add(amount, now)
        ledger.leased += amount
        return QuotaGrant(team.name, message.number, amount, 0.0, VALID_S, window.number)

    def _is_cheap(self, team: Team, message: QuotaRequest) -> bool:
        """Tell whether a request costs so little that refusing it makes no room for others."""
        return message.need <= CHEAP_COSTS * team.plain_cost

    def take_spent(self, team: Team, message: QuotaSpent, presence: Presence, now: float) -> None:
        """Take what a node has spent before; once all have told, it replaces what was assumed.

        The window of the owner before replaces it at once.

        A node that started within the window can't tell what its earlier process spent, and one
        that is out of sight tells nothing: the window then stays assumed to be full.
        """
        ledger = self._ledgers.get(team.name)
        if ledger is None or now - ledger.began > SURVEY_S:
            return
        if message.window:
            self._resume(ledger, message.window, now)
        if ledger.surveyed:
            return
        ledger.told[message.host] = message
        told = ledger.told.values()
        whole = all(each.known_s >= self.limits.window_s for each in told)
        if not whole or len(told) < presence.known:
            return
        ledger.surveyed = True
        spent = sum(each.cost for each in told)
        ledger.window.assume(spent + ledger.leased, ledger.began)

    def _resume(self, ledger: _Ledger, window: tuple[float, ...], now: float) -> None:
        """Go on from an earlier owner's window; of several, the one in which most was spent.

        Where a owner moves twice in a moment, the first of them may tell an old window.
        """
        total = sum(window)
        if total <= ledger.resumed:
            return
        ledger.resumed = total
        ledger.surveyed = True
        ledger.window.resume(window, now)
        ledger.window.add(ledger.leased, now)

    def forget_others(self, mine: Callable[[str], bool], now: float) -> None:
        """Give up the windows of teams whose owner is elsewhere; they are kept for their new owners.

        :param mine: tells whether this node is a team's owner.
        """
        for name in [each for each in self._ledgers if not mine(each)]:
            self.hand_over(name, now)
        for name, (since, _) in list(self._given_up.items()):
            if now - since > KEPT_S:
                del self._given_up[name]

    def _ledger(self, team: Team, presence: Presence, now: float) -> _Ledger:
        ledger = self._ledgers.get(team.name)
        if ledger is not None:
            return ledger
        number = self._identity + next(self._numbers)
        window = SpendingWindow(self.limits.window_s, number)
        most = self.limits.most(team.rate_per_s, team.burst)
        first = self._first_start and now < FIRST_OWNERS_S
        if not first:
            window.assume(most * USED_SHARE * presence.share * _assumed(presence.share), now)
        ledger = _Ledger(window, most, now, presence.share, now, surveyed=first)
        self._ledgers[team.name] = ledger
        return ledger


def _assumed(share: float) -> float:
    """Tell how much of its part of the window a new owner takes for spent.

    :param share: the share of the fleet that it sees.
    :rtype: float
    """
    seen = (share - MINOR_SHARE) / (MAJOR_SHARE - MINOR_SHARE)
    return ASSUMED_SHARE * max(0.0, min(1.0, seen))
