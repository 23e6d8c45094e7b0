"""
chalkyoke_fakes.soak.endings

Check that requests that a sound replica has begun get their whole answer, also while replicas
pause, the configuration changes and nodes stop on plan.
"""

from chalkyoke_fakes.soak.observations import CallerAttempt, Observations, Violation
from chalkyoke_fakes.soak.plan import Fault

# The lowest time limit of any configuration, in seconds.
MIN_TIME_LIMIT_S = 5.0
# A node that stops may cut off what has not ended this long after the stop began, in seconds.
STOP_LIMIT_S = 7.4
# Faults that excuse no cut.
PLANNED_FAULTS = frozenset({Fault.SERVICE_PAUSES, Fault.RELOAD})
# Requests that began this soon after a fault of another kind are not judged, in seconds.
CONTACT_S = 4.0


def begun_requests_end(observations: Observations) -> list[Violation]:
    """Check that no request that a replica has begun is cut off before its time limit.

    Only planned stops, pauses of replicas and configurations may be near.
    """
    begun = {each.request for each in observations.runs}
    return [
        Violation("begun requests end", f"{each.request} got {each.status} at {each.node}")
        for each in observations.attempts
        if each.request in begun
        and not (each.status == 200 and each.complete)
        and each.ended - each.began < MIN_TIME_LIMIT_S
        and not _is_excused(each, observations)
    ]


def _is_excused(attempt: CallerAttempt, observations: Observations) -> bool:
    for each in observations.faults:
        if each.fault in PLANNED_FAULTS:
            continue
        if each.fault == Fault.NODE_STOP:
            is_over = attempt.ended - each.began > STOP_LIMIT_S
            if each.target == attempt.node and is_over:
                return True
        elif each.overlaps(attempt.began - CONTACT_S, attempt.ended):
            return True
    return False
