"""
chalkyoke.scheduling.loads

Apply the loads that upstreams report. Load beyond the scheduler's own grants is foreign: it comes
from nodes that choose alone and from nodes of other versions.
"""

import msgspec

from chalkyoke.scheduling.messages import Release
from chalkyoke.scheduling.state import ReleaseOutcome, Upstream

# Validity of a load report, in seconds: several report intervals.
FOREIGN_VALID_S = 5.0
# Time before a report within which the scheduler's own grants are taken as part of the reported
# load, in seconds: the interval between reports.
OWN_LOAD_WINDOW_S = 1.0
# The same for a report that a plain service's answer carries, in seconds. The validity is as long
# as two usual requests; after it, none of the reported ones is likely to run. The window is the
# longest way of an answer from the replica to the scheduler.
PLAIN_VALID_S = 0.09
PLAIN_OWN_LOAD_WINDOW_S = 0.03
# Validity of the number of requests with which a replica rejected one as full, in seconds. Such a
# replica queues fewer requests than it gets beyond its slots; it is tried with more after this
# time, at the cost of a few rejections.
FULL_AT_VALID_S = 10.0


def record_load_report(upstream: Upstream, load: int, age_s: float, now: float) -> None:
    """Set an upstream's foreign load from a load report.

    :param load: running and waiting requests that the upstream reports.
    :param age_s: minimum age of the report, in seconds.
    :param now: seconds on the scheduler's clock.
    """
    own = upstream.max_own_load_since(now - 2 * age_s - OWN_LOAD_WINDOW_S)
    _set_foreign_load(upstream, load - own, now + FOREIGN_VALID_S)


def record_plain_load(upstream: Upstream, message: Release, now: float) -> Release:
    """Set the foreign load of a plain service's replica from the load that its answer carried.

    :return: the message. A decline of a replica that reports that it is full is left out: it says
        nothing about the replica's readiness, and its load already pauses the grants.
    """
    if not message.slots:
        return message
    load = message.running + message.waiting
    own = upstream.max_own_load_since(now - PLAIN_OWN_LOAD_WINDOW_S)
    is_full = message.outcome == ReleaseOutcome.UNUSED and message.running >= message.slots
    # The replica's load does not contain the request that it has rejected.
    _set_foreign_load(upstream, load - own + is_full, now + PLAIN_VALID_S)
    if not is_full:
        return message
    upstream.full_at, upstream.full_at_until = load, now + FULL_AT_VALID_S
    return msgspec.structs.replace(message, declined=False)


def _set_foreign_load(upstream: Upstream, foreign: int, until: float) -> None:
    upstream.foreign_load = max(0, foreign)
    upstream.foreign_load_until = until
