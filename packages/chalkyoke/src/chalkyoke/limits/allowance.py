"""
chalkyoke.limits.allowance

The requests that one replica may get from all nodes, spent by one process for all of them.
"""

from chalkyoke.quotas.bucket import Bucket

# What a replica gets that takes less, in requests a second: an answer is the only word that a limit
# has risen or is over, so that one request in five seconds goes to hear it.
LEAST_PER_S = 0.2
# What may be saved up for a burst, in requests and in seconds of the limit: some ticks of a pool's
# scheduler, and a request that comes a little later. The rest of what operators allow beyond a
# limit is kept for what no count sees at once: another keeper, requests on their way.
BURST_REQUESTS = 2.0
BURST_S = 0.1
# What may lack of a whole request, in requests: levels are sums of fractions.
EPSILON = 1e-9


class Allowance:
    """Count for one start of a replica. It begins empty: what it got before nobody has counted.

    :param limit_per_s: requests a second that the replica takes from all nodes.
    :param share: the part of them that this process gives out.
    """

    def __init__(self, limit_per_s: float, share: float, now: float) -> None:
        self.limit_per_s = limit_per_s
        self.share = share
        self._bucket = Bucket(self._rate(), self._capacity(), 0.0, now)

    def reconfigure(self, limit_per_s: float, share: float, now: float) -> bool:
        """Take another limit or another part of it.

        :return: whether it is another one.
        """
        if (limit_per_s, share) == (self.limit_per_s, self.share):
            return False
        self.limit_per_s, self.share = limit_per_s, share
        self._bucket.reconfigure(self._rate(), self._capacity(), now)
        return True

    @property
    def rate_per_s(self) -> float:
        """What is given out here, in requests a second."""
        return self._bucket.rate_per_s

    def opens_in_s(self, now: float) -> float:
        """Tell how long it takes until one more request may go, in seconds."""
        self._bucket.refill(now)
        missing = 1.0 - self._bucket.level
        return max(0.0, missing / self._bucket.rate_per_s) if missing > EPSILON else 0.0

    def is_open(self, now: float) -> bool:
        """Tell whether one more request may go now."""
        return self.opens_in_s(now) <= 0

    def set_level(self, requests: float) -> None:
        """Begin with a part of a request in hand."""
        self._bucket.level = min(self._bucket.capacity, requests)

    def consume(self, now: float) -> None:
        """Count a request, one that can't wait included: what follows waits for it."""
        self._bucket.refill(now)
        self._bucket.level -= 1.0

    def reserve(self, most_wait_s: float, now: float) -> float | None:
        """Count a request that goes as soon as it may.

        :param most_wait_s: how long it would wait.
        :return: how long it waits, in seconds; nothing where that is too long.
        """
        wait_s = self.opens_in_s(now)
        if wait_s > most_wait_s:
            return None
        self.consume(now)
        return wait_s

    def give_back(self) -> None:
        """Take a request back that never left its node."""
        self._bucket.level = min(self._bucket.capacity, self._bucket.level + 1.0)

    def _rate(self) -> float:
        return max(LEAST_PER_S, self.limit_per_s) * self.share

    def _capacity(self) -> float:
        return BURST_REQUESTS + BURST_S * self._rate()
