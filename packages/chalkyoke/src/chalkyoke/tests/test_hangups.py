"""
chalkyoke.tests.test_hangups

The end of a connection is noticed although nobody reads from it.
"""

import asyncio
import socket
import struct

import pytest
from chalkyoke import hangups
from chalkyoke.hangups import CHECK_INTERVAL_S, HangupWatch, has_hung_up

from tests import virtual

RESET = struct.pack("ii", 1, 0)


class Transport:
    """The part of a transport that gives access to its socket."""

    def __init__(self, raw):
        self._raw = raw

    def get_extra_info(self, name):
        return self._raw if name == "socket" else None


def leave(how, far):
    if how == "half-close":
        far.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    far.close()


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
def test_a_peer_that_left_is_noticed_behind_unread_bytes(how):
    with socket.create_server(("127.0.0.1", 0)) as listening:
        far = socket.create_connection(listening.getsockname())
        near, _ = listening.accept()
    with near, far:
        far.sendall(b"unread")
        assert not has_hung_up(Transport(near))
        leave(how, far)
        assert has_hung_up(Transport(near))
    assert not has_hung_up(Transport(near))


def test_a_watch_reports_a_hangup_once_and_only_while_it_runs(monkeypatch):
    async def main():
        left, noticed = [False], []
        monkeypatch.setattr(hangups, "has_hung_up", lambda _: left[0])
        watch = HangupWatch(Transport(None), lambda: noticed.append(True))
        watch.start()
        await asyncio.sleep(3 * CHECK_INTERVAL_S)
        watch.stop()
        left[0] = True
        await asyncio.sleep(3 * CHECK_INTERVAL_S)
        assert not noticed
        watch.start()
        await asyncio.sleep(3 * CHECK_INTERVAL_S)
        assert noticed == [True]

    virtual.run(main)
