"""
chalkyoke.rollouts.resources

What operators order and what the system answers them, as both lie in the store.
"""

from enum import StrEnum

import msgspec
import xxhash

# Digests of orders fit into the whole numbers of messages.
DIGEST_BITS = 53


class RolloutState(StrEnum):
    """How an order stands."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class OrderName(msgspec.Struct, frozen=True):
    """Names an order between nodes.

    A restored store gives revisions out again, and an order that it has lost is written again with
    another one. Within an epoch the revision tells orders apart; between two, what they say.

    :param revision: the store's revision by which a node first knew the order.
    :param epoch: the store's epoch of that revision; 0 is not known.
    :param digest: of what the order says.
    """

    revision: int
    epoch: int = 0
    digest: int = 0

    def matches(self, other: "OrderName") -> bool:
        """Tell whether two nodes mean the same order."""
        if self.epoch and other.epoch and self.epoch != other.epoch:
            return self.digest == other.digest
        return self.revision == other.revision


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order to move a service's traffic to replicas of a version.

    :param version: compared with what replicas say of themselves.
    :param written_version: the version as the operator wrote it, for the answer.
    :param over_s: the time within which the order is to be done, in seconds.
    :param revision: the store's revision of the order; a later order has a higher one in an epoch.
    :param named: the order's name, where it is known from the store.
    """

    service: str
    version: str
    written_version: int | float | str
    over_s: float
    revision: int
    named: OrderName | None = None

    @property
    def name(self) -> OrderName:
        """Names the order, also where it was written again."""
        return self.named or OrderName(self.revision)

    def with_name(self, epoch: int) -> "RolloutOrder":
        """Give the order with a name of its own.

        :param epoch: the store's epoch of its revision.
        """
        said = f"{self.service}\n{self.version}\n{self.over_s!r}".encode()
        digest = xxhash.xxh64_intdigest(said) >> (64 - DIGEST_BITS)
        return msgspec.structs.replace(self, named=OrderName(self.revision, epoch, digest))


class RolloutStatus(msgspec.Struct, frozen=True):
    """What the system has answered.

    :param revision: the store's revision of the answer.
    """

    service: str
    version: str
    state: RolloutState
    revision: int


class TrackedOrder(msgspec.Struct, frozen=True):
    """An order and the answer that belongs to it.

    :param since: when it may have been given at the earliest, on this node's clock, in seconds.
    :param status: nothing until this order has been answered.
    """

    order: RolloutOrder
    since: float
    status: RolloutStatus | None = None

    @property
    def state(self) -> RolloutState:
        """How the order stands; an order without an answer runs."""
        return self.status.state if self.status else RolloutState.RUNNING

    @property
    def ended(self) -> bool:
        """Whether the order is done or rolled back."""
        return self.state is not RolloutState.RUNNING


def matching_status(order: RolloutOrder, status: RolloutStatus | None) -> RolloutStatus | None:
    """Tell whether an answer belongs to an order: an older one is to an earlier order.

    :return: the answer, or nothing.
    """
    if status is None or status.revision < order.revision or status.version != order.version:
        return None
    return status
