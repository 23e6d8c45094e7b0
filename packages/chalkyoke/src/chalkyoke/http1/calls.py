"""
chalkyoke.http1.calls

Short calls whose answer is read whole, as on a store.
"""

import asyncio

import msgspec

from chalkyoke.http1.client import BreakReason, ClientConnection
from chalkyoke.http1.messages import AnswerHead, Headers, encode_request_head
from chalkyoke.http1.pool import ConnectFailure, ConnectionPool

# How long opening a connection may take, in seconds: some round trips to another region.
CONNECT_TIMEOUT_S = 0.5
# Connections to one address at most: a watch, a lease and a listing at once, and as many lost.
MAX_CONNECTIONS = 8
# How old a kept connection may be, in seconds: below what servers usually keep.
MAX_IDLE_S = 8.0


class CallAnswer(msgspec.Struct, frozen=True):
    """A whole answer.

    :param headers: in their order, names as they were sent.
    """

    status: int
    body: bytes
    headers: Headers


class CallFailed(msgspec.Struct, frozen=True):
    """No whole answer.

    :param sent: whether the call may have been carried out.
    """

    reason: str
    sent: bool


class _AnswerCollector:
    """Collects an answer."""

    def __init__(self, future: "asyncio.Future[CallAnswer | CallFailed]") -> None:
        self._future = future
        self._status = 0
        self._headers: Headers = []
        self._parts: list[bytes] = []

    def answer_head(self, head: AnswerHead) -> None:
        self._status, self._headers = head.status, head.headers

    def answer_data(self, data: bytes) -> None:
        self._parts.append(data)

    def answer_end(self) -> None:
        if not self._future.done():
            body = b"".join(self._parts)
            self._future.set_result(CallAnswer(self._status, body, self._headers))

    def answer_broken(self, how: BreakReason) -> None:
        if not self._future.done():
            self._future.set_result(CallFailed(how, sent=True))


class HttpClient:
    """Make calls on one address; every outcome is a value.

    :param address: ``ip:port``.
    """

    def __init__(self, pool: ConnectionPool, address: str) -> None:
        ip, port = address.rsplit(":", 1)
        self._pool = pool
        self._ip, self._port = ip, int(port)
        self._host: Headers = [(b"Host", address.encode())]

    async def call(
        self, method: bytes, target: bytes, body: bytes | None, timeout_s: float
    ) -> CallAnswer | CallFailed:
        """Make one call.

        :param body: JSON, or nothing.
        :param timeout_s: for the whole call, connecting included.
        """
        connection = await self._pool.connect(
            self._ip,
            self._port,
            limit=MAX_CONNECTIONS,
            timeout_s=min(CONNECT_TIMEOUT_S, timeout_s),
            fresh_s=MAX_IDLE_S,
        )
        if isinstance(connection, ConnectFailure):
            return CallFailed(connection, sent=False)
        headers = list(self._host)
        if body is not None:
            headers.append((b"Content-Type", b"application/json"))
        data = encode_request_head(method, target, headers, None if body is None else len(body))
        return await self._exchange(connection, data + (body or b""), timeout_s)

    async def _exchange(
        self, connection: ClientConnection, data: bytes, timeout_s: float
    ) -> CallAnswer | CallFailed:
        future: asyncio.Future[CallAnswer | CallFailed]
        future = asyncio.get_running_loop().create_future()
        connection.send(data, _AnswerCollector(future), lambda _: True)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await future
        except TimeoutError:
            # A connection on which an answer was lost says nothing further, and the other ones may
            # have gone silent with it: the next call takes a new one.
            connection.cancel()
            self._pool.abort_idle(self._ip, self._port)
            return CallFailed("timed out", sent=True)
        except asyncio.CancelledError:
            connection.cancel()
            raise
        self._pool.release(self._ip, self._port, connection)
        return answer
