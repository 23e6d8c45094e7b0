"""
chalkyoke.rollouts.resources

Roll-out orders of operators and the system's statuses for them, as kept in the store.
"""

from enum import StrEnum

import msgspec
import xxhash

# Length of an order's digest, in bits, so that it fits into the integers of messages.
DIGEST_BITS = 53


class RolloutState(StrEnum):
    """The state of an order; an order starts as running and ends once."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class OrderName(msgspec.Struct, frozen=True):
    """Identifies an order between nodes.

    A restored store assigns revisions again, and an order that it has lost is written again with
    another revision. Within an epoch orders differ by revision; between epochs, by content.

    :param revision: the store's revision by which a node first knew the order.
    :param epoch: the store's epoch of that revision; 0 if unknown.
    :param digest: hash of the order's content.
    """

    revision: int
    epoch: int = 0
    digest: int = 0

    def matches(self, other: "OrderName") -> bool:
        """Return whether two names identify the same order."""
        if self.epoch and other.epoch and self.epoch != other.epoch:
            return self.digest == other.digest
        return self.revision == other.revision


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order to move a service's traffic to replicas of a version.

    :param version: the ordered version, compared with the version that replicas announce.
    :param written_version: the version as the operator wrote it, repeated in the status.
    :param over_s: the time within which the order must be completed, in seconds.
    :param revision: the store's revision of the order; it grows with later orders of an epoch.
    :param named: the order's name, if the store's epoch is known.
    """

    service: str
    version: str
    written_version: int | float | str
    over_s: float
    revision: int
    named: OrderName | None = None

    @property
    def name(self) -> OrderName:
        """The identity of the order, which is kept if the order is written again."""
        return self.named or OrderName(self.revision)

    def with_name(self, epoch: int) -> "RolloutOrder":
        """Return a copy of the order with a name from its revision, epoch and content.

        :param epoch: the store's epoch of the order's revision.
        """
        content = f"{self.service}\n{self.version}\n{self.over_s!r}".encode()
        digest = xxhash.xxh64_intdigest(content) >> (64 - DIGEST_BITS)
        return msgspec.structs.replace(self, named=OrderName(self.revision, epoch, digest))


class RolloutStatus(msgspec.Struct, frozen=True):
    """The system's status for an order.

    :param revision: the store's revision of the status.
    """

    service: str
    version: str
    state: RolloutState
    revision: int


class TrackedOrder(msgspec.Struct, frozen=True):
    """An order and its status.

    :param since: the earliest time at which the order may have been given, in seconds on this
        node's clock.
    :param status: None until this order has a status.
    """

    order: RolloutOrder
    since: float
    status: RolloutStatus | None = None

    @property
    def state(self) -> RolloutState:
        """The state of the order; running if it has no status yet."""
        return self.status.state if self.status else RolloutState.RUNNING

    @property
    def ended(self) -> bool:
        """Whether the order is done or rolled back."""
        return self.state is not RolloutState.RUNNING


def matching_status(order: RolloutOrder, status: RolloutStatus | None) -> RolloutStatus | None:
    """Return the status if it belongs to the order, or None if it belongs to an earlier order.

    :return: the status, or None.
    """
    if status is None or status.revision < order.revision or status.version != order.version:
        return None
    return status
