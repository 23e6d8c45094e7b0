"""
chalkyoke.limits.messages

What nodes say to the process that counts what a limited replica gets. All times are relative, so
that no two clocks are ever compared.
"""

import msgspec


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag="permit_request"):
    """Ask for a permit to send one request to a replica that names a limit.

    :param number: names the question; the answer has the same.
    :param limit_per_s: as the asking node believes it, in requests a second.
    :param age_s: how long ago the replica said so.
    :param most_wait_s: how long the request would wait.
    """

    number: int
    service: str
    replica: str
    limit_per_s: float
    age_s: float
    most_wait_s: float = 0.0


class PermitAnswer(msgspec.Struct, frozen=True, array_like=True, tag="permit_answer"):
    """Give a permit, or not.

    :param given: whether the request may be sent after ``wait_s``; or else, how long it takes until
        one may.
    """

    number: int
    service: str
    replica: str
    granted: bool
    wait_s: float


class PermitReturned(msgspec.Struct, frozen=True, array_like=True, tag="permit_returned"):
    """Give a permit back that was not used: nothing has left the node."""

    service: str
    replica: str


PermitMessage = PermitRequest | PermitAnswer | PermitReturned
PERMIT_MESSAGES = (PermitRequest, PermitAnswer, PermitReturned)
