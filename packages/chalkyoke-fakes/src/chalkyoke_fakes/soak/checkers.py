"""
chalkyoke_fakes.soak.checkers

Check the system's promises from the records of a run alone. Each checker lists its violations.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from chalkyoke_fakes.soak.departures import left_requests_end
from chalkyoke_fakes.soak.dispatched import dispatched_requests_end, work_hardly_overlaps
from chalkyoke_fakes.soak.endings import begun_requests_end
from chalkyoke_fakes.soak.limits import describe_exceeded_windows
from chalkyoke_fakes.soak.memorywatch import (
    memory_stays_within_its_limit,
    processes_end_when_told,
)
from chalkyoke_fakes.soak.observations import (
    CallerAttempt,
    DrainStart,
    Observations,
    Rejection,
    ReplicaRun,
    Violation,
)
from chalkyoke_fakes.soak.parts import (
    crashing_parts_are_held_back,
    focused_nodes_serve,
    sound_prompts_are_served,
)
from chalkyoke_fakes.soak.plan import Fault
from chalkyoke_fakes.soak.refusedsenders import refused_senders_get_answers
from chalkyoke_fakes.soak.stops import stops_are_heard
from chalkyoke_fakes.soak.streams import (
    is_in_order,
    resumed_streams_go_on,
    streams_keep_their_version,
)
from chalkyoke_fakes.soak.uploads import uploads_are_answered

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A draining replica may still get requests for this long after its announcement.
DRAIN_GRACE_S = 3.0
# A node may have outdated state for this long after a fault.
FAULT_AFTERMATH_S = 4.0
DEADLINE_SLACK_S = 1.5
MAX_RECOVERY_S = 12.0
# The time in which all nodes must learn of a request that ends replicas, in seconds, and the number
# of its runs that are allowed after that.
QUARANTINE_SPREAD_S = 3.0
MAX_LATER_RUNS = 3
# A node that forwarded an answer announcing that a replica leaves sends that replica nothing more
# after ``LEAVING_GRACE_S``. After a ``Retry-After`` a node may send a replica at most
# ``MAX_REQUESTS_IN_RETRY_AFTER`` requests until the time is over, not counting the first half
# second. These are the operators' requirements.
LEAVING_GRACE_S = 2.0
RETRY_AFTER_GRACE_S = 0.5
MAX_REQUESTS_IN_RETRY_AFTER = 2
# Faults in which a node loses its state or receives nothing for a while.
NODE_OUTAGE_PREFIXES = ("node_", "all_", "roll")


def runs_once(observations: Observations) -> list[Violation]:
    """Check that a request that may not be repeated runs at most once."""
    runs = Counter(each.request for each in observations.runs)
    single = (each for each in observations.attempts if not each.kind.repeatable)
    return [
        Violation("runs once", f"{each.request} ran {runs[each.request]} times")
        for each in single
        if runs[each.request] > 1
    ]


def not_run_answers_are_true(observations: Observations) -> list[Violation]:
    """Check that a non-repeatable request that was answered "not run" did not run."""
    runs = Counter(each.request for each in observations.runs)
    return [
        Violation("not run is true", f"{each.request} got {each.status} and ran")
        for each in observations.attempts
        if each.status in NOT_RUN_STATUSES and not each.kind.repeatable and runs[each.request]
    ]


def answers_are_complete_and_own(observations: Observations) -> list[Violation]:
    """Check that an answer that looks complete is the complete answer to its own request.

    An incomplete stream must be a prefix of the complete one.
    """
    return [
        Violation("whole and own", f"{each.request}: {each.status}, {each.body[:60]!r}")
        for each in observations.attempts
        if each.status == 200 and not _matches_request(each, observations)
    ]


def _matches_request(attempt: CallerAttempt, observations: Observations) -> bool:
    if not attempt.kind.streams:
        return not attempt.complete or attempt.body.endswith(f" did {attempt.request}".encode())
    return is_in_order(attempt, observations)


def runs_have_a_caller(observations: Observations) -> list[Violation]:
    """Check that each request that a replica ran was sent by a caller."""
    sent = {each.request for each in observations.attempts}
    sent |= {each.request for each in observations.left_requests}
    return [
        Violation("asked for", f"{each.request} ran at {each.replica}")
        for each in observations.runs
        if each.request not in sent
    ]


def versions_never_decrease(observations: Observations) -> list[Violation]:
    """Check that no process goes back to an older version of the configuration."""
    return [
        Violation("versions rise", f"{process}: {versions}")
        for process, versions in observations.versions.items()
        if versions != sorted(versions)
    ]


def nodes_have_no_faults(observations: Observations) -> list[Violation]:
    """Check that no loop of a node failed, and that no process ended by itself."""
    return [
        Violation("node faults", f"{each.node} {each.event}: {each.fields.get('error', '')}")
        for each in observations.node_faults
    ]


def draining_replicas_get_no_requests(observations: Observations) -> list[Violation]:
    """Check that a draining replica gets no request :data:`DRAIN_GRACE_S` after its announcement.

    Drains with a fault near them are skipped, since a disconnected node cannot know of the drain.
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
    """Check that a draining replica gets no request although the store was restored.

    The time counts from when the lost records were written again, if a restore ended less than
    :data:`DRAIN_GRACE_S` after the drain began. Drains near a fault of a node, of a link or another
    fault of the store are skipped.
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
    """Check that a node that forwarded a replica's leaving announcement stops sending to it.

    A node that was frozen, killed or stopped since then is exempt, and so is a replica that has
    restarted since then.
    """
    violations: list[Violation] = []
    attempts = {each.request: each for each in observations.attempts}
    announced_at: dict[tuple[str, str], float] = {}
    for each in sorted(observations.attempts, key=lambda each: each.ended):
        if each.leaving_replica:
            announced_at.setdefault((each.node, each.leaving_replica), each.ended)
    for run in observations.runs:
        sent = attempts.get(run.request)
        since = announced_at.get((sent.node, run.replica)) if sent is not None else None
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
    """Check that a node respects ``Retry-After``: few requests reach the replica until it is over.

    A node with an outage or a link fault meanwhile is exempt. The time binds the start of the
    replica that asked for it: it is over when the replica exits.
    """
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
        exits = [at for at in observations.replica_exits.get(each.replica, ()) if at > each.at]
        began = each.at + RETRY_AFTER_GRACE_S
        ended = min([each.at + each.retry_after_s, *exits])
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
    """Check that the nodes that know a replica's limit send no more than the limit allows.

    Requests that a node sent around its own restart, freeze or link fault do not count.
    """

    def excused(node: str, at: float) -> bool:
        return _node_had_fault(
            node, (*NODE_OUTAGE_PREFIXES, "links_"), at - FAULT_AFTERMATH_S, at, observations
        )

    return [
        Violation("limits", detail) for detail in describe_exceeded_windows(observations, excused)
    ]


def _node_had_fault(
    node: str, kinds: tuple[str, ...], began: float, ended: float, observations: Observations
) -> bool:
    """Check whether a fault of some kinds affected a node within a period.

    :param kinds: prefixes of the names of faults.
    """
    return any(
        each.target == node and each.fault.startswith(kinds) and each.overlaps(began, ended)
        for each in observations.faults
    )


def deadlines_hold(observations: Observations) -> list[Violation]:
    """Check that a node without a fault of its own ends each request by its deadline.

    :data:`DEADLINE_SLACK_S` is allowed beyond the deadline.
    """
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
    """Check that no window contains more of a team's requests than its quota allows.

    A request counts if it was both sent and run within the window.
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
    """Count the most spans that lie wholly in one window; ``spans`` are sorted by their start."""
    most = 0
    for index, (start, _) in enumerate(spans):
        inside = sum(1 for _, end in spans[index:] if end <= start + window_s)
        most = max(most, inside)
    return most


def retries_stay_within_budget(observations: Observations) -> list[Violation]:
    """Check that arrivals beyond the first of each request stay within the service's budget."""
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
    """Check that a request that ends replicas is held back once all nodes could know of it.

    Each of its runs ends a replica here, so the third run is the third end. Periods with a fault of
    a node, a link or the store are skipped, since a disconnected node cannot know of the request.
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
    """Check whether a node, a link or the store had a fault within or shortly before a period.

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
    """Check that all nodes serve again within :data:`MAX_RECOVERY_S` after the last fault."""
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
    nodes_have_no_faults,
    processes_end_when_told,
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
    streams_keep_their_version,
    resumed_streams_go_on,
    crashing_parts_are_held_back,
    sound_prompts_are_served,
    focused_nodes_serve,
    left_requests_end,
    begun_requests_end,
    dispatched_requests_end,
    uploads_are_answered,
    work_hardly_overlaps,
    memory_stays_within_its_limit,
    stops_are_heard,
    refused_senders_get_answers,
    service_recovers,
)
CHECKERS = SAFETY_CHECKERS + TIMED_CHECKERS
# Old builds ignore the announcements in answers, the versions of replicas and the parts of prompts,
# do not bound their memory,
# and close the connections of requests that they give up or can't finish, so these promises do not
# hold for a mixed fleet.
NEW_VERSION_CHECKERS = (
    drains_survive_store_restores,
    leaving_answers_are_respected,
    retry_after_is_respected,
    replica_limits_are_respected,
    streams_keep_their_version,
    resumed_streams_go_on,
    crashing_parts_are_held_back,
    sound_prompts_are_served,
    left_requests_end,
    begun_requests_end,
    dispatched_requests_end,
    uploads_are_answered,
    work_hardly_overlaps,
    memory_stays_within_its_limit,
    stops_are_heard,
    refused_senders_get_answers,
)
MIXED_VERSION_CHECKERS = tuple(each for each in CHECKERS if each not in NEW_VERSION_CHECKERS)


def run_checkers(
    observations: Observations, checkers: Iterable[Checker] = CHECKERS
) -> list[Violation]:
    """Run checkers; the results of :data:`SAFETY_CHECKERS` do not depend on timing."""
    return [violation for checker in checkers for violation in checker(observations)]
