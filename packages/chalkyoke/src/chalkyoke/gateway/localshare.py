"""
chalkyoke.gateway.localshare

Bound this node's own starts at a plain service whose scheduler does not answer, so that the total
over all nodes stays close to the slots of the replicas. Pure logic.
"""

import math
from collections.abc import Callable

import msgspec

# Share of the slots that all nodes together use without a scheduler. They do not know each other's
# requests, so some arrive together and wait at the replicas.
USED_SLOTS_SHARE = 0.8
# Usual duration of a request until this node has measured one, in seconds.
USUAL_REQUEST_S = 0.05
# Time without a request after which the next start is at a random time again, in seconds. Nodes use
# their shares only while no scheduler answers, and would all have gathered a start by then.
PAUSE_S = 2.0


class _Starts(msgspec.Struct):
    """A token bucket of one service's starts."""

    tokens: float
    at: float


class LocalShare:
    """Bound the starts of this node at plain services.

    :param random: source of numbers in [0, 1). The first start of each node after a loss is at a
        random part of its interval, since all nodes notice the loss of a scheduler together.
    :param nodes: returns the number of nodes that may exist in the fleet.
    """

    def __init__(self, random: Callable[[], float], nodes: Callable[[], int]) -> None:
        self._random = random
        self._nodes = nodes
        self._starts: dict[str, _Starts] = {}

    def may_start(
        self, service: str, slots: int, outstanding: int, usual_s: float, now: float
    ) -> bool:
        """Return whether this node may send one more request to a service now.

        With less than one slot for each node, a node sends one request at a time, and rarely enough
        that its mean use is its share.

        :param slots: slots of all replicas of the service.
        :param outstanding: requests that this node has in flight at them.
        :param usual_s: usual duration of a request, in seconds; 0 where unknown.
        """
        share = USED_SLOTS_SHARE * slots / max(1, self._nodes())
        if outstanding >= math.ceil(share):
            return False
        starts = self._starts.get(service)
        if starts is None or now - starts.at > PAUSE_S:
            starts = self._starts[service] = _Starts(self._random(), now)
        rate_per_s = share / (usual_s or USUAL_REQUEST_S)
        gained = (now - starts.at) * rate_per_s
        starts.tokens = min(max(1.0, share), starts.tokens + gained)
        starts.at = now
        return starts.tokens >= 1.0

    def record_start(self, service: str) -> None:
        """Record that a request starts."""
        self._starts[service].tokens -= 1.0
