"""
tests.shiftedload

The load of a booking fleet whose outputs vary hundredfold, before unlike engines, in virtual time.

The pattern and its grounds, from the sheet of the users' booking fleet: 70 engines of 4 slots, a
third of them 2.8 times faster than the others; rebookings, explanations and chats at 102, 132 and
59 a second; outputs with a coefficient of variation of 2.4, so that half of the chats have under
110 tokens and some 2,800; callers' estimates right at the median, with a spread of 0.5 in the
logarithm; one retry, as a refusal tells. A token takes 6.12 ms on an engine of speed 1, and 63 ms
more for each piece of a prompt that is read before it.
"""

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field

from chalkyoke.gateway.settings import GATEWAY_FEATURES
from chalkyoke.scheduling.messages import (
    Acquire,
    FirstOutput,
    Grant,
    Progress,
    ProgressItem,
    Release,
    Shed,
    Usage,
)
from chalkyoke.scheduling.scheduler import PoolScheduler
from chalkyoke.scheduling.state import (
    PoolSpec,
    ReleaseOutcome,
    RouteSpec,
    TeamSpec,
    TierSpec,
    UpstreamSpec,
)

STEP_S = 0.02
TOKEN_S, SETUP_S, READ_PER_S, CHUNK, STRIDE = 0.00612, 0.064, 32_400.0, 2048, 4
SPEEDS = (0.6, 1.7, 1.7)
SLOTS = 4
LATE_WORTH = 0.3
COMES_BACK_SHARE = 0.3


@dataclass(frozen=True)
class Kind:
    """One kind of request, as the sheet has it; ``cv`` are coefficients of variation."""

    name: str
    rate: float
    prompt: tuple[float, float, int]
    output: tuple[float, float, int]
    goal: float
    deadline: float
    worth: float
    tier: int


REBOOK = Kind("rebook", 102, (2890, 1.0, 18_300), (52, 2.4, 520), 1.035, 6.2, 5.4, 0)
EXPLAIN = Kind("explain", 132, (1800, 1.3, 6870), (23, 2.4, 224), 0.82, 4.1, 1.7, 1)
CHAT = Kind("chat", 59, (543, 0.89, 2310), (280, 2.4, 2800), 0.615, 15.4, 0.54, 2)
KINDS = (REBOOK, EXPLAIN, CHAT)
GAP_S = 0.4


@dataclass
class Demand:
    """What one caller wants; ``given`` is its estimate of the output."""

    id: str
    kind: Kind
    at: float
    prompt: int
    output: int
    given: int


@dataclass
class Run:
    """One try that an engine works on."""

    demand: Demand
    attempt: int
    began: float
    expected_first: float
    read_left: float
    tokens: float = 0.0
    first_at: float = 0.0


@dataclass
class Engine:
    """Reads prompts in pieces between tokens, and gives one token to each stream at a step."""

    speed: float
    runs: dict[str, Run] = field(default_factory=dict)

    def work(self, now):
        """Work for one step of time.

        :return: runs whose first token has come, and those that are done.
        """
        reading = [each for each in self.runs.values() if each.read_left > 0]
        step_s = self.speed * (TOKEN_S + 0.00002 * len(self.runs))
        left_s = STEP_S
        if reading:
            # A piece of a prompt goes between two tokens: most of the time is spent on reading.
            piece_s = self.speed * CHUNK / READ_PER_S
            share = piece_s / (piece_s + step_s)
            reading[0].read_left -= STEP_S * share
            left_s -= STEP_S * share
        firsts, done = [], []
        for run in list(self.runs.values()):
            if run.read_left > 0:
                continue
            if not run.first_at:
                run.first_at = now + STEP_S
                run.tokens = 1.0
                firsts.append(run)
            else:
                run.tokens += left_s / step_s
            if run.tokens >= run.demand.output:
                done.append(run)
                del self.runs[run.demand.id]
        return firsts, done


def lognormal(rng, mean, cv, most):
    sigma = math.sqrt(math.log(1.0 + cv * cv))
    return max(1, min(most, int(mean * rng.lognormvariate(-sigma * sigma / 2, sigma))))


@dataclass
class Score:
    """What callers got of one kind."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    cut: int = 0
    refused: int = 0
    held_s: float = 0.0

    @property
    def earned(self):
        return (self.in_time + LATE_WORTH * self.late) / max(1, self.asked)

    @property
    def served(self):
        return (self.in_time + self.late) / max(1, self.asked)


class ShiftedLoad:
    """Play the load with one scheduler.

    :param bursts: from, until, times, and of which kind (all where empty).
    """

    def __init__(self, seed, bursts=(), load=1.0, engines=70, features=GATEWAY_FEATURES):
        self.rng = random.Random(seed)
        self.bursts, self.load = bursts, load * engines / 70
        self.engines = {f"e{n:02}": Engine(SPEEDS[n % 3]) for n in range(engines)}
        ups = tuple(self.upstream(name) for name in self.engines)
        names = frozenset(self.engines)
        spec = PoolSpec(
            "p",
            ups,
            tuple(TierSpec(str(each.tier), each.tier) for each in KINDS),
            (TeamSpec("t"),),
            tuple(RouteSpec(each.name, names) for each in KINDS),
        )
        chance = random.Random(seed + 1)
        self.scheduler = PoolScheduler(spec, chance.random, 0.0, features=features)
        self.scores = {each.name: Score() for each in KINDS}
        self.largest = {each.name: Score() for each in KINDS}
        self.demands = {}
        self.tries = {}
        self.arrivals = []
        self.numbers = itertools.count()
        self.now = 0.0

    def upstream(self, name):
        return UpstreamSpec(
            name,
            f"{name}:1",
            "z",
            SLOTS,
            35_000.0,
            1 / 0.0055,
            1.1,
            cache_blocks=0,
            setup_s=0.05,
            attention_s_per_pair=1.2e-9,
            prefill_chunk_tokens=CHUNK,
            tokens_per_event=STRIDE,
        )

    def rate(self, kind, now):
        rate = kind.rate * self.load
        for since, until, times, name in self.bursts:
            if since <= now < until and name in ("", kind.name):
                rate *= times
        return rate

    def play(self, seconds):
        """Let requests come for some seconds, and wait until the last one has ended."""
        self.closes = seconds
        for kind in KINDS:
            self.arrive_next(kind, 0.0)
        while self.now < seconds + CHAT.deadline:
            until = self.now + STEP_S
            while self.arrivals and self.arrivals[0][0] < until:
                at, _, what, argument = heapq.heappop(self.arrivals)
                what(argument, at)
            self.now = until
            self.work()
            if int(self.now / STEP_S) % 2 == 0:
                self.take(self.scheduler.tick(self.now))
            if int(self.now / STEP_S) % 50 == 0:
                self.progress()
        return self

    # Callers.

    def arrive_next(self, kind, at):
        then = at + self.rng.expovariate(self.rate(kind, at))
        if then < self.closes:
            heapq.heappush(self.arrivals, (then, next(self.numbers), self.arrive, kind))

    def arrive(self, kind, at):
        self.arrive_next(kind, at)
        output = lognormal(self.rng, *kind.output)
        given = max(1, int(output * self.rng.lognormvariate(0.0, 0.5)))
        prompt = lognormal(self.rng, *kind.prompt)
        demand = Demand(f"d{next(self.numbers)}", kind, at, prompt, output, given)
        self.demands[demand.id] = demand
        for score in self.scored(demand):
            score.asked += 1
        self.ask(demand, at)

    def scored(self, demand):
        """Give the scores that count a demand: of its kind, and of its kind's largest tenth."""
        yield self.scores[demand.kind.name]
        mean, cv, _ = demand.kind.output
        sigma = math.sqrt(math.log(1.0 + cv * cv))
        if demand.output > mean * math.exp(-sigma * sigma / 2 + 1.2816 * sigma):
            yield self.largest[demand.kind.name]

    def ask(self, demand, at):
        kind = demand.kind
        ends = demand.at + kind.deadline
        attempt = self.tries[demand.id] = self.tries.get(demand.id, 0) + 1
        patience = max(2.0, 4 * kind.goal, 8 * GAP_S)
        message = Acquire(
            request=demand.id,
            attempt=attempt,
            pool="p",
            route=kind.name,
            tier=str(kind.tier),
            team="t",
            prompt_tokens=demand.prompt,
            max_output=kind.output[2],
            blocks=(),
            budget_s=min(ends - at, patience),
            waited_s=0.0,
            goal_s=kind.goal,
            likely_output=demand.given,
            gap_goal_s=GAP_S,
            whole_s=ends - at,
            fingerprint=int(demand.id[1:]) + 1,
            comes_back_s=(ends - at) * COMES_BACK_SHARE,
        )
        self.take(self.scheduler.acquire("n", "z", message, at))

    def take(self, outs):
        for out in outs:
            demand = self.demands[out.action.request]
            if isinstance(out.action, Grant):
                self.start(demand, out.action)
            elif isinstance(out.action, Shed):
                self.refused(demand, out.action)

    def refused(self, demand, shed):
        left = demand.at + demand.kind.deadline - self.now
        pause = min(shed.retry_after_s or 0.5, left / 3)
        if self.tries[demand.id] < 2 and left > 0.1:
            at = self.now + pause
            heapq.heappush(self.arrivals, (at, next(self.numbers), self.ask, demand))
            return
        for score in self.scored(demand):
            score.refused += 1
            score.held_s += self.now - demand.at

    # Engines.

    def start(self, demand, grant):
        engine = self.engines[grant.upstream]
        read_s = SETUP_S + demand.prompt / READ_PER_S
        engine.runs[demand.id] = Run(
            demand, grant.attempt, self.now, grant.expected_first_s, read_s * engine.speed
        )

    def work(self):
        for name, engine in self.engines.items():
            if not engine.runs:
                continue
            firsts, done = engine.work(self.now)
            for run in firsts:
                first_s = run.first_at - run.began
                self.scheduler.apply_first_output(
                    FirstOutput(run.demand.id, "p", first_s), self.now
                )
            for run in done:
                self.end(run, ReleaseOutcome.DELIVERED)
            for run in list(engine.runs.values()):
                if self.now > run.demand.at + run.demand.kind.deadline:
                    del self.engines[name].runs[run.demand.id]
                    self.end(run, ReleaseOutcome.CANCELLED)

    def end(self, run, outcome):
        demand = run.demand
        usage = Usage(
            demand.prompt,
            int(run.tokens),
            first_s=run.first_at - run.began if run.first_at else -1.0,
            total_s=self.now - run.began,
        )
        in_time = run.first_at and run.first_at <= demand.at + demand.kind.goal
        for score in self.scored(demand):
            if outcome is not ReleaseOutcome.DELIVERED:
                score.cut += 1
            elif in_time:
                score.in_time += 1
            else:
                score.late += 1
        message = Release(demand.id, run.attempt, "p", outcome, usage)
        self.take(self.scheduler.release("z", message, self.now))

    def progress(self):
        items = tuple(
            ProgressItem(
                run.demand.id,
                int(run.tokens),
                run.first_at - run.began if run.first_at else -1.0,
                self.now - run.began,
            )
            for engine in self.engines.values()
            for run in engine.runs.values()
        )
        self.take(self.scheduler.apply_progress("n", Progress("p", items), self.now))

    # What came of it.

    @property
    def earned(self):
        """The part of the worth that was asked for."""
        worth = {each.name: each.worth for each in KINDS}
        owed = sum(worth[name] * score.asked for name, score in self.scores.items())
        return (
            sum(worth[name] * each.earned * each.asked for name, each in self.scores.items()) / owed
        )

    @property
    def served(self):
        asked = sum(each.asked for each in self.scores.values())
        return sum(each.served * each.asked for each in self.scores.values()) / asked
