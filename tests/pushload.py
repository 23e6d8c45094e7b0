"""
tests.pushload

The load of the push-notification deployment in virtual time: the kinds of docs/hard-load.md, a few
large teams among 16, a team far above its usual load, and engines that are down for a while.
"""

import heapq
from collections import Counter
from dataclasses import dataclass

from chalkyoke.gateway.settings import GATEWAY_FEATURES
from chalkyoke.scheduling.messages import Release, Usage
from chalkyoke.scheduling.state import ReleaseOutcome, TeamSpec

from tests.shiftedload import TIME_FACTORS, Engine, Kind, ShiftedLoad

TOKEN_S, READ_TOKENS_PER_S = 0.00635, 42_800.0
ALERT = Kind("alert-draft", 129, (2890, 1.0, 18_300), (52, 2.4, 520), 0.635, 6.353, 5.4, 0)
DIGEST = Kind("log-digest", 167, (1800, 1.3, 6870), (24, 2.4, 240), 1.019, 4.076, 1.7, 1)
BULLETIN = Kind(
    "bulletin-stream", 53.9, (543, 0.89, 2310), (280, 2.4, 2800), 1.015, 15.224, 0.54, 2
)
# Share of the load of each team; the first four are large.
TEAM_SHARES = (0.2, 0.12, 0.1, 0.1, *[0.04] * 12)
TEAM_NAMES = tuple(f"m{number}" for number in range(len(TEAM_SHARES)))


@dataclass(frozen=True)
class Outage:
    """Engines that fail what they run, and refuse connections until they return.

    :ivar every: every n-th engine is down.
    """

    since: float
    until: float
    every: int = 4


@dataclass(frozen=True)
class Flood:
    """A team that sends more than usual.

    :ivar times: factor on the team's load.
    """

    since: float
    until: float
    team: str = "m1"
    times: float = 6.0


class PushLoad(ShiftedLoad):
    """Play the load of the push deployment.

    :ivar ends: for each request, what ended it.
    :ivar refused_again: refusals of a caller that returned at its assigned time.
    """

    kinds = (ALERT, DIGEST, BULLETIN)
    teams = tuple(TeamSpec(name) for name in TEAM_NAMES)
    gap_goal_s = 0.25

    def __init__(
        self, seed, features=GATEWAY_FEATURES, load=1.0, bursts=(), outage=None, flood=None
    ):
        self.outage, self.flood = outage, flood
        super().__init__(seed, bursts=bursts, load=load, features=features)
        self.ends = {}
        self.returns = Counter()
        self.refused_again = 0
        self.refused_at = {}
        self.arriving = ""
        self.stopped = False

    def make_engine(self, number):
        return Engine(TIME_FACTORS[number % 3], {}, TOKEN_S, READ_TOKENS_PER_S)

    def draw_team(self, at):
        weights = list(TEAM_SHARES)
        if self.is_flooding(at):
            weights[TEAM_NAMES.index(self.flood.team)] *= self.flood.times
        return self.rng.choices(TEAM_NAMES, weights)[0]

    def is_flooding(self, at):
        return self.flood is not None and self.flood.since <= at < self.flood.until

    def arrival_rate(self, kind, now):
        rate = super().arrival_rate(kind, now)
        if not self.is_flooding(now):
            return rate
        share = TEAM_SHARES[TEAM_NAMES.index(self.flood.team)]
        return rate * (1.0 + share * (self.flood.times - 1.0))

    # Outages.

    def is_down(self, name):
        down = self.outage
        return down and down.since <= self.now < down.until and int(name[1:]) % down.every == 0

    def start_run(self, demand, grant):
        super().start_run(demand, grant)
        if self.is_down(grant.upstream):
            self.fail_run(grant.upstream, demand, ReleaseOutcome.UNREACHABLE)

    def fail_run(self, name, demand, outcome):
        run = self.engines[name].runs.pop(demand.id)
        usage = Usage(demand.prompt, output_tokens=int(run.tokens))
        message = Release(demand.id, run.attempt, "p", outcome, usage)
        self.apply_actions(self.scheduler.release("z", message, self.now))
        at = self.now + 0.002
        heapq.heappush(self.events, (at, next(self.sequence), self.send_acquire, demand))

    def advance_engines(self):
        for name, engine in self.engines.items():
            if engine.runs and self.is_down(name):
                for run in list(engine.runs.values()):
                    self.fail_run(name, run.demand, ReleaseOutcome.FAILED)
        super().advance_engines()

    # Ends.

    def send_acquire(self, demand, at):
        left = demand.arrived_at + demand.kind.deadline_s - at
        if left <= 0:
            self.ends[demand.id] = "no time left"
            return
        self.arriving = demand.id
        super().send_acquire(demand, at)
        self.arriving = ""

    def retry_or_refuse(self, demand, shed):
        left = demand.arrived_at + demand.kind.deadline_s - self.now
        if self.returns[demand.id]:
            self.refused_again += 1
        place = "at arrival" if self.arriving == demand.id else "waiting"
        pause = shed.retry_after_s or 1.0
        if not self.returns[demand.id] and pause <= left / 3:
            self.returns[demand.id] += 1
            at = self.now + pause
            heapq.heappush(self.events, (at, next(self.sequence), self.send_acquire, demand))
            return
        again = " again" if self.returns[demand.id] else ""
        self.ends[demand.id] = f"{shed.reason} {place}{again}"

    def finish_run(self, run, outcome):
        super().finish_run(run, outcome)
        demand = run.demand
        in_time = run.first_at and run.first_at <= demand.arrived_at + demand.kind.goal_s
        if outcome is not ReleaseOutcome.DELIVERED:
            self.ends[demand.id] = "cut after output" if run.first_at else "cut before output"
        else:
            self.ends[demand.id] = "in time" if in_time else "late"

    # Results.

    def of_kind(self, kind, since=0.0, until=1e9):
        return [
            each
            for each in self.demands.values()
            if each.kind is kind and since <= each.arrived_at < until
        ]

    def ends_of(self, demands):
        return Counter(self.ends.get(each.id, "open") for each in demands)

    def served(self, demands):
        """Return the share of demands that got their whole answer."""
        ends = self.ends_of(demands)
        return (ends["in time"] + ends["late"]) / max(1, len(demands))


def largest_tenth(demands):
    """Return the tenth with the most work by the deployment's measure."""
    ordered = sorted(demands, key=lambda each: each.prompt + 10 * each.output)
    return ordered[-max(1, len(ordered) // 10) :]
