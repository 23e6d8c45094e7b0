import asyncio

import pytest
from chalkyoke.catalog.confirmation import (
    CHECK_INTERVAL_S,
    CHECK_TIMEOUT_S,
    FAILURE_TTL_S,
    StoreConfirmation,
)
from chalkyoke.catalog.restores import Position
from chalkyoke.storage.messages import Changes, HistoryLost, Item, Listing, Unavailable

from tests import virtual

CALL_S = 0.004


class FakeStore:
    """A store whose watch returns ``answer``, and counts its calls."""

    def __init__(self, answer):
        self.answer = answer
        self.listing = Listing((), 9, 1)
        self.calls = 0

    async def watch(self, prefix, since, wait_s, answer_s):
        self.calls += 1
        answer = self.answer
        await asyncio.sleep(CALL_S)
        return answer

    async def read(self, prefix):
        await asyncio.sleep(CALL_S)
        return self.listing


class Records:
    """The records of a node, at revision 5 unless they are moved."""

    def __init__(self):
        self.applied = []
        self.at = Position(1, 5)

    def position(self):
        return self.at

    def apply_confirmed(self, found, since):
        self.applied.append(found)
        return self.at.epoch == since.epoch

    def on_listing(self, listing):
        self.applied.append(listing)


def check(answer, test):
    async def main():
        store, records = FakeStore(answer), Records()
        confirmation = StoreConfirmation(store, records, asyncio.get_running_loop().time)
        await test(confirmation, store, records)

    virtual.run(main)


def test_the_records_include_what_the_store_has_accepted_since():
    found = Changes((Item("servers/a", b"{}", 6),), 6, 1)

    async def test(confirmation, _, records):
        assert await confirmation.confirm()
        assert records.applied == [found]

    check(found, test)


def test_a_store_that_has_lost_its_history_is_read_as_a_whole():
    async def test(confirmation, _, records):
        assert await confirmation.confirm()
        assert records.applied == [Listing((), 9, 1)]

    check(HistoryLost(), test)


def test_a_store_that_is_behind_confirms_nothing():
    async def test(confirmation, *_):
        assert not await confirmation.confirm()

    check(Changes((), 4, 1), test)


@pytest.mark.parametrize("listing", [Listing((), 4, 1), Listing((), 9, 2)])
def test_a_listing_of_a_store_that_is_behind_or_restored_confirms_nothing(listing):
    """Guards against an old state of the store that is ignored but counted as the latest one."""

    async def test(confirmation, store, records):
        store.listing = listing
        assert not await confirmation.confirm()
        assert not records.applied

    check(HistoryLost(), test)


def test_records_that_peers_move_past_the_answer_are_confirmed():
    """Guards against checks that fail for a second because a change came during a call."""

    async def test(confirmation, _, records):
        confirming = asyncio.create_task(confirmation.confirm())
        await asyncio.sleep(CALL_S / 2)
        records.at = Position(1, 8)
        assert await confirming

    check(Changes((), 7, 1), test)


@pytest.mark.parametrize("epoch", [1, 2])
def test_records_that_move_to_a_restored_store_during_a_call_are_not_confirmed(epoch):
    """Guards against changes since a revision of another epoch, which may lack some."""

    async def test(confirmation, _, records):
        confirming = asyncio.create_task(confirmation.confirm())
        await asyncio.sleep(CALL_S / 2)
        records.at = Position(2, 3)
        assert not await confirming

    check(Changes((), 7, epoch), test)


def test_checks_share_a_call_that_begins_after_them():
    """Guards against an answer that the store gave before a check was requested."""

    async def test(confirmation, store, _):
        first = asyncio.create_task(confirmation.confirm())
        await asyncio.sleep(CALL_S / 2)
        assert store.calls == 1
        later = [asyncio.create_task(confirmation.confirm()) for _ in range(20)]
        await asyncio.gather(first, *later)
        assert store.calls == 2

    check(Changes((), 5, 1), test)


def test_a_check_that_its_caller_gives_up_still_serves_the_others():
    async def test(confirmation, store, _):
        await confirmation.confirm()
        given_up, kept = (asyncio.create_task(confirmation.confirm()) for _ in range(2))
        await asyncio.sleep(CHECK_INTERVAL_S / 2)
        given_up.cancel()
        assert await kept
        assert store.calls == 2

    check(Changes((), 5, 1), test)


def test_a_store_that_does_not_answer_is_left_alone_for_a_while():
    async def test(confirmation, store, _):
        began = asyncio.get_running_loop().time()
        assert not await confirmation.confirm()
        assert not await confirmation.confirm()
        assert store.calls == 1
        assert asyncio.get_running_loop().time() - began <= CHECK_TIMEOUT_S
        await asyncio.sleep(FAILURE_TTL_S)
        store.answer = Changes((), 5, 1)
        assert await confirmation.confirm()

    check(Unavailable("reset", may_have_been_applied=False), test)
