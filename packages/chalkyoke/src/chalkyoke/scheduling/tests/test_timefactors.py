from chalkyoke.scheduling.timefactors import TIME_FACTOR_VALID_S, TimeFactor


def test_work_takes_longer_only_while_the_report_is_valid():
    """Guards against predictions that extend a short disturbance over a long stream."""
    factor = TimeFactor()
    assert factor.lengthen(3.0, 5.0) == 3.0
    factor.record(2.5, 5.0)
    assert factor.lengthen(0.1, 5.0) == 0.25
    assert 3.0 < factor.lengthen(3.0, 5.0) < 3.0 + TIME_FACTOR_VALID_S
    assert factor.current(5.1) == 2.5
    assert factor.current(5.0 + TIME_FACTOR_VALID_S) == factor.mean < 1.1


def test_an_engine_that_always_reports_the_same_factor_keeps_it_without_reports():
    factor = TimeFactor()
    for number in range(300):
        factor.record(1.7, number * 0.2)
    assert 1.6 < factor.current(1000.0) < 1.75


def test_lost_time_counts_disturbances_once():
    """Guards against a learned speed that contains the disturbances that were reported."""
    factor = TimeFactor()
    factor.record(2.0, 1.0)
    factor.record(2.0, 1.2)
    factor.record(1.0, 1.4)
    assert abs(factor.total_lost_s(1.4) - 0.2) < 1e-9


def test_an_absurd_report_is_bounded():
    factor = TimeFactor()
    factor.record(1e9, 1.0)
    assert factor.lengthen(0.01, 1.0) < 1.0


def test_the_mean_does_not_depend_on_the_rate_of_reports():
    """Guards against a mean that follows one disturbance of a plain replica with many requests."""
    factor = TimeFactor()
    factor.record(1.0, 1.0)
    for number in range(40):
        factor.record(2.5, 1.0 + number * 0.015)
    assert factor.mean < 1.15
