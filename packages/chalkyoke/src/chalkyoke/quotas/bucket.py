"""
chalkyoke.quotas.bucket

A token bucket with an explicit clock. Source: the leaky bucket as a meter, ITU-T I.371.
"""

import msgspec


class Bucket(msgspec.Struct):
    """Cost that may be spent now, refilled at a rate up to a capacity; it may go into debt.

    :param at: when ``level`` was true, in seconds on the node's clock.
    """

    rate_per_s: float
    capacity: float
    level: float
    at: float

    def refill(self, now: float) -> None:
        """Add what has come since the last look."""
        earned = max(0.0, now - self.at) * self.rate_per_s
        self.level = min(self.capacity, self.level + earned)
        self.at = max(self.at, now)

    def reconfigure(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Take another rate and capacity."""
        self.refill(now)
        self.rate_per_s, self.capacity = rate_per_s, capacity
        self.level = min(self.level, capacity)

    def try_consume(self, need: float, now: float) -> bool:
        """Take cost for a request; one that is larger than the bucket takes a full one.

        :return: whether there was enough.
        """
        self.refill(now)
        if self.level < min(need, self.capacity):
            return False
        self.level -= need
        return True
