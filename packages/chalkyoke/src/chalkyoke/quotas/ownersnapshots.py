"""
chalkyoke.quotas.ownersnapshots

The snapshots of one owner: which teams need a write or a read, what is written, and how much the
owner may lease until then. The store is accessed in ``node.quotasnapshots``.
"""

import itertools
import math
from collections.abc import Mapping
from enum import IntEnum

import msgspec

from chalkyoke.quotas.growth import Bound, TeamGrowth
from chalkyoke.quotas.ledger import SHORT_WINDOW_FRACTION, SHORT_WINDOW_SHARE, Ledger, Parts
from chalkyoke.quotas.snapshots import (
    FORMAT_VERSION,
    GROWTH_SHARE,
    MAX_VALUE_BYTES,
    OwnerSnapshot,
    ReadSnapshots,
    TeamSnapshot,
    combine,
    make_team_snapshot,
)
from chalkyoke.quotas.window import WINDOW_PARTS, SpendingWindow

# Used fraction of the growth above which a write is due. The rest lasts for a quarter of a second
# of the steepest ramp that an owner leases, longer than a write to a slow store.
URGENT_FRACTION = 0.7
# Fall of the share in use that makes a write due at once; a single lost host is below it.
SHARE_FALL = 0.04
# Rise of the share in use that makes a write due.
SHARE_RISE = 0.1
# Growths by which a sum of a window's newest parts has fallen below its snapshot when a write that
# lowers the snapshot is due. Each write also answers all watches of the store.
LOWER_GROWTHS = 2.0
# Minimum time between writes that only make snapshots lower, in seconds.
LOWER_INTERVAL_S = 2.0


class Due(IntEnum):
    """When a write is due: not now, within seconds, or at once."""

    NOT = 0
    LATER = 1
    NOW = 2


class OutgoingSnapshot(msgspec.Struct, frozen=True):
    """A value to write.

    :param number: number of the write.
    """

    number: int
    value: bytes


class _ReleasedTeam(msgspec.Struct, frozen=True):
    """The last snapshot of a team that this node no longer owns, kept until ``until``."""

    snapshot: TeamSnapshot
    until: float


class OwnerSnapshots:
    """Bound the windows of an owner by its snapshots.

    :param ledgers: the owner's ledgers by team, which its owner keeps up to date.
    :param leasable_share: fraction of the window limit that owners lease.
    :param assumed_share: fraction of the leasable cost that is assumed to be spent if nothing is
        known.
    :ivar store_failing: whether the store has not answered the last read or write.
    :param retention_s: time for which the snapshot of a team is kept after another node has become
        its owner, in seconds: the new owner writes its own within that time.
    """

    def __init__(
        self,
        ledgers: Mapping[str, Ledger],
        leasable_share: float,
        assumed_share: float,
        retention_s: float,
    ) -> None:
        self._ledgers = ledgers
        self._leasable_share = leasable_share
        self._assumed_share = assumed_share
        self._retention_s = retention_s
        self._numbers = itertools.count(1)
        self._teams: dict[str, TeamGrowth] = {}
        self._released: dict[str, _ReleasedTeam] = {}
        self._written: dict[str, TeamSnapshot] = {}
        self._lower_checked_at = -math.inf
        self.store_failing = False

    # The owner's side.

    def open(self, team: str, now: float, *, first: bool) -> None:
        """Begin to bound a team's window.

        :param first: whether this node is the first owner in the fleet, so that the store holds no
            snapshot of the team.
        """
        ledger = self._ledgers[team]
        recent = SpendingWindow(ledger.window.window_s)
        growth = TeamGrowth(recent, ledger.window_limit, opened_at=now)
        self._teams[team] = growth
        if first:
            return
        if ledger.surveyed:
            growth.inherit(ledger, now)
            return
        growth.unread = True

    def survey_answered(self, team: str, now: float) -> None:
        """Bound the window by what a survey has just shown, until the first acknowledged write."""
        growth, ledger = self._teams[team], self._ledgers[team]
        if not growth.sent and ledger.surveyed:
            growth.inherit(ledger, now)

    def release(self, team: str, now: float) -> None:
        """Stop bounding the window of a team that another node owns now."""
        self._teams.pop(team, None)
        written = self._written.get(team)
        if written is not None:
            self._released[team] = _ReleasedTeam(written, now + self._retention_s)

    def room(self, team: str, now: float) -> float:
        """Return the cost of a team that may be leased now; infinite if no snapshot limits it."""
        return self._teams[team].room(self._ledgers[team], now)

    def free_in_s(self, team: str, lacking: float, now: float) -> float:
        """Return the time until a lacking cost may be leased without the store, in seconds."""
        growth = self._teams[team]
        window = self._ledgers[team].window if growth.is_known else growth.recent
        return window.free_in_s(lacking, now)

    def expect(self, team: str, cost: float) -> None:
        """Make room for a cost with the next write, which is due at once.

        A cost above the growth would not fit into the bound of any snapshot of the window alone.
        """
        growth = self._teams[team]
        if not growth.unread:
            growth.expected = max(growth.expected, cost)

    # Reads.

    def is_unread(self, team: str) -> bool:
        """Return whether a team's snapshots have to be read first."""
        growth = self._teams.get(team)
        return growth is not None and growth.unread

    def is_known(self, team: str) -> bool:
        """Return whether all snapshots of a team in the store are known to this owner."""
        growth = self._teams.get(team)
        return growth is None or growth.is_known

    def leased_recently(self, team: str, now: float) -> float:
        """Return the cost that this owner leased to a team in the last window."""
        return self._teams[team].leased_recently(self._ledgers[team], now)

    def unread_teams(self) -> list[str]:
        """List the teams whose spending no other node knew and whose snapshots are not read yet."""
        return [team for team, growth in self._teams.items() if growth.unread]

    def apply_read(self, teams: list[str], found: ReadSnapshots, now: float) -> list[str]:
        """Resume windows from the snapshots in the store.

        :param teams: the teams that were unread when the read began.
        :return: the teams whose windows were resumed; the others keep the assumed spending.
        """
        resumed: list[str] = []
        for team in teams:
            growth, ledger = self._teams.get(team), self._ledgers.get(team)
            if growth is None or ledger is None or not growth.unread:
                continue
            growth.unread = False
            if not found.complete:
                # The unreadable value may contain more spending of this team than the others.
                growth.unreadable = True
                continue
            leasable = ledger.window_limit * self._leasable_share
            window = combine(
                found.teams.get(team, ()),
                ledger.window_limit,
                leasable,
                leasable * self._assumed_share,
            )
            if window is None:
                continue
            leased = growth.leased_recently(ledger, now)
            ledger.resume_snapshot(window.parts, window.growth, leased, now)
            share = min(1.0, sum(each.share for each in found.teams[team]))
            growth.inherit(ledger, now, Bound(window.bound, share))
            resumed.append(team)
        return resumed

    # Writes.

    def due(self, now: float) -> Due:
        """Return whether a write is due."""
        due = Due.NOT
        check_lower = now - self._lower_checked_at >= LOWER_INTERVAL_S
        if check_lower:
            self._lower_checked_at = now
            if any(now >= each.until for each in self._released.values()):
                due = Due.LATER
        for team, growth in self._teams.items():
            ledger = self._ledgers[team]
            if growth.unread:
                continue
            if check_lower or growth.expected or growth.checked != ledger.leased:
                growth.checked = ledger.leased
                due = max(due, self._due_of_team(growth, ledger, now))
        return due if check_lower or due is Due.NOW else Due.NOT

    def _due_of_team(self, growth: TeamGrowth, ledger: Ledger, now: float) -> Due:
        sums = ledger.window.recent_sums(now)
        growth.apply_limit(ledger.window_limit)
        before = growth.snapshot
        if before is None:
            return Due.NOW if sums[-1] or growth.expected else Due.LATER
        unit = GROWTH_SHARE * ledger.window_limit
        grown = max(spent - known for spent, known in zip(sums, before.sums, strict=True))
        is_urgent = growth.expected or grown > URGENT_FRACTION * unit
        if is_urgent or ledger.share < before.share - SHARE_FALL:
            return Due.NOW
        fallen = max(known - spent for spent, known in zip(sums, before.sums, strict=True))
        lower = fallen > LOWER_GROWTHS * unit and self._would_refuse(before.sums, sums, ledger)
        return Due.LATER if lower or ledger.share > before.share + SHARE_RISE else Due.NOT

    def _would_refuse(self, known: Parts, sums: Parts, ledger: Ledger) -> bool:
        """Return whether a reader of a snapshot has less room than the newest quarter has used.

        With more room, the reader refuses nothing although the snapshot is too high, so it needs
        no write.

        :param known: the sums of the snapshot.
        :param sums: the sums of the actual window.
        """
        leasable = self._leasable_share * ledger.window_limit
        quarter = int(WINDOW_PARTS * SHORT_WINDOW_FRACTION) - 1
        room = leasable - known[-1] - GROWTH_SHARE * ledger.window_limit
        quarter_room = SHORT_WINDOW_SHARE * leasable - known[quarter]
        return min(room, quarter_room) < sums[quarter]

    def build(self, epoch: int, now: float) -> OutgoingSnapshot:
        """Build the value to write now. From now on the store may hold it.

        Teams with the highest spending come first, if not all of them fit into one value; those
        left out have no snapshot.

        :param epoch: the store's epoch.
        """
        number = next(self._numbers)
        made: dict[str, tuple[TeamSnapshot, Parts]] = {}
        for team, growth in self._teams.items():
            ledger = self._ledgers[team]
            if growth.unread:
                continue
            growth.apply_limit(ledger.window_limit)
            sums = tuple(each + growth.expected for each in ledger.window.recent_sums(now))
            growth.expected = 0.0
            made[team] = make_team_snapshot(team, ledger.window_limit, ledger.share, sums)
        self._drop_released(now)
        kept = [each.snapshot for each in self._released.values()]
        fitting = _fitting([*(snapshot for snapshot, _ in made.values()), *kept])
        for snapshot in fitting:
            if snapshot.team in made:
                self._record_sent(number, snapshot, made[snapshot.team][1])
        self._written = {each.team: each for each in fitting}
        value = msgspec.msgpack.encode(OwnerSnapshot(FORMAT_VERSION, epoch, tuple(fitting)))
        return OutgoingSnapshot(number, value)

    def _record_sent(self, number: int, snapshot: TeamSnapshot, sums: Parts) -> None:
        growth = self._teams[snapshot.team]
        more = GROWTH_SHARE * snapshot.window_limit
        growth.snapshot = Bound(sums, snapshot.share)
        growth.sent[number] = Bound(tuple(each + more for each in sums), snapshot.share)

    def _drop_released(self, now: float) -> None:
        for team, each in list(self._released.items()):
            if now >= each.until or team in self._teams:
                del self._released[team]

    def acknowledged(self, number: int) -> None:
        """Apply the store's acknowledgement of a write."""
        for growth in self._teams.values():
            growth.acknowledge(number)

    def not_applied(self, number: int) -> None:
        """Drop a write that the store has not applied and never will; it has to be repeated."""
        for growth in self._teams.values():
            growth.sent.pop(number, None)

    def value_lost(self) -> None:
        """Forget all writes, since the store has dropped this owner's value with its lease."""
        for growth in self._teams.values():
            growth.lose()
        self._written.clear()

    @property
    def is_active(self) -> bool:
        """Whether calls to the store may become due."""
        return bool(self._teams or self._released or self._written)

    @property
    def has_value(self) -> bool:
        """Whether the store may hold snapshots of teams."""
        return bool(self._written)


def _fitting(snapshots: list[TeamSnapshot]) -> list[TeamSnapshot]:
    """Return the snapshots that fit into one value, the highest spending first if not all do."""
    if sum(map(_encoded_bytes, snapshots)) <= MAX_VALUE_BYTES:
        return snapshots
    ranked = sorted(snapshots, key=lambda each: sum(each.parts), reverse=True)
    sizes = itertools.accumulate(map(_encoded_bytes, ranked))
    return [each for each, size in zip(ranked, sizes, strict=True) if size <= MAX_VALUE_BYTES]


def _encoded_bytes(snapshot: TeamSnapshot) -> int:
    return len(msgspec.msgpack.encode(snapshot))
