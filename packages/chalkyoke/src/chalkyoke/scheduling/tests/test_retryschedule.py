"""Assigned times and reserved work of retries; see chalkyoke.scheduling.retryschedule."""

from chalkyoke.scheduling.fairshare import INTERVAL_S
from chalkyoke.scheduling.retryschedule import (
    RELEASE_AFTER_S,
    Reservation,
    RetrySchedule,
)
from hypothesis import given
from hypothesis import strategies as st

RATE = 4.0


def assign(schedule, fingerprint, work=1.0, latest=10.0, rate=RATE, ahead=0.0):
    wanted = Reservation(fingerprint, 1, "a", 0.3, work)
    return schedule.assign(wanted, ahead, lambda _: rate, 0.0, latest)


@given(st.lists(st.floats(0.05, 3.0), max_size=40))
def test_assigned_work_never_exceeds_the_predicted_capacity(works):
    """Guards against a time that is assigned although its capacity is already taken."""
    schedule = RetrySchedule()
    for number, work in enumerate(works):
        assign(schedule, number + 1, work)
    for interval in range(40):
        until = interval * INTERVAL_S
        assert schedule.reserved_work(1, "a", until) <= RATE * (until + INTERVAL_S) + 1e-6


def test_retries_of_a_burst_get_rising_times_and_none_beyond_the_callers_limit():
    """Guards against retries that return together, and times that no caller waits for."""
    schedule = RetrySchedule()
    found = [assign(schedule, number, latest=2.0) for number in range(1, 20)]
    times = [each for each in found if each is not None]
    assert times == sorted(times) and len(set(times)) > 4
    assert max(times) <= 2.0
    assert found[-1] is None


def test_a_caller_that_returns_early_keeps_its_time_and_gains_nothing():
    """Guards against callers that ignore Retry-After and overtake those that respect it."""
    schedule = RetrySchedule()
    at = assign(schedule, 7, ahead=4.0)
    assert schedule.take_due(7, at - 0.2) is None
    assert schedule.find(7).at == at
    assert schedule.take_due(7, at).at == at
    assert schedule.take_due(7, at + 0.1) is None, "a second return has no reservation"


def test_callers_of_one_fingerprint_share_a_time_but_not_the_work():
    """Guards against a caller that is refused because another of equal content came first."""
    schedule = RetrySchedule()
    at = assign(schedule, 7)
    schedule.share(schedule.find(7))
    assert schedule.take_due(7, at) and schedule.take_due(7, at)
    assert schedule.reserved_work(1, "a", 99.0) == 0.0


def test_unknown_callers_do_not_all_get_the_same_time():
    """Guards against a burst of retries whose callers cannot be recognised."""
    schedule = RetrySchedule()
    times = [assign(schedule, 0) for _ in range(9)]
    assert len(set(times)) > 4 and schedule.find(0) is None
    successor = RetrySchedule()
    successor.import_items(schedule.export_all(0.0), 0.0)
    assert assign(successor, 0) and len(successor) == 10, "none replaces a copied one"


def test_an_unused_time_is_released_although_later_ones_were_assigned_before():
    """Guards against capacity that stays reserved for callers that never return."""
    schedule = RetrySchedule()
    late = assign(schedule, 1, ahead=20.0)
    early = assign(schedule, 2, latest=2.0)
    schedule.release_unused(early + RELEASE_AFTER_S + 0.01)
    assert schedule.find(2) is None and schedule.find(1).at == late


def test_a_successor_continues_with_copied_reservations():
    """Guards against callers that are refused again because the scheduler was lost."""
    schedule, successor = RetrySchedule(), RetrySchedule()
    at = assign(schedule, 7, ahead=4.0)
    new, ended = schedule.take_changes(0.2)
    assert schedule.take_changes(0.3) == ((), ())
    successor.import_items(new, 100.0)
    assert not ended and abs(successor.find(7).at - (100.0 + at - 0.2)) < 0.01
    schedule.end(7)
    assert schedule.take_changes(0.4) == ((), (7,))
