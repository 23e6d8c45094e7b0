"""
chalkyoke.quotas.owner

The owner's side of quotas. A node is the owner of a team while rendezvous hashing over the live
members says so. Two nodes that both believe it each lease for the share of the fleet that they see,
so the sum stays near the limit.
"""

import itertools
from collections.abc import Callable, Iterable

import msgspec

from chalkyoke.catalog.resources import Team
from chalkyoke.quotas.copies import WindowCopies, WindowReplicator
from chalkyoke.quotas.ledger import (
    NOTHING,
    Handed,
    Ledger,
    fuller,
    new_ledger,
)
from chalkyoke.quotas.messages import (
    QuotaGrant,
    QuotaRequest,
    QuotaReturned,
    QuotaSpent,
    QuotaWindows,
    WindowUpdate,
)
from chalkyoke.quotas.window import QuotaLimits

# How long a lease may be spent, in seconds: long enough to serve a burst of one node without
# asking again, short enough that idle leases come back within a sixteenth of a window.
VALID_S = 0.5
# The part of the limit that owners lease. The rest is for what they can't see: spending alone, the
# last moment before a loss, cuts that go unnoticed.
USED_SHARE = 0.8
# What an owner that knows nothing assumes to be spent, of what may be leased.
ASSUMED_SHARE = 0.95
# The smaller side of a cut may begin at once: its share is small, and the other side's owner counts
# what was spent before. Whoever sees most of the fleet may be the successor of a dead owner.
MINOR_SHARE = 0.5
MAJOR_SHARE = 0.72
# The part of the window that is kept for each more urgent rank, and for how many ranks at most.
HELD_PER_RANK = 0.04
MOST_RANKS_HELD = 3
# A request that costs no more than so many plain ones is not held back by its rank.
CHEAP_COSTS = 3.0
# A lease ahead takes at most this part of the room that is left, so that all nodes find some.
SPARE_DIVISOR = 8.0
# How long answers to a survey count, in seconds: far longer than a round trip between domains.
SURVEY_S = 1.0
# An owner with less than this share of the limit leased beside another one.
WHOLE_SHARE = 0.999
# What an owner may have leased, of what a window may see, since it told its successor last: half
# a second of a team that asks for its whole quota.
UNTOLD_SHARE = 0.06
# So long after the first start of the whole fleet a new owner is the first one of its team.
FIRST_OWNERS_S = 6.0
# How long a window that was given up can be handed over, in seconds: views of who is the owner
# differ for at most 2.5 s (membership.view).
KEPT_S = 3.0
# The shortest time that a refused caller is told to stay away, in seconds.
MIN_RETRY_S = 0.05


# How long a cut goes unnoticed among small failure domains: ten heartbeats of 0.25 s.
SMALL_UNNOTICED_S = 2.5


class Presence(msgspec.Struct, frozen=True):
    """How much of the fleet a node sees.

    :param live: members that it believes alive, itself included.
    :param known: members that there may be, those included that are dead or out of sight.
    :param unnoticed_s: how long a cut from other failure domains may go unnoticed, in seconds.
    """

    live: int
    known: int
    unnoticed_s: float = SMALL_UNNOTICED_S

    @property
    def share(self) -> float:
        """The share of the fleet's limits that this side of a cut may use.

        :rtype: float
        """
        return min(1.0, self.live / max(1, self.known))


class Telling(msgspec.Struct, frozen=True):
    """A message and the link address that it goes to."""

    address: str
    message: QuotaWindows


class _GivenUp(msgspec.Struct):
    """A ledger that this node kept until ``at``, and whether a new owner was told of it."""

    ledger: Ledger
    at: float
    told: bool = False


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
        self._ledgers: dict[str, Ledger] = {}
        self._given_up: dict[str, _GivenUp] = {}
        self._teller = WindowReplicator()
        self._copies = WindowCopies(limits.window_s)

    def is_new(self, team: str) -> bool:
        """Tell whether this node has not been a team's owner yet, and should ask what was spent.

        :rtype: bool
        """
        return team not in self._ledgers

    def start_owning(self, team: Team, presence: Presence, now: float) -> None:
        """Begin to be a team's owner."""
        self._ledger(team, presence, now)

    def hand_off(self, team: str, now: float) -> Handed:
        """Give the window of a team up to its new owner, which asks for it.

        Asked once more, this node tells the same window as one that others know of too.
        """
        self._give_up(team, now)
        kept = self._given_up.get(team)
        held = NOTHING
        if kept is not None and now - kept.at <= KEPT_S:
            held = kept.ledger.window.parts(now)
            if not kept.told:
                kept.told = True
                return Handed(held, kept.ledger.own_spending(now))
        share = 1.0
        copy = self._copies.find(team, now)
        if copy is not None and fuller(held, parts := copy.window.parts(now)) is parts:
            held, share = parts, copy.share
        return Handed(held, copied=True, share=share) if any(held) else Handed()

    def _give_up(self, team: str, now: float, *, told: bool = False) -> None:
        ledger = self._ledgers.pop(team, None)
        if ledger is not None:
            self._given_up[team] = _GivenUp(ledger, now, told=told)

    def answer_request(
        self, team: Team, message: QuotaRequest, presence: Presence, now: float
    ) -> QuotaGrant:
        """Answer a node that asks for cost of a limited team.

        :rtype: QuotaGrant
        """
        ledger = self._ledger(team, presence, now)
        window = ledger.window
        ledger.apply_share(presence.share, presence.unnoticed_s, now)
        ledger.apply_limit(self.limits.window_limit(team.rate_per_s, team.burst))
        if message.lease_window == window.number:
            ledger.take_back(message.returned, now)
        if message.alone > 0 and ledger.surveyed:
            # A window that is assumed to be full has room for it.
            ledger.lease(message.alone, now)
        # The less urgent are refused first: a part of the window is kept for the others.
        cheap = self._is_cheap(team, message)
        ranks_held = 0 if cheap else min(message.rank, MOST_RANKS_HELD)
        most = ledger.window_limit * USED_SHARE * (1.0 - HELD_PER_RANK * ranks_held)
        room = ledger.room(most, now)
        if room < message.need:
            retry = ledger.free_in_s(message.need - room, most, presence.share, now)
            retry = max(MIN_RETRY_S, retry)
            return QuotaGrant(
                team.name,
                message.number,
                0.0,
                retry,
                VALID_S,
                window.number,
                window.spent(now),
                ledger.allowed(most, now),
            )
        amount = message.need + min(message.ahead, (room - message.need) / SPARE_DIVISOR)
        ledger.lease(amount, now)
        return QuotaGrant(team.name, message.number, amount, 0.0, VALID_S, window.number)

    def spent(self, team: str, now: float) -> float:
        """Tell what this node counts in a team's window; 0 where it is not the owner."""
        ledger = self._ledgers.get(team)
        return 0.0 if ledger is None else ledger.window.spent(now)

    def window_updates(
        self, successors: Callable[[str], Iterable[str]], now: float
    ) -> list[Telling]:
        """Word what has changed in the windows of this node's teams, for their successors.

        :param successors: gives the link addresses for a team.
        """
        changed: dict[str, list[WindowUpdate]] = {}
        kept: list[tuple[str, str]] = []
        for team, ledger in self._ledgers.items():
            for address in successors(team):
                kept.append((address, team))
                told = self._teller.next_update(address, team, ledger, now)
                if told is not None:
                    changed.setdefault(address, []).append(told)
        self._teller.forget(kept)
        return [
            Telling(address, QuotaWindows(tuple(windows))) for address, windows in changed.items()
        ]

    def apply_window_updates(self, message: QuotaWindows, now: float) -> None:
        """Keep what another owner tells of its windows, to go on from when it is lost."""
        for told in message.windows:
            self._copies.apply(told, now)

    def _is_cheap(self, team: Team, message: QuotaRequest) -> bool:
        """Tell whether a request costs so little that refusing it makes no room for others."""
        return message.need <= CHEAP_COSTS * team.default_cost

    def apply_spending_report(
        self, team: Team, message: QuotaSpent, presence: Presence, now: float
    ) -> None:
        """Take what a node has spent before; once all have told, it replaces what was assumed.

        The window of the owner before replaces it at once.

        A node that started within the window can't tell what its earlier process spent, and one
        that is out of sight tells nothing: the window then stays assumed to be full.
        """
        ledger = self._ledgers.get(team.name)
        if ledger is None or now - ledger.began > SURVEY_S:
            return
        if message.window:
            handed = Handed(message.window, message.own, message.copied, message.share)
            ledger.resume(handed, now)
        if ledger.surveyed:
            return
        ledger.spending_reports[message.host] = message
        told = ledger.spending_reports.values()
        whole = all(each.known_s >= self.limits.window_s for each in told)
        if not whole or len(told) < presence.known:
            return
        ledger.surveyed = True
        spent = sum(each.cost for each in told)
        ledger.window.assume(spent + ledger.leased, ledger.began)

    def apply_returned(self, message: QuotaReturned, now: float) -> None:
        """Take what another side of a healed cut leased on its own.

        An owner that has begun just now is told by its survey, and by this once more.
        """
        ledger = self._ledgers.get(message.team)
        if ledger is not None and now - ledger.began > SURVEY_S:
            ledger.apply_returned(message.parts, message.share, now)

    def release_unowned(self, mine: Callable[[str], bool], now: float) -> list[QuotaReturned]:
        """Give up the windows of teams whose owner is elsewhere.

        They are kept for a while, to be handed to their new owners.

        :param mine: tells whether this node is a team's owner.
        :return: what was leased beside another owner, during a cut that is over.
        """
        returned: list[QuotaReturned] = []
        for name in [each for each in self._ledgers if not mine(each)]:
            ledger, own = self._ledgers[name], self._ledgers[name].own_spending(now)
            returns = ledger.share < WHOLE_SHARE and any(own)
            if returns:
                returned.append(QuotaReturned(name, ledger.share, own))
            self._give_up(name, now, told=returns)
        for name, kept in list(self._given_up.items()):
            if now - kept.at > KEPT_S:
                del self._given_up[name]
        return returned

    def _ledger(self, team: Team, presence: Presence, now: float) -> Ledger:
        ledger = self._ledgers.get(team.name)
        if ledger is not None:
            return ledger
        number = self._identity + next(self._numbers)
        most = self.limits.window_limit(team.rate_per_s, team.burst)
        ledger = new_ledger(self.limits, number, most, presence.share, now)
        self._ledgers[team.name] = ledger
        copy = self._copies.find(team.name, now)
        if copy is not None:
            window = copy.with_unreported(most * USED_SHARE * UNTOLD_SHARE, now)
            ledger.resume_from_copy(window, copy.share, now)
            self._copies.drop(team.name)
        elif self._first_start and now < FIRST_OWNERS_S:
            ledger.surveyed = True
        else:
            ledger.assume(most * USED_SHARE * _assumed(presence.share), now)
        return ledger


def _assumed(share: float) -> float:
    """Tell how much of the window a new owner takes for spent.

    :param share: the share of the fleet that it sees.
    :rtype: float
    """
    seen = (share - MINOR_SHARE) / (MAJOR_SHARE - MINOR_SHARE)
    return ASSUMED_SHARE * max(0.0, min(1.0, seen))
