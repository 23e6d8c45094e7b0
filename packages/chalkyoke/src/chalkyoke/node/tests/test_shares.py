"""Metrics and log lines about the shares of teams; see chalkyoke.node.shares."""

from types import SimpleNamespace

from chalkyoke.administration.metrics import Metrics
from chalkyoke.node import shares
from chalkyoke.scheduling.admission import ShareRecord


def test_an_overload_of_many_teams_is_counted_and_logged_in_one_line_a_pool(monkeypatch):
    """Guards against a log that grows with the number of teams and of seconds."""
    lines = []
    monkeypatch.setattr(shares.log, "info", lambda event, **fields: lines.append(fields))
    teams = frozenset(f"m{number:04}" for number in range(3000))
    admission = SimpleNamespace(
        take_records=lambda: {"m0001": ShareRecord(2.0, 3.0)}, limited_teams=lambda: teams
    )
    scheduler = SimpleNamespace(spec=SimpleNamespace(name="p"), admission=admission)
    metrics = Metrics()
    reporter = shares.ShareReporter(metrics)
    for second in range(5):
        reporter.report(scheduler, 10.0 + second)
    labels = {"pool": "p", "team": "m0001"}
    assert metrics.counter_value("scheduler_work_served_seconds", **labels) == 10.0
    assert metrics.counter_value("scheduler_fair_share_seconds", **labels) == 15.0
    assert [(each["pool"], each["count"]) for each in lines] == [("p", 3000)]
    assert len(lines[0]["teams"]) < 50
