"""
tests.test_shedding

Tiers, selectors and leaving upstreams under random overload, with planted faults.
"""

import functools

import pytest
from chalkyoke.exceptions import InvariantBroken
from chalkyoke.gateway.settings import GATEWAY_FEATURES
from chalkyoke.outcomes import Reason
from chalkyoke.scheduling import refusals
from chalkyoke.scheduling.scheduler import PoolScheduler
from msgspec.structs import replace

from tests import planted_faults
from tests.overload import GoalOverload, run_overload


@pytest.mark.parametrize("seed", range(8))
def test_no_higher_tier_is_shed_before_a_lower_one(seed):
    run = run_overload(seed)
    assert run.counts["granted"] > 100
    assert run.counts[Reason.SHED] > 5


@pytest.mark.parametrize("seed", range(8))
def test_refusals_at_arrival_keep_the_order_of_tiers(seed):
    """Guards against lower tiers that share upstreams only indirectly and are passed over."""
    features = replace(GATEWAY_FEATURES, fair_admission=True, reserved_retries=True)
    scheduler_class = functools.partial(PoolScheduler, features=features)
    run = run_overload(seed, scheduler_class=scheduler_class, overload_class=GoalOverload)
    assert run.counts["granted"] > 100
    assert run.counts[Reason.SHED] > 5


@pytest.mark.parametrize("seed", range(4))
def test_a_full_queue_sheds_the_lowest_tier(seed, monkeypatch):
    monkeypatch.setattr(refusals, "MAX_WAITING_REQUESTS", 12)
    run = run_overload(seed)
    assert len(run.waiting) <= 12
    assert run.counts["granted"] > 100


def test_the_check_finds_a_full_queue_that_ignores_indirect_overlaps(monkeypatch):
    monkeypatch.setattr(refusals, "MAX_WAITING_REQUESTS", 12)
    planted_faults.full_queue_ignores_indirect_overlaps(monkeypatch)
    with pytest.raises((AssertionError, InvariantBroken)):
        for seed in range(8):
            run_overload(seed)


@pytest.mark.parametrize(
    "plant",
    [planted_faults.late_requests_are_shed_in_any_tier, planted_faults.leaving_state_is_ignored],
    ids=lambda each: each.__name__,
)
def test_the_overload_check_detects_planted_faults(plant, monkeypatch):
    plant(monkeypatch)
    with pytest.raises((AssertionError, InvariantBroken)) as red:
        for seed in range(8):
            run_overload(seed)
    print(f"{plant.__name__}: seed {seed}: {red.value}")
