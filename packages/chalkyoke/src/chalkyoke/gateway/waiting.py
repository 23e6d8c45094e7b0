"""
chalkyoke.gateway.waiting

Decide how long a request waits at a node for a replica, and which Retry-After its refusal states.
Pure functions.
"""

from chalkyoke.gateway.reception import Admission

# Longest Retry-After time as a share of the request's remaining time. Callers return only if it is
# at most a third; the rest covers the refusal's way to the caller.
MAX_RETRY_AFTER_SHARE = 0.3
# Time that a refusal leaves to the caller, as a multiple of the goal: the Retry-After time and one
# answer within the goal. With a smaller value, a retry ends at the deadline more often; with a
# larger one, requests are refused that a replica might still have served.
RETRY_GOALS = 2.0
# Upper bound of that time, as a share of the time for which the caller waits at all.
MAX_RETRY_SHARE = 0.5


def latest_wait_end(admission: Admission) -> float:
    """Return until when a request waits for a replica, on the node's clock, in seconds.

    A request refused at that time leaves its caller enough time for one retry.
    """
    whole_s = admission.patience_until - admission.arrived_at
    reserved_s = min(RETRY_GOALS * admission.route.goal_s, MAX_RETRY_SHARE * whole_s)
    return admission.patience_until - reserved_s


def longest_retry_after_s(admission: Admission, now: float) -> float:
    """Return the longest Retry-After time after which the caller returns, in seconds."""
    return max(0.0, admission.deadline - now) * MAX_RETRY_AFTER_SHARE
