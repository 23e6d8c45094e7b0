"""
chalkyoke.gateway.granted

Types of grants, the permission to send a request to a replica, and the ports that provide replicas
and permits.
"""

from collections.abc import Callable, Collection
from enum import StrEnum
from typing import Protocol

import msgspec

from chalkyoke.catalog.resources import Replica
from chalkyoke.gateway.ports import Load
from chalkyoke.gateway.reception import Admission
from chalkyoke.limits.client import Permit, PermitDenied

# Retry-After time of a refusal for which no better estimate exists, in seconds.
DEFAULT_RETRY_S = 0.5
# Load of a replica that reported none: without slots.
NO_LOAD = Load(0, 0, 0)


class Source(StrEnum):
    """The issuer of a grant."""

    SCHEDULER = "scheduler"
    LOCAL = "local"


class Granted(msgspec.Struct):
    """Permission to send one request to one replica once.

    :param attempt: number of this grant among those that the request asked for.
    :param scheduler: process of the scheduler that issued the grant; empty for a local grant.
    :param expected_first_s: the scheduler's prediction of ``first_s``; 0 if there is none.
    :param for_trial: whether the grant may be for a version under trial.
    :param counted: whether the scheduler has counted the grant toward the replica's limit.
    :param is_version_bound: whether the replica must run the version that has begun the stream.
    :ivar permit: permit that counts the grant toward that limit if no scheduler does.
    :ivar is_first_decline: whether the replica declined the request as the first one to do so.
    :ivar started_at: when the request was sent, on the node's clock; 0 before.
    :ivar first_s: time from the send to the first event, in seconds; -1 before.
    :ivar events: number of events received.
    :ivar load: the load that the replica reported with its answer.
    :ivar reported_to: schedulers that were told that the request runs, besides the issuer.
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
    is_version_bound: bool = False
    permit: Permit | None = None
    is_first_decline: bool = False
    load: Load = NO_LOAD
    reported_to: tuple[str, ...] = ()


class Denied(msgspec.Struct, frozen=True):
    """A decision that no replica takes the request.

    :param retry_after_s: time after which the caller may retry, in seconds.
    """

    reason: str
    retry_after_s: float


class OtherVersion(msgspec.Struct, frozen=True):
    """A scheduler's grant for a replica of another version than the one that must be used.

    Its build does not know of versions.
    """


class ReplicaPort(Protocol):
    """Lookup of the replicas that accept new requests."""

    def find(self, replica: str, *, for_trial: bool = False) -> Replica | None:
        """Find a replica that accepts new requests; None if there is none with this id.

        :param for_trial: whether the replica may run a version under trial.
        """

    def of_service(self, service: str, *, for_trial: bool = False) -> list[Replica]:
        """List the replicas of a service that accept new requests.

        :param for_trial: list those of a version under trial instead of the others.
        """


class PermitPort(Protocol):
    """Counts the requests of all nodes to replicas that announce a limit."""

    def is_limited(self, replica: str) -> bool:
        """Return whether a replica has a limit."""

    def is_valid(self, permit: Permit) -> bool:
        """Return whether a permit is still valid."""

    async def request_permit(
        self, service: str, replica: str, most_wait_s: float
    ) -> Permit | PermitDenied:
        """Get a permit to send one request.

        :param most_wait_s: longest time that the request would wait, in seconds.
        """

    def return_permit(self, permit: Permit) -> None:
        """Return an unused permit."""


class GrantRequest(msgspec.Struct, frozen=True):
    """The parameters of the search for a replica.

    :param attempt: number of this grant among those that the request asked for.
    :param avoid: ids of replicas that were tried already.
    :param for_trial: whether the replica must run a version under trial.
    :param digest: returns the digest of the request's content, for plain requests; None if unknown.
    :param version: software version that the replica must run, since it has begun the stream; None
        for any.
    """

    admission: Admission
    attempt: int
    avoid: Collection[str]
    for_trial: bool
    digest: Callable[[], bytes] | None = None
    version: str | None = None


def find_eligible(
    replicas: ReplicaPort, service: str, version: str | None, *, for_trial: bool = False
) -> list[Replica]:
    """List the replicas that may take a request.

    A stream goes on at the version that began it, whether or not that version is under trial.

    :param version: software version that the replica must run; None for any.
    :param for_trial: whether the replica must run a version under trial if none is given.
    """
    if version is None:
        return replicas.of_service(service, for_trial=for_trial)
    every = [*replicas.of_service(service), *replicas.of_service(service, for_trial=True)]
    return [each for each in every if each.version == version]
