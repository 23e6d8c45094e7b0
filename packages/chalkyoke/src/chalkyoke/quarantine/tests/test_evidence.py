"""Evidence for and against a request, with reports in any order."""

from chalkyoke.quarantine.evidence import (
    ENDS_TO_HOLD_ALWAYS,
    EVIDENCE_RETENTION_S,
    HOLD_S,
    MAX_REQUESTS,
    EvidenceTracker,
)
from chalkyoke.quarantine.messages import HeldRequest
from hypothesis import given
from hypothesis import strategies as st

REQUEST = b"request-name"

PART = b"a-part------"


def count_end(tracker, number, at, *, weight=1.0, request=REQUEST, now=None):
    return tracker.record_end(request, f"m{number}/1", weight, at, at if now is None else now)


def test_a_request_is_held_back_from_the_third_end_on():
    tracker = EvidenceTracker()
    assert [count_end(tracker, number, float(number)) for number in range(3)] == [
        False,
        False,
        True,
    ]
    assert tracker.is_held(REQUEST)


def test_one_end_reported_by_two_nodes_counts_once():
    tracker = EvidenceTracker()
    count_end(tracker, 1, 1.0)
    count_end(tracker, 1, 3.9, now=4.0)
    # The reporting node doesn't know yet that the replica had restarted before.
    tracker.record_end(REQUEST, "m1/0", 1.0, 1.1, 1.2)
    assert tracker.find(REQUEST).weight == 1.0
    # The same replica, after a restart.
    tracker.record_end(REQUEST, "m1/2", 1.0, 3.0, 3.0)
    assert tracker.find(REQUEST).weight == 2.0


def test_ends_under_a_long_output_count_half_and_five_are_enough_in_any_case():
    tracker = EvidenceTracker()
    held = [count_end(tracker, number, float(number), weight=0.5) for number in range(5)]
    assert held == [False] * 4 + [True]


def test_three_ends_are_not_enough_if_many_replicas_end_by_themselves():
    tracker = EvidenceTracker()
    for number in range(4):
        # Three other replicas end each time while they run other requests.
        for other in range(3):
            count_end(
                tracker, f"other-{number}-{other}", number - 0.1, request=b"%d-%d" % (number, other)
            )
        assert not count_end(tracker, number, float(number))
    assert count_end(tracker, 9, 9.0)


def test_a_popular_request_that_runs_at_every_end_is_never_held_back():
    tracker = EvidenceTracker()
    for number in range(50):
        count_end(tracker, number, float(number))
        tracker.record_served(REQUEST, number + 0.1, number + 0.1)
        assert not tracker.is_held(REQUEST)


def test_a_late_report_of_an_end_before_a_complete_answer_is_ignored():
    tracker = EvidenceTracker()
    count_end(tracker, 0, 0.0)
    tracker.record_served(REQUEST, 1.0, 1.0)
    count_end(tracker, 1, 0.5, now=2.0)
    count_end(tracker, 2, 0.9, now=2.0)
    assert tracker.find(REQUEST).weight == 0.0


@given(st.permutations([("end", 0), ("end", 1), ("end", 2), ("end", 3), ("served", 1.5)]))
def test_the_decision_does_not_depend_on_the_order_of_reports(reports):
    tracker = EvidenceTracker()
    for kind, at in reports:
        if kind == "end":
            count_end(tracker, at, float(at), now=10.0)
        else:
            tracker.record_served(REQUEST, at, at)
    # Two ends remain after the complete answer; a node that held the request has released it.
    assert tracker.find(REQUEST).weight == 2.0
    assert not tracker.is_held(REQUEST)


def test_a_request_on_probation_is_held_back_by_one_end_and_for_longer():
    tracker = EvidenceTracker()
    for number in range(3):
        count_end(tracker, number, float(number))
    assert tracker.expire(HOLD_S + 2.0) == [REQUEST]
    assert not tracker.is_held(REQUEST)
    again = HOLD_S + 10.0
    assert count_end(tracker, 9, again)
    assert tracker.expire(again + HOLD_S + 1.0) == []
    assert tracker.expire(again + 2 * HOLD_S) == [REQUEST]
    assert tracker.expire(again + 2 * HOLD_S + EVIDENCE_RETENTION_S + 1.0) == []
    assert len(tracker) == 0


def test_a_hold_of_another_node_applies_unless_the_request_was_served_since():
    tracker, other = EvidenceTracker(), EvidenceTracker()
    for number in range(3):
        count_end(tracker, number, float(number))
    announced = tracker.held_requests(5.0)
    assert announced == (HeldRequest(REQUEST, 3.0, HOLD_S - 3.0),)
    assert other.merge_held(announced[0], 105.0)
    assert other.checksum() == tracker.checksum() != 0
    other.record_served(REQUEST, 104.0, 104.0)
    assert other.refuted_holds(announced, 105.0) == [(REQUEST, 104.0)]
    assert not other.merge_held(announced[0], 105.0)


def test_a_thousand_requests_are_held_back_at_once_within_bounded_memory():
    tracker = EvidenceTracker()
    for number in range(ENDS_TO_HOLD_ALWAYS):
        for request in range(1000):
            count_end(tracker, 5 * request + number, float(number), request=b"%d" % request)
    for victim in range(3 * MAX_REQUESTS):
        count_end(tracker, victim, 5.0, request=b"victim-%d" % victim)
    assert len(tracker.held) == 1000
    assert len(tracker) <= MAX_REQUESTS + 1


# Guards against holding back a popular request for ends that another request explains.
def test_ends_explained_by_a_held_request_do_not_count_against_a_served_one():
    tracker, popular = EvidenceTracker(), b"popular"
    tracker.record_delivered(popular, 0.5)
    for number in range(3):
        assert not count_end(tracker, number, 1.0 + number, weight=0.9, request=popular)
        held = count_end(tracker, number, 1.0 + number)
    assert held
    for number in range(3, 9):
        count_end(tracker, number, 1.0 + number)
        assert not count_end(tracker, number, 1.0 + number, request=popular)
    # Unexplained ends still count.
    ends = [count_end(tracker, number, 1.0 + number, request=popular) for number in range(9, 15)]
    assert True in ends


def test_a_held_request_is_released_once_another_explains_its_ends():
    tracker, popular = EvidenceTracker(), b"popular"
    tracker.record_delivered(popular, 0.5)
    for number in range(6):
        assert not tracker.is_held(popular)
        count_end(tracker, number, 1.0 + number, request=popular)
    assert tracker.is_held(popular)
    # The reports of the request that ends the replicas are late.
    for number in range(6):
        count_end(tracker, number, 1.0 + number, now=8.0)
    assert tracker.release_explained(9.0) == [popular]
    assert not tracker.is_held(popular) and tracker.is_held(REQUEST)
    # A hold by a node that doesn't know the explanation is not applied.
    assert not tracker.merge_held(HeldRequest(popular, 1.0, HOLD_S), 9.0)


def test_a_request_that_was_served_before_is_held_back_from_the_sixth_end_on():
    tracker = EvidenceTracker()
    tracker.record_delivered(REQUEST, 0.5)
    held = [count_end(tracker, number, 1.0 + number) for number in range(6)]
    assert held == [False] * 5 + [True]


def test_two_requests_that_end_replicas_in_turn_explain_the_ends_before_they_are_held():
    tracker, popular = EvidenceTracker(), b"popular"
    tracker.record_delivered(popular, 0.5)
    for number in range(6):
        count_end(tracker, number, 1.0 + number, request=b"first" if number % 2 else b"second")
        assert not count_end(tracker, number, 1.0 + number, request=popular)
    assert not tracker.holds_any
    assert not count_end(tracker, 6, 7.0, request=popular)


def test_ends_of_a_request_that_was_never_served_are_not_explained():
    tracker, other = EvidenceTracker(), b"other"
    for number in range(3):
        count_end(tracker, number, 1.0 + number)
        held = count_end(tracker, number, 1.0 + number, request=other)
    assert held
    assert tracker.release_explained(9.0) == []


def test_a_part_that_another_node_has_served_is_not_held_while_all_replicas_end():
    """Guards against a sound part that runs on all replicas of a domain when it is lost."""
    tracker = EvidenceTracker()
    tracker.record_served(PART, 0.5, now=1.0)
    held = [
        tracker.record_end(PART, f"m{number}/1", 1.0, at, at, is_part=True)
        for number, at in enumerate((2.0, 2.2, 2.4, 2.6, 2.8, 3.0, 3.2, 3.4, 3.6))
    ]
    assert held == [False] * 9
    assert tracker.held == frozenset()


def test_a_part_that_was_never_served_is_held_after_four_ends():
    tracker = EvidenceTracker()
    held = [
        tracker.record_end(PART, f"m{number}/1", 1.0, number, number, is_part=True)
        for number in range(1, 5)
    ]
    assert held == [False, False, False, True]


def test_a_rare_part_under_few_of_many_ends_is_held_after_eight():
    tracker = EvidenceTracker()
    held = 0
    for number in range(1, 8):
        for other in range(4):
            name = b"other%07d" % (4 * number + other)
            tracker.record_end(name, f"m{number}{other}/1", 1.0, number, number)
        held += tracker.record_end(PART, f"p{number}/1", 1.0, number, number, is_part=True)
    assert not held
    assert tracker.record_end(PART, "p8/1", 1.0, 8, 8, is_part=True)


def test_ends_under_a_held_part_do_not_count_against_another_part():
    tracker = EvidenceTracker()
    other = b"another-part"
    for number in range(1, 5):
        tracker.record_end(PART, f"m{number}/1", 1.0, number, number, is_part=True)
        if number > 1:
            tracker.record_end(other, f"m{number}/1", 1.0, number, number, is_part=True)
    assert tracker.held == {PART}
    assert not tracker.record_end(other, "m5/1", 1.0, 5, 5, is_part=True)
