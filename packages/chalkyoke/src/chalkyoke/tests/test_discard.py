"""
chalkyoke.tests.test_discard

A discarded connection delivers nothing more, and its peer hears of its end.
"""

import asyncio
import contextlib

import pytest
from chalkyoke import discard
from chalkyoke.discard import (
    CHECK_INTERVAL_S,
    MAX_FIN_TIME_S,
    ONLY_FIN_BYTES,
    RESET_DELAY_S,
    Discard,
)
from chalkyoke.http1.tests.transports import RecordingTransport

from tests import virtual

# More than the system's buffers take.
LARGE_BODY = b"x" * 20_000_000


class Peer(asyncio.Protocol):
    """The other side of a connection.

    :param takes_fin: whether it closes its side at a FIN.
    """

    def __init__(self, takes_fin):
        self._takes_fin = takes_fin
        self.received = 0
        self.got_fin = False
        self.lost = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += len(data)

    def eof_received(self):
        self.got_fin = True
        return not self._takes_fin

    def connection_lost(self, exc):
        self.lost.set_result(exc)


def discard_after(body, *, takes_fin=True, reads=True, check):
    """Send a body, discard the connection and check what its peer saw."""

    async def main():
        loop = asyncio.get_running_loop()
        accepted = loop.create_future()

        def accept():
            peer = Peer(takes_fin)
            accepted.set_result(peer)
            return peer

        server = await loop.create_server(accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        transport, own = await loop.create_connection(lambda: Peer(True), "127.0.0.1", port)
        peer = await accepted
        if not reads:
            peer.transport.pause_reading()
        transport.write(body)
        await asyncio.sleep(0.05)
        Discard(transport)
        await own.lost
        peer.transport.resume_reading()
        await check(peer)
        server.close()

    asyncio.run(main())


def test_what_the_peer_has_not_taken_is_dropped():
    async def check(peer):
        assert isinstance(await peer.lost, ConnectionResetError)
        assert peer.received < len(LARGE_BODY)

    discard_after(LARGE_BODY, reads=False, check=check)


def test_a_peer_that_has_received_everything_sees_a_close():
    async def check(peer):
        assert await peer.lost is None
        assert (peer.got_fin, peer.received) == (True, 4)

    discard_after(b"GET ", check=check)


def test_a_peer_that_takes_no_fin_for_an_end_is_reset():
    async def check(peer):
        # The event loop reads no more after a FIN, so the reset shows in a write only.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(5.0):
                while not peer.lost.done():
                    peer.transport.write(b"still at work")
                    await asyncio.sleep(0.01)
        assert isinstance(peer.lost.result(), ConnectionError)

    discard_after(b"GET ", takes_fin=False, check=check)


class EndingTransport(RecordingTransport):
    aborted_at = None

    def abort(self):
        super().abort()
        self.aborted_at = asyncio.get_running_loop().time()


@pytest.mark.parametrize(
    ("acknowledged_after_s", "reset_after_s"),
    [(0.01, RESET_DELAY_S), (1.1, 1.2), (60.0, MAX_FIN_TIME_S)],
)
def test_a_fin_that_a_link_holds_up_is_not_replaced_by_a_reset(
    acknowledged_after_s, reset_after_s, monkeypatch
):
    """The reset would be lost on that link, and the peer would work on."""

    async def main():
        loop, transport = asyncio.get_running_loop(), EndingTransport()
        began = loop.time()

        def unacknowledged_bytes(_):
            if not transport.ended:
                return 0
            return 0 if loop.time() - began > acknowledged_after_s else ONLY_FIN_BYTES

        monkeypatch.setattr(discard, "unacknowledged_bytes", unacknowledged_bytes)
        Discard(transport)
        assert transport.ended
        await asyncio.sleep(2 * MAX_FIN_TIME_S)
        assert transport.aborted_at == pytest.approx(reset_after_s, abs=CHECK_INTERVAL_S)

    virtual.run(main)


@pytest.mark.parametrize(("unsent", "unacknowledged"), [(1, 0), (0, 1)])
def test_a_connection_whose_peer_lacks_a_part_of_a_request_is_reset_at_once(
    unsent, unacknowledged, monkeypatch
):
    async def main():
        monkeypatch.setattr(discard, "unacknowledged_bytes", lambda _: unacknowledged)
        transport = RecordingTransport()
        transport.unsent = unsent
        Discard(transport)
        assert transport.aborted and not transport.ended

    virtual.run(main)
