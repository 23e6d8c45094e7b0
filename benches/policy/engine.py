"""
benches.policy.engine

A simulated engine in virtual time, with continuous batching, chunked prefill of one prompt at a
time, a prefix cache with least-recently-used eviction, and a queue for requests beyond its slots.
"""

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field

from chalkyoke.scheduling.placement import BLOCK_TOKENS

# Prompt tokens that the engine processes in one step.
PREFILL_CHUNK_TOKENS = 512


@dataclass(eq=False)
class Sequence:
    """One request inside an engine.

    :ivar blocks: ids of the prompt's prefix blocks.
    :ivar submitted: virtual time of the submission, in seconds.
    :ivar prefill_left: prompt tokens still to be processed.
    :ivar first_at: virtual time of the first token; -1 before it.
    :ivar produced_at_first: the engine's ``produced`` counter at the first token.
    """

    id: str
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[int, ...]
    priority: int
    submitted: float
    cached_tokens: int = 0
    prefill_left: float = 0.0
    started_at: float = -1.0
    first_at: float = -1.0
    produced_at_first: float = 0.0
    state: str = "queued"

    @property
    def prefill_done(self) -> float:
        """Prompt tokens that the engine has processed, cached ones excluded."""
        if self.state == "queued":
            return 0.0
        return self.prompt_tokens - self.cached_tokens - self.prefill_left


@dataclass
class EngineSpec:
    """The speed, size, failure domain and labels of an engine.

    :ivar batch_slowdown: time of a token with all slots in use, as a multiple of one stream's.
    """

    id: str
    domain: str
    slots: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    batch_slowdown: float
    cache_blocks: int
    labels: dict[str, str] = field(default_factory=dict)


class SimEngine:
    """A simulated engine.

    Callers call :meth:`advance` before any change and :meth:`next_event` after it.

    :ivar slow: factor on the time of every step; 1 without a fault.
    :ivar gone: whether the engine is down.
    :ivar version: number of the last scheduled event; earlier ones are stale.
    :ivar produced: output tokens that a stream would have if it decoded since the start.
    :ivar decoding: streams that decode.
    :ivar dropped: evicted cache blocks with the time of their eviction.
    """

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.slow = 1.0
        self.gone = False
        self.version = 0
        self.batch: dict[str, Sequence] = {}
        self.queue: list[tuple[int, float, str, Sequence]] = []
        self.prefill_heap: list[tuple[int, float, str, Sequence]] = []
        self.finish_heap: list[tuple[float, str, Sequence]] = []
        self.produced = 0.0
        self.decoding = 0
        self.advanced_to = 0.0
        self.prefilled = 0.0
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.dropped: list[tuple[float, int]] = []
        self._slope = (spec.batch_slowdown - 1.0) / max(1, spec.slots - 1)

    @property
    def load(self) -> int:
        """Requests in the batch and in the engine's queue."""
        return len(self.batch) + sum(1 for each in self.queue if each[3].state == "queued")

    def token_time(self) -> float:
        """Return the seconds for one token of each stream while no prompt is processed."""
        base = 1.0 / self.spec.decode_tokens_per_s
        return base * (1.0 + self._slope * max(0, self.decoding - 1))

    def _rates(self) -> tuple[float, float]:
        """Return prompt tokens per second, and output tokens per second of each stream."""
        decode = self.token_time() if self.decoding else 0.0
        if self.prefill_heap:
            step = (PREFILL_CHUNK_TOKENS / self.spec.prefill_tokens_per_s + decode) * self.slow
            return PREFILL_CHUNK_TOKENS / step, (1.0 / step if self.decoding else 0.0)
        return 0.0, (1.0 / (decode * self.slow) if self.decoding else 0.0)

    def advance(self, now: float) -> None:
        """Process prompts and produce tokens up to a virtual time."""
        seconds = now - self.advanced_to
        self.advanced_to = now
        if seconds <= 0:
            return
        prefill, decode = self._rates()
        self.produced += decode * seconds
        if self.prefill_heap:
            head = self.prefill_heap[0][3]
            done = min(head.prefill_left, prefill * seconds)
            head.prefill_left -= done
            self.prefilled += done

    def next_event(self) -> float:
        """Return the time at which the next prompt or answer is finished; infinite for none."""
        self._drop_cancelled()
        prefill, decode = self._rates()
        moment = float("inf")
        if self.prefill_heap:
            moment = self.advanced_to + self.prefill_heap[0][3].prefill_left / prefill
        if self.finish_heap:
            moment = min(
                moment, self.advanced_to + max(0.0, self.finish_heap[0][0] - self.produced) / decode
            )
        return moment

    def collect(self, now: float) -> tuple[list[Sequence], list[Sequence]]:
        """Collect the prompts and answers that are finished, and fill the batch from the queue.

        :return: sequences that got their first token, and finished ones.
        """
        first: list[Sequence] = []
        finished: list[Sequence] = []
        while self.prefill_heap and self.prefill_heap[0][3].prefill_left <= 1e-6:
            _, _, _, sequence = heapq.heappop(self.prefill_heap)
            sequence.prefill_left = 0.0
            self._start_decoding(sequence, now)
            first.append(sequence)
        while self.finish_heap and self.finish_heap[0][0] <= self.produced + 1e-6:
            _, _, sequence = heapq.heappop(self.finish_heap)
            if sequence.state != "decoding":
                continue
            sequence.state = "done"
            self.decoding -= 1
            del self.batch[sequence.id]
            finished.append(sequence)
        self._fill_batch(now)
        return first, finished

    def submit(self, sequence: Sequence, now: float) -> None:
        """Queue a request; it joins the batch when a slot is free."""
        heapq.heappush(self.queue, (sequence.priority, now, sequence.id, sequence))
        self._fill_batch(now)

    def cancel(self, sequence: Sequence, now: float) -> None:
        """Cancel a request; does nothing if it has ended."""
        if sequence.state in ("done", "cancelled"):
            return
        if sequence.state == "decoding":
            self.decoding -= 1
        reading = sequence.state == "reading"
        was_queued = sequence.state == "queued"
        if not was_queued:
            del self.batch[sequence.id]
        sequence.state = "cancelled_queued" if was_queued else "cancelled"
        if reading:
            self.prefill_heap = [each for each in self.prefill_heap if each[3] is not sequence]
            heapq.heapify(self.prefill_heap)
        self._fill_batch(now)

    def tokens_of(self, sequence: Sequence) -> int:
        """Return the output tokens of a sequence so far; 0 unless it is decoding."""
        if sequence.state != "decoding":
            return 0
        return min(sequence.output_tokens, int(self.produced - sequence.produced_at_first))

    def _start_decoding(self, sequence: Sequence, now: float) -> None:
        sequence.state = "decoding"
        sequence.first_at = now
        sequence.produced_at_first = self.produced
        self.decoding += 1
        target = self.produced + sequence.output_tokens
        heapq.heappush(self.finish_heap, (target, sequence.id, sequence))
        self._cache_prefix(sequence.blocks, now)

    def _fill_batch(self, now: float) -> None:
        while self.queue and len(self.batch) < self.spec.slots:
            _, _, _, sequence = heapq.heappop(self.queue)
            if sequence.state != "queued":
                continue
            sequence.state = "reading"
            sequence.started_at = now
            cached = self._cached_prefix_blocks(sequence.blocks) * BLOCK_TOKENS
            sequence.cached_tokens = min(cached, sequence.prompt_tokens - 1)
            sequence.prefill_left = float(sequence.prompt_tokens - sequence.cached_tokens)
            self.batch[sequence.id] = sequence
            heapq.heappush(self.prefill_heap, (sequence.priority, now, sequence.id, sequence))

    def _drop_cancelled(self) -> None:
        while self.finish_heap and self.finish_heap[0][2].state != "decoding":
            heapq.heappop(self.finish_heap)

    def _cached_prefix_blocks(self, blocks: tuple[int, ...]) -> int:
        depth = 0
        for block in blocks:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            depth += 1
        return depth

    def _cache_prefix(self, blocks: tuple[int, ...], now: float) -> None:
        for block in reversed(blocks):
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.spec.cache_blocks:
            block, _ = self.cache.popitem(last=False)
            self.dropped.append((now, block))
