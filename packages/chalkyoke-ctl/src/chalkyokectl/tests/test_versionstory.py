import json

from chalkyokectl import story, versionstory


def start_text(host, at, **fields):
    return json.dumps({"at": at, "host": host, "event": "started", **fields})


def test_report_shows_the_version_of_the_last_start_of_each_node():
    texts = [
        start_text("n1", "2026-03-10T16:00:00.000000Z"),
        start_text("n1", "2026-03-10T16:05:00.000000Z", version="0.2.0"),
        start_text("n2", "2026-03-10T16:00:01.000000Z"),
        json.dumps({"at": "2026-03-10T16:06:00.000000Z", "host": "n2", "event": "stopped"}),
    ]
    report = list(
        versionstory.format_versions(versionstory.find_last_starts(story.parse_log_lines(texts)))
    )
    assert report == [
        "n1: 0.2.0, started 2026-03-10T16:05:00.000000Z",
        "n2: before 0.2.0, started 2026-03-10T16:00:01.000000Z",
        "0.2.0: 1 of 2 nodes",
        "before 0.2.0: 1 of 2 nodes",
    ]
