"""
tests.test_shedding

Tiers, selectors and leaving upstreams under random overload, beside planted faults.
"""

import pytest
from chalkyoke.exceptions import InvariantBroken
from chalkyoke.outcomes import Reason
from chalkyoke.scheduling import refusals

from tests import plants
from tests.overload import run_overload


@pytest.mark.parametrize("seed", range(8))
def test_no_higher_tier_is_shed_before_a_lower_one(seed):
    run = run_overload(seed)
    assert run.counts["granted"] > 100
    assert run.counts[Reason.SHED] > 5


@pytest.mark.parametrize("seed", range(4))
def test_a_full_queue_gives_up_the_lowest_tier(seed, monkeypatch):
    monkeypatch.setattr(refusals, "MAX_WAITING_REQUESTS", 12)
    run = run_overload(seed)
    assert len(run.waiting) <= 12
    assert run.counts["granted"] > 100


def test_a_full_queue_that_looks_beside_the_arrival_only_is_found(monkeypatch):
    monkeypatch.setattr(refusals, "MAX_WAITING_REQUESTS", 12)
    plants.room_is_made_beside_only(monkeypatch)
    with pytest.raises((AssertionError, InvariantBroken)):
        for seed in range(8):
            run_overload(seed)


@pytest.mark.parametrize(
    "plant", [plants.shed_by_arrival, plants.leaving_is_not_heard], ids=lambda each: each.__name__
)
def test_a_planted_fault_turns_the_overload_proof_red(plant, monkeypatch):
    plant(monkeypatch)
    with pytest.raises((AssertionError, InvariantBroken)) as red:
        for seed in range(8):
            run_overload(seed)
    print(f"{plant.__name__}: seed {seed}: {red.value}")
