"""
tests.test_promises

The guarantees over randomized runs of the real logic in virtual time. Planted faults check that the
same runs detect a violation.
"""

import pytest
from chalkyoke.exceptions import InvariantBroken

from tests import planted_faults
from tests.world import run_seed

SEEDS = range(6)
PLANT_SEEDS = range(12)

VIOLATIONS = (AssertionError, InvariantBroken)


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_kills_partitions_freezes_and_planned_stops(seed):
    steps = run_seed(seed)
    assert steps["whole"] > 40
    assert steps["forwarded"] > 20


def test_without_faults_every_answer_is_complete():
    steps = run_seed(1, chaos=0.0, seconds=40)
    assert steps["whole"] > 100


@pytest.mark.parametrize(
    "plant",
    [
        planted_faults.dispatch_again_after_no_answer,
        planted_faults.refused_token_runs_again,
        planted_faults.restarted_host_accepts_old_tokens,
        planted_faults.truncated_stream_counts_as_whole,
        planted_faults.partial_events_are_forwarded,
        planted_faults.leaving_state_is_ignored,
        planted_faults.drain_does_not_wait,
        planted_faults.running_requests_are_not_reported,
    ],
    ids=lambda plant: plant.__name__,
)
def test_the_checks_detect_planted_faults(plant, monkeypatch):
    plant(monkeypatch)
    with pytest.raises(VIOLATIONS) as red:
        for seed in PLANT_SEEDS:
            run_seed(seed)
    print(f"{plant.__name__}: seed {seed}: {red.value}")
