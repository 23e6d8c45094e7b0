"""
chalkyoke.quotas.home

The home's side of quotas. A node is the home of a team while rendezvous hashing over the live
members says so; two nodes that both believe it each lease at the rate of the members that they
see, so the sum stays near the limit.
"""

from collections.abc import Callable
from dataclasses import dataclass

from chalkyoke.catalog.resources import Team
from chalkyoke.quotas.bucket import Bucket, QuotaLimits
from chalkyoke.quotas.messages import QuotaGrant, QuotaRequest

VALID_S = 0.5
USED_ALLOWANCE = 0.6
START_ALLOWANCE = 0.25
MIN_RETRY_S = 0.05


@dataclass(frozen=True, slots=True)
class Presence:
    """How much of the fleet a node sees.

    :param live: members that it believes alive, itself included.
    :param known: members that there may be, those included that are dead or out of sight.
    """

    live: int
    known: int

    @property
    def share(self) -> float:
        """The share of the fleet's limits that this side of a cut may use.

        :rtype: float
        """
        return min(1.0, self.live / max(1, self.known))


class QuotaHome:
    """Lease cost to the nodes that ask.

    :param limits: the strictness of quotas.
    :param first_start: whether the whole fleet starts for the first time; otherwise another home
        may have leased just now, and the burst is not given again.
    """

    def __init__(self, limits: QuotaLimits, *, first_start: bool) -> None:
        self.limits = limits
        self._first_start = first_start
        self._buckets: dict[str, tuple[Bucket, Team]] = {}

    def ask(self, team: Team, message: QuotaRequest, presence: Presence, now: float) -> QuotaGrant:
        """Answer a node that asks for cost of a limited team.

        :rtype: QuotaGrant
        """
        bucket = self._bucket(team, presence, now)
        amount = bucket.take(message.need, message.ahead, now)
        retry = 0.0 if amount else max(MIN_RETRY_S, bucket.wait_s(message.need))
        return QuotaGrant(team.name, message.number, amount, retry, VALID_S)

    def forget_others(self, mine: Callable[[str], bool]) -> None:
        """Drop the buckets of teams whose home is elsewhere.

        :param mine: tells whether this node is a team's home.
        """
        for name in list(self._buckets):
            if not mine(name):
                del self._buckets[name]
                self._first_start = False

    def _bucket(self, team: Team, presence: Presence, now: float) -> Bucket:
        allowance = self.limits.allowance(team.rate_per_s, team.burst)
        capacity = (team.burst + USED_ALLOWANCE * allowance) * presence.share
        rate = team.rate_per_s * presence.share
        held = self._buckets.get(team.name)
        if held is None:
            level = capacity if self._first_start else START_ALLOWANCE * allowance
            bucket = Bucket(rate, capacity, min(level, capacity), now)
        else:
            bucket, _ = held
            if (bucket.rate_per_s, bucket.capacity) != (rate, capacity):
                bucket.reshape(rate, capacity, now)
        self._buckets[team.name] = (bucket, team)
        return bucket
