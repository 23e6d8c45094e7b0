"""
chalkyoke_fakes.soak.plan

The fault plan of a run: overlapping series of faults, drawn from a seed.
"""

import random
from dataclasses import dataclass
from enum import StrEnum


class Fault(StrEnum):
    """A kind of fault that the injector can apply to a fleet.

    The ``*_dead`` kinds affect connections that are already open: they silently drop all data for
    good without being closed, while new connections work.
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
    REPLICA_RESTS = "replica_rests"
    REPLICA_SAYS_LEAVING = "replica_says_leaving"
    REPLICA_LIMITS = "replica_limits"
    STORE_RESTORED = "store_restored"
    SLOW_READERS = "slow_readers"
    PLAIN_BURST = "plain_burst"
    REPLICA_DISTURBED = "replica_disturbed"
    CALLERS_FLOOD = "callers_flood"
    STREAMS_BREAK = "streams_break"
    CRASHING_PART = "crashing_part"
    REPLICA_UNFRAMED = "replica_unframed"
    CALLERS_FOCUS = "callers_focus"
    REPLICA_PAUSES = "replica_pauses"
    REPLICA_REPEATS = "replica_repeats"
    STORE_REPEATS = "store_repeats"
    SERVICE_PAUSES = "service_pauses"
    RELOAD = "reload"
    ODD_ENTRIES = "odd_entries"
    LATE_UPLOADS = "late_uploads"
    LARGE_UPLOADS = "large_uploads"
    REFUSED_SENDERS = "refused_senders"


NODE_FAULTS = frozenset(each for each in Fault if each.startswith(("node_", "links_")))
# Faults of the callers of one node.
CALLER_FAULTS = frozenset(
    {
        Fault.SLOW_READERS,
        Fault.CALLERS_FOCUS,
        Fault.LATE_UPLOADS,
        Fault.LARGE_UPLOADS,
        Fault.REFUSED_SENDERS,
    }
)
STORE_LINK_FAULTS = frozenset(
    {Fault.STORE_CUT, Fault.STORE_DEAD, Fault.STORE_REFUSES, Fault.STORE_REPEATS}
)
REPLICA_FAULTS = frozenset(each for each in Fault if each.startswith("replica_"))
# These groups are drawn from separate random sources, so that the plans of existing seeds do not
# change. Each mask is XORed with the run's seed.
LATER_FAULTS = (Fault.REPLICA_RETURNS, Fault.OTHER_WRITERS, Fault.CRASHING_REQUEST)
LATER_SEED_MASK = 0x5EED
ANSWER_FAULTS = (Fault.REPLICA_RESTS, Fault.REPLICA_SAYS_LEAVING)
ANSWER_SEED_MASK = 0xA115
LIMIT_FAULTS = (Fault.REPLICA_LIMITS,)
LIMIT_SEED_MASK = 0x11317
RESTORE_FAULTS = (Fault.STORE_RESTORED,)
RESTORE_SEED_MASK = 0xE90C
READER_FAULTS = (Fault.SLOW_READERS,)
READER_SEED_MASK = 0x510E
BURST_FAULTS = (Fault.PLAIN_BURST,)
BURST_SEED_MASK = 0xB0857
DISTURBANCE_FAULTS = (Fault.REPLICA_DISTURBED,)
DISTURBANCE_SEED_MASK = 0xD157
LOAD_FAULTS = (Fault.CALLERS_FLOOD,)
LOAD_SEED_MASK = 0x10AD
STREAM_FAULTS = (Fault.STREAMS_BREAK,)
STREAM_SEED_MASK = 0x57EA
PART_FAULTS = (Fault.CRASHING_PART,)
PART_SEED_MASK = 0x9A27
FRAMING_FAULTS = (Fault.REPLICA_UNFRAMED,)
FRAMING_SEED_MASK = 0xF2A3
FOCUS_FAULTS = (Fault.CALLERS_FOCUS,)
FOCUS_SEED_MASK = 0xF0C5
PAUSE_FAULTS = (Fault.REPLICA_PAUSES,)
PAUSE_SEED_MASK = 0x9A05
COPY_FAULTS = (Fault.REPLICA_REPEATS, Fault.STORE_REPEATS)
COPY_SEED_MASK = 0xC0B1
SERVICE_FAULTS = (Fault.SERVICE_PAUSES,)
SERVICE_SEED_MASK = 0x5E2F
# Two series, so that stops, reloads and kills of nodes overlap with each other.
PLANNED_FAULTS = (Fault.NODE_STOP, Fault.RELOAD, Fault.NODE_KILL)
PLANNED_SEED_MASKS = (0x57071, 0x57072)
ODD_FAULTS = (Fault.ODD_ENTRIES,)
ODD_SEED_MASK = 0x0DD5
UPLOAD_FAULTS = (Fault.LATE_UPLOADS,)
UPLOAD_SEED_MASK = 0x1A7E
MEMORY_FAULTS = (Fault.LARGE_UPLOADS,)
MEMORY_SEED_MASK = 0x3E30
REFUSAL_FAULTS = (Fault.REFUSED_SENDERS,)
REFUSAL_SEED_MASK = 0x4E6F
SEPARATELY_DRAWN_FAULTS = frozenset(
    (
        *LATER_FAULTS,
        *ANSWER_FAULTS,
        *LIMIT_FAULTS,
        *RESTORE_FAULTS,
        *READER_FAULTS,
        *BURST_FAULTS,
        *DISTURBANCE_FAULTS,
        *LOAD_FAULTS,
        *STREAM_FAULTS,
        *PART_FAULTS,
        *FRAMING_FAULTS,
        *FOCUS_FAULTS,
        *PAUSE_FAULTS,
        *COPY_FAULTS,
        *SERVICE_FAULTS,
        Fault.RELOAD,
        *ODD_FAULTS,
        *UPLOAD_FAULTS,
        *MEMORY_FAULTS,
        *REFUSAL_FAULTS,
    )
)
BASE_FAULTS = tuple(each for each in Fault if each not in SEPARATELY_DRAWN_FAULTS)
# The name under which a roll (hosts replaced one by one by another build) is recorded as a fault.
ROLL = "roll"
# A roll goes forward, forward and back, or waits half-way. ``ROLL_GAP_S`` is the time between two
# steps, ``MAX_HALF_WAY_S`` the longest wait half-way, both in seconds.
ROLL_GAP_S = 0.8
MAX_HALF_WAY_S = 4.0
# The duration of a fault, the number of series of base faults, the mean pause between two faults of
# a series and the time without faults at the start of a run.
MIN_FAULT_S, MAX_FAULT_S = 0.4, 4.0
SERIES_COUNT = 4
MEAN_PAUSE_S = 1.0
FAULT_FREE_S = 2.0


@dataclass(frozen=True, slots=True)
class FaultStep:
    """One planned fault.

    :param at: when the fault begins, in seconds since the run began.
    :param target: a node or a replica's place; empty for the store or all nodes.
    :param duration_s: how long the fault lasts, in seconds.
    """

    at: float
    fault: Fault
    target: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class RollStep:
    """The replacement of one host by one that runs the other build.

    :param at: when the host is replaced, in seconds since the run began.
    :param is_new: whether the host runs the new build from then on.
    """

    at: float
    node: str
    is_new: bool


def draw_roll(seed: int, nodes: list[str]) -> list[RollStep]:
    """Draw the steps of a roll from the old build: forward, or half-way and then on or back."""
    source = random.Random(seed ^ 0x2011)
    order = source.sample(nodes, len(nodes))
    half = len(order) // 2
    waits_s = MAX_HALF_WAY_S * source.random()
    goes_back = source.random() < 0.5
    at = FAULT_FREE_S
    steps: list[RollStep] = []
    for number, node in enumerate(order):
        if number == half:
            at += waits_s
            if goes_back:
                break
        steps.append(RollStep(at, node, True))
        at += ROLL_GAP_S
    if goes_back:
        for node in reversed(order[:half]):
            steps.append(RollStep(at, node, False))
            at += ROLL_GAP_S
    return steps


def draw_faults(
    seed: int, seconds: float, nodes: list[str], replicas: list[str]
) -> list[FaultStep]:
    """Draw the faults of a run: several overlapping series of consecutive faults.

    :param seconds: the time before which each fault begins, in seconds since the run began.
    :param replicas: the places of replicas.
    :return: the faults in order of their start; none starts in the first :data:`FAULT_FREE_S`.
    """
    source = random.Random(seed)
    steps: list[FaultStep] = []
    for _ in range(SERIES_COUNT):
        steps += _draw_series(source, BASE_FAULTS, seconds, nodes, replicas)
    sources = (
        (LATER_FAULTS, LATER_SEED_MASK),
        (ANSWER_FAULTS, ANSWER_SEED_MASK),
        (LIMIT_FAULTS, LIMIT_SEED_MASK),
        (RESTORE_FAULTS, RESTORE_SEED_MASK),
        (READER_FAULTS, READER_SEED_MASK),
        (BURST_FAULTS, BURST_SEED_MASK),
        (DISTURBANCE_FAULTS, DISTURBANCE_SEED_MASK),
        (LOAD_FAULTS, LOAD_SEED_MASK),
        (STREAM_FAULTS, STREAM_SEED_MASK),
        (PART_FAULTS, PART_SEED_MASK),
        (FRAMING_FAULTS, FRAMING_SEED_MASK),
        (FOCUS_FAULTS, FOCUS_SEED_MASK),
        (PAUSE_FAULTS, PAUSE_SEED_MASK),
        (COPY_FAULTS, COPY_SEED_MASK),
        (SERVICE_FAULTS, SERVICE_SEED_MASK),
        *((PLANNED_FAULTS, each) for each in PLANNED_SEED_MASKS),
        (ODD_FAULTS, ODD_SEED_MASK),
        (UPLOAD_FAULTS, UPLOAD_SEED_MASK),
        (MEMORY_FAULTS, MEMORY_SEED_MASK),
        (REFUSAL_FAULTS, REFUSAL_SEED_MASK),
    )
    for later, number in sources:
        steps += _draw_series(random.Random(seed ^ number), later, seconds, nodes, replicas)
    return sorted(steps, key=lambda each: each.at)


def _draw_series(
    source: random.Random,
    faults: tuple[Fault, ...],
    seconds: float,
    nodes: list[str],
    replicas: list[str],
) -> list[FaultStep]:
    steps: list[FaultStep] = []
    at = FAULT_FREE_S + source.uniform(0.0, MEAN_PAUSE_S)
    while at < seconds:
        fault = source.choice(faults)
        target = ""
        if fault in NODE_FAULTS | STORE_LINK_FAULTS | CALLER_FAULTS | {Fault.RELOAD}:
            target = source.choice(nodes)
        elif fault in REPLICA_FAULTS:
            target = source.choice(replicas)
        duration_s = source.uniform(MIN_FAULT_S, MAX_FAULT_S)
        steps.append(FaultStep(at, fault, target, duration_s))
        at += duration_s + source.expovariate(1.0 / MEAN_PAUSE_S)
    return steps
