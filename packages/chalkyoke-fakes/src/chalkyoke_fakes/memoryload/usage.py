"""
chalkyoke_fakes.memoryload.usage

The memory that a process uses: what is resident, and what its system holds unread for its sockets.
"""

import os
import socket
import sys
from collections.abc import Collection
from pathlib import Path

BYTES_PER_MB = 1_000_000
SOCKETS = Path("/proc/net/tcp")
LISTENING_STATE = "0A"
# Inode of a connection that its process has not accepted yet.
NO_INODE = "0"


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes; 0 if the process has ended."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
    except (OSError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


def peak_resident_bytes(pid: int) -> int:
    """Return the most resident memory that a process has had, in bytes; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    except OSError:
        return 0
    peak = [int(line.split()[1]) for line in lines if line.startswith("VmHWM:")]
    return peak[0] * 1024 if peak else 0


def unread_bytes(pid: int, listening: Collection[str]) -> int:
    """Return the bytes that have arrived for a process's sockets and that it has not read.

    :param listening: the addresses on which the process listens; connections that it has not
        accepted yet count as well.
    """
    inodes = _socket_inodes(pid)
    local = {encode_address(each) for each in listening}
    total = 0
    for line in SOCKETS.read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        # The receive queue of a listening socket is a number of connections.
        if fields[3] == LISTENING_STATE:
            continue
        inode = fields[9]
        if inode in inodes or (inode == NO_INODE and fields[1] in local):
            total += int(fields[4].partition(":")[2], 16)
    return total


def encode_address(address: str) -> str:
    """Encode ``ip:port`` as in ``/proc/net/tcp``."""
    ip, port = address.rsplit(":", 1)
    return f"{int.from_bytes(socket.inet_aton(ip), sys.byteorder):08X}:{int(port):04X}"


def _socket_inodes(pid: int) -> set[str]:
    found = set()
    try:
        descriptors = list(Path(f"/proc/{pid}/fd").iterdir())
    except OSError:
        return set()
    for each in descriptors:
        try:
            target = str(each.readlink())
        except OSError:
            continue
        if target.startswith("socket:["):
            found.add(target[len("socket:[") : -1])
    return found
