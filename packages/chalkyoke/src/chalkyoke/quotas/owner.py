"""
chalkyoke.quotas.owner

The quota owner of a team. Rendezvous hashing over the live members selects the owner. While two
nodes both believe that they are the owner, each leases only for the share of the fleet that it
sees, so the sum of their leases stays near the limit.
"""

import itertools
import math
from collections.abc import Callable, Iterable

import msgspec

from chalkyoke.catalog.resources import Team
from chalkyoke.quotas.copies import WindowCopies, WindowReplicator
from chalkyoke.quotas.ledger import (
    EMPTY_PARTS,
    HandedOffWindow,
    Ledger,
    larger_window,
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
from chalkyoke.quotas.ownersnapshots import OwnerSnapshots
from chalkyoke.quotas.window import QuotaLimits

# Lifetime of a lease, in seconds: long enough to serve a burst of one node without another request
# to the owner, short enough that idle leases expire within a sixteenth of a window.
LEASE_VALID_S = 0.5
# Fraction of the window limit that owners lease. The rest covers spending that owners can't see:
# spending without an owner, the last moment before a node is lost, and undetected partitions.
LEASABLE_SHARE = 0.8
# Fraction of the leasable cost that a new owner without information assumes to be spent.
ASSUMED_SHARE = 0.95
# Fractions of the fleet in sight between which the assumed spending rises from none to
# ASSUMED_SHARE. The smaller side of a partition leases at once: its share is small, and the owner
# on the other side counts the earlier spending. A node that sees most of the fleet may be the
# successor of a dead owner.
MINOR_SHARE = 0.5
MAJOR_SHARE = 0.72
# Fraction of the window that is reserved for each more urgent rank, and the highest number of ranks
# that have a reservation.
RESERVED_SHARE_PER_RANK = 0.04
MAX_RESERVED_RANKS = 3
# A request that costs at most this many plain requests ignores the reservations for other ranks.
CHEAP_PLAIN_COSTS = 3.0
# Cost leased ahead of need is at most the remaining headroom divided by this number, which leaves
# some for the other nodes.
LEASE_AHEAD_DIVISOR = 8.0
# Time for which a new owner accepts answers to its survey, in seconds: far longer than a round trip
# between failure domains.
SURVEY_S = 1.0
# An owner that used less than this share of the limit was one of several owners at the time.
FULL_SHARE = 0.999
# Fraction of the leasable cost that an owner may have leased after its last update to the
# successor: half a second of a team that uses its whole quota.
UNREPORTED_SHARE = 0.06
# Time after the first start of the whole fleet, in seconds, during which a new owner is the first
# owner of its team.
FIRST_START_S = 6.0
# Time for which a node keeps the window of a team that it no longer owns for the hand-off, in
# seconds: nodes disagree about the owner for at most 2.5 s (membership.view).
HAND_OFF_RETENTION_S = 3.0
# Lowest retry delay that a refused caller gets, in seconds.
MIN_RETRY_AFTER_S = 0.05
# Retry delay of a caller that is refused until the store has answered, in seconds: many times its
# usual response time.
SNAPSHOT_RETRY_AFTER_S = 0.1


# Time until nodes detect a partition between small failure domains, in seconds: ten heartbeats of
# 0.25 s.
DEFAULT_UNNOTICED_S = 2.5


class Presence(msgspec.Struct, frozen=True):
    """The part of the fleet that a node sees.

    :param live: number of members that the node believes alive, itself included.
    :param known: number of members that may exist, dead and unreachable ones included.
    :param unnoticed_s: longest time for which the node may not detect a partition from other
        failure domains, in seconds.
    """

    live: int
    known: int
    unnoticed_s: float = DEFAULT_UNNOTICED_S

    @property
    def share(self) -> float:
        """The share of the fleet's limits that this side of a partition may use, at most 1.

        :rtype: float
        """
        return min(1.0, self.live / max(1, self.known))


class OutgoingUpdate(msgspec.Struct, frozen=True):
    """A window update and the link address of its receiver."""

    address: str
    message: QuotaWindows


class _RetiredLedger(msgspec.Struct):
    """A ledger that this node kept until ``at``, and whether a new owner has received it.

    :param is_assumption: whether the ledger has only assumed spending, which a new owner that can
        read the snapshots must not take for a report.
    :param leased_unread: cost leased in the last window without knowledge of the snapshots.
    """

    ledger: Ledger
    at: float
    handed_off: bool = False
    is_assumption: bool = False
    leased_unread: float = 0.0


class QuotaOwner:
    """Lease cost of team quotas to the nodes that request it.

    :param limits: limits on the cost in any window.
    :param first_start: whether the whole fleet starts for the first time. Otherwise, and some
        seconds after a first start, another owner may have leased cost a moment ago, so a new
        window is assumed to be full.
    :param identity: random number of this process, which makes its window numbers unique.
    :param snapshots: whether windows are bounded by snapshots in the store.
    :ivar snapshots: the snapshots of this owner; None if they are off.
    """

    def __init__(
        self, limits: QuotaLimits, *, first_start: bool, identity: int, snapshots: bool = False
    ) -> None:
        self.limits = limits
        self._identity = identity
        self._numbers = itertools.count(1)
        self._first_start = first_start
        self._ledgers: dict[str, Ledger] = {}
        self._retired: dict[str, _RetiredLedger] = {}
        self._replicator = WindowReplicator()
        self._copies = WindowCopies(limits.window_s)
        self.snapshots: OwnerSnapshots | None = None
        if snapshots:
            self.snapshots = OwnerSnapshots(
                self._ledgers, LEASABLE_SHARE, ASSUMED_SHARE, HAND_OFF_RETENTION_S
            )

    def is_new_owner(self, team: str) -> bool:
        """Return whether this node has no ledger of a team, so that it needs a survey of spending.

        :rtype: bool
        """
        return team not in self._ledgers

    def start_owning(self, team: Team, presence: Presence, now: float) -> None:
        """Create the ledger of a team that this node owns from now on."""
        self._ledger(team, presence, now)

    def hand_off(self, team: str, now: float) -> HandedOffWindow:
        """Stop owning a team and return its window for the new owner.

        The first call after the change also returns the part that only this node knows. Later calls
        return the same window as one that other nodes know too.
        """
        self._retire(team, now)
        kept = self._retired.get(team)
        held = EMPTY_PARTS
        if kept is not None and now - kept.at <= HAND_OFF_RETENTION_S and not kept.is_assumption:
            held = kept.ledger.window.parts(now)
            if kept.leased_unread:
                own = (*EMPTY_PARTS[1:], 0.0 if kept.handed_off else kept.leased_unread)
                kept.handed_off = True
                return HandedOffWindow(held, own, assumed=True)
            if not kept.handed_off:
                kept.handed_off = True
                return HandedOffWindow(held, kept.ledger.own_spending(now))
        share = 1.0
        copy = self._copies.find(team, now)
        if copy is not None and larger_window(held, parts := copy.window.parts(now)) is parts:
            held, share = parts, copy.share
        return HandedOffWindow(held, copied=True, share=share) if any(held) else HandedOffWindow()

    def _retire(self, team: str, now: float, *, handed_off: bool = False) -> None:
        ledger = self._ledgers.get(team)
        if ledger is None:
            return
        retired = _RetiredLedger(ledger, now, handed_off=handed_off)
        self._retired[team] = retired
        if self.snapshots is not None:
            retired.is_assumption = not (ledger.surveyed or ledger.leased)
            if not self.snapshots.is_known(team):
                retired.leased_unread = self.snapshots.leased_recently(team, now)
                retired.is_assumption = not retired.leased_unread
            self.snapshots.release(team, now)
        del self._ledgers[team]

    def answer_request(
        self, team: Team, message: QuotaRequest, presence: Presence, now: float
    ) -> QuotaGrant:
        """Lease cost of a limited team to a node, or refuse with a retry delay.

        :rtype: QuotaGrant
        """
        ledger = self._ledger(team, presence, now)
        window = ledger.window
        ledger.apply_share(presence.share, presence.unnoticed_s, now)
        ledger.apply_limit(self.limits.window_limit(team.rate_per_s, team.burst), now)
        if message.lease_of == window.number:
            ledger.return_unspent(message.returned, now)
        if message.alone > 0 and ledger.surveyed:
            # While the window is assumed to be full, the assumption already covers this spending.
            ledger.add_lease(message.alone, now)
        leasable = self._leasable(team, message, ledger)
        headroom = ledger.headroom(leasable, now)
        room = self._snapshot_room(team.name, now)
        if min(headroom, room) < message.need:
            retry = MIN_RETRY_AFTER_S
            if headroom < message.need:
                retry = ledger.free_in_s(message.need - headroom, leasable, presence.share, now)
            if room < message.need:
                retry = max(retry, self._snapshot_retry_s(team.name, message.need - room, now))
                if headroom >= message.need and self.snapshots is not None:
                    self.snapshots.expect(team.name, message.need)
            retry = max(MIN_RETRY_AFTER_S, retry)
            return QuotaGrant(
                team.name,
                message.number,
                0.0,
                retry,
                LEASE_VALID_S,
                window.number,
                window.spent(now),
                ledger.allowed_cost(leasable, now),
            )
        spare = min(headroom, room) - message.need
        amount = message.need + min(message.ahead, spare / LEASE_AHEAD_DIVISOR)
        ledger.add_lease(amount, now)
        return QuotaGrant(team.name, message.number, amount, 0.0, LEASE_VALID_S, window.number)

    def is_bounded_by_snapshot(self, team: Team, message: QuotaRequest, now: float) -> bool:
        """Return whether a refused request may be granted as soon as the store has answered."""
        ledger = self._ledgers.get(team.name)
        if ledger is None or self.snapshots is None:
            return False
        if self.snapshots.is_unread(team.name):
            return True
        headroom = ledger.headroom(self._leasable(team, message, ledger), now)
        return self._snapshot_room(team.name, now) < message.need <= headroom

    def _leasable(self, team: Team, message: QuotaRequest, ledger: Ledger) -> float:
        """Return the cost that a window may hold for requests of the given rank.

        A part of the window is reserved for more urgent ranks, so less urgent requests are refused
        first.
        """
        cheap = self._is_cheap(team, message)
        reserved_ranks = 0 if cheap else min(message.rank, MAX_RESERVED_RANKS)
        reserved = RESERVED_SHARE_PER_RANK * reserved_ranks
        return ledger.window_limit * LEASABLE_SHARE * (1.0 - reserved)

    def _snapshot_retry_s(self, team: str, lacking: float, now: float) -> float:
        """Return when the store has answered, or when enough cost has left the window."""
        if self.snapshots is not None and self.snapshots.store_failing:
            return self.snapshots.free_in_s(team, lacking, now)
        return SNAPSHOT_RETRY_AFTER_S

    def _snapshot_room(self, team: str, now: float) -> float:
        return math.inf if self.snapshots is None else self.snapshots.room(team, now)

    def spent(self, team: str, now: float) -> float:
        """Return the cost in a team's window; 0 if this node is not the owner."""
        ledger = self._ledgers.get(team)
        return 0.0 if ledger is None else ledger.window.spent(now)

    def window_updates(
        self, successors: Callable[[str], Iterable[str]], now: float
    ) -> list[OutgoingUpdate]:
        """Build the updates that the successors of this node's teams need now.

        :param successors: returns the link addresses of the successors for a team.
        """
        changed: dict[str, list[WindowUpdate]] = {}
        kept: list[tuple[str, str]] = []
        for team, ledger in self._ledgers.items():
            if self.snapshots is not None and self.snapshots.is_unread(team):
                # A successor would resume the assumed spending instead of the snapshots.
                continue
            for address in successors(team):
                kept.append((address, team))
                update = self._replicator.next_update(address, team, ledger, now)
                if update is not None:
                    changed.setdefault(address, []).append(update)
        self._replicator.retain_successors(kept)
        return [
            OutgoingUpdate(address, QuotaWindows(tuple(windows)))
            for address, windows in changed.items()
        ]

    def apply_window_updates(self, message: QuotaWindows, now: float) -> None:
        """Update the copies of another owner's windows, which this node resumes if it is lost."""
        for update in message.windows:
            self._copies.apply(update, now)

    def _is_cheap(self, team: Team, message: QuotaRequest) -> bool:
        """Return whether a request costs so little that refusing it frees no room for others."""
        return message.need <= CHEAP_PLAIN_COSTS * team.default_cost

    def apply_spending_report(
        self, team: Team, message: QuotaSpent, presence: Presence, now: float
    ) -> None:
        """Apply a node's answer to the survey of a new owner.

        The window of an earlier owner replaces the assumed spending at once. Otherwise the sum of
        the reports replaces it once all nodes have answered.

        A node that started within the window doesn't know what its earlier process spent, and an
        unreachable node sends no report: the window then stays assumed to be full.
        """
        ledger = self._ledgers.get(team.name)
        if ledger is None or now - ledger.started_at > SURVEY_S:
            return
        if message.assumed and self.snapshots is not None:
            ledger.add_lease(sum(message.own), now)
        elif message.window:
            handed = HandedOffWindow(message.window, message.own, message.copied, message.share)
            ledger.resume_window(handed, now)
            self._bound_by_survey(team.name, now)
        if ledger.surveyed:
            return
        ledger.spending_reports[message.host] = message
        reports = ledger.spending_reports.values()
        whole = all(each.known_s >= self.limits.window_s for each in reports)
        if not whole or len(reports) < presence.known:
            return
        ledger.surveyed = True
        spent = sum(each.cost for each in reports)
        ledger.window.assume_spent(spent + ledger.leased, ledger.started_at)
        self._bound_by_survey(team.name, now)

    def _bound_by_survey(self, team: str, now: float) -> None:
        if self.snapshots is not None:
            self.snapshots.survey_answered(team, now)

    def apply_returned(self, message: QuotaReturned, now: float) -> None:
        """Add the cost that the other side of a healed partition leased on its own.

        A new owner ignores the message while its survey is open: the survey reports the same cost.
        """
        ledger = self._ledgers.get(message.team)
        if ledger is not None and now - ledger.started_at > SURVEY_S:
            ledger.apply_returned(message.parts, message.share, now)

    def release_unowned(self, is_owned: Callable[[str], bool], now: float) -> list[QuotaReturned]:
        """Stop owning the teams that another node owns now.

        Their windows are kept for :data:`HAND_OFF_RETENTION_S` for the hand-off to the new owners.

        :param is_owned: returns whether this node is the owner of a team.
        :return: the cost that this node leased as one of several owners during a partition.
        """
        returned: list[QuotaReturned] = []
        for name in [each for each in self._ledgers if not is_owned(each)]:
            ledger, own = self._ledgers[name], self._ledgers[name].own_spending(now)
            returns = ledger.share < FULL_SHARE and any(own)
            if returns:
                returned.append(QuotaReturned(name, ledger.share, own))
            self._retire(name, now, handed_off=returns)
        for name, kept in list(self._retired.items()):
            if now - kept.at > HAND_OFF_RETENTION_S:
                del self._retired[name]
        return returned

    def _ledger(self, team: Team, presence: Presence, now: float) -> Ledger:
        ledger = self._ledgers.get(team.name)
        if ledger is not None:
            return ledger
        number = self._identity + next(self._numbers)
        window_limit = self.limits.window_limit(team.rate_per_s, team.burst)
        ledger = new_ledger(self.limits, number, window_limit, presence.share, now)
        self._ledgers[team.name] = ledger
        copy = self._copies.find(team.name, now)
        is_first = copy is None and self._first_start and now < FIRST_START_S
        if copy is not None:
            window = copy.with_unreported(window_limit * LEASABLE_SHARE * UNREPORTED_SHARE, now)
            ledger.resume_from_copy(window, copy.share, now)
            self._copies.drop(team.name)
        elif is_first:
            ledger.surveyed = True
        else:
            ledger.assume_spent(
                window_limit * LEASABLE_SHARE * _assumed_fraction(presence.share), now
            )
        if self.snapshots is not None:
            self.snapshots.open(team.name, now, first=is_first)
        return ledger


def _assumed_fraction(share: float) -> float:
    """Return the fraction of the leasable cost that a new owner assumes to be spent.

    :param share: the share of the fleet that the owner sees.
    :rtype: float
    """
    seen = (share - MINOR_SHARE) / (MAJOR_SHARE - MINOR_SHARE)
    return ASSUMED_SHARE * max(0.0, min(1.0, seen))
