"""Runs that broke without an answer, kept until the fate of their replica is known."""

import msgspec
from chalkyoke.gateway.ports import PromptPart
from chalkyoke.quarantine.identity import MAX_TRACKED_PARTS, request_digest, shared_part_digests
from chalkyoke.quarantine.messages import SuspectPart, SuspectRun
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


def test_shared_parts_are_named_by_their_content_without_the_last_one():
    parts = [PromptPart(0x5A, 60), PromptPart(0xBAD, 200), PromptPart(0x5A, 60), PromptPart(7, 9)]
    digests = shared_part_digests(parts)
    assert len(set(digests)) == len(digests) == 2
    other = [PromptPart(0xBAD, 10), PromptPart(8, 9)]
    assert shared_part_digests(other) == (digests[1],)
    assert shared_part_digests(parts[:1]) == shared_part_digests(()) == ()
    many = [PromptPart(number, 1) for number in range(10_000)]
    assert len(shared_part_digests(many)) == MAX_TRACKED_PARTS


def test_reports_of_ends_are_exchanged_with_nodes_that_know_no_parts():
    """Guards against a report of an end that a node of an older version cannot read."""

    class OldRun(msgspec.Struct, frozen=True, array_like=True):
        request: bytes
        weight: float
        age_s: float
        served_age_s: float = -1.0

    run = SuspectRun(b"r", 1.0, 0.5, 2.0, (SuspectPart(b"p", 3.0),))
    old = OldRun(b"r", 1.0, 0.5, 2.0)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(run), type=OldRun) == old
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=SuspectRun)
    assert read == msgspec.structs.replace(run, parts=())
