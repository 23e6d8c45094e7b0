"""
benches.policy.engine

A model engine in virtual time: continuous batching, one prompt read at a time in chunks, a prefix
cache with least-recently-used eviction, a queue of its own for callers that overfill it.
"""

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field

from chalkyoke.scheduling.placement import BLOCK_TOKENS

CHUNK_TOKENS = 512


@dataclass(eq=False)
class Sequence:
    """One request inside an engine."""

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
    base: float = 0.0
    state: str = "queued"

    @property
    def prefill_done(self) -> float:
        """Prompt tokens that the engine really read."""
        if self.state == "queued":
            return 0.0
        return self.prompt_tokens - self.cached_tokens - self.prefill_left


@dataclass
class EngineSpec:
    """What an engine can do, and where it stands."""

    id: str
    domain: str
    slots: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    batch_slowdown: float
    cache_blocks: int
    labels: dict[str, str] = field(default_factory=dict)


class SimEngine:
    """The engine. Call :meth:`advance` before any change, and ask :meth:`next_event` after."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.slow = 1.0
        self.gone = False
        self.version = 0
        self.batch: dict[str, Sequence] = {}
        self.queue: list[tuple[int, float, str, Sequence]] = []
        self.reading: list[tuple[int, float, str, Sequence]] = []
        self.finish: list[tuple[float, str, Sequence]] = []
        self.produced = 0.0
        self.decoding = 0
        self.last = 0.0
        self.prefilled = 0.0
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.dropped: list[tuple[float, int]] = []
        self._slope = (spec.batch_slowdown - 1.0) / max(1, spec.slots - 1)

    @property
    def load(self) -> int:
        """Requests inside, waiting ones included."""
        return len(self.batch) + sum(1 for each in self.queue if each[3].state == "queued")

    def token_time(self) -> float:
        """Seconds for one token of each stream, without a prompt being read."""
        base = 1.0 / self.spec.decode_tokens_per_s
        return base * (1.0 + self._slope * max(0, self.decoding - 1))

    def _rates(self) -> tuple[float, float]:
        """Give prompt tokens a second, and output tokens a second for each stream."""
        decode = self.token_time() if self.decoding else 0.0
        if self.reading:
            step = (CHUNK_TOKENS / self.spec.prefill_tokens_per_s + decode) * self.slow
            return CHUNK_TOKENS / step, (1.0 / step if self.decoding else 0.0)
        return 0.0, (1.0 / (decode * self.slow) if self.decoding else 0.0)

    def advance(self, now: float) -> None:
        """Work until a moment."""
        seconds = now - self.last
        self.last = now
        if seconds <= 0:
            return
        prefill, decode = self._rates()
        self.produced += decode * seconds
        if self.reading:
            head = self.reading[0][3]
            done = min(head.prefill_left, prefill * seconds)
            head.prefill_left -= done
            self.prefilled += done

    def next_event(self) -> float:
        """Give the moment of the next prompt read or answer finished; infinite for none."""
        self._drop_ended()
        prefill, decode = self._rates()
        moment = float("inf")
        if self.reading:
            moment = self.last + self.reading[0][3].prefill_left / prefill
        if self.finish:
            moment = min(moment, self.last + max(0.0, self.finish[0][0] - self.produced) / decode)
        return moment

    def collect(self, now: float) -> tuple[list[Sequence], list[Sequence]]:
        """Take what has happened by now.

        :return: sequences with their first token, and finished ones.
        """
        first: list[Sequence] = []
        finished: list[Sequence] = []
        while self.reading and self.reading[0][3].prefill_left <= 1e-6:
            _, _, _, sequence = heapq.heappop(self.reading)
            sequence.prefill_left = 0.0
            self._start_decoding(sequence, now)
            first.append(sequence)
        while self.finish and self.finish[0][0] <= self.produced + 1e-6:
            _, _, sequence = heapq.heappop(self.finish)
            if sequence.state != "decoding":
                continue
            sequence.state = "done"
            self.decoding -= 1
            del self.batch[sequence.id]
            finished.append(sequence)
        self._fill(now)
        return first, finished

    def submit(self, sequence: Sequence, now: float) -> None:
        """Take a request in."""
        heapq.heappush(self.queue, (sequence.priority, now, sequence.id, sequence))
        self._fill(now)

    def cancel(self, sequence: Sequence, now: float) -> None:
        """Drop a request."""
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
            self.reading = [each for each in self.reading if each[3] is not sequence]
            heapq.heapify(self.reading)
        self._fill(now)

    def tokens_of(self, sequence: Sequence) -> int:
        """Count the output tokens that a sequence has so far."""
        if sequence.state != "decoding":
            return 0
        return min(sequence.output_tokens, int(self.produced - sequence.base))

    def _start_decoding(self, sequence: Sequence, now: float) -> None:
        sequence.state = "decoding"
        sequence.first_at = now
        sequence.base = self.produced
        self.decoding += 1
        target = self.produced + sequence.output_tokens
        heapq.heappush(self.finish, (target, sequence.id, sequence))
        self._remember(sequence.blocks, now)

    def _fill(self, now: float) -> None:
        while self.queue and len(self.batch) < self.spec.slots:
            _, _, _, sequence = heapq.heappop(self.queue)
            if sequence.state != "queued":
                continue
            sequence.state = "reading"
            sequence.started_at = now
            cached = self._look_up(sequence.blocks) * BLOCK_TOKENS
            sequence.cached_tokens = min(cached, sequence.prompt_tokens - 1)
            sequence.prefill_left = float(sequence.prompt_tokens - sequence.cached_tokens)
            self.batch[sequence.id] = sequence
            heapq.heappush(self.reading, (sequence.priority, now, sequence.id, sequence))

    def _drop_ended(self) -> None:
        while self.finish and self.finish[0][2].state != "decoding":
            heapq.heappop(self.finish)

    def _look_up(self, blocks: tuple[int, ...]) -> int:
        depth = 0
        for block in blocks:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            depth += 1
        return depth

    def _remember(self, blocks: tuple[int, ...], now: float) -> None:
        for block in reversed(blocks):
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.spec.cache_blocks:
            block, _ = self.cache.popitem(last=False)
            self.dropped.append((now, block))
