"""
chalkyoke_fakes.resets

Reset connections of stand-ins, and notice that a peer has reset one.
"""

import asyncio
import select
import socket
import struct

# SO_LINGER with a timeout of 0 s: closing the socket sends a reset and discards unsent data.
LINGER_NOT_AT_ALL = struct.pack("ii", 1, 0)
# Interval at which a connection is checked for a reset, in seconds.
RESET_CHECK_S = 0.02


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset.

    Without this, an abort looks like the regular end of an answer that ends with its connection.
    """
    accepted = writer.get_extra_info("socket")
    if accepted is not None and not writer.transport.is_closing():
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT_AT_ALL)
    writer.transport.abort()


def is_reset(writer: asyncio.StreamWriter) -> bool:
    """Return whether the peer has reset a connection.

    The event loop does not tell after the peer has closed its side, as it reads no more.
    """
    accepted = writer.get_extra_info("socket")
    if accepted is None or accepted.fileno() < 0:
        return writer.transport.is_closing()
    check = select.poll()
    check.register(accepted.fileno(), select.POLLERR)
    return bool(check.poll(0))


async def wait_for_reset(writer: asyncio.StreamWriter) -> None:
    """Wait until the peer has reset a connection."""
    while not is_reset(writer):
        await asyncio.sleep(RESET_CHECK_S)
