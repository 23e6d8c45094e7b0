import json

from chalkyokectl import story, versionstory


def line(host, at, **fields):
    return json.dumps({"at": at, "host": host, "event": "started", **fields})


def test_the_last_start_of_each_node_tells_its_version():
    texts = [
        line("n1", "2026-03-10T16:00:00.000000Z"),
        line("n1", "2026-03-10T16:05:00.000000Z", version="0.2.0"),
        line("n2", "2026-03-10T16:00:01.000000Z"),
        json.dumps({"at": "2026-03-10T16:06:00.000000Z", "host": "n2", "event": "stopped"}),
    ]
    told = list(versionstory.show(versionstory.versions(story.read(texts))))
    assert told == [
        "n1: 0.2.0, started 2026-03-10T16:05:00.000000Z",
        "n2: before 0.2.0, started 2026-03-10T16:00:01.000000Z",
        "0.2.0: 1 of 2 nodes",
        "before 0.2.0: 1 of 2 nodes",
    ]
