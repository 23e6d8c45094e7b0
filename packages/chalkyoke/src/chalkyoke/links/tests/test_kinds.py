"""Links between versions of which one knows message kinds that the other does not know."""

import asyncio
from contextlib import asynccontextmanager

from chalkyoke.links import handshake
from chalkyoke.links.connection import Identity
from chalkyoke.links.kinds import MAX_PEERS, PeerKinds
from chalkyoke.links.peers import Links
from chalkyoke.scheduling.messages import Grant, Queued, Withdraw

from .test_links import Clock, free

KEY = b"k" * 16
GRANT = Grant("r", 1, "p", "u", "127.0.0.1:1", 0)
QUEUED = Queued("r", 1, "p")
WITHDRAW = Withdraw("r", "p")


@asynccontextmanager
async def linked(listener_types, caller_types, always=None):
    """Start two processes; yield them and the list of messages that the listener receives."""
    taken = []
    listener = Links(
        Identity("b", free(), "d", KEY), listener_types, Clock(), lambda c, m: taken.append(m)
    )
    caller = Links(
        Identity("a", free(), "d", KEY),
        caller_types,
        Clock(),
        lambda c, m: None,
        kinds=PeerKinds(always),
    )
    await listener.listen()
    try:
        yield listener, caller, taken
    finally:
        await caller.close()
        await listener.close()


async def until(check):
    async with asyncio.timeout(5):
        while not check():
            await asyncio.sleep(0.005)


def test_a_peer_is_sent_only_what_it_understands():
    async def main():
        async with linked((Grant,), (Grant, Queued)) as (listener, caller, taken):
            for message in (GRANT, QUEUED, QUEUED, GRANT):
                caller.send(listener.me.address, message)
            await until(lambda: len(taken) == 2)
            assert taken == [GRANT, GRANT]
            assert (caller.counters.withheld, listener.counters.skipped) == (2, 0)
            address = listener.me.address
            assert caller.withholds(address, Queued) and not caller.withholds(address, Grant)
            assert not caller.withholds("127.0.0.1:1", Queued)
            # Withheld messages do not count as unconfirmed.
            listener.keep_alive(0.01)
            await until(lambda: not caller._outgoing[listener.me.address].unconfirmed.count)

    asyncio.run(main())


def test_peer_without_announced_kinds_is_sent_what_all_versions_understand(monkeypatch):
    made = handshake.make_welcome
    monkeypatch.setattr(
        "chalkyoke.links.connection.make_welcome", lambda *known: made(*known[:-1], ())
    )

    async def main():
        old = frozenset({"grant"})
        async with linked((Grant, Queued), (Grant, Queued), old) as (listener, caller, taken):
            caller.send(listener.me.address, QUEUED)
            caller.send(listener.me.address, GRANT)
            await until(lambda: taken)
            assert taken == [GRANT]

    asyncio.run(main())


def test_message_of_an_unknown_kind_is_skipped_and_the_link_stays_open():
    async def main():
        async with linked((Grant,), (Grant, Queued, Withdraw)) as (listener, caller, taken):
            caller.send(listener.me.address, GRANT)
            await until(lambda: taken)
            link = caller._outgoing[listener.me.address]
            # Emulates a version that ignores the announced kinds.
            link.connection.peer_kinds = frozenset({"grant", "queued", "withdraw"})
            for message in (QUEUED, QUEUED, WITHDRAW, GRANT):
                caller.send(listener.me.address, message)
            await until(lambda: len(taken) == 2)
            assert taken == [GRANT, GRANT]
            assert listener.counters.skipped == 3
            assert {kind for _, kind in listener._logged_kinds} == {"queued", "withdraw"}
            assert caller._outgoing[listener.me.address] is link
            # Skipped messages are confirmed; otherwise the link would count as silent.
            listener.keep_alive(0.01)
            await until(lambda: link.unconfirmed.count == 0)

    asyncio.run(main())


def test_a_damaged_frame_still_ends_the_link():
    async def main():
        async with linked((Grant,), (Grant,)) as (listener, caller, taken):
            caller.send(listener.me.address, GRANT)
            await until(lambda: taken)
            link = caller._outgoing[listener.me.address]
            link.connection._writer.write(b"\x93\x01\x02\xa5grant")
            await until(lambda: link.connection is None)

    asyncio.run(main())


def test_peer_that_sends_a_kind_understands_all_kinds_added_with_it():
    kinds = PeerKinds(frozenset({"grant"}), frozenset({"held", "replica_ended"}))
    nothing = frozenset()
    assert not kinds.understands("p", nothing, "held")
    kinds.note_sent("p", "grant")
    assert not kinds.understands("p", nothing, "held")
    kinds.note_sent("p", "replica_ended")
    assert kinds.understands("p", nothing, "held")
    assert not kinds.understands("q", nothing, "held")
    assert not kinds.understands("p", nothing, "another")
    # Announced kinds take precedence over inferred ones.
    assert not kinds.understands("p", frozenset({"grant"}), "held")
    assert kinds.understands("q", frozenset({"grant", "held"}), "held")


def test_number_of_remembered_peers_is_bounded():
    kinds = PeerKinds(frozenset(), frozenset({"held"}))
    for number in range(MAX_PEERS + 1):
        kinds.note_sent(f"p{number}", "held")
    assert not kinds.understands("p0", frozenset(), "held")
    assert kinds.understands("p1", frozenset(), "held")
