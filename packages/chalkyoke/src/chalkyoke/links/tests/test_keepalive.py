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


def test_a_link_that_went_silent_is_made_anew_while_new_ones_work():
    """A peer's heartbeats went on into a connection that carried nothing, and nobody noticed."""

    async def main():
        taken = []
        caller, net = await linked(lambda c, m: taken.append(m))
        await beats(caller, 2.0)
        before = len(taken)
        assert before == 8
        net.silence()
        await beats(caller, SILENT_S + 3 * BEAT_S)
        assert len(taken) > before
        assert caller.counters.silent == 1

    virtual.run(main)


def test_a_link_that_the_system_gives_up_for_a_time_out_is_made_anew():
    """Behind a cut the system ends connections by ETIMEDOUT, which is no ``ConnectionError``.

    The task of such a link ended by it and left the link as it was: closed, and never opened again,
    so that a node told some of its peers nothing more for as long as it lived.
    """

    async def main():
        taken = []
        caller, net = await linked(lambda c, m: taken.append(m))
        await beats(caller, 2.0)
        net.give_up(TimeoutError(errno.ETIMEDOUT, "timed out"))
        before = len(taken)
        await beats(caller, 2.0)
        assert len(taken) > before + 4

    virtual.run(main)


def test_a_link_in_use_or_at_rest_is_left_alone():
    async def main():
        caller, net = await linked(lambda c, m: None)
        await beats(caller, 4.0)
        await asyncio.sleep(20.0)
        await beats(caller, 4.0)
        assert caller.counters.silent == 0 and caller.counters.dropped == 0
        assert net.opened == 1

    virtual.run(main)


def test_what_is_on_its_way_when_a_confirmation_is_sent_is_not_taken_for_lost():
    unconfirmed = Unconfirmed()
    for _ in range(3):
        unconfirmed.note_sent(0.0)
    unconfirmed.note_confirmed(2, MIN_CONFIRM_INTERVAL_S, 0.9)
    assert unconfirmed.count == 1
    assert not unconfirmed.is_silent(0.9 + SILENT_S) and unconfirmed.is_silent(1.0 + SILENT_S)
    unconfirmed.note_confirmed(3, MIN_CONFIRM_INTERVAL_S, 1.0)
    assert not unconfirmed.is_silent(100.0)


def test_a_confirmation_of_what_was_never_sent_counts_nothing():
    unconfirmed = Unconfirmed()
    unconfirmed.note_sent(0.0)
    unconfirmed.note_confirmed(7, MIN_CONFIRM_INTERVAL_S, 0.5)
    assert unconfirmed.count == 1


def test_a_listener_confirms_once_what_it_took_and_drops_what_is_not_used():
    receipts = Receipts(0.0)
    assert receipts.next_confirmation() is None
    receipts.note_received(1.0)
    receipts.note_received(2.0)
    assert (receipts.next_confirmation(), receipts.next_confirmation()) == (2, None)
    assert not receipts.is_idle(2.0 + IDLE_TIMEOUT_S) and receipts.is_idle(2.1 + IDLE_TIMEOUT_S)


def test_a_silent_link_is_found_before_the_silence_of_its_peer_in_a_domain_of_any_size():
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
