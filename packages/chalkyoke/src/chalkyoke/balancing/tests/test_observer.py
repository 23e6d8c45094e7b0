"""
Detection of suspect replicas from the reports of all nodes.
"""

import random

from chalkyoke.balancing.messages import RouteCount
from chalkyoke.balancing.observer import ROUTE_HALF_LIFE_S, SUSPECT_KEPT_S, Observer
from chalkyoke.balancing.reports import GATHER_INTERVAL_S, ReportBook


def report(observer, now, route="book", **failed_of):
    """Report (failed, total) requests per replica in turn, with failures spread evenly."""
    most = max(requests for _, requests in failed_of.values())
    for turn in range(most):
        for name, (failed, requests) in failed_of.items():
            if turn < requests:
                is_failed = (turn * failed) // requests != ((turn + 1) * failed) // requests
                observer.add_counts([RouteCount(name, route, not is_failed, is_failed)], now)


def healthy():
    """Make an observer of a service without failures."""
    observer = Observer()
    report(observer, 0.0, a=(0, 12), b=(0, 12), c=(0, 12), d=(0, 12), e=(0, 12))
    return observer


def names(observer, now, replicas=5):
    return list(observer.suspects(replicas, now))


def test_replica_that_fails_half_of_its_requests_is_suspected():
    observer = healthy()
    report(observer, 0.0, a=(3, 6), b=(0, 6), c=(0, 6), d=(1, 6), e=(0, 6))
    assert names(observer, 0.1) == ["a"]


def test_two_failures_of_reliable_route_make_a_suspect():
    observer = Observer()
    report(observer, 0.0, a=(0, 40), b=(0, 40), c=(0, 40))
    report(observer, 1.0, a=(1, 1))
    assert names(observer, 1.1) == []
    report(observer, 1.2, a=(1, 1))
    assert names(observer, 1.3) == ["a"]


def test_service_that_fails_on_all_replicas_has_no_suspects():
    observer = Observer()
    for second in range(60):
        report(observer, float(second), a=(3, 6), b=(3, 6), c=(3, 6), d=(3, 6), e=(2, 6))
    assert names(observer, 60.0) == []


def test_usual_failures_of_a_route_rarely_make_a_suspect():
    """For a route that fails one request in seven, few of 200 healthy services have suspects."""
    random_source = random.Random(7)
    false_alarms = 0
    for _ in range(200):
        observer = Observer()
        for second in range(12):
            for name in "abcde":
                failed = sum(random_source.random() < 0.14 for _ in range(4))
                observer.add_counts([RouteCount(name, "find", 4 - failed, failed)], float(second))
        false_alarms += bool(names(observer, 12.0))
    assert false_alarms <= 4


def test_suspicion_expires_without_further_failures():
    observer = healthy()
    report(observer, 0.0, a=(4, 6), b=(0, 10))
    assert names(observer, 0.1) == ["a"]
    assert names(observer, SUSPECT_KEPT_S) == ["a"]
    assert names(observer, SUSPECT_KEPT_S + 0.1) == []
    assert observer.is_idle(ROUTE_HALF_LIFE_S + 0.1)


def test_successful_answers_clear_a_suspect():
    observer = healthy()
    report(observer, 0.0, a=(4, 6), b=(0, 10))
    report(observer, 0.5, a=(0, 20))
    assert names(observer, 0.6) == []


def test_at_most_a_third_and_never_the_only_replica_are_suspects():
    observer = healthy()
    report(observer, 0.0, a=(3, 6), b=(6, 6), c=(0, 60), d=(0, 60))
    assert names(observer, 0.1, replicas=4) == ["b"]
    alone = Observer()
    report(alone, 0.0, a=(6, 6))
    assert names(alone, 0.1, replicas=1) == []


def test_failures_are_reported_at_once_and_answers_in_batches():
    book = ReportBook()
    assert not book.add_outcome("s", "a", "r", failed=False, now=0.0)
    assert not book.add_outcome("s", "a", "r", failed=False, now=0.5)
    assert book.due_services(0.5) == [] and book.due_services(GATHER_INTERVAL_S) == ["s"]
    assert book.add_outcome("s", "b", "r", failed=True, now=0.6)
    counts = {each.replica: (each.answers, each.failures) for each in book.take_report("s").counts}
    assert counts == {"a": (2, 0), "b": (0, 1)}
    assert book.due_services(9.0) == []
