"""
chalkyoke_fakes.soak.checkers

What must always hold, judged from observations alone. Each checker lists what it found broken.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from chalkyoke_fakes.soak.limits import windows_over
from chalkyoke_fakes.soak.observations import Asked, Drained, Observations, Ran, TurnedAway
from chalkyoke_fakes.soak.plan import Fault

NOT_RUN = frozenset({408, 421, 429, 503})
DRAIN_S = 3.0
IN_TOUCH_S = 4.0
DEADLINE_SLACK_S = 1.5
RECOVER_S = 12.0
# How long all nodes have to know a request that ends replicas, and what is allowed after that.
KNOWN_S = 3.0
MOST_LATER = 3
# How long after an answer that said so a replica gets nothing more of the node that passed it on,
# and how many requests a node may send to a replica in a time of rest, from its first half second
# on; both as operators allow it.
LEFT_ALONE_S = 2.0
REST_BEGINS_S = 0.5
MOST_IN_REST = 2
# Faults after which a node has forgotten, or did not notice for a while.
AWAY = ("node_", "all_", "roll")


@dataclass(frozen=True, slots=True)
class Broken:
    """One promise that did not hold."""

    promise: str
    what: str


def runs_once(seen: Observations) -> list[Broken]:
    """A request that may not be repeated runs at most once."""
    runs = Counter(each.request for each in seen.ran)
    single = (each for each in seen.asked if not each.kind.repeatable)
    return [
        Broken("runs once", f"{each.request} ran {runs[each.request]} times")
        for each in single
        if runs[each.request] > 1
    ]


def not_run_is_true(seen: Observations) -> list[Broken]:
    """A caller that is told "not run" had no run."""
    runs = Counter(each.request for each in seen.ran)
    return [
        Broken("not run is true", f"{each.request} got {each.status} and ran")
        for each in seen.asked
        if each.status in NOT_RUN and not each.kind.repeatable and runs[each.request]
    ]


def answers_are_whole_and_own(seen: Observations) -> list[Broken]:
    """An answer that looks whole is the whole answer to its own request."""
    return [
        Broken("whole and own", f"{each.request}: {each.status}, {each.body[:60]!r}")
        for each in seen.asked
        if each.status == 200 and not _is_own(each, seen.stream)
    ]


def _is_own(asked: Asked, stream: bytes) -> bool:
    if not asked.kind.streams:
        return not asked.whole or asked.body.endswith(f" did {asked.request}".encode())
    return asked.body == stream if asked.whole else stream.startswith(asked.body)


def runs_were_asked_for(seen: Observations) -> list[Broken]:
    """No replica runs what nobody has asked for."""
    asked = {each.request for each in seen.asked}
    return [
        Broken("asked for", f"{each.request} ran at {each.replica}")
        for each in seen.ran
        if each.request not in asked
    ]


def versions_rise(seen: Observations) -> list[Broken]:
    """The configuration of a process never goes back."""
    return [
        Broken("versions rise", f"{process}: {versions}")
        for process, versions in seen.versions.items()
        if versions != sorted(versions)
    ]


def leaving_replicas_get_nothing(seen: Observations) -> list[Broken]:
    """A replica that leaves gets no request some seconds after it said so.

    Only where no fault was near: a node that is out of touch can't know.
    """
    return [
        Broken("drain", f"{run.request} ran at {each.replica} {run.at - each.at:.1f} s after")
        for each in seen.drained
        if not _is_disturbed(each, seen)
        for run in seen.ran
        if run.replica == each.replica and each.at + DRAIN_S < run.at < each.at + 2 * DRAIN_S
    ]


def _is_disturbed(drained: Drained, seen: Observations) -> bool:
    began, ended = drained.at - IN_TOUCH_S, drained.at + 2 * DRAIN_S
    return any(each.touches(began, ended) for each in seen.faults)


def restores_hide_no_leaving(seen: Observations) -> list[Broken]:
    """A replica that leaves gets no request some seconds after, though the store was restored.

    Counted from when it was written again, where it was written while the store was away. Only
    where no node and no link was at fault, nor the store in another way.
    """
    broken: list[Broken] = []
    for each in seen.drained:
        ended = each.at + 2 * DRAIN_S
        if _nodes_were_disturbed(each.at, ended, seen, but=Fault.STORE_RESTORED):
            continue
        since = max([each.at, *(at for at in seen.restored if each.at < at < each.at + DRAIN_S)])
        late = [
            run
            for run in seen.ran
            if run.replica == each.replica and since + DRAIN_S < run.at < ended
        ]
        broken += [
            Broken("restores", f"{run.request} ran at {run.replica} {run.at - each.at:.1f} s after")
            for run in late
        ]
    return broken


def leaving_answers_are_heard(seen: Observations) -> list[Broken]:
    """A node sends a replica nothing more some time after it passed on that the replica leaves.

    A node that was frozen, killed or stopped since then is excused.
    """
    broken: list[Broken] = []
    asked = {each.request: each for each in seen.asked}
    told: dict[tuple[str, str], float] = {}
    for each in sorted(seen.asked, key=lambda each: each.ended):
        if each.leaving:
            told.setdefault((each.node, each.leaving), each.ended)
    for run in seen.ran:
        sent = asked.get(run.request)
        since = told.get((sent.node, run.replica)) if sent is not None else None
        if sent is None or since is None or sent.began <= since + LEFT_ALONE_S:
            continue
        is_other_start = any(since < at < run.at for at in seen.ends.get(run.replica, ()))
        if not is_other_start and not _was_struck(sent.node, AWAY, since, run.at, seen):
            what = f"{run.request} ran at {run.replica} {run.at - since:.1f} s after {sent.node}"
            broken.append(Broken("leaving answers", what))
    return broken


def rests_are_kept(seen: Observations) -> list[Broken]:
    """A replica that asked a node for rest has few requests of it until that is over."""
    broken: list[Broken] = []
    nodes = {each.request: each.node for each in seen.asked}
    arrivals: dict[tuple[str, str], list[float]] = {}
    reached: list[Ran | TurnedAway] = [*seen.ran, *seen.turned_away]
    for arrived in reached:
        if arrived.request in nodes:
            key = (nodes[arrived.request], arrived.replica)
            arrivals.setdefault(key, []).append(arrived.at)
    for each in seen.turned_away:
        node = nodes.get(each.request)
        if not each.rest_s or node is None:
            continue
        began, ended = each.at + REST_BEGINS_S, each.at + each.rest_s
        within = [at for at in arrivals[node, each.replica] if began <= at < ended]
        if len(within) <= MOST_IN_REST:
            continue
        if not _was_struck(node, (*AWAY, "links_"), each.at, ended, seen):
            what = f"{len(within)} from {node} to {each.replica} since {each.at:.1f} s"
            broken.append(Broken("rest", what))
    return broken


def limits_are_kept(seen: Observations) -> list[Broken]:
    """A replica gets from the nodes that it told what operators allow beside its limit.

    What a node sent around a restart, a freeze or a cut of its own does not count.
    """

    def excused(node: str, at: float) -> bool:
        return _was_struck(node, (*AWAY, "links_"), at - IN_TOUCH_S, at, seen)

    return [Broken("limits", what) for what in windows_over(seen, excused)]


def _was_struck(
    node: str, kinds: tuple[str, ...], began: float, ended: float, seen: Observations
) -> bool:
    """Tell whether a fault of some kinds struck a node meanwhile."""
    return any(
        each.target == node and each.what.startswith(kinds) and each.touches(began, ended)
        for each in seen.faults
    )


def deadlines_hold(seen: Observations) -> list[Broken]:
    """A node that nothing is the matter with ends each request by its deadline."""
    return [
        Broken("deadlines", f"{each.request} took {each.ended - each.began:.1f} s at {each.node}")
        for each in seen.asked
        if each.ended - each.began > each.deadline_s + DEADLINE_SLACK_S
        and not any(
            fault.target == each.node and fault.touches(each.began - 1.0, each.ended)
            for fault in seen.faults
        )
    ]


def quotas_hold(seen: Observations) -> list[Broken]:
    """No window sees more of a team's requests than its quota allows.

    A request counts once it was both sent and run within the window.
    """
    broken: list[Broken] = []
    began = {each.request: each.began for each in seen.asked}
    for quota in seen.quotas:
        runs = [each for each in seen.ran if each.team == quota.team and each.request in began]
        spans = sorted((began[each.request], each.at) for each in runs)
        worst = _most_within(spans, quota.window_s)
        if worst > quota.most:
            broken.append(Broken("quota", f"{quota.team}: {worst} of {quota.most}"))
    return broken


def _most_within(spans: list[tuple[float, float]], window_s: float) -> int:
    """Count the most spans that lie whole in any window; ``spans`` are sorted by their begin."""
    most = 0
    for index, (start, _) in enumerate(spans):
        inside = sum(1 for _, end in spans[index:] if end <= start + window_s)
        most = max(most, inside)
    return most


def retries_are_few(seen: Observations) -> list[Broken]:
    """Arrivals beyond the first of each request stay within the budget of each service."""
    limit = seen.retries
    broken: list[Broken] = []
    for service in {each.service for each in seen.ran}:
        runs = sorted((each for each in seen.ran if each.service == service), key=lambda e: e.at)
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
                broken.append(Broken("retry budget", f"{service}: {repeats} beside {first}"))
                break
    return broken


def crashing_requests_are_held_back(seen: Observations) -> list[Broken]:
    """A request under which replicas end reaches few more once all nodes could know of it.

    Each run under it ends a replica here, so the third run is the third end. Only where no node or
    link was at fault: who is out of touch can't know.
    """
    broken: list[Broken] = []
    bodies = {each.body for each in seen.ran if each.body.startswith(b"crashing-")}
    for body in bodies:
        runs = sorted(each.at for each in seen.ran if each.body == body)
        later = [at for at in runs[3:] if at > runs[2] + KNOWN_S]
        if len(later) > MOST_LATER and not _nodes_were_disturbed(runs[0], runs[-1], seen):
            broken.append(Broken("held back", f"{body!r} ran {len(runs)} times, {len(later)} late"))
    return broken


def _nodes_were_disturbed(began: float, ended: float, seen: Observations, but: str = "") -> bool:
    """Tell whether a node, a link or the store was at fault.

    :param but: a kind of fault that does not count.
    """
    kinds = ("node_", "links_", "all_", "store_")
    return any(
        each.what.startswith(kinds) and each.what != but and each.touches(began - IN_TOUCH_S, ended)
        for each in seen.faults
    )


def service_comes_back(seen: Observations) -> list[Broken]:
    """All nodes serve again soon after the last fault."""
    if seen.recovered_s is not None and seen.recovered_s <= RECOVER_S:
        return []
    return [Broken("recovery", f"after {seen.recovered_s} s")]


Checker = Callable[[Observations], list[Broken]]

SAFETY: tuple[Checker, ...] = (
    runs_once,
    not_run_is_true,
    answers_are_whole_and_own,
    runs_were_asked_for,
    versions_rise,
)
TIMED: tuple[Checker, ...] = (
    leaving_replicas_get_nothing,
    restores_hide_no_leaving,
    leaving_answers_are_heard,
    rests_are_kept,
    limits_are_kept,
    deadlines_hold,
    quotas_hold,
    retries_are_few,
    crashing_requests_are_held_back,
    service_comes_back,
)
CHECKERS = SAFETY + TIMED
# What an old build can be asked for beside a new one; it does not hear what answers say.
OF_THE_NEW_ONLY = (
    restores_hide_no_leaving,
    leaving_answers_are_heard,
    rests_are_kept,
    limits_are_kept,
)
BETWEEN_VERSIONS = tuple(each for each in CHECKERS if each not in OF_THE_NEW_ONLY)


def check(seen: Observations, checkers: Iterable[Checker] = CHECKERS) -> list[Broken]:
    """Apply checkers; those of :data:`SAFETY` hang on no clock."""
    return [broken for checker in checkers for broken in checker(seen)]
