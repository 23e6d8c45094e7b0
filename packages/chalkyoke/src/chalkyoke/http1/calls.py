"""
chalkyoke.http1.calls

Short HTTP calls whose answer is read completely, such as calls to a store. Their answers name no
call, so each call has a connection of its own: an answer that comes late or once more reaches no
other call.
"""

import asyncio

import msgspec

from chalkyoke.http1.client import AnswerMatch, BreakReason, ClientConnection
from chalkyoke.http1.dialing import ConnectFailure
from chalkyoke.http1.messages import AnswerHead, Headers, encode_request_head
from chalkyoke.http1.pool import ConnectionPool

# Longest time to open a connection, in seconds: several round trips to another region.
CONNECT_TIMEOUT_S = 0.5
# Highest number of connections to one address: a watch, a lease and a listing at the same time, and
# as many that are lost.
MAX_CONNECTIONS = 8
# Largest body of an answer, in bytes: many times a page of a listing.
MAX_BODY_BYTES = 16_777_216
# Highest size of the bodies of all pages of one listing, in bytes.
MAX_LISTING_BYTES = 2 * MAX_BODY_BYTES


class CallAnswer(msgspec.Struct, frozen=True):
    """A complete answer.

    :param headers: in the order received, with their names as sent.
    """

    status: int
    body: bytes
    headers: Headers


class CallFailed(msgspec.Struct, frozen=True):
    """A call without a complete answer.

    :param sent: whether the server may have carried out the call.
    """

    reason: str
    sent: bool


class _AnswerCollector:
    """Collects an answer and resolves the future with it.

    A body above :data:`MAX_BODY_BYTES` fails the call.
    """

    def __init__(self, future: "asyncio.Future[CallAnswer | CallFailed]") -> None:
        self._future = future
        self._status = 0
        self._headers: Headers = []
        self._parts: list[bytes] = []
        self._body_bytes = 0

    def answer_head(self, head: AnswerHead) -> None:
        self._status, self._headers = head.status, head.headers

    def answer_data(self, data: bytes) -> None:
        if self._future.done():
            return
        self._parts.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            self._parts.clear()
            self.answer_broken(BreakReason.OVERSIZED)

    def answer_end(self) -> None:
        if not self._future.done():
            body = b"".join(self._parts)
            self._future.set_result(CallAnswer(self._status, body, self._headers))

    def answer_broken(self, how: BreakReason) -> None:
        if not self._future.done():
            self._future.set_result(CallFailed(how, sent=True))


class HttpClient:
    """Make calls to one address; a failed call returns :class:`CallFailed` and raises nothing.

    :param address: ``ip:port``.
    """

    def __init__(self, pool: ConnectionPool, address: str) -> None:
        ip, port = address.rsplit(":", 1)
        self._pool = pool
        self._ip, self._port = ip, int(port)
        self._headers: Headers = [(b"Host", address.encode()), (b"Connection", b"close")]

    async def call(
        self, method: bytes, target: bytes, body: bytes | None, timeout_s: float
    ) -> CallAnswer | CallFailed:
        """Make one call.

        :param body: JSON, or ``None`` for a call without a body.
        :param timeout_s: limit for connecting, which also ends after :data:`CONNECT_TIMEOUT_S`, and
            again for the exchange, in seconds.
        """
        connection = await self._pool.open(
            self._ip,
            self._port,
            limit=MAX_CONNECTIONS,
            timeout_s=min(CONNECT_TIMEOUT_S, timeout_s),
        )
        if isinstance(connection, ConnectFailure):
            return CallFailed(connection, sent=False)
        headers = list(self._headers)
        if body is not None:
            headers.append((b"Content-Type", b"application/json"))
        data = encode_request_head(method, target, headers, None if body is None else len(body))
        return await self._exchange(connection, data + (body or b""), timeout_s)

    async def _exchange(
        self, connection: ClientConnection, data: bytes, timeout_s: float
    ) -> CallAnswer | CallFailed:
        future: asyncio.Future[CallAnswer | CallFailed]
        future = asyncio.get_running_loop().create_future()
        connection.send(data, _AnswerCollector(future), lambda _: AnswerMatch.OWN)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await future
        except TimeoutError:
            connection.cancel()
            return CallFailed("timed out", sent=True)
        except asyncio.CancelledError:
            connection.cancel()
            raise
        if connection.is_busy:
            # The rest of an answer that is too large may have no end.
            connection.cancel()
        connection.retire()
        return answer
