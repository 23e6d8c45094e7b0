"""Which requests are held back, from the lines of several nodes."""

import json

from chalkyokectl.heldstory import show, suspicions
from chalkyokectl.story import read


def text(at, host, event, of="chalkyoke.quarantine", **fields):
    return json.dumps({"up_s": at, "host": host, "slice": of, "event": event, **fields})


def test_a_held_request_is_told_with_its_evidence_and_one_that_is_not_held_is_left_out():
    texts = [
        text(1.0, "n1", "replica_ended", start="m1/7", digests=["aa", "bb"]),
        text(1.1, "n2", "replica_ended", start="m1/7", digests=["aa"]),
        text(2.0, "n2", "replica_ended", start="m2/7", digests=["aa"]),
        text(2.1, "n1", "request_held", digest="aa"),
        text(2.3, "n2", "request_held", digest="aa"),
        text(3.0, "n2", "held_back", of="chalkyoke.request", request="q9", digest="aa"),
        text(9.0, "n1", "request_released", digest="aa", why="operator"),
    ]
    assert list(show(suspicions(read(texts)))) == [
        "aa: came 1 times while held back",
        "  1.000 replica m1/7 ended under it",
        "  2.000 replica m2/7 ended under it",
        "  2.100 held back by 2 nodes within 0.200 s",
        "  9.000 n1 let it go: operator",
    ]
    assert suspicions(read(texts), "bb") == []
