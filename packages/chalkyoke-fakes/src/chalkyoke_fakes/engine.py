"""
chalkyoke_fakes.engine

A stand-in for a model engine: streamed completions in the usual format over server-sent events,
continuous batching, a prompt prefix cache in limited memory, priorities, resume and cancel.
"""

import asyncio
import json
import math
import os
import random
import time
from collections import Counter, OrderedDict, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import falcon
import falcon.asgi
from chalkyoke.entry.reception import prompt_blocks
from chalkyoke.scheduling.placement import BLOCK_TOKENS

from chalkyoke_fakes.serving import Control, parser, serve

CHARACTERS_PER_TOKEN = 4
PREFILL_CHUNK_TOKENS = 512
RESUME_GRACE_S = 2.0
DIED_EXIT_CODE = 9


@dataclass
class Faults:
    """Faults that can be switched at run time.

    :ivar slow: factor by which each step takes longer.
    :ivar refuse: answer 503 to new requests.
    :ivar hang: accept requests without processing them.
    :ivar cut_streams: the number of streams to cut after 3 events.
    :ivar can_resume: whether a stream can be resumed at an offset.
    :ivar draining: report draining and answer 503 to new requests.
    :ivar report_lag_s: age of the reported load, in seconds.
    :ivar event_lag_s: delay of the reported cache events, in seconds.
    :ivar event_gap: share of cache events (0 to 1) that are never reported.
    :ivar die: end the process at the next request or event.
    """

    slow: float = 1.0
    refuse: bool = False
    hang: bool = False
    cut_streams: int = 0
    can_resume: bool = True
    draining: bool = False
    report_lag_s: float = 0.5
    event_lag_s: float = 0.5
    event_gap: float = 0.2
    die: bool = False


@dataclass
class Sequence:
    """One request in the engine.

    :ivar arrived: when the request arrived, in seconds of the monotonic clock.
    :ivar prefill_left: prompt tokens that are neither cached nor processed yet.
    :ivar changed: set when there are new events or the request was cancelled.
    :ivar delivered: whether a reader received the whole output.
    :ivar abandoned: whether the request was given up because it has no reader.
    """

    id: str
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
    priority: int
    arrived: float
    prefill_left: int
    events: list[bytes] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    done: bool = False
    cancelled: bool = False
    delivered: bool = False
    abandoned: bool = False
    readers: int = 0

    @property
    def prefill_done(self) -> int:
        """Prompt tokens that were processed for the request."""
        return self.prompt_tokens - self.cached_tokens - self.prefill_left

    def append_token(self) -> None:
        """Append the next token's event, and after the last token those that end the stream."""
        made = len(self.events)
        choice = {"index": 0, "text": f"w{made} ", "finish_reason": None}
        self._append_event({"id": self.id, "model": "fake", "choices": [choice]})
        if made + 1 >= self.output_tokens:
            usage = {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.output_tokens,
                "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
            }
            choice = {"index": 0, "text": "", "finish_reason": "stop"}
            self._append_event(
                {"id": self.id, "model": "fake", "choices": [choice], "usage": usage}
            )
            self.events.append(b"data: [DONE]\n\n")
            self.done = True
        self.changed.set()

    def _append_event(self, event: dict[str, Any]) -> None:
        self.events.append(b"data: " + json.dumps(event).encode() + b"\n\n")


class Engine:
    """The engine's queue, batch, prefix cache and counters.

    :ivar prefill_s: time to process one prompt token, in seconds.
    :ivar token_s: time of a decoding step with one stream, in seconds.
    :ivar slope: relative slowdown of a decoding step for each further stream.
    :ivar seen: the number of arrivals of each request id.
    :ivar prefill_wasted: processed prompt tokens of requests that were never delivered.
    """

    def __init__(self, arguments: Any) -> None:
        self.faults = Faults()
        self.slots = int(arguments.slots)
        self.prefill_s = 1.0 / arguments.prefill_tokens_per_s
        self.token_s = 1.0 / arguments.decode_tokens_per_s
        self.slope = (arguments.batch_slowdown - 1.0) / max(1, self.slots - 1)
        self.cache_blocks = int(arguments.cache_blocks)
        self.sequences: dict[str, Sequence] = {}
        self.queue: list[Sequence] = []
        self.batch: list[Sequence] = []
        self.seen: Counter[str] = Counter()
        self.prefill_done = 0
        self.prefill_wasted = 0
        self.output_tokens_made = 0
        self.delivered = 0
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._dropped: deque[tuple[float, int]] = deque()
        self._reports: deque[tuple[float, int, int]] = deque()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def counts(self) -> dict[str, Any]:
        """Return the counters of requests, prompt tokens and output tokens."""
        doubled = sum(1 for count in self.seen.values() if count > 1)
        return {
            "requests": len(self.seen),
            "doubled": doubled,
            "prefill_done": self.prefill_done,
            "prefill_wasted": self.prefill_wasted,
            "output_tokens": self.output_tokens_made,
            "delivered": self.delivered,
            "seen": dict(self.seen),
        }

    # Work.

    def admit(self, name: str, body: dict[str, Any]) -> Sequence:
        """Add a request to the queue, ordered by priority and arrival."""
        if self._task is None:
            self._task = asyncio.create_task(self._run_batches())
        self.seen[name] += 1
        prompt = body.get("prompt") or "\n".join(
            str(each.get("content", "")) for each in body.get("messages", [])
        )
        tokens = len(prompt) // CHARACTERS_PER_TOKEN + 1
        blocks = prompt_blocks(prompt)
        cached = min(self._count_cached_blocks(blocks) * BLOCK_TOKENS, tokens - 1)
        most = int(body.get("max_tokens", 256))
        wanted = body.get("fake_output_tokens") or _output_length(name, most)
        sequence = Sequence(
            name,
            tokens,
            cached,
            min(most, int(wanted)),
            int(body.get("priority", 0)),
            time.monotonic(),
            tokens - cached,
        )
        self._cache_blocks(blocks)
        self.sequences[name] = sequence
        self.queue.append(sequence)
        self.queue.sort(key=lambda each: (each.priority, each.arrived))
        self._wake.set()
        return sequence

    def cancel(self, name: str) -> None:
        """Stop work on a request; does nothing where it is unknown, done or cancelled."""
        sequence = self.sequences.get(name)
        if sequence is None or sequence.done or sequence.cancelled:
            return
        sequence.cancelled = True
        self.prefill_wasted += sequence.prefill_done
        if sequence in self.queue:
            self.queue.remove(sequence)
        if sequence in self.batch:
            self.batch.remove(sequence)
        sequence.changed.set()

    async def _run_batches(self) -> None:
        while True:
            if not self.queue and not self.batch:
                self._wake.clear()
                await self._wake.wait()
            if self.faults.hang:
                await asyncio.sleep(0.05)
                continue
            while self.queue and len(self.batch) < self.slots:
                self.batch.append(self.queue.pop(0))
            started = time.monotonic()
            seconds = self._run_step() * self.faults.slow
            await asyncio.sleep(max(0.0, seconds - (time.monotonic() - started)))

    def _run_step(self) -> float:
        """Process one chunk of one prompt and make one token for each stream.

        :return: the simulated time of the step, in seconds.
        """
        seconds = 0.0
        reading = next((each for each in self.batch if each.prefill_left > 0), None)
        if reading is not None:
            chunk = min(PREFILL_CHUNK_TOKENS, reading.prefill_left)
            reading.prefill_left -= chunk
            self.prefill_done += chunk
            seconds += chunk * self.prefill_s
        streams = [each for each in self.batch if each.prefill_left == 0]
        if streams:
            seconds += self.token_s * (1.0 + self.slope * (len(streams) - 1))
        for each in streams:
            each.append_token()
            self.output_tokens_made += 1
        self.batch = [each for each in self.batch if not each.done]
        return seconds

    # Cache.

    def _count_cached_blocks(self, blocks: tuple[int, ...]) -> int:
        depth = 0
        for block in blocks:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            depth += 1
        return depth

    def _cache_blocks(self, blocks: tuple[int, ...]) -> None:
        for block in reversed(blocks):
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self.cache_blocks:
            dropped, _ = self._cache.popitem(last=False)
            self._dropped.append((time.monotonic(), dropped))

    # Reports.

    def load_report(self) -> dict[str, Any]:
        """Return the load with a lag of ``report_lag_s``, and some of the dropped cache blocks."""
        now = time.monotonic()
        self._reports.append((now, len(self.batch), len(self.queue)))
        while len(self._reports) > 1 and self._reports[1][0] <= now - self.faults.report_lag_s:
            self._reports.popleft()
        at, running, waiting = self._reports[0]
        dropped: list[int] = []
        while self._dropped and self._dropped[0][0] <= now - self.faults.event_lag_s:
            _, block = self._dropped.popleft()
            if random.random() >= self.faults.event_gap:
                dropped.append(block)
        return {
            "running": running,
            "waiting": waiting,
            "age_s": now - at,
            "draining": self.faults.draining,
            "cache_dropped": dropped,
        }


def _output_length(name: str, most: int) -> int:
    """Draw an output length in tokens from a long-tailed distribution seeded by the request id."""
    source = random.Random(name)
    return max(1, min(most, int(math.exp(source.gauss(math.log(max(2, most / 3)), 0.7)))))


class CompletionsPage:
    """The route for new requests."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Complete a prompt as a stream."""
        engine = self._engine
        if engine.faults.die:
            os._exit(DIED_EXIT_CODE)
        body = await req.get_media()
        if engine.faults.refuse or engine.faults.draining:
            resp.set_header("Retry-After", "2")
            raise falcon.HTTPServiceUnavailable(description="refused")
        name = req.get_header("X-Request-Id") or f"anonymous-{time.monotonic_ns()}"
        sequence = engine.admit(name, body)
        resp.content_type = "text/event-stream"
        resp.stream = stream_events(engine, sequence, 0)


class EventsPage:
    """The routes that resume and cancel a request."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response, name: str) -> None:
        """Resume a stream at an offset, in events."""
        sequence = self._engine.sequences.get(name)
        if sequence is None or sequence.cancelled or not self._engine.faults.can_resume:
            raise falcon.HTTPServiceUnavailable(description="nothing to resume")
        resp.content_type = "text/event-stream"
        resp.stream = stream_events(self._engine, sequence, req.get_param_as_int("offset") or 0)

    async def on_delete(
        self, _: falcon.asgi.Request, resp: falcon.asgi.Response, name: str
    ) -> None:
        """Cancel a request; an unknown request is ignored."""
        self._engine.cancel(name)
        resp.status = 204


async def stream_events(engine: Engine, sequence: Sequence, offset: int) -> AsyncIterator[bytes]:
    """Yield a sequence's events from an offset on, and wait for those to come."""
    sequence.readers += 1
    sent = 0
    try:
        while not sequence.cancelled:
            if engine.faults.die:
                os._exit(DIED_EXIT_CODE)
            if engine.faults.cut_streams > 0 and sent >= 3:
                engine.faults.cut_streams -= 1
                raise ConnectionError("cut by a fault")
            if offset < len(sequence.events):
                yield sequence.events[offset]
                offset += 1
                sent += 1
            elif sequence.done:
                engine.delivered += not sequence.delivered
                sequence.delivered = True
                return
            else:
                sequence.changed.clear()
                await sequence.changed.wait()
        raise ConnectionError("cancelled")
    finally:
        sequence.readers -= 1
        if not sequence.delivered:
            asyncio.get_running_loop().call_later(
                RESUME_GRACE_S, _abandon_sequence, engine, sequence
            )


def _abandon_sequence(engine: Engine, sequence: Sequence) -> None:
    """Cancel an undelivered sequence without readers, and count its prefill work as wasted."""
    if sequence.readers > 0 or sequence.delivered or sequence.abandoned:
        return
    sequence.abandoned = True
    if sequence.done:
        engine.prefill_wasted += sequence.prefill_done
    else:
        engine.cancel(sequence.id)


class LoadPage:
    """The route of the load report."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    async def on_get(self, _: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Return the load report."""
        resp.media = self._engine.load_report()


def make_app(arguments: Any) -> Any:
    """Build the application."""
    engine = Engine(arguments)
    app: Any = falcon.asgi.App()
    for path in ("/v1/completions", "/v1/chat/completions"):
        app.add_route(path, CompletionsPage(engine))
        app.add_route(path + "/{name}", EventsPage(engine))
        app.add_route(path + "/{name}/events", EventsPage(engine))
    app.add_route("/load", LoadPage(engine))
    app.add_route("/control", Control(engine))
    return app


if __name__ == "__main__":
    made = parser("a model engine")
    made.add_argument("--slots", type=int, default=8)
    made.add_argument("--prefill-tokens-per-s", type=float, default=8000)
    made.add_argument("--decode-tokens-per-s", type=float, default=60)
    made.add_argument("--batch-slowdown", type=float, default=1.5)
    made.add_argument("--cache-blocks", type=int, default=256)
    parsed = made.parse_args()
    serve(make_app(parsed), parsed.address)
