"""
chalkyoke.gateway.granted

What permission to send is: who gives it, to which replica, within which limits.
"""

from collections.abc import Collection
from enum import StrEnum
from typing import Protocol

import msgspec

from chalkyoke.catalog.resources import Replica
from chalkyoke.gateway.reception import Admission
from chalkyoke.limits.client import Permit, PermitDenied

# When a caller comes back where nobody can tell, in seconds.
DEFAULT_RETRY_S = 0.5


class Source(StrEnum):
    """Who gave a grant."""

    SCHEDULER = "scheduler"
    LOCAL = "local"


class Granted(msgspec.Struct):
    """Permission to send one request to one replica once.

    :param scheduler: the process that gave it; empty for this node alone.
    :param expected_first_s: what the scheduler predicted for ``first_s``; 0 where nobody did.
    :param for_trial: whether it may go to a version under trial.
    :param counted: whether its scheduler has counted it in the limit that the replica names.
    :ivar permit: what counts it in that limit where no scheduler does.
    :ivar declined: whether the replica turned the request away, which none had done before.
    :ivar started: when the request was sent, on the node's clock; 0 before.
    :ivar first_s: from the send to the first event; -1 before.
    """

    replica: Replica
    attempt: int
    source: Source
    scheduler: str = ""
    started_at: float = 0.0
    first_s: float = -1.0
    events: int = 0
    expected_first_s: float = 0.0
    for_trial: bool = False
    counted: bool = False
    permit: Permit | None = None
    is_first_decline: bool = False


class Denied(msgspec.Struct, frozen=True):
    """No replica takes the request.

    :param retry_after_s: when to come back.
    """

    reason: str
    retry_after_s: float


class ReplicaPort(Protocol):
    """The replicas that may take new work."""

    def find(self, replica: str, *, for_trial: bool = False) -> Replica | None:
        """Find a replica that takes new work.

        :param for_trial: whether one of a version under trial will do.
        """

    def of_service(self, service: str, *, for_trial: bool = False) -> list[Replica]:
        """List a service's replicas that take new work.

        :param for_trial: those of a version under trial in place of the others.
        """


class PermitPort(Protocol):
    """Counts what replicas get that name a limit, over all nodes."""

    def is_limited(self, replica: str) -> bool:
        """Tell whether a replica names a limit."""

    def is_valid(self, permit: Permit) -> bool:
        """Tell whether a permit still serves."""

    async def request_permit(
        self, service: str, replica: str, most_wait_s: float
    ) -> Permit | PermitDenied:
        """Ask for a permit to send one request.

        :param most_wait_s: how long the request would wait.
        """

    def return_permit(self, permit: Permit) -> None:
        """Give a permit back that was not used."""


class GrantRequest(msgspec.Struct, frozen=True):
    """A replica that is looked for.

    :param attempt: counts the grants that were asked for.
    :param avoid: replicas that were tried already.
    :param for_trial: whether it is to be of a version under trial.
    """

    admission: Admission
    attempt: int
    avoid: Collection[str]
    for_trial: bool
