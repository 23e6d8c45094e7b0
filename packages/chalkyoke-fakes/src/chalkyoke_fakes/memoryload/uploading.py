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
    """

    finished: bool
    ending: Ending
    status: int = 0
    body: bytes = b""


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


async def _send_body(connection: Connection, upload: Upload, name: str, path: str) -> bool:
    """Send a request; return whether it was sent whole."""
    await connection.send([upload.head(name, path)])
    await connection.send(upload.parts(), upload.pause_s)
    await asyncio.sleep(upload.hold_s)
    if upload.is_whole:
        await connection.send([upload.last])
    return upload.is_whole


async def _read_beside(connection: Connection, sending: "asyncio.Task[bool]") -> ReceivedEnd:
    """Read the answer while the request is sent."""
    reading = asyncio.create_task(connection.read_response())
    try:
        await asyncio.wait((sending, reading), return_when=asyncio.FIRST_COMPLETED)
        if not reading.done() and _is_whole(sending):
            await asyncio.wait((reading,), timeout=ANSWER_TIMEOUT_S)
            if not reading.done():
                return ReceivedEnd(True, Ending.WAITING)
        response = await reading
        status = response.status
        return ReceivedEnd(_is_whole(sending), judge_status(status), status, response.body)
    except BrokenConnectionError as error:
        ending = Ending.CUT if error.began else Ending.CLOSED
        return ReceivedEnd(_is_whole(sending), ending)
    finally:
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)


def _is_whole(sending: "asyncio.Task[bool]") -> bool:
    return sending.done() and sending.exception() is None and sending.result()
