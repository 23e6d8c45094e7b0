"""
tests.test_rejoined_streams

Guards against streams that went on at another version than the one that began them, after all hosts
had been killed at once: the hosts that came back knew neither the streams nor the versions that had
served before.
"""

import asyncio
from functools import partial

import pytest

from tests.gatewayfleet import DEADLINE_MS
from tests.rejoinedstreams import (
    OTHER_SERVICE,
    UNTIL_KILL_S,
    Play,
    add_other_service,
    break_streams_off,
    configure,
    garble_and_replace_version,
    kill_and_restart_all,
    kill_and_restart_others,
    kill_halves_in_turn,
    kill_others_then_the_rest,
    nothing,
    other_route,
    replace_version,
    replace_version_unseen,
    return_before_the_store,
    return_in_turn,
    run_play,
    start_older_node,
    unnamed,
    upgrade_in_place,
    upgrade_in_turn,
)
from tests.streamcallers import name_first_attempt

# Attempts to resume a stream that a play must have to count.
MIN_RESUMED = 12
CALLERS = pytest.mark.parametrize(
    "resume_headers", [name_first_attempt, unnamed], ids=["named", "unnamed"]
)
# So many hosts that one which has lived on is no keeper of most streams.
MORE_DOMAINS = ("a", "a", "a", "b", "b", "b", "c", "c", "c")
TWO_VERSIONS = {"versions": ("v1", "v2")}


def check_nothing_is_joined(outcome):
    assert outcome.resumed >= MIN_RESUMED, outcome
    assert not outcome.joined, outcome


async def leave_before_the_kill(fleet):
    await replace_version(fleet)
    await asyncio.sleep(0.3)
    await kill_and_restart_all(fleet, nothing)


async def kill_three_times(fleet):
    await kill_and_restart_all(fleet, replace_version)
    for _ in range(2):
        await asyncio.sleep(0.9)
        await kill_and_restart_all(fleet, nothing)


@CALLERS
@pytest.mark.parametrize(
    "disrupt",
    [
        lambda fleet: kill_and_restart_all(fleet, replace_version),
        leave_before_the_kill,
        kill_three_times,
    ],
    ids=["while hosts are down", "before the kill", "killed three times"],
)
def test_streams_of_a_version_that_has_left_do_not_go_on_at_another_one(disrupt, resume_headers):
    """Guards against joined streams of callers that name no attempt."""
    check_nothing_is_joined(run_play(Play(disrupt, resume_headers)))


async def run_for_long(fleet):
    """Run for longer than callers may resume their streams."""
    await asyncio.sleep(2.2 * DEADLINE_MS / 1000)


@CALLERS
@pytest.mark.parametrize(
    "change",
    [
        replace_version,
        replace_version_unseen,
        garble_and_replace_version,
        upgrade_in_place,
        partial(upgrade_in_place, is_new_start=False),
    ],
    ids=["replaced", "replaced unseen", "garbled", "in place", "in place, same start"],
)
def test_a_host_that_has_lived_on_remembers_the_version_that_has_left(change, resume_headers):
    """Guards against hosts that forgot a version at once if its replicas left in another way."""
    play = Play(
        lambda fleet: kill_and_restart_others(fleet, change), resume_headers, prepare=run_for_long
    )
    play.fleet = {"domains": MORE_DOMAINS}
    check_nothing_is_joined(run_play(play))


@CALLERS
def test_streams_are_not_joined_while_two_versions_serve(resume_headers):
    play = Play(lambda fleet: kill_and_restart_all(fleet, nothing), resume_headers)
    play.fleet = TWO_VERSIONS
    check_nothing_is_joined(run_play(play))


@CALLERS
@pytest.mark.parametrize(
    "disrupt",
    [return_in_turn, kill_halves_in_turn, kill_others_then_the_rest, return_before_the_store],
)
@pytest.mark.parametrize(
    ("versions", "change"),
    [(("v1",), replace_version), (("v1", "v2"), nothing)],
    ids=["one leaves", "two stay"],
)
def test_streams_are_not_joined_however_hosts_are_killed_and_return(
    versions, change, disrupt, resume_headers
):
    """Callers resume at hosts that have lived on, that come back, and that know no catalog yet."""
    play = Play(lambda fleet: disrupt(fleet, change), resume_headers)
    play.fleet = {"versions": versions}
    check_nothing_is_joined(run_play(play))


@CALLERS
def test_streams_are_not_joined_if_hosts_are_killed_right_after_their_first_events(resume_headers):
    play = Play(lambda fleet: kill_and_restart_all(fleet, replace_version), resume_headers)
    play.until_disruption_s = 0.5
    check_nothing_is_joined(run_play(play))


@CALLERS
@pytest.mark.parametrize(
    "disrupt", [kill_and_restart_all, kill_and_restart_others], ids=["all", "all but one"]
)
def test_streams_that_began_at_hosts_of_an_older_build_are_not_joined(disrupt, resume_headers):
    """Nobody keeps their origins; they are resumed at hosts of this build."""
    older = range(3, 9)

    async def prepare(fleet):
        for number in older:
            await fleet.crash_node(number)
            start_older_node(fleet, number)
        await run_for_long(fleet)

    play = Play(lambda fleet: disrupt(fleet, replace_version), resume_headers, prepare=prepare)
    play.begin_nodes, play.resume_nodes = tuple(older), (0, 1, 2)
    play.fleet = {"domains": MORE_DOMAINS}
    check_nothing_is_joined(run_play(play))


@CALLERS
def test_a_host_that_is_cut_off_does_not_join_streams_of_a_version_that_it_does_not_know(
    resume_headers,
):
    """Guards against callers that name no attempt, for which a host asked no other one."""
    others = range(1, 6)

    async def prepare(fleet):
        await run_for_long(fleet)
        fleet.store.silent_hosts.add("n0")
        # A watch of the store that was pending then may still be answered.
        await asyncio.sleep(5.0)
        fleet.cut_links([0], others)
        old = fleet.models
        fleet.models = [
            await fleet.add_replica(f"y{n}", "model", "b", True, "v2") for n in range(6)
        ]
        for each in old:
            await each.write_record("draining")

    play = Play(break_streams_off, resume_headers, prepare=prepare, until_disruption_s=0.0)
    play.begin_nodes, play.resume_nodes = tuple(others), (0,)
    outcome = run_play(play)
    check_nothing_is_joined(outcome)
    assert sum("v2" in each.versions for each in outcome.streams) >= MIN_RESUMED


LAST_EVENT_IDS = {
    "zero": "0",
    "beyond the end": "99",
    "below zero": "-1",
    "no number": "abc",
    "a fraction": "1.5",
    "several": "5,6",
    "beyond 64 bits": str(2**64),
    "4,000 digits": "9" * 4_000,
    "more digits than numbers have": "9" * 5_000,
}


@pytest.mark.parametrize("name", LAST_EVENT_IDS)
@pytest.mark.parametrize("is_known", [True, False], ids=["known origin", "unknown origin"])
def test_streams_are_not_joined_whatever_event_a_caller_has_last(is_known, name):
    """Their callers may get events again that they have, or none, but of one version."""

    def headers(_, began_as):
        return (("Last-Event-Id", LAST_EVENT_IDS[name]), ("Resumes", began_as))

    play = Play(lambda fleet: kill_and_restart_all(fleet, replace_version), headers)
    if is_known:
        play.disrupt, play.until_disruption_s = break_streams_off, 0.0
        play.fleet = TWO_VERSIONS
    check_nothing_is_joined(run_play(play))


async def long_after_a_kill(fleet):
    """The hosts have run for longer than the caller of a stream may resume it."""
    await kill_and_restart_all(fleet, nothing)
    await asyncio.sleep(2.2 * DEADLINE_MS / 1000)


@pytest.mark.parametrize(
    "prepare", [nothing, long_after_a_kill], ids=["first start", "long after a kill"]
)
def test_streams_of_the_only_version_go_on_for_callers_that_name_no_attempt(prepare):
    """Guards against refusals from the first start of a fleet on, and for ever after a kill."""
    play = Play(break_streams_off, unnamed, prepare=prepare, until_disruption_s=0.0)
    outcome = run_play(play)
    check_nothing_is_joined(outcome)
    assert outcome.went_on >= 0.9 * outcome.resumed, outcome


@CALLERS
@pytest.mark.parametrize("is_new_start", [True, False])
@pytest.mark.parametrize(("until_disruption_s", "late_s"), [(UNTIL_KILL_S, 0.0), (0.5, 0.2)])
def test_streams_in_progress_are_not_joined_when_replicas_restart_as_another_version(
    until_disruption_s, is_new_start, late_s, resume_headers
):
    """Guards against the next send of a stream to a replica that was another version by then.

    The records tell it as soon as the replicas serve, or shortly before their first events.
    """
    change = partial(upgrade_in_place, is_new_start=is_new_start, down_s=0.0, late_s=late_s)
    play = Play(change, resume_headers, until_disruption_s=until_disruption_s)
    check_nothing_is_joined(run_play(play))


@CALLERS
@pytest.mark.parametrize("is_new_start", [True, False])
@pytest.mark.parametrize("versions", [("v1",), ("v1", "v2")], ids=["one", "two"])
def test_streams_in_progress_are_not_joined_when_replicas_change_version_in_turn(
    versions, is_new_start, resume_headers
):
    play = Play(partial(upgrade_in_turn, is_new_start=is_new_start), resume_headers)
    play.fleet = {"versions": versions}
    assert not run_play(play).joined


MODEL, OTHER = ("model", 1), (OTHER_SERVICE, 1)


def first_routes(*targets, more_routes=()):
    """Return how a play begins: with another service, and with these targets and routes."""

    async def prepare(fleet):
        await add_other_service(fleet)
        configure(fleet, 2, *targets, more_routes=more_routes)
        await run_for_long(fleet)

    return prepare


# The targets of the streams' route and further routes, before and after a change.
MOVES = {
    "moved": (((MODEL,), ()), ((OTHER,), ())),
    "other weights": (((MODEL, OTHER), ()), ((("model", 1), (OTHER_SERVICE, 9)), ())),
    "longer prefix added": (((MODEL,), ()), ((MODEL,), (other_route("/explain/1"),))),
    "longer prefix removed": (((MODEL,), (other_route("/explain/1"),)), ((MODEL,), ())),
}


@CALLERS
@pytest.mark.parametrize("name", MOVES)
@pytest.mark.parametrize("kill", [True, False], ids=["all but one killed", "none killed"])
def test_streams_do_not_go_on_at_another_service_after_their_route_has_changed(
    name, kill, resume_headers
):
    """Guards against the new service's only version for streams that the old service began."""
    (targets, routes), (new_targets, new_routes) = MOVES[name]

    async def change(fleet):
        configure(fleet, 3, *new_targets, more_routes=new_routes)

    async def disrupt(fleet):
        if kill:
            await kill_and_restart_others(fleet, change)
            return
        await change(fleet)
        await break_streams_off(fleet)

    prepare = first_routes(*targets, more_routes=routes)
    play = Play(disrupt, resume_headers, prepare=prepare, until_disruption_s=0.9)
    play.fleet = {"domains": MORE_DOMAINS}
    check_nothing_is_joined(run_play(play))


def test_streams_of_a_split_route_are_not_joined_if_their_callers_name_no_attempt():
    """Each attempt has an id of its own, by which its service is picked."""
    prepare = first_routes(MODEL, OTHER)
    play = Play(break_streams_off, unnamed, prepare=prepare, until_disruption_s=0.0)
    check_nothing_is_joined(run_play(play))


def test_streams_of_a_split_route_go_on_if_their_callers_name_the_first_attempt():
    prepare = first_routes(MODEL, OTHER)
    play = Play(break_streams_off, prepare=prepare, until_disruption_s=0.0)
    outcome = run_play(play)
    check_nothing_is_joined(outcome)
    assert outcome.went_on >= 0.9 * outcome.resumed, outcome
