"""
chalkyoke.quotas.bucket

A token bucket with an explicit clock. Source: the leaky bucket as a meter, ITU-T I.371.
"""

import msgspec


class Bucket(msgspec.Struct):
    """A token bucket of cost, whose level may become negative.

    :param rate_per_s: cost added per second.
    :param capacity: highest level.
    :param level: cost available at the time ``at``.
    :param at: time of the last refill, in seconds on the node's clock.
    """

    rate_per_s: float
    capacity: float
    level: float
    at: float

    def refill(self, now: float) -> None:
        """Add the cost for the time since the last refill."""
        earned = max(0.0, now - self.at) * self.rate_per_s
        self.level = min(self.capacity, self.level + earned)
        self.at = max(self.at, now)

    def reconfigure(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Set another rate and capacity, and cap the level at the new capacity."""
        self.refill(now)
        self.rate_per_s, self.capacity = rate_per_s, capacity
        self.level = min(self.level, capacity)

    def try_consume(self, need: float, now: float) -> bool:
        """Consume the cost of a request. A cost above the capacity needs a full bucket.

        :return: whether the level was high enough.
        """
        self.refill(now)
        if self.level < min(need, self.capacity):
            return False
        self.level -= need
        return True
