"""
tests.test_promises

What must always hold, over randomised runs of the real logic in virtual time, each beside planted
faults under which the same run must go red.
"""

import pytest
from chalkyoke.exceptions import InvariantBroken

from tests import plants
from tests.world import play

SEEDS = range(6)
PLANT_SEEDS = range(12)

BROKEN = (AssertionError, InvariantBroken)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_kills_cuts_holds_and_planned_stops(seed):
    steps = play(seed)
    assert steps["whole"] > 40
    assert steps["forwarded"] > 20


def test_without_faults_every_request_is_answered_whole():
    steps = play(1, chaos=0.0, seconds=40)
    assert steps["whole"] > 100


@pytest.mark.parametrize(
    "plant",
    [
        plants.dispatch_again_after_no_answer,
        plants.refused_token_runs_again,
        plants.restarted_host_runs_old_tokens,
        plants.end_of_stream_counts_as_whole,
        plants.partial_events_are_passed_on,
        plants.leaving_is_not_heard,
        plants.drain_does_not_wait,
        plants.running_is_not_told,
    ],
    ids=lambda plant: plant.__name__,
)
def test_a_planted_fault_turns_the_proof_red(plant, monkeypatch):
    plant(monkeypatch)
    with pytest.raises(BROKEN) as red:
        for seed in PLANT_SEEDS:
            play(seed)
    print(f"{plant.__name__}: seed {seed}: {red.value}")
