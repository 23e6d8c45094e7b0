"""
chalkyoke_fakes.memoryload.scenarios

Scenarios of callers and disruptions, each of its own kind or drawn from a seed.
"""

import random
from dataclasses import dataclass
from enum import StrEnum

from chalkyoke_fakes.memoryload.manners import UPLOAD_MANNERS, Manner


class Disruption(StrEnum):
    """What happens to a fleet beside its callers."""

    STOP_ONE = "stop one"
    STOP_ALL = "stop all"
    KILL_ONE = "kill one"
    KILL_ALL = "kill all"
    CONFIGURE = "large configurations"
    LARGE_STORE = "large records"


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is played.

    :param callers: number of callers of each manner at each node that they call.
    :param every_node: whether they call all nodes, or only the first one.
    """

    name: str
    callers: dict[Manner, int]
    disruptions: tuple[Disruption, ...] = ()
    every_node: bool = False


# The number of callers of each manner.
USUAL_CALLERS = {
    Manner.UPLOADS: 150,
    Manner.CHUNKED: 150,
    Manner.SLOW_UPLOADS: 150,
    Manner.STUBBORN: 100,
    Manner.DEAF: 60,
    Manner.PIPELINED: 400,
    Manner.HEADS: 2_000,
    Manner.SLOW_READERS: 150,
    Manner.SLOW_STREAMS: 60,
    Manner.IDLE: 3_800,
    Manner.ENDLESS: 20,
}
MIXED_UPLOADS = {Manner.UPLOADS: 50, Manner.CHUNKED: 50, Manner.SLOW_UPLOADS: 30}
# Most callers of one manner of a drawn scenario: two or three manners come together.
MOST_DRAWN = 400
DRAWN = "drawn"


def _list_scenarios() -> dict[str, Scenario]:
    found = [Scenario(each, {each: count}) for each, count in USUAL_CALLERS.items()]
    found.append(Scenario("uploads at all nodes", MIXED_UPLOADS, every_node=True))
    for disruption in Disruption:
        name = f"uploads beside {disruption}"
        found.append(Scenario(name, MIXED_UPLOADS, (disruption,), every_node=True))
    found.append(Scenario("large configurations alone", {}, (Disruption.CONFIGURE,)))
    found.append(Scenario("large records alone", {}, (Disruption.LARGE_STORE,)))
    return {each.name: each for each in found}


SCENARIOS = _list_scenarios()


def draw_scenario(seed: int) -> Scenario:
    """Draw two or three manners, one of them uploads, and up to two disruptions."""
    source = random.Random(seed)
    others = [each for each in USUAL_CALLERS if each not in UPLOAD_MANNERS]
    manners = [source.choice(sorted(UPLOAD_MANNERS)), *source.sample(others, source.choice((1, 2)))]
    callers = {
        each: max(1, min(MOST_DRAWN, int(USUAL_CALLERS[each] * source.uniform(0.2, 0.7))))
        for each in manners
    }
    disruptions = tuple(source.sample(list(Disruption), source.choice((0, 1, 1, 2))))
    return Scenario(f"{DRAWN} {seed}", callers, disruptions, every_node=source.random() < 0.5)
