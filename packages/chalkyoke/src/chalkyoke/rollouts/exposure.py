"""
chalkyoke.rollouts.exposure

How much one node may send to a version that may be bad. Operators bound the sum over all nodes;
each node keeps to the bound's share of what it sends itself, so that the sum holds whatever is cut
off, killed, frozen or led twice, without a word between nodes.
"""

from collections.abc import Callable

import msgspec

# The part of the operators' share that is used to try the version. The rest is kept for the end,
# when requests that would outlast the old replicas go to the new ones.
TRIAL_FRACTION = 0.5
# The part that is used once the version has proved good: enough to see it turn bad within seconds.
PROVEN_FRACTION = 0.15
# The part that is used until the deadline. What is left covers what nodes can't know of each
# other: requests that were sent and did not arrive, and clocks that run apart.
CLOSING_FRACTION = 0.95
# The part of the operators' slack that nodes share for their first requests, before a share of what
# they sent comes to one. Twice of it still fits where all nodes start anew.
START_SLACK_FRACTION = 0.3


class ExposureBounds(msgspec.Struct, frozen=True):
    """What operators allow a version that turns out bad.

    :param share: part of the service's requests between an order and its deadline.
    :param slack: requests on top of that, over all nodes.
    """

    share: float
    slack: float


class Exposure:
    """Count what this node has sent since an order.

    :param nodes: how many nodes there may be in the fleet.
    :param random: source of numbers in [0, 1). Each node rounds at another point, so that the sum
        over all is right on average from the first request on.
    """

    def __init__(self, bounds: ExposureBounds, nodes: int, random: Callable[[], float]) -> None:
        self._bounds = bounds
        self._start = random() + START_SLACK_FRACTION * bounds.slack / max(1, nodes)
        self.sent = 0
        self.exposed = 0

    def allows(self, part: float) -> bool:
        """Tell whether one more request may go to the new version.

        :param part: of the operators' share.
        """
        return self.exposed + 1 <= self._start + part * self._bounds.share * self.sent

    def count_sent(self) -> None:
        """Count a request that went to a replica of the service, whatever its version."""
        self.sent += 1

    def reserve(self) -> None:
        """Count a request that is to go to the new version."""
        self.exposed += 1

    def cancel_reservation(self) -> None:
        """Take a request back that went elsewhere, or nowhere."""
        self.exposed -= 1
