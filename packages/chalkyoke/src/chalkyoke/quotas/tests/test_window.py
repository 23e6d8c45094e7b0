from chalkyoke.quotas.bucket import Bucket
from chalkyoke.quotas.window import WINDOW_PARTS, SpendingWindow
from hypothesis import given
from hypothesis import strategies as st

STEPS = st.lists(st.tuples(st.floats(0, 3), st.floats(0, 1000)), max_size=60)


@given(STEPS)
def test_a_window_counts_at_least_what_was_spent_in_it(steps):
    window, now, spent = SpendingWindow(8.0), 0.0, []
    for pause, cost in steps:
        now += pause
        window.add(cost, now)
        spent.append((now, cost))
        exact = sum(each for at, each in spent if at > now - 8.0)
        loose = sum(each for at, each in spent if at > now - 8.0 - 2 * 8.0 / WINDOW_PARTS)
        assert exact - 1e-6 <= window.spent(now) <= loose + 1e-6


def test_assumed_spending_leaves_the_window_late():
    window = SpendingWindow(8.0)
    window.assume_spent(800.0, 100.0)
    assert round(window.spent(100.0)) == 800
    left = [window.spent(100.0 + passed) / 800.0 for passed in (2.0, 4.0, 6.0, 8.0)]
    expected = [0.82, 0.71, 0.38, 0.0]
    assert all(0.0 <= one - other <= 0.04 for one, other in zip(left, expected, strict=True))
    assert window.spent(109.0) == 0.0


def test_a_window_returns_when_spending_will_have_left_it():
    window = SpendingWindow(8.0)
    window.add(100.0, 1.0)
    window.add(100.0, 5.0)
    assert 3.9 <= window.free_in_s(100.0, 5.0) <= 4.5
    assert window.free_in_s(500.0, 5.0) == 8.0


def test_a_full_bucket_admits_one_request_above_its_capacity():
    bucket = Bucket(10.0, 100.0, 100.0, 0.0)
    assert bucket.try_consume(500.0, 0.0)
    assert not bucket.try_consume(1.0, 1.0)
    bucket.reconfigure(10.0, 50.0, 100.0)
    assert bucket.try_consume(40.0, 100.0)
