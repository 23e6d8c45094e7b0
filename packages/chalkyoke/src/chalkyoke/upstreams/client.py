"""
chalkyoke.upstreams.client

HTTP client for model engines and plain services. The permission to dispatch is requested after the
connection is established and before the first byte is written, so a failed connect is no dispatch.

The answers of an upstream name no request, so each call has a connection of its own: an answer that
comes late or once more reaches no other call.
"""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from types import SimpleNamespace

import aiohttp
import msgspec
from result import Err, Ok, Result

from chalkyoke.callsessions import (
    CallConnector,
    CallHandler,
    find_coding,
    make_call_session,
    read_body,
)
from chalkyoke.decoding.bounds import Count, Fingerprint, Seconds
from chalkyoke.decoding.decoder import decode_json
from chalkyoke.exceptions import ChalkyokeError
from chalkyoke.retry_after import parse_retry_after
from chalkyoke.scheduling.messages import CacheEvent, LoadReport
from chalkyoke.sockets import reset_when_closed
from chalkyoke.upstreams.messages import (
    CallOutcome,
    Declined,
    NoAnswer,
    NotConnected,
    NotPermitted,
    Opened,
)

# How long opening a connection may take, in seconds.
CONNECT_TIMEOUT_S = 1.0
# How long the fetch of a load report or a cancellation may take, in seconds.
SHORT_CALL_TIMEOUT_S = 1.0
# How long the body of an upstream's refusal is awaited, in seconds; its status is known by then.
DECLINE_TIMEOUT_S = 1.0
# How much of the body of an upstream's refusal is read, in bytes; it goes into one log line.
MAX_DECLINE_BYTES = 2_000
# Largest load report, in bytes: some 50,000 fingerprints of dropped prefixes.
MAX_LOAD_BYTES = 1_048_576
# Bytes of an answer that the library reads ahead, where memory is not limited.
READ_BUFFER_BYTES = 65_536
# Bytes of a body that are written at a time.
PIECE_BYTES = 65_536
REQUEST_ID = "X-Request-Id"
OK = 200

# Returns whether a request may be dispatched now.
Gate = Callable[[], bool]


class _DispatchRefused(ChalkyokeError):
    """The gate refused the dispatch on an established connection."""


async def _check_gate(
    _session: aiohttp.ClientSession, context: SimpleNamespace, _params: object
) -> None:
    gate: Gate | None = context.trace_request_ctx
    if gate is not None and not gate():
        raise _DispatchRefused


def dispatch_trace() -> aiohttp.TraceConfig:
    """Create the trace that calls a request's gate before its first byte is written.

    :rtype: aiohttp.TraceConfig
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_check_gate)
    return trace


class _UpstreamHandler(CallHandler):
    """The protocol of a connection that is reset, and not closed, when it is given up.

    A plain close would first deliver the rest of a request that nobody waits for any more. If the
    reset is lost, the upstream still hears of the cancellation by a call of its own.
    """

    def close(self) -> None:
        """Reset the connection and drop unsent data."""
        transport = self.transport
        if transport is not None:
            reset_when_closed(transport)
            transport.abort()
        super().close()


def make_session(buffer_bytes: int = 0) -> aiohttp.ClientSession:
    """Create the HTTP session for upstreams, with dispatch gates and without a total timeout.

    :param buffer_bytes: bytes that are buffered for one call before they are read; 0 for the
        defaults of the system and the library.
    :rtype: aiohttp.ClientSession
    """
    connector = CallConnector(
        _UpstreamHandler, buffer_bytes, limit=0, use_dns_cache=False, family=socket.AF_INET
    )
    return make_call_session(
        connector,
        read_bufsize=buffer_bytes or READ_BUFFER_BYTES,
        trace_configs=[dispatch_trace()],
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
    )


class _LoadBody(msgspec.Struct):
    running: Count
    waiting: Count = 0
    age_s: Seconds = 0.0
    draining: bool = False
    cache_dropped: list[Fingerprint] = []


def read_load(upstream: str, body: bytes) -> Result[tuple[LoadReport, CacheEvent], str]:
    """Decode the load report and the cache events of an upstream.

    :return: both, or why the body can't be decoded.
    """
    read = decode_json(body, _LoadBody)
    if isinstance(read, Err):
        return read
    found = read.ok_value
    report = LoadReport(upstream, found.running, found.waiting, found.age_s, found.draining)
    return Ok((report, CacheEvent(upstream, tuple(found.cache_dropped))))


class UpstreamClient:
    """Dispatch requests to upstreams and fetch their load reports.

    :param session: a session of :func:`make_session`.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def post(
        self, address: str, path: str, body: bytes, headers: dict[str, str], gate: Gate
    ) -> CallOutcome:
        """Dispatch one request.

        :param gate: called right before the first byte; the request is sent only if it returns
            true.
        :rtype: CallOutcome
        """
        permitted = False

        def call_gate() -> bool:
            nonlocal permitted
            permitted = gate()
            return permitted

        try:
            response = await self._session.post(
                f"http://{address}{path}",
                data=body if len(body) <= PIECE_BYTES else _iter_pieces(body),
                headers={**headers, "Content-Length": str(len(body))},
                trace_request_ctx=call_gate,
                allow_redirects=False,
            )
        except _DispatchRefused:
            return NotPermitted()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return (
                NoAnswer(_describe_error(error))
                if permitted
                else NotConnected(_describe_error(error))
            )
        return await self._classify_response(response)

    async def resume(self, address: str, path: str, request: str, offset: int) -> CallOutcome:
        """Resume reading a stream after its connection broke; this is never a dispatch.

        :param offset: number of events that were received already.
        :return: an opened answer only if it is the rest of the stream.
        """
        try:
            response = await self._session.get(
                f"http://{address}{path}/{request}/events",
                params={"offset": str(offset)},
                allow_redirects=False,
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return NotConnected(_describe_error(error))
        if response.status != OK:
            # It says something of the stream, and is no part of it.
            return await self._decline(response)
        return await self._classify_response(response)

    async def cancel(self, address: str, path: str, request: str) -> None:
        """Cancel a request that no caller waits for any more; errors are ignored."""
        try:
            async with self._session.delete(
                f"http://{address}{path}/{request}",
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=SHORT_CALL_TIMEOUT_S),
            ):
                pass
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def fetch_load(self, upstream: str, address: str) -> tuple[LoadReport, CacheEvent] | None:
        """Fetch the load report and the cache events of an upstream.

        :return: both, or None if there was no valid answer.
        """
        try:
            async with self._session.get(
                f"http://{address}/load",
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=SHORT_CALL_TIMEOUT_S),
            ) as response:
                if response.status != OK:
                    return None
                found = read_load(upstream, await read_body(response, MAX_LOAD_BYTES))
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        return found.ok()

    async def _classify_response(self, response: aiohttp.ClientResponse) -> CallOutcome:
        if response.status < 500 and response.status not in (408, 429):
            coding = find_coding(response)
            if coding is None:
                return Opened(response)
            response.close()
            return NoAnswer(f"its body is coded: {coding}"[:200])
        return await self._decline(response)

    async def _decline(self, response: aiohttp.ClientResponse) -> Declined:
        try:
            async with asyncio.timeout(DECLINE_TIMEOUT_S):
                text = (await response.content.read(MAX_DECLINE_BYTES)).decode(errors="replace")
        except (aiohttp.ClientError, TimeoutError, OSError):
            text = ""
        response.release()
        return Declined(
            response.status,
            text.strip(),
            parse_retry_after(response.headers.get("Retry-After", "")),
        )


async def _iter_pieces(body: bytes) -> AsyncIterator[bytes]:
    """Iterate over a body, so that the library copies only what the upstream takes."""
    for start in range(0, len(body), PIECE_BYTES):
        yield body[start : start + PIECE_BYTES]


def _describe_error(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"[:200]
