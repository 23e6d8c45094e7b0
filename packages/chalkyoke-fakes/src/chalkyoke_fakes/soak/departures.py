"""
chalkyoke_fakes.soak.departures

Check from what callers and replicas saw that hardly any work goes on for callers that have left.
"""

from chalkyoke_fakes.leaving import GRACE_S, MAX_LATE_ARRIVALS, MAX_WORKING_SHARE
from chalkyoke_fakes.soak.observations import (
    FaultPeriod,
    Observations,
    Violation,
)

# A node or the link to a replica counts this long after its last fault, in seconds.
CONTACT_S = 4.0
# Number of requests that would run on from which the share that does is judged: below it, a single
# one would exceed the bound.
MIN_LASTING = 4
# Faults of the nodes, and those of replicas and the links to them.
NODE_FAULTS = ("node_", "all_", "roll")
REPLICA_FAULTS = ("replica_",)


def left_requests_end(observations: Observations) -> list[Violation]:
    """Check that requests reach no replica, and that work ends, when their callers have left.

    Counted are callers of nodes without a fault, and work of replicas without one, from
    :data:`CONTACT_S` before their close on.
    """
    left = {each.request: each for each in observations.left_requests}
    late, working, lasting = [], 0, 0
    for run in observations.runs:
        gone = left.get(run.request)
        if gone is None or _had_fault(gone.node, NODE_FAULTS, gone.at, observations):
            continue
        if _had_fault(run.place, REPLICA_FAULTS, gone.at, observations):
            continue
        if run.at > gone.at + GRACE_S:
            late.append(f"{run.request} at {run.replica} {run.at - gone.at:.1f} s after")
        elif run.at + run.work_s > gone.at + GRACE_S:
            lasting += 1
            # A replica that was paused hears of the close once it has taken the request up.
            working += run.ended > max(gone.at, run.begun) + GRACE_S
    violations = []
    if len(late) > MAX_LATE_ARRIVALS:
        violations.append(Violation("left requests end", f"{len(late)} late: {late[:5]}"))
    if lasting >= MIN_LASTING and working > MAX_WORKING_SHARE * lasting:
        violations.append(Violation("left requests end", f"{working} of {lasting} still ran"))
    return violations


def _had_fault(
    target: str, kinds: tuple[str, ...], left_at: float, observations: Observations
) -> bool:
    began, ended = left_at - CONTACT_S, left_at + GRACE_S
    return any(
        each.fault.startswith(kinds) and _concerns(each, target) and each.overlaps(began, ended)
        for each in observations.faults
    )


def _concerns(fault: FaultPeriod, target: str) -> bool:
    return fault.fault.startswith("all_") or fault.target in (target, "")
