from chalkyoke.catalog.starts import MAX_RETAINED_STARTS, RETENTION_S
from chalkyoke.limits.known import ENDED_RETENTION_S, MAX_LIMIT_PER_S, KnownLimits


def test_the_later_of_two_reports_counts():
    known = KnownLimits()
    assert known.update("a", 3.8, 10.0)
    assert not known.update("a", 3.8, 11.0)
    assert not known.update("a", 9.0, 10.5)
    assert known.limit_of("a") == 3.8
    assert known.update("a", 1.0, 11.5)
    assert known.reported_at("a") == 11.5


def test_an_answer_without_a_limit_removes_the_limit():
    known = KnownLimits()
    assert not known.update("a", None, 1.0)
    known.update("a", 2.0, 2.0)
    assert known.update("a", None, 3.0)
    assert known.limit_of("a") is None
    assert known.limits() == {}
    # An older report of the limit arrives late.
    assert not known.update("a", 2.0, 2.5)
    assert known.limit_of("a") is None


def test_invalid_limits_count_as_none():
    known = KnownLimits()
    for value in (MAX_LIMIT_PER_S, 1e300, float("inf"), float("nan"), -1.0):
        assert not known.update("a", value, 1.0), value
        assert known.limit_of("a") is None
    known.update("a", 2.0, 2.0)
    assert known.update("a", 1e9, 3.0)
    assert known.limit_of("a") is None


def test_reports_on_removed_limits_and_missing_replicas_expire():
    known = KnownLimits()
    known.update("listed", 2.0, 0.0)
    known.update("gone", 2.0, 0.0)
    known.update("ended", 2.0, 0.0)
    known.update("ended", None, 1.0)
    known.drop_expired({"listed"}, ENDED_RETENTION_S)
    assert known.has_report("ended")
    known.drop_expired({"listed"}, ENDED_RETENTION_S + 2.0)
    assert not known.has_report("ended")
    assert known.limit_of("gone") == 2.0
    known.drop_expired({"listed"}, RETENTION_S + 1.0)
    assert (known.limit_of("listed"), known.limit_of("gone")) == (2.0, None)


def test_the_number_of_starts_is_bounded():
    known = KnownLimits()
    for number in range(MAX_RETAINED_STARTS + 5):
        known.update(f"r{number}", 1.0, float(number))
    assert len(known.limits()) == MAX_RETAINED_STARTS
    assert known.limit_of("r0") is None
