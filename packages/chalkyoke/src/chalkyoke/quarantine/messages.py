"""
chalkyoke.quarantine.messages

What nodes tell each other of requests that ran under the ends of replicas. Nothing is sent while no
replica ends: the cost of one end is a message from each node that had a run there to all others.
"""

import msgspec


class SuspectRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that broke as its replica ended.

    :param request: its name, as :func:`chalkyoke.quarantine.identity.request_digest` makes it.
    :param weight: how much it counts against the request.
    :param age_s: how long ago it broke, in seconds.
    """

    request: bytes
    weight: float
    age_s: float


class ReplicaEnded(msgspec.Struct, frozen=True, array_like=True, tag="replica_ended"):
    """A node tells what of its own ran at a replica when that ended.

    :param start: the start of the replica that has ended.
    :param relay: whether the receiver tells the other nodes of its failure domain.
    """

    start: str
    runs: tuple[SuspectRun, ...]
    relay: bool = False


class RequestsServed(msgspec.Struct, frozen=True, array_like=True, tag="requests_served"):
    """Requests that are suspected, and were served whole; or that an operator has released.

    :param age_s: how long ago, in seconds.
    :param relay: whether the receiver tells the other nodes of its failure domain.
    """

    requests: tuple[bytes, ...]
    age_s: float = 0.0
    relay: bool = False


class HeldRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request that is held back.

    :param last_end_age_s: how long ago the last replica ended under it, in seconds.
    :param left_s: for how much longer it is held back, in seconds.
    """

    request: bytes
    last_end_age_s: float
    left_s: float


class HeldSummary(msgspec.Struct, frozen=True, array_like=True, tag="held_summary"):
    """What a node holds back, as a checksum: who holds others back tells them."""

    checksum: int


class HeldRequests(msgspec.Struct, frozen=True, array_like=True, tag="held"):
    """All that a node holds back.

    :param is_answer: whether it answers another one, and is not answered itself.
    """

    requests: tuple[HeldRequest, ...]
    is_answer: bool = False


class HeldRecord(msgspec.Struct, frozen=True):
    """A request whose record in the store says that it is held back.

    :param is_released: whether an operator has released it.
    """

    request: bytes
    is_released: bool = False


QuarantineMessage = ReplicaEnded | RequestsServed | HeldSummary | HeldRequests
QUARANTINE_MESSAGES = (ReplicaEnded, RequestsServed, HeldSummary, HeldRequests)
