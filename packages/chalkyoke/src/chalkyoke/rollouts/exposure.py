"""
chalkyoke.rollouts.exposure

Limits how many requests one node sends to a version that may be bad. Operators bound the sum over
all nodes. Each node applies the bound to the requests that it sends itself, so that the sum holds
without communication, whichever nodes are partitioned, killed, frozen or have two leaders.
"""

from collections.abc import Callable

import msgspec

# Fraction of the operators' share that is used to try the version. The rest is reserved for the
# end, when requests that would outlast the old replicas go to the new ones.
TRIAL_FRACTION = 0.5
# Fraction that is used once the version is found good: enough to detect within seconds that it
# turns bad.
PROVEN_FRACTION = 0.15
# Fraction that is used until the deadline. The rest covers what nodes can't know of each other:
# requests that were sent and did not arrive, and clock drift.
CLOSING_FRACTION = 0.95
# Fraction of the operators' slack that nodes share for their first requests, before their share of
# sent requests reaches one request. Twice the fraction still fits, in case all nodes restart.
START_SLACK_FRACTION = 0.3


class ExposureBounds(msgspec.Struct, frozen=True):
    """The number of requests that operators allow a version that turns out bad.

    :param share: share of the service's requests between an order and its deadline.
    :param slack: number of additional requests, over all nodes.
    """

    share: float
    slack: float


class Exposure:
    """Count the requests that this node has sent since an order.

    :param nodes: maximum number of nodes in the fleet.
    :param random: source of numbers in [0, 1). Each node rounds at another point, so that the sum
        over all nodes is right on average from the first request on.
    """

    def __init__(self, bounds: ExposureBounds, nodes: int, random: Callable[[], float]) -> None:
        self._bounds = bounds
        self._start = random() + START_SLACK_FRACTION * bounds.slack / max(1, nodes)
        self.sent = 0
        self.exposed = 0

    def allows(self, part: float) -> bool:
        """Return whether one more request may go to the new version.

        :param part: fraction of the operators' share that may be used now.
        """
        return self.exposed + 1 <= self._start + part * self._bounds.share * self.sent

    def count_sent(self) -> None:
        """Count a request sent to a replica of the service, of any version."""
        self.sent += 1

    def reserve(self) -> None:
        """Count a request that will go to the new version."""
        self.exposed += 1

    def cancel_reservation(self) -> None:
        """Undo the reservation for a request that was not sent to the new version."""
        self.exposed -= 1
