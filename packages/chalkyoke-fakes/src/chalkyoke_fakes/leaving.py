"""
chalkyoke_fakes.leaving

Callers that leave before they have an answer, and what replicas still did for them afterwards.
"""

import asyncio
import contextlib
import socket
import time
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import StrEnum

from chalkyoke_fakes.platformfleet import HOST, KEY
from chalkyoke_fakes.replica import WORK_HEADER, Replica
from chalkyoke_fakes.resets import reset_connection

# Time after a caller's close by which its request must have been given up, in seconds.
GRACE_S = 0.5
# Number of requests that may reach a replica later than that.
MAX_LATE_ARRIVALS = 3
# Share of the requests that would run for longer than that which may still run then.
MAX_WORKING_SHARE = 0.25
# The receive buffer of a caller that reads nothing, in bytes: small, so that the node holds the
# rest of the answer.
SMALL_RECEIVE_BUFFER = 4_096
# Number of requests that a pipelining caller sends on its connection.
PIPELINED_REQUESTS = 40
DEADLINE_MS = 8_000
# Path prefix of the stand-in's requests that must not be repeated; their work may go on without
# their callers.
ONCE_PREFIX = "/book/"


class Leave(StrEnum):
    """How a caller leaves."""

    CLOSE = "closes its connection"
    RESET = "resets its connection"
    UNREAD = "closes with a part of its answer unread"
    UNREAD_RESET = "resets with a part of its answer unread"
    UPLOADING = "closes in the middle of its request body"
    PIPELINED = "closes after many requests on one connection"


@dataclass(frozen=True, slots=True)
class Departure:
    """A caller that has left.

    :param requests: ids of the requests that it had sent.
    :param at: when its close reached the node, in seconds of the monotonic clock.
    """

    requests: tuple[str, ...]
    at: float


@dataclass(frozen=True, slots=True)
class AbandonedWork:
    """What replicas did for callers that had left.

    :param requests: number of requests whose callers have left.
    :param late: number of requests that reached a replica more than :data:`GRACE_S` later.
    :param working: number of requests at which a replica still worked then.
    :param lasting: number of requests at which a replica would have worked then.
    """

    requests: int
    late: int
    working: int
    lasting: int

    @property
    def is_allowed(self) -> bool:
        """Whether replicas did little enough for callers that had left."""
        if self.late > MAX_LATE_ARRIVALS:
            return False
        return self.working <= MAX_WORKING_SHARE * self.lasting


def encode_request(
    name: str, method: str, path: str, body: bytes = b"", *, work_s: float = 0.0
) -> bytes:
    """Encode a request.

    :param name: id of the request.
    :param work_s: shortest time that it runs at a replica, in seconds.
    """
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\n"
        f"X-Deadline-Ms: {DEADLINE_MS}\r\nX-Credential: {KEY}\r\n{WORK_HEADER}: {work_s}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def leave_node(
    address: str, requests: dict[str, bytes], after_s: float, how: Leave
) -> Departure:
    """Send requests on one connection, and leave before their answers are complete.

    :param address: where the node listens for callers.
    :param requests: the encoded requests by their ids.
    :param after_s: time between the requests and the close, in seconds.
    :raises OSError: when the node can't be reached.
    """
    ip, port = address.rsplit(":", 1)
    reads = how not in (Leave.UNREAD, Leave.UNREAD_RESET)
    raw = socket.socket()
    if not reads:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
    raw.setblocking(False)
    await asyncio.get_running_loop().sock_connect(raw, (ip, int(port)))
    reader, writer = await asyncio.open_connection(sock=raw)
    sent = b"".join(requests.values())
    if how is Leave.UPLOADING:
        sent = sent[: -len(sent) // 2]
    writer.write(sent)
    reading = asyncio.ensure_future(_read_all(reader)) if reads else None
    if reading is None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
    await asyncio.sleep(after_s)
    if reading is not None:
        reading.cancel()
    if how in (Leave.RESET, Leave.UNREAD_RESET):
        reset_connection(writer)
    else:
        writer.transport.abort()
    return Departure(tuple(requests), time.monotonic())


def measure_abandoned_work(
    departures: Iterable[Departure],
    replicas: Iterable[Replica],
    held: Collection[tuple[float, float]] = (),
) -> AbandonedWork:
    """Count what replicas did for callers that had left.

    Requests that must not be repeated count as arrivals only, and so do those whose end no link to
    a replica could carry in time.

    :param held: when links held all bytes up, as begin and end in seconds of the monotonic clock.
    """
    left_at = {request: each.at for each in departures for request in each.requests}
    late = working = lasting = 0
    for received in (received for replica in replicas for received in replica.seen):
        left = left_at.get(received.headers["x-request-id"])
        if left is None:
            continue
        arrived, ended = received.at - left, received.ended_at - left
        late += arrived > GRACE_S
        may_go_on = received.target.startswith(ONCE_PREFIX) or any(
            begin < left + GRACE_S and left < end for begin, end in held
        )
        if not may_go_on and arrived <= GRACE_S < arrived + received.work_s:
            lasting += 1
            working += ended > GRACE_S
    return AbandonedWork(len(left_at), late, working, lasting)


async def _read_all(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(ConnectionError):
        while await reader.read(65_536):
            pass
