"""
chalkyoke.rollouts.lead

Decisions of an order's leader: whether the new version is tried, whether requests avoid the old
replicas, and when the order is completed or rolled back.
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

# Time before its deadline at which an order is decided, in seconds. It suffices for a write to the
# store, its announcement to all nodes, and a retry of a write whose answer was lost.
DECISION_MARGIN_S = 0.3
# Time before the decision at which nodes stop using the old replicas, in seconds. Requests that run
# there then end, and are reported, before the order is decided.
OLD_REPLICA_MARGIN_S = 0.5
# Time before the deadline from which requests that would outlast it go to the new version, in
# seconds: the longest time that a stream's caller waits, and at most half of the order's time.
MAX_CLOSING_S = 15.0
MAX_CLOSING_SHARE = 0.5
# Maximum time beyond the deadline for which a good version's order waits for requests at old
# replicas, in seconds: the duration of the longest request. A planned change must not abort them.
MAX_OVERTIME_S = 16.0

# Answers of the last RECENT_WINDOW_S seconds are also evaluated separately. Snapshots of the counts
# for that are taken every SNAPSHOT_INTERVAL_S seconds.
RECENT_WINDOW_S = 5.0
SNAPSHOT_INTERVAL_S = 1.0
# Time for which a version must be found slow, with more slow answers at the end than at the start,
# in seconds. A short stall of a host slows all of its requests in flight, and a new version
# receives many of its first requests at one moment. This is a fifth of the time that operators
# allow.
SLOW_CONFIRMATION_S = 1.0


class Phase(StrEnum):
    """How nodes distribute requests during an order.

    ``HELD``: no requests go to the new version. ``TRIAL``: a share of the requests does.
    ``PROVEN``: the version is good so far, and a smaller share checks that it stays good.
    ``CLOSING``: in addition, requests that would outlast the deadline go to the new version, and
    after the deadline all do. ``DONE``: only the new version is used. ``UNDONE``: the new version
    is never used again.
    """

    HELD = "held"
    TRIAL = "trial"
    PROVEN = "proven"
    CLOSING = "closing"
    DONE = "done"
    UNDONE = "undone"


PHASE_OF_STATE = {RolloutState.COMPLETED: Phase.DONE, RolloutState.ROLLED_BACK: Phase.UNDONE}


class Decision(msgspec.Struct, frozen=True):
    """A decision of the leader.

    :param why: the reason for the end of an order, for operators.
    """

    phase: Phase
    why: str = ""
    finding: Finding = Finding(Verdict.OPEN)


class _FoundSlow(msgspec.Struct, frozen=True):
    """The first of the successive findings that a version is slow, and its time."""

    since: float
    finding: Finding


class RolloutLeader:
    """Decide on the phases of one order.

    Reported counts are kept by node and summed as they arrive, because in a large fleet there are
    too many to sum for each decision.
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
        """Apply a node's report; each of its counts replaces the node's earlier one."""
        for counts in report.counts:
            each = Tally.from_counts(counts)
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
        """List the sums of all nodes' reported counts."""
        return list(self._totals.values())

    def old_running(self, live: Iterable[str]) -> int:
        """Count live nodes' requests at old replicas; a node without a report counts as one."""
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
        """Decide on the present phase of an order.

        :param passed_s: maximum time since the order was given, in seconds.
        :param new_replicas: number of replicas of the ordered version that take new work.
        :param tried: whether the service has had another version during the order.
        :param live: ids of the live processes of the fleet.
        :param sees_fleet: whether these are all processes that may exist; other processes may have
            requests at old replicas that they can't report.
        """
        if order.ended:
            return Decision(PHASE_OF_STATE[order.state])
        if self._undone:
            return Decision(Phase.UNDONE, "another leader found it bad")
        left_s = order.order.over_s - passed_s
        is_decision_due = left_s <= DECISION_MARGIN_S
        if not tried and new_replicas:
            # No traffic has to move. The order ends only at its deadline, because a replica list
            # that has expired may lack the other version for a while.
            phase = Phase.DONE if is_decision_due else Phase.HELD
            return Decision(phase, "no other version runs")
        finding = self._evaluate(passed_s, is_decision_due=is_decision_due)
        if finding.verdict is Verdict.BAD:
            return Decision(Phase.UNDONE, "bad version", finding)
        if is_decision_due and not new_replicas:
            return Decision(Phase.UNDONE, "no replica of the version", finding)
        if is_decision_due and finding.verdict is Verdict.OPEN:
            return Decision(Phase.UNDONE, "too little known of the version", finding)
        if not new_replicas:
            return Decision(Phase.HELD, finding=finding)
        has_left_old = sees_fleet and not self.old_running(live)
        if is_decision_due and (has_left_old or left_s <= -MAX_OVERTIME_S):
            return Decision(Phase.DONE, "good version", finding)
        if finding.verdict is not Verdict.GOOD:
            return Decision(Phase.TRIAL, finding=finding)
        closing_s = min(MAX_CLOSING_S, MAX_CLOSING_SHARE * order.order.over_s)
        phase = Phase.CLOSING if left_s <= closing_s else Phase.PROVEN
        return Decision(phase, finding=finding)

    def _evaluate(self, passed_s: float, *, is_decision_due: bool) -> Finding:
        """Evaluate the version by all answers, and by the recent ones alone."""
        finding = evaluate(self.tallies(), at_deadline=is_decision_due)
        recent = evaluate(self._recent_tallies(passed_s), bad_from=RECENT_BAD_THRESHOLD)
        if recent.verdict is Verdict.BAD:
            finding = recent
        if finding.verdict is Verdict.GOOD:
            self._last_good_s = passed_s
        if finding.verdict is not Verdict.BAD or finding.measure == FAILURES:
            self._found_slow = None
            return self._ignore_late_slowness(finding, passed_s) if is_decision_due else finding
        first = self._found_slow = self._found_slow or _FoundSlow(passed_s, finding)
        still = (
            passed_s - first.since >= SLOW_CONFIRMATION_S and finding.found > first.finding.found
        )
        if still or is_decision_due:
            return finding
        return msgspec.structs.replace(finding, verdict=Verdict.OPEN)

    def _ignore_late_slowness(self, finding: Finding, passed_s: float) -> Finding:
        """Restore the good verdict of a version whose only slow answers came at the last moment.

        No time is left to determine whether a short stall caused them.
        """
        is_slow = finding.verdict is Verdict.OPEN and finding.measure in SLOWNESS
        if is_slow and passed_s - self._last_good_s <= SLOW_CONFIRMATION_S:
            return msgspec.structs.replace(finding, verdict=Verdict.GOOD)
        return finding

    def _recent_tallies(self, passed_s: float) -> list[Tally]:
        """Return the tallies of the last seconds, because a good version may turn bad late.

        :param passed_s: time since the order was given, used as a clock, in seconds.
        """
        before = self._snapshots
        if not before or passed_s - before[-1][0] >= SNAPSHOT_INTERVAL_S:
            before.append((passed_s, [each.copy() for each in self._totals.values()]))
        while len(before) > 1 and passed_s - before[1][0] >= RECENT_WINDOW_S:
            before.popleft()
        recent = {key: each.copy() for key, each in self._totals.items()}
        for each in before[0][1]:
            recent[each.route, each.replica].add(each, -1)
        return list(recent.values())
