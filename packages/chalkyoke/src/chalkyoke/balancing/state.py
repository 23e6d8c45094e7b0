"""
chalkyoke.balancing.state

What one node sees of a replica.
"""

import math

import msgspec

from chalkyoke.rests import bounded

# How fast what others are said to have at a replica is forgotten, in seconds: it changes with each
# answer.
LOAD_MEMORY_S = 1.0
# How fast failures are forgiven, in seconds.
FAILURE_MEMORY_S = 4.0
# The weight of one answer in the smoothed latency: five answers.
LATENCY_GAIN = 0.2
# How long a replica that could not be connected to is put last, in seconds: at first, and at most.
MIN_UNREACHABLE_S = 0.5
MAX_UNREACHABLE_S = 4.0


class ReplicaStats(msgspec.Struct):
    """One replica, as seen from here.

    :ivar outstanding: requests that this node has at it now.
    :ivar others: requests of other nodes, as it told last; it ages.
    :ivar failures: recent failures; each fades within some seconds.
    :ivar latency_s: smoothed time of an answer; 0 until one was seen.
    :ivar resting_until: it wants nothing of this node before that.
    :ivar limited_until: the limit that it names allows no request of this node before that.
    """

    outstanding: int = 0
    other_load: float = 0.0
    other_load_at: float = 0.0
    failures: float = 0.0
    failures_at: float = 0.0
    latency_s: float = 0.0
    connect_failures: int = 0
    unreachable_until: float = 0.0
    resting_until: float = 0.0
    limited_until: float = 0.0

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Take what the replica told of its load."""
        self.other_load = max(0.0, running + waiting - self.outstanding)
        self.other_load_at = now

    def load(self, now: float) -> float:
        """Estimate the requests at the replica.

        :rtype: float
        """
        return self.outstanding + self.other_load * math.exp(
            (self.other_load_at - now) / LOAD_MEMORY_S
        )

    def recent_failures(self, now: float) -> float:
        """Count recent failures, faded by their age.

        :rtype: float
        """
        return self.failures * math.exp((self.failures_at - now) / FAILURE_MEMORY_S)

    def record_failure(self, weight: float, now: float) -> None:
        """Count a failure."""
        self.failures = self.recent_failures(now) + weight
        self.failures_at = now

    def record_answer(self, seconds: float) -> None:
        """Learn from an answer."""
        self.connect_failures = 0
        self.unreachable_until = 0.0
        gain = LATENCY_GAIN if self.latency_s else 1.0
        self.latency_s += gain * (seconds - self.latency_s)

    def record_unreachable(self, now: float) -> None:
        """Learn that no connection could be opened."""
        pause = min(MAX_UNREACHABLE_S, MIN_UNREACHABLE_S * 2**self.connect_failures)
        self.connect_failures += 1
        self.unreachable_until = now + pause

    def record_rest(self, seconds: float, now: float) -> float:
        """Learn that the replica wants nothing of this node for some time.

        :return: for how long it gets nothing, in seconds.
        """
        self.resting_until = max(self.resting_until, now + bounded(seconds))
        return self.rest_left_s(now)

    def rest_left_s(self, now: float) -> float:
        """Tell for how much longer the replica wants nothing of this node, in seconds."""
        return max(0.0, self.resting_until - now)
