"""
chalkyoke.gateway.replacement

Which replica may take a request from a silent one, and how long one is sought for a request whose
silent replica was given up.
"""

from chalkyoke.gateway.granted import Denied, Granted, ReplicaPort, find_eligible
from chalkyoke.gateway.reception import Admission
from chalkyoke.gateway.takeover import Send
from chalkyoke.gateway.verdict import UNCONNECTED, SendEnd
from chalkyoke.gateway.waiting import latest_wait_end
from chalkyoke.http1.pool import ConnectionPool

# Silence amid its answers after which a replica takes no request from another silent one, in
# seconds. It is longer than the pauses that the prompts of other requests cause.
MAX_SILENCE_S = 0.5
# Time before the first further search, in seconds, and the longest one. It doubles each time, as a
# search may end with a rejected send, which the retry budget of the service pays for.
FIRST_SEARCH_PAUSE_S = 0.1
MAX_SEARCH_PAUSE_S = 0.5
# Shortest time before the deadline of a request in which a replica is sought for it, in seconds.
MIN_SEARCH_S = 0.2


def find_objection(
    admission: Admission,
    granted: Granted,
    silent: Send | None,
    replicas: ReplicaPort,
    connections: ConnectionPool,
    version: str | None,
) -> str | None:
    """Return why a replica must not take a request from a silent one; None if it may.

    A second run at the silent replica would be answered no sooner; only the sole replica of a
    service may get its request again, since the connection may be dead. A replica that is silent
    too is no better, and the one that has the request may have done a part of it.

    :param silent: the send whose replica is silent; None if there is none.
    :param version: software version that the replica must run; None for any.
    """
    if silent is None:
        return None
    replica = granted.replica
    if replica.id != silent.granted.replica.id:
        is_silent = connections.silent_s(replica.ip, replica.port) > MAX_SILENCE_S
        return "other replica silent" if is_silent else None
    eligible = find_eligible(replicas, admission.service.name, version)
    return "no other replica" if any(each.id != replica.id for each in eligible) else None


def next_search_at(
    outcome: object, admission: Admission, now: float, searches: int, *, begun: bool
) -> float | None:
    """Return when a replica is sought again for a request whose silent replica was given up.

    The host has given up what might have become a whole answer, so one refusal does not end it.
    An answer that has begun is worth the whole time of its caller; any other request is refused
    while the caller can still try again.

    :param outcome: the :class:`~chalkyoke.gateway.verdict.SendEnd` of the last send, or the
        refusal that took its place.
    :param now: time on the node's clock, in seconds.
    :param searches: number of further searches so far.
    :param begun: whether a part of the answer has been forwarded to the caller.
    :return: the time on the node's clock, in seconds; None if the request ends now.
    """
    latest = admission.deadline - MIN_SEARCH_S if begun else latest_wait_end(admission)
    if isinstance(outcome, SendEnd):
        is_refused = outcome in UNCONNECTED or outcome is SendEnd.DECLINED
    else:
        is_refused = isinstance(outcome, Denied)
    if now >= latest or not is_refused:
        return None
    return min(latest, now + min(MAX_SEARCH_PAUSE_S, FIRST_SEARCH_PAUSE_S * 2.0**searches))
