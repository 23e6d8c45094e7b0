"""
tests.test_quarantine_parts

The quarantine of parts of prompts with 7, 80 and 300 nodes, in virtual time, without a network. All
requests are unique; they share a first part and a subject. Required: a part that crashes each
replica that answers it is held back by all nodes after few crashes, and no other part ever is.
"""

import asyncio

import logbook
import pytest

from tests import virtual
from tests.test_quarantine_fleet import (
    Fleet,
    crash_at_random,
    crash_bad_release,
    crash_half_at_once,
    crash_in_turn,
)

FIRST_PART, CRASHING_PART = b"first-------", b"crashing----"
WORK_S = (0.1, 0.3, 1.0, 3.0)
# Number of sends after which operators count further ones: the fifth crash, and three more.
MAX_SENDS = 8


def subject(number):
    return b"subject%05d" % number


class PartsFleet(Fleet):
    """A fleet whose requests have parts.

    :ivar ever_held: digests that any node has held at the time of a crash.
    """

    def __init__(self, *options):
        super().__init__(*options)
        self.parts = {}
        self.ever_held = set()

    def send(self, request, parts):
        """Send a request to a random node; return None if the node holds it back."""
        node = self.random.randrange(len(self.nodes))
        self.parts[request] = parts
        if self.nodes[node].find_held(lambda: request, parts) is not None:
            return None
        return node, self.run(request, node=node)

    def deliver(self, replica, request, node):
        if self.running.get(replica.id, {}).pop((request, node), None) is None:
            return False
        self.nodes[node].record_delivered(replica, lambda: request, self.parts[request])
        return True

    def record_broken(self, node, service, replica, request, output_s):
        parts = self.parts[request]
        self.nodes[node].record_broken(service, replica, request, output_s, parts)

    def crash(self, replica):
        runs = super().crash(replica)
        self.ever_held |= self.held()
        return runs


async def run_requests(fleet, seconds, per_s, subjects):
    """Send unique requests, each once more if it breaks."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds

    async def send_until_delivered(number):
        name = b"%012d" % number
        parts = (FIRST_PART, subject(fleet.random.randrange(subjects)))
        for _ in range(2):
            sent = fleet.send(name, parts)
            if sent is None:
                return
            node, replica = sent
            await asyncio.sleep(fleet.random.choice(WORK_S))
            if fleet.deliver(replica, name, node):
                return

    asked = []
    while loop.time() < until:
        asked.append(asyncio.ensure_future(send_until_delivered(len(asked))))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*asked)
    fleet.ever_held |= fleet.held()


async def send_crashing(fleet, parts, seconds, interval_s=0.4):
    """Send requests that crash the replica 50 ms after their start; return the number of sends."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    sends = number = 0
    while loop.time() < until:
        number += 1
        sent = fleet.send(b"c%011d" % number, parts)
        if sent is not None:
            sends += 1
            await asyncio.sleep(0.05)
            if sent[1].id in fleet.running:
                fleet.crash(sent[1])
        await asyncio.sleep(interval_s)
    return sends


def play(check, nodes=7, domains=3, replicas=12, seed=1):
    async def main():
        await check(PartsFleet(nodes, domains, replicas, seed))

    with logbook.NullHandler().applicationbound():
        virtual.run(main)


@pytest.mark.parametrize("nodes, domains, replicas", [(7, 3, 12), (80, 4, 18), (300, 7, 60)])
def test_all_nodes_hold_a_crashing_part_back_and_no_other_one(nodes, domains, replicas):
    async def check(fleet):
        sound = asyncio.ensure_future(run_requests(fleet, 10.0, per_s=20, subjects=20))
        await asyncio.sleep(1.0)
        parts = (FIRST_PART, CRASHING_PART, subject(0))
        assert await send_crashing(fleet, parts, 8.0) <= MAX_SENDS
        await sound
        assert fleet.ever_held == {CRASHING_PART}
        assert all(CRASHING_PART in node._evidence.held for node in fleet.nodes)
        # A report of an end goes to each node once from each node with a run there, and once more
        # from each that learns that a part has been served.
        assert fleet.messages["ReplicaEnded"] + fleet.messages["RequestsServed"] <= 200 * nodes

    play(check, nodes, domains, replicas)


@pytest.mark.parametrize("subjects", [5, 40])
@pytest.mark.parametrize(
    "ending", [crash_half_at_once, crash_in_turn, crash_bad_release, crash_at_random]
)
def test_replicas_that_crash_on_their_own_hold_no_part_back(ending, subjects):
    """Guards against sound parts that are blamed since they run on most crashing replicas."""
    held = []

    async def check(fleet):
        sound = asyncio.ensure_future(run_requests(fleet, 10.0, per_s=15, subjects=subjects))
        await asyncio.sleep(1.0)
        await ending(fleet)
        await sound
        held.append(fleet.ever_held)

    for seed in range(10):
        play(check, seed=seed)
    assert held == [set()] * 10


def test_a_part_that_only_one_node_has_served_is_not_held_by_others():
    """Guards against a verdict of nodes that were not told what another one has served."""

    async def check(fleet):
        parts = (FIRST_PART, subject(0))
        replica = fleet.run(b"served------", node=0)
        fleet.parts[b"served------"] = parts
        assert fleet.deliver(replica, b"served------", 0)
        for number in range(8):
            node, name = 1 + number % 6, b"broken%06d" % number
            fleet.parts[name] = parts
            replica = fleet.run(name, node=node)
            await asyncio.sleep(0.1)
            fleet.crash(replica)
            await asyncio.sleep(0.4)
        assert fleet.ever_held | fleet.held() == set()

    play(check)
