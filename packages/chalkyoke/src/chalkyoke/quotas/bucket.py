"""
chalkyoke.quotas.bucket

A token bucket with an explicit clock. Source: the leaky bucket as a meter, ITU-T I.371.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaLimits:
    """How strictly quotas are kept over all nodes.

    A window may see ``(rate * window + burst) * (1 + over) + slack``; what stands above the team's
    own burst is used to let late news pass without refusing what is allowed.
    """

    window_s: float = 8.0
    over: float = 0.1
    slack: float = 0.0

    def allowance(self, rate_per_s: float, burst: float) -> float:
        """Give the cost that a window may see beyond rate and burst.

        :rtype: float
        """
        return self.over * (rate_per_s * self.window_s + burst) + self.slack


@dataclass(slots=True)
class Bucket:
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

    def reshape(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Take another rate and capacity."""
        self.refill(now)
        self.rate_per_s, self.capacity = rate_per_s, capacity
        self.level = min(self.level, capacity)

    def take(self, need: float, ahead: float, now: float) -> float:
        """Take cost for a request, and some ahead where there is plenty.

        :return: what was taken; 0 where the request has to be refused.
        """
        self.refill(now)
        if self.level < min(need, self.capacity):
            return 0.0
        spare = max(0.0, self.level - need) / 4
        taken = need + min(ahead, spare)
        self.level -= taken
        return taken

    def wait_s(self, need: float) -> float:
        """Tell how long until a request could pass, in seconds.

        :rtype: float
        """
        missing = min(need, self.capacity) - self.level
        if missing <= 0:
            return 0.0
        return missing / self.rate_per_s if self.rate_per_s > 0 else 60.0
