"""
chalkyoke.tests.test_sockets

What the operating system tells of sent bytes, and the local ports of outgoing connections.
"""

import asyncio
import re
import socket
from pathlib import Path

from chalkyoke import sockets
from chalkyoke.callsessions import CallConnector
from chalkyoke.sockets import connect, unacknowledged_bytes

SMALL_BUFFER = 2_048


class Transport:
    """The part of a transport that gives access to its socket."""

    def __init__(self, raw):
        self._raw = raw

    def get_extra_info(self, name):
        return self._raw if name == "socket" else None


def connect_pair():
    """Connect two sockets, of which the second one receives little before it is read."""
    with socket.socket() as listening:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        near = socket.create_connection(listening.getsockname())
        far, _ = listening.accept()
    return near, far


def test_bytes_count_until_the_peer_has_acknowledged_them():
    near, far = connect_pair()
    with near, far:
        near.setblocking(False)
        sent = near.send(b"x" * 1_000_000)
        assert 0 < unacknowledged_bytes(Transport(near)) <= sent
        while unacknowledged_bytes(Transport(near)):
            far.recv(65_536)


def test_a_closed_socket_tells_nothing():
    near, far = connect_pair()
    near.close()
    far.close()
    assert unacknowledged_bytes(Transport(near)) is None
    assert unacknowledged_bytes(Transport(None)) is None


def create_server():
    """Listen on a loopback address that no other program of the machine uses, if there is one.

    A connection may get a local port that another program's connection has to another address, and
    that program need not let others listen on it.
    """
    try:
        return socket.create_server(("::1", 0), family=socket.AF_INET6)
    except OSError:
        return socket.create_server(("127.0.0.1", 0))


def listen_on(address, family):
    """Listen as a process does that starts at an address."""
    with socket.socket(family) as listening:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(address)
        listening.listen()


def test_the_port_of_an_outgoing_connection_can_be_listened_on():
    """Guards against a host that did not start since a connection of another one had its port."""

    async def main():
        with create_server() as server:
            transport, _ = await connect(asyncio.Protocol, *server.getsockname()[:2])
            own = transport.get_extra_info("sockname")
            listen_on(own, server.family)
            transport.close()
            await asyncio.sleep(0.01)
            # The port is still in use for a minute after the end that closed first.
            listen_on(own, server.family)

    asyncio.run(main())


# Calls that open an outgoing connection of the event loop.
OUTGOING = re.compile(r"\b(create_connection|open_connection|sock_connect)\(")


def test_only_one_module_opens_outgoing_connections():
    """Guards against connections whose ports no host can listen on."""
    package = Path(sockets.__file__).parent
    found = {
        str(path.relative_to(package))
        for path in package.rglob("*.py")
        if "tests" not in path.parts and OUTGOING.search(path.read_text(encoding="utf-8"))
    }
    assert found == {"sockets.py"}


def test_the_client_library_shares_the_ports_of_its_connections():
    """Guards against the same in the other front, whose library opens its sockets itself."""

    async def main():
        connector = CallConnector()
        address = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", ("127.0.0.1", 1))
        with connector._socket_factory(address) as created:
            assert created.getsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR) == 1
        await connector.close()

    asyncio.run(main())
