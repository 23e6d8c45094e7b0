"""
chalkyoke.sockets

Socket options that all packages set in the same way.
"""

import asyncio
import asyncio.trsock
import contextlib
import errno
import fcntl
import os
import socket
import struct
import termios
from collections.abc import Callable
from typing import TypeVar

P = TypeVar("P", bound=asyncio.BaseProtocol)
SocketOptions = socket.socket | asyncio.trsock.TransportSocket

# How long a start waits for an address that is in use, in seconds: longer than a port stays in use
# after its connection was closed.
LISTEN_WAIT_S = 75.0
# Number of new connections that may wait for accept on a link, as asyncio has it.
BACKLOG_CONNECTIONS = 100
# Number of callers' connections that are accepted before others are closed to make room for them.
ACCEPTED_AT_ONCE = 16
# An int of the C language, as ioctl returns it.
_C_INT = struct.Struct("i")
# SO_LINGER with a timeout of 0 s: closing the socket sends a reset and discards unsent data.
_NO_LINGER = struct.pack("ii", 1, 0)


async def connect(make: Callable[[], P], ip: str, port: int) -> tuple[asyncio.Transport, P]:
    """Open a connection whose local port keeps no process of this host from listening on it.

    The operating system picks the port, which may be one on which a process is about to listen.

    :param make: creates the protocol of the connection.
    :raises OSError: when the address can't be reached.
    """
    transport, protocol = await asyncio.get_running_loop().create_connection(make, ip, port)
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is not None:
        # The connection may have been closed by the system already.
        with contextlib.suppress(OSError):
            share_port(tcp_socket)
    return transport, protocol


async def listen(
    make: Callable[[], asyncio.BaseProtocol],
    ip: str,
    port: int,
    backlog: int = BACKLOG_CONNECTIONS,
    accepted_at_once: int | None = None,
) -> asyncio.Server:
    """Listen on an address.

    :param make: creates the protocol of an accepted connection.
    :param backlog: number of new connections that may wait for accept.
    :param accepted_at_once: number of connections that one iteration of the loop accepts; all that
        wait if None.
    :raises OSError: if the address can't be bound, or this process may open no more descriptors;
        asyncio alone would then return a server that listens nowhere.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        make, ip, port, backlog=accepted_at_once or backlog, reuse_address=True
    )
    if not server.sockets:
        raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
    if accepted_at_once is not None:
        set_backlog(server, backlog)
    return server


def set_backlog(server: asyncio.Server, backlog: int) -> None:
    """Set how many new connections may wait for accept.

    asyncio accepts as many at once as it was told to let wait; this changes the second number only.
    """
    for each in server.sockets:
        with each.dup() as listening:
            listening.listen(backlog)


def accept_waiting(server: asyncio.Server, most: int) -> list[socket.socket]:
    """Accept the connections that wait on the sockets of a server; closing it would reset them.

    :param most: number of connections to accept from each socket.
    """
    accepted: list[socket.socket] = []
    for each in server.sockets:
        # No connection waits any more, or the system has no descriptor left.
        with contextlib.suppress(OSError), each.dup() as listening:
            for _ in range(most):
                accepted.append(listening.accept()[0])
    return accepted


def share_port(outgoing: SocketOptions) -> None:
    """Let a process of this host listen on the local port of an outgoing connection.

    The port stays usable after the connection was closed, too.
    """
    outgoing.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)


def set_user_timeout(
    connection: asyncio.BaseTransport | asyncio.StreamWriter, milliseconds: int
) -> None:
    """Make the operating system close a connection whose peer stops acknowledging data.

    This detects a network partition. It has no effect where the system lacks ``TCP_USER_TIMEOUT``.

    :param connection: a transport, or a stream writer.
    :param milliseconds: longest time without an acknowledgement of sent data.
    """
    tcp_socket = connection.get_extra_info("socket")
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if tcp_socket is not None and option is not None:
        tcp_socket.setsockopt(socket.IPPROTO_TCP, option, milliseconds)


def bound_unsent(connection: asyncio.BaseTransport | SocketOptions, size: int) -> None:
    """Bound the bytes that the operating system accepts before it can send them.

    Unlike a small ``SO_SNDBUF``, this does not slow down a peer that reads: bytes in transit do not
    count. It has no effect where the system lacks ``TCP_NOTSENT_LOWAT``.

    :param connection: a transport, or a socket.
    :param size: in bytes.
    """
    tcp_socket = _find_socket(connection)
    option = getattr(socket, "TCP_NOTSENT_LOWAT", None)
    if tcp_socket is not None and option is not None:
        tcp_socket.setsockopt(socket.IPPROTO_TCP, option, size)


def bound_unread(connection: asyncio.BaseTransport | SocketOptions, size: int) -> None:
    """Bound the bytes that the operating system receives before the program reads them.

    :param connection: a transport, or a listening socket: for all connections that it accepts.
    :param size: in bytes; the system may use up to twice as much.
    """
    tcp_socket = _find_socket(connection)
    if tcp_socket is not None:
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def bound_reads(connection: asyncio.BaseTransport, size: int) -> None:
    """Bound the bytes that the program reads at a time.

    It has no effect on transports of other event loops than asyncio's own.

    :param size: in bytes.
    """
    if hasattr(connection, "max_size"):
        connection.max_size = size


def unacknowledged_bytes(connection: asyncio.BaseTransport) -> int | None:
    """Return the bytes that the operating system has accepted and the peer's has not acknowledged.

    The end of the stream counts as one byte.

    :return: None if the connection is closed, or the system does not tell.
    """
    tcp_socket = connection.get_extra_info("socket")
    if tcp_socket is None or tcp_socket.fileno() < 0:
        return None
    try:
        answer = fcntl.ioctl(tcp_socket.fileno(), termios.TIOCOUTQ, bytes(_C_INT.size))
    except OSError:
        return None
    found: int = _C_INT.unpack(answer)[0]
    return found


def reset_when_closed(connection: asyncio.BaseTransport) -> None:
    """Make the operating system reset the connection, and drop unsent bytes, when it is closed."""
    tcp_socket = connection.get_extra_info("socket")
    if tcp_socket is not None:
        # The connection may have been closed by the system already.
        with contextlib.suppress(OSError):
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def _find_socket(connection: asyncio.BaseTransport | SocketOptions) -> SocketOptions | None:
    """Return a socket as it is, or that of a transport; None if the transport has none."""
    if isinstance(connection, socket.socket | asyncio.trsock.TransportSocket):
        return connection
    found: SocketOptions | None = connection.get_extra_info("socket")
    return found
