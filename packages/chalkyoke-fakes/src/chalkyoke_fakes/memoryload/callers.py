"""
chalkyoke_fakes.memoryload.callers

Callers of one node, of all manners; each records how its requests end.
"""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable

from chalkyoke_fakes.leaving import encode_request
from chalkyoke_fakes.memoryload.connection import BrokenConnectionError, Connection
from chalkyoke_fakes.memoryload.manners import (
    PIPELINED_REQUESTS,
    UPLOAD_MANNERS,
    Manner,
    Upload,
    draw_upload,
    encode_endless_head,
    encode_large_read,
    encode_pipelined,
)
from chalkyoke_fakes.memoryload.records import Ending, SentRequest
from chalkyoke_fakes.memoryload.uploading import ReceivedEnd, receive_answer, send_upload

# Time between two requests of a calm caller, and between two of any other, in seconds.
CALM_PAUSE_S = 0.1
PAUSE_S = 0.05
# Receive buffer and reads of a slow reader in bytes, and the time between its reads in seconds: a
# large answer takes some 5 s. The buffer of a caller that reads nothing.
SLOW_RECEIVE_BUFFER = SLOW_READ_BYTES = 65_536
SLOW_READ_PAUSE_S = 0.04
UNREAD_RECEIVE_BUFFER = 4_096
# Time between two tries to connect to a node that is down, in seconds.
RECONNECT_S = 0.1
CALM_REQUESTS = (("POST", "/book/1"), ("GET", "/find/1"), ("POST", "/chat/1"))


class Callers:
    """Send the requests of callers of one node.

    :param prefix: begin of the names of their requests.
    :param address: where the node listens for callers.
    :param now: returns the seconds since the play began.
    :param record: is called with each request that has ended.
    """

    def __init__(
        self,
        node: str,
        prefix: str,
        address: str,
        now: Callable[[], float],
        record: Callable[[SentRequest], None],
    ) -> None:
        self._node = node
        self._prefix = prefix
        self._address = address
        self._now = now
        self._record = record
        self._numbers = itertools.count(1)

    async def run(self, manner: Manner, seed: str, until: float) -> None:
        """Be one caller that comes again and again.

        :param until: when the last request begins, in seconds since the play began.
        """
        source = random.Random(seed)
        while self._now() < until:
            try:
                await self._call_once(manner, source, until)
            except OSError:
                await asyncio.sleep(RECONNECT_S)
            await asyncio.sleep(source.expovariate(1.0 / self._pause_s(manner)))

    def _pause_s(self, manner: Manner) -> float:
        return CALM_PAUSE_S if manner is Manner.CALM else PAUSE_S

    async def _call_once(self, manner: Manner, source: random.Random, until: float) -> None:
        name = self._make_name()
        if manner in UPLOAD_MANNERS:
            await self._upload(manner, draw_upload(manner, source), source, until)
        elif manner is Manner.PIPELINED:
            await self._pipeline(until)
        elif manner is Manner.HEADS:
            await self._send_endless_head(until)
        elif manner is Manner.IDLE:
            await self._stay_idle(until)
        elif manner is Manner.SLOW_READERS:
            await self._send(manner, name, encode_large_read(name), slow=True)
        elif manner is Manner.SLOW_STREAMS:
            request = encode_request(name, "POST", "/news/1", b"{}")
            await self._send(manner, name, request, slow=True)
        elif manner is Manner.ENDLESS:
            await self._send(manner, name, encode_request(name, "GET", "/endless/1"))
        else:
            method, path = source.choice(CALM_REQUESTS)
            request = encode_request(name, method, path, b"{}")
            await self._send(manner, name, request, may_repeat=path != "/book/1")

    # Whole requests.

    def _make_name(self) -> str:
        return f"{self._prefix}-{next(self._numbers)}"

    async def _send(
        self,
        manner: Manner,
        name: str,
        request: bytes,
        *,
        slow: bool = False,
        may_repeat: bool = True,
    ) -> None:
        began = self._now()
        connection = Connection(
            self._address,
            receive_buffer=SLOW_RECEIVE_BUFFER if slow else 0,
            read_pause_s=SLOW_READ_PAUSE_S if slow else 0.0,
            read_bytes=SLOW_READ_BYTES,
            resets=manner is not Manner.CALM,
        )
        end = ReceivedEnd(False, Ending.UNCONNECTED)
        try:
            async with connection:
                end = ReceivedEnd(False, Ending.LEFT)
                await connection.send([request])
                end = ReceivedEnd(True, Ending.LEFT)
                end = await receive_answer(connection)
        except OSError:
            if end.ending is not Ending.UNCONNECTED:
                end = ReceivedEnd(end.finished, Ending.CLOSED)
            raise
        finally:
            self._add(name, manner, began, end, may_repeat)

    def _add(
        self, name: str, manner: Manner, began: float, end: ReceivedEnd, may_repeat: bool = True
    ) -> None:
        self._record(
            SentRequest(
                name,
                manner,
                self._node,
                began,
                self._now(),
                end.finished,
                end.ending,
                end.status,
                may_repeat,
            )
        )

    # Uploads.

    async def _upload(
        self, manner: Manner, upload: Upload, source: random.Random, until: float
    ) -> None:
        path = source.choice(("/book/1", "/find/1"))
        for _ in range(upload.tries):
            if await self._upload_once(manner, upload, path, until) is not Ending.REFUSED:
                return

    async def _upload_once(self, manner: Manner, upload: Upload, path: str, until: float) -> Ending:
        name, began = self._make_name(), self._now()
        end = ReceivedEnd(False, Ending.UNCONNECTED)
        try:
            async with Connection(self._address) as connection:
                end = ReceivedEnd(False, Ending.LEFT)
                end = await send_upload(connection, upload, name, path, max(0.0, until - began))
        finally:
            self._add(name, manner, began, end, path != "/book/1")
        return end.ending

    # Connections without whole requests.

    async def _pipeline(self, until: float) -> None:
        """Send many requests on one connection, read nothing for a while, and leave."""
        async with Connection(self._address, receive_buffer=UNREAD_RECEIVE_BUFFER) as connection:
            names = (self._make_name() for _ in range(PIPELINED_REQUESTS))
            sending = connection.send(encode_pipelined(each) for each in names)
            await self._until_broken(sending, until)

    async def _send_endless_head(self, until: float) -> None:
        name, began = self._make_name(), self._now()
        end = ReceivedEnd(False, Ending.UNCONNECTED)
        try:
            async with Connection(self._address) as connection:
                end = ReceivedEnd(False, Ending.LEFT)
                await connection.send([encode_endless_head(name)])
                received = await receive_answer(connection)
                end = ReceivedEnd(False, received.ending, received.status)
                await asyncio.sleep(max(0.0, until - self._now()))
        finally:
            self._add(name, Manner.HEADS, began, end)

    async def _stay_idle(self, until: float) -> None:
        async with Connection(self._address) as connection:
            await self._until_broken(_read_ignored(connection), until)

    async def _until_broken(self, doing: Awaitable[None], until: float) -> None:
        """Do something and keep the connection open until a time, or until it breaks."""
        try:
            async with asyncio.timeout(max(0.0, until - self._now())):
                await doing
                await asyncio.sleep(max(0.0, until - self._now()))
        except TimeoutError:
            pass


async def _read_ignored(connection: Connection) -> None:
    try:
        await connection.read_response()
    except BrokenConnectionError:
        return
