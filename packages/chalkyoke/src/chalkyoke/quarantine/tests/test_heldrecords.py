"""Writing records of held requests to a store that is unavailable at times."""

import asyncio

from chalkyoke.quarantine.heldrecords import LEASE_REUSE_S, MAX_WAITING, HeldRecords
from chalkyoke.storage.messages import LeaseGone, LeaseGranted, Unavailable, Written
from chalkyoke.storage.port import MAX_BACKUP_AGE_S

from tests import virtual


class Store:
    def __init__(self):
        self.away = False
        self.leases = []
        self.written = {}
        self.calls = 0

    async def grant_lease(self, ttl_s):
        self.calls += 1
        if self.away:
            return Unavailable("503", may_have_been_applied=False)
        self.leases.append(len(self.leases) + 1)
        return LeaseGranted(self.leases[-1], ttl_s)

    async def write(self, key, value, *, lease=0, expected=None):
        self.calls += 1
        if self.away:
            return Unavailable("503", may_have_been_applied=False)
        if lease not in self.leases:
            return LeaseGone()
        self.written[key] = lease
        return Written(len(self.written))


def play(check):
    async def main():
        store = Store()
        loop = asyncio.get_running_loop()
        records = HeldRecords(store, "held/", loop.time)
        running = asyncio.ensure_future(records.run())
        await check(store, records)
        running.cancel()

    virtual.run(main)


def test_simultaneous_records_share_a_lease_and_later_ones_do_not():
    async def check(store, records):
        for number in range(10):
            records.queue_record(bytes([number]))
        await asyncio.sleep(1.0)
        assert (len(store.written), store.calls) == (10, 11)
        await asyncio.sleep(LEASE_REUSE_S)
        records.queue_record(b"later")
        await asyncio.sleep(1.0)
        assert set(store.written.values()) == {1, 2}

    play(check)


def test_calls_to_an_unavailable_store_back_off_and_all_records_are_written_afterwards():
    async def check(store, records):
        store.away = True
        for number in range(2 * MAX_WAITING):
            records.queue_record(b"%d" % number)
        await asyncio.sleep(60.0)
        assert store.calls < 15
        store.away = False
        await asyncio.sleep(10.0)
        assert len(store.written) == MAX_WAITING

    play(check)


def test_an_expired_lease_is_replaced():
    async def check(store, records):
        records.queue_record(b"a")
        await asyncio.sleep(1.0)
        store.leases = [7]
        records.queue_record(b"b")
        await asyncio.sleep(3.0)
        assert "held/" + b"b".hex() in store.written

    play(check)


# Guards against losing records of held requests when the store is restored from an older copy.
def test_records_that_a_restored_store_may_have_lost_are_written_again():
    async def check(store, records):
        records.queue_record(b"old")
        await asyncio.sleep(MAX_BACKUP_AGE_S)
        records.queue_record(b"new")
        await asyncio.sleep(1.0)
        # The restored store assigns its lease numbers again, to other writers too.
        store.written.clear()
        store.leases = [1, 2]
        records.store_restored()
        await asyncio.sleep(1.0)
        assert store.written == {"held/" + b"new".hex(): 3}

    play(check)
