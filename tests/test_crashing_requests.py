"""
tests.test_crashing_requests

What was seen: a request that ends each replica that runs it came again at other hosts, with the
same path, caller and body, and nine replicas of a pool of six ended under it; with each, all that
ran beside. How it came about: each host sent it on as any other request. Cause: nothing named a
request beyond one attempt, and what ran under the ends of several replicas was compared nowhere.
Shown by the logs of all hosts side by side, and by this fleet of whole nodes in virtual time.
"""

import asyncio

from chalkyoke.quarantine.identity import request_digest
from chalkyoke.quarantine.messages import ReplicaEnded, SuspectRun
from chalkyoke_fakes.platformfleet import HOST, TEAM

from tests.gatewayfleet import play

CRASHING = b"a body that ends who runs it"
# How long hosts in touch may take to know, in seconds, and how often the request may reach replicas
# after that: what operators allow.
KNOWN_S = 3.0
MOST_LATER = 3
# As seen: it comes again each 0.3 to 4 s.
AGAIN_S = 0.3
PLAYED_S = 12.0


def crash_by(replicas, body, **more):
    for replica in replicas:
        replica.faults.crash_bodies = replica.faults.crash_bodies | {body}
        for name, value in more.items():
            setattr(replica.faults, name, value)


def arrivals(replicas, body):
    return sorted(seen.at for replica in replicas for seen in replica.seen if seen.body == body)


def ends(replicas):
    return sorted(at for replica in replicas for at in replica.exit_times)


def later_arrivals(replicas, body):
    """List when a request has reached replicas later than operators allow without a count."""
    third = ends(replicas)[2]
    return [at for at in arrivals(replicas, body) if at > third + KNOWN_S]


async def keep_asking(fleet, path, body, seconds=PLAYED_S, again_s=AGAIN_S):
    """Send a request again and again at all nodes in turn; give the answers."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    asked = []
    turn = 0
    while loop.time() < until:
        node = turn % len(fleet.nodes)
        asked.append(asyncio.ensure_future(fleet.ask(node, path, body)))
        turn += 1
        await asyncio.sleep(again_s)
    return await asyncio.gather(*asked)


def later_of(path):
    """Play a route; give how often the request has reached replicas too late to go uncounted."""
    later = []

    async def check(fleet):
        replicas = fleet.seats if path in ("/find/1", "/book/1") else fleet.models
        crash_by(replicas, CRASHING)
        await keep_asking(fleet, path, CRASHING)
        later.extend(later_arrivals(replicas, CRASHING))

    play(check)
    return len(later)


def test_a_request_that_ends_replicas_is_held_back_by_all_hosts():
    later = {path: later_of(path) for path in ("/chat/1", "/explain/1", "/find/1", "/book/1")}
    assert all(count <= MOST_LATER for count in later.values()), later


def test_a_replica_that_is_back_under_its_id_is_another_replica():
    async def check(fleet):
        # One replica only, so that all ends are of one id.
        for replica in fleet.models[1:]:
            await replica.crash()
            fleet.store.remove(f"servers/{replica.id}")
        crash_by(fleet.models[:1], CRASHING, renamed=False, back_after_s=0.7)
        await keep_asking(fleet, "/chat/1", CRASHING, again_s=1.0)
        assert len(ends(fleet.models)) == 3
        assert len(later_arrivals(fleet.models, CRASHING)) == 0

    play(check, replicas=3)


def test_a_held_request_is_answered_at_once_and_no_time_to_come_back_is_named():
    async def check(fleet):
        crash_by(fleet.models, CRASHING)
        await keep_asking(fleet, "/chat/1", CRASHING, seconds=2.0)
        before = len(arrivals(fleet.models, CRASHING))
        got = await fleet.ask(0, "/chat/1", CRASHING)
        assert (got.status, "retry-after" in got.headers) == (502, False)
        assert len(arrivals(fleet.models, CRASHING)) == before
        # The same body of the same caller on another path is another request.
        assert (await fleet.ask(0, "/explain/1", b"{}")).whole

    play(check)


def test_what_waits_of_a_request_is_answered_as_soon_as_it_is_held_back():
    async def check(fleet):
        loop = asyncio.get_running_loop()
        for replica in fleet.models:
            replica.faults.event_s = 0.5
        # All slots are taken for 4 s, so that what comes now waits.
        busy = [
            asyncio.ensure_future(fleet.ask(each % 6, "/chat/1", b"long")) for each in range(24)
        ]
        await asyncio.sleep(0.2)
        waiting = asyncio.ensure_future(fleet.ask(0, "/explain/1", CRASHING))
        await asyncio.sleep(0.1)
        name = request_digest(b"POST", HOST, b"/explain/1", TEAM, CRASHING)
        began = loop.time()
        ended = [ReplicaEnded(f"m{each}/9", (SuspectRun(name, 1.0, 0.0),)) for each in range(3)]
        for message in ended:
            fleet.nodes[0].quarantine.receive("10.1.0.2:82", message)
        got = await waiting
        assert (got.status, loop.time() - began < 1.1) == (502, True)
        assert arrivals(fleet.models, CRASHING) == []
        assert all(each.whole for each in await asyncio.gather(*busy))

    play(check)


def test_a_popular_request_beside_crashes_is_served():
    popular = b"what many ask"
    served = []

    async def check(fleet):
        crash_by(fleet.seats, CRASHING)
        for replica in fleet.seats:
            replica.faults.work_s = 0.04
        crashing = asyncio.ensure_future(keep_asking(fleet, "/find/1", CRASHING, seconds=6.0))
        got = await keep_asking(fleet, "/find/1", popular, seconds=6.0, again_s=0.02)
        await crashing
        assert len(ends(fleet.seats)) >= 3
        served.extend(each.status for each in got)

    play(check)
    # As many are asked again elsewhere as break with a replica.
    assert served.count(200) == len(served) == 300


def test_a_node_that_starts_learns_what_is_held_back():
    async def check(fleet):
        crash_by(fleet.models, CRASHING)
        await keep_asking(fleet, "/chat/1", CRASHING, seconds=2.0)
        await fleet.kill_node(2)
        await asyncio.sleep(1.0)
        fleet.start_node(2, first_start=False)
        await asyncio.sleep(KNOWN_S)
        before = len(arrivals(fleet.models, CRASHING))
        got = await fleet.ask(2, "/chat/1", CRASHING)
        assert got.status == 502
        assert len(arrivals(fleet.models, CRASHING)) == before

    play(check)


def test_what_is_held_back_outlasts_the_loss_of_all_nodes():
    async def check(fleet):
        crash_by(fleet.models, CRASHING)
        await keep_asking(fleet, "/chat/1", CRASHING, seconds=2.0)
        for node in range(len(fleet.nodes)):
            await fleet.kill_node(node)
        await asyncio.sleep(1.0)
        for node in range(len(fleet.nodes)):
            fleet.start_node(node, first_start=False)
        await asyncio.sleep(KNOWN_S)
        before = len(arrivals(fleet.models, CRASHING))
        got = await keep_asking(fleet, "/chat/1", CRASHING, seconds=3.0)
        assert {each.status for each in got} == {502}
        assert len(arrivals(fleet.models, CRASHING)) == before

    play(check)


def test_replicas_that_end_by_themselves_hold_no_request_back():
    async def check(fleet):
        async def end_in_turn():
            for _ in range(4):
                for replica in fleet.models:
                    replica.exit_and_restart()
                    await asyncio.sleep(0.5)

        for replica in fleet.models:
            replica.faults.event_s = 0.1
        ending = asyncio.ensure_future(end_in_turn())
        bodies = [b"%d" % number for number in range(400)]
        asked = []
        for number, body in enumerate(bodies):
            asked.append(asyncio.ensure_future(fleet.ask(number % 6, "/explain/1", body)))
            await asyncio.sleep(0.03)
        await asyncio.gather(*asked)
        await ending
        assert len(ends(fleet.models)) >= 20
        assert [len(node.quarantine._evidence.held) for node in fleet.nodes] == [0] * 6

    play(check)


def test_broken_answers_of_living_replicas_count_nothing():
    async def check(fleet):
        for replica in fleet.models:
            replica.faults.break_streams = 1000
        await keep_asking(fleet, "/explain/1", b"{}", seconds=6.0)
        assert [len(node.quarantine._evidence) for node in fleet.nodes] == [0] * 6

    play(check)


def test_a_run_at_a_start_that_is_over_goes_on_elsewhere_though_its_connection_is_silent():
    async def check(fleet):
        loop = asyncio.get_running_loop()
        for replica in fleet.models:
            replica.faults.event_s = 0.2
        asked = asyncio.ensure_future(fleet.ask(0, "/explain/1"))
        await asyncio.sleep(0.5)
        runs = next(each for each in fleet.models if each.seen)
        for writer in runs._writers:
            writer.transport.is_silent = writer.transport.peer.is_silent = True
        began = loop.time()
        runs.born += 1000
        await runs.write_record("ready")
        got = await asked
        assert got.status == 200
        # The replica makes 8 events in 1.6 s; without the news it would be waited for in vain.
        assert loop.time() - began < 3.0

    play(check)


def test_an_operator_releases_a_request_at_all_nodes():
    async def check(fleet):
        crash_by(fleet.models, CRASHING)
        await keep_asking(fleet, "/chat/1", CRASHING, seconds=2.0)
        for replica in fleet.models:
            replica.faults.crash_bodies = frozenset()
        records = [each for each in fleet.store.items if each.startswith("chalkyoke/held/")]
        assert len(records) == 1
        fleet.store.put(records[0], b"released")
        await asyncio.sleep(KNOWN_S)
        assert [(await fleet.ask(node, "/chat/1", CRASHING)).status for node in range(6)] == [
            200
        ] * 6

    play(check)
