"""
chalkyoke.scheduling.headroom

Reserve a few slots against long requests of lower tiers. A long stream blocks its slot for seconds,
while requests of higher tiers are due within a fraction of a second. A long request of a lower tier
therefore starts only while more slots are free than the usual variation of the higher tiers' load.
Short requests of its tier take turns with it, see :class:`~chalkyoke.scheduling.queues.TierQueue`.
"""

import math
from collections.abc import Iterable

# Averaging window of slot usage, in seconds: long enough to ignore a spike, short enough to follow
# a burst.
USAGE_MEMORY_S = 3.0
# Number of reserved slots, in standard deviations of a Poisson distribution with twice the mean
# number of running requests of higher tiers. With a larger value, fewer requests of higher tiers
# wait for a slot, but long requests of lower tiers start later; with a smaller value, these start
# sooner and more requests of higher tiers wait.
SWING_DEVIATIONS = 0.6
# A request counts as long from this many seconds of output: as long as the longest goals.
LONG_OUTPUT_S = 0.6
# Averaging window of the grant rate, in seconds, and the lower bound of the rate in predictions of
# the wait, in grants per second.
RATE_MEMORY_S = 1.5
MIN_RATE_PER_S = 0.2


class Headroom:
    """Track how many slots each tier uses and the rate at which it gets grants.

    :param now: seconds on the scheduler's clock.
    """

    def __init__(self, now: float) -> None:
        self._mean: dict[int, float] = {}
        self._observed_at = now
        self._rates: dict[int, tuple[float, float]] = {}

    def observe_running(self, running: Iterable[int], now: float) -> None:
        """Update the mean slot usage of each tier; call at every tick.

        :param running: the rank of each running request.
        """
        counts: dict[int, int] = {}
        for rank in running:
            counts[rank] = counts.get(rank, 0) + 1
        gain = 1.0 - math.exp((self._observed_at - now) / USAGE_MEMORY_S)
        self._observed_at = now
        for rank in counts.keys() | self._mean.keys():
            mean = self._mean.get(rank, 0.0)
            self._mean[rank] = mean + gain * (counts.get(rank, 0) - mean)

    def reserved_slots(self, rank: int) -> int:
        """Return the number of slots that long requests of a tier must leave free.

        :rtype: int
        """
        higher = sum(mean for each, mean in self._mean.items() if each < rank)
        return math.ceil(SWING_DEVIATIONS * math.sqrt(2.0 * higher)) if higher > 0.05 else 0

    def record_grant(self, rank: int, now: float) -> None:
        """Add one grant to the rate of a tier."""
        self._rates[rank] = (self.grant_rate_per_s(rank, now) + 1.0 / RATE_MEMORY_S, now)

    def grant_rate_per_s(self, rank: int, now: float) -> float:
        """Return the recent rate of a tier, in grants per second.

        :rtype: float
        """
        rate, at = self._rates.get(rank, (0.0, now))
        return rate * math.exp((at - now) / RATE_MEMORY_S)

    def wait_s(self, rank: int, ahead: int, now: float) -> float:
        """Predict how long a request waits behind others of its tier.

        :param ahead: number of waiting requests ahead of it.
        :return: seconds.
        """
        return ahead / max(MIN_RATE_PER_S, self.grant_rate_per_s(rank, now))
