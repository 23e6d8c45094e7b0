"""
What a side of a cut may count as known to the other.

Members of a failure domain of 28 notice after 3.75 s that another domain is cut off, since their
heartbeats are sparse; what was spent 3 s before was taken for known to both sides, and each side
then used its share of a window that the other had spent from.
"""

import pytest
from chalkyoke.membership.spacing import foreign_timeout_s, spacing_s
from chalkyoke.quotas.ledger import new_ledger
from chalkyoke.quotas.window import QuotaLimits

LIMITS = QuotaLimits(8.0, 0.0, 0.0)
MOST = 800.0


def own_after_cut(members, spent_before_s):
    """Spend 100, notice a cut later, and tell how much of it counts as this side's own."""
    unnoticed_s = foreign_timeout_s(spacing_s(members, 0.25), 0.25)
    ledger = new_ledger(LIMITS, 1, MOST, 1.0, 0.0)
    ledger.lease(100.0, 20.0)
    ledger.apply_share(1 / 3, unnoticed_s, 20.0 + spent_before_s)
    return sum(ledger.own_spending(20.0 + spent_before_s))


@pytest.mark.parametrize(("members", "spent_before_s"), [(3, 2.4), (28, 2.4), (28, 3.2), (28, 3.8)])
def test_what_was_spent_while_a_cut_may_have_gone_unnoticed_is_a_sides_own(members, spent_before_s):
    assert own_after_cut(members, spent_before_s) == 100.0


@pytest.mark.parametrize(("members", "spent_before_s"), [(3, 3.2), (28, 4.6)])
def test_what_was_spent_before_is_known_to_both(members, spent_before_s):
    assert own_after_cut(members, spent_before_s) < 100.0
