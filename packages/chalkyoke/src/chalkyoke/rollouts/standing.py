"""
chalkyoke.rollouts.standing

Which requests the replicas of a service may take, by the versions that operators have ordered.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Protocol

from chalkyoke.rollouts.resources import OrderName, RolloutState, TrackedOrder


class Eligibility(StrEnum):
    """Which requests a replica may take.

    ``USUAL``: all requests. ``TRIAL``: only requests sent to try its version. ``NOTHING``: none,
    because its version was rolled back or is to be stopped.
    """

    USUAL = "usual"
    TRIAL = "trial"
    NOTHING = "nothing"


# Suffix of the route name in a pool for requests that try a new version.
TRIAL_ROUTE_SUFFIX = "@trial"


def trial_route(route: str) -> str:
    """Return the route name in a pool for requests that go to a version under trial."""
    return route + TRIAL_ROUTE_SUFFIX


class VersionedReplica(Protocol):
    """The attributes of a replica that decide on its eligibility."""

    @property
    def service(self) -> str:
        """The name of the replica's service."""

    @property
    def version(self) -> str:
        """The version of the replica's software."""


class VersionEligibility:
    """Track the eligibility of each service's versions.

    An order starts a trial only if another version has run during the order: an order for the only
    running version moves no traffic and must not exclude all replicas. Versions that no order names
    take all requests, because operators may also change versions by replacing replicas themselves,
    which must not stop a service.
    """

    def __init__(self) -> None:
        self._orders: Mapping[str, TrackedOrder] = {}
        self._orders_with_alternatives: dict[str, OrderName] = {}
        self._rejected: dict[str, set[str]] = {}

    def rebuild(
        self, orders: Mapping[str, TrackedOrder], replicas: Iterable[VersionedReplica]
    ) -> None:
        """Apply changed orders or replicas."""
        self._reject_superseded(orders)
        self._orders = orders
        for replica in replicas:
            order = orders.get(replica.service)
            if order is not None and replica.version != order.order.version:
                self._orders_with_alternatives[replica.service] = order.order.name

    def eligibility(self, service: str, version: str) -> Eligibility:
        """Return which requests the replicas of a version may take."""
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
        """Exclude versions whose order was withdrawn or replaced before its completion."""
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
