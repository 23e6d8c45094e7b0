"""
benches.policy.scenario

Scenarios, read from a TOML file that overrides a base file with the fleet, its tiers and teams.

For one seed the arrivals are the same with every policy.
"""

import math
import random
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from chalkyoke.scheduling.placement import BLOCK_TOKENS

from benches.policy.engine import EngineSpec

HERE = Path(__file__).parent
# Arrivals in the warm-up aren't measured.
WARM_UP_S = 30.0
# A run goes on for this time after the last arrival, so that answers can finish.
DRAIN_S = 60.0


@dataclass
class Demand:
    """One caller's request, sent in one or more attempts until it is served or the caller stops.

    :param at: arrival in virtual seconds.
    :param max_output: the caller's limit on output tokens.
    :param leaves_after_s: time after an arrival at which the caller leaves; infinite if it stays.
    :param max_attempts: attempts at most; the caller makes the next one after a refusal.
    :param obeys_retry_after: whether the caller waits as long as the refusal asks.
    """

    id: str
    at: float
    team: str
    tier: str
    route: str
    prompt_tokens: int
    output_tokens: int
    max_output: int
    blocks: tuple[int, ...]
    deadline_s: float
    leaves_after_s: float = math.inf
    max_attempts: int = 1
    obeys_retry_after: bool = True


@dataclass
class Fault:
    """One fault: engines that slow down or fail, or the loss of the scheduler process.

    :param at: start in virtual seconds.
    :param until: end in virtual seconds.
    :param factor: factor on the time of every step of a slow engine.
    """

    kind: str
    at: float
    until: float
    engines: list[str] = field(default_factory=list)
    factor: float = 1.0


@dataclass
class Scenario:
    """A scenario on one fleet.

    :param load: shape of the arrivals, as in the TOML file; levels are multiples of capacity.
    :param prompts: distribution of prompt lengths and shared prefixes, as in the TOML file.
    """

    name: str
    fleet: str
    engines: list[EngineSpec]
    tiers: list[dict[str, Any]]
    teams: list[dict[str, Any]]
    routes: list[dict[str, Any]]
    load: dict[str, Any]
    prompts: dict[str, Any]
    faults: list[Fault]
    duration_s: float
    report_lag_s: float
    caution: float

    @property
    def end(self) -> float:
        """The time at which arrivals end, in virtual seconds."""
        return WARM_UP_S + self.duration_s

    def capacity(self) -> float:
        """Estimate the requests per second that all engines can serve, from the mean request.

        An engine's time for one request is its prefill time plus its share of the token time of a
        full batch. The two add up, since prefill and decoding share the engine's steps. The share
        ``cached_share`` of shared prefixes counts as cached.
        """
        source = random.Random(1)
        drawn = [self.draw_demand(source, self.pick_team(source), 0, 0.0) for _ in range(4000)]
        prompt = sum(each.prompt_tokens for each in drawn) / len(drawn)
        prompt -= (
            self.prompts.get("shared_share", 0.0)
            * self.prompts["shared_tokens"]
            * self.prompts["cached_share"]
        )
        output = sum(each.output_tokens for each in drawn) / len(drawn)
        total = 0.0
        for engine in self.engines:
            token = engine.batch_slowdown / engine.decode_tokens_per_s / engine.slots
            total += 1.0 / (prompt / engine.prefill_tokens_per_s + output * token)
        return total

    def pick_team(self, source: random.Random) -> dict[str, Any]:
        """Draw a team at random, weighted by its share of the arrivals."""
        return source.choices(self.teams, [team["share"] for team in self.teams])[0]

    def draw_demand(
        self, source: random.Random, team: dict[str, Any], number: int, at: float
    ) -> Demand:
        """Draw one demand of a team: its prompt, output length and time to leave."""
        prompts = self.prompts
        length = source.lognormvariate(math.log(team["prompt_median"]), prompts["sigma"])
        own = int(min(prompts["most"], max(prompts["least"], length)))
        shared = 0
        head: tuple[int, ...] = ()
        if source.random() < prompts.get("shared_share", 0.0):
            group = source.randrange(prompts["shared_groups"])
            count = prompts["shared_tokens"] // BLOCK_TOKENS
            head = tuple(1_000_000 + group * 1000 + block for block in range(count))
            shared = count * BLOCK_TOKENS
        tail = tuple(10_000_000 + number * 100 + block for block in range(own // BLOCK_TOKENS))
        sigma = self.load.get("output_sigma", 0.7)
        output = source.lognormvariate(math.log(team["output_median"]), sigma)
        output_tokens = int(min(team["output_most"], max(4, output)))
        tier = next(each for each in self.tiers if each["name"] == team["tier"])
        leaves = math.inf
        if source.random() < self.load.get("leave_share", 0.0):
            leaves = source.uniform(0.2, tier["deadline_s"] / 2)
        return Demand(
            id=f"r{number}",
            at=at,
            team=team["name"],
            tier=team["tier"],
            route=team["route"],
            prompt_tokens=own + shared,
            output_tokens=output_tokens,
            max_output=int(team["output_most"]),
            blocks=head + tail,
            deadline_s=tier["deadline_s"],
            leaves_after_s=leaves,
            max_attempts=self.load.get("tries", 1),
            obeys_retry_after=self.load.get("obeys", True),
        )

    def draw_demands(self, seed: int) -> list[Demand]:
        """Draw all demands as Poisson arrivals at the load's rate, warm-up and bursts included."""
        source = random.Random(seed)
        capacity = self.capacity()
        found: list[Demand] = []
        now, number = 0.0, 0
        while now < self.end:
            rate = capacity * self._load_level(now)
            now += source.expovariate(rate)
            number += 1
            found.append(
                self.draw_demand(source, self._pick_team_with_flood(source, now), number, now)
            )
        return found

    def _load_level(self, now: float) -> float:
        """Return the load at a virtual time as a multiple of capacity."""
        since = now - WARM_UP_S
        if since < 0:
            return float(self.load.get("warm_up", 0.5))
        burst = self.load.get("burst")
        if burst and burst["at"] <= since < burst["at"] + burst["seconds"]:
            return float(burst["level"])
        return float(self.load["level"])

    def _pick_team_with_flood(self, source: random.Random, now: float) -> dict[str, Any]:
        flood = self.load.get("flood")
        if flood and now >= WARM_UP_S and source.random() < flood["share"]:
            return next(team for team in self.teams if team["name"] == flood["team"])
        return self.pick_team(source)


def load_scenarios(path: Path) -> list[Scenario]:
    """Read a scenario file and return one scenario for each base fleet that it lists."""
    document = tomllib.loads(path.read_text(encoding="utf-8"))
    return [_build_scenario(path.stem, base, document) for base in document["fleets"]]


def all_scenarios() -> list[Scenario]:
    """Read all scenarios of the ``scenarios`` folder in order of file names."""
    paths = sorted((HERE / "scenarios").glob("*.toml"))
    return [scenario for path in paths for scenario in load_scenarios(path)]


def _build_scenario(name: str, base: str, document: dict[str, Any]) -> Scenario:
    fleet = tomllib.loads((HERE / "fleets" / f"{base}.toml").read_text(encoding="utf-8"))
    merged = {**fleet, **{key: value for key, value in document.items() if key != "load"}}
    engines = [EngineSpec(**engine) for engine in merged["engine"]]
    faults = [
        Fault(
            fault["kind"],
            WARM_UP_S + fault["at"],
            WARM_UP_S + fault.get("until", fault["at"]),
            [engines[index].id for index in fault.get("engines", [])],
            fault.get("factor", 1.0),
        )
        for fault in merged.get("fault", [])
    ]
    return Scenario(
        name=name,
        fleet=base,
        engines=engines,
        tiers=merged["tier"],
        teams=merged["team"],
        routes=merged["route"],
        load={**fleet.get("load", {}), **document["load"]},
        prompts={**fleet["prompts"], **document.get("prompts", {})},
        faults=faults,
        duration_s=float(merged.get("duration_s", 60)),
        report_lag_s=float(merged.get("report_lag_s", 1.0)),
        caution=float(merged["caution"]),
    )
