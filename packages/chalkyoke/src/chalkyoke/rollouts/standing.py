"""
chalkyoke.rollouts.standing

Which replicas of a service take which requests, by the versions that operators have ordered.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Protocol

from chalkyoke.rollouts.resources import Order, OrderName, RolloutState


class Standing(StrEnum):
    """What a replica takes.

    ``USUAL``: whatever there is. ``TRIAL``: what is sent to try its version. ``NOTHING``: its
    version was rolled back, or is to be stopped.
    """

    USUAL = "usual"
    TRIAL = "trial"
    NOTHING = "nothing"


# What a route is called in a pool when a request of it is to try a new version.
TRIAL_MARK = "@trial"


def trial_route(route: str) -> str:
    """Name the part of a route that goes to a version under trial."""
    return route + TRIAL_MARK


class VersionedReplica(Protocol):
    """What decides on a replica."""

    @property
    def service(self) -> str:
        """The service that it belongs to."""

    @property
    def version(self) -> str:
        """The version of its software."""


class Versions:
    """Tell the standing of versions.

    An order is for a trial only where another version was seen beside it: one for the only version
    that runs moves nothing, and must not shut out all replicas. Versions that no order names run
    as usual, whatever they are: a release of replicas is the operators' own way to change versions,
    and a service is not to stop because of it.
    """

    def __init__(self) -> None:
        self._orders: Mapping[str, Order] = {}
        self._others: dict[str, OrderName] = {}
        self._undone: dict[str, set[str]] = {}

    def rebuild(self, orders: Mapping[str, Order], replicas: Iterable[VersionedReplica]) -> None:
        """Take other orders or other replicas."""
        self._note_superseded(orders)
        self._orders = orders
        for replica in replicas:
            order = orders.get(replica.service)
            if order is not None and replica.version != order.order.version:
                self._others[replica.service] = order.order.name

    def standing(self, service: str, version: str) -> Standing:
        """Tell what the replicas of a version take."""
        if version in self._undone.get(service, ()):
            return Standing.NOTHING
        order = self._orders.get(service)
        if order is None or self._others.get(service) != order.order.name:
            return Standing.USUAL
        ordered = version == order.order.version
        if order.state is RolloutState.COMPLETED:
            return Standing.USUAL if ordered else Standing.NOTHING
        if not ordered:
            return Standing.USUAL
        return Standing.NOTHING if order.ended else Standing.TRIAL

    def _note_superseded(self, orders: Mapping[str, Order]) -> None:
        """Shut out versions whose order was withdrawn or replaced before it was completed."""
        for service, before in self._orders.items():
            after = orders.get(service)
            if after is not None and after.order.name == before.order.name:
                continue
            if before.state is not RolloutState.COMPLETED and self._was_tried(service, before):
                self._undone.setdefault(service, set()).add(before.order.version)
        for service, after in orders.items():
            if after.order.version in self._undone.get(service, ()):
                self._undone[service].discard(after.order.version)

    def _was_tried(self, service: str, order: Order) -> bool:
        return self._others.get(service) == order.order.name
