"""
tests.domainload

The load of a push deployment in virtual time: demand that moves between failure domains in waves,
on engines of different speed that are disturbed for fractions of a second.

The numbers are those of docs/hard-load.md: 70 engines of 4 slots, a third of them 2.8 times faster;
demand varies by 0.55 with a period of 17 s and a different phase in each failure domain; a machine
takes 2.5 times as long for 0.6 s at a time, 15 in 100 of the time, and its engine reports that.
"""

import math
from collections import Counter

import msgspec

from tests.shiftedload import STEP_S, TIME_FACTORS, TOKENS_PER_EVENT, Engine, Kind, ShiftedLoad

ALERT = Kind("alert-draft", 129, (2890, 1.0, 18_300), (52, 2.4, 520), 0.635, 6.353, 5.4, 0)
DIGEST = Kind("log-digest", 167, (1800, 1.3, 6870), (24, 2.4, 240), 1.019, 4.076, 1.7, 1)
BULLETIN = Kind("bulletin-stream", 53.9, (543, 0.89, 2310), (280, 2.4, 2800), 1.015, 15.224, 0.5, 2)
WAVE_PERIOD_S, WAVE_VARIATION = 17.0, 0.55
DISTURBED_FACTOR, DISTURBED_S, MEAN_PAUSE_S = 2.5, 0.6, 3.4
# Time that a request and its response take between two failure domains, in seconds.
CROSSING_S = 0.009
# Load at which all slots of the engines are in use, relative to the rates above.
CAPACITY_LOAD = 0.8


def wave(domain, domains, now):
    """Return the demand of a failure domain relative to its mean."""
    phase = now / WAVE_PERIOD_S + domain / domains
    return 1.0 + WAVE_VARIATION * math.sin(2 * math.pi * phase)


class DisturbedEngine(Engine):
    """An engine on a machine that slows down now and then."""

    disturbances = ()

    def factor(self, now):
        disturbed = any(since <= now < since + DISTURBED_S for since in self.disturbances)
        return DISTURBED_FACTOR if disturbed else 1.0

    def advance(self, now):
        return super().advance(now, STEP_S / self.factor(now))


class DomainLoad(ShiftedLoad):
    """Plays the load in several failure domains.

    :param domains: number of failure domains, with equal numbers of engines.
    :ivar crossed: requests granted to an engine of another failure domain, by (from, to).
    :ivar paused: requests with a pause above the goal, by kind.
    """

    kinds = (ALERT, DIGEST, BULLETIN)
    gap_goal_s = 0.25

    def __init__(self, seed, domains=3, load=1.0, disturbed=True, **options):
        self.domains, self.disturbed = domains, disturbed
        self.domain_by_demand = {}
        self.crossed, self.paused, self.granted = Counter(), Counter(), 0
        self.work_s = Counter()
        self.events_seen = {}
        super().__init__(seed, load=load * CAPACITY_LOAD, **options)

    def make_engine(self, number):
        engine = DisturbedEngine(TIME_FACTORS[number % 3])
        at, engine.disturbances = 0.0, []
        while self.disturbed and at < 60.0:
            at += self.rng.expovariate(1.0 / MEAN_PAUSE_S)
            engine.disturbances.append(at)
            at += DISTURBED_S
        return engine

    def upstream(self, name):
        spec = super().upstream(name)
        number = int(name[1:]) // len(TIME_FACTORS) % self.domains
        return msgspec.structs.replace(spec, failure_domain=f"z{number}")

    def domain_of(self, demand):
        if demand.id not in self.domain_by_demand:
            weights = [wave(each, self.domains, demand.arrived_at) for each in range(self.domains)]
            chosen = self.rng.choices(range(self.domains), weights)[0]
            self.domain_by_demand[demand.id] = f"z{chosen}"
        return self.domain_by_demand[demand.id]

    def load_fields(self, engine):
        return {"running": len(engine.runs), "slots": 4, "time_factor": engine.factor(self.now)}

    def start_run(self, demand, grant):
        super().start_run(demand, grant)
        here, there = self.domain_of(demand), self.scheduler.upstreams[grant.upstream].spec
        self.granted += 1
        if here != there.failure_domain:
            self.crossed[here, there.failure_domain] += 1
            self.engines[grant.upstream].runs[demand.id].read_left_s += CROSSING_S

    def advance_engines(self):
        for name, engine in self.engines.items():
            self.work_s[name] += STEP_S * len(engine.runs)
        super().advance_engines()
        for engine in self.engines.values():
            for run in engine.runs.values():
                if not run.first_at:
                    continue
                event = int(run.tokens) // TOKENS_PER_EVENT
                seen, at, paused = self.events_seen.get(run.demand.id, (event, self.now, False))
                if event > seen:
                    self.events_seen[run.demand.id] = (event, self.now, paused)
                    continue
                if self.now - at > self.gap_goal_s and not paused:
                    self.paused[run.demand.kind.name] += 1
                    paused = True
                self.events_seen[run.demand.id] = (seen, at, paused)

    # Results.

    @property
    def crossed_share(self):
        return self.crossed.total() / self.granted

    @property
    def busiest_to_mean(self):
        """The ratio of the busiest engine's work in slot-seconds to the mean."""
        return max(self.work_s.values()) * len(self.engines) / sum(self.work_s.values())


def least_crossed_share(load, domains):
    """Return the share of demand that exceeds the capacity of its failure domain."""
    steps = [WAVE_PERIOD_S * n / 1000 for n in range(1000)]
    demand = [load * wave(0, domains, at) for at in steps]
    return sum(max(0.0, each - 1.0) for each in demand) / sum(demand)
