"""
A team's quota through losses, cuts and floods that follow each other at random.

Seen in this simulation only, in two of 2,000 fleets, never on a played day: under a flood, 1.8 s
after a cut has healed, the owner is killed together with all that hold copies of its window, and
the window sees 1.13 and 1.16 of the limit (seeds 1374 and 358).
How it came about: the new owner was told 0.20 of the limit as spent where 0.50 had been. Cause: a
survivor still held the copy of the owner that one side of the cut had, which knows that side's
third only, and the new owner took it for all that was spent. Proved by what each owner believed
as it began, and by these seeds.
"""

import random

import pytest

from .fleet import TEAM, Fleet
from .test_fleet import MOST, heal

END_S = 48.0
COSTS = (200, 1200, 3000, 3000, 9000)
# Demand against the quota, and how long it lasts at least and at most.
DEMANDS = (0.3, 0.5, 0.55, 0.55, 1.0, 4.0, 8.0)
PHASE_S = (2.0, 9.0)
SIDES = (range(3), range(3, 9))


def draw_events(chance):
    """Draw what strikes the fleet and when: kills of some and of all, cuts that heal."""
    events, at = [], chance.uniform(4, 9)
    while at < END_S - 4.0:
        kind = chance.choice(("all", "all", "some", "cut", "rest", "few"))
        if kind == "all":
            events.append((at, lambda fleet: fleet.kill(*range(9))))
        elif kind in ("few", "some"):
            names = chance.sample(range(9), 3 if kind == "few" else 6)
            events.append((at, lambda fleet, names=names: fleet.kill(*names)))
        elif kind == "cut":
            unnoticed_s, healed = chance.uniform(0.3, 2.5), at + chance.uniform(3, 6)
            events.append((at, lambda fleet, s=unnoticed_s: fleet.cut_unnoticed(s, *SIDES)))
            events.append((healed, heal))
            at = healed
        at += chance.uniform(1.5, 7)
    return sorted(events, key=lambda each: each[0])


@pytest.mark.parametrize("seed", [*range(24), 358, 1374])
def test_losses_cuts_and_floods_in_a_row_keep_the_limit(seed):
    chance = random.Random(seed)
    fleet = Fleet()
    events = draw_events(chance)
    phase_ends, demand = 0.0, 0.0
    while fleet.now < END_S:
        while events and events[0][0] <= fleet.now:
            events.pop(0)[1](fleet)
        if fleet.now >= phase_ends:
            phase_ends = fleet.now + chance.uniform(*PHASE_S)
            demand = chance.choice(DEMANDS)
        cost = chance.choice(COSTS)
        names = [name for side in fleet.sides for name in side]
        name = chance.choices(names, [1 + 5 * (each % 3 == 0) for each in names])[0]
        fleet.ask(name, cost)
        fleet.now += chance.expovariate(demand * TEAM.rate_per_s / 3280)
    assert fleet.worst_window() <= MOST
