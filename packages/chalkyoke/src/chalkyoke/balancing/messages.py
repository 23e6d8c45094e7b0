"""
chalkyoke.balancing.messages

The messages that nodes exchange about replicas of plain services: failures, and use of their slots.
"""

import msgspec

from chalkyoke.decoding.bounds import Finite, Integer


class RouteCount(msgspec.Struct, frozen=True, array_like=True):
    """Count the answers and failures of one route at one replica since the last report."""

    replica: str
    route: str
    answers: Integer
    failures: Integer


class ReplicaReport(msgspec.Struct, frozen=True, array_like=True, tag="replica_report"):
    """Report a node's request outcomes to the observer of a service.

    :param busy_s: total duration of the requests that ended since the last report, in seconds.
    :param rejections: requests that a full replica rejected since then.
    """

    service: str
    counts: tuple[RouteCount, ...]
    busy_s: Finite = 0.0
    rejections: Integer = 0


class SuspectReplicas(msgspec.Struct, frozen=True, array_like=True, tag="suspects"):
    """Announce the replicas of a service that fail far more often than the others.

    :param suspects: ids of all current suspects.
    :param relay: whether the receiver forwards the message to the other nodes of its failure
        domain.
    """

    service: str
    suspects: tuple[str, ...]
    relay: bool = False


class QueueingUpdate(msgspec.Struct, frozen=True, array_like=True, tag="plain_queueing"):
    """Announce whether the scheduler of a plain service's pool decides for its requests.

    Repeated while the service is queued; receivers let it expire after some seconds.

    :param relay: whether the receiver forwards the message to the other nodes of its failure
        domain.
    """

    service: str
    queued: bool
    relay: bool = False


SuspicionMessage = ReplicaReport | SuspectReplicas | QueueingUpdate
SUSPICION_MESSAGES = (ReplicaReport, SuspectReplicas, QueueingUpdate)
