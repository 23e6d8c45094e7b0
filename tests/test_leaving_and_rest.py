"""
tests.test_leaving_and_rest

Guards against two failures. Requests reached a replica more than two seconds after the same host
had forwarded an answer in which the replica announced that it leaves; and a replica that had
declined a request and requested a rest time got three to eight more requests from the same host in
that time.

With the store silent, no record said that the replica leaves, and answers were still sent to it for
12 s, since no code read what an answer says about its replica. A declining replica was free again a
millisecond later and drew three in four requests of its pool, since the pool's scheduler did not
learn of the decline.
"""

import asyncio
import random
from collections import defaultdict

from chalkyoke.node.gateway import TICK_S
from chalkyoke_fakes.soak.checkers import LEAVING_GRACE_S
from chalkyoke_fakes.soak.play import GOAL_S

from tests.gatewayfleet import run_check
from tests.rests import MAX_REQUESTS_IN_RETRY_AFTER, max_requests_in_rest

PATHS = ("/chat/1", "/explain/1", "/find/1", "/book/1")
CALLER_COUNT = 12
DURATION_S = 6.0
# Mean pause of a caller between an answer and its next request, in seconds.
MEAN_PAUSE_S = 0.03
# Seconds before replicas change, in which the scheduler gets to know all of them.
WARM_UP_S = 3.0
REST_S = 3.0


def replicas_of_path(fleet, path):
    return fleet.models if path in ("/chat/1", "/explain/1") else fleet.seats


async def run_callers(fleet, path, seconds=DURATION_S, nodes=()):
    """Run callers for some seconds and return all their answers.

    :param nodes: indices of the nodes that receive the requests; empty for all.
    """
    nodes = nodes or range(len(fleet.nodes))
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    got = []
    rng = random.Random(40)

    async def send_requests(caller):
        turn = caller
        await asyncio.sleep(MEAN_PAUSE_S * 2 * rng.random())
        while loop.time() < until:
            got.append(await fleet.send_request(nodes[turn % len(nodes)], path, until_whole=True))
            turn += 1
            await asyncio.sleep(MEAN_PAUSE_S * 2 * rng.random())

    await asyncio.gather(*(send_requests(caller) for caller in range(CALLER_COUNT)))
    return got


def sends_after_leaving_answer(got, replicas):
    """List the requests that a node sent to a replica too long after it knew of its leaving.

    A node knows when it has forwarded an answer that announces the leaving.

    :return: for each request, the seconds since the node knew.
    """
    first_leaving_answer = {}
    for each in sorted(got, key=lambda each: each.asked_at + each.took_s):
        if "server-leaving" in each.headers:
            replica = each.headers["x-server-stamp"].partition(".")[0]
            first_leaving_answer.setdefault((each.node, replica), each.asked_at + each.took_s)
    asked = {each.request: each for each in got}
    late = []
    for replica in replicas:
        for seen in replica.seen:
            sent = asked[seen.headers["x-request-id"]]
            since = first_leaving_answer.get((sent.node, replica.id))
            if since is not None and sent.asked_at > since + LEAVING_GRACE_S:
                late.append(seen.at - since)
    return late


def max_requests_during_rest(got, replicas, rest_s=REST_S):
    """Return the largest number of requests that a node sent to a replica in one rest time."""
    asked = {each.request: each for each in got}
    turned_away = defaultdict(list)
    for replica in replicas:
        for seen in replica.rejected:
            node = asked[seen.headers["x-request-id"]].node
            turned_away[replica.id, node].append(seen.at)
    return max_requests_in_rest(turned_away, rest_s)


# Guards against nodes that forward the announcement in an answer without applying it.
def test_no_requests_reach_a_replica_whose_answers_announce_leaving():
    late, served = {}, {}

    def check_of(path):
        async def check(fleet):
            replicas = replicas_of_path(fleet, path)
            for replica in replicas[:2]:
                replica.faults.says_leaving = True
            got = await run_callers(fleet, path)
            late[path] = len(sends_after_leaving_answer(got, replicas))
            served[path] = sum(each.whole and each.status == 200 for each in got) / len(got)

        return check

    for path in PATHS:
        run_check(check_of(path))
    assert late == dict.fromkeys(PATHS, 0), late
    assert all(share > 0.99 for share in served.values()), served


# Guards against a declining replica that is always free and so attracts the requests of its pool.
def test_requests_pause_for_the_rest_time_that_a_replica_asks_for():
    most = {}

    def check_of(path):
        async def check(fleet):
            replicas = replicas_of_path(fleet, path)
            got = await run_callers(fleet, path, WARM_UP_S)
            for replica in replicas[:2]:
                replica.faults.shed = 1_000_000
                replica.faults.rest_s = REST_S
            got += await run_callers(fleet, path)
            most[path] = max_requests_during_rest(got, replicas)

        return check

    for path in PATHS:
        run_check(check_of(path))
    assert all(count <= MAX_REQUESTS_IN_RETRY_AFTER for count in most.values()), most


def decline_all(replicas, rest_s=0.0):
    for replica in replicas:
        replica.faults.shed = 1_000_000
        replica.faults.rest_s = rest_s


def served_share(got):
    return sum(each.whole and each.status == 200 for each in got) / len(got)


# Guards against callers that use up their attempts on replicas that decline at once.
def test_callers_are_served_while_two_of_six_replicas_decline_everything():
    served, tried = {}, {}

    def check_of(path, rest_s):
        async def check(fleet):
            replicas = replicas_of_path(fleet, path)
            await run_callers(fleet, path, WARM_UP_S)
            decline_all(replicas[:2], rest_s)
            began = asyncio.get_running_loop().time()
            got = await run_callers(fleet, path)
            served[path, rest_s] = served_share(got)
            # The first second detects the declines; then one request per second probes a replica.
            later = [seen for each in replicas for seen in each.rejected if seen.at > began + 1]
            tried[path, rest_s] = len(later)

        return check

    for rest_s in (0.0, REST_S):
        run_check(check_of("/chat/1", rest_s))
    assert all(share >= 0.99 for share in served.values()), served
    assert all(count <= 2 * (DURATION_S - 1) + 2 for count in tried.values()), tried


# Guards against callers that wait for replicas which are known to be resting.
def test_callers_are_refused_promptly_while_all_replicas_rest():
    async def check_path(fleet, path):
        replicas = replicas_of_path(fleet, path)
        got = await run_callers(fleet, path, WARM_UP_S)
        decline_all(replicas, REST_S)
        refused = await run_callers(fleet, path, 2 * REST_S)
        assert max_requests_during_rest([*got, *refused], replicas) <= MAX_REQUESTS_IN_RETRY_AFTER
        assert {each.status for each in refused} == {503}
        # A refusal comes at once, or after the goal where a replica's rest would have ended before
        # it. That takes up to three ticks of the scheduler: one that detects the missed goal, one
        # that lets another request probe, and one that ends the wait.
        assert max(each.took_s for each in refused) <= GOAL_S + 3 * TICK_S
        retry_after_s = [float(each.headers["retry-after"]) for each in refused]
        assert 0 < min(retry_after_s) <= max(retry_after_s) <= REST_S + 0.5
        for replica in replicas:
            replica.faults.shed = 0
        await asyncio.sleep(REST_S)
        assert served_share(await run_callers(fleet, path, 1.0)) == 1.0

    for path in PATHS:
        run_check(lambda fleet, path=path: check_path(fleet, path))


# Guards against a record that contradicts the announcement and makes the replica usable again.
def test_only_a_restart_clears_the_leaving_state_of_a_replica():
    async def check(fleet):
        replica = fleet.models[0]
        for each in fleet.models[1:]:
            await each.crash()
            fleet.store.remove(f"servers/{each.id}")
        replica.faults.says_leaving = True
        await asyncio.sleep(0.5)
        assert (await fleet.send_request(0, "/chat/1", until_whole=True)).status == 200
        # All nodes know of the leaving, and a record that contradicts it changes nothing.
        replica.faults.says_leaving = False
        replica.slots += 1
        await replica.write_record("ready")
        await asyncio.sleep(0.5)
        answers = [await fleet.send_request(node, "/chat/1", until_whole=True) for node in range(6)]
        assert [each.status for each in answers] == [503] * 6
        replica.born += 1000
        await replica.write_record("ready")
        await asyncio.sleep(0.5)
        answers = [await fleet.send_request(node, "/chat/1", until_whole=True) for node in range(6)]
        assert [each.status for each in answers] == [200] * 6

    run_check(check)


# Guards against a node that restarts without the announcements that it had forwarded before.
def test_a_restarted_node_learns_which_replicas_are_leaving():
    async def check(fleet):
        replica = fleet.seats[0]
        replica.faults.says_leaving = True
        await run_callers(fleet, "/find/1", 1.0)
        await fleet.kill_node(2)
        await asyncio.sleep(1.0)
        fleet.start_node(2, first_start=False)
        await asyncio.sleep(3.0)
        before = len(replica.seen)
        for _ in range(30):
            await fleet.send_request(2, "/find/1", until_whole=True)
        assert len(replica.seen) == before

    run_check(check)


# Guards against an announcement that a node assigns by address instead of by replica id.
def test_answers_of_another_replica_at_the_address_do_not_mark_this_one_as_leaving():
    async def check(fleet):
        # The replica is gone, and its address belongs to another one that is leaving.
        for replica in fleet.seats:
            replica.id = f"another-{replica.id}"
            replica.faults.says_leaving = True
        got = await fleet.send_request(0, "/find/1", until_whole=True)
        assert got.status == 503
        state = fleet.nodes[0].catalog.state
        assert not any(each.draining for each in state.replicas.values())

    run_check(check)
