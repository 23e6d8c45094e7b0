"""The calls of a node's quota snapshots to a store, in virtual time."""

import asyncio

from chalkyoke.administration.metrics import Metrics
from chalkyoke.node.quotasnapshots import QuotaSnapshots
from chalkyoke.quotas.ledger import new_ledger
from chalkyoke.quotas.ownersnapshots import OwnerSnapshots
from chalkyoke.quotas.window import QuotaLimits
from chalkyoke.storage.messages import Item, LeaseGranted, Listing, Unavailable, Written

from tests import virtual

LIMITS = QuotaLimits(8.0, 0.0, 0.0)


class MemoryStore:
    def __init__(self):
        self.items, self.renewals, self.silent = {}, 0, False

    async def _answer(self, answer):
        await asyncio.sleep(2.0 if self.silent else 0.004)
        return Unavailable("timed out", True) if self.silent else answer

    async def read(self, prefix):
        found = [Item(k, v, 1) for k, v in self.items.items() if k.startswith(prefix)]
        return await self._answer(Listing(tuple(found), 1, 1))

    async def write(self, key, value, *, lease, expected):
        if not self.silent:
            self.items[key] = value
        return await self._answer(Written(1, 1))

    async def grant_lease(self, ttl_s):
        return await self._answer(LeaseGranted(1, ttl_s, 1))

    async def renew_lease(self, lease):
        self.renewals += 1
        return await self._answer(LeaseGranted(lease, 6.0, 1))


def start_node(store, process, *, first):
    """Start the snapshots of a node that owns one team."""
    now = asyncio.get_running_loop().time
    ledger = new_ledger(LIMITS, 1, 1000.0, 1.0, now())
    if not first:
        ledger.assume_spent(760.0, now())
    snapshots = OwnerSnapshots({"t": ledger}, 0.8, 0.95, 3.0)
    snapshots.open("t", now(), first=first)
    node = QuotaSnapshots(store, snapshots, "quotas/", process, lambda: 1, Metrics(), now)
    node.wake()
    return ledger, node, asyncio.ensure_future(node.run())


def test_a_new_owner_resumes_the_window_that_a_lost_one_has_written():
    async def main():
        store = MemoryStore()
        ledger, _, running = start_node(store, "a", first=True)
        ledger.add_lease(200.0, 0.0)
        await asyncio.sleep(2.0)
        assert store.renewals == 1
        running.cancel()
        successor, _, _ = start_node(store, "b", first=False)
        await asyncio.sleep(0.2)
        assert successor.surveyed
        assert 300.0 <= successor.window.spent(2.2) <= 302.0
        assert list(store.items) == ["quotas/a", "quotas/b"]

    virtual.run(main)


def test_a_waiting_request_is_woken_by_the_store_and_does_not_wait_for_a_failing_one():
    async def main():
        store = MemoryStore()
        ledger, node, _ = start_node(store, "a", first=True)
        ledger.add_lease(200.0, 0.0)
        assert await node.wait(0.02)
        await asyncio.sleep(1.0)
        store.silent = True
        ledger.add_lease(200.0, 1.0)
        assert not await node.wait(0.02)
        await asyncio.sleep(3.0)
        before = asyncio.get_running_loop().time()
        assert not await node.wait(0.02)
        assert asyncio.get_running_loop().time() == before

    virtual.run(main)
