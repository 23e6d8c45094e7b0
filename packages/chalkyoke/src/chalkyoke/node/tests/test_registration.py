"""Registration of nodes in the store: unreadable entries, and a store restored from a backup."""

import asyncio

import logbook
import msgspec
import pytest
from chalkyoke.decoding.addresses import parse_address
from chalkyoke.membership.owners import capacity_class
from chalkyoke.node.registration import (
    RENEWALS_PER_LEASE,
    RESTORED_SPREAD_S,
    CandidateReader,
    NodeEntry,
    Registration,
)
from chalkyoke.storage.messages import LeaseGone, LeaseGranted, Unavailable, Written
from chalkyoke.storage.port import MAX_BACKUP_AGE_S
from hypothesis import given
from hypothesis import strategies as st

from tests import virtual
from tests.odddata import odd_msgpack

PREFIX = "nodes/"


@given(st.dictionaries(st.text(min_size=1, max_size=4), st.binary(max_size=20), max_size=5))
def test_unreadable_entries_are_skipped_and_the_others_are_kept(others):
    good = msgspec.msgpack.encode(NodeEntry("10.1.0.1:82", "a"))
    registered = {PREFIX + name: value for name, value in others.items()}
    registered[PREFIX + "good-host"] = good
    found = {each.host: each for each in CandidateReader(PREFIX).read(registered)}
    assert found["good-host"].address == "10.1.0.1:82"


LEASE_S = 30.0


class RestoredStore:
    """A store that issues the same lease numbers again after a restore from a backup."""

    def __init__(self):
        self.epoch = 1
        self.leases = {}
        self.keys = {}
        self.ended = []
        self.unavailable = False

    def copy(self):
        return dict(self.leases), dict(self.keys)

    def restore(self, copy):
        self.leases, self.keys = dict(copy[0]), dict(copy[1])
        self.epoch += 1

    async def grant_lease(self, ttl_s):
        if self.unavailable:
            return Unavailable("reset", may_have_been_applied=True)
        number = max(self.leases, default=0) + 1
        self.leases[number] = "node"
        return LeaseGranted(number, ttl_s, self.epoch)

    async def renew_lease(self, lease):
        return LeaseGranted(lease, LEASE_S, self.epoch) if lease in self.leases else LeaseGone()

    async def write(self, key, value, *, lease=0, expected=None):
        if lease not in self.leases:
            return LeaseGone()
        self.keys[key] = lease
        return Written(1, self.epoch)

    async def revoke_lease(self, lease):
        self.ended.append(lease)


def registered(check):
    async def main():
        store, loop = RestoredStore(), asyncio.get_running_loop()
        registration = Registration(store, "nodes/n", b"", LEASE_S, lambda: 0.5, loop.time)
        copy = store.copy()
        running = asyncio.ensure_future(registration.run())
        await asyncio.sleep(1.0)
        assert store.keys == {"nodes/n": 1}
        await check(store, registration, copy)
        running.cancel()

    virtual.run(main)


# Guards against a node that renews another writer's lease and isn't registered any more.
@pytest.mark.parametrize("is_told", [True, False])
def test_an_entry_lost_by_a_restore_is_written_again(is_told):
    async def check(store, registration, copy):
        store.restore(copy)
        store.leases[1] = "another"
        if is_told:
            registration.store_restored(store.epoch)
        await asyncio.sleep(RESTORED_SPREAD_S if is_told else LEASE_S / RENEWALS_PER_LEASE)
        assert store.keys == {"nodes/n": 2}

    registered(check)


# Guards against a node that ends another writer's lease when it stops.
def test_a_lease_of_an_earlier_epoch_is_not_ended():
    async def check(store, registration, copy):
        store.restore(copy)
        store.leases[1] = "another"
        registration.store_restored(store.epoch)
        await registration.deregister()
        assert not store.ended

    registered(check)


# Guards against simultaneous writes of all nodes for entries that the copy is certain to have.
def test_an_entry_older_than_any_copy_is_not_written_again():
    async def check(store, registration, copy):
        await asyncio.sleep(MAX_BACKUP_AGE_S)
        store.restore(store.copy())
        registration.store_restored(store.epoch)
        await asyncio.sleep(RESTORED_SPREAD_S)
        assert store.keys == {"nodes/n": 1}
        await registration.deregister()
        assert store.ended == [1]

    registered(check)


# Guards against an entry that counts as written although its lease is of the previous epoch.
def test_a_restore_between_the_lease_and_the_write_is_detected():
    async def check(store, registration, copy):
        async def write(key, value, *, lease=0, expected=None):
            del store.write
            store.restore(({lease: "another"}, {}))
            return Written(1, store.epoch)

        store.restore(copy)
        store.write = write
        registration.store_restored(store.epoch)
        await asyncio.sleep(RESTORED_SPREAD_S)
        assert store.keys == {"nodes/n": 2}

    registered(check)


# Guards against an entry that makes each heartbeat raise: no address, or an infinite capacity.
@given(odd_msgpack(["10.0.0.1:80", "a", 2.0]))
def test_an_entry_names_an_address_and_a_capacity_or_is_skipped(value):
    for each in CandidateReader(PREFIX).read({PREFIX + "h": value}):
        assert parse_address(each.address) is not None
        assert capacity_class(each.capacity) < 21


def test_an_unreadable_entry_is_logged_once():
    reader = CandidateReader(PREFIX)
    with logbook.TestHandler() as handler:
        for _ in range(3):
            assert reader.read({PREFIX + "h": b"\xff", PREFIX + "i": b""}) == []
    assert [record.kwargs["key"] for record in handler.records] == [PREFIX + "h", PREFIX + "i"]
