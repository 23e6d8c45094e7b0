"""Overload of a small pool whose lowest tier has answers of very unlike lengths."""

import pytest

from tests.smallpool import CHAT, SmallPool

SEEDS = range(4)


@pytest.mark.parametrize("load", [1.3, 1.6])
def test_the_largest_tenth_of_a_tier_is_served_at_least_half_as_often_as_all_of_it(load):
    """Guards against short requests that overtake long ones of their tier at each free slot."""
    asked = served = largest_asked = largest_served = 0
    for seed in SEEDS:
        run = SmallPool(seed, load)
        run.run_load(30.0)
        demands = run.by_size(CHAT)
        largest = demands[-len(demands) // 10 :]
        asked += len(demands)
        served += run.count_delivered(demands)
        largest_asked += len(largest)
        largest_served += run.count_delivered(largest)
    assert largest_served / largest_asked >= 0.5 * served / asked
