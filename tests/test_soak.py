"""
tests.test_soak

Tests of the soak: each checker detects a planted violation, the relay injects its faults, and a
short run with a fixed seed over real processes keeps the safety promises.
"""

import asyncio
from dataclasses import replace

import pytest
from chalkyoke_fakes.replica import stream_events
from chalkyoke_fakes.soak import checkers
from chalkyoke_fakes.soak.observations import (
    CallerAttempt,
    Decision,
    DrainStart,
    FaultPeriod,
    FocusPeriod,
    Kind,
    LeftRequest,
    LimitPeriod,
    NodeExit,
    NodeStop,
    Observations,
    OverLimit,
    Quota,
    RefusedSender,
    Rejection,
    ReplicaRun,
    RetryLimit,
    TimeLimit,
)
from chalkyoke_fakes.soak.plan import Fault, draw_faults
from chalkyoke_fakes.soak.play import RunConfig, play_seed
from chalkyoke_fakes.soak.relay import Relay

EVENTS, OTHER_EVENTS = stream_events("v1"), stream_events("v1.1")
STREAM = b"".join(EVENTS)
SHORT = RunConfig(seconds=8.0, requests_per_s=6.0)
# In the plan of this seed, callers send large bodies to nodes that stop, are killed and configured.
UPLOAD_SEED = 3
UPLOAD = RunConfig(
    seconds=8.0,
    requests_per_s=6.0,
    only=frozenset({Fault.LARGE_UPLOADS, Fault.NODE_STOP, Fault.NODE_KILL, Fault.CONFIGURE}),
)
# In the plan of this seed, services pause beside reloads, stops and a kill.
PAUSED_SEED = 41
PAUSED = RunConfig(
    seconds=10.0,
    requests_per_s=6.0,
    only=frozenset({Fault.SERVICE_PAUSES, Fault.RELOAD, Fault.NODE_STOP, Fault.NODE_KILL}),
)


def make_attempt(request, kind=Kind.ONCE, began=1.0, ended=1.2, status=200, body=None, whole=True):
    own = STREAM if kind.streams else f"s1 did {request}".encode()
    return CallerAttempt(
        request, kind, "n1", "t", began, ended, 8.0, status, own if body is None else body, whole
    )


def make_resumed(request, resumes, body, after=0, **fields):
    """Make the record of an attempt that takes a stream up after its event ``after``."""
    attempt = make_attempt(request, Kind.RESUMABLE, began=9.0, ended=9.2, body=body, **fields)
    return replace(attempt, resumes=resumes, after=after, serving=2)


def make_run(request, at=1.1, replica="s1"):
    return ReplicaRun(request, replica, "seats", "t", at)


def make_sound_run():
    """Make the records of a run without violations, with data for each checker."""
    observations = Observations(streams={"v1": EVENTS, "v1.1": OTHER_EVENTS})
    observations.attempts = [
        make_attempt("a"),
        make_attempt("b", Kind.REPEATABLE),
        make_attempt("c", Kind.STREAM),
        make_attempt("d", Kind.STREAM, body=STREAM[:30], whole=False),
        make_attempt("e", status=503, body=b"no replica"),
        make_attempt("f", Kind.RESUMABLE, body=STREAM[:30], whole=False),
        make_resumed("g", "f", b"".join(EVENTS[1:])),
    ]
    observations.runs = [
        make_run("a"),
        make_run("b"),
        make_run("b", 1.15),
        make_run("c"),
        make_run("d", replica="m1"),
    ]
    observations.faults = [
        FaultPeriod(Fault.REPLICA_BREAKS, "m1", 0.9, 1.3),
        FaultPeriod(Fault.NODE_KILL, "n2", 3.0, 4.0),
    ]
    observations.drains = [DrainStart("s1", 30.0)]
    observations.versions = {"n1/1": [1, 3, 4], "n1/2": [4, 5]}
    observations.quotas = [Quota("t", 6, 8.0)]
    observations.retry_limit = RetryLimit(0.2, 3.0, 10.0)
    return observations


def run_twice(observations):
    observations.runs.append(make_run("a", 1.3))


def run_a_rejected_request(observations):
    observations.runs.append(make_run("e"))


def return_another_answer(observations):
    observations.attempts[0] = make_attempt("a", body=b"s1 did x")


def end_a_cut_stream_as_complete(observations):
    observations.attempts[3] = make_attempt("d", Kind.STREAM, body=STREAM[:30])


def join_two_runs_in_one_stream(observations):
    observations.attempts[3] = make_attempt(
        "d", Kind.STREAM, body=STREAM[:30] + STREAM[:30], whole=False
    )


def join_two_versions_in_one_answer(observations):
    observations.attempts[2] = make_attempt(
        "c", Kind.STREAM, body=b"".join([*EVENTS[:4], *OTHER_EVENTS[4:]])
    )


def resume_a_stream_at_another_version(observations):
    observations.attempts[-1] = make_resumed("g", "f", b"".join(OTHER_EVENTS[1:]))


def refuse_resumed_streams(observations):
    for number in range(12):
        name = f"u{number}"
        observations.attempts.append(
            make_attempt(name, Kind.RESUMABLE, 9.0, 9.1, body=STREAM[:30], whole=False)
        )
        if number < 6:
            resumed = make_resumed(f"v{number}", name, b"", status=503)
        else:
            resumed = make_resumed(f"v{number}", name, b"", status=0, whole=False)
        observations.attempts.append(resumed)


def run_an_unsent_request(observations):
    observations.runs.append(make_run("smuggled"))


def go_back_to_an_older_version(observations):
    observations.versions["n1/1"].append(2)


def send_to_a_draining_replica(observations):
    observations.attempts.append(make_attempt("late", began=33.4, ended=33.6))
    observations.runs.append(make_run("late", 33.5))


def answer_after_the_deadline(observations):
    observations.attempts.append(make_attempt("slow", Kind.REPEATABLE, began=5.0, ended=15.0))


def run_more_than_the_quota(observations):
    for number in range(6):
        observations.attempts.append(make_attempt(f"q{number}"))
        observations.runs.append(make_run(f"q{number}"))


def exceed_the_retry_budget(observations):
    for number in range(5):
        observations.runs.append(make_run("b", 1.2 + number / 10))


def never_recover(observations):
    observations.recovered_s = None


def send_after_a_leaving_answer(observations):
    observations.attempts.append(
        replace(make_attempt("told", began=50.0, ended=50.2), leaving_replica="s1")
    )
    observations.attempts.append(make_attempt("late", began=52.3, ended=52.5))
    observations.runs.append(make_run("late", 52.4))


def send_during_retry_after(observations):
    for number in range(4):
        at = 60.0 + number * 0.7
        observations.attempts.append(make_attempt(f"y{number}", began=at, ended=at, status=503))
        observations.rejections.append(Rejection(f"y{number}", "s1", at, 3.0))


def keep_running_a_crashing_request(observations):
    for number in range(7):
        at = 40.0 + number * (1.0 if number < 3 else 2.0)
        observations.attempts.append(make_attempt(f"x{number}", Kind.STREAM, began=at, status=502))
        observations.runs.append(ReplicaRun(f"x{number}", "m1", "model", "t", at, b"crashing-1"))
    observations.runs.append(ReplicaRun("x6", "m1", "model", "t", 55.0, b"crashing-1"))


def keep_running_a_crashing_part(observations):
    observations.crashing_parts.append("bad0")
    for number in range(9):
        at = 90.0 + number * 1.0 + (number >= 5) * 3.0
        name = f"p{number}"
        observations.attempts.append(
            replace(make_attempt(name, Kind.STREAM, began=at, status=502), parts=("5a", "bad0"))
        )
        run = ReplicaRun(name, "m1", "model", "t", at, b"", frozenset(("5a", "bad0")))
        observations.runs.append(run)


def refuse_sound_prompts_beside_a_crashing_part(observations):
    keep_running_a_crashing_part(observations)
    observations.attempts.append(
        replace(make_attempt("last", Kind.STREAM, began=106.0, status=502), parts=("5a", "bad0"))
    )
    for number in range(100):
        began = 86.0 + number * 0.2
        status = 200 if began < 90.0 or number % 5 == 0 else 502
        attempt = make_attempt(f"h{number}", Kind.STREAM, began=began, status=status)
        observations.attempts.append(replace(attempt, parts=("5a", "50")))


def serve_too_little_at_a_preferred_node(observations):
    observations.focus_periods.append(FocusPeriod("n1", 120.0, 128.0))
    for number in range(60):
        began = 116.0 + number * 0.2
        status = 200 if began < 120.0 or number % 2 else 503
        observations.attempts.append(
            make_attempt(f"k{number}", Kind.REPEATABLE, began=began, ended=began, status=status)
        )


def exceed_a_replica_limit(observations):
    observations.limit_periods.append(LimitPeriod("s1", 70.0, 80.0, 0.5))
    observations.attempts.append(
        replace(make_attempt("named", began=70.0, ended=70.1), limiting_replica="s1")
    )
    for number in range(9):
        at = 74.0 + number * 0.4
        observations.attempts.append(
            make_attempt(f"z{number}", Kind.REPEATABLE, began=at, ended=at + 0.1)
        )
        observations.runs.append(make_run(f"z{number}", at))


def send_to_a_draining_replica_after_a_restore(observations):
    observations.faults.append(FaultPeriod(Fault.STORE_RESTORED, "store", 29.0, 32.0))
    observations.restore_times.append(31.0)
    observations.attempts.append(make_attempt("hidden", began=34.2, ended=34.4))
    observations.runs.append(make_run("hidden", 34.3))


def run_on_for_callers_that_left(observations):
    for number in range(4):
        name = f"left{number}"
        observations.left_requests.append(LeftRequest(name, "n1", 40.3))
        observations.runs.append(replace(make_run(name, 40.1), ended=41.6, work_s=1.5))


def send_requests_of_callers_that_left(observations):
    for number in range(4):
        name = f"left{number}"
        observations.left_requests.append(LeftRequest(name, "n1", 40.3))
        observations.runs.append(make_run(name, 42.0))


def cut_off_a_begun_stream(observations):
    observations.attempts.append(
        make_attempt("cut", Kind.STREAM, 20.0, 22.0, body=STREAM[:30], whole=False)
    )
    observations.runs.append(make_run("cut", 20.1))


def cut_off_a_stream_beside_a_pause(observations):
    """A fault of another replica, of the store or of another node is near, and excuses nothing."""
    observations.faults += [
        FaultPeriod(Fault.SERVICE_PAUSES, "services", 19.0, 23.0),
        FaultPeriod(Fault.REPLICA_SHEDS, "sa0", 20.0, 22.0),
        FaultPeriod(Fault.STORE_SLOW, "store", 20.0, 22.0),
        FaultPeriod(Fault.NODE_KILL, "n2", 20.0, 22.0),
    ]
    cut_off_a_begun_stream(observations)


def refuse_a_request_that_two_replicas_got(observations):
    observations.attempts.append(make_attempt("many", Kind.REPEATABLE, 20.0, 22.0, status=502))
    observations.runs += [make_run("many", 20.1, "sa0-1"), make_run("many", 21.5, "sb0-2")]


def lose_a_request_that_no_replica_has_read(observations):
    observations.attempts.append(make_attempt("unread", began=20.0, ended=21.0, status=0))
    observations.decisions["unread"] = [Decision("n1", "sent", {})]


def close_a_late_upload_without_an_answer(observations):
    observations.uploads.add("late")
    observations.attempts.append(
        make_attempt("late", began=20.0, ended=21.0, status=0, whole=False)
    )


def work_at_two_replicas_at_once(observations):
    observations.attempts.append(make_attempt("twice", Kind.RESUMABLE, began=20.0, ended=22.0))
    observations.runs += [
        replace(make_run("twice", 20.1, "ma0-1"), ended=21.6),
        replace(make_run("twice", 21.1, "mb0-2"), ended=22.0),
    ]


def let_a_loop_fail(observations):
    observations.node_faults.append(Decision("n1", "loop_failed", {"error": "LookupError()"}))


def use_more_memory_than_the_host_has(observations):
    observations.over_limit.append(OverLimit("n1", 20.0, 129.0))


def end_a_process_by_itself(observations):
    observations.exits.append(NodeExit("n1", 20.0, -9))


def kill_a_process_that_does_not_stop(observations):
    observations.stops.append(NodeStop("n1", 20.0, 12.0, -9))


def close_a_refused_sender_without_an_answer(observations):
    observations.refused_senders.append(RefusedSender("big", "n1", 20.0, 24.0, 0))


VIOLATIONS = [
    (close_a_refused_sender_without_an_answer, checkers.refused_senders_get_answers),
    (kill_a_process_that_does_not_stop, checkers.stops_are_heard),
    (use_more_memory_than_the_host_has, checkers.memory_stays_within_its_limit),
    (end_a_process_by_itself, checkers.processes_end_when_told),
    (let_a_loop_fail, checkers.nodes_have_no_faults),
    (close_a_late_upload_without_an_answer, checkers.uploads_are_answered),
    (run_twice, checkers.runs_once),
    (run_a_rejected_request, checkers.not_run_answers_are_true),
    (return_another_answer, checkers.answers_are_complete_and_own),
    (end_a_cut_stream_as_complete, checkers.answers_are_complete_and_own),
    (join_two_runs_in_one_stream, checkers.answers_are_complete_and_own),
    (join_two_versions_in_one_answer, checkers.streams_keep_their_version),
    (resume_a_stream_at_another_version, checkers.streams_keep_their_version),
    (refuse_resumed_streams, checkers.resumed_streams_go_on),
    (run_an_unsent_request, checkers.runs_have_a_caller),
    (go_back_to_an_older_version, checkers.versions_never_decrease),
    (send_to_a_draining_replica, checkers.draining_replicas_get_no_requests),
    (send_to_a_draining_replica_after_a_restore, checkers.drains_survive_store_restores),
    (answer_after_the_deadline, checkers.deadlines_hold),
    (run_more_than_the_quota, checkers.quotas_hold),
    (exceed_the_retry_budget, checkers.retries_stay_within_budget),
    (keep_running_a_crashing_request, checkers.crashing_requests_are_held_back),
    (keep_running_a_crashing_part, checkers.crashing_parts_are_held_back),
    (refuse_sound_prompts_beside_a_crashing_part, checkers.sound_prompts_are_served),
    (serve_too_little_at_a_preferred_node, checkers.focused_nodes_serve),
    (send_after_a_leaving_answer, checkers.leaving_answers_are_respected),
    (send_during_retry_after, checkers.retry_after_is_respected),
    (exceed_a_replica_limit, checkers.replica_limits_are_respected),
    (run_on_for_callers_that_left, checkers.left_requests_end),
    (send_requests_of_callers_that_left, checkers.left_requests_end),
    (cut_off_a_begun_stream, checkers.begun_requests_end),
    (cut_off_a_stream_beside_a_pause, checkers.dispatched_requests_end),
    (refuse_a_request_that_two_replicas_got, checkers.dispatched_requests_end),
    (lose_a_request_that_no_replica_has_read, checkers.dispatched_requests_end),
    (work_at_two_replicas_at_once, checkers.work_hardly_overlaps),
    (never_recover, checkers.service_recovers),
]


def test_a_sound_run_has_no_violations():
    assert checkers.run_checkers(make_sound_run()) == []


@pytest.mark.parametrize(("plant", "checker"), VIOLATIONS, ids=lambda each: each.__name__)
def test_a_planted_violation_is_detected_by_its_checker(plant, checker):
    observations = make_sound_run()
    plant(observations)
    assert checker(observations)


def test_each_checker_has_a_planted_violation():
    assert {checker for _, checker in VIOLATIONS} == set(checkers.CHECKERS)


def test_an_answer_of_two_versions_is_in_order_but_does_not_keep_its_version():
    """Nodes of older builds mix versions, and must still lose and repeat no event."""
    observations = make_sound_run()
    join_two_versions_in_one_answer(observations)
    assert checkers.answers_are_complete_and_own(observations) == []
    assert checkers.streams_keep_their_version(observations)
    lacks_an_event = b"".join([*EVENTS[:4], *OTHER_EVENTS[5:]])
    observations.attempts[2] = make_attempt("c", Kind.STREAM, body=lacks_an_event)
    assert checkers.answers_are_complete_and_own(observations)


def test_resumed_streams_count_only_in_touch_and_while_two_replicas_of_their_version_serve():
    observations = make_sound_run()
    refuse_resumed_streams(observations)
    observations.faults.append(FaultPeriod(Fault.STORE_SLOW, "store", 6.5, 7.0))
    assert checkers.resumed_streams_go_on(observations) == []
    observations.faults.pop()
    assert checkers.resumed_streams_go_on(observations)
    observations.attempts = [
        replace(each, serving=1) if each.resumes else each for each in observations.attempts
    ]
    assert checkers.resumed_streams_go_on(observations) == []


@pytest.mark.parametrize(
    ("fault", "target"),
    [(Fault.NODE_FREEZE, "n1"), (Fault.ALL_KILL, ""), (Fault.REPLICA_SILENT, "m")],
)
def test_a_fault_of_the_node_or_the_replica_excuses_work_for_callers_that_left(fault, target):
    observations = make_sound_run()
    run_on_for_callers_that_left(observations)
    observations.runs = [replace(each, replica="m-1") for each in observations.runs]
    assert checkers.left_requests_end(observations)
    observations.faults.append(FaultPeriod(fault, target, 39.0, 39.5))
    assert not checkers.left_requests_end(observations)


def test_only_other_faults_and_the_end_of_a_stop_excuse_requests_that_are_cut_off():
    observations = make_sound_run()
    cut_off_a_begun_stream(observations)
    observations.faults.append(FaultPeriod(Fault.NODE_STOP, "n1", 19.0, 27.0))
    assert checkers.begun_requests_end(observations)
    observations.faults[-1] = FaultPeriod(Fault.NODE_STOP, "n1", 14.5, 23.0)
    assert not checkers.begun_requests_end(observations)
    observations.faults[-1] = FaultPeriod(Fault.REPLICA_LOSES, "m1", 19.0, 20.0)
    assert not checkers.begun_requests_end(observations)


def test_a_drain_near_a_store_outage_is_not_a_violation():
    observations = make_sound_run()
    send_to_a_draining_replica(observations)
    observations.faults.append(FaultPeriod(Fault.STORE_DOWN, "store", 28.0, 29.0))
    assert checkers.draining_replicas_get_no_requests(observations) == []


def test_a_drain_counts_from_the_rewrite_after_a_restore():
    observations = make_sound_run()
    send_to_a_draining_replica_after_a_restore(observations)
    observations.restore_times[-1] = 31.5
    assert checkers.drains_survive_store_restores(observations) == []
    observations.restore_times.clear()
    assert checkers.drains_survive_store_restores(observations)
    observations.faults.append(FaultPeriod(Fault.STORE_DOWN, "store", 28.0, 29.0))
    assert checkers.drains_survive_store_restores(observations) == []


def test_restarts_and_link_faults_excuse_requests_after_leaving_and_rest_answers():
    observations = make_sound_run()
    send_after_a_leaving_answer(observations)
    observations.replica_exits["s1"] = [51.0]
    assert checkers.leaving_answers_are_respected(observations) == []
    observations.replica_exits.clear()
    observations.faults.append(FaultPeriod(Fault.NODE_KILL, "n1", 51.0, 51.5))
    assert checkers.leaving_answers_are_respected(observations) == []
    send_during_retry_after(observations)
    observations.faults.append(FaultPeriod(Fault.LINKS_SILENT, "n1", 61.0, 61.5))
    assert checkers.retry_after_is_respected(observations) == []


def test_a_retry_after_binds_only_the_start_of_the_replica_that_asked_for_it():
    """Guards against the report of requests to a later start, which had asked for nothing."""
    observations = make_sound_run()
    send_during_retry_after(observations)
    observations.replica_exits["s1"] = [59.0]
    assert checkers.retry_after_is_respected(observations)
    observations.replica_exits["s1"] = [60.6]
    assert checkers.retry_after_is_respected(observations) == []
    observations.replica_exits["s1"] = [62.9]
    assert checkers.retry_after_is_respected(observations)


def test_a_node_with_a_link_fault_does_not_count_for_a_limit():
    observations = make_sound_run()
    exceed_a_replica_limit(observations)
    observations.faults.append(FaultPeriod(Fault.LINKS_SILENT, "n1", 72.0, 78.0))
    assert not checkers.replica_limits_are_respected(observations)
    observations.faults[-1] = FaultPeriod(Fault.LINKS_SILENT, "n2", 72.0, 78.0)
    assert checkers.replica_limits_are_respected(observations)


def test_a_preferred_node_is_not_compared_while_a_part_ends_replicas():
    """Guards against the report of requests that were lost with the replicas."""
    observations = make_sound_run()
    serve_too_little_at_a_preferred_node(observations)
    observations.faults.append(FaultPeriod(Fault.CRASHING_PART, "parts", 121.0, 122.0))
    assert checkers.focused_nodes_serve(observations) == []


EXCUSES = {
    "its node was killed": lambda each: each.faults.append(
        FaultPeriod(Fault.NODE_KILL, "n1", 21.9, 23.5)
    ),
    "its replica broke streams off": lambda each: each.faults.append(
        FaultPeriod(Fault.REPLICA_BREAKS, "ma0", 20.0, 23.0)
    ),
    "its replica exited": lambda each: each.replica_exits.update({"ma0-1": [21.9]}),
    "the time limit of a version in force": lambda each: each.time_limits.append(
        TimeLimit(18.5, 2.0)
    ),
    "the stop of its node took too long": lambda each: each.faults.append(
        FaultPeriod(Fault.NODE_STOP, "n1", 14.0, 23.0)
    ),
}


@pytest.mark.parametrize("excuse", EXCUSES.values(), ids=EXCUSES)
def test_what_ends_a_dispatched_request_itself_excuses_its_cut(excuse):
    observations = make_sound_run()
    cut_off_a_begun_stream(observations)
    observations.runs[-1] = replace(observations.runs[-1], replica="ma0-1")
    assert checkers.dispatched_requests_end(observations)
    excuse(observations)
    assert checkers.dispatched_requests_end(observations) == []


def test_a_paused_replica_takes_up_late_what_it_got_before_its_caller_left():
    """It reads the request and the close together when it goes on, and must end its work then."""
    observations = make_sound_run()
    run_on_for_callers_that_left(observations)
    late = [replace(each, begun=41.5, ended=41.51) for each in observations.runs[-4:]]
    assert checkers.left_requests_end(observations)
    assert checkers.left_requests_end(replace(observations, runs=late)) == []
    working = [replace(each, ended=42.1) for each in late]
    assert checkers.left_requests_end(replace(observations, runs=working))


def test_work_at_two_replicas_counts_from_when_a_paused_one_takes_it_up():
    observations = make_sound_run()
    work_at_two_replicas_at_once(observations)
    observations.runs[-1] = replace(observations.runs[-1], begun=21.4)
    assert checkers.work_hardly_overlaps(observations) == []


def test_a_halt_of_the_stand_ins_excuses_work_that_overlaps():
    """A loaded machine did not run the replicas, which then heard of an end 0.7 s late."""
    observations = make_sound_run()
    work_at_two_replicas_at_once(observations)
    observations.halts.append((23.0, 23.7))
    assert checkers.work_hardly_overlaps(observations)
    observations.halts.append((21.2, 21.5))
    assert checkers.work_hardly_overlaps(observations) == []


def test_unread_bytes_of_a_suspended_process_are_not_judged():
    """It reads nothing, and the system receives on for it."""
    observations = make_sound_run()
    use_more_memory_than_the_host_has(observations)
    observations.faults.append(FaultPeriod(Fault.NODE_FREEZE, "n2", 18.0, 20.5))
    assert checkers.memory_stays_within_its_limit(observations)
    observations.faults.append(FaultPeriod(Fault.NODE_FREEZE, "n1", 18.0, 20.5))
    assert checkers.memory_stays_within_its_limit(observations) == []


def test_a_stop_before_the_first_lines_of_a_node_may_end_it_by_the_default_action():
    """The interpreter starts before any code of the node can prepare for signals."""
    observations = make_sound_run()
    observations.stops.append(NodeStop("n1", 20.0, 0.1, -15, was_prepared=False))
    assert checkers.stops_are_heard(observations) == []
    observations.stops.append(NodeStop("n1", 21.0, 0.1, -15))
    assert checkers.stops_are_heard(observations)


def test_shares_beside_large_uploads_are_not_compared():
    """Uploads that nearly fill the memory of a host may have others refused."""
    observations = make_sound_run()
    serve_too_little_at_a_preferred_node(observations)
    period = FaultPeriod(Fault.LARGE_UPLOADS, "n2", 121.0, 122.0)
    observations.upload_periods.append(period)
    assert checkers.focused_nodes_serve(observations) == []


def test_a_frozen_node_excuses_runs_of_a_crashing_request():
    observations = make_sound_run()
    keep_running_a_crashing_request(observations)
    observations.faults.append(FaultPeriod(Fault.NODE_FREEZE, "n1", 41.0, 42.0))
    assert checkers.crashing_requests_are_held_back(observations) == []


def test_a_plan_depends_on_its_seed_alone_and_its_series_overlap():
    places = (["n1", "n2"], ["m1", "s1"])
    steps = draw_faults(5, 60.0, *places)
    assert steps == draw_faults(5, 60.0, *places) != draw_faults(6, 60.0, *places)
    assert any(one.at < other.at < one.at + one.duration_s for one in steps for other in steps)
    assert {each.fault for each in draw_faults(1, 900.0, *places)} == set(Fault)


def run_through_a_relay(check):
    """Run a check with a relay in front of an upper-casing echo server and one used connection."""

    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data.upper())

    async def main():
        server = await asyncio.start_server(echo, "127.0.2.1", 0)
        relay = Relay(f"127.0.2.1:{server.sockets[0].getsockname()[1]}")
        await relay.start("127.0.3.1")
        reader, writer = await connect(relay)
        writer.write(b"one")
        assert await reader.read(100) == b"ONE"
        await check(relay, reader, writer)
        writer.close()
        await relay.stop()
        server.close()

    asyncio.run(main())


async def connect(relay):
    ip, port = relay.address.rsplit(":", 1)
    return await asyncio.open_connection(ip, int(port))


async def assert_receives_nothing(reader):
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(100), 0.2)


def test_a_relay_forwards_holds_back_and_resets():
    async def check(relay, reader, writer):
        relay.faults.silent_to_caller = True
        writer.write(b"two")
        await assert_receives_nothing(reader)
        relay.clear_faults()
        assert await reader.read(100) == b"TWO"
        relay.faults.refuse = True
        relay.reset_connections()
        with pytest.raises((ConnectionError, AssertionError)):
            writer.write(b"three")
            assert await reader.read(100)
        with pytest.raises((ConnectionError, AssertionError)):
            other, _ = await connect(relay)
            assert await other.read(100)

    run_through_a_relay(check)


def test_a_relay_silences_open_connections_while_new_ones_work():
    async def check(relay, reader, writer):
        relay.silence_open_connections()
        writer.write(b"two")
        await assert_receives_nothing(reader)
        other, its_writer = await connect(relay)
        its_writer.write(b"three")
        assert await other.read(100) == b"THREE"
        its_writer.close()

    run_through_a_relay(check)


def test_a_short_run_over_real_processes_keeps_the_safety_promises():
    """Timed checkers run only in ``make soak``, since a busy machine would make them fail here."""
    outcome = asyncio.run(play_seed(7, SHORT))
    assert checkers.run_checkers(outcome.observations, checkers.SAFETY_CHECKERS) == [], (
        outcome.summary()
    )
    assert any(each.status == 200 for each in outcome.observations.attempts)
    assert outcome.observations.runs and outcome.observations.versions


def test_a_short_run_with_paused_services_keeps_the_safety_promises():
    """Requests ran twice or not at all while whole services paused and configurations changed."""
    outcome = asyncio.run(play_seed(PAUSED_SEED, PAUSED))
    assert checkers.run_checkers(outcome.observations, checkers.SAFETY_CHECKERS) == [], (
        outcome.summary()
    )
    assert any(each.fault == Fault.SERVICE_PAUSES for each in outcome.observations.faults)
    assert outcome.observations.time_limits and outcome.observations.decisions


def test_a_short_run_with_large_uploads_keeps_the_safety_promises():
    """Processes ended over the memory of their hosts, with all requests that they had accepted."""
    outcome = asyncio.run(play_seed(UPLOAD_SEED, UPLOAD))
    assert checkers.run_checkers(outcome.observations, checkers.SAFETY_CHECKERS) == [], (
        outcome.summary()
    )
    assert outcome.observations.upload_periods and outcome.observations.peak_mb
