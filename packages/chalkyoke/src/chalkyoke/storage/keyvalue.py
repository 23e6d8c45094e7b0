"""
chalkyoke.storage.keyvalue

The client of the platform's key-value service, in the wire format of Consul's KV HTTP API
(compare-and-swap by modify index, blocking queries). Only this module depends on the format.
"""

import asyncio
from collections.abc import Generator
from typing import TypeVar

import aiohttp
from result import Err
from tenacity import (
    AsyncRetrying,
    RetryCallState,
    retry_if_result,
    stop_after_attempt,
    wait_random_exponential,
)

from chalkyoke.administration.metrics import Metrics
from chalkyoke.callsessions import CallConnector, make_call_session, read_body
from chalkyoke.configuration.publisher import (
    AnswerLost,
    Found,
    Get,
    Mismatch,
    Put,
    StoreAnswer,
    StoreCall,
    Unavailable,
    Written,
)
from chalkyoke.decoding.decoder import decode_json
from chalkyoke.http1.calls import MAX_BODY_BYTES

# Timeout of a call, in seconds. The timeout of a watch is this plus the time for which it waits.
CALL_TIMEOUT_S = 2.0
INDEX_HEADER = "X-Consul-Index"
# Delay after a failed call, in seconds: it starts at the minimum and doubles with each failure in a
# row, up to the maximum.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 1.0

T = TypeVar("T")


def _return_unavailable(_: RetryCallState) -> Unavailable:
    return Unavailable()


def make_session() -> aiohttp.ClientSession:
    """Create the HTTP session for the platform's services.

    Their answers name no call, so each call has a connection of its own.

    :rtype: aiohttp.ClientSession
    """
    return make_call_session(CallConnector())


class StoreClient:
    """Call the key-value service. Failures are returned as values, not raised.

    :param session: a session of :func:`make_session`.
    :param url: base URL of the service.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str, metrics: Metrics) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._metrics = metrics

    async def execute(self, call: StoreCall) -> StoreAnswer:
        """Execute one call, without a retry.

        :rtype: StoreAnswer
        """
        if isinstance(call, Get):
            return await self._get(call.key)
        return await self._put(call)

    async def get(self, key: str) -> Found | Unavailable:
        """Read a value; an unavailable store is tried up to three times.

        :rtype: Found or Unavailable
        """
        retrying = AsyncRetrying(
            stop=stop_after_attempt(3),
            wait=wait_random_exponential(MIN_RETRY_S, MAX_RETRY_S),
            retry=retry_if_result(lambda answer: isinstance(answer, Unavailable)),
            retry_error_callback=_return_unavailable,
        )
        answer: Found | Unavailable = await retrying(self._get, key)
        return answer

    async def watch(self, key: str, version: int, wait_s: float) -> Found | Unavailable:
        """Wait in one call until a key's version differs from the given one.

        :param wait_s: time after which the unchanged value is returned, in seconds.
        :rtype: Found or Unavailable
        """
        params = {"raw": "", "index": str(version), "wait": f"{wait_s:.1f}s"}
        return await self._get(key, params, "watch", CALL_TIMEOUT_S + wait_s)

    async def run_program(self, program: Generator[StoreCall, StoreAnswer, T]) -> T:
        """Run a generator that yields store calls, with a delay after each failed call.

        :param program: receives the answer of each call that it yields.
        :return: the return value of the generator.
        """
        failures = 0
        try:
            call = next(program)
            while True:
                answer = await self.execute(call)
                is_failure = isinstance(answer, Unavailable | AnswerLost)
                failures = failures + 1 if is_failure else 0
                if is_failure:
                    await asyncio.sleep(min(MAX_RETRY_S, MIN_RETRY_S * 2 ** min(failures, 5)))
                call = program.send(answer)
        except StopIteration as stop:
            value: T = stop.value
            return value

    async def _get(
        self,
        key: str,
        params: dict[str, str] | None = None,
        kind: str = "get",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Found | Unavailable:
        self._metrics.count("store_calls", kind=kind)
        try:
            async with self._session.get(
                f"{self._url}/v1/kv/{key}",
                params=params or {"raw": ""},
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                if response.status == 404:
                    return Found(None, 0)
                if response.status != 200:
                    return self._count_failure(kind, Unavailable())
                return Found(
                    await read_body(response, MAX_BODY_BYTES), int(response.headers[INDEX_HEADER])
                )
        except (aiohttp.ClientError, TimeoutError, KeyError, ValueError, OSError):
            return self._count_failure(kind, Unavailable())

    async def _put(self, call: Put) -> Written | Mismatch | Unavailable | AnswerLost:
        self._metrics.count("store_calls", kind="put")
        try:
            async with self._session.put(
                f"{self._url}/v1/kv/{call.key}",
                params={"cas": str(call.expected)},
                data=call.value,
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            ) as response:
                if response.status in (429, 503):
                    return self._count_failure("put", Unavailable())
                if response.status != 200:
                    return self._count_failure("put", AnswerLost())
                applied = decode_json(await read_body(response, MAX_BODY_BYTES), bool)
                if isinstance(applied, Err):
                    return self._count_failure("put", AnswerLost())
                if applied.ok_value:
                    return Written(int(response.headers.get(INDEX_HEADER, "0")))
                return Mismatch()
        except aiohttp.ClientConnectorError:
            return self._count_failure("put", Unavailable())
        except (aiohttp.ClientError, TimeoutError, ValueError, OSError):
            return self._count_failure("put", AnswerLost())

    def _count_failure(self, kind: str, answer: T) -> T:
        self._metrics.count("store_failures", kind=kind)
        return answer
