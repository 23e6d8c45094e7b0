"""
tests.test_crashing_requests

Guards against a request that crashes every replica that runs it. It came again at other hosts with
the same path, caller and body, and crashed nine replicas of a pool of six, with all requests that
ran there. Each host sent it on like any other request, since nothing identified a request beyond
one attempt, and no node compared which requests ran on several crashed replicas.
"""

import asyncio

from chalkyoke.quarantine.identity import request_digest
from chalkyoke.quarantine.messages import ReplicaEnded, SuspectRun
from chalkyoke_fakes.platformfleet import HOST, TEAM

from tests.gatewayfleet import run_check

CRASHING_BODY = b"a body that ends who runs it"
# Limits that operators set: the seconds within which connected hosts learn of a crashing request,
# and the number of times that it may reach replicas after that.
SPREAD_S = 3.0
MAX_LATE_ARRIVALS = 3
# Seconds between repetitions of the request; in production 0.3 to 4 s.
REPEAT_INTERVAL_S = 0.3
DURATION_S = 12.0


def crash_on_body(replicas, body, **faults):
    for replica in replicas:
        replica.faults.crash_bodies = replica.faults.crash_bodies | {body}
        for name, value in faults.items():
            setattr(replica.faults, name, value)


def arrival_times(replicas, body):
    return sorted(seen.at for replica in replicas for seen in replica.seen if seen.body == body)


def end_times(replicas):
    return sorted(at for replica in replicas for at in replica.exit_times)


def late_arrival_times(replicas, body):
    """List when a request reached replicas after the time within which hosts learn of it."""
    third = end_times(replicas)[2]
    return [at for at in arrival_times(replicas, body) if at > third + SPREAD_S]


async def send_repeatedly(fleet, path, body, seconds=DURATION_S, interval_s=REPEAT_INTERVAL_S):
    """Send a request repeatedly, to each node in turn, and return the answers."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    asked = []
    turn = 0
    while loop.time() < until:
        node = turn % len(fleet.nodes)
        asked.append(asyncio.ensure_future(fleet.send_request(node, path, body)))
        turn += 1
        await asyncio.sleep(interval_s)
    return await asyncio.gather(*asked)


def count_late_arrivals(path):
    """Count the arrivals of a crashing request on a path after hosts should have learned of it."""
    late_arrivals = []

    async def check(fleet):
        replicas = fleet.seats if path in ("/find/1", "/book/1") else fleet.models
        crash_on_body(replicas, CRASHING_BODY)
        await send_repeatedly(fleet, path, CRASHING_BODY)
        late_arrivals.extend(late_arrival_times(replicas, CRASHING_BODY))

    run_check(check)
    return len(late_arrivals)


def test_a_request_that_crashes_replicas_is_held_back_by_all_hosts():
    late_arrivals = {
        path: count_late_arrivals(path) for path in ("/chat/1", "/explain/1", "/find/1", "/book/1")
    }
    assert all(count <= MAX_LATE_ARRIVALS for count in late_arrivals.values()), late_arrivals


# Guards against crashes that count once because the restarted replica keeps its id.
def test_crashes_of_a_replica_that_restarts_under_its_id_count_separately():
    async def check(fleet):
        # Only one replica is left, so that all crashes have the same replica id.
        for replica in fleet.models[1:]:
            await replica.crash()
            fleet.store.remove(f"servers/{replica.id}")
        crash_on_body(fleet.models[:1], CRASHING_BODY, renamed=False, back_after_s=0.7)
        await send_repeatedly(fleet, "/chat/1", CRASHING_BODY, interval_s=1.0)
        assert len(end_times(fleet.models)) == 3
        assert len(late_arrival_times(fleet.models, CRASHING_BODY)) == 0

    run_check(check, replicas=3)


# Guards against callers that are invited to send a held-back request again.
def test_a_held_back_request_is_refused_at_once_without_retry_after():
    async def check(fleet):
        crash_on_body(fleet.models, CRASHING_BODY)
        await send_repeatedly(fleet, "/chat/1", CRASHING_BODY, seconds=2.0)
        before = len(arrival_times(fleet.models, CRASHING_BODY))
        got = await fleet.send_request(0, "/chat/1", CRASHING_BODY)
        assert (got.status, "retry-after" in got.headers) == (502, False)
        assert len(arrival_times(fleet.models, CRASHING_BODY)) == before
        # A request of the same caller on another path is a different request.
        assert (await fleet.send_request(0, "/explain/1", b"{}")).whole

    run_check(check)


# Guards against attempts that waited before the quarantine decided and reach a replica after it.
def test_waiting_attempts_are_refused_once_their_request_is_held_back():
    async def check(fleet):
        loop = asyncio.get_running_loop()
        for replica in fleet.models:
            replica.faults.event_s = 0.5
        # All slots are occupied for 4 s, so that new requests wait.
        busy = [
            asyncio.ensure_future(fleet.send_request(each % 6, "/chat/1", b"long"))
            for each in range(24)
        ]
        await asyncio.sleep(0.2)
        waiting = asyncio.ensure_future(fleet.send_request(0, "/explain/1", CRASHING_BODY))
        await asyncio.sleep(0.1)
        name = request_digest(b"POST", HOST, b"/explain/1", TEAM, CRASHING_BODY)
        began = loop.time()
        ended = [ReplicaEnded(f"m{each}/9", (SuspectRun(name, 1.0, 0.0),)) for each in range(3)]
        for message in ended:
            fleet.nodes[0].quarantine.receive("10.1.0.2:82", message)
        got = await waiting
        assert (got.status, loop.time() - began < 1.1) == (502, True)
        assert arrival_times(fleet.models, CRASHING_BODY) == []
        assert all(each.whole for each in await asyncio.gather(*busy))

    run_check(check)


# Guards against a popular request that is blamed because it runs on most crashing replicas.
def test_a_popular_request_is_served_while_another_one_crashes_replicas():
    popular = b"what many ask"
    served = []

    async def check(fleet):
        crash_on_body(fleet.seats, CRASHING_BODY)
        for replica in fleet.seats:
            replica.faults.work_s = 0.04
        crashing = asyncio.ensure_future(
            send_repeatedly(fleet, "/find/1", CRASHING_BODY, seconds=6.0)
        )
        got = await send_repeatedly(fleet, "/find/1", popular, seconds=6.0, interval_s=0.02)
        await crashing
        assert len(end_times(fleet.seats)) >= 3
        served.extend(each.status for each in got)

    run_check(check)
    # Each request that breaks off with a replica is sent again to another one.
    assert served.count(200) == len(served) == 300


# Guards against a node that restarts without the evidence of its peers.
def test_a_restarted_node_learns_which_requests_are_held_back():
    async def check(fleet):
        crash_on_body(fleet.models, CRASHING_BODY)
        await send_repeatedly(fleet, "/chat/1", CRASHING_BODY, seconds=2.0)
        await fleet.kill_node(2)
        await asyncio.sleep(1.0)
        fleet.start_node(2, first_start=False)
        await asyncio.sleep(SPREAD_S)
        before = len(arrival_times(fleet.models, CRASHING_BODY))
        got = await fleet.send_request(2, "/chat/1", CRASHING_BODY)
        assert got.status == 502
        assert len(arrival_times(fleet.models, CRASHING_BODY)) == before

    run_check(check)


# Guards against evidence that exists only in the memory of the nodes.
def test_held_back_requests_survive_the_loss_of_all_nodes():
    async def check(fleet):
        crash_on_body(fleet.models, CRASHING_BODY)
        await send_repeatedly(fleet, "/chat/1", CRASHING_BODY, seconds=2.0)
        for node in range(len(fleet.nodes)):
            await fleet.kill_node(node)
        await asyncio.sleep(1.0)
        for node in range(len(fleet.nodes)):
            fleet.start_node(node, first_start=False)
        await asyncio.sleep(SPREAD_S)
        before = len(arrival_times(fleet.models, CRASHING_BODY))
        got = await send_repeatedly(fleet, "/chat/1", CRASHING_BODY, seconds=3.0)
        assert {each.status for each in got} == {502}
        assert len(arrival_times(fleet.models, CRASHING_BODY)) == before

    run_check(check)


# Guards against requests that are blamed for running on replicas that crash for other reasons.
def test_replicas_that_crash_on_their_own_hold_no_request_back():
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
            asked.append(asyncio.ensure_future(fleet.send_request(number % 6, "/explain/1", body)))
            await asyncio.sleep(0.03)
        await asyncio.gather(*asked)
        await ending
        assert len(end_times(fleet.models)) >= 20
        assert [len(node.quarantine._evidence.held) for node in fleet.nodes] == [0] * 6

    run_check(check)


# Guards against a broken answer that counts as a crash although the replica still runs.
def test_broken_answers_of_live_replicas_are_no_evidence():
    async def check(fleet):
        for replica in fleet.models:
            replica.faults.break_streams = 1000
        await send_repeatedly(fleet, "/explain/1", b"{}", seconds=6.0)
        assert [len(node.quarantine._evidence) for node in fleet.nodes] == [0] * 6

    run_check(check)


# Guards against a node that waits on the open but silent connection to a replica's former start.
def test_a_run_moves_off_a_restarted_replica_although_its_connection_stays_open():
    async def check(fleet):
        loop = asyncio.get_running_loop()
        for replica in fleet.models:
            replica.faults.event_s = 0.2
        asked = asyncio.ensure_future(fleet.send_request(0, "/explain/1"))
        await asyncio.sleep(0.5)
        runs = next(each for each in fleet.models if each.seen)
        for writer in runs._writers:
            writer.transport.is_silent = writer.transport.peer.is_silent = True
        began = loop.time()
        runs.born += 1000
        await runs.write_record("ready")
        got = await asked
        assert got.status == 200
        # The replica sends 8 events in 1.6 s. Without the record of its restart, the node would
        # wait on the silent connection in vain.
        assert loop.time() - began < 3.0

    run_check(check)


def test_an_operator_releases_a_request_at_all_nodes():
    async def check(fleet):
        crash_on_body(fleet.models, CRASHING_BODY)
        await send_repeatedly(fleet, "/chat/1", CRASHING_BODY, seconds=2.0)
        for replica in fleet.models:
            replica.faults.crash_bodies = frozenset()
        records = [each for each in fleet.store.items if each.startswith("chalkyoke/held/")]
        assert len(records) == 1
        fleet.store.put(records[0], b"released")
        await asyncio.sleep(SPREAD_S)
        assert [
            (await fleet.send_request(node, "/chat/1", CRASHING_BODY)).status for node in range(6)
        ] == [200] * 6

    run_check(check)
