"""
chalkyoke_fakes.soak.largeuploads

Callers of one node whose bodies together exceed its host's memory: declared or in chunks, fast or
slow, most of them without their last byte, and again after a refusal.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from chalkyoke_fakes.memoryload.connection import Connection
from chalkyoke_fakes.memoryload.manners import Manner, draw_upload
from chalkyoke_fakes.memoryload.records import Ending
from chalkyoke_fakes.memoryload.uploading import send_upload

MANNERS = (Manner.UPLOADS, Manner.CHUNKED, Manner.SLOW_UPLOADS)
# Share of the bodies that are sent whole; the others keep their last byte back.
WHOLE_SHARE = 0.1
# Time between a refusal and the next try, and between two tries to connect, in seconds.
AGAIN_S = 0.3


@dataclass(frozen=True, slots=True)
class UploadEnd:
    """The end of an upload that was sent whole, or whose body was begun.

    :param began: when its last byte was sent, from which on its time limit counts, or else when it
        ended; in seconds since the run began.
    :param finished: whether it was sent whole.
    """

    name: str
    began: float
    ended: float
    finished: bool
    ending: Ending
    status: int
    body: bytes


class LargeUploader:
    """One caller that uploads again and again for some time.

    :param address: where the node listens for callers.
    :param now: returns the seconds since the run began.
    """

    def __init__(self, address: str, name: str, path: str, now: Callable[[], float]) -> None:
        self._address = address
        self._name = name
        self._path = path
        self._now = now

    async def run(self, until: float) -> list[UploadEnd]:
        """Upload until a time, and return the uploads that a node answered or could have run.

        :param until: when callers leave that keep their last byte, in seconds of the run.
        """
        source = random.Random(self._name)
        found: list[UploadEnd] = []
        number = 0
        while self._now() < until:
            number += 1
            # A node that is down accepts no connection.
            with contextlib.suppress(OSError):
                found.append(await self._upload_once(f"{self._name}-{number}", source, until))
            await asyncio.sleep(AGAIN_S)
        return found

    async def _upload_once(self, name: str, source: random.Random, until: float) -> UploadEnd:
        upload = draw_upload(source.choice(MANNERS), source, WHOLE_SHARE)
        began = self._now()
        async with Connection(self._address) as connection:
            leaves_in_s = max(0.0, until - began)
            sent = await send_upload(connection, upload, name, self._path, leaves_in_s)
        ended = self._now()
        since = ended - sent.answered_in_s
        return UploadEnd(name, since, ended, sent.finished, sent.ending, sent.status, sent.body)
