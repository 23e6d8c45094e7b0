"""
tests.test_quarantine_fleet

The quarantine of 9, 80 and 300 nodes over links with a delay of 1 ms, in virtual time, without a
network. A request that crashes each replica that runs it arrives every 0.3 s at any node; each
crash ends up to six other runs as well, as in a recorded day of a pool of six. Other cases have
replicas that crash on their own: half of them at once as when a rack fails, one after the other as
in a failing domain, or a bad release whose replicas crash some seconds after each start. Required:
at most three more sends later than 3 s after the third crash, and no innocent request held back.
"""

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

import logbook
import pytest
from chalkyoke.administration.metrics import Metrics
from chalkyoke.http1.pool import ConnectFailure
from chalkyoke.quarantine.spread import Quarantine

from tests import virtual

LINK_DELAY_S = 0.001
MAX_FULL_MESH_NODES = 8
MONITORS_PER_DOMAIN = 3
CRASHING_REQUEST = b"crashing----"
SPREAD_S = 3.0


class View:
    """The broadcast targets of a node, as the membership gives them.

    Up to ``MAX_FULL_MESH_DOMAIN`` nodes of a domain send to each other; a larger domain has
    ``MONITORS`` relays.
    """

    def __init__(self, fleet, number):
        self._fleet = fleet
        self._number = number
        self.record = SimpleNamespace(host=str(number))

    def broadcast_targets(self):
        direct, relays = [], []
        for domain in self._fleet.domains:
            first = domain[:MONITORS_PER_DOMAIN]
            if len(domain) <= MAX_FULL_MESH_NODES or self._number in first:
                direct += [each for each in domain if each != self._number]
            else:
                relays += first
        return direct, relays

    def domain_addresses(self):
        mine = next(each for each in self._fleet.domains if self._number in each)
        return [each for each in mine if each != self._number]


class Connections:
    """Probes of replicas, which show after one link delay whether a replica is alive."""

    def __init__(self, fleet):
        self._fleet = fleet

    async def open(self, ip, port, *, limit, timeout_s):
        await asyncio.sleep(LINK_DELAY_S)
        return ConnectFailure.REFUSED if ip in self._fleet.crashed_ips else object()

    def give_back(self, ip, port, connection):
        pass


class Fleet:
    """The nodes and the replicas of one pool, which run requests until they crash."""

    def __init__(self, nodes, domains, replicas, seed):
        self.random = random.Random(seed)
        self.domains = [list(range(each, nodes, domains)) for each in range(domains)]
        self.crashed_ips = set()
        self.messages = Counter()
        self.cut = set()
        self._starts = 0
        self.replicas = [self._start_replica() for _ in range(replicas)]
        self.running = {each.id: {} for each in self.replicas}
        loop = asyncio.get_running_loop()
        self.nodes = [
            Quarantine(
                View(self, number),
                Connections(self),
                lambda address, message, number=number: self._send(number, address, message),
                Metrics(),
                lambda request: None,
                lambda request: None,
                self.random.random,
                loop.time,
            )
            for number in range(nodes)
        ]

    def _start_replica(self):
        self._starts += 1
        name = f"r{self._starts}/1"
        return SimpleNamespace(id=name, ip=name, port=1)

    def _send(self, source, target, message):
        self.messages[type(message).__name__] += 1
        if (source in self.cut) != (target in self.cut):
            return
        loop = asyncio.get_running_loop()
        loop.call_later(LINK_DELAY_S, lambda: self.nodes[target].receive(source, message))

    def run(self, request, *, node=None):
        """Send a request to a random live replica; return None if the node holds it back."""
        node = self.random.randrange(len(self.nodes)) if node is None else node
        if self.nodes[node].is_held(lambda: request):
            return None
        replica = self.random.choice(self.replicas)
        now = asyncio.get_running_loop().time()
        self.running[replica.id][request, node] = now
        return replica

    def deliver(self, replica, request, node):
        if self.running.get(replica.id, {}).pop((request, node), None) is not None:
            self.nodes[node].record_delivered(replica, lambda: request)
            return True
        return False

    def crash(self, replica):
        """Crash a replica and all its runs, start another in its place, and return the runs."""
        now = asyncio.get_running_loop().time()
        self.crashed_ips.add(replica.ip)
        runs = self.running.pop(replica.id)
        self.replicas[self.replicas.index(replica)] = new = self._start_replica()
        self.running[new.id] = {}
        service = SimpleNamespace(service=SimpleNamespace(max_connections=100))
        for (request, node), at in runs.items():
            output_s = max(0.0, now - at - 0.1)
            self.record_broken(node, service, replica, request, output_s)
        return runs

    def record_broken(self, node, service, replica, request, output_s):
        self.nodes[node].record_broken(service, replica, request, output_s)

    def held(self):
        return {name for node in self.nodes for name in node._evidence.held}

    def tick(self):
        for node in self.nodes:
            node.tick()


def run_check(check, nodes, domains, replicas, seed=1):
    async def main():
        await check(Fleet(nodes, domains, replicas, seed))

    with logbook.NullHandler().applicationbound():
        virtual.run(main)


async def run_unique_requests(fleet, seconds, per_s, tries=4, served=None):
    """Run callers with unique requests; a broken request is sent again, four times at most."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    names = (b"%012d" % number for number in range(1_000_000))

    async def send_until_delivered(name):
        work_s = fleet.random.choice((0.1, 0.3, 1.0, 3.0))
        for _ in range(tries):
            node = fleet.random.randrange(len(fleet.nodes))
            replica = fleet.run(name, node=node)
            if replica is None:
                return
            await asyncio.sleep(work_s)
            if fleet.deliver(replica, name, node):
                if served is not None:
                    served.append(name)
                return

    asked = []
    while loop.time() < until:
        asked.append(asyncio.ensure_future(send_until_delivered(next(names))))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*asked)


@pytest.mark.parametrize("nodes, domains, replicas", [(9, 3, 5), (80, 4, 18), (300, 7, 60)])
def test_all_nodes_hold_a_request_back_at_once_with_bounded_messages(nodes, domains, replicas):
    async def check(fleet):
        unique_requests = asyncio.ensure_future(run_unique_requests(fleet, 8.0, per_s=20))
        loop = asyncio.get_running_loop()
        sends, third = [], None
        for _ in range(27):
            replica = fleet.run(CRASHING_REQUEST)
            if replica is not None:
                sends.append(loop.time())
                await asyncio.sleep(0.1)
                if replica.id in fleet.running:
                    fleet.crash(replica)
                if len(sends) == 3:
                    third = loop.time()
                    await asyncio.sleep(0.02)
                    holding_nodes = sum(
                        node.is_held(lambda: CRASHING_REQUEST) for node in fleet.nodes
                    )
                    assert holding_nodes == nodes
            await asyncio.sleep(0.2)
        end_reports = fleet.messages["ReplicaEnded"]
        await unique_requests
        assert len([at for at in sends if at > third + SPREAD_S]) == 0
        assert fleet.held() == {CRASHING_REQUEST}
        # Each node with a run on the replica reports to all others: at most seven reports to the
        # fleet per crash.
        assert end_reports <= 3 * 7 * 1.2 * nodes + 100

    run_check(check, nodes, domains, replicas)


# Guards against evidence that reaches only the nodes on one side of a partition.
def test_both_sides_of_a_partition_agree_soon_after_it_heals():
    async def check(fleet):
        loop = asyncio.get_running_loop()
        fleet.cut = set(fleet.domains[0])
        inside = fleet.domains[0][0]
        for _ in range(3):
            replica = fleet.run(CRASHING_REQUEST, node=inside)
            await asyncio.sleep(0.1)
            fleet.crash(replica)
            await asyncio.sleep(0.2)
        assert sum(node.is_held(lambda: CRASHING_REQUEST) for node in fleet.nodes) == len(fleet.cut)
        fleet.cut = set()
        healed = loop.time()
        while not all(node.is_held(lambda: CRASHING_REQUEST) for node in fleet.nodes):
            fleet.tick()
            await asyncio.sleep(1.0)
            assert loop.time() < healed + SPREAD_S

    run_check(check, 80, 4, 18)


async def crash_half_at_once(fleet):
    """Crash half of the replicas simultaneously, twice."""
    for _ in range(2):
        for replica in list(fleet.replicas)[: len(fleet.replicas) // 2]:
            fleet.crash(replica)
        await asyncio.sleep(2.0)


async def crash_in_turn(fleet):
    """Crash all replicas one after the other, every 0.2 s."""
    for replica in list(fleet.replicas):
        fleet.crash(replica)
        await asyncio.sleep(0.2)


async def crash_bad_release(fleet):
    """Crash a third of the replicas about 5 s after each start, for 10 s, as a bad release does."""
    loop = asyncio.get_running_loop()
    until = loop.time() + 10.0
    bad = max(1, len(fleet.replicas) // 3)
    while loop.time() < until:
        await asyncio.sleep(fleet.random.expovariate(bad / 5.0))
        fleet.crash(fleet.replicas[fleet.random.randrange(bad)])


async def crash_at_random(fleet):
    """Crash random replicas four times per second for 10 s."""
    loop = asyncio.get_running_loop()
    until = loop.time() + 10.0
    while loop.time() < until:
        await asyncio.sleep(fleet.random.expovariate(4.0))
        fleet.crash(fleet.random.choice(fleet.replicas))


def count_innocents_held(ending, seed, replicas=6):
    found = []

    async def check(fleet):
        callers = asyncio.ensure_future(run_unique_requests(fleet, 10.0, per_s=15))
        await asyncio.sleep(1.0)
        await ending(fleet)
        await callers
        found.append(len(fleet.held()))

    run_check(check, 9, 3, replicas, seed=seed)
    return found[0]


@pytest.mark.parametrize("ending", [crash_half_at_once, crash_in_turn, crash_bad_release])
def test_replicas_that_crash_on_their_own_hold_no_request_back(ending):
    assert [count_innocents_held(ending, seed) for seed in range(10)] == [0] * 10


def test_frequent_crashes_in_a_pool_of_twenty_hold_no_request_back():
    assert [count_innocents_held(crash_at_random, seed, 20) for seed in range(20)] == [0] * 20


SECOND_CRASHING_REQUEST = b"d" * 12


async def run_popular_requests(fleet, seconds, kinds=4, per_s=20):
    """Run callers that repeat a few requests; a broken request is sent once more."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds

    async def send_until_delivered(name):
        for _ in range(2):
            node = fleet.random.randrange(len(fleet.nodes))
            replica = fleet.run(name, node=node)
            if replica is None:
                return
            await asyncio.sleep(fleet.random.choice((0.3, 1.0, 2.0)))
            if fleet.deliver(replica, name, node):
                return

    asked = []
    while loop.time() < until:
        asked.append(
            asyncio.ensure_future(send_until_delivered(b"kind%08d" % fleet.random.randrange(kinds)))
        )
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*asked)


async def send_crashing_repeatedly(fleet, request, seconds):
    """Send a request that crashes each replica 50 ms after its start; count the sends."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    sends = 0
    while loop.time() < until:
        replica = fleet.run(request)
        if replica is not None:
            sends += 1
            await asyncio.sleep(0.05)
            if replica.id in fleet.running:
                fleet.crash(replica)
        await asyncio.sleep(0.3)
    return sends


# Guards against popular requests that are held back because they run on most crashing replicas.
def test_popular_requests_are_not_held_back_for_two_that_crash_replicas():
    found = []

    async def check(fleet):
        callers = asyncio.ensure_future(run_popular_requests(fleet, 14.0))
        await asyncio.sleep(2.0)
        crashing = (
            send_crashing_repeatedly(fleet, each, 9.0)
            for each in (CRASHING_REQUEST, SECOND_CRASHING_REQUEST)
        )
        sends = await asyncio.gather(*crashing)
        await callers
        found.append((fleet.held(), max(sends)))

    for seed in range(20):
        run_check(check, 3, 3, 3, seed=seed)
    assert all(held == {CRASHING_REQUEST, SECOND_CRASHING_REQUEST} for held, _ in found), found
    assert max(sends for _, sends in found) <= 5


# Three sends end a replica each; operators allow three more.
MAX_CRASHING_SENDS = 6
# Time before the first crash, in seconds: each popular request has then been served in full at some
# node.
WARM_UP_S = 6.0


def play_two_crashing_requests(nodes, replicas, per_s, seed):
    """Run popular requests beside two that crash replicas.

    :return: whether an innocent request was ever held back, and the crashing requests' sends.
    """
    found = []

    async def check(fleet):
        innocents = set()
        for node in fleet.nodes:
            hold = node._begin_hold
            node._begin_hold = lambda request, hold=hold, **fields: (
                innocents.add(request),
                hold(request, **fields),
            )
        callers = asyncio.ensure_future(run_popular_requests(fleet, WARM_UP_S + 9.0, per_s=per_s))
        await asyncio.sleep(WARM_UP_S)
        crashing = (CRASHING_REQUEST, SECOND_CRASHING_REQUEST)
        sends = await asyncio.gather(
            *(send_crashing_repeatedly(fleet, each, 9.0) for each in crashing)
        )
        await callers
        assert fleet.held() >= set(crashing)
        found.append((bool(innocents - set(crashing)), max(sends)))

    run_check(check, nodes, 3, replicas, seed=seed)
    return found[0]


# Guards against popular requests that are held back, even for a moment, by a node that has not
# served them itself while others have.
def test_what_any_node_has_served_is_never_held_back_for_others_that_crash_replicas():
    shapes = [(nodes, each, per_s) for nodes in (3, 9) for each in (3, 6) for per_s in (6, 20)]
    found = {
        shape: [play_two_crashing_requests(*shape, seed) for seed in range(20)] for shape in shapes
    }
    assert all(sends <= MAX_CRASHING_SENDS for each in found.values() for _, sends in each), found
    held = {shape: sum(innocent for innocent, _ in each) for shape, each in found.items()}
    assert sum(held.values()) == 0, held
