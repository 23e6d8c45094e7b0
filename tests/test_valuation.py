"""The worth of an answer, counted from a caller's first attempt, in the policy simulation."""

import pytest

from benches.policy.valuation import LATE_SHARE, RETURN_COST, Value, held_cost


@pytest.mark.parametrize(
    ("held_s", "cost"),
    [(0.0, 0.0), (0.1, 0.0), (0.125, 0.0), (6.0, 1.0), (8.0, 1.0)],
)
def test_waiting_costs_nothing_at_first_and_the_full_credit_in_the_end(held_s, cost):
    assert held_cost(held_s, goal_s=1.0, had_s=8.0) == cost


def test_the_cost_of_waiting_rises_with_its_length():
    costs = [held_cost(held / 10, 1.0, 8.0) for held in range(100)]
    assert costs == sorted(costs) and 0.0 < costs[30] < 1.0


def test_answers_count_from_the_first_attempt_and_failed_returns_are_deducted():
    value = Value(demands=4)
    value.note_answer(0.9, goal_s=1.0)
    value.note_answer(1.1, goal_s=1.0)
    value.note_unserved(0.1, 1.0, 8.0, returned=False)
    value.note_unserved(6.0, 1.0, 8.0, returned=True)
    assert value.net == pytest.approx((1.0 + LATE_SHARE - 1.0 - RETURN_COST) / 4)
