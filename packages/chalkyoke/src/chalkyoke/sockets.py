"""
chalkyoke.sockets

Options of connections that all slices set alike.
"""

import asyncio
import socket


def set_user_timeout(
    connection: asyncio.BaseTransport | asyncio.StreamWriter, milliseconds: int
) -> None:
    """Let the system end a connection whose peer acknowledges nothing for so long, as behind a cut.

    :param connection: a transport, or a writer over one.
    """
    found = connection.get_extra_info("socket")
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if found is not None and option is not None:
        found.setsockopt(socket.IPPROTO_TCP, option, milliseconds)
