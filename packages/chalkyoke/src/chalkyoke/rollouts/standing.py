"""
chalkyoke.rollouts.standing

Which replicas of a service take which requests, by the versions that operators have ordered.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Protocol

from chalkyoke.rollouts.resources import OrderName, RolloutState, TrackedOrder


class Eligibility(StrEnum):
    """What a replica takes.

    ``USUAL``: whatever there is. ``TRIAL``: what is sent to try its version. ``NOTHING``: its
    version was rolled back, or is to be stopped.
    """

    USUAL = "usual"
    TRIAL = "trial"
    NOTHING = "nothing"


# What a route is called in a pool when a request of it is to try a new version.
TRIAL_ROUTE_SUFFIX = "@trial"


def trial_route(route: str) -> str:
    """Name the part of a route that goes to a version under trial."""
    return route + TRIAL_ROUTE_SUFFIX


class VersionedReplica(Protocol):
    """What decides on a replica."""

    @property
    def service(self) -> str:
        """The service that it belongs to."""

    @property
    def version(self) -> str:
        """The version of its software."""


class VersionEligibility:
    """Tell the standing of versions.

    An order is for a trial only where another version was seen beside it: one for the only version
    that runs moves nothing, and must not shut out all replicas. Versions that no order names run
    as usual, whatever they are: a release of replicas is the operators' own way to change versions,
    and a service is not to stop because of it.
    """

    def __init__(self) -> None:
        self._orders: Mapping[str, TrackedOrder] = {}
        self._orders_with_alternatives: dict[str, OrderName] = {}
        self._rejected: dict[str, set[str]] = {}

    def rebuild(
        self, orders: Mapping[str, TrackedOrder], replicas: Iterable[VersionedReplica]
    ) -> None:
        """Take other orders or other replicas."""
        self._reject_superseded(orders)
        self._orders = orders
        for replica in replicas:
            order = orders.get(replica.service)
            if order is not None and replica.version != order.order.version:
                self._orders_with_alternatives[replica.service] = order.order.name

    def eligibility(self, service: str, version: str) -> Eligibility:
        """Tell what the replicas of a version take."""
        if version in self._rejected.get(service, ()):
            return Eligibility.NOTHING
        order = self._orders.get(service)
        if order is None or self._orders_with_alternatives.get(service) != order.order.name:
            return Eligibility.USUAL
        ordered = version == order.order.version
        if order.state is RolloutState.COMPLETED:
            return Eligibility.USUAL if ordered else Eligibility.NOTHING
        if not ordered:
            return Eligibility.USUAL
        return Eligibility.NOTHING if order.ended else Eligibility.TRIAL

    def _reject_superseded(self, orders: Mapping[str, TrackedOrder]) -> None:
        """Shut out versions whose order was withdrawn or replaced before it was completed."""
        for service, before in self._orders.items():
            after = orders.get(service)
            if after is not None and after.order.name == before.order.name:
                continue
            if before.state is not RolloutState.COMPLETED and self._was_on_trial(service, before):
                self._rejected.setdefault(service, set()).add(before.order.version)
        for service, after in orders.items():
            if after.order.version in self._rejected.get(service, ()):
                self._rejected[service].discard(after.order.version)

    def _was_on_trial(self, service: str, order: TrackedOrder) -> bool:
        return self._orders_with_alternatives.get(service) == order.order.name
