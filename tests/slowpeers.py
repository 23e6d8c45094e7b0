"""
tests.slowpeers

Callers that read slowly beside normal ones, against a gateway process.
"""

import asyncio
import contextlib
import itertools
import socket
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from chalkyoke_fakes.platformfleet import HOST, KEY

SLOW_BYTES_PER_S = 1_024
# The receive buffer of a slow caller, in bytes: small, so that the gateway holds the rest.
SLOW_RECEIVE_BUFFER = 4_096
# Time between the starts of two slow callers, in seconds: the replicas of these tests share one
# process, which accepts no more connections at a time.
SLOW_SPACING_S = 0.008
DEADLINE_MS = 8_000
# Time between an answer and the next request of a normal caller, in seconds.
PAUSE_S = 0.2

_numbers = itertools.count(1)


@dataclass
class Outcome:
    """What the normal callers received.

    :ivar statuses: status of each answer; 0 for none or an incomplete one.
    :ivar took_s: seconds of each complete answer with status 200.
    """

    statuses: list = field(default_factory=list)
    took_s: list = field(default_factory=list)

    @property
    def served(self):
        return self.statuses.count(200) / max(1, len(self.statuses))

    def quantile_s(self, share):
        ordered = sorted(self.took_s)
        return ordered[int(share * (len(ordered) - 1))] if ordered else float("inf")


def encode_request(method, path, body=b"", answer_bytes=0):
    """Encode a request; the replica pads its answer to a size in bytes."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: slow-{next(_numbers)}\r\n"
        f"X-Deadline-Ms: {DEADLINE_MS}\r\nX-Credential: {KEY}\r\n"
        f"X-Answer-Bytes: {answer_bytes}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def peak_resident_mb(pid):
    """Return the peak resident memory of a process, in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM:")) * 1024 / 1e6


def system_buffer_bytes(callers, replica):
    """Return the bytes in the system's buffers of a gateway's connections.

    :param callers: address on which the gateway listens for callers.
    :param replica: address of a replica to which the gateway connects.
    """
    local, remote = _encode_address(callers), _encode_address(replica)
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == local or fields[2] == remote:
            total += sum(int(size, 16) for size in fields[4].split(":"))
    return total


def _encode_address(address):
    """Encode an address as in /proc/net/tcp."""
    ip, port = _split_address(address)
    return f"{int.from_bytes(socket.inet_aton(ip), sys.byteorder):08X}:{port:04X}"


def _split_address(address):
    ip, port = address.rsplit(":", 1)
    return ip, int(port)


def make_slow_socket():
    """Return a socket with a small receive buffer, which does not block."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER)
    raw.setblocking(False)
    return raw


async def read_late(address, request, size, pause_s):
    """Send a request, read its answer after a pause, and return its body.

    :raises asyncio.IncompleteReadError: when the answer is incomplete.
    """
    raw = make_slow_socket()
    await asyncio.get_running_loop().sock_connect(raw, _split_address(address))
    reader, writer = await asyncio.open_connection(sock=raw)
    reader._transport.pause_reading()
    writer.write(request)
    await asyncio.sleep(pause_s)
    reader._transport.resume_reading()
    await reader.readuntil(b"\r\n\r\n")
    body = await reader.readexactly(size)
    writer.close()
    return body


async def read_slowly(address, request):
    """Send a request and read its answer slowly until cancelled."""
    loop = asyncio.get_running_loop()
    with make_slow_socket() as raw, contextlib.suppress(OSError):
        await loop.sock_connect(raw, _split_address(address))
        await loop.sock_sendall(raw, request)
        while await loop.sock_recv(raw, SLOW_BYTES_PER_S):
            await asyncio.sleep(1.0)


async def call_repeatedly(address, make_request, until, outcome):
    """Send requests one after the other on a connection until a time on the loop's clock."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        reader, writer = await asyncio.open_connection(*_split_address(address))
        status = 200
        while status and loop.time() < until:
            began = time.monotonic()
            writer.write(make_request())
            try:
                status = await _read_answer(reader)
            except (OSError, asyncio.IncompleteReadError):
                status = 0
            outcome.statuses.append(status)
            if status == 200:
                outcome.took_s.append(time.monotonic() - began)
            await asyncio.sleep(PAUSE_S)
        writer.close()


async def _read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    lengths = [line for line in head.split("\r\n") if line.startswith("content-length:")]
    if lengths:
        await reader.readexactly(int(lengths[0].split(":")[1]))
    else:
        while size := int(await reader.readline(), 16):
            await reader.readexactly(size + 2)
        await reader.readline()
    return int(head.split(" ")[1])


async def run_load(address, seconds, *, slow=(), make_request, normal=100):
    """Run slow callers beside normal ones, and return what the normal ones received.

    :param slow: the requests of the slow callers, one caller for each.
    """
    slow_tasks = []
    for request in slow:
        slow_tasks.append(asyncio.create_task(read_slowly(address, request)))
        await asyncio.sleep(SLOW_SPACING_S)
    outcome = Outcome()
    until = asyncio.get_running_loop().time() + seconds
    calls = (call_repeatedly(address, make_request, until, outcome) for _ in range(normal))
    await asyncio.gather(*calls)
    for task in slow_tasks:
        task.cancel()
    await asyncio.gather(*slow_tasks, return_exceptions=True)
    return outcome
