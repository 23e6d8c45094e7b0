"""
chalkyoke_fakes.soak.plan

Which faults strike when: series that overlap, drawn from a seed.
"""

import random
from dataclasses import dataclass
from enum import StrEnum


class Fault(StrEnum):
    """What may be done to a fleet.

    What is ``dead`` are the connections that are open: they carry nothing any more, for good and
    without an end, while new ones work.
    """

    NODE_FREEZE = "node_freeze"
    NODE_KILL = "node_kill"
    NODE_STOP = "node_stop"
    ALL_KILL = "all_kill"
    LINKS_SILENT = "links_silent"
    LINKS_ONE_WAY = "links_one_way"
    LINKS_SLOW = "links_slow"
    LINKS_RESET = "links_reset"
    LINKS_DEAD = "links_dead"
    LINKS_LOSSY = "links_lossy"
    STORE_CUT = "store_cut"
    STORE_DEAD = "store_dead"
    STORE_REFUSES = "store_refuses"
    STORE_DOWN = "store_down"
    STORE_SILENT = "store_silent"
    STORE_SLOW = "store_slow"
    STORE_LOSES = "store_loses"
    STORE_FORGETS = "store_forgets"
    REPLICA_CRASH = "replica_crash"
    REPLICA_LEAVES = "replica_leaves"
    REPLICA_SILENT = "replica_silent"
    REPLICA_RESET = "replica_reset"
    REPLICA_DEAD = "replica_dead"
    REPLICA_FAILS = "replica_fails"
    REPLICA_LOSES = "replica_loses"
    REPLICA_BREAKS = "replica_breaks"
    REPLICA_EXTRA = "replica_extra"
    REPLICA_SHEDS = "replica_sheds"
    CONFIGURE = "configure"
    REPLICA_RETURNS = "replica_returns"
    OTHER_WRITERS = "other_writers"
    CRASHING_REQUEST = "crashing_request"


OF_NODES = frozenset(each for each in Fault if each.startswith(("node_", "links_")))
OF_NODES_AND_STORE = frozenset({Fault.STORE_CUT, Fault.STORE_DEAD, Fault.STORE_REFUSES})
OF_REPLICAS = frozenset(each for each in Fault if each.startswith("replica_"))
# Drawn from a source of their own, so that the plans of earlier seeds stay as they are beside them.
LATER = (Fault.REPLICA_RETURNS, Fault.OTHER_WRITERS, Fault.CRASHING_REQUEST)
EARLIER = tuple(each for each in Fault if each not in LATER)
LATER_SOURCE = 0x5EED
LEAST_S, MOST_S = 0.4, 4.0
SERIES = 4
PAUSE_S = 1.0
QUIET_S = 2.0


@dataclass(frozen=True, slots=True)
class Step:
    """One fault.

    :param at: when it begins, in seconds since the run began.
    :param target: a node or a replica's place; empty where it strikes the store or all.
    """

    at: float
    fault: Fault
    target: str
    for_s: float


def draw(seed: int, seconds: float, nodes: list[str], replicas: list[str]) -> list[Step]:
    """Draw the faults of a run: some series, each one fault after the other.

    :param replicas: the places of replicas.
    :return: in the order of their begin; none begins in the first :data:`QUIET_S`.
    """
    source = random.Random(seed)
    steps: list[Step] = []
    for _ in range(SERIES):
        steps += _draw_series(source, EARLIER, seconds, nodes, replicas)
    steps += _draw_series(random.Random(seed ^ LATER_SOURCE), LATER, seconds, nodes, replicas)
    return sorted(steps, key=lambda each: each.at)


def _draw_series(
    source: random.Random,
    faults: tuple[Fault, ...],
    seconds: float,
    nodes: list[str],
    replicas: list[str],
) -> list[Step]:
    steps: list[Step] = []
    at = QUIET_S + source.uniform(0.0, PAUSE_S)
    while at < seconds:
        fault = source.choice(faults)
        target = ""
        if fault in OF_NODES | OF_NODES_AND_STORE:
            target = source.choice(nodes)
        elif fault in OF_REPLICAS:
            target = source.choice(replicas)
        for_s = source.uniform(LEAST_S, MOST_S)
        steps.append(Step(at, fault, target, for_s))
        at += for_s + source.expovariate(1.0 / PAUSE_S)
    return steps
