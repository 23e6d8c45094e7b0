"""Report of the course of roll-outs, from the log lines of several nodes."""

import json

from chalkyokectl.rolloutstory import format_rollout_lines, select_rollout_lines
from chalkyokectl.story import parse_log_lines


def log_text(at, host, event, **fields):
    line = {"up_s": at, "host": host, "slice": "chalkyoke.rollouts", "event": event, **fields}
    return json.dumps(line)


def test_events_of_every_node_are_merged_and_events_of_the_leader_are_listed_one_by_one():
    texts = [
        log_text(2.5, "n1", "decided", service="s", phase="undone", why="bad version", route="r"),
        log_text(1.0, "n1", "ordered", service="s", to="2"),
        log_text(1.2, "n2", "ordered", service="s", to="2"),
        log_text(1.5, "n1", "decided", service="s", phase="trial"),
        log_text(3.0, "n1", "decided", service="other", phase="trial"),
        json.dumps({"up_s": 1.1, "host": "n1", "slice": "chalkyoke.request", "event": "sent"}),
    ]
    report = list(format_rollout_lines(select_rollout_lines(parse_log_lines(texts), "s")))
    assert report == [
        "1.000 2 nodes within 0.200 s s ordered: service=s to=2",
        "1.500 n1 s decided: service=s phase=trial",
        "2.500 n1 s decided: service=s phase=undone why=bad version route=r",
    ]


def test_logs_without_a_roll_out_give_an_empty_selection():
    assert select_rollout_lines(parse_log_lines(["not json", "{}"])) == []
