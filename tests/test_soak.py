"""
tests.test_soak

Each checker of the soak goes red at a planted fault; the relay does what it is told; a short run of
a fixed seed over real processes.
"""

import asyncio
from dataclasses import replace

import pytest
from chalkyoke_fakes.replica import whole_stream
from chalkyoke_fakes.soak import checkers
from chalkyoke_fakes.soak.observations import (
    CallerAttempt,
    DrainStart,
    FaultPeriod,
    Kind,
    LimitPeriod,
    Observations,
    Quota,
    Rejection,
    ReplicaRun,
    RetryLimit,
)
from chalkyoke_fakes.soak.plan import Fault, draw_faults
from chalkyoke_fakes.soak.play import RunConfig, play_seed
from chalkyoke_fakes.soak.relay import Relay

STREAM = whole_stream()
SHORT = RunConfig(seconds=8.0, requests_per_s=6.0)


def asked(request, kind=Kind.ONCE, began=1.0, ended=1.2, status=200, body=None, whole=True):
    own = STREAM if kind.streams else f"s1 did {request}".encode()
    return CallerAttempt(
        request, kind, "n1", "t", began, ended, 8.0, status, own if body is None else body, whole
    )


def ran(request, at=1.1, replica="s1"):
    return ReplicaRun(request, replica, "seats", "t", at)


def sound():
    """A run in which all is well, with something for each checker to look at."""
    seen = Observations(stream=STREAM)
    seen.attempts = [
        asked("a"),
        asked("b", Kind.REPEATABLE),
        asked("c", Kind.STREAM),
        asked("d", Kind.STREAM, body=STREAM[:30], whole=False),
        asked("e", status=503, body=b"no replica"),
    ]
    seen.runs = [ran("a"), ran("b"), ran("b", 1.15), ran("c"), ran("d")]
    seen.faults = [FaultPeriod(Fault.NODE_KILL, "n2", 3.0, 4.0)]
    seen.drains = [DrainStart("s1", 30.0)]
    seen.versions = {"n1/1": [1, 3, 4], "n1/2": [4, 5]}
    seen.quotas = [Quota("t", 6, 8.0)]
    seen.retry_limit = RetryLimit(0.2, 3.0, 10.0)
    return seen


def run_twice(seen):
    seen.runs.append(ran("a", 1.3))


def run_what_was_refused(seen):
    seen.runs.append(ran("e"))


def hand_out_another_answer(seen):
    seen.attempts[0] = asked("a", body=b"s1 did x")


def end_a_cut_stream_as_whole(seen):
    seen.attempts[3] = asked("d", Kind.STREAM, body=STREAM[:30])


def join_two_runs_in_one_stream(seen):
    seen.attempts[3] = asked("d", Kind.STREAM, body=STREAM[:30] + STREAM[:30], whole=False)


def run_what_nobody_asked(seen):
    seen.runs.append(ran("smuggled"))


def go_back_to_an_older_version(seen):
    seen.versions["n1/1"].append(2)


def send_to_a_leaving_replica(seen):
    seen.attempts.append(asked("late", began=33.4, ended=33.6))
    seen.runs.append(ran("late", 33.5))


def hold_past_the_deadline(seen):
    seen.attempts.append(asked("slow", Kind.REPEATABLE, began=5.0, ended=15.0))


def pass_more_than_the_quota(seen):
    for number in range(6):
        seen.attempts.append(asked(f"q{number}"))
        seen.runs.append(ran(f"q{number}"))


def repeat_too_often(seen):
    for number in range(5):
        seen.runs.append(ran("b", 1.2 + number / 10))


def never_come_back(seen):
    seen.recovered_s = None


def send_to_one_that_said_it_leaves(seen):
    seen.attempts.append(replace(asked("told", began=50.0, ended=50.2), leaving_replica="s1"))
    seen.attempts.append(asked("late", began=52.3, ended=52.5))
    seen.runs.append(ran("late", 52.4))


def send_to_one_that_rests(seen):
    for number in range(4):
        at = 60.0 + number * 0.7
        seen.attempts.append(asked(f"y{number}", began=at, ended=at, status=503))
        seen.rejections.append(Rejection(f"y{number}", "s1", at, 3.0))


def send_on_a_request_that_ends_replicas(seen):
    for number in range(7):
        at = 40.0 + number * (1.0 if number < 3 else 2.0)
        seen.attempts.append(asked(f"x{number}", Kind.STREAM, began=at, status=502))
        seen.runs.append(ReplicaRun(f"x{number}", "m1", "model", "t", at, b"crashing-1"))
    seen.runs.append(ReplicaRun("x6", "m1", "model", "t", 55.0, b"crashing-1"))


def send_more_than_a_limit(seen):
    seen.limit_periods.append(LimitPeriod("s1", 70.0, 80.0, 0.5))
    seen.attempts.append(replace(asked("named", began=70.0, ended=70.1), limiting_replica="s1"))
    for number in range(9):
        at = 74.0 + number * 0.4
        seen.attempts.append(asked(f"z{number}", Kind.REPEATABLE, began=at, ended=at + 0.1))
        seen.runs.append(ran(f"z{number}", at))


def send_to_one_that_left_before_a_restore(seen):
    seen.faults.append(FaultPeriod(Fault.STORE_RESTORED, "store", 29.0, 32.0))
    seen.restore_times.append(31.0)
    seen.attempts.append(asked("hidden", began=34.2, ended=34.4))
    seen.runs.append(ran("hidden", 34.3))


PLANTS = [
    (run_twice, checkers.runs_once),
    (run_what_was_refused, checkers.not_run_answers_are_true),
    (hand_out_another_answer, checkers.answers_are_complete_and_own),
    (end_a_cut_stream_as_whole, checkers.answers_are_complete_and_own),
    (join_two_runs_in_one_stream, checkers.answers_are_complete_and_own),
    (run_what_nobody_asked, checkers.runs_have_a_caller),
    (go_back_to_an_older_version, checkers.versions_never_decrease),
    (send_to_a_leaving_replica, checkers.draining_replicas_get_no_requests),
    (send_to_one_that_left_before_a_restore, checkers.drains_survive_store_restores),
    (hold_past_the_deadline, checkers.deadlines_hold),
    (pass_more_than_the_quota, checkers.quotas_hold),
    (repeat_too_often, checkers.retries_stay_within_budget),
    (send_on_a_request_that_ends_replicas, checkers.crashing_requests_are_held_back),
    (send_to_one_that_said_it_leaves, checkers.leaving_answers_are_respected),
    (send_to_one_that_rests, checkers.retry_after_is_respected),
    (send_more_than_a_limit, checkers.replica_limits_are_respected),
    (never_come_back, checkers.service_recovers),
]


def test_a_sound_run_breaks_nothing():
    assert checkers.run_checkers(sound()) == []


@pytest.mark.parametrize(("plant", "checker"), PLANTS, ids=lambda each: each.__name__)
def test_a_planted_fault_turns_its_checker_red(plant, checker):
    seen = sound()
    plant(seen)
    assert checker(seen)


def test_each_checker_has_a_planted_fault():
    assert {checker for _, checker in PLANTS} == set(checkers.CHECKERS)


def test_what_was_out_of_touch_is_not_blamed_for_a_drain():
    seen = sound()
    send_to_a_leaving_replica(seen)
    seen.faults.append(FaultPeriod(Fault.STORE_DOWN, "store", 28.0, 29.0))
    assert checkers.draining_replicas_get_no_requests(seen) == []


def test_a_leaving_that_is_written_again_counts_from_then():
    seen = sound()
    send_to_one_that_left_before_a_restore(seen)
    seen.restore_times[-1] = 31.5
    assert checkers.drains_survive_store_restores(seen) == []
    seen.restore_times.clear()
    assert checkers.drains_survive_store_restores(seen)
    seen.faults.append(FaultPeriod(Fault.STORE_DOWN, "store", 28.0, 29.0))
    assert checkers.drains_survive_store_restores(seen) == []


def test_a_node_that_started_since_or_a_replica_that_did_is_not_blamed():
    seen = sound()
    send_to_one_that_said_it_leaves(seen)
    seen.replica_exits["s1"] = [51.0]
    assert checkers.leaving_answers_are_respected(seen) == []
    seen.replica_exits.clear()
    seen.faults.append(FaultPeriod(Fault.NODE_KILL, "n1", 51.0, 51.5))
    assert checkers.leaving_answers_are_respected(seen) == []
    send_to_one_that_rests(seen)
    seen.faults.append(FaultPeriod(Fault.LINKS_SILENT, "n1", 61.0, 61.5))
    assert checkers.retry_after_is_respected(seen) == []


def test_a_node_that_was_struck_is_not_blamed_for_a_limit():
    seen = sound()
    send_more_than_a_limit(seen)
    seen.faults.append(FaultPeriod(Fault.LINKS_SILENT, "n1", 72.0, 78.0))
    assert not checkers.replica_limits_are_respected(seen)
    seen.faults[-1] = FaultPeriod(Fault.LINKS_SILENT, "n2", 72.0, 78.0)
    assert checkers.replica_limits_are_respected(seen)


def test_who_was_out_of_touch_is_not_blamed_for_a_request_that_ends_replicas():
    seen = sound()
    send_on_a_request_that_ends_replicas(seen)
    seen.faults.append(FaultPeriod(Fault.NODE_FREEZE, "n1", 41.0, 42.0))
    assert checkers.crashing_requests_are_held_back(seen) == []


def test_a_plan_hangs_on_its_seed_alone_and_its_series_overlap():
    places = (["n1", "n2"], ["m1", "s1"])
    steps = draw_faults(5, 60.0, *places)
    assert steps == draw_faults(5, 60.0, *places) != draw_faults(6, 60.0, *places)
    assert any(one.at < other.at < one.at + one.duration_s for one in steps for other in steps)
    assert {each.fault for each in draw_faults(1, 900.0, *places)} == set(Fault)


def through_a_relay(check):
    """Run a check with a relay before an echo, and a connection that has carried something."""

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


async def says_nothing(reader):
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(100), 0.2)


def test_a_relay_passes_holds_back_and_resets():
    async def check(relay, reader, writer):
        relay.faults.silent_to_caller = True
        writer.write(b"two")
        await says_nothing(reader)
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

    through_a_relay(check)


def test_a_relay_lets_open_connections_go_dead_while_new_ones_work():
    async def check(relay, reader, writer):
        relay.silence_open_connections()
        writer.write(b"two")
        await says_nothing(reader)
        other, its_writer = await connect(relay)
        its_writer.write(b"three")
        assert await other.read(100) == b"THREE"
        its_writer.close()

    through_a_relay(check)


def test_a_short_run_over_real_processes_breaks_no_promise_of_safety():
    """What hangs on the clock is left to ``make soak``: this machine may be busy."""
    outcome = asyncio.run(play_seed(7, SHORT))
    assert checkers.run_checkers(outcome.observations, checkers.SAFETY_CHECKERS) == [], (
        outcome.summary()
    )
    assert any(each.status == 200 for each in outcome.observations.attempts)
    assert outcome.observations.runs and outcome.observations.versions
