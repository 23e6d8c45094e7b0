"""
chalkyoke.balancing.messages

The messages that nodes exchange about failing replicas.
"""

import msgspec


class RouteCount(msgspec.Struct, frozen=True, array_like=True):
    """Count the answers and failures of one route at one replica since the last report."""

    replica: str
    route: str
    answers: int
    failures: int


class ReplicaReport(msgspec.Struct, frozen=True, array_like=True, tag="replica_report"):
    """Report a node's request outcomes to the observer of a service."""

    service: str
    counts: tuple[RouteCount, ...]


class SuspectReplicas(msgspec.Struct, frozen=True, array_like=True, tag="suspects"):
    """Announce the replicas of a service that fail far more often than the others.

    :param suspects: ids of all current suspects.
    :param relay: whether the receiver forwards the message to the other nodes of its failure
        domain.
    """

    service: str
    suspects: tuple[str, ...]
    relay: bool = False


SuspicionMessage = ReplicaReport | SuspectReplicas
SUSPICION_MESSAGES = (ReplicaReport, SuspectReplicas)
