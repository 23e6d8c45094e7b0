"""
tests.upstreams

Fake upstreams behind the interface of the upstream client. Answers contain the id of their
request, so that a swapped, truncated or duplicated answer is detected.
"""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
from chalkyoke.upstreams.messages import Declined, NoAnswer, NotConnected, NotPermitted, Opened

CONNECT_DELAY_S = 0.002
GRACE_S = 2.0


@dataclass
class FakeUpstream:
    """One upstream with its injected faults and its counts of requests."""

    id: str
    domain: str
    plain: bool
    token_s: float = 0.02
    down: bool = False
    hang: bool = False
    leaving: bool = False
    draining: bool = False
    leaving_since: float = 0.0
    rest_s: float = 0.0
    declined_at: list = field(default_factory=list)
    seen: Counter = field(default_factory=Counter)
    started_requests: list = field(default_factory=list)
    running: set = field(default_factory=set)
    cancelled: set = field(default_factory=set)


def answer_events(request, tokens):
    """Build the server-sent events of one answer."""
    events = [
        b"data: "
        + json.dumps({"id": request, "choices": [{"index": 0, "text": f"{request}:{i} "}]}).encode()
        + b"\n\n"
        for i in range(tokens)
    ]
    usage = {"prompt_tokens": 10, "completion_tokens": tokens}
    final = {"id": request, "choices": [], "usage": usage}
    return [*events, b"data: " + json.dumps(final).encode() + b"\n\n", b"data: [DONE]\n\n"]


def answer_tokens(request):
    """Return the output length of a request in tokens, the same for the same request id."""
    return 3 + sum(request.encode()) % 40


class _Content:
    def __init__(self, response):
        self._response = response
        self._ended = False
        self._chunks = None

    async def readany(self):
        if self._chunks is None:
            self._chunks = self._response.chunks()
        return await anext(self._chunks, b"")

    async def read(self, _):
        data = b"".join([chunk async for chunk in self._response.chunks()])
        self._ended = True
        return data

    def at_eof(self):
        return self._ended


class _Response:
    """The part of an HTTP response that the dispatcher reads."""

    def __init__(self, client, upstream, request, offset):
        self.status = 200
        self.headers = {
            "Content-Type": "application/json" if upstream.plain else "text/event-stream"
        }
        self.content = _Content(self)
        self._client = client
        self._upstream = upstream
        self._request = request
        self._offset = offset

    async def chunks(self):
        world, upstream, rng = self._client.world, self._upstream, self._client.world.random
        if upstream.plain:
            await self._wait(0.03)
            if rng.random() < world.chaos * 0.1:
                raise aiohttp.ClientPayloadError("lost")
            yield json.dumps({"request": self._request}).encode()
            return
        for event in answer_events(self._request, answer_tokens(self._request))[self._offset :]:
            await self._wait(upstream.token_s)
            if rng.random() < world.chaos * 0.01:
                yield event[: len(event) // 2]
                raise aiohttp.ClientPayloadError("cut")
            split_at = rng.randrange(len(event))
            yield event[:split_at]
            yield event[split_at:]

    async def _wait(self, seconds):
        await asyncio.sleep(seconds)
        while self._upstream.hang:
            await asyncio.sleep(0.2)
        if self._upstream.down or not self._client.reaches(self._upstream):
            raise aiohttp.ClientPayloadError("down")

    def release(self):
        self._upstream.running.discard(self._request)

    def close(self):
        self._upstream.running.discard(self._request)


class FakeUpstreamClient:
    """The upstream client of one node."""

    def __init__(self, world, node):
        self.world = world
        self.node = node

    def reaches(self, upstream):
        return not self.node.dead and self.world.is_link_up(self.node.domain, upstream.domain)

    async def post(self, address, path, body, headers, gate):
        upstream = self.world.upstreams[address]
        await asyncio.sleep(CONNECT_DELAY_S * (1 + 5 * self.world.random.random()))
        if self.node.dead or upstream.down or not self.reaches(upstream):
            return NotConnected("refused")
        if not gate():
            return NotPermitted()
        request = headers["X-Request-Id"]
        if upstream.rest_s:
            upstream.declined_at.append((self.node.process, self.world.now()))
            return Declined(503, "wants rest", upstream.rest_s)
        upstream.seen[request] += 1
        upstream.started_requests.append((self.world.now(), request))
        upstream.running.add(request)
        if self.world.random.random() < self.world.chaos * 0.02:
            upstream.running.discard(request)
            return NoAnswer("reset")
        return Opened(_Response(self, upstream, request, 0))

    async def resume(self, address, path, request, offset):
        upstream = self.world.upstreams[address]
        await asyncio.sleep(CONNECT_DELAY_S)
        unavailable = upstream.down or not self.reaches(upstream) or request in upstream.cancelled
        if unavailable or self.world.random.random() < 0.3:
            return NotConnected("nothing to resume")
        return Opened(_Response(self, upstream, request, offset))

    async def cancel(self, address, path, request):
        await asyncio.sleep(CONNECT_DELAY_S)
        self.world.upstreams[address].cancelled.add(request)
        self.world.upstreams[address].running.discard(request)
