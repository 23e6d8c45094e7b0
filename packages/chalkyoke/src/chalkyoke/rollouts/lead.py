"""
chalkyoke.rollouts.lead

How far an order has come, as its leader decides: whether the version is tried, whether the old
replicas are left, and when the order is done or rolled back.
"""

from collections import deque
from collections.abc import Iterable
from enum import StrEnum

import msgspec

from chalkyoke.rollouts.evidence import (
    FAILURES,
    RECENT_BAD_THRESHOLD,
    SLOWNESS,
    Finding,
    Tally,
    Verdict,
    evaluate,
)
from chalkyoke.rollouts.messages import RolloutReport
from chalkyoke.rollouts.resources import RolloutState, TrackedOrder

# How long before its deadline an order is answered, in seconds: a write to the store, its news to
# all nodes, and a second try of a write whose answer was lost would still be in time.
DECISION_MARGIN_S = 0.3
# How long before that nodes leave the old replicas altogether, in seconds: what runs there then
# ends, and is told, before the order is answered.
OLD_REPLICA_MARGIN_S = 0.5
# How long before the deadline requests that would outlast it go to the new version, in seconds:
# the longest time that a stream's caller waits; at most half of the order's time.
MAX_CLOSING_S = 15.0
MAX_CLOSING_SHARE = 0.5
# How long a good version is waited for beyond the deadline while requests run at old replicas, in
# seconds: as long as the longest of them lasts. A planned change must not cut them off.
MAX_OVERTIME_S = 16.0

# What came within so many seconds is judged by itself too, and how often a mark for that is kept.
RECENT_WINDOW_S = 5.0
SNAPSHOT_INTERVAL_S = 1.0
# For how long a version has to be found slow, with more slow answers at the end than before, in
# seconds: what holds up a host for a moment makes all slow that was on its way, and new versions
# get many of their first requests at one moment. A fifth of the time that operators allow.
SLOW_CONFIRMATION_S = 1.0


class Phase(StrEnum):
    """What nodes do for an order.

    ``HELD``: nothing goes to the new version. ``TRIAL``: a share does. ``PROVEN``: it is good so
    far, and less does, to see whether it stays so. ``CLOSING``: besides, what would outlast the
    deadline does, and all after it. ``DONE`` and ``UNDONE``: only the new version is used, or never
    again.
    """

    HELD = "held"
    TRIAL = "trial"
    PROVEN = "proven"
    CLOSING = "closing"
    DONE = "done"
    UNDONE = "undone"


PHASE_OF_STATE = {RolloutState.COMPLETED: Phase.DONE, RolloutState.ROLLED_BACK: Phase.UNDONE}


class Decision(msgspec.Struct, frozen=True):
    """What the leader decides now.

    :param why: of the end of an order, for operators.
    """

    phase: Phase
    why: str = ""
    finding: Finding = Finding(Verdict.OPEN)


class _FoundSlow(msgspec.Struct, frozen=True):
    """A version was found slow: since when, and by how many answers then."""

    since: float
    finding: Finding


class RolloutLeader:
    """Lead one order.

    What nodes told is kept by node and added up as it comes: in a large fleet it is too much to add
    up at each look.
    """

    def __init__(self) -> None:
        self._tallies: dict[tuple[str, str, str], Tally] = {}
        self._totals: dict[tuple[str, str], Tally] = {}
        self._old_running: dict[str, int] = {}
        self._undone = False
        self._snapshots: deque[tuple[float, list[Tally]]] = deque()
        self._found_slow: _FoundSlow | None = None
        self._last_good_s = float("-inf")

    def apply_report(self, process: str, report: RolloutReport) -> None:
        """Take a node's report; each of its counts takes the place of an earlier one."""
        for told in report.counts:
            each = Tally.from_counts(told)
            key = (each.route, each.replica)
            total = self._totals.setdefault(key, Tally(*key))
            before = self._tallies.get((process, *key))
            if before is not None:
                total.add(before, -1)
            total.add(each)
            self._tallies[process, *key] = each
        self._old_running[process] = report.old_running
        self._undone = self._undone or report.undone

    def tallies(self) -> list[Tally]:
        """List what all nodes have told, added up."""
        return list(self._totals.values())

    def old_running(self, live: Iterable[str]) -> int:
        """Count what live nodes have at old replicas; who has not told yet may have one."""
        return sum(self._old_running.get(process, 1) for process in live)

    def decide(
        self,
        order: TrackedOrder,
        passed_s: float,
        *,
        new_replicas: int,
        tried: bool,
        live: Iterable[str],
        sees_fleet: bool,
    ) -> Decision:
        """Decide how far an order has come.

        :param passed_s: how long ago it was given at most, in seconds.
        :param new_replicas: replicas of the ordered version that take new work.
        :param tried: whether another version was seen beside it.
        :param live: the processes of the fleet.
        :param sees_fleet: whether these are all that there may be; others may run what they can't
            tell.
        """
        if order.ended:
            return Decision(PHASE_OF_STATE[order.state])
        if self._undone:
            return Decision(Phase.UNDONE, "another leader found it bad")
        left_s = order.order.over_s - passed_s
        is_last_call = left_s <= DECISION_MARGIN_S
        if not tried and new_replicas:
            # Nothing has to move. It is said at the end: a list that lapsed shows too little.
            phase = Phase.DONE if is_last_call else Phase.HELD
            return Decision(phase, "no other version runs")
        finding = self._evaluate(passed_s, is_last_call=is_last_call)
        if finding.verdict is Verdict.BAD:
            return Decision(Phase.UNDONE, "bad version", finding)
        if is_last_call and not new_replicas:
            return Decision(Phase.UNDONE, "no replica of the version", finding)
        if is_last_call and finding.verdict is Verdict.OPEN:
            return Decision(Phase.UNDONE, "too little known of the version", finding)
        if not new_replicas:
            return Decision(Phase.HELD, finding=finding)
        has_left_old = sees_fleet and not self.old_running(live)
        if is_last_call and (has_left_old or left_s <= -MAX_OVERTIME_S):
            return Decision(Phase.DONE, "good version", finding)
        if finding.verdict is not Verdict.GOOD:
            return Decision(Phase.TRIAL, finding=finding)
        closing_s = min(MAX_CLOSING_S, MAX_CLOSING_SHARE * order.order.over_s)
        phase = Phase.CLOSING if left_s <= closing_s else Phase.PROVEN
        return Decision(phase, finding=finding)

    def _evaluate(self, passed_s: float, *, is_last_call: bool) -> Finding:
        """Judge the version by all that is known, and by what came lately."""
        finding = evaluate(self.tallies(), at_deadline=is_last_call)
        lately = evaluate(self._recent_tallies(passed_s), bad_from=RECENT_BAD_THRESHOLD)
        if lately.verdict is Verdict.BAD:
            finding = lately
        if finding.verdict is Verdict.GOOD:
            self._last_good_s = passed_s
        if finding.verdict is not Verdict.BAD or finding.measure == FAILURES:
            self._found_slow = None
            return self._ignore_late_slowness(finding, passed_s) if is_last_call else finding
        first = self._found_slow = self._found_slow or _FoundSlow(passed_s, finding)
        still = (
            passed_s - first.since >= SLOW_CONFIRMATION_S and finding.found > first.finding.found
        )
        if still or is_last_call:
            return finding
        return msgspec.structs.replace(finding, verdict=Verdict.OPEN)

    def _ignore_late_slowness(self, finding: Finding, passed_s: float) -> Finding:
        """Give a good version its verdict back that slow answers of the last moment have taken.

        No time is left to see whether they are of a moment that held all up.
        """
        is_slow = finding.verdict is Verdict.OPEN and finding.measure in SLOWNESS
        if is_slow and passed_s - self._last_good_s <= SLOW_CONFIRMATION_S:
            return msgspec.structs.replace(finding, verdict=Verdict.GOOD)
        return finding

    def _recent_tallies(self, passed_s: float) -> list[Tally]:
        """Give what came within the last seconds: a good version may turn bad late.

        :param passed_s: a clock, in seconds.
        """
        before = self._snapshots
        if not before or passed_s - before[-1][0] >= SNAPSHOT_INTERVAL_S:
            before.append((passed_s, [each.copy() for each in self._totals.values()]))
        while len(before) > 1 and passed_s - before[1][0] >= RECENT_WINDOW_S:
            before.popleft()
        lately = {key: each.copy() for key, each in self._totals.items()}
        for each in before[0][1]:
            lately[each.route, each.replica].add(each, -1)
        return list(lately.values())
