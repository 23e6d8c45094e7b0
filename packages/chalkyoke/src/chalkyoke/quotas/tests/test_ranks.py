import itertools

import pytest
from chalkyoke.catalog.resources import Team
from chalkyoke.quotas.messages import QuotaRequest
from chalkyoke.quotas.owner import Presence, QuotaOwner
from chalkyoke.quotas.ranks import RankShares, divide
from chalkyoke.quotas.window import QuotaLimits
from hypothesis import given
from hypothesis import strategies as st

ASKED = st.lists(st.floats(0.0, 1e6), min_size=1, max_size=4)


@given(st.floats(1.0, 1e6), ASKED)
def test_the_parts_of_a_scarce_quota_are_the_quota(most, asked):
    parts = divide(most, asked)
    if sum(asked) > most:
        assert sum(parts) == pytest.approx(most)
    else:
        assert all(part >= want - 1e-6 * most for part, want in zip(parts, asked, strict=True))


@given(st.floats(1.0, 1e6), ASKED)
def test_no_rank_gets_less_than_a_less_urgent_one_that_asks_for_no_more(most, asked):
    parts = divide(most, asked)
    for rank, part in enumerate(parts):
        for lower in range(rank + 1, len(parts)):
            if asked[lower] <= asked[rank]:
                assert part >= parts[lower] - 1e-6 * most


def test_a_shortage_is_divided_by_rank_and_none_gets_nothing():
    assert divide(700.0, [1000.0, 1000.0, 1000.0]) == pytest.approx([400.0, 200.0, 100.0])
    assert divide(700.0, [2000.0, 1000.0, 0.0]) == pytest.approx([560.0, 140.0, 0.0])
    assert divide(900.0, [500.0, 1000.0]) == pytest.approx([450.0, 450.0])
    assert divide(1200.0, [500.0, 1000.0]) == pytest.approx([500.0, 700.0])
    assert divide(700.0, [40.0, 5000.0], kept=40.0) == pytest.approx([40.0, 660.0])


@given(st.floats(1.0, 1e6), ASKED)
def test_no_rank_is_served_a_smaller_part_than_a_less_urgent_one(most, asked):
    parts = divide(most, asked)
    served = [min(1.0, part / want) for part, want in zip(parts, asked, strict=True) if want > 1.0]
    assert all(one >= other - 1e-6 for one, other in itertools.pairwise(served))


def test_what_nobody_asks_for_is_open_to_all():
    assert divide(700.0, [100.0, 100.0]) == pytest.approx([600.0, 600.0])


def test_a_rank_that_wakes_up_finds_its_kept_part():
    shares = RankShares(8.0)
    shares.ask(2, 5000.0, 1.0)
    shares.lease(2, 900.0, 1.0)
    assert shares.left(2, 1000.0, 1.0) <= 1000.0 - 900.0 - 80.0 + 1e-9
    assert shares.left(0, 1000.0, 1.0) >= 40.0


def test_a_flood_of_all_ranks_is_served_by_rank_and_starves_none():
    """Before, the first rank took each piece of quota that came free, and the second got none."""
    limits = QuotaLimits(8.0, 0.1, 0.0)
    team = Team("t", ("k",), rate_per_s=100_000, burst=100_000, by_tokens=True, plain_cost=200)
    owner = QuotaOwner(limits, first_start=True, identity=1)
    costs = {0: 7000, 1: 1000, 2: 1900}
    asked, served = dict.fromkeys(costs, 0), dict.fromkeys(costs, 0)
    number, now = 0, 0.0
    while now < 30.0:
        for rank, cost in costs.items():
            for _ in range({0: 3, 1: 5, 2: 5}[rank]):
                number += 1
                request = QuotaRequest("t", number, cost, 0.0, 1, rank)
                grant = owner.ask(team, request, Presence(6, 6), now)
                if now > 10.0:
                    asked[rank] += cost
                    served[rank] += cost * (grant.amount > 0)
        now += 0.1
    shares = {rank: served[rank] / asked[rank] for rank in costs}
    assert sum(served.values()) >= 0.97 * 20.0 * 0.8 * limits.most(100_000, 100_000) / 8.0
    assert shares[0] > shares[1] > shares[2] > 0.05
    assert shares[1] > 0.1
