import asyncio
from dataclasses import dataclass

from chalkyoke.catalog.resources import Team
from chalkyoke.quotas.client import QuotaClient
from chalkyoke.quotas.leases import HeldLeases
from chalkyoke.quotas.messages import QuotaGrant, QuotaRequest
from chalkyoke.quotas.owner import Presence, QuotaOwner

from tests import virtual

from .fleet import LIMITS, TEAM

NODES = 65


@dataclass
class Charge:
    cost: float
    team: Team = TEAM
    rank_in_team: int = 0
    version: int = 1


class SlowOwnerPort:
    """The port to an owner on another node that grants every request after a delay."""

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.asked = 0
        self.alone = []
        self.client = None
        self.known_from_s = 0.0

    def knows_owners(self):
        return asyncio.get_running_loop().time() >= self.known_from_s

    def owner(self, team):
        return "owner:1"

    def presence(self):
        return Presence(NODES, NODES)

    def host(self):
        return "n1"

    def others(self):
        return []

    def successors(self, team):
        return []

    def send(self, address, message):
        assert isinstance(message, QuotaRequest)
        self.asked += 1
        self.alone.append(message.alone)
        grant = QuotaGrant(TEAM.name, message.number, message.need, 0.0, 0.5, 7)
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_s, self.client.receive, "owner:1", grant)


def make_client(owner, *, first_start=True):
    loop = asyncio.get_running_loop()
    owner.client = QuotaClient(
        HeldLeases(LIMITS, lambda: NODES),
        QuotaOwner(LIMITS, first_start=True, identity=1),
        owner,
        lambda: {TEAM.name: TEAM},
        loop.time,
        first_start=first_start,
    )
    return owner.client


def test_a_request_above_the_own_share_waits_for_a_slow_owner():
    async def main():
        client = make_client(SlowOwnerPort(delay_s=0.08))
        first = await client.charge(Charge(14_000))
        assert (first.allowed, first.decided_by) == (True, "alone")
        await asyncio.sleep(0.6)
        second = await client.charge(Charge(15_000))
        assert (second.allowed, second.decided_by) == (True, "owner")
        assert asyncio.get_running_loop().time() < 0.75

    virtual.run(main)


def test_a_new_node_waits_until_it_knows_the_owner_before_it_refuses():
    """Guards against refusals in the first half second after a restart.

    Among 195 nodes the own share is 425 tokens, so a new node that doesn't wait for the owner
    refuses all but its first request, and each refused caller loses its first attempt.
    """

    async def main():
        owner = SlowOwnerPort(delay_s=0.002)
        owner.known_from_s = 0.26
        client = make_client(owner, first_start=False)
        assert (await client.charge(Charge(14_000))).decided_by == "alone"
        passed = await client.charge(Charge(14_500))
        assert (passed.allowed, passed.decided_by) == (True, "owner")
        assert 0.26 <= asyncio.get_running_loop().time() < 0.3

    virtual.run(main)


def test_a_new_node_stops_waiting_for_other_members_after_half_a_second():
    async def main():
        owner = SlowOwnerPort(delay_s=9.0)
        owner.known_from_s = 99.0
        client = make_client(owner, first_start=False)
        assert (await client.charge(Charge(14_000))).decided_by == "alone"
        passed = await client.charge(Charge(15_000))
        assert not passed.allowed
        assert 0.5 <= asyncio.get_running_loop().time() < 0.7

    virtual.run(main)


def test_a_small_request_does_not_wait_and_a_late_lease_serves_the_next_one():
    async def main():
        owner = SlowOwnerPort(delay_s=0.08)
        client = make_client(owner)
        first = await client.charge(Charge(300))
        assert (first.allowed, first.decided_by) == (True, "alone")
        await asyncio.sleep(0.1)
        second = await client.charge(Charge(300))
        assert (second.allowed, second.decided_by, owner.asked) == (True, "lease", 1)

    virtual.run(main)


def test_a_large_request_is_refused_within_200_ms_if_the_owner_is_silent():
    async def main():
        owner = SlowOwnerPort(delay_s=9.0)
        client = make_client(owner)
        await client.charge(Charge(14_000))
        started_at = asyncio.get_running_loop().time()
        second = await client.charge(Charge(14_000))
        assert not second.allowed and second.retry_after_s > 0
        assert asyncio.get_running_loop().time() - started_at < 0.2

    virtual.run(main)


def test_refunded_cost_serves_the_next_request():
    async def main():
        owner = SlowOwnerPort(delay_s=0.001)
        client = make_client(owner)
        first = await client.charge(Charge(9_000))
        assert first.decided_by == "owner"
        assert client.refund(Charge(9_000), first)
        second = await client.charge(Charge(9_000))
        assert (second.allowed, second.decided_by, owner.asked) == (True, "lease", 1)

    virtual.run(main)


def test_cost_from_the_own_share_is_not_refunded():
    async def main():
        client = make_client(SlowOwnerPort(delay_s=9.0))
        spent = await client.charge(Charge(200))
        assert spent.decided_by == "alone"
        assert not client.refund(Charge(200), spent)

    virtual.run(main)


def test_spending_from_the_own_share_is_reported_to_the_next_owner_that_answers():
    async def main():
        owner = SlowOwnerPort(delay_s=9.0)
        client = make_client(owner)
        for _ in range(3):
            assert (await client.charge(Charge(200))).decided_by == "alone"
        await asyncio.sleep(1.0)
        owner.delay_s = 0.001
        assert (await client.charge(Charge(9_000))).decided_by == "owner"
        assert owner.alone == [0.0, 600.0]

    virtual.run(main)


class StoreStub:
    """A store that acknowledges the owner's snapshot while a request waits for it.

    :param other_calls: calls that the store answers before the write.
    """

    def __init__(self, owner, *, answers, other_calls=0):
        self.owner, self.answers, self.waits = owner, answers, 0
        self.other_calls = other_calls

    def wake(self):
        pass

    async def wait(self, timeout_s):
        self.waits += 1
        await asyncio.sleep(0.004 if self.answers else timeout_s)
        if self.answers and self.waits > self.other_calls:
            now = asyncio.get_running_loop().time()
            self.owner.snapshots.acknowledged(self.owner.snapshots.build(1, now).number)
        return self.answers


def charge_beyond_a_snapshot(*costs, answers, other_calls=0):
    """Charge more than the growth beyond an acknowledged snapshot, as the team's owner."""

    async def main():
        owner = QuotaOwner(LIMITS, first_start=True, identity=1, snapshots=True)
        store, port, loop = (
            StoreStub(owner, answers=answers, other_calls=other_calls),
            SlowOwnerPort(0.0),
            asyncio.get_running_loop(),
        )
        port.owner = lambda team: None
        client = QuotaClient(
            HeldLeases(LIMITS, lambda: NODES),
            owner,
            port,
            lambda: {TEAM.name: TEAM},
            loop.time,
            first_start=True,
            store=store,
        )
        await client.charge(Charge(1_000))
        owner.snapshots.acknowledged(owner.snapshots.build(1, loop.time()).number)
        first, second = [await client.charge(Charge(cost)) for cost in costs]
        return first.allowed, second, store.waits, owner.spent(TEAM.name, loop.time()), loop.time()

    return virtual.run(main)


def test_a_request_beyond_the_snapshot_waits_for_the_stores_acknowledgement():
    """Guards against a refusal of some milliseconds."""
    first, second, waits, spent, now = charge_beyond_a_snapshot(30_000, 30_000, answers=True)
    assert first and second.allowed and waits == 1
    assert 61_000 <= spent < 80_000 and now < 0.01


def test_a_request_waits_until_its_own_write_is_acknowledged():
    """Guards against a refusal after the answer to an earlier call, as the grant of a lease.

    A returned lease counts once, however often the owner answers.
    """
    _, _, _, once, _ = charge_beyond_a_snapshot(30_000, 30_000, answers=True)
    _, second, waits, spent, _ = charge_beyond_a_snapshot(
        30_000, 30_000, answers=True, other_calls=2
    )
    assert second.allowed and waits == 3 and spent == once


def test_a_request_that_costs_more_than_the_growth_is_granted():
    """Guards against refusals for ever: the room after any write is the growth, 36,900 here."""
    _, second, waits, _, _ = charge_beyond_a_snapshot(10_000, 60_000, answers=True)
    assert second.allowed and waits == 1


def test_a_request_beyond_the_snapshot_is_refused_if_the_store_is_silent():
    first, second, waits, _, now = charge_beyond_a_snapshot(30_000, 30_000, answers=False)
    assert first and not second.allowed and waits == 1
    assert second.retry_after_s > 0 and now < 0.03
