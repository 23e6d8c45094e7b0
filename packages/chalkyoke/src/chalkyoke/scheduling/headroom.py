"""
chalkyoke.scheduling.headroom

Keep a few slots free of long work of lower tiers. A slot that a long stream holds is lost to higher
tiers for seconds, while they are due within a fraction of one; so long work of a lower tier starts
only where more slots are free than the higher tiers usually swing by.
"""

import math
from collections.abc import Iterable

# How far back the use of slots is remembered, in seconds: a burst is followed, a spike is not.
USAGE_MEMORY_S = 3.0
# Slots kept free, in standard deviations of the number of running requests were it Poisson with
# twice the mean; a trade-off between tiers.
SWING_DEVIATIONS = 0.6
# Work counts as long from so many seconds of output on: as long as the longest aims.
LONG_OUTPUT_S = 0.6
RATE_MEMORY_S = 1.5
MIN_RATE_PER_S = 0.2


class Headroom:
    """Follow how many slots the tiers use, and how fast they get them.

    :param now: seconds on the scheduler's clock.
    """

    def __init__(self, now: float) -> None:
        self._mean: dict[int, float] = {}
        self._at = now
        self._rates: dict[int, tuple[float, float]] = {}

    def observe_running(self, running: Iterable[int], now: float) -> None:
        """Note the ranks of what runs; call often.

        :param running: one rank for each running request.
        """
        counts: dict[int, int] = {}
        for rank in running:
            counts[rank] = counts.get(rank, 0) + 1
        gain = 1.0 - math.exp((self._at - now) / USAGE_MEMORY_S)
        self._at = now
        for rank in counts.keys() | self._mean.keys():
            mean = self._mean.get(rank, 0.0)
            self._mean[rank] = mean + gain * (counts.get(rank, 0) - mean)

    def reserved_slots(self, rank: int) -> int:
        """Tell how many slots long work of a tier leaves free for higher ones.

        :rtype: int
        """
        higher = sum(mean for each, mean in self._mean.items() if each < rank)
        return math.ceil(SWING_DEVIATIONS * math.sqrt(2.0 * higher)) if higher > 0.05 else 0

    def record_grant(self, rank: int, now: float) -> None:
        """Note that a request of a tier was granted."""
        self._rates[rank] = (self.grant_rate_per_s(rank, now) + 1.0 / RATE_MEMORY_S, now)

    def grant_rate_per_s(self, rank: int, now: float) -> float:
        """Tell how many requests of a tier are granted each second, lately.

        :rtype: float
        """
        rate, at = self._rates.get(rank, (0.0, now))
        return rate * math.exp((at - now) / RATE_MEMORY_S)

    def wait_s(self, rank: int, ahead: int, now: float) -> float:
        """Predict how long a request waits behind others of its tier.

        :param ahead: how many of them wait.
        :return: seconds.
        """
        return ahead / max(MIN_RATE_PER_S, self.grant_rate_per_s(rank, now))
