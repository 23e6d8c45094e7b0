"""Max-min shares and predicted rates; see chalkyoke.scheduling.fairshare."""

import math

import pytest
from chalkyoke.scheduling.fairshare import PoolRates, TeamDemand, water_level
from hypothesis import given
from hypothesis import strategies as st


@given(
    st.lists(st.tuples(st.floats(0.01, 9.0), st.floats(0.0, 50.0)), min_size=1, max_size=12),
    st.floats(0.1, 100.0),
)
def test_shares_use_the_whole_rate_and_exceed_no_demand(teams, rate):
    """Guards against a rate that is lost, or promised twice, when some teams want little."""
    demands = [TeamDemand(str(n), weight, work) for n, (weight, work) in enumerate(teams)]
    level = water_level(rate, demands)
    shared = sum(min(each.per_s, each.weight * level) for each in demands)
    assert shared == pytest.approx(min(rate, sum(each.per_s for each in demands)), abs=1e-6)


def test_a_burst_of_a_higher_tier_delays_lower_ones_and_is_expected_to_end():
    """Guards against refusals as if a burst of some seconds lasted for ever."""
    rates = PoolRates(0.0)
    rates.set_slots(20)
    for step in range(1000):
        now = step * 0.02
        rates.tier(0, now).record_arrival("a", 1.0, 0.1 if now < 18.0 else 0.22, now)
    calm, soon = rates.tier_per_s(0, 20.0), rates.tier_per_s(1, 20.0)
    later = rates.tier_per_s(1, 20.0, 6.0)
    assert soon < 0.5 * later < later < calm
    assert rates.drain_s(1, 5.0, 20.0) < math.inf
