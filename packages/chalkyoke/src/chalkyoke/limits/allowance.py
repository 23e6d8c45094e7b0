"""
chalkyoke.limits.allowance

The request budget of one limited replica, kept by one process for all nodes.
"""

from chalkyoke.quotas.bucket import Bucket

# Lowest rate to a limited replica, in requests per second. Only an answer shows that a limit has
# risen or is removed, so one request in five seconds is sent even under a lower limit.
MIN_RATE_PER_S = 0.2
# Capacity for a burst, in requests and additionally in seconds of the limit: some ticks of a pool's
# scheduler, and a request that arrives a little later. The rest of the tolerance that operators
# allow beyond a limit is left for requests that are not counted at once: those permitted by another
# keeper, and those in flight.
BURST_REQUESTS = 2.0
BURST_S = 0.1
# Tolerance for a missing part of a request, in requests, since levels are sums of fractions.
EPSILON = 1e-9


class Allowance:
    """A token bucket for one start of a replica.

    The bucket is empty at first, since requests sent before were not counted.

    :param limit_per_s: requests per second that the replica takes from all nodes.
    :param share: the fraction of the limit that this process allocates.
    """

    def __init__(self, limit_per_s: float, share: float, now: float) -> None:
        self.limit_per_s = limit_per_s
        self.share = share
        self._bucket = Bucket(self._rate(), self._capacity(), 0.0, now)

    def reconfigure(self, limit_per_s: float, share: float, now: float) -> bool:
        """Set the limit and the share.

        :return: whether one of them has changed.
        """
        if (limit_per_s, share) == (self.limit_per_s, self.share):
            return False
        self.limit_per_s, self.share = limit_per_s, share
        self._bucket.reconfigure(self._rate(), self._capacity(), now)
        return True

    @property
    def rate_per_s(self) -> float:
        """The rate that this process allocates, in requests per second."""
        return self._bucket.rate_per_s

    def opens_in_s(self, now: float) -> float:
        """Return the time until one more request may be sent, in seconds; 0 if it may be now."""
        self._bucket.refill(now)
        missing = 1.0 - self._bucket.level
        return max(0.0, missing / self._bucket.rate_per_s) if missing > EPSILON else 0.0

    def is_open(self, now: float) -> bool:
        """Return whether one more request may be sent now."""
        return self.opens_in_s(now) <= 0

    def set_level(self, requests: float) -> None:
        """Set the level of the bucket, in requests; at most the capacity."""
        self._bucket.level = min(self._bucket.capacity, requests)

    def consume(self, now: float) -> None:
        """Count a request even if the level is too low; later requests wait for longer then."""
        self._bucket.refill(now)
        self._bucket.level -= 1.0

    def reserve(self, most_wait_s: float, now: float) -> float | None:
        """Reserve the earliest time for a request.

        :param most_wait_s: longest time that the request would wait, in seconds.
        :return: the waiting time in seconds; None if it is too long, and nothing is reserved.
        """
        wait_s = self.opens_in_s(now)
        if wait_s > most_wait_s:
            return None
        self.consume(now)
        return wait_s

    def refund(self) -> None:
        """Refund the permit of a request that was never sent."""
        self._bucket.level = min(self._bucket.capacity, self._bucket.level + 1.0)

    def _rate(self) -> float:
        return max(MIN_RATE_PER_S, self.limit_per_s) * self.share

    def _capacity(self) -> float:
        return BURST_REQUESTS + BURST_S * self._rate()
