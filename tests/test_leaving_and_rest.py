"""
tests.test_leaving_and_rest

What was seen: requests reached a replica more than two seconds after an answer that the same host
had passed on said that it leaves; and a replica that had turned a host away with a time of rest had
three to eight more requests from it in that time. How it came about: the store was silent, so that
no record said that the replica leaves, and answers went on being sent to it for 12 s; the replicas
that turned away were free again a millisecond later and drew three in four requests of their pool.
Cause: what an answer says of its replica, beyond the request, was read by nobody, and a decline
told the pool's scheduler nothing. Shown by the logs of all hosts beside the counts by replica, and
by this fleet of whole nodes in virtual time.
"""

import asyncio
import random
from collections import defaultdict

from chalkyoke.node.gateway import TICK_S
from chalkyoke_fakes.soak.checkers import LEAVING_GRACE_S
from chalkyoke_fakes.soak.play import GOAL_S

from tests.gatewayfleet import play
from tests.rests import MAX_REQUESTS_IN_RETRY_AFTER, most_in_rest

PATHS = ("/chat/1", "/explain/1", "/find/1", "/book/1")
CALLERS = 12
PLAYED_S = 6.0
# A caller asks anew so long after an answer, in seconds, on average.
PAUSE_S = 0.03
# How long all replicas serve before some change, in seconds: until the scheduler knows them all.
KNOWN_S = 3.0
REST_S = 3.0


def of_path(fleet, path):
    return fleet.models if path in ("/chat/1", "/explain/1") else fleet.seats


async def keep_asking(fleet, path, seconds=PLAYED_S, nodes=()):
    """Let callers ask for some time; give all that they got.

    :param nodes: the nodes that they ask; all where nothing is given.
    """
    nodes = nodes or range(len(fleet.nodes))
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    got = []
    source = random.Random(40)

    async def ask(caller):
        turn = caller
        await asyncio.sleep(PAUSE_S * 2 * source.random())
        while loop.time() < until:
            got.append(await fleet.ask(nodes[turn % len(nodes)], path, until_whole=True))
            turn += 1
            await asyncio.sleep(PAUSE_S * 2 * source.random())

    await asyncio.gather(*(ask(caller) for caller in range(CALLERS)))
    return got


def sends_after_news(got, replicas):
    """List what reached a replica too long after its sender had passed on that it leaves.

    :return: for each, how long after, in seconds.
    """
    told = {}
    for each in sorted(got, key=lambda each: each.asked_at + each.took_s):
        if "server-leaving" in each.headers:
            replica = each.headers["x-server-stamp"].partition(".")[0]
            told.setdefault((each.node, replica), each.asked_at + each.took_s)
    asked = {each.request: each for each in got}
    late = []
    for replica in replicas:
        for seen in replica.seen:
            sent = asked[seen.headers["x-request-id"]]
            since = told.get((sent.node, replica.id))
            if since is not None and sent.asked_at > since + LEAVING_GRACE_S:
                late.append(seen.at - since)
    return late


def rests_in(got, replicas, rest_s=REST_S):
    """Count the requests that reached a replica in a time of rest; the most over all of these."""
    asked = {each.request: each for each in got}
    turned_away = defaultdict(list)
    for replica in replicas:
        for seen in replica.rejected:
            node = asked[seen.headers["x-request-id"]].node
            turned_away[replica.id, node].append(seen.at)
    return most_in_rest(turned_away, rest_s)


def test_a_replica_that_says_in_its_answers_that_it_leaves_is_left_alone():
    late, served = {}, {}

    def check_of(path):
        async def check(fleet):
            replicas = of_path(fleet, path)
            for replica in replicas[:2]:
                replica.faults.says_leaving = True
            got = await keep_asking(fleet, path)
            late[path] = len(sends_after_news(got, replicas))
            served[path] = sum(each.whole and each.status == 200 for each in got) / len(got)

        return check

    for path in PATHS:
        play(check_of(path))
    assert late == dict.fromkeys(PATHS, 0), late
    assert all(share > 0.99 for share in served.values()), served


def test_a_replica_that_asks_for_rest_gets_it():
    most = {}

    def check_of(path):
        async def check(fleet):
            replicas = of_path(fleet, path)
            got = await keep_asking(fleet, path, KNOWN_S)
            for replica in replicas[:2]:
                replica.faults.shed = 1_000_000
                replica.faults.rest_s = REST_S
            got += await keep_asking(fleet, path)
            most[path] = rests_in(got, replicas)

        return check

    for path in PATHS:
        play(check_of(path))
    assert all(count <= MAX_REQUESTS_IN_RETRY_AFTER for count in most.values()), most


def turn_away(replicas, rest_s=0.0):
    for replica in replicas:
        replica.faults.shed = 1_000_000
        replica.faults.rest_s = rest_s


def served_share(got):
    return sum(each.whole and each.status == 200 for each in got) / len(got)


def test_callers_are_served_by_the_others_while_two_of_six_turn_all_away():
    served, tried = {}, {}

    def check_of(path, rest_s):
        async def check(fleet):
            replicas = of_path(fleet, path)
            await keep_asking(fleet, path, KNOWN_S)
            turn_away(replicas[:2], rest_s)
            began = asyncio.get_running_loop().time()
            got = await keep_asking(fleet, path)
            served[path, rest_s] = served_share(got)
            # The first second finds out; then one request a second looks whether it serves again.
            later = [seen for each in replicas for seen in each.rejected if seen.at > began + 1]
            tried[path, rest_s] = len(later)

        return check

    for rest_s in (0.0, REST_S):
        play(check_of("/chat/1", rest_s))
    assert all(share >= 0.99 for share in served.values()), served
    assert all(count <= 2 * (PLAYED_S - 1) + 2 for count in tried.values()), tried


def test_callers_are_answered_at_once_where_all_replicas_want_rest():
    async def check_path(fleet, path):
        replicas = of_path(fleet, path)
        got = await keep_asking(fleet, path, KNOWN_S)
        turn_away(replicas, REST_S)
        refused = await keep_asking(fleet, path, 2 * REST_S)
        assert rests_in([*got, *refused], replicas) <= MAX_REQUESTS_IN_RETRY_AFTER
        assert {each.status for each in refused} == {503}
        # At once, or when its goal has passed where a replica would have been back by then: at the
        # scheduler's tick that finds that, one that lets another look, and one that ends it.
        assert max(each.took_s for each in refused) <= GOAL_S + 3 * TICK_S
        told = [float(each.headers["retry-after"]) for each in refused]
        assert 0 < min(told) <= max(told) <= REST_S + 0.5
        for replica in replicas:
            replica.faults.shed = 0
        await asyncio.sleep(REST_S)
        assert served_share(await keep_asking(fleet, path, 1.0)) == 1.0

    for path in PATHS:
        play(lambda fleet, path=path: check_path(fleet, path))


def test_only_a_new_start_of_a_replica_undoes_that_it_leaves():
    async def check(fleet):
        replica = fleet.models[0]
        for each in fleet.models[1:]:
            await each.crash()
            fleet.store.remove(f"servers/{each.id}")
        replica.faults.says_leaving = True
        await asyncio.sleep(0.5)
        assert (await fleet.ask(0, "/chat/1", until_whole=True)).status == 200
        # All nodes have been told, and a record that says otherwise changes nothing.
        replica.faults.says_leaving = False
        replica.slots += 1
        await replica.write_record("ready")
        await asyncio.sleep(0.5)
        told = [await fleet.ask(node, "/chat/1", until_whole=True) for node in range(6)]
        assert [each.status for each in told] == [503] * 6
        replica.born += 1000
        await replica.write_record("ready")
        await asyncio.sleep(0.5)
        told = [await fleet.ask(node, "/chat/1", until_whole=True) for node in range(6)]
        assert [each.status for each in told] == [200] * 6

    play(check)


def test_a_node_that_starts_is_told_who_leaves():
    async def check(fleet):
        replica = fleet.seats[0]
        replica.faults.says_leaving = True
        await keep_asking(fleet, "/find/1", 1.0)
        await fleet.kill_node(2)
        await asyncio.sleep(1.0)
        fleet.start_node(2, first_start=False)
        await asyncio.sleep(3.0)
        before = len(replica.seen)
        for _ in range(30):
            await fleet.ask(2, "/find/1", until_whole=True)
        assert len(replica.seen) == before

    play(check)


def test_another_replica_that_answers_in_its_place_says_nothing_of_it():
    async def check(fleet):
        # It is gone, and its address belongs to another that leaves.
        for replica in fleet.seats:
            replica.id = f"another-{replica.id}"
            replica.faults.says_leaving = True
        got = await fleet.ask(0, "/find/1", until_whole=True)
        assert got.status == 503
        state = fleet.nodes[0].catalog.state
        assert not any(each.draining for each in state.replicas.values())

    play(check)
