"""
benches.policy.simulation

Run one scenario with one policy and one seed in virtual time, and measure the result.
"""

import heapq
import itertools
import math
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from benches.policy.engine import Sequence, SimEngine
from benches.policy.scenario import DRAIN_S, WARM_UP_S, Demand, Scenario
from benches.policy.valuation import Value

FAIRNESS_SAMPLE_S = 0.25
# Delay before the next attempt of a caller that ignores Retry-After.
IGNORING_RETRY_S = 0.2
# Delay before the next attempt where a refusal has no Retry-After.
DEFAULT_RETRY_S = 1.0


@dataclass(eq=False)
class CallerAttempt:
    """One attempt of a caller to get its demand served.

    :ivar number: number of the attempt, from 1.
    :ivar sequence: the request inside its engine; None until it is dispatched.
    """

    id: str
    demand: Demand
    number: int
    arrived: float
    deadline: float
    sequence: Sequence | None = None
    engine: SimEngine | None = None
    ended: bool = False


class Policy(Protocol):
    """A policy: it decides when the simulation dispatches an attempt, and to which engine."""

    name: str

    def attach(self, simulation: "Simulation") -> None:
        """Attach the policy to a simulation and start its timers."""

    def on_arrival(self, attempt: CallerAttempt) -> None:
        """Receive a new attempt."""

    def on_first_token(self, attempt: CallerAttempt) -> None:
        """Receive the first token of a dispatched attempt."""

    def on_end(self, attempt: CallerAttempt, delivered: bool) -> None:
        """Receive the end of a dispatched attempt, delivered or not."""

    def on_waiting_ended(self, attempt: CallerAttempt) -> None:
        """Receive the end of a waiting attempt: its caller left, or its deadline passed."""

    def lose_scheduler(self) -> None:
        """Simulate the loss of the scheduler process."""

    def count_waiting(self) -> dict[str, dict[str, int]]:
        """Count waiting attempts by tier and team; empty if none wait outside the engines."""


@dataclass
class RunResult:
    """The measurements of one run.

    :ivar demands: measured demands by tier.
    :ivar delivered: answers delivered whole and in time, by tier.
    :ivar wasted_prefill: prompt tokens that engines processed for requests cut off later.
    :ivar fairness: the lowest Jain index of a tier with contending teams; NaN if there is none.
    :ivar refused: refusals by reason.
    """

    scenario: str
    fleet: str
    policy: str
    seed: int
    demands: dict[str, int] = field(default_factory=dict)
    delivered: dict[str, int] = field(default_factory=dict)
    wasted_prefill: float = 0.0
    prefill: float = 0.0
    fairness: float = math.nan
    refused: dict[str, int] = field(default_factory=dict)
    value: Value = field(default_factory=Value)

    @property
    def goodput(self) -> float:
        """The share of all demands that were delivered whole and in time."""
        return sum(self.delivered.values()) / max(1, sum(self.demands.values()))

    def tier_goodput(self, tier: str) -> float:
        """Return the share of a tier's demands that were delivered whole and in time."""
        return self.delivered.get(tier, 0) / max(1, self.demands.get(tier, 0))


class Simulation:
    """The event loop in virtual time with its engines, callers and measurements."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.now = 0.0
        self.random = random.Random(seed + 7_000_000)
        self.engines = {spec.id: SimEngine(spec) for spec in scenario.engines}
        self.result = RunResult(scenario.name, scenario.fleet, policy.name, seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._dispatched: dict[str, CallerAttempt] = {}
        self._work_by_tier: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
        self._contended_tiers: set[str] = set()
        self._seed = seed

    # Event loop.

    def call_at(self, moment: float, work: Callable[[], None]) -> None:
        """Call a function at a virtual time in seconds, or now if that time has passed."""
        heapq.heappush(self._events, (max(moment, self.now), next(self._order), work))

    def call_every(self, seconds: float, work: Callable[[], None]) -> None:
        """Call a function periodically, first after one period."""

        def again() -> None:
            work()
            self.call_at(self.now + seconds, again)

        self.call_at(self.now + seconds, again)

    def run(self) -> RunResult:
        """Run the scenario to its end and return the measurements."""
        self.policy.attach(self)
        for demand in self.scenario.draw_demands(self._seed):
            self._count_demand(demand)
            self.call_at(demand.at, lambda demand=demand: self._start_attempt(demand, 1))  # type: ignore[misc]
        for fault in self.scenario.faults:
            self.call_at(fault.at, lambda fault=fault: self._apply_fault(fault, True))  # type: ignore[misc]
            self.call_at(fault.until, lambda fault=fault: self._apply_fault(fault, False))  # type: ignore[misc]
        self.call_every(FAIRNESS_SAMPLE_S, self._sample_fairness)
        end = self.scenario.end + DRAIN_S
        while self._events and self._events[0][0] <= end:
            self.now, _, work = heapq.heappop(self._events)
            work()
        self._compute_fairness()
        return self.result

    # Callers.

    def _is_measured(self, demand: Demand) -> bool:
        return WARM_UP_S <= demand.at < self.scenario.end

    def _count_demand(self, demand: Demand) -> None:
        # A caller that leaves early of its own accord isn't a demand that could be met.
        if self._is_measured(demand) and demand.leaves_after_s == math.inf:
            counts = self.result.demands
            counts[demand.tier] = counts.get(demand.tier, 0) + 1
            self.result.value.demands += 1

    def _start_attempt(self, demand: Demand, number: int) -> None:
        attempt = CallerAttempt(
            f"{demand.id}.{number}", demand, number, self.now, self.now + demand.deadline_s
        )
        self.call_at(
            min(attempt.deadline, self.now + demand.leaves_after_s), lambda: self._expire(attempt)
        )
        self.policy.on_arrival(attempt)

    def _expire(self, attempt: CallerAttempt) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.sequence is None:
            self._count_unserved(attempt)
            self.policy.on_waiting_ended(attempt)
            return
        assert attempt.engine is not None
        self._update_engine(attempt.engine, lambda: self._cancel_sequence(attempt))
        self.policy.on_end(attempt, False)

    def _cancel_sequence(self, attempt: CallerAttempt) -> None:
        assert attempt.engine is not None
        assert attempt.sequence is not None
        self._count_waste(attempt)
        attempt.engine.cancel(attempt.sequence, self.now)

    def _count_waste(self, attempt: CallerAttempt) -> None:
        assert attempt.sequence is not None
        if self._is_measured(attempt.demand):
            self.result.wasted_prefill += attempt.sequence.prefill_done
        self._count_work(attempt)

    def refuse(self, attempt: CallerAttempt, reason: str, retry_after_s: float | None) -> None:
        """Refuse an attempt that was not run; the caller may retry later."""
        attempt.ended = True
        self._count_unserved(attempt)
        counts = self.result.refused
        counts[reason] = counts.get(reason, 0) + 1
        demand = attempt.demand
        if attempt.number >= demand.max_attempts:
            return
        pause = retry_after_s if retry_after_s is not None else DEFAULT_RETRY_S
        if not demand.obeys_retry_after:
            pause = IGNORING_RETRY_S
        self.call_at(self.now + pause, lambda: self._start_attempt(demand, attempt.number + 1))

    def _count_unserved(self, attempt: CallerAttempt) -> None:
        """Count an attempt that ended without being dispatched, with the time it was held."""
        demand = attempt.demand
        if not self._is_measured(demand) or demand.leaves_after_s < math.inf:
            return
        value = self.result.value
        held_s = self.now - attempt.arrived
        value.note_unserved(
            held_s, demand.deadline_s, demand.deadline_s, returned=attempt.number > 1
        )
        value.beside_free += self._is_mostly_free()

    def _is_mostly_free(self) -> bool:
        """Return whether under half of the slots are in use and no attempt waits for a grant."""
        live_engines = [each for each in self.engines.values() if not each.gone]
        slots = sum(each.spec.slots for each in live_engines)
        taken = sum(min(each.load, each.spec.slots) for each in live_engines)
        waiting = any(any(teams.values()) for teams in self.policy.count_waiting().values())
        return taken < slots / 2 and not waiting

    # Engines.

    def dispatch(self, attempt: CallerAttempt, engine: SimEngine, priority: int) -> bool:
        """Send an attempt to an engine.

        :return: whether the engine was reached; an engine that is down accepts nothing.
        """
        if engine.gone:
            return False
        demand = attempt.demand
        sequence = Sequence(
            attempt.id,
            demand.prompt_tokens,
            demand.output_tokens,
            demand.blocks,
            priority,
            self.now,
        )
        attempt.sequence, attempt.engine = sequence, engine
        self._dispatched[attempt.id] = attempt
        self._update_engine(engine, lambda: engine.submit(sequence, self.now))
        return True

    def _update_engine(self, engine: SimEngine, change: Callable[[], None]) -> None:
        engine.advance(self.now)
        change()
        self._schedule_next_event(engine)

    def _schedule_next_event(self, engine: SimEngine) -> None:
        engine.version += 1
        version = engine.version
        moment = engine.next_event()
        if moment < math.inf:
            self.call_at(moment, lambda: self._engine_event(engine, version))

    def _engine_event(self, engine: SimEngine, version: int) -> None:
        if engine.version != version or engine.gone:
            return
        engine.advance(self.now)
        first, finished = engine.collect(self.now)
        self._schedule_next_event(engine)
        for sequence in first:
            self.policy.on_first_token(self._dispatched[sequence.id])
        for sequence in finished:
            self._complete(self._dispatched[sequence.id])

    def _complete(self, attempt: CallerAttempt) -> None:
        attempt.ended = True
        demand = attempt.demand
        if self._is_measured(demand) and demand.leaves_after_s == math.inf:
            counts = self.result.delivered
            counts[demand.tier] = counts.get(demand.tier, 0) + 1
            self.result.value.note_answer(self.now - demand.at, demand.deadline_s)
        self._count_work(attempt)
        self.policy.on_end(attempt, True)

    # Faults.

    def _apply_fault(self, fault: Any, begins: bool) -> None:
        if fault.kind == "lose_scheduler":
            if begins:
                self.policy.lose_scheduler()
            return
        for name in fault.engines:
            engine = self.engines[name]
            if fault.kind == "slow":
                factor = fault.factor if begins else 1.0
                self._update_engine(engine, lambda e=engine, f=factor: setattr(e, "slow", f))  # type: ignore[misc]
            elif fault.kind == "gone":
                self._set_gone(engine, begins)

    def _set_gone(self, engine: SimEngine, gone: bool) -> None:
        engine.advance(self.now)
        engine.gone = gone
        inside = [
            each for each in self._dispatched.values() if each.engine is engine and not each.ended
        ]
        for attempt in inside:
            attempt.ended = True
            self._cancel_sequence(attempt)
            self.policy.on_end(attempt, False)
        engine.cache.clear()
        self._schedule_next_event(engine)

    # Fairness.

    def _count_work(self, attempt: CallerAttempt) -> None:
        sequence, engine = attempt.sequence, attempt.engine
        assert sequence is not None
        assert engine is not None
        if attempt.demand.tier not in self._contended_tiers:
            return
        output = sequence.output_tokens if sequence.state == "done" else engine.tokens_of(sequence)
        prefill = sum(1 / spec.prefill_tokens_per_s for spec in self.scenario.engines)
        decode = sum(1 / spec.decode_tokens_per_s for spec in self.scenario.engines)
        work = sequence.prefill_done * prefill + output * decode
        self._work_by_tier[attempt.demand.tier][attempt.demand.team] += work

    def _sample_fairness(self) -> None:
        backlogged = self.policy.count_waiting()
        self._contended_tiers = set()
        for tier in self.scenario.tiers:
            teams = [team["name"] for team in self.scenario.teams if team["tier"] == tier["name"]]
            waiting = backlogged.get(tier["name"], {})
            if len(teams) > 1 and all(waiting.get(team, 0) > 0 for team in teams):
                self._contended_tiers.add(tier["name"])

    def _compute_fairness(self) -> None:
        weights = {team["name"]: team["weight"] for team in self.scenario.teams}
        worst = math.nan
        for tier, work in self._work_by_tier.items():
            teams = [team["name"] for team in self.scenario.teams if team["tier"] == tier]
            shares = [work.get(team, 0.0) / weights[team] for team in teams]
            if sum(work.values()) > 0 and len(teams) > 1 and self._is_enough_work(work):
                jain = sum(shares) ** 2 / (len(shares) * sum(each * each for each in shares))
                worst = jain if math.isnan(worst) else min(worst, jain)
        self.result.fairness = worst

    def _is_enough_work(self, work: dict[str, float]) -> bool:
        """Return whether a tier's work is over 60 s for the mean engine.

        With less work, single long answers would decide the fairness.
        """
        return sum(work.values()) > 60.0 * len(self.scenario.engines)
