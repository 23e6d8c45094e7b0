"""
chalkyoke_fakes.resets

Reset connections of stand-ins.
"""

import asyncio
import socket
import struct

# SO_LINGER with a timeout of 0 s: closing the socket sends a reset and discards unsent data.
LINGER_NOT_AT_ALL = struct.pack("ii", 1, 0)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset.

    Without this, an abort looks like the regular end of an answer that ends with its connection.
    """
    accepted = writer.get_extra_info("socket")
    if accepted is not None and not writer.transport.is_closing():
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT_AT_ALL)
    writer.transport.abort()
