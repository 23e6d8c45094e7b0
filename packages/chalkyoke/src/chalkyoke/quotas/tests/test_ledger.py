"""
The spending that one side of a partition may count as known to the other side.

Guards against counting spending as known that the other side never learned of. Members of a failure
domain of 28 detect the loss of another domain after 3.75 s, since their heartbeats are sparse. If
spending of the last 3 s counts as known to both sides, each side uses its share of a window that
the other side has spent from.
"""

import pytest
from chalkyoke.membership.spacing import foreign_timeout_s, spacing_s
from chalkyoke.quotas.ledger import new_ledger
from chalkyoke.quotas.window import QuotaLimits

LIMITS = QuotaLimits(8.0, 0.0, 0.0)
MOST = 800.0


def own_spending_after_partition(members, spent_before_s):
    """Spend 100, detect a partition later, and return how much counts as this side's own."""
    unnoticed_s = foreign_timeout_s(spacing_s(members, 0.25), 0.25)
    ledger = new_ledger(LIMITS, 1, MOST, 1.0, 0.0)
    ledger.add_lease(100.0, 20.0)
    ledger.apply_share(1 / 3, unnoticed_s, 20.0 + spent_before_s)
    return sum(ledger.own_spending(20.0 + spent_before_s))


@pytest.mark.parametrize(("members", "spent_before_s"), [(3, 2.4), (28, 2.4), (28, 3.2), (28, 3.8)])
def test_spending_during_an_undetected_partition_is_a_sides_own(members, spent_before_s):
    assert own_spending_after_partition(members, spent_before_s) == 100.0


@pytest.mark.parametrize(("members", "spent_before_s"), [(3, 3.2), (28, 4.6)])
def test_spending_before_a_partition_is_known_to_both_sides(members, spent_before_s):
    assert own_spending_after_partition(members, spent_before_s) < 100.0


def test_a_limit_that_rises_again_finds_the_spending_that_a_lower_one_has_scaled_away():
    """Guards against a second full window for a team whose quota falls for a moment."""
    ledger = new_ledger(LIMITS, 1, MOST, 1.0, 0.0)
    ledger.add_lease(600.0, 20.0)
    ledger.apply_limit(MOST / 4, 21.0)
    assert ledger.window.spent(21.0) == pytest.approx(150.0)
    ledger.add_lease(20.0, 21.0)
    ledger.apply_limit(MOST / 8, 21.5)
    ledger.apply_limit(MOST / 2, 22.0)
    assert 85.0 < ledger.window.spent(22.0) < 610.0
    ledger.apply_limit(MOST, 23.0)
    assert ledger.window.spent(23.0) == pytest.approx(620.0)
    assert ledger.lowering is None
    assert ledger.window.spent(28.3) == pytest.approx(20.0)


def test_spending_that_has_left_the_window_does_not_come_back_with_a_higher_limit():
    ledger = new_ledger(LIMITS, 1, MOST, 1.0, 0.0)
    ledger.add_lease(600.0, 20.0)
    ledger.apply_limit(MOST / 4, 21.0)
    ledger.apply_limit(MOST, 28.5)
    assert ledger.window.spent(28.5) == pytest.approx(0.0)
