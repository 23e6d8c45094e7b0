"""
chalkyoke.balancing.state

The statistics that one node keeps about a replica.
"""

import math

import msgspec

from chalkyoke.retry_after import cap_retry_after
from chalkyoke.scheduling.timefactors import TimeFactor

# Decay time of the load that other nodes have at a replica, in seconds: the load changes with each
# answer.
LOAD_MEMORY_S = 1.0
# Decay time of failures, in seconds.
FAILURE_MEMORY_S = 4.0
# Weight of one answer in the smoothed latency, as a share: an average over about five answers.
LATENCY_GAIN = 0.2
# Decay time of a latency without a further answer, in seconds. A replica that was slow once would
# otherwise get no more requests from a node whose other replicas have free slots.
UNUSED_LATENCY_MEMORY_S = 4.0
# Initial and maximum backoff of a replica after a failed connection, in seconds.
MIN_UNREACHABLE_S = 0.5
MAX_UNREACHABLE_S = 4.0


class ReplicaStats(msgspec.Struct):
    """This node's statistics of one replica.

    :ivar outstanding: requests that this node has in flight at the replica.
    :ivar other_load: requests of other nodes according to the last report; the value decays.
    :ivar failures: weighted recent failures; each decays within some seconds.
    :ivar latency_s: smoothed answer time; 0 before the first answer.
    :ivar answered_at: time of the last answer.
    :ivar due_latency_s: smoothed time until what the goal asks for: the first event of a stream,
        else the answer.
    :ivar connect_failures: consecutive failed connections.
    :ivar resting_until: end of the period in which the replica asked this node to send nothing.
    :ivar rest_asked_at: time of the last answer that asked for it.
    :ivar time_factor: how long work takes on the replica's machine at the moment.
    :ivar limited_until: time from which the replica's announced limit allows a request.
    """

    outstanding: int = 0
    other_load: float = 0.0
    other_load_at: float = 0.0
    failures: float = 0.0
    failures_at: float = 0.0
    latency_s: float = 0.0
    answered_at: float = 0.0
    due_latency_s: float = 0.0
    connect_failures: int = 0
    unreachable_until: float = 0.0
    resting_until: float = 0.0
    rest_asked_at: float = -math.inf
    limited_until: float = 0.0
    time_factor: TimeFactor = msgspec.field(default_factory=TimeFactor)

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Record the load that the replica reported, without this node's own requests."""
        self.other_load = max(0.0, running + waiting - self.outstanding)
        self.other_load_at = now

    def load(self, now: float) -> float:
        """Estimate the number of requests at the replica.

        :rtype: float
        """
        return self.outstanding + self.other_load * math.exp(
            (self.other_load_at - now) / LOAD_MEMORY_S
        )

    def recent_failures(self, now: float) -> float:
        """Return the weighted number of failures, decayed to ``now``.

        :rtype: float
        """
        return self.failures * math.exp((self.failures_at - now) / FAILURE_MEMORY_S)

    def record_failure(self, weight: float, now: float) -> None:
        """Add a failure with a weight."""
        self.failures = self.recent_failures(now) + weight
        self.failures_at = now

    def recent_latency_s(self, now: float) -> float:
        """Return the smoothed answer time, decayed since the last answer, in seconds."""
        return self.latency_s * math.exp((self.answered_at - now) / UNUSED_LATENCY_MEMORY_S)

    def record_answer(self, seconds: float, now: float, first_s: float | None = None) -> None:
        """Update the latency from an answer and reset the connection backoff.

        :param seconds: time until the end of the answer.
        :param now: the node's clock, in seconds.
        :param first_s: time until its first event, in seconds; None where the whole answer is due.
        """
        self.connect_failures = 0
        self.unreachable_until = 0.0
        self.answered_at = now
        gain = LATENCY_GAIN if self.latency_s else 1.0
        self.latency_s += gain * (seconds - self.latency_s)
        due_s = seconds if first_s is None else first_s
        self.due_latency_s += gain * (due_s - self.due_latency_s)

    def record_unreachable(self, now: float) -> None:
        """Record a failed connection and double the backoff."""
        pause = min(MAX_UNREACHABLE_S, MIN_UNREACHABLE_S * 2**self.connect_failures)
        self.connect_failures += 1
        self.unreachable_until = now + pause

    def record_rest(self, seconds: float, now: float) -> float:
        """Record that the replica asks this node to send nothing for some seconds.

        :return: remaining time of the rest in seconds, within the general bound.
        """
        self.rest_asked_at = now
        self.resting_until = max(self.resting_until, now + cap_retry_after(seconds))
        return self.rest_left_s(now)

    def rest_left_s(self, now: float) -> float:
        """Return the remaining time, in seconds, in which this node must send nothing."""
        return max(0.0, self.resting_until - now)
