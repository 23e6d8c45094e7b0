from chalkyoke.retries.budget import BudgetLimits, RetryBudget
from hypothesis import given
from hypothesis import strategies as st

LIMITS = BudgetLimits(ratio=0.2, slack=58, window_s=10.0)


@given(
    st.integers(1, 12),
    st.lists(st.tuples(st.integers(0, 11), st.floats(0, 0.5), st.booleans()), max_size=300),
)
def test_the_fleet_stays_within_its_limit_in_each_window_without_messages(nodes, steps):
    budgets = [RetryBudget(LIMITS) for _ in range(nodes)]
    now, firsts, repeats = 0.0, [], []
    for node, pause, wants_first in steps:
        now += pause
        budget = budgets[node % nodes]
        if wants_first:
            budget.record_first("s", now)
            firsts.append(now)
        elif budget.try_spend("s", nodes, now):
            repeats.append(now)
    for end in repeats:
        window = [at for at in repeats if end - 10.0 < at <= end]
        asked = [at for at in firsts if end - 20.0 < at <= end]
        assert len(window) <= 0.2 * len(asked) + 58


def test_the_only_node_with_traffic_stays_within_its_part_of_the_slack():
    budget = RetryBudget(LIMITS)
    spent = sum(budget.try_spend("s", 9, 0.0) for _ in range(100))
    assert 1 <= spent <= 58 / 9


def test_each_service_has_its_own_budget():
    budget = RetryBudget(LIMITS)
    while budget.try_spend("a", 9, 0.0):
        pass
    assert budget.try_spend("b", 9, 0.0)
