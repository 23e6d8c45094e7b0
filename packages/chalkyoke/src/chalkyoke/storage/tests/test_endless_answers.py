"""Answers without end of the platform's key-value service and host list."""

import asyncio
import zlib

import pytest
from chalkyoke.administration.metrics import Metrics
from chalkyoke.configuration.publisher import AnswerLost, Get, Put, Unavailable
from chalkyoke.discovery.host_list import HostListClient
from chalkyoke.http1.calls import MAX_BODY_BYTES
from chalkyoke.storage.keyvalue import StoreClient, make_session
from chalkyoke.upstreams.tests.endlessupstream import (
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    OK,
    EndlessUpstream,
)

AT_ONCE_S = 5.0
# Bytes that the sockets' buffers take beyond what is read.
IN_TRANSIT_BYTES = 12_000_000
ANSWERS = {**ENDLESS_HEADS, **ENDLESS_BODIES}
CALLS = {
    "get": (lambda store, _: store.execute(Get("k")), Unavailable()),
    "put": (lambda store, _: store.execute(Put("k", b"v", 1)), AnswerLost()),
    "watch": (lambda store, _: store.watch("k", 1, 60.0), Unavailable()),
    "hosts": (lambda _, hosts: hosts.fetch(), None),
}


async def call_platform(url, make_call):
    async with make_session() as session, asyncio.timeout(AT_ONCE_S):
        store = StoreClient(session, url, Metrics())
        return await make_call(store, HostListClient(session, url, Metrics()))


@pytest.mark.parametrize("part", ANSWERS)
@pytest.mark.parametrize("name", CALLS)
def test_an_answer_without_end_is_not_kept(name, part):
    """Guards against a value that took 1.4 GB in the 2 s for which it was read."""
    make_call, failed = CALLS[name]

    async def main():
        async with EndlessUpstream(*ANSWERS[part]) as service:
            found = await call_platform(f"http://{service.address}", make_call)
            assert found == failed
            assert service.sent_bytes < MAX_BODY_BYTES + IN_TRANSIT_BYTES

    asyncio.run(main())


@pytest.mark.parametrize("name", CALLS)
def test_a_compressed_answer_is_not_inflated(name):
    """Guards against 400 KB that took 420 MB and more than the timeout of the call to inflate."""
    make_call, failed = CALLS[name]
    deflate = zlib.compressobj(9, zlib.DEFLATED, 31)
    body = deflate.compress(bytes(40_000_000)) + deflate.flush()
    first = OK + b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(body) + body

    async def main():
        async with EndlessUpstream(first, b"") as service:
            assert await call_platform(f"http://{service.address}", make_call) == failed

    asyncio.run(main())
