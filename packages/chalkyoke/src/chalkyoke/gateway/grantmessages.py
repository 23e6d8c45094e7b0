"""
chalkyoke.gateway.grantmessages

Build the messages that a node sends to pool schedulers about its requests. Pure functions.
"""

from chalkyoke.gateway.granted import NO_LOAD, Granted, GrantRequest
from chalkyoke.gateway.reception import DEFAULT_OUTPUT_TOKENS, Admission, fingerprint, prompt_blocks
from chalkyoke.gateway.waiting import longest_retry_after_s
from chalkyoke.rollouts.standing import trial_route
from chalkyoke.scheduling.messages import Acquire, ProgressItem, Release, RunningItem, Usage
from chalkyoke.scheduling.state import ReleaseOutcome

# Length of the part of a digest that identifies the attempts of one caller at one plain request, in
# bytes.
FINGERPRINT_BYTES = 8
# Goal of a request whose goal has passed, in seconds, as 0 means that there is no goal.
PASSED_GOAL_S = -1e-3


def acquire_message(wanted: GrantRequest, now: float) -> Acquire:
    """Build the request for a grant.

    A plain request has no tokens, and its complete answer is due by the goal.

    :param now: time on the node's clock, in seconds.
    """
    admission, fields = wanted.admission, wanted.admission.fields
    is_engine = admission.service.is_engine
    last = admission.patience_until if admission.route.is_stream else admission.deadline
    return Acquire(
        request=admission.search_id,
        attempt=wanted.attempt,
        pool=admission.service.name,
        route=route_name(admission, for_trial=wanted.for_trial),
        tier=str(admission.rank),
        team=admission.team.name if admission.team else "",
        prompt_tokens=fields.prompt_tokens if is_engine else 0,
        max_output=_max_output(admission),
        blocks=prompt_blocks(fields) if is_engine else (),
        budget_s=last - now,
        waited_s=now - admission.arrived_at,
        goal_s=(admission.due_at - now) or PASSED_GOAL_S,
        likely_output=fields.estimated_output_tokens if is_engine else 0,
        gap_goal_s=admission.route.gap_goal_s,
        whole_s=admission.deadline - now,
        fingerprint=fingerprint(admission) if is_engine else _digest_number(wanted),
        comes_back_s=longest_retry_after_s(admission, now),
        tried=tuple(wanted.avoid),
        version=wanted.version,
    )


def running_item(admission: Admission, granted: Granted, now: float) -> RunningItem:
    """Describe a running request to a new scheduler.

    :param now: time on the node's clock, in seconds.
    """
    return RunningItem(
        request=admission.search_id,
        attempt=granted.attempt,
        upstream=granted.replica.id,
        tier=str(admission.rank),
        team=admission.team.name if admission.team else "",
        route=route_name(admission, for_trial=granted.for_trial),
        prompt_tokens=admission.fields.prompt_tokens if admission.service.is_engine else 0,
        max_output=_max_output(admission),
        output_tokens=granted.events * admission.service.tokens_per_event,
        elapsed_s=_elapsed_s(granted, now),
    )


def progress_item(admission: Admission, granted: Granted, now: float) -> ProgressItem:
    """Describe the progress of a running request.

    :param now: time on the node's clock, in seconds.
    """
    return ProgressItem(
        admission.search_id,
        granted.events * admission.service.tokens_per_event,
        granted.first_s,
        _elapsed_s(granted, now),
    )


def release_message(
    admission: Admission, granted: Granted, outcome: ReleaseOutcome, rest_s: float, now: float
) -> Release:
    """Build the release of a grant, with the load that the answer reported.

    :param rest_s: remaining time for which the replica asks this node for rest, in seconds.
    :param now: time on the node's clock, in seconds.
    """
    usage = _engine_usage(admission, granted, now)
    if not admission.service.is_engine:
        # The complete answer is due by the goal, so its time takes the place of the first output's.
        delivered = outcome is ReleaseOutcome.DELIVERED
        usage = Usage(first_s=usage.total_s if delivered else -1.0, total_s=usage.total_s)
    # A stream's load was reported with its first output and is old by now.
    load = granted.load if not granted.events else NO_LOAD
    return Release(
        admission.search_id,
        granted.attempt,
        admission.service.name,
        outcome,
        usage,
        declined=granted.is_first_decline,
        rest_s=rest_s,
        running=load.running,
        waiting=load.waiting,
        slots=load.slots,
        time_factor=load.time_factor,
    )


def route_name(admission: Admission, *, for_trial: bool) -> str:
    """Return the name of a request's route in the pool of its service."""
    name = admission.route.name
    return trial_route(name) if for_trial else name


def _engine_usage(admission: Admission, granted: Granted, now: float) -> Usage:
    return Usage(
        prompt_tokens=admission.fields.prompt_tokens,
        output_tokens=granted.events * admission.service.tokens_per_event,
        first_s=granted.first_s,
        total_s=_elapsed_s(granted, now),
    )


def _max_output(admission: Admission) -> int:
    if not admission.service.is_engine:
        return 0
    return admission.fields.max_output_tokens or DEFAULT_OUTPUT_TOKENS


def _elapsed_s(granted: Granted, now: float) -> float:
    return now - granted.started_at if granted.started_at else 0.0


def _digest_number(wanted: GrantRequest) -> int:
    """Return a positive number that is equal for all attempts of one caller at one request."""
    if wanted.digest is None:
        return 0
    return int.from_bytes(wanted.digest()[:FINGERPRINT_BYTES], "big") >> 1
