"""Runs that ended without an answer, until it is known whether their replica has ended."""

from chalkyoke.quarantine.identity import request_digest
from chalkyoke.quarantine.runs import KEPT_S, LEFT_KEPT_S, LONG_OUTPUT_S, UnansweredRuns


def weights(runs, start="m/1", now=1.0):
    return [each.weight for each in runs.pop(start, now)]


def test_a_replica_that_answers_again_has_not_ended():
    runs = UnansweredRuns()
    runs.add("m/1", b"a", 0.0, output_s=0.0, broken=True)
    runs.note_alive("m/1")
    assert weights(runs) == []


def test_another_start_of_the_replica_is_another_replica():
    runs = UnansweredRuns()
    runs.add("m/1", b"a", 0.0, output_s=0.0, broken=True)
    runs.note_alive("m/2")
    assert weights(runs, "m/2") == []
    assert weights(runs, "m/1") == [1.0]


def test_runs_count_by_how_long_they_had_given_output_and_for_a_while_only():
    runs = UnansweredRuns()
    runs.add("m/1", b"a", 0.0, output_s=0.9 * LONG_OUTPUT_S, broken=True)
    runs.add("m/1", b"b", 0.0, output_s=4.0, broken=True)
    runs.add("m/1", b"c", 0.0, output_s=0.0, broken=False)
    assert runs.starts(LEFT_KEPT_S) == ["m/1"]
    assert weights(runs, now=LEFT_KEPT_S + 0.1) == [1.0, 0.5]
    runs.add("m/1", b"a", 0.0, output_s=0.0, broken=True)
    assert runs.starts(KEPT_S + 0.1) == []


def test_a_request_has_one_name_at_all_attempts_and_no_other_request_has_it():
    name = request_digest(b"POST", "Desk.example", b"/a", "clerks", b"{}")
    assert name == request_digest(b"POST", "desk.example", b"/a", "clerks", b"{}")
    others = {
        request_digest(b"POST", "desk.example", b"/a", "clerks", b"{ }"),
        request_digest(b"POST", "desk.example", b"/a", "kiosks", b"{}"),
        request_digest(b"POST", "desk.example", b"/aclerks", "", b"{}"),
        request_digest(b"GET", "desk.example", b"/a", "clerks", b"{}"),
    }
    assert len(others | {name}) == 5
