"""Demand that moves between failure domains, on disturbed engines; see tests.domainload."""

import msgspec
import pytest
from chalkyoke.gateway.settings import GATEWAY_FEATURES

from tests.domainload import DomainLoad, least_crossed_share

PLACED = msgspec.structs.replace(
    GATEWAY_FEATURES, local_domain=True, time_factors=True, best_fit=True
)
SECONDS = 17.0
# With 70 engines, one of three failure domains has fewer engines and rightly gets less overflow.
EQUAL_ENGINES = 72


@pytest.mark.parametrize("domains", [2, 3])
def test_requests_stay_at_home_while_demand_is_below_capacity(domains):
    """Guards against crossing without need, and against one neighbour that gets the overflow.

    Two waves, since the first starts on empty engines, in a different phase in each failure domain.
    """
    load = DomainLoad(1, domains, 0.6, engines=EQUAL_ENGINES, features=PLACED)
    played = load.run_load(2 * SECONDS)
    assert played.crossed_share < least_crossed_share(0.6, domains) + 0.12
    received = [
        sum(count for (_, there), count in played.crossed.items() if there == f"z{number}")
        for number in range(domains)
    ]
    assert max(received) < 1.5 * min(received)


def test_neighbours_share_the_overflow_evenly():
    """Guards against one neighbour that gets the overflow of a failure domain above capacity."""
    played = DomainLoad(1, 3, 0.9, engines=EQUAL_ENGINES, features=PLACED).run_load(SECONDS)
    for here in ("z0", "z1", "z2"):
        sent = [count for (sender, _), count in played.crossed.items() if sender == here]
        assert len(sent) == 2, here
        assert max(sent) < 1.4 * min(sent), here


def test_no_kind_is_served_later_or_cut_more_often_than_without_the_features():
    """Guards against slow engines for requests that they cannot serve in time."""
    before = DomainLoad(1, 3, 0.6).run_load(SECONDS)
    after = DomainLoad(1, 3, 0.6, features=PLACED).run_load(SECONDS)
    for name, score in after.scores.items():
        asked = max(1, score.asked)
        assert score.in_time / asked > before.scores[name].in_time / asked - 0.01, name
    assert sum(each.cut for each in after.scores.values()) <= 4 + sum(
        each.cut for each in before.scores.values()
    )
    assert after.busiest_to_mean < before.busiest_to_mean
