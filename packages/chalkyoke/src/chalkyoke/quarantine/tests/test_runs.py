"""Runs that broke without an answer, kept until the fate of their replica is known."""

from chalkyoke.quarantine.identity import request_digest
from chalkyoke.quarantine.runs import (
    BROKEN_RUN_RETENTION_S,
    LEFT_RUN_RETENTION_S,
    LONG_OUTPUT_S,
    UnansweredRuns,
)


def weights(runs, start="m/1", now=1.0):
    return [each.weight for each in runs.pop(start, now)]


def test_runs_at_a_replica_that_answers_again_are_dropped():
    runs = UnansweredRuns()
    runs.add("m/1", b"a", 0.0, output_s=0.0, broken=True)
    runs.discard("m/1")
    assert weights(runs) == []


def test_another_start_of_a_replica_has_its_own_runs():
    runs = UnansweredRuns()
    runs.add("m/1", b"a", 0.0, output_s=0.0, broken=True)
    runs.discard("m/2")
    assert weights(runs, "m/2") == []
    assert weights(runs, "m/1") == [1.0]


def test_runs_are_weighted_by_their_output_and_expire():
    runs = UnansweredRuns()
    runs.add("m/1", b"a", 0.0, output_s=0.9 * LONG_OUTPUT_S, broken=True)
    runs.add("m/1", b"b", 0.0, output_s=4.0, broken=True)
    runs.add("m/1", b"c", 0.0, output_s=0.0, broken=False)
    assert runs.starts(LEFT_RUN_RETENTION_S) == ["m/1"]
    assert weights(runs, now=LEFT_RUN_RETENTION_S + 0.1) == [1.0, 0.5]
    runs.add("m/1", b"a", 0.0, output_s=0.0, broken=True)
    assert runs.starts(BROKEN_RUN_RETENTION_S + 0.1) == []


def test_a_digest_is_the_same_for_all_attempts_and_unique_to_a_request():
    name = request_digest(b"POST", "Desk.example", b"/a", "clerks", b"{}")
    assert name == request_digest(b"POST", "desk.example", b"/a", "clerks", b"{}")
    others = {
        request_digest(b"POST", "desk.example", b"/a", "clerks", b"{ }"),
        request_digest(b"POST", "desk.example", b"/a", "kiosks", b"{}"),
        request_digest(b"POST", "desk.example", b"/aclerks", "", b"{}"),
        request_digest(b"GET", "desk.example", b"/a", "clerks", b"{}"),
    }
    assert len(others | {name}) == 5
