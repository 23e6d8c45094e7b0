import json

from chalkyokectl.story import build_timeline, format_timeline, parse_log_lines


def log_text(at, host, event, **facts):
    return f"{at:9.4f} {host} " + json.dumps({"host": host, "event": event, **facts})


LOGS = [
    "no JSON at all",
    log_text(1.00, "n1", "sent", request="r1", replica="i-1", age_s=0.01),
    log_text(1.10, "n2", "sent", request="r2", replica="i-1", age_s=0.01),
    log_text(1.30, "n2", "ended", request="r2", replica="i-1", end="broken", follows="fail"),
    log_text(1.31, "n3", "member_left", member="n9"),
    log_text(1.40, "n1", "ended", request="r1", replica="i-1", end="broken", follows="send_again"),
    log_text(1.41, "n1", "sent", request="r1", replica="i-2", age_s=0.4),
    log_text(1.90, "n1", "ended", request="r1", replica="i-2", end="delivered", follows="done"),
    log_text(9.00, "n3", "member_left", member="n7"),
]


def test_timeline_joins_the_logs_of_several_nodes_in_order():
    timeline = build_timeline("r1", parse_log_lines(reversed(LOGS)))
    assert [each.event for each in timeline.lines] == ["sent", "ended", "sent", "ended"]
    assert [(each.host, each.event) for each in timeline.context] == [
        ("n2", "ended"),
        ("n3", "member_left"),
    ]
    assert timeline.missing == ()
    report = list(format_timeline(timeline))
    assert report[0] == "request r1, at n1:" and any("replica=i-2" in each for each in report)


def test_timeline_names_what_the_logs_lack():
    assert build_timeline("r9", parse_log_lines(LOGS)).missing == ("no line names this request",)
    cut = [*LOGS[:3], log_text(2.0, "n1", "started"), log_text(2.1, "n1", "version", suppressed=3)]
    missing = build_timeline("r1", parse_log_lines(cut)).missing
    assert missing[0] == "how it ended: its node started again after this"
    assert missing[1] == "3 lines of n1 were suppressed"


def test_lines_without_a_collector_time_stamp_are_ordered_by_the_wall_time_of_their_node():
    one = json.dumps({"at": "2026-04-04T14:26:02.5Z", "host": "a", "event": "sent", "request": "r"})
    two = json.dumps({"at": "2026-04-04T14:26:01.5Z", "host": "a", "event": "left", "request": "r"})
    assert [each.event for each in build_timeline("r", parse_log_lines([one, two])).lines] == [
        "left",
        "sent",
    ]
