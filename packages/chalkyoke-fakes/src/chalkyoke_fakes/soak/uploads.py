"""
chalkyoke_fakes.soak.uploads

Callers whose bodies end late beside a planned stop of their node: each gets an answer.
"""

import asyncio
import random
from collections.abc import Callable

from chalkyoke_fakes.leaving import encode_request
from chalkyoke_fakes.platformfleet import CallerResponse
from chalkyoke_fakes.soak.dispatched import NODE_ENDS
from chalkyoke_fakes.soak.observations import CallerAttempt, Observations, Violation

# Size of a body in bytes: the node reads it for up to 6 s.
BODY_BYTES = 90_000
# Time in which a body arrives, and the time that its request takes at a replica, in seconds. Most
# answers end close to the end of a stop that begins with the upload.
MIN_UPLOAD_S, MAX_UPLOAD_S = 0.5, 5.5
WORK_S = 2.5


class Upload:
    """A request to a plain service whose body ends late.

    :param address: where the node listens for callers.
    :param name: id of the request.
    :param now: returns the seconds since the run began.
    :ivar sent_at: when the last byte was sent.
    """

    def __init__(self, address: str, name: str, path: str, now: Callable[[], float]) -> None:
        self._address = address
        self._name = name
        self._path = path
        self._now = now
        self._upload_s = random.Random(name).uniform(MIN_UPLOAD_S, MAX_UPLOAD_S)
        self.sent_at = 0.0

    async def send(self, timeout_s: float) -> CallerResponse | None:
        """Send the request and wait for its answer.

        :return: None where the node did not accept the connection. The status is 0 where the
            connection ended without an answer, or none came in time.
        """
        ip, port = self._address.rsplit(":", 1)
        body = b"x" * BODY_BYTES
        data = encode_request(self._name, "POST", self._path, body, work_s=WORK_S)
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return None
        try:
            writer.write(data[:-1])
            await asyncio.sleep(self._upload_s)
            writer.write(data[-1:])
            self.sent_at = self._now()
            async with asyncio.timeout(timeout_s):
                return await _read_response(reader)
        except (OSError, asyncio.IncompleteReadError):
            return CallerResponse(0, {}, b"", whole=False)
        finally:
            writer.close()


async def _read_response(reader: asyncio.StreamReader) -> CallerResponse:
    """Read an answer that states its length.

    :raises OSError: if the connection breaks.
    :raises asyncio.IncompleteReadError: if it ends before the end of the answer.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *fields = head.rstrip("\r\n").split("\r\n")
    pairs = (each.partition(":") for each in fields)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers["content-length"]))
    return CallerResponse(int(status_line.split(" ")[1]), headers, body, whole=True)


def uploads_are_answered(observations: Observations) -> list[Violation]:
    """Check that each request whose body ended late got an answer.

    Excused are those whose node was killed or suspended.
    """
    return [
        Violation("uploads are answered", f"{each.request} got nothing at {each.node}")
        for each in observations.attempts
        if each.request in observations.uploads
        and not each.status
        and not _is_excused(each, observations)
    ]


def _is_excused(attempt: CallerAttempt, observations: Observations) -> bool:
    return any(
        each.fault in NODE_ENDS
        and each.target == attempt.node
        and each.overlaps(attempt.began - MAX_UPLOAD_S, attempt.ended)
        for each in observations.faults
    )
