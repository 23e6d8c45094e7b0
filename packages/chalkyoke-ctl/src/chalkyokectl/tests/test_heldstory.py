"""Report of the requests that are held back, from the log lines of several nodes."""

import json

from chalkyokectl.heldstory import collect_held_requests, format_held_requests
from chalkyokectl.story import parse_log_lines


def log_text(at, host, event, channel="chalkyoke.quarantine", **fields):
    return json.dumps({"up_s": at, "host": host, "slice": channel, "event": event, **fields})


def test_report_lists_held_requests_with_their_evidence_and_omits_requests_that_are_not_held():
    texts = [
        log_text(1.0, "n1", "replica_ended", start="m1/7", digests=["aa", "bb"]),
        log_text(1.1, "n2", "replica_ended", start="m1/7", digests=["aa"]),
        log_text(2.0, "n2", "replica_ended", start="m2/7", digests=["aa"]),
        log_text(2.1, "n1", "request_held", digest="aa"),
        log_text(2.3, "n2", "request_held", digest="aa"),
        log_text(3.0, "n2", "held_back", channel="chalkyoke.request", request="q9", digest="aa"),
        log_text(9.0, "n1", "request_released", digest="aa", why="operator"),
    ]
    assert list(format_held_requests(collect_held_requests(parse_log_lines(texts)))) == [
        "aa: came 1 times while held back",
        "  1.000 replica m1/7 ended under it",
        "  2.000 replica m2/7 ended under it",
        "  2.100 held back by 2 nodes within 0.200 s",
        "  9.000 n1 let it go: operator",
    ]
    assert collect_held_requests(parse_log_lines(texts), "bb") == []


def test_report_lists_a_held_part_with_the_replicas_that_ended_under_it():
    texts = [
        log_text(1.0, "n1", "replica_ended", start="m1/7", digests=["aa"], parts=["cc", "dd"]),
        log_text(2.0, "n2", "replica_ended", start="m2/7", digests=["bb"], parts=["cc"]),
        log_text(2.1, "n1", "request_held", digest="cc", is_part=True),
        log_text(3.0, "n2", "held_back", channel="chalkyoke.request", request="q9", digest="cc"),
        log_text(3.1, "n2", "held_back", channel="chalkyoke.request", request="q10", digest=None),
    ]
    assert list(format_held_requests(collect_held_requests(parse_log_lines(texts)))) == [
        "cc: came 1 times while held back",
        "  1.000 replica m1/7 ended under it",
        "  2.000 replica m2/7 ended under it",
        "  2.100 held back by 1 nodes within 0.000 s",
    ]
