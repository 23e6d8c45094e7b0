"""
chalkyoke.tests.test_sockets

What the operating system tells of sent bytes.
"""

import socket

from chalkyoke.sockets import unacknowledged_bytes

SMALL_BUFFER = 2_048


class Transport:
    """The part of a transport that gives access to its socket."""

    def __init__(self, raw):
        self._raw = raw

    def get_extra_info(self, name):
        return self._raw if name == "socket" else None


def connect():
    """Connect two sockets, of which the second one receives little before it is read."""
    with socket.socket() as listening:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        near = socket.create_connection(listening.getsockname())
        far, _ = listening.accept()
    return near, far


def test_bytes_count_until_the_peer_has_acknowledged_them():
    near, far = connect()
    with near, far:
        near.setblocking(False)
        sent = near.send(b"x" * 1_000_000)
        assert 0 < unacknowledged_bytes(Transport(near)) <= sent
        while unacknowledged_bytes(Transport(near)):
            far.recv(65_536)


def test_a_closed_socket_tells_nothing():
    near, far = connect()
    near.close()
    far.close()
    assert unacknowledged_bytes(Transport(near)) is None
    assert unacknowledged_bytes(Transport(None)) is None
