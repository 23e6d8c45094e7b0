"""
chalkyoke.rollouts.messages

Messages about an order: nodes report the outcomes of their requests, and the leader of the order
announces its phase.
"""

from typing import NamedTuple

import msgspec

from chalkyoke.decoding.bounds import Finite, Integer
from chalkyoke.rollouts.resources import OrderName


class SlownessCount(NamedTuple):
    """The number of answers of one slowness class.

    :param slowness: the class, by :func:`chalkyoke.rollouts.evidence.slowness_class`.
    """

    slowness: Integer
    answers: Integer


class EndCounts(msgspec.Struct, frozen=True, array_like=True):
    """Counts of the outcomes of a route's requests, at one replica or at the old version.

    :param replica: a replica of the new version; empty for the sum over the old version.
    :param ends: number of requests that ended with an answer or a failure.
    :param failures: number of failures among them.
    """

    route: str
    replica: str
    ends: Integer
    failures: Integer
    slowness: tuple[SlownessCount, ...]


class RolloutReport(msgspec.Struct, frozen=True, array_like=True, tag="rollout_report"):
    """A node's report to the leader of an order on its requests since the order.

    Counts are totals, so a report may be lost, be delivered twice, or go to a new leader.

    :param order: revision in the order's name.
    :param old_running: number of requests that this node has at replicas of the old version now,
        plus one while it may send others there.
    :param least_s: minimum time since the order was given, in seconds, as known to this node.
    :param undone: whether a leader has announced to this node that the version is rolled back. The
        roll-back then holds for all nodes, so that two leaders of a partitioned fleet don't end the
        order in different ways.
    :param epoch: epoch in the order's name.
    :param digest: digest in the order's name.
    """

    service: str
    order: Integer
    counts: tuple[EndCounts, ...]
    old_running: Integer
    least_s: Finite
    undone: bool = False
    epoch: Integer = 0
    digest: int = 0

    @property
    def name(self) -> OrderName:
        """The name of the order."""
        return OrderName(self.order, self.epoch, self.digest)


class RolloutUpdate(msgspec.Struct, frozen=True, array_like=True, tag="rollout_told"):
    """An announcement of an order's phase by its leader.

    :param order: revision in the order's name.
    :param phase: a :class:`chalkyoke.rollouts.lead.Phase`.
    :param least_s: minimum time since the order was given, in seconds.
    :param relay: whether the receiver forwards the message to other nodes of its failure domain.
    :param epoch: epoch in the order's name.
    :param digest: digest in the order's name.
    """

    service: str
    order: Integer
    phase: str
    least_s: Finite
    relay: bool = False
    epoch: Integer = 0
    digest: int = 0

    @property
    def name(self) -> OrderName:
        """The name of the order."""
        return OrderName(self.order, self.epoch, self.digest)


RolloutMessage = RolloutReport | RolloutUpdate
ROLLOUT_MESSAGES = (RolloutReport, RolloutUpdate)
