"""
chalkyoke.storage.keyvalue

The platform's key-value service, spoken to in the wire format of Consul's KV HTTP API
(compare-and-swap by modify index, blocking queries). To change the format, change this file.
"""

import asyncio
import json
from collections.abc import Generator
from typing import TypeVar

import aiohttp
from tenacity import (
    AsyncRetrying,
    RetryCallState,
    retry_if_result,
    stop_after_attempt,
    wait_random_exponential,
)

from chalkyoke.administration.metrics import Metrics
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

# How long a call may take, in seconds; a watch has its own wait beside it.
CALL_TIMEOUT_S = 2.0
INDEX_HEADER = "X-Consul-Index"
# Pause after a failed call, in seconds: the shortest, doubled with each failure, and the longest.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 1.0

T = TypeVar("T")


def _gave_up(_: RetryCallState) -> Unavailable:
    return Unavailable()


class StoreClient:
    """Call the key-value service; every answer is a value, lost ones included.

    :param url: base address of the service.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str, metrics: Metrics) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._metrics = metrics

    async def execute(self, call: StoreCall) -> StoreAnswer:
        """Make one call, without a retry.

        :rtype: StoreAnswer
        """
        if isinstance(call, Get):
            return await self._get(call.key)
        return await self._put(call)

    async def get(self, key: str) -> Found | Unavailable:
        """Read a value, with a few retries.

        :rtype: Found or Unavailable
        """
        retrying = AsyncRetrying(
            stop=stop_after_attempt(3),
            wait=wait_random_exponential(MIN_RETRY_S, MAX_RETRY_S),
            retry=retry_if_result(lambda answer: isinstance(answer, Unavailable)),
            retry_error_callback=_gave_up,
        )
        answer: Found | Unavailable = await retrying(self._get, key)
        return answer

    async def watch(self, key: str, version: int, wait_s: float) -> Found | Unavailable:
        """Wait until a key's version is another; one call on the service.

        :param wait_s: after so many seconds the value is returned as it is.
        :rtype: Found or Unavailable
        """
        params = {"raw": "", "index": str(version), "wait": f"{wait_s:.1f}s"}
        return await self._get(key, params, "watch", CALL_TIMEOUT_S + wait_s)

    async def run_program(self, machine: Generator[StoreCall, StoreAnswer, T]) -> T:
        """Run a machine that asks for store calls, with a pause after each bad answer.

        :return: what the machine returns.
        """
        failures = 0
        try:
            call = next(machine)
            while True:
                answer = await self.execute(call)
                bad = isinstance(answer, Unavailable | AnswerLost)
                failures = failures + 1 if bad else 0
                if bad:
                    await asyncio.sleep(min(MAX_RETRY_S, MIN_RETRY_S * 2 ** min(failures, 5)))
                call = machine.send(answer)
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
                    return self._bad(kind, Unavailable())
                return Found(await response.read(), int(response.headers[INDEX_HEADER]))
        except (aiohttp.ClientError, TimeoutError, KeyError, ValueError, OSError):
            return self._bad(kind, Unavailable())

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
                    return self._bad("put", Unavailable())
                if response.status != 200:
                    return self._bad("put", AnswerLost())
                if json.loads(await response.read()):
                    return Written(int(response.headers.get(INDEX_HEADER, "0")))
                return Mismatch()
        except aiohttp.ClientConnectorError:
            return self._bad("put", Unavailable())
        except (aiohttp.ClientError, TimeoutError, ValueError, OSError):
            return self._bad("put", AnswerLost())

    def _bad(self, kind: str, answer: T) -> T:
        self._metrics.count("store_failures", kind=kind)
        return answer
