"""
tests.shiftedload

The load of a booking fleet whose outputs vary by a factor of 100, on engines of different speed, in
virtual time.

The numbers are those of the users' booking fleet: 70 engines of 4 slots, a third of them 2.8 times
faster than the others; rebookings, explanations and chats at 102, 132 and 59 requests per second;
outputs with a coefficient of variation of 2.4, so that half of the chats have under 110 tokens and
some 2,800; callers' estimates right at the median, with a standard deviation of 0.5 in the
logarithm; one retry after a refusal, at the time that the refusal gives. A token takes 6.12 ms on
an engine with time factor 1, and 63 ms more for each chunk of a prompt that the engine reads before
it.
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
# Time of a token and of a request's setup in seconds, prompt tokens read per second, prompt tokens
# in a chunk, output tokens in an event.
TOKEN_S, SETUP_S, READ_TOKENS_PER_S, PREFILL_CHUNK_TOKENS, TOKENS_PER_EVENT = (
    0.00612,
    0.064,
    32_400.0,
    2048,
    4,
)
# Factors on the time of each operation, assigned to the engines in turn.
TIME_FACTORS = (0.6, 1.7, 1.7)
SLOTS_PER_ENGINE = 4
# Share of the worth that an answer after its goal keeps.
LATE_WORTH = 0.3
# Share of the time to the deadline after which a refused caller would return.
RETURN_SHARE = 0.3


@dataclass(frozen=True)
class Kind:
    """One kind of request.

    :ivar prompt: mean, coefficient of variation and maximum of the prompt, in tokens.
    :ivar output: mean, coefficient of variation and maximum of the output, in tokens.
    :ivar goal_s: time by which the first output is due, in seconds.
    :ivar worth: value of an answer in time.
    """

    name: str
    rate_per_s: float
    prompt: tuple[float, float, int]
    output: tuple[float, float, int]
    goal_s: float
    deadline_s: float
    worth: float
    tier: int


REBOOK = Kind("rebook", 102, (2890, 1.0, 18_300), (52, 2.4, 520), 1.035, 6.2, 5.4, 0)
EXPLAIN = Kind("explain", 132, (1800, 1.3, 6870), (23, 2.4, 224), 0.82, 4.1, 1.7, 1)
CHAT = Kind("chat", 59, (543, 0.89, 2310), (280, 2.4, 2800), 0.615, 15.4, 0.54, 2)
KINDS = (REBOOK, EXPLAIN, CHAT)
GAP_GOAL_S = 0.4


@dataclass
class Demand:
    """One request of a caller.

    :ivar estimated_output: the caller's estimate of the output, in tokens.
    """

    id: str
    kind: Kind
    arrived_at: float
    prompt: int
    output: int
    estimated_output: int
    team: str = "t"


@dataclass
class Run:
    """One attempt that runs on an engine."""

    demand: Demand
    attempt: int
    started_at: float
    expected_first_s: float
    read_left_s: float
    tokens: float = 0.0
    first_at: float = 0.0


@dataclass
class Engine:
    """An engine that reads prompts in chunks between tokens, with one token per stream and step."""

    time_factor: float
    runs: dict[str, Run] = field(default_factory=dict)
    token_s: float = TOKEN_S
    read_tokens_per_s: float = READ_TOKENS_PER_S

    def advance(self, now, work_s=STEP_S):
        """Advance all runs by one time step of ``STEP_S``.

        :param now: time at the start of the step, in seconds.
        :param work_s: work done in the step, in seconds of an undisturbed engine.
        :return: runs that produced their first token, and finished runs.
        """
        reading = [each for each in self.runs.values() if each.read_left_s > 0]
        step_s = self.time_factor * (self.token_s + 0.00002 * len(self.runs))
        left_s = work_s
        if reading:
            # One chunk of a prompt is read between two tokens, which takes most of the time.
            piece_s = self.time_factor * PREFILL_CHUNK_TOKENS / self.read_tokens_per_s
            share = piece_s / (piece_s + step_s)
            reading[0].read_left_s -= work_s * share
            left_s -= work_s * share
        firsts, done = [], []
        for run in list(self.runs.values()):
            if run.read_left_s > 0:
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
    """The results of the callers of one kind of request."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    cut: int = 0
    refused: int = 0
    waited_s: float = 0.0

    @property
    def earned(self):
        return (self.in_time + LATE_WORTH * self.late) / max(1, self.asked)

    @property
    def served(self):
        return (self.in_time + self.late) / max(1, self.asked)


class ShiftedLoad:
    """Plays the load with one scheduler.

    :param bursts: tuples of the start and end in seconds, the factor on the arrival rate, and the
        name of the kind of request (empty for all kinds).
    :param load: factor on all arrival rates.
    :cvar kinds: the kinds of requests, and the teams that the pool's configuration names.
    """

    kinds = KINDS
    teams = (TeamSpec("t"),)
    gap_goal_s = GAP_GOAL_S

    def __init__(self, seed, bursts=(), load=1.0, engines=70, features=GATEWAY_FEATURES):
        self.rng = random.Random(seed)
        self.bursts, self.load = bursts, load * engines / 70
        self.engines = {f"e{n:02}": self.make_engine(n) for n in range(engines)}
        upstreams = tuple(self.upstream(name) for name in self.engines)
        names = frozenset(self.engines)
        spec = PoolSpec(
            "p",
            upstreams,
            tuple(TierSpec(str(each.tier), each.tier) for each in self.kinds),
            self.teams,
            tuple(RouteSpec(each.name, names) for each in self.kinds),
        )
        scheduler_rng = random.Random(seed + 1)
        self.scheduler = PoolScheduler(spec, scheduler_rng.random, 0.0, features=features)
        self.scores = {each.name: Score() for each in self.kinds}
        self.largest = {each.name: Score() for each in self.kinds}
        self.demands = {}
        self.attempts = {}
        self.events = []
        self.sequence = itertools.count()
        self.now = 0.0

    def make_engine(self, number):
        return Engine(TIME_FACTORS[number % 3])

    def domain_of(self, demand):
        """Return the failure domain of the host that accepted a request."""
        return "z"

    def load_fields(self, engine):
        """Return the load that the engine reports with a response, as fields of a message."""
        return {}

    def upstream(self, name):
        return UpstreamSpec(
            name,
            f"{name}:1",
            "z",
            SLOTS_PER_ENGINE,
            35_000.0,
            1 / 0.0055,
            1.1,
            cache_blocks=0,
            setup_s=0.05,
            attention_s_per_pair=1.2e-9,
            prefill_chunk_tokens=PREFILL_CHUNK_TOKENS,
            tokens_per_event=TOKENS_PER_EVENT,
        )

    def arrival_rate(self, kind, now):
        rate = kind.rate_per_s * self.load
        for since, until, times, name in self.bursts:
            if since <= now < until and name in ("", kind.name):
                rate *= times
        return rate

    def run_load(self, seconds):
        """Let requests arrive for some seconds, and run until the last one has ended."""
        self.arrivals_end_at = seconds
        for kind in self.kinds:
            self.schedule_arrival(kind, 0.0)
        while self.now < seconds + max(each.deadline_s for each in self.kinds):
            until = self.now + STEP_S
            while self.events and self.events[0][0] < until:
                at, _, what, argument = heapq.heappop(self.events)
                what(argument, at)
            self.now = until
            self.advance_engines()
            if int(self.now / STEP_S) % 2 == 0:
                self.apply_actions(self.scheduler.tick(self.now))
            if int(self.now / STEP_S) % 50 == 0:
                self.send_progress()
        return self

    # Callers.

    def schedule_arrival(self, kind, at):
        next_at = at + self.rng.expovariate(self.arrival_rate(kind, at))
        if next_at < self.arrivals_end_at:
            heapq.heappush(self.events, (next_at, next(self.sequence), self.handle_arrival, kind))

    def handle_arrival(self, kind, at):
        self.schedule_arrival(kind, at)
        output = lognormal(self.rng, *kind.output)
        estimated_output = max(1, int(output * self.rng.lognormvariate(0.0, 0.5)))
        prompt = lognormal(self.rng, *kind.prompt)
        name, team = f"d{next(self.sequence)}", self.draw_team(at)
        demand = Demand(name, kind, at, prompt, output, estimated_output, team)
        self.demands[demand.id] = demand
        for score in self.scores_of(demand):
            score.asked += 1
        self.send_acquire(demand, at)

    def draw_team(self, at):
        return "t"

    def scores_of(self, demand):
        """Yield the scores that count a demand: its kind, and the tenth with most output."""
        yield self.scores[demand.kind.name]
        mean, cv, _ = demand.kind.output
        sigma = math.sqrt(math.log(1.0 + cv * cv))
        if demand.output > mean * math.exp(-sigma * sigma / 2 + 1.2816 * sigma):
            yield self.largest[demand.kind.name]

    def send_acquire(self, demand, at):
        kind = demand.kind
        deadline_at = demand.arrived_at + kind.deadline_s
        attempt = self.attempts[demand.id] = self.attempts.get(demand.id, 0) + 1
        max_wait_s = max(2.0, 4 * kind.goal_s, 8 * self.gap_goal_s)
        message = Acquire(
            request=demand.id,
            attempt=attempt,
            pool="p",
            route=kind.name,
            tier=str(kind.tier),
            team=demand.team,
            prompt_tokens=demand.prompt,
            max_output=kind.output[2],
            blocks=(),
            budget_s=min(deadline_at - at, max_wait_s),
            waited_s=0.0,
            goal_s=kind.goal_s,
            likely_output=demand.estimated_output,
            gap_goal_s=self.gap_goal_s,
            whole_s=deadline_at - at,
            fingerprint=int(demand.id[1:]) + 1,
            comes_back_s=(deadline_at - at) * RETURN_SHARE,
        )
        self.apply_actions(self.scheduler.acquire("n", self.domain_of(demand), message, at))

    def apply_actions(self, outs):
        for out in outs:
            demand = self.demands[out.action.request]
            if isinstance(out.action, Grant):
                self.start_run(demand, out.action)
            elif isinstance(out.action, Shed):
                self.retry_or_refuse(demand, out.action)

    def retry_or_refuse(self, demand, shed):
        left = demand.arrived_at + demand.kind.deadline_s - self.now
        pause = min(shed.retry_after_s or 0.5, left / 3)
        if self.attempts[demand.id] < 2 and left > 0.1:
            at = self.now + pause
            heapq.heappush(self.events, (at, next(self.sequence), self.send_acquire, demand))
            return
        for score in self.scores_of(demand):
            score.refused += 1
            score.waited_s += self.now - demand.arrived_at

    # Engines.

    def start_run(self, demand, grant):
        engine = self.engines[grant.upstream]
        read_s = SETUP_S + demand.prompt / engine.read_tokens_per_s
        engine.runs[demand.id] = Run(
            demand, grant.attempt, self.now, grant.expected_first_s, read_s * engine.time_factor
        )

    def advance_engines(self):
        for name, engine in self.engines.items():
            if not engine.runs:
                continue
            firsts, done = engine.advance(self.now)
            for run in firsts:
                first_s = run.first_at - run.started_at
                self.scheduler.apply_first_output(
                    FirstOutput(run.demand.id, "p", first_s, **self.load_fields(engine)), self.now
                )
            for run in done:
                self.finish_run(run, ReleaseOutcome.DELIVERED)
            for run in list(engine.runs.values()):
                if self.now > run.demand.arrived_at + run.demand.kind.deadline_s:
                    del self.engines[name].runs[run.demand.id]
                    self.finish_run(run, ReleaseOutcome.CANCELLED)

    def finish_run(self, run, outcome):
        demand = run.demand
        usage = Usage(
            demand.prompt,
            output_tokens=int(run.tokens),
            first_s=run.first_at - run.started_at if run.first_at else -1.0,
            total_s=self.now - run.started_at,
        )
        in_time = run.first_at and run.first_at <= demand.arrived_at + demand.kind.goal_s
        for score in self.scores_of(demand):
            if outcome is not ReleaseOutcome.DELIVERED:
                score.cut += 1
            elif in_time:
                score.in_time += 1
            else:
                score.late += 1
        message = Release(demand.id, run.attempt, "p", outcome, usage)
        self.apply_actions(self.scheduler.release(self.domain_of(demand), message, self.now))

    def send_progress(self):
        items = tuple(
            ProgressItem(
                run.demand.id,
                int(run.tokens),
                run.first_at - run.started_at if run.first_at else -1.0,
                self.now - run.started_at,
            )
            for engine in self.engines.values()
            for run in engine.runs.values()
        )
        self.apply_actions(self.scheduler.apply_progress("n", Progress("p", items), self.now))

    # Results.

    @property
    def earned(self):
        """The earned share of the worth of all requests."""
        worth = {each.name: each.worth for each in self.kinds}
        total_worth = sum(worth[name] * score.asked for name, score in self.scores.items())
        return (
            sum(worth[name] * each.earned * each.asked for name, each in self.scores.items())
            / total_worth
        )

    @property
    def served(self):
        asked = sum(each.asked for each in self.scores.values())
        return sum(each.served * each.asked for each in self.scores.values()) / asked
