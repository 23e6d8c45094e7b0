"""
benches.policy.simulation

Play one scenario with one policy and one seed, in virtual time, and judge it.
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
from benches.policy.scenario import TAIL_S, WARM_UP_S, Demand, Scenario
from benches.policy.valuation import Value

FAIR_SAMPLE_S = 0.25
NOT_OBEYING_S = 0.2
DEFAULT_RETRY_S = 1.0


@dataclass(eq=False)
class Try:
    """One try of a demand.

    :ivar sequence: its place in an engine, once it was sent.
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
    """What decides; it starts tries on engines through the simulation."""

    name: str

    def begin(self, simulation: "Simulation") -> None:
        """Get ready."""

    def arrive(self, item: Try) -> None:
        """Take a try in."""

    def first(self, item: Try) -> None:
        """Hear of a first token."""

    def ended(self, item: Try, delivered: bool) -> None:
        """Hear of an end after a start."""

    def left(self, item: Try) -> None:
        """Hear that a try that waits is over: its caller left, or its deadline passed."""

    def lose_scheduler(self) -> None:
        """Lose the scheduler process."""

    def backlogged(self) -> dict[str, dict[str, int]]:
        """Count waiting tries by tier and team; empty where nothing waits outside engines."""


@dataclass
class Verdict:
    """The measures of one play."""

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
        """Share of all demands that were delivered whole and in time."""
        return sum(self.delivered.values()) / max(1, sum(self.demands.values()))

    def tier_goodput(self, tier: str) -> float:
        """Share of a tier's demands that were delivered whole and in time."""
        return self.delivered.get(tier, 0) / max(1, self.demands.get(tier, 0))


class Simulation:
    """Virtual time, engines, callers and measures."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.now = 0.0
        self.random = random.Random(seed + 7_000_000)
        self.engines = {spec.id: SimEngine(spec) for spec in scenario.engines}
        self.verdict = Verdict(scenario.name, scenario.fleet, policy.name, seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._by_sequence: dict[str, Try] = {}
        self._work: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
        self._fair_now: set[str] = set()
        self._seed = seed

    # Time.

    def at(self, moment: float, work: Callable[[], None]) -> None:
        """Do something at a moment."""
        heapq.heappush(self._events, (max(moment, self.now), next(self._order), work))

    def every(self, seconds: float, work: Callable[[], None]) -> None:
        """Do something again and again."""

        def again() -> None:
            work()
            self.at(self.now + seconds, again)

        self.at(self.now + seconds, again)

    def play(self) -> Verdict:
        """Play the scenario to its end."""
        self.policy.begin(self)
        for demand in self.scenario.demands(self._seed):
            self._note_demand(demand)
            self.at(demand.at, lambda demand=demand: self._try(demand, 1))  # type: ignore[misc]
        for fault in self.scenario.faults:
            self.at(fault.at, lambda fault=fault: self._fault(fault, True))  # type: ignore[misc]
            self.at(fault.until, lambda fault=fault: self._fault(fault, False))  # type: ignore[misc]
        self.every(FAIR_SAMPLE_S, self._sample_fairness)
        end = self.scenario.end + TAIL_S
        while self._events and self._events[0][0] <= end:
            self.now, _, work = heapq.heappop(self._events)
            work()
        self._judge_fairness()
        return self.verdict

    # Callers.

    def _measured(self, demand: Demand) -> bool:
        return WARM_UP_S <= demand.at < self.scenario.end

    def _note_demand(self, demand: Demand) -> None:
        # A caller that leaves on its own account is no demand that could be met.
        if self._measured(demand) and demand.leaves_s == math.inf:
            counts = self.verdict.demands
            counts[demand.tier] = counts.get(demand.tier, 0) + 1
            self.verdict.value.demands += 1

    def _try(self, demand: Demand, number: int) -> None:
        item = Try(f"{demand.id}.{number}", demand, number, self.now, self.now + demand.deadline_s)
        self.at(min(item.deadline, self.now + demand.leaves_s), lambda: self._time_over(item))
        self.policy.arrive(item)

    def _time_over(self, item: Try) -> None:
        if item.ended:
            return
        item.ended = True
        if item.sequence is None:
            self._note_unserved(item)
            self.policy.left(item)
            return
        assert item.engine is not None
        self._change(item.engine, lambda: self._cancel(item))
        self.policy.ended(item, False)

    def _cancel(self, item: Try) -> None:
        assert item.engine is not None
        assert item.sequence is not None
        self._waste(item)
        item.engine.cancel(item.sequence, self.now)

    def _waste(self, item: Try) -> None:
        assert item.sequence is not None
        if self._measured(item.demand):
            self.verdict.wasted_prefill += item.sequence.prefill_done
        self._note_work(item)

    def refuse(self, item: Try, reason: str, retry_after_s: float | None) -> None:
        """Tell a caller that its try was not run; it may come back."""
        item.ended = True
        self._note_unserved(item)
        counts = self.verdict.refused
        counts[reason] = counts.get(reason, 0) + 1
        demand = item.demand
        if item.number >= demand.tries:
            return
        pause = retry_after_s if retry_after_s is not None else DEFAULT_RETRY_S
        if not demand.obeys:
            pause = NOT_OBEYING_S
        self.at(self.now + pause, lambda: self._try(demand, item.number + 1))

    def _note_unserved(self, item: Try) -> None:
        """Count a try that was held for some time and has not run."""
        demand = item.demand
        if not self._measured(demand) or demand.leaves_s < math.inf:
            return
        value = self.verdict.value
        held_s = self.now - item.arrived
        value.note_unserved(held_s, demand.deadline_s, demand.deadline_s, returned=item.number > 1)
        value.beside_free += self._is_mostly_free()

    def _is_mostly_free(self) -> bool:
        """Tell whether under half of the slots are taken and nothing waits outside engines."""
        open_ones = [each for each in self.engines.values() if not each.gone]
        slots = sum(each.spec.slots for each in open_ones)
        taken = sum(min(each.load, each.spec.slots) for each in open_ones)
        waiting = any(any(teams.values()) for teams in self.policy.backlogged().values())
        return taken < slots / 2 and not waiting

    # Engines.

    def start(self, item: Try, engine: SimEngine, priority: int) -> bool:
        """Send a try to an engine.

        :return: whether it was reached; a gone engine takes nothing.
        """
        if engine.gone:
            return False
        demand = item.demand
        sequence = Sequence(
            item.id,
            demand.prompt_tokens,
            demand.output_tokens,
            demand.blocks,
            priority,
            self.now,
        )
        item.sequence, item.engine = sequence, engine
        self._by_sequence[item.id] = item
        self._change(engine, lambda: engine.submit(sequence, self.now))
        return True

    def _change(self, engine: SimEngine, change: Callable[[], None]) -> None:
        engine.advance(self.now)
        change()
        self._schedule(engine)

    def _schedule(self, engine: SimEngine) -> None:
        engine.version += 1
        version = engine.version
        moment = engine.next_event()
        if moment < math.inf:
            self.at(moment, lambda: self._engine_event(engine, version))

    def _engine_event(self, engine: SimEngine, version: int) -> None:
        if engine.version != version or engine.gone:
            return
        engine.advance(self.now)
        first, finished = engine.collect(self.now)
        self._schedule(engine)
        for sequence in first:
            self.policy.first(self._by_sequence[sequence.id])
        for sequence in finished:
            self._finished(self._by_sequence[sequence.id])

    def _finished(self, item: Try) -> None:
        item.ended = True
        demand = item.demand
        if self._measured(demand) and demand.leaves_s == math.inf:
            counts = self.verdict.delivered
            counts[demand.tier] = counts.get(demand.tier, 0) + 1
            self.verdict.value.note_answer(self.now - demand.at, demand.deadline_s)
        self._note_work(item)
        self.policy.ended(item, True)

    # Faults.

    def _fault(self, fault: Any, begins: bool) -> None:
        if fault.kind == "lose_scheduler":
            if begins:
                self.policy.lose_scheduler()
            return
        for name in fault.engines:
            engine = self.engines[name]
            if fault.kind == "slow":
                factor = fault.factor if begins else 1.0
                self._change(engine, lambda e=engine, f=factor: setattr(e, "slow", f))  # type: ignore[misc]
            elif fault.kind == "gone":
                self._go(engine, begins)

    def _go(self, engine: SimEngine, gone: bool) -> None:
        engine.advance(self.now)
        engine.gone = gone
        inside = [
            each for each in self._by_sequence.values() if each.engine is engine and not each.ended
        ]
        for item in inside:
            item.ended = True
            self._cancel(item)
            self.policy.ended(item, False)
        engine.cache.clear()
        self._schedule(engine)

    # Fairness.

    def _note_work(self, item: Try) -> None:
        sequence, engine = item.sequence, item.engine
        assert sequence is not None
        assert engine is not None
        if item.demand.tier not in self._fair_now:
            return
        output = sequence.output_tokens if sequence.state == "done" else engine.tokens_of(sequence)
        prefill = sum(1 / spec.prefill_tokens_per_s for spec in self.scenario.engines)
        decode = sum(1 / spec.decode_tokens_per_s for spec in self.scenario.engines)
        work = sequence.prefill_done * prefill + output * decode
        self._work[item.demand.tier][item.demand.team] += work

    def _sample_fairness(self) -> None:
        backlogged = self.policy.backlogged()
        self._fair_now = set()
        for tier in self.scenario.tiers:
            teams = [team["name"] for team in self.scenario.teams if team["tier"] == tier["name"]]
            waiting = backlogged.get(tier["name"], {})
            if len(teams) > 1 and all(waiting.get(team, 0) > 0 for team in teams):
                self._fair_now.add(tier["name"])

    def _judge_fairness(self) -> None:
        weights = {team["name"]: team["weight"] for team in self.scenario.teams}
        worst = math.nan
        for tier, work in self._work.items():
            teams = [team["name"] for team in self.scenario.teams if team["tier"] == tier]
            shares = [work.get(team, 0.0) / weights[team] for team in teams]
            if sum(work.values()) > 0 and len(teams) > 1 and self._enough(work):
                jain = sum(shares) ** 2 / (len(shares) * sum(each * each for each in shares))
                worst = jain if math.isnan(worst) else min(worst, jain)
        self.verdict.fairness = worst

    def _enough(self, work: dict[str, float]) -> bool:
        """Judge fairness only over enough work that single long answers do not decide."""
        return sum(work.values()) > 60.0 * len(self.scenario.engines)
