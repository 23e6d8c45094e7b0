import json

from chalkyokectl.story import read, show, tell


def line(at, host, event, **facts):
    return f"{at:9.4f} {host} " + json.dumps({"host": host, "event": event, **facts})


LOGS = [
    "no JSON at all",
    line(1.00, "n1", "sent", request="r1", replica="i-1", age_s=0.01),
    line(1.10, "n2", "sent", request="r2", replica="i-1", age_s=0.01),
    line(1.30, "n2", "ended", request="r2", replica="i-1", end="broken", follows="fail"),
    line(1.31, "n3", "member_left", member="n9"),
    line(1.40, "n1", "ended", request="r1", replica="i-1", end="broken", follows="send_again"),
    line(1.41, "n1", "sent", request="r1", replica="i-2", age_s=0.4),
    line(1.90, "n1", "ended", request="r1", replica="i-2", end="delivered", follows="done"),
    line(9.00, "n3", "member_left", member="n7"),
]


def test_a_story_joins_the_logs_of_several_nodes_in_order():
    story = tell("r1", read(reversed(LOGS)))
    assert [each.event for each in story.lines] == ["sent", "ended", "sent", "ended"]
    assert [(each.host, each.event) for each in story.around] == [
        ("n2", "ended"),
        ("n3", "member_left"),
    ]
    assert story.missing == ()
    text = list(show(story))
    assert text[0] == "request r1, at n1:" and any("replica=i-2" in each for each in text)


def test_what_is_missing_is_said():
    assert tell("r9", read(LOGS)).missing == ("no line names this request",)
    cut = [*LOGS[:3], line(2.0, "n1", "started"), line(2.1, "n1", "version", suppressed=3)]
    missing = tell("r1", read(cut)).missing
    assert missing[0] == "how it ended: its node started again after this"
    assert missing[1] == "3 lines of n1 were suppressed"


def test_lines_without_a_collector_s_stamp_are_ordered_by_their_own_time():
    one = json.dumps({"at": "2026-04-04T14:26:02.5Z", "host": "a", "event": "sent", "request": "r"})
    two = json.dumps({"at": "2026-04-04T14:26:01.5Z", "host": "a", "event": "left", "request": "r"})
    assert [each.event for each in tell("r", read([one, two])).lines] == ["left", "sent"]
