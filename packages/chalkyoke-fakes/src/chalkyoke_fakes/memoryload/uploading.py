"""
chalkyoke_fakes.memoryload.uploading

Send one upload, and read its answer meanwhile or afterwards.
"""

import asyncio
from dataclasses import dataclass

from chalkyoke_fakes.memoryload.connection import BrokenConnectionError, Connection
from chalkyoke_fakes.memoryload.manners import Upload
from chalkyoke_fakes.memoryload.records import Ending, judge_status

# Time after which a caller stops waiting for its answer, in seconds: its deadline and some more.
ANSWER_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class ReceivedEnd:
    """How a request ended for its caller.

    :param finished: whether its last byte was sent before.
    :param status: status of the answer; 0 for none.
    :param body: the first bytes of the answer's body.
    :param answered_in_s: time from the last byte of an upload that was sent whole to its end, in
        seconds.
    """

    finished: bool
    ending: Ending
    status: int = 0
    body: bytes = b""
    answered_in_s: float = 0.0


async def send_upload(
    connection: Connection,
    upload: Upload,
    name: str,
    path: str,
    leaves_in_s: float,
) -> ReceivedEnd:
    """Send an upload and wait for its answer.

    :param leaves_in_s: time after which the caller leaves if it does not send its last byte.
    """
    sending = asyncio.create_task(_send_body(connection, upload, name, path))
    try:
        if upload.reads_late:
            await asyncio.wait((sending,))
            if sending.exception() is not None:
                return ReceivedEnd(False, Ending.CLOSED)
        async with asyncio.timeout(None if upload.is_whole else leaves_in_s):
            return await _read_beside(connection, sending)
    except TimeoutError:
        return ReceivedEnd(False, Ending.LEFT)
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)


async def receive_answer(connection: Connection) -> ReceivedEnd:
    """Read the answer to a request that was sent."""
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            response = await connection.read_response()
    except BrokenConnectionError as error:
        return ReceivedEnd(True, Ending.CUT if error.began else Ending.CLOSED)
    except TimeoutError:
        return ReceivedEnd(True, Ending.WAITING)
    return ReceivedEnd(True, judge_status(response.status), response.status, response.body)


async def _send_body(connection: Connection, upload: Upload, name: str, path: str) -> float | None:
    """Send a request; return when it was sent whole, on the loop's clock; None if it was not."""
    await connection.send([upload.head(name, path)])
    await connection.send(upload.parts(), upload.pause_s)
    await asyncio.sleep(upload.hold_s)
    if upload.is_whole:
        await connection.send([upload.last])
    return asyncio.get_running_loop().time() if upload.is_whole else None


async def _read_beside(
    connection: Connection, sending: "asyncio.Task[float | None]"
) -> ReceivedEnd:
    """Read the answer while the request is sent."""
    reading = asyncio.create_task(connection.read_response())
    try:
        await asyncio.wait((sending, reading), return_when=asyncio.FIRST_COMPLETED)
        if not reading.done() and _is_whole(sending):
            await asyncio.wait((reading,), timeout=ANSWER_TIMEOUT_S)
            if not reading.done():
                return ReceivedEnd(True, Ending.WAITING, answered_in_s=ANSWER_TIMEOUT_S)
        response = await reading
        status = response.status
        ending = judge_status(status)
        answered_in_s = _since_whole_s(sending)
        return ReceivedEnd(_is_whole(sending), ending, status, response.body, answered_in_s)
    except BrokenConnectionError as error:
        ending = Ending.CUT if error.began else Ending.CLOSED
        return ReceivedEnd(_is_whole(sending), ending, answered_in_s=_since_whole_s(sending))
    finally:
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)


def _is_whole(sending: "asyncio.Task[float | None]") -> bool:
    return sending.done() and sending.exception() is None and sending.result() is not None


def _since_whole_s(sending: "asyncio.Task[float | None]") -> float:
    """Return the time since the last byte was sent, in seconds; 0 if it was not."""
    if not _is_whole(sending):
        return 0.0
    return asyncio.get_running_loop().time() - (sending.result() or 0.0)
