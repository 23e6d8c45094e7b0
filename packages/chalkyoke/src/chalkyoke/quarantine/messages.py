"""
chalkyoke.quarantine.messages

Messages between nodes about requests that were running when replicas ended. No message is sent
while no replica ends. For one end, each node that had a run there sends a message to all others.
"""

import msgspec

from chalkyoke.decoding.bounds import Finite


class SuspectPart(msgspec.Struct, frozen=True, array_like=True):
    """A shared part of the prompt of a run that broke when its replica ended.

    :param part: digest by :func:`chalkyoke.quarantine.identity.shared_part_digests`.
    :param served_age_s: time since a node last served a request with this part in full, as far as
        the reporting node knows, in seconds; negative if it knows of none.
    """

    part: bytes
    served_age_s: Finite = -1.0


class SuspectRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that broke when its replica ended.

    :param request: digest by :func:`chalkyoke.quarantine.identity.request_digest`.
    :param weight: weight of the end as evidence against the request.
    :param age_s: time since the run broke, in seconds.
    :param served_age_s: time since a node last served the request in full, as far as the reporting
        node knows, in seconds; negative if it knows of none.
    :param parts: the shared parts of the prompt. Nodes of older versions neither send nor read
        them.
    """

    request: bytes
    weight: Finite
    age_s: Finite
    served_age_s: Finite = -1.0
    parts: tuple[SuspectPart, ...] = ()


class ReplicaEnded(msgspec.Struct, frozen=True, array_like=True, tag="replica_ended"):
    """A node reports its runs at a replica that has ended.

    :param start: the start of the replica that has ended.
    :param relay: whether the receiver forwards the message to its failure domain.
    """

    start: str
    runs: tuple[SuspectRun, ...]
    relay: bool = False


class RequestsServed(msgspec.Struct, frozen=True, array_like=True, tag="requests_served"):
    """Suspected requests that were served in full, or that an operator has released.

    :param requests: digests of the requests, and of shared parts of prompts.
    :param age_s: time since they were served or released, in seconds.
    :param relay: whether the receiver forwards the message to its failure domain.
    """

    requests: tuple[bytes, ...]
    age_s: Finite = 0.0
    relay: bool = False


class HeldRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request that is held back, or a shared part of prompts.

    :param request: digest of the request or of the part.
    :param last_end_age_s: time since a replica last ended while it ran the request, in seconds.
    :param left_s: remaining time of the hold, in seconds.
    """

    request: bytes
    last_end_age_s: Finite
    left_s: Finite


class HeldSummary(msgspec.Struct, frozen=True, array_like=True, tag="held_summary"):
    """A checksum of the requests that a node holds back.

    A receiver with another checksum answers with its own held requests.
    """

    checksum: int


class HeldRequests(msgspec.Struct, frozen=True, array_like=True, tag="held"):
    """The requests that a node holds back.

    :param is_answer: whether the message answers another one and needs no answer itself.
    """

    requests: tuple[HeldRequest, ...]
    is_answer: bool = False


class HeldRecord(msgspec.Struct, frozen=True):
    """The record of a held request in the store.

    :param request: digest of the request.
    :param is_released: whether an operator has released the request.
    """

    request: bytes
    is_released: bool = False


QuarantineMessage = ReplicaEnded | RequestsServed | HeldSummary | HeldRequests
QUARANTINE_MESSAGES = (ReplicaEnded, RequestsServed, HeldSummary, HeldRequests)
