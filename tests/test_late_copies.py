"""
tests.test_late_copies

Upstreams and stores that send whole answers of every kind once more, late: each caller gets its own
answer, and each request runs at most once or as often as its route allows.
"""

import asyncio
import json
import tempfile
from pathlib import Path

import aiohttp
import pytest
from chalkyoke_fakes.caller import Caller, ReplyOutcome
from chalkyoke_fakes.fleet import LocalFleet
from chalkyoke_fakes.latecopies import LateCopies
from chalkyoke_fakes.replica import read_events

from tests.gatewayfleet import run_check
from tests.test_processes import KEY, PLATFORM, RESOURCES, completion_body, received_counts

COPIED_SHARE = 0.5
# Rounds of requests, and the pause between two of them, in seconds: about that between an answer
# and its copy.
ROUNDS = 12
PAUSE_S = 0.05
EVENTS = 8
# Each replica rejects this many requests less one at most, at the start of a round.
SHED_ROUNDS = 6


async def ask_in_rounds(ask_all):
    """Send rounds of requests, which reuse the connections of the ones before where they may."""
    got = []
    for number in range(ROUNDS):
        got += await asyncio.gather(*ask_all(number))
        await asyncio.sleep(PAUSE_S)
    return got


# Guards against refusals and answers of other requests in the completions front, and against
# configurations that a store has not accepted.
def test_completions_and_calls_get_their_own_answers_beside_late_copies():
    async def main():
        with tempfile.TemporaryDirectory(prefix="chalkyoke-test-") as folder:
            fleet = LocalFleet(Path(folder), PLATFORM, RESOURCES, COPIED_SHARE)
            async with fleet, aiohttp.ClientSession() as session:
                await check_own_answers(fleet, Caller(session, KEY))

    asyncio.run(main())


async def check_own_answers(fleet, caller):
    nodes = [each.address for each in fleet.nodes.values()]

    def ask_all(_):
        for node in nodes:
            yield caller.complete(node, completion_body(3))
            yield caller.call(node, "seats", b"{}")

    got = await ask_in_rounds(ask_all)
    assert {each.outcome for each in got} == {ReplyOutcome.WHOLE}
    runs = await received_counts(fleet)
    answered = [find_request(each) for each in got]
    assert sorted(answered) == sorted(runs)
    assert set(runs.values()) == {1}
    assert sum(relay.late_copies.drawn for relay in fleet.relays) > ROUNDS
    assert fleet.relays[-2].late_copies.drawn > 0, "no answer of the store was drawn"
    heavier = {"team": [{**RESOURCES["team"][0], "weight": 3}]}
    assert (await fleet.apply_configuration(heavier, "n1", "one", 1))[1]["revision"] == 2
    assert (await fleet.apply_configuration(RESOURCES, "n2", "two", 1))[0] == 409


def find_request(reply):
    """Return the id that an answer of an upstream names; all events of a stream name the same."""
    if reply.headers["Content-Type"].startswith("application/json"):
        return reply.json()["request"]
    events = [each.removeprefix(b"data: ") for each in reply.body.split(b"\n\n")]
    (name,) = {json.loads(each)["id"] for each in events if each not in (b"", b"[DONE]")}
    return name


# Guards against answers and refusals of other sends, whatever kind of answer comes once more.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("path", ["/book/1", "/find/1", "/chat/1", "/explain/1"])
def test_requests_get_their_own_answers_beside_late_copies(path, seed):
    async def check(fleet):
        replicas = [*fleet.models, *fleet.seats]
        for number, replica in enumerate(replicas):
            replica.late_copies = LateCopies(100 * seed + number, COPIED_SHARE)
            replica.faults.queue = 0 if not replica.engine else -1
            replica.faults.work_s = 0.04
            replica.faults.fail_each = 5

        def ask_all(number):
            # Requests that all replicas have rejected are sent to one of them once more.
            for replica in replicas:
                replica.faults.shed = number % SHED_ROUNDS
            return [fleet.send_request(node, path) for node in range(3) for _ in range(4)]

        got = await ask_in_rounds(ask_all)
        assert sum(replica.late_copies.drawn for replica in replicas) > ROUNDS
        assert sum(len(replica.rejected) for replica in replicas) > ROUNDS
        for each in got:
            check_answer(each, sum(replica.runs[each.request] for replica in replicas), path)

    run_check(check, seed=seed, domains=("a", "b", "c"), replicas=3)


def check_answer(got, runs, path):
    assert runs <= (1 if path in ("/book/1", "/chat/1") else 2)
    if got.status == 503:
        assert runs == 0
    if got.status != 200:
        return
    assert got.whole and runs
    if path in ("/book/1", "/find/1"):
        assert got.body.endswith(f" did {got.request}".encode())
    else:
        assert [number for number, _ in read_events(got.body)] == list(range(EVENTS))
