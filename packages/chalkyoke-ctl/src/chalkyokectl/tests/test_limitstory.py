"""Report of the limits that replicas announce, from the log lines of several nodes."""

import json

from chalkyokectl.limitstory import collect_limits, format_limits
from chalkyokectl.story import parse_log_lines


def log_text(at, host, event, **fields):
    return json.dumps({"up_s": at, "host": host, "event": event, **fields})


def test_report_names_each_limit_its_counting_processes_and_the_attempts_sent():
    texts = [
        log_text(1.0, "n1", "sent", replica="p1/7", limit_kept_by=None),
        log_text(2.0, "n1", "replica_limit", replica="p1/7", limit_per_s=3.8, source="answer"),
        log_text(2.1, "n2", "replica_limit", replica="p1/7", limit_per_s=3.8, source="10.0.0.1:1"),
        log_text(2.2, "n2", "limit_kept", service="s", replica="p1/7", limit_per_s=3.8, share=1.0),
        log_text(2.3, "n3", "sent", replica="p1/7", limit_kept_by=None),
        log_text(3.0, "n1", "sent", replica="p1/7", limit_kept_by="n2/1"),
        log_text(3.5, "n2", "sent", replica="p1/7", limit_kept_by="n2/1"),
        log_text(9.0, "n1", "sent", replica="p1/7", limit_kept_by=""),
        log_text(9.5, "n1", "sent", replica="p2/7", limit_kept_by=None),
        log_text(12.0, "n2", "replica_limit", replica="p1/7", limit_per_s=None, source="answer"),
    ]
    assert list(format_limits(collect_limits(parse_log_lines(texts)))) == [
        "p1/7: 4 sends, 3 at most in 4 s",
        "  2.000 takes 3.8 a second, first heard by n1",
        "  12.000 names no limit any more, first heard by n2",
        "  believed otherwise by n1",
        "  n2 gives out 100% of it",
        "  2 counted by n2/1",
        "  1 counted by nodes alone",
        "  1 not counted: sent before their node had heard",
    ]
    assert collect_limits(parse_log_lines(texts), "p2/7") == []
