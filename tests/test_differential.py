"""
tests.test_differential

The scheduler against a naive one: same histories, same decisions.
"""

import pytest
from chalkyoke.exceptions import InvariantBroken
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.naive import NaiveRefuser, NaiveScheduler
from tests.overload import run_overload


def _compare(seed, steps):
    real, naive = run_overload(seed, steps), run_overload(seed, steps, NaiveScheduler)
    for index, (one, other) in enumerate(zip(real.log, naive.log, strict=False)):
        assert one == other, f"decision {index} of seed {seed}"
    assert len(real.log) == len(naive.log)
    return len(real.log)


@settings(max_examples=25)
@given(seed=st.integers(0, 10**6), steps=st.integers(20, 300))
def test_decisions_are_those_of_the_naive_scheduler(seed, steps):
    _compare(seed, steps)


def test_decisions_are_those_of_the_naive_scheduler_over_a_long_history():
    assert _compare(3, 800) > 400


def test_the_comparison_can_fail(monkeypatch):
    monkeypatch.setattr(NaiveRefuser, "_lowest_first", lambda refuser, late: late[-1:])
    with pytest.raises((AssertionError, InvariantBroken)):
        for seed in range(6):
            _compare(seed, 400)
