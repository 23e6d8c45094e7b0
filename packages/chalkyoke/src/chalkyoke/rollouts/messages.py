"""
chalkyoke.rollouts.messages

What nodes tell each other of an order: each what its requests met, the leader of the order how far
it has come.
"""

from typing import NamedTuple

import msgspec

from chalkyoke.rollouts.resources import OrderName


class SlownessCount(NamedTuple):
    """How many answers took how long.

    :param slowness: by :func:`chalkyoke.rollouts.evidence.slowness_class`.
    """

    slowness: int
    answers: int


class EndCounts(msgspec.Struct, frozen=True, array_like=True):
    """How requests of a route ended at one replica, or at all of the old version.

    :param replica: a replica of the new version; empty for all of the old one together.
    :param ends: requests that ended with an answer or a failure.
    :param failures: of these, those that failed.
    """

    route: str
    replica: str
    ends: int
    failures: int
    slowness: tuple[SlownessCount, ...]


class RolloutReport(msgspec.Struct, frozen=True, array_like=True, tag="rollout_report"):
    """A node tells the leader of an order what its requests have met since the order.

    Counts are totals, so that a report may be lost, or come twice, or go to a new leader.

    :param order: revision of the order, as its name has it.
    :param old_running: requests that this node has at replicas of the old version now, and one more
        while it may send others there.
    :param least_s: how long ago the order was given at least, in seconds, as this node knows.
    :param undone: whether a leader has told this node to leave the version. It then holds for all:
        two leaders of a fleet that was cut in two must not go on in two ways.
    :param epoch: of the order's name.
    :param digest: of the order's name.
    """

    service: str
    order: int
    counts: tuple[EndCounts, ...]
    old_running: int
    min_elapsed_s: float
    undone: bool = False
    epoch: int = 0
    digest: int = 0

    @property
    def name(self) -> OrderName:
        """The name of the order."""
        return OrderName(self.order, self.epoch, self.digest)


class RolloutUpdate(msgspec.Struct, frozen=True, array_like=True, tag="rollout_told"):
    """The leader of an order tells how far it has come.

    :param order: revision of the order, as its name has it.
    :param phase: a :class:`chalkyoke.rollouts.lead.Phase`.
    :param least_s: how long ago the order was given at least, in seconds.
    :param relay: whether the receiver tells the other nodes of its failure domain.
    :param epoch: of the order's name.
    :param digest: of the order's name.
    """

    service: str
    order: int
    phase: str
    min_elapsed_s: float
    relay: bool = False
    epoch: int = 0
    digest: int = 0

    @property
    def name(self) -> OrderName:
        """The name of the order."""
        return OrderName(self.order, self.epoch, self.digest)


RolloutMessage = RolloutReport | RolloutUpdate
ROLLOUT_MESSAGES = (RolloutReport, RolloutUpdate)
