"""
benches.policy.policies

The simulated policies: simple baselines, chalkyoke with single features switched off, and an upper
bound that knows true output lengths and engine speeds.
"""

import random
import zlib
from collections import defaultdict
from collections.abc import Callable

from chalkyoke.scheduling.estimates import OutputEstimate, OutputModel, SpeedModel
from chalkyoke.scheduling.messages import (
    Acquire,
    Adopt,
    CacheEvent,
    Grant,
    LoadReport,
    Progress,
    ProgressItem,
    Release,
    RunningItem,
    Shed,
    Usage,
    Withdraw,
)
from chalkyoke.scheduling.placement import Features
from chalkyoke.scheduling.refusals import AddressedAction
from chalkyoke.scheduling.scheduler import PoolScheduler
from chalkyoke.scheduling.state import PoolSpec, RouteSpec, TeamSpec, TierSpec, UpstreamSpec

from benches.policy.engine import EngineSpec, SimEngine
from benches.policy.simulation import CallerAttempt, Simulation

# One-way delay of a message from the scheduler to the entry node.
LINK_DELAY_S = 0.001
SCHEDULER_TICK_S = 0.05
PROGRESS_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 1.0
# Time from the loss of the scheduler until a successor is running.
SUCCESSOR_DELAY_S = 1.5
# Evicted cache blocks are reported after this delay, and this share of them is never reported.
CACHE_LAG_S = 1.0
CACHE_EVENT_LOSS_SHARE = 0.2
# The speeds of a model card are wrong by up to this factor in either direction.
MODEL_CARD_ERROR_FACTOR = 1.3


class Baseline:
    """Base of the policies that send each request to an engine on arrival.

    Engines serve their queues in order of arrival, and no request is refused.
    """

    name = "baseline"

    def attach(self, simulation: Simulation) -> None:
        """Attach the policy to a simulation and start the load reports."""
        self.simulation = simulation
        self.random = random.Random(5)
        self.outstanding: dict[str, int] = defaultdict(int)
        self.reported: dict[str, int] = dict.fromkeys(simulation.engines, 0)
        simulation.call_every(REPORT_INTERVAL_S, self._refresh_reported_loads)

    def _refresh_reported_loads(self) -> None:
        lag = self.simulation.scenario.report_lag_s
        loads = {name: engine.load for name, engine in self.simulation.engines.items()}
        self.simulation.call_at(self.simulation.now + lag, lambda: self.reported.update(loads))

    def eligible_engines(self, attempt: CallerAttempt) -> list[SimEngine]:
        """Return the engines that the selector of the request's route matches."""
        names = eligible_engine_ids(self.simulation, attempt.demand.route)
        return [self.simulation.engines[name] for name in names]

    def on_arrival(self, attempt: CallerAttempt) -> None:
        """Send an attempt to the chosen engine, or to the next choice if it is unreachable."""
        engines = self.eligible_engines(attempt)
        while engines:
            chosen = self.choose_engine(attempt, engines)
            if self.simulation.dispatch(attempt, chosen, 0):
                self.outstanding[chosen.spec.id] += 1
                return
            engines.remove(chosen)

    def choose_engine(self, attempt: CallerAttempt, engines: list[SimEngine]) -> SimEngine:
        """Choose one of the reachable engines."""
        raise NotImplementedError

    def on_first_token(self, attempt: CallerAttempt) -> None:
        """Ignore the first token: baselines learn nothing."""

    def on_end(self, attempt: CallerAttempt, delivered: bool) -> None:
        """Count one request less on its engine."""
        assert attempt.engine is not None
        self.outstanding[attempt.engine.spec.id] -= 1

    def on_waiting_ended(self, attempt: CallerAttempt) -> None:
        """Do nothing: no request waits outside the engines."""

    def lose_scheduler(self) -> None:
        """Do nothing: baselines have no scheduler."""

    def count_waiting(self) -> dict[str, dict[str, int]]:
        """Return an empty mapping: no request waits outside the engines."""
        return {}


class RoundRobin(Baseline):
    """Use the engines in turn."""

    name = "round robin"

    def attach(self, simulation: Simulation) -> None:
        """Attach the policy to a simulation and reset the turn."""
        super().attach(simulation)
        self.turn = 0

    def choose_engine(self, attempt: CallerAttempt, engines: list[SimEngine]) -> SimEngine:
        """Choose the next engine in turn."""
        self.turn += 1
        return engines[self.turn % len(engines)]


class LeastOutstanding(Baseline):
    """Use the engine with the fewest requests in flight, as the policy counts them itself."""

    name = "least outstanding"

    def choose_engine(self, attempt: CallerAttempt, engines: list[SimEngine]) -> SimEngine:
        """Choose the engine with the fewest requests in flight."""
        return min(engines, key=lambda engine: self.outstanding[engine.spec.id])


class TwoChoices(Baseline):
    """Use the less loaded of two random engines by their last load reports."""

    name = "two choices"

    def choose_engine(self, attempt: CallerAttempt, engines: list[SimEngine]) -> SimEngine:
        """Choose the less loaded of two random engines."""
        two = self.random.sample(engines, min(2, len(engines)))
        return min(two, key=lambda engine: self.reported[engine.spec.id])


class PrefixAffinity(Baseline):
    """Use the engine that a hash of the prompt's first block selects."""

    name = "prefix affinity"

    def choose_engine(self, attempt: CallerAttempt, engines: list[SimEngine]) -> SimEngine:
        """Choose by rendezvous hashing of the prompt's first block, or of the request id."""
        head = attempt.demand.blocks[:1] or (attempt.demand.id,)
        return max(engines, key=lambda engine: zlib.crc32(f"{head}{engine.spec.id}".encode()))


def eligible_engine_ids(simulation: Simulation, route: str) -> list[str]:
    """Return the ids of the engines whose labels match a route's selector."""
    wanted = next(each for each in simulation.scenario.routes if each["name"] == route)
    return [
        spec.id
        for spec in simulation.scenario.engines
        if all(spec.labels.get(k) == v for k, v in wanted.get("upstreams", {}).items())
    ]


def _model_card_factor(spec: EngineSpec) -> float:
    """Return the factor by which a model card is wrong: up to 30% too fast or too slow.

    The factor depends on the engine's id only.
    """
    return float(MODEL_CARD_ERROR_FACTOR ** ((zlib.crc32(spec.id.encode()) % 201 - 100) / 100))


class Chalkyoke:
    """Run the production pool scheduler over the simulated engines."""

    name = "chalkyoke"

    def __init__(self, name: str = "chalkyoke", features: Features | None = None) -> None:
        self.name = name
        self._features = features or Features()

    def attach(self, simulation: Simulation) -> None:
        """Attach the policy to a simulation and start the scheduler and its timers."""
        self.simulation = simulation
        self.random = random.Random(3)
        self.waiting: dict[str, CallerAttempt] = {}
        self.running: dict[str, CallerAttempt] = {}
        self.grant_attempts: dict[str, int] = {}
        self.scheduler: PoolScheduler | None = self.make_scheduler()
        simulation.call_every(SCHEDULER_TICK_S, self._tick)
        simulation.call_every(PROGRESS_INTERVAL_S, self._send_progress)
        simulation.call_every(REPORT_INTERVAL_S, self._send_reports)

    def pool_spec(self) -> PoolSpec:
        """Build the pool of the scenario, with model cards that are wrong by up to 30%."""
        scenario = self.simulation.scenario
        return PoolSpec(
            "pool",
            tuple(
                UpstreamSpec(
                    each.id,
                    each.id,
                    each.domain,
                    each.slots,
                    each.prefill_tokens_per_s * _model_card_factor(each),
                    each.decode_tokens_per_s * _model_card_factor(each),
                    each.batch_slowdown,
                    each.cache_blocks,
                )
                for each in scenario.engines
            ),
            tuple(TierSpec(tier["name"], rank) for rank, tier in enumerate(scenario.tiers)),
            tuple(TeamSpec(team["name"], team["weight"]) for team in scenario.teams),
            tuple(
                RouteSpec(
                    each["name"], frozenset(eligible_engine_ids(self.simulation, each["name"]))
                )
                for each in scenario.routes
            ),
            scenario.caution,
        )

    def make_scheduler(self, expected: tuple[str, ...] = ()) -> PoolScheduler:
        """Create a pool scheduler.

        :param expected: entry nodes whose running requests it waits for before it grants.
        """
        return PoolScheduler(
            self.pool_spec(), self.random.random, self.simulation.now, expected, self._features
        )

    # The entry node: acquires, grants and releases.

    def on_arrival(self, attempt: CallerAttempt) -> None:
        """Acquire a slot for a new attempt."""
        self.waiting[attempt.id] = attempt
        self.grant_attempts[attempt.id] = 1
        self._request_slot(attempt)

    def _request_slot(self, attempt: CallerAttempt) -> None:
        if self.scheduler is not None:
            self._schedule_actions(
                self.scheduler.acquire(
                    "entry", "d", self.acquire_message(attempt), self.simulation.now
                )
            )

    def acquire_message(self, attempt: CallerAttempt) -> Acquire:
        """Build the acquire message of an attempt."""
        demand, now = attempt.demand, self.simulation.now
        return Acquire(
            attempt.id,
            self.grant_attempts[attempt.id],
            "pool",
            demand.route,
            demand.tier,
            demand.team,
            demand.prompt_tokens,
            demand.max_output,
            demand.blocks,
            attempt.deadline - now,
            now - attempt.arrived,
        )

    def _schedule_actions(self, actions: list[AddressedAction]) -> None:
        for addressed in actions:
            action = addressed.action
            self.simulation.call_at(
                self.simulation.now + LINK_DELAY_S,
                lambda action=action: self._apply_action(action),  # type: ignore[misc]
            )

    def _apply_action(self, action: Grant | Shed) -> None:
        attempt = self.waiting.get(action.request)
        if attempt is None or self.grant_attempts[attempt.id] != action.attempt:
            if isinstance(action, Grant):
                self._release_slot(action.request, action.attempt, "unused", Usage())
            return
        if isinstance(action, Shed):
            del self.waiting[attempt.id]
            self.simulation.refuse(attempt, action.reason, action.retry_after_s)
            return
        engine = self.simulation.engines[action.upstream]
        if self.simulation.dispatch(attempt, engine, action.priority):
            del self.waiting[attempt.id]
            self.running[attempt.id] = attempt
            return
        self._release_slot(attempt.id, action.attempt, "unreachable", Usage())
        self.grant_attempts[attempt.id] += 1
        self._request_slot(attempt)

    def _release_slot(self, request: str, attempt: int, outcome: str, usage: Usage) -> None:
        if self.scheduler is not None:
            message = Release(request, attempt, "pool", outcome, usage)
            self._schedule_actions(self.scheduler.release("d", message, self.simulation.now))

    def on_first_token(self, attempt: CallerAttempt) -> None:
        """Do nothing: the next progress message reports the first token."""

    def on_end(self, attempt: CallerAttempt, delivered: bool) -> None:
        """Release the slot and report the usage of the attempt."""
        self.running.pop(attempt.id, None)
        sequence, engine = attempt.sequence, attempt.engine
        assert sequence is not None
        assert engine is not None
        output = sequence.output_tokens if delivered else engine.tokens_of(sequence)
        first = sequence.first_at - sequence.submitted if sequence.first_at >= 0 else -1.0
        usage = Usage(
            sequence.prompt_tokens,
            sequence.cached_tokens if sequence.first_at >= 0 else -1,
            output,
            first,
            self.simulation.now - sequence.submitted,
        )
        outcome = "delivered" if delivered else ("failed" if engine.gone else "cancelled")
        self._release_slot(attempt.id, self.grant_attempts[attempt.id], outcome, usage)

    def on_waiting_ended(self, attempt: CallerAttempt) -> None:
        """Withdraw an attempt that still waits for a grant."""
        self.waiting.pop(attempt.id, None)
        if self.scheduler is not None:
            self.scheduler.withdraw(Withdraw(attempt.id, "pool"))

    def lose_scheduler(self) -> None:
        """Stop the scheduler; its successor starts once its heartbeats have timed out."""
        self.scheduler = None
        self.simulation.call_at(self.simulation.now + SUCCESSOR_DELAY_S, self._start_successor)

    def _start_successor(self) -> None:
        self.scheduler = self.make_scheduler(("entry",))
        now = self.simulation.now
        items = []
        for attempt in self.running.values():
            assert attempt.sequence is not None
            assert attempt.engine is not None
            demand = attempt.demand
            items.append(
                RunningItem(
                    attempt.id,
                    self.grant_attempts[attempt.id],
                    attempt.engine.spec.id,
                    demand.tier,
                    demand.team,
                    demand.route,
                    demand.prompt_tokens,
                    demand.max_output,
                    attempt.engine.tokens_of(attempt.sequence),
                    now - attempt.sequence.submitted,
                )
            )
        self._schedule_actions(self.scheduler.adopt("entry", Adopt("pool", tuple(items)), now))
        for attempt in list(self.waiting.values()):
            self._request_slot(attempt)

    # Timers.

    def _tick(self) -> None:
        if self.scheduler is not None:
            self._schedule_actions(self.scheduler.tick(self.simulation.now))

    def _send_progress(self) -> None:
        if self.scheduler is None:
            return
        now = self.simulation.now
        items = []
        for attempt in self.running.values():
            assert attempt.sequence is not None
            assert attempt.engine is not None
            attempt.engine.advance(now)
            sequence = attempt.sequence
            first = sequence.first_at - sequence.submitted if sequence.first_at >= 0 else -1.0
            tokens = attempt.engine.tokens_of(sequence)
            items.append(ProgressItem(attempt.id, tokens, first, now - sequence.submitted))
        self._schedule_actions(
            self.scheduler.apply_progress("entry", Progress("pool", tuple(items)), now)
        )

    def _send_reports(self) -> None:
        now, lag = self.simulation.now, self.simulation.scenario.report_lag_s
        for name, engine in self.simulation.engines.items():
            if engine.gone:
                continue
            report = LoadReport(name, len(engine.batch), engine.load - len(engine.batch), lag)
            dropped = [block for at, block in engine.dropped if at <= now - CACHE_LAG_S]
            engine.dropped = [each for each in engine.dropped if each[0] > now - CACHE_LAG_S]
            reported_drops = tuple(
                block for block in dropped if self.random.random() >= CACHE_EVENT_LOSS_SHARE
            )
            self.simulation.call_at(
                now + lag,
                lambda report=report, reported_drops=reported_drops: self._apply_report(
                    report, reported_drops
                ),  # type: ignore[misc]
            )

    def _apply_report(self, report: LoadReport, dropped: tuple[int, ...]) -> None:
        if self.scheduler is not None:
            self.scheduler.apply_cache_event(CacheEvent(report.upstream, dropped))
            self._schedule_actions(self.scheduler.apply_load_report(report, self.simulation.now))

    def count_waiting(self) -> dict[str, dict[str, int]]:
        """Count the attempts that wait for a grant, by tier and team."""
        counts: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        for attempt in self.waiting.values():
            counts[attempt.demand.tier][attempt.demand.team] += 1
        return counts


class _TrueSpeed(SpeedModel):
    """A speed model that uses the engine's true speed, slowdown faults included."""

    __slots__ = ("_engine",)

    def __init__(self, engine: SimEngine) -> None:
        spec = engine.spec
        super().__init__(
            spec.prefill_tokens_per_s, spec.decode_tokens_per_s, spec.batch_slowdown, spec.slots
        )
        self._engine = engine

    def token_time(self, streams: int) -> float:
        """Return the true seconds for one token of each stream."""
        return super().token_time(streams) * self._engine.slow

    def prefill_time(self, tokens: float) -> float:
        """Return the true seconds to process a prompt."""
        return super().prefill_time(tokens) * self._engine.slow

    def learn_tokens(self, tokens: int, seconds: float, streams: int) -> None:
        """Ignore the observation: the true speed is known."""

    def learn_first(self, expected_s: float, observed_s: float) -> None:
        """Ignore the observation: the true speed is known."""


class _TrueOutput(OutputModel):
    """An output model that gets the true output length in the place of the caller's limit."""

    def predict(self, _route: str, _team: str, max_output: int) -> OutputEstimate:
        """Return the true output length for all estimates."""
        return OutputEstimate(float(max_output), float(max_output), float(max_output))


class Bound(Chalkyoke):
    """The upper bound: the same policy with true output lengths, true speeds and fresh progress."""

    name = "bound"

    def __init__(self) -> None:
        super().__init__("bound")

    def make_scheduler(self, expected: tuple[str, ...] = ()) -> PoolScheduler:
        """Create a scheduler with true output lengths and speeds."""
        scheduler = super().make_scheduler(expected)
        scheduler._learner.outputs = _TrueOutput()
        for name, upstream in scheduler.upstreams.items():
            upstream.speed = _TrueSpeed(self.simulation.engines[name])
        return scheduler

    def attach(self, simulation: Simulation) -> None:
        """Attach the policy and send progress with each scheduler tick."""
        super().attach(simulation)
        simulation.call_every(SCHEDULER_TICK_S, self._send_progress)

    def acquire_message(self, attempt: CallerAttempt) -> Acquire:
        """Build an acquire message with the true output length as its limit."""
        message = super().acquire_message(attempt)
        fields = {name: getattr(message, name) for name in message.__struct_fields__}
        return Acquire(**{**fields, "max_output": attempt.demand.output_tokens})


POLICIES: dict[str, Callable[[], Baseline | Chalkyoke]] = {
    "round robin": RoundRobin,
    "least outstanding": LeastOutstanding,
    "two choices": TwoChoices,
    "prefix affinity": PrefixAffinity,
    "chalkyoke": Chalkyoke,
    "without hold": lambda: Chalkyoke("without hold", Features(hold=False)),
    "without prefix": lambda: Chalkyoke("without prefix", Features(prefix=False)),
    "without learning": lambda: Chalkyoke("without learning", Features(learn=False)),
    "without shedding": lambda: Chalkyoke("without shedding", Features(shed=False)),
    "without fairness": lambda: Chalkyoke("without fairness", Features(fair=False)),
    "without prediction": lambda: Chalkyoke("without prediction", Features(predict=False)),
    "without late last": lambda: Chalkyoke("without late last", Features(late_last=False)),
    "without guard": lambda: Chalkyoke("without guard", Features(guard=False)),
    "bound": Bound,
}
BASELINES = ("round robin", "least outstanding", "two choices", "prefix affinity")
