import asyncio
import errno

from chalkyoke.links.connection import Identity
from chalkyoke.links.keepalive import (
    IDLE_TIMEOUT_S,
    KEEPALIVE_INTERVAL_S,
    MAX_CONFIRM_INTERVAL_S,
    MIN_CONFIRM_INTERVAL_S,
    SILENT_CONFIRM_INTERVALS,
    Receipts,
    Unconfirmed,
    confirm_interval_s,
)
from chalkyoke.links.peers import Links
from chalkyoke.membership.messages import Heartbeat, MemberRecord
from chalkyoke.membership.view import MembershipView

from tests import virtual
from tests.memorynet import MemoryNet

from .test_links import GRANT, TYPES, Clock

BEAT_S = 0.25
SILENT_S = SILENT_CONFIRM_INTERVALS * MIN_CONFIRM_INTERVAL_S
KEY = b"k" * 16


async def keep(links):
    while True:
        links.keep_alive(MIN_CONFIRM_INTERVAL_S)
        await asyncio.sleep(KEEPALIVE_INTERVAL_S)


async def linked(handler):
    """Make a caller and a listener, both in this loop."""
    net = MemoryNet(asyncio.get_running_loop())
    listener = Links(Identity("b", "b:1", "d", KEY), TYPES, Clock(), handler)
    caller = Links(Identity("a", "a:1", "d", KEY), TYPES, Clock(), lambda c, m: None)
    await listener.listen()
    for each in (caller, listener):
        asyncio.create_task(keep(each))
    return caller, net


async def beats(caller, for_s):
    for _ in range(int(for_s / BEAT_S)):
        caller.send("b:1", GRANT)
        await asyncio.sleep(BEAT_S)


def test_silent_link_is_reopened():
    """Guards against heartbeats that are sent on a connection that loses them, unnoticed."""

    async def main():
        taken = []
        caller, net = await linked(lambda c, m: taken.append(m))
        await beats(caller, 2.0)
        before = len(taken)
        assert before == 8
        net.silence_connections()
        await beats(caller, SILENT_S + 3 * BEAT_S)
        assert len(taken) > before
        assert caller.counters.silent == 1

    virtual.run(main)


def test_link_that_ends_by_a_system_timeout_is_reopened():
    """Guards against a link that stays closed for good after ETIMEDOUT.

    In a partition the system ends connections by ETIMEDOUT, which is no ``ConnectionError``. If it
    ends the link's task without retiring the link, the node sends that peer nothing more.
    """

    async def main():
        taken = []
        caller, net = await linked(lambda c, m: taken.append(m))
        await beats(caller, 2.0)
        net.fail_connections(TimeoutError(errno.ETIMEDOUT, "timed out"))
        before = len(taken)
        await beats(caller, 2.0)
        assert len(taken) > before + 4

    virtual.run(main)


def test_busy_or_idle_link_is_not_reopened():
    async def main():
        caller, net = await linked(lambda c, m: None)
        await beats(caller, 4.0)
        await asyncio.sleep(20.0)
        await beats(caller, 4.0)
        assert caller.counters.silent == 0 and caller.counters.dropped == 0
        assert net.opened_count == 1

    virtual.run(main)


def test_messages_in_transit_during_a_confirmation_do_not_count_as_lost():
    unconfirmed = Unconfirmed()
    for _ in range(3):
        unconfirmed.note_sent(0.0)
    unconfirmed.note_confirmed(2, MIN_CONFIRM_INTERVAL_S, 0.9)
    assert unconfirmed.count == 1
    assert not unconfirmed.is_silent(0.9 + SILENT_S) and unconfirmed.is_silent(1.0 + SILENT_S)
    unconfirmed.note_confirmed(3, MIN_CONFIRM_INTERVAL_S, 1.0)
    assert not unconfirmed.is_silent(100.0)


def test_confirmation_of_unsent_messages_is_ignored():
    unconfirmed = Unconfirmed()
    unconfirmed.note_sent(0.0)
    unconfirmed.note_confirmed(7, MIN_CONFIRM_INTERVAL_S, 0.5)
    assert unconfirmed.count == 1


def test_listener_confirms_each_count_once_and_detects_idle_links():
    receipts = Receipts(0.0)
    assert receipts.next_confirmation() is None
    receipts.note_received(1.0)
    receipts.note_received(2.0)
    assert (receipts.next_confirmation(), receipts.next_confirmation()) == (2, None)
    assert not receipts.is_idle(2.0 + IDLE_TIMEOUT_S) and receipts.is_idle(2.1 + IDLE_TIMEOUT_S)


def test_silent_link_is_detected_before_its_peer_counts_as_lost_at_any_domain_size():
    for members in range(2, 100):
        view = MembershipView(MemberRecord("h0", 1, "h0:1", "", "d", False, True, 1, 1))
        for number in range(1, members):
            record = MemberRecord(f"h{number}", 1, f"h{number}:1", "", "d", False, True, 1, 1)
            view.receive(record.address, Heartbeat(record, 1), 0.0)
        found_s = (
            SILENT_CONFIRM_INTERVALS * confirm_interval_s(view.spacing_s) + KEEPALIVE_INTERVAL_S
        )
        assert view.tick(found_s) == [], "the peers are still believed alive"
        assert confirm_interval_s(view.spacing_s) <= MAX_CONFIRM_INTERVAL_S
