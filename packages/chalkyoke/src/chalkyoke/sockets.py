"""
chalkyoke.sockets

Socket options that all packages set in the same way.
"""

import asyncio
import socket


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
