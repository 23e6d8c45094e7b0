"""
chalkyoke.limits.messages

Messages between nodes and the keepers of replicas' limits. All times are relative, so that clocks
of two nodes are never compared.
"""

import msgspec

from chalkyoke.decoding.bounds import Finite, Integer


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag="permit_request"):
    """A node requests a permit to send one request to a limited replica.

    :param number: number of the request, repeated in the answer.
    :param limit_per_s: the limit that the requesting node knows, in requests per second.
    :param age_s: time since the replica announced this limit, in seconds.
    :param most_wait_s: longest time that the request would wait, in seconds.
    """

    number: Integer
    service: str
    replica: str
    limit_per_s: Finite
    age_s: Finite
    most_wait_s: Finite = 0.0


class PermitAnswer(msgspec.Struct, frozen=True, array_like=True, tag="permit_answer"):
    """A keeper grants or refuses a permit.

    :param given: whether the request may be sent after ``wait_s``.
    :param wait_s: delay before the request may be sent, or, after a refusal, the time until a
        permit is available; in seconds.
    """

    number: Integer
    service: str
    replica: str
    given: bool
    wait_s: Finite


class PermitReturned(msgspec.Struct, frozen=True, array_like=True, tag="permit_returned"):
    """A node returns an unused permit: the request was never sent."""

    service: str
    replica: str


PermitMessage = PermitRequest | PermitAnswer | PermitReturned
PERMIT_MESSAGES = (PermitRequest, PermitAnswer, PermitReturned)
