"""
chalkyoke_fakes.soak.checkers

What must always hold, judged from observations alone. Each checker lists what it found broken.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from chalkyoke_fakes.soak.limits import describe_exceeded_windows
from chalkyoke_fakes.soak.observations import (
    CallerAttempt,
    DrainStart,
    Observations,
    Rejection,
    ReplicaRun,
)
from chalkyoke_fakes.soak.plan import Fault

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
DRAIN_GRACE_S = 3.0
FAULT_AFTERMATH_S = 4.0
DEADLINE_SLACK_S = 1.5
MAX_RECOVERY_S = 12.0
# How long all nodes have to know a request that ends replicas, and what is allowed after that.
QUARANTINE_SPREAD_S = 3.0
MAX_LATER_RUNS = 3
# How long after an answer that said so a replica gets nothing more of the node that passed it on,
# and how many requests a node may send to a replica in a time of rest, from its first half second
# on; both as operators allow it.
LEAVING_GRACE_S = 2.0
RETRY_AFTER_GRACE_S = 0.5
MAX_REQUESTS_IN_RETRY_AFTER = 2
# Faults after which a node has forgotten, or did not notice for a while.
NODE_OUTAGE_PREFIXES = ("node_", "all_", "roll")


@dataclass(frozen=True, slots=True)
class Violation:
    """One promise that did not hold."""

    promise: str
    detail: str


def runs_once(observations: Observations) -> list[Violation]:
    """A request that may not be repeated runs at most once."""
    runs = Counter(each.request for each in observations.runs)
    single = (each for each in observations.attempts if not each.kind.repeatable)
    return [
        Violation("runs once", f"{each.request} ran {runs[each.request]} times")
        for each in single
        if runs[each.request] > 1
    ]


def not_run_answers_are_true(observations: Observations) -> list[Violation]:
    """A caller that is told "not run" had no run."""
    runs = Counter(each.request for each in observations.runs)
    return [
        Violation("not run is true", f"{each.request} got {each.status} and ran")
        for each in observations.attempts
        if each.status in NOT_RUN_STATUSES and not each.kind.repeatable and runs[each.request]
    ]


def answers_are_complete_and_own(observations: Observations) -> list[Violation]:
    """An answer that looks whole is the whole answer to its own request."""
    return [
        Violation("whole and own", f"{each.request}: {each.status}, {each.body[:60]!r}")
        for each in observations.attempts
        if each.status == 200 and not _matches_request(each, observations.stream)
    ]


def _matches_request(asked: CallerAttempt, stream: bytes) -> bool:
    if not asked.kind.streams:
        return not asked.complete or asked.body.endswith(f" did {asked.request}".encode())
    return asked.body == stream if asked.complete else stream.startswith(asked.body)


def runs_have_a_caller(observations: Observations) -> list[Violation]:
    """No replica runs what nobody has asked for."""
    asked = {each.request for each in observations.attempts}
    return [
        Violation("asked for", f"{each.request} ran at {each.replica}")
        for each in observations.runs
        if each.request not in asked
    ]


def versions_never_decrease(observations: Observations) -> list[Violation]:
    """The configuration of a process never goes back."""
    return [
        Violation("versions rise", f"{process}: {versions}")
        for process, versions in observations.versions.items()
        if versions != sorted(versions)
    ]


def draining_replicas_get_no_requests(observations: Observations) -> list[Violation]:
    """A replica that leaves gets no request some seconds after it said so.

    Only where no fault was near: a node that is out of touch can't know.
    """
    return [
        Violation("drain", f"{run.request} ran at {each.replica} {run.at - each.at:.1f} s after")
        for each in observations.drains
        if not _had_fault_near_drain(each, observations)
        for run in observations.runs
        if run.replica == each.replica
        and each.at + DRAIN_GRACE_S < run.at < each.at + 2 * DRAIN_GRACE_S
    ]


def _had_fault_near_drain(drained: DrainStart, observations: Observations) -> bool:
    began, ended = drained.at - FAULT_AFTERMATH_S, drained.at + 2 * DRAIN_GRACE_S
    return any(each.overlaps(began, ended) for each in observations.faults)


def drains_survive_store_restores(observations: Observations) -> list[Violation]:
    """A replica that leaves gets no request some seconds after, though the store was restored.

    Counted from when it was written again, where it was written while the store was away. Only
    where no node and no link was at fault, nor the store in another way.
    """
    violations: list[Violation] = []
    for each in observations.drains:
        ended = each.at + 2 * DRAIN_GRACE_S
        if _had_infrastructure_fault(each.at, ended, observations, but=Fault.STORE_RESTORED):
            continue
        since = max(
            [
                each.at,
                *(
                    at
                    for at in observations.restore_times
                    if each.at < at < each.at + DRAIN_GRACE_S
                ),
            ]
        )
        late = [
            run
            for run in observations.runs
            if run.replica == each.replica and since + DRAIN_GRACE_S < run.at < ended
        ]
        violations += [
            Violation(
                "restores", f"{run.request} ran at {run.replica} {run.at - each.at:.1f} s after"
            )
            for run in late
        ]
    return violations


def leaving_answers_are_respected(observations: Observations) -> list[Violation]:
    """A node sends a replica nothing more some time after it passed on that the replica leaves.

    A node that was frozen, killed or stopped since then is excused.
    """
    violations: list[Violation] = []
    asked = {each.request: each for each in observations.attempts}
    told: dict[tuple[str, str], float] = {}
    for each in sorted(observations.attempts, key=lambda each: each.ended):
        if each.leaving_replica:
            told.setdefault((each.node, each.leaving_replica), each.ended)
    for run in observations.runs:
        sent = asked.get(run.request)
        since = told.get((sent.node, run.replica)) if sent is not None else None
        if sent is None or since is None or sent.began <= since + LEAVING_GRACE_S:
            continue
        is_other_start = any(
            since < at < run.at for at in observations.replica_exits.get(run.replica, ())
        )
        if not is_other_start and not _node_had_fault(
            sent.node, NODE_OUTAGE_PREFIXES, since, run.at, observations
        ):
            what = f"{run.request} ran at {run.replica} {run.at - since:.1f} s after {sent.node}"
            violations.append(Violation("leaving answers", what))
    return violations


def retry_after_is_respected(observations: Observations) -> list[Violation]:
    """A replica that asked a node for rest has few requests of it until that is over."""
    violations: list[Violation] = []
    nodes = {each.request: each.node for each in observations.attempts}
    arrivals: dict[tuple[str, str], list[float]] = {}
    reached: list[ReplicaRun | Rejection] = [*observations.runs, *observations.rejections]
    for arrived in reached:
        if arrived.request in nodes:
            key = (nodes[arrived.request], arrived.replica)
            arrivals.setdefault(key, []).append(arrived.at)
    for each in observations.rejections:
        node = nodes.get(each.request)
        if not each.retry_after_s or node is None:
            continue
        began, ended = each.at + RETRY_AFTER_GRACE_S, each.at + each.retry_after_s
        within = [at for at in arrivals[node, each.replica] if began <= at < ended]
        if len(within) <= MAX_REQUESTS_IN_RETRY_AFTER:
            continue
        if not _node_had_fault(
            node, (*NODE_OUTAGE_PREFIXES, "links_"), each.at, ended, observations
        ):
            what = f"{len(within)} from {node} to {each.replica} since {each.at:.1f} s"
            violations.append(Violation("rest", what))
    return violations


def replica_limits_are_respected(observations: Observations) -> list[Violation]:
    """A replica gets from the nodes that it told what operators allow beside its limit.

    What a node sent around a restart, a freeze or a cut of its own does not count.
    """

    def excused(node: str, at: float) -> bool:
        return _node_had_fault(
            node, (*NODE_OUTAGE_PREFIXES, "links_"), at - FAULT_AFTERMATH_S, at, observations
        )

    return [Violation("limits", what) for what in describe_exceeded_windows(observations, excused)]


def _node_had_fault(
    node: str, kinds: tuple[str, ...], began: float, ended: float, observations: Observations
) -> bool:
    """Tell whether a fault of some kinds struck a node meanwhile."""
    return any(
        each.target == node and each.fault.startswith(kinds) and each.overlaps(began, ended)
        for each in observations.faults
    )


def deadlines_hold(observations: Observations) -> list[Violation]:
    """A node that nothing is the matter with ends each request by its deadline."""
    return [
        Violation(
            "deadlines", f"{each.request} took {each.ended - each.began:.1f} s at {each.node}"
        )
        for each in observations.attempts
        if each.ended - each.began > each.deadline_s + DEADLINE_SLACK_S
        and not any(
            fault.target == each.node and fault.overlaps(each.began - 1.0, each.ended)
            for fault in observations.faults
        )
    ]


def quotas_hold(observations: Observations) -> list[Violation]:
    """No window sees more of a team's requests than its quota allows.

    A request counts once it was both sent and run within the window.
    """
    violations: list[Violation] = []
    began = {each.request: each.began for each in observations.attempts}
    for quota in observations.quotas:
        runs = [
            each for each in observations.runs if each.team == quota.team and each.request in began
        ]
        spans = sorted((began[each.request], each.at) for each in runs)
        worst = _max_spans_in_window(spans, quota.window_s)
        if worst > quota.max_requests:
            violations.append(Violation("quota", f"{quota.team}: {worst} of {quota.max_requests}"))
    return violations


def _max_spans_in_window(spans: list[tuple[float, float]], window_s: float) -> int:
    """Count the most spans that lie whole in any window; ``spans`` are sorted by their begin."""
    most = 0
    for index, (start, _) in enumerate(spans):
        inside = sum(1 for _, end in spans[index:] if end <= start + window_s)
        most = max(most, inside)
    return most


def retries_stay_within_budget(observations: Observations) -> list[Violation]:
    """Arrivals beyond the first of each request stay within the budget of each service."""
    limit = observations.retry_limit
    violations: list[Violation] = []
    for service in {each.service for each in observations.runs}:
        runs = sorted(
            (each for each in observations.runs if each.service == service), key=lambda e: e.at
        )
        known: set[str] = set()
        again: list[float] = []
        for run in runs:
            if run.request in known:
                again.append(run.at)
            known.add(run.request)
        for at in again:
            repeats = sum(1 for each in again if at <= each < at + limit.window_s)
            first = sum(1 for run in runs if at - limit.window_s <= run.at < at + limit.window_s)
            if repeats > limit.ratio * first + limit.slack:
                violations.append(Violation("retry budget", f"{service}: {repeats} beside {first}"))
                break
    return violations


def crashing_requests_are_held_back(observations: Observations) -> list[Violation]:
    """A request under which replicas end reaches few more once all nodes could know of it.

    Each run under it ends a replica here, so the third run is the third end. Only where no node or
    link was at fault: who is out of touch can't know.
    """
    violations: list[Violation] = []
    bodies = {each.body for each in observations.runs if each.body.startswith(b"crashing-")}
    for body in bodies:
        runs = sorted(each.at for each in observations.runs if each.body == body)
        later = [at for at in runs[3:] if at > runs[2] + QUARANTINE_SPREAD_S]
        if len(later) > MAX_LATER_RUNS and not _had_infrastructure_fault(
            runs[0], runs[-1], observations
        ):
            violations.append(
                Violation("held back", f"{body!r} ran {len(runs)} times, {len(later)} late")
            )
    return violations


def _had_infrastructure_fault(
    began: float, ended: float, observations: Observations, but: str = ""
) -> bool:
    """Tell whether a node, a link or the store was at fault.

    :param but: a kind of fault that does not count.
    """
    kinds = ("node_", "links_", "all_", "store_")
    return any(
        each.fault.startswith(kinds)
        and each.fault != but
        and each.overlaps(began - FAULT_AFTERMATH_S, ended)
        for each in observations.faults
    )


def service_recovers(observations: Observations) -> list[Violation]:
    """All nodes serve again soon after the last fault."""
    if observations.recovered_s is not None and observations.recovered_s <= MAX_RECOVERY_S:
        return []
    return [Violation("recovery", f"after {observations.recovered_s} s")]


Checker = Callable[[Observations], list[Violation]]

SAFETY_CHECKERS: tuple[Checker, ...] = (
    runs_once,
    not_run_answers_are_true,
    answers_are_complete_and_own,
    runs_have_a_caller,
    versions_never_decrease,
)
TIMED_CHECKERS: tuple[Checker, ...] = (
    draining_replicas_get_no_requests,
    drains_survive_store_restores,
    leaving_answers_are_respected,
    retry_after_is_respected,
    replica_limits_are_respected,
    deadlines_hold,
    quotas_hold,
    retries_stay_within_budget,
    crashing_requests_are_held_back,
    service_recovers,
)
CHECKERS = SAFETY_CHECKERS + TIMED_CHECKERS
# What an old build can be asked for beside a new one; it does not hear what answers say.
NEW_VERSION_CHECKERS = (
    drains_survive_store_restores,
    leaving_answers_are_respected,
    retry_after_is_respected,
    replica_limits_are_respected,
)
MIXED_VERSION_CHECKERS = tuple(each for each in CHECKERS if each not in NEW_VERSION_CHECKERS)


def run_checkers(
    observations: Observations, checkers: Iterable[Checker] = CHECKERS
) -> list[Violation]:
    """Apply checkers; those of :data:`SAFETY` hang on no clock."""
    return [violations for checker in checkers for violations in checker(observations)]
