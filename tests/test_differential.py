"""
tests.test_differential

The scheduler against the reference scheduler: the same events lead to the same decisions.
"""

import pytest
from chalkyoke.exceptions import InvariantBroken
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.naive import NaiveRefuser, NaiveScheduler
from tests.overload import run_overload


def _compare(seed, steps):
    real, naive = run_overload(seed, steps), run_overload(seed, steps, NaiveScheduler)
    for index, (one, other) in enumerate(zip(real.decisions, naive.decisions, strict=False)):
        assert one == other, f"decision {index} of seed {seed}"
    assert len(real.decisions) == len(naive.decisions)
    return len(real.decisions)


@settings(max_examples=25)
@given(seed=st.integers(0, 10**6), steps=st.integers(20, 300))
def test_decisions_are_those_of_the_naive_scheduler(seed, steps):
    _compare(seed, steps)


def test_decisions_are_those_of_the_naive_scheduler_over_a_long_history():
    assert _compare(3, 800) > 400


def test_the_comparison_detects_a_different_decision(monkeypatch):
    monkeypatch.setattr(NaiveRefuser, "_allowed_to_shed", lambda refuser, late: late[-1:])
    with pytest.raises((AssertionError, InvariantBroken)):
        for seed in range(6):
            _compare(seed, 400)
