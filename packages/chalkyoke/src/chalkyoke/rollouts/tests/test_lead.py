"""Decisions of an order's leader on slow answers: a short stall is not a bad version."""

from chalkyoke.rollouts.evidence import Tally
from chalkyoke.rollouts.lead import Phase, RolloutLeader
from chalkyoke.rollouts.messages import RolloutReport
from chalkyoke.rollouts.resources import RolloutOrder, TrackedOrder

ORDER = TrackedOrder(RolloutOrder("s", "2", 2, 20.0, 5), 0.0)


class Node:
    """Reports 200 normal answers of the old version and chosen answers of the new one."""

    def __init__(self):
        self.old, self.new = Tally("r"), Tally("r", "new-1")
        self.lead = RolloutLeader()
        for _ in range(200):
            self.old.count_request(failed=False, ratio=1.0)

    def answers(self, count, ratio):
        for _ in range(count):
            self.new.count_request(failed=False, ratio=ratio)

    def decide(self, passed_s):
        counts = (self.old.to_counts(), self.new.to_counts())
        self.lead.apply_report("n1", RolloutReport("s", 5, counts, 0, passed_s))
        return self.lead.decide(
            ORDER, passed_s, new_replicas=2, tried=True, live=["n1"], sees_fleet=True
        ).phase


def test_answers_slowed_by_one_stall_do_not_roll_back_a_version():
    """Guards against a rollback for eight slow first answers, as a busy processor causes them."""
    node = Node()
    node.answers(8, ratio=10.0)
    assert node.decide(0.5) is Phase.TRIAL
    for turn in range(1, 16):
        node.answers(3, ratio=1.0)
        assert node.decide(0.5 + 0.25 * turn) in (Phase.TRIAL, Phase.PROVEN)


def test_version_that_stays_slow_is_rolled_back_within_seconds():
    node = Node()
    for turn in range(20):
        node.answers(3, ratio=4.0)
        if node.decide(0.5 + 0.25 * turn) is Phase.UNDONE:
            break
    assert 4 <= turn <= 8


class TwoRoutes:
    """Reports the answers of two routes."""

    def __init__(self):
        self.lead = RolloutLeader()
        self.counts = {}

    def answers(self, route, replica, count, ratio=1.0, *, failed=False):
        tally = self.counts.setdefault((route, replica), Tally(route, replica))
        for _ in range(count):
            tally.count_request(failed=failed, ratio=ratio)

    def decide(self, passed_s):
        counts = tuple(each.to_counts() for each in self.counts.values())
        self.lead.apply_report("n1", RolloutReport("s", 5, counts, 0, passed_s))
        return self.lead.decide(
            ORDER, passed_s, new_replicas=2, tried=True, live=["n1"], sees_fleet=True
        )

    def play_until(self, last_s, new_answers=1):
        """Report normal answers of both versions, and decide four times a second."""
        phase = None
        for look in range(int(4 * last_s)):
            for route in ("book", "find"):
                self.answers(route, "", 3)
                self.answers(route, "new-1", new_answers if look % 2 else 0)
            phase = self.decide(look / 4).phase
        return phase


DECISION_DUE_S = ORDER.order.over_s - 0.25


# Guards against the rollback of a good version for a stall just before its deadline, when no time
# is left to determine that the stall was short.
def test_good_version_completes_despite_a_stall_just_before_the_deadline():
    node = TwoRoutes()
    assert node.play_until(19.5) is Phase.CLOSING
    node.answers("book", "new-1", 4, ratio=10.0)
    decision = node.decide(DECISION_DUE_S)
    assert decision.phase is Phase.DONE, decision


# This exception must not hide failures, nor a version that was slow for longer.
def test_failures_just_before_the_deadline_cause_a_rollback():
    node = TwoRoutes()
    node.play_until(19.5)
    node.answers("book", "new-1", 6, failed=True)
    assert node.decide(DECISION_DUE_S).phase is Phase.UNDONE


def test_version_that_was_slow_in_its_last_seconds_is_rolled_back():
    node = TwoRoutes()
    node.play_until(16.0)
    for look in range(14):
        node.answers("book", "", 3)
        node.answers("book", "new-1", 1, ratio=10.0 if look % 3 == 0 else 1.0)
        node.decide(16.0 + look / 4)
    assert node.decide(DECISION_DUE_S).phase is Phase.UNDONE


def test_version_that_was_never_found_good_is_rolled_back():
    node = TwoRoutes()
    node.play_until(3.0)
    assert node.decide(DECISION_DUE_S).phase is Phase.UNDONE
