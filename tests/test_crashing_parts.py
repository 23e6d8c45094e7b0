"""
tests.test_crashing_parts

Guards against a part of many prompts that crashes every replica that begins to answer it. No two of
the requests were alike, so that no digest of a request came twice, and they crashed twenty replicas
of a pool of twelve, with all requests that ran there.
"""

import asyncio
import itertools
from dataclasses import dataclass, field

from chalkyoke_fakes.replica import shared_parts

from tests.gatewayfleet import run_check

# Limits that operators set: the seconds within which connected hosts learn of a crashing part, the
# number of crashes from which they count, and the number of times that it may reach replicas after
# that.
SPREAD_S = 3.0
LEARNED_AFTER = 5
MAX_LATE_ARRIVALS = 3
# Lowest share of sound requests that begin at their first attempt, of the share before. Operators
# allow half.
MIN_SOUND_SHARE = 0.9
DOMAINS = ("a", "a", "a", "b", "b", "c", "c")
CRASHING, OTHER_CRASHING, COMMON = "bad0", "bad1", "5a5a"
SUBJECTS = tuple(f"50{number:02x}" for number in range(12))


@dataclass
class Load:
    """Sound requests and some with a part that crashes replicas, sent to all nodes in turn.

    :ivar sound: answers to sound requests.
    """

    fleet: object
    path: str = "/chat/1"
    sound: list = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)

    async def send(self, parts, node=None):
        """Send one request with shared parts and a last part of its own."""
        number = next(self._numbers)
        named = ",".join(f"{each}:60" for each in (*parts, f"f{number:06x}"))
        headers = (("X-Prefix-Hash", named), ("X-Token-Count", "200,100"))
        node = number % len(self.fleet.nodes) if node is None else node
        body = b"%d" % number
        return await self.fleet.send_request(
            node, self.path, body, headers=headers, until_whole=True
        )

    async def send_sound(self, number):
        self.sound.append(await self.send((COMMON, SUBJECTS[number % len(SUBJECTS)])))

    async def run(self, seconds, crashing=(), per_s=20.0, crashing_per_s=2.5):
        """Send for some seconds.

        :param crashing: shared parts of the requests that crash replicas, used in turn.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        asked, turn, next_crashing = [], 0, loop.time()
        while loop.time() < until:
            asked.append(asyncio.ensure_future(self.send_sound(turn)))
            if crashing and loop.time() >= next_crashing:
                parts = crashing[turn % len(crashing)]
                asked.append(asyncio.ensure_future(self.send(parts)))
                next_crashing += 1 / crashing_per_s
            turn += 1
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*asked)

    def begun_share(self, since, until):
        """Return the share of sound requests sent in a period whose answer has begun."""
        asked = [each for each in self.sound if since <= each.asked_at < until]
        return sum(each.status == 200 for each in asked) / len(asked)


def let_parts_crash(fleet, *parts):
    for replica in fleet.models:
        replica.faults.crash_parts = frozenset(parts)
        replica.faults.back_after_s = 2.0
        replica.slots = 6


def arrival_times(fleet, part):
    return sorted(
        seen.at for replica in fleet.models for seen in replica.seen if part in shared_parts(seen)
    )


def late_arrivals(fleet, part):
    """Count the arrivals of a part after the time within which hosts learn of it."""
    arrived = arrival_times(fleet, part)
    learned = arrived[LEARNED_AFTER - 1] + SPREAD_S if len(arrived) >= LEARNED_AFTER else 1e9
    return sum(at > learned for at in arrived)


def run_load(check, **options):
    run_check(check, domains=DOMAINS, replicas=10, **options)


def count_late_and_begun(path, parts):
    """Play a load with requests that crash replicas.

    :return: late arrivals of the crashing part, and the share of sound requests that begin after
        hosts have learned of it, divided by the share before.
    """
    found = []

    async def check(fleet):
        let_parts_crash(fleet, CRASHING)
        load = Load(fleet, path)
        began = asyncio.get_running_loop().time()
        await load.run(4.0)
        await load.run(16.0, (parts,))
        late = late_arrivals(fleet, CRASHING)
        if late > MAX_LATE_ARRIVALS:
            found.append((late, None))
            return
        learned = arrival_times(fleet, CRASHING)[-1] + 2 * SPREAD_S
        after = load.begun_share(learned, began + 20.0)
        found.append((late, after / load.begun_share(began, began + 4.0)))

    run_load(check)
    return found[0]


def test_a_part_that_crashes_replicas_is_held_back_while_sound_requests_are_served():
    played = {
        "last shared": count_late_and_begun("/chat/1", (COMMON, CRASHING)),
        "first, and the route resumes": count_late_and_begun("/explain/1", (CRASHING, SUBJECTS[0])),
        "between others": count_late_and_begun("/chat/1", (COMMON, CRASHING, SUBJECTS[1])),
    }
    assert all(late <= MAX_LATE_ARRIVALS for late, _ in played.values()), played
    assert all(share >= MIN_SOUND_SHARE for _, share in played.values()), played


def test_two_parts_that_crash_replicas_in_turn_are_both_held_back():
    async def check(fleet):
        let_parts_crash(fleet, CRASHING, OTHER_CRASHING)
        load = Load(fleet)
        began = asyncio.get_running_loop().time()
        await load.run(4.0)
        await load.run(16.0, ((COMMON, CRASHING), (COMMON, OTHER_CRASHING)))
        assert late_arrivals(fleet, CRASHING) <= MAX_LATE_ARRIVALS
        assert late_arrivals(fleet, OTHER_CRASHING) <= MAX_LATE_ARRIVALS
        assert load.begun_share(began + 14.0, began + 20.0) >= MIN_SOUND_SHARE

    run_load(check)


# Guards against evidence that exists only in the memory of the nodes, which all lose power at once.
def test_a_held_part_survives_the_loss_of_all_nodes():
    async def check(fleet):
        let_parts_crash(fleet, CRASHING)
        load = Load(fleet)
        await load.run(2.0)
        await load.run(5.0, ((COMMON, CRASHING),))
        await asyncio.gather(*(fleet.crash_node(node) for node in range(len(fleet.nodes))))
        await asyncio.sleep(1.0)
        for node in range(len(fleet.nodes)):
            fleet.start_node(node, first_start=False)
        await asyncio.sleep(SPREAD_S)
        before, began = len(arrival_times(fleet, CRASHING)), asyncio.get_running_loop().time()
        await load.run(5.0, ((COMMON, CRASHING),))
        assert len(arrival_times(fleet, CRASHING)) == before
        assert load.begun_share(began, began + 5.0) >= MIN_SOUND_SHARE

    run_load(check)


# Guards against a part that stays held back although an operator knows it to be sound.
def test_an_operator_releases_a_part_at_all_nodes():
    async def check(fleet):
        let_parts_crash(fleet, CRASHING)
        load = Load(fleet)
        await load.run(2.0)
        await load.run(5.0, ((COMMON, CRASHING),))
        let_parts_crash(fleet)
        held = await load.send((COMMON, CRASHING))
        assert (held.status, "retry-after" in held.headers) == (502, False)
        records = [each for each in fleet.store.items if each.startswith("chalkyoke/held/")]
        assert len(records) == 1
        fleet.store.put(records[0], b"released")
        await asyncio.sleep(SPREAD_S)
        got = [await load.send((COMMON, CRASHING), node) for node in range(len(fleet.nodes))]
        assert [each.status for each in got] == [200] * len(fleet.nodes)

    run_load(check)


# Guards against a domain that goes on sending a part since it is cut off from the other ones.
def test_a_domain_that_is_cut_off_holds_a_crashing_part_back_by_itself():
    async def check(fleet):
        let_parts_crash(fleet, CRASHING)
        load = Load(fleet)
        await load.run(2.0)
        fleet.cut_links((0, 1, 2), (3, 4, 5, 6))
        await load.run(14.0, ((COMMON, CRASHING),))
        # Each side has to see the ends by itself.
        assert len(arrival_times(fleet, CRASHING)) <= 2 * (LEARNED_AFTER + MAX_LATE_ARRIVALS)
        now = asyncio.get_running_loop().time()
        assert not [at for at in arrival_times(fleet, CRASHING) if at > now - 4.0]

    run_load(check)
