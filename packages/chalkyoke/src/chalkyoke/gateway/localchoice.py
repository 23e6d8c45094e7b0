"""
chalkyoke.gateway.localchoice

The choice of a replica by this node alone: for plain services always, for engines within bounds
while no scheduler answers. What replicas get that name a limit is counted over all nodes.
"""

import asyncio
from collections.abc import Callable

from chalkyoke.balancing.local import LocalBalancer
from chalkyoke.catalog.resources import Replica
from chalkyoke.gateway.granted import (
    DEFAULT_RETRY_S,
    Denied,
    Granted,
    GrantRequest,
    PermitPort,
    ReplicaPort,
    Source,
)
from chalkyoke.limits.client import Permit

# How often this node looks for a free replica, in seconds.
POLL_INTERVAL_S = 0.01
# The part of the time until it is due for which a request waits for a place within a limit: the
# rest is for the answer. Of that, each rank that is more urgent leaves a part, for so many ranks.
LIMIT_WAIT_SHARE = 0.5
LIMIT_WAIT_SHARE_PER_RANK = 0.7
MAX_RANKS = 3
# Over how long the callers are spread that come back when a limit allows a request, in seconds.
REOPENING_SPREAD_S = 0.5


class LocalChoice:
    """Choose by what this node sees.

    :param random: source of numbers in [0, 1), to spread the callers that come back.
    :param now: the node's clock, in seconds.
    :param pooled: whether pool schedulers are asked first.
    """

    def __init__(
        self,
        replicas: ReplicaPort,
        balancer: LocalBalancer,
        permits: PermitPort,
        random: Callable[[], float],
        now: Callable[[], float],
        *,
        pooled: bool,
    ) -> None:
        self._replicas = replicas
        self._balancer = balancer
        self._permits = permits
        self._random = random
        self._now = now
        self._pooled = pooled

    async def choose(self, wanted: GrantRequest, wait_s: float) -> Granted | Denied | None:
        """Choose a replica by what this node sees; nothing where none is free for so long."""
        admission, service = wanted.admission, wanted.admission.service
        until = self._now() + wait_s
        bound = self._max_outstanding if service.is_engine else None
        while True:
            replicas = self._replicas.of_service(service.name, for_trial=wanted.for_trial)
            denied = self._find_denial(wanted, replicas)
            if denied is not None:
                return denied
            chosen = self._balancer.choose(
                replicas,
                self._now(),
                avoid=wanted.avoid,
                repeatable=admission.route.repeatable and wanted.attempt < admission.route.attempts,
                max_outstanding=bound,
            )
            if chosen is not None:
                permit = await self.request_permit(chosen, 0.0)
                if permit is not None:
                    return _local_grant(chosen, wanted, permit)
                continue
            found = await self._wait_for_limit(wanted, replicas, until)
            if found is not None:
                return found
            if self._now() >= admission.patience_until:
                return Denied("no free slot", DEFAULT_RETRY_S)
            if self._now() >= until:
                return None
            await asyncio.sleep(POLL_INTERVAL_S)

    def _find_denial(self, wanted: GrantRequest, replicas: list[Replica]) -> Denied | None:
        """Tell why no replica will take a request in time, where that is so."""
        now = self._now()
        if not replicas:
            return Denied("no replica", DEFAULT_RETRY_S)
        rest_s = self._balancer.rest_left_s(replicas, now)
        if rest_s > 0 and now + rest_s > wanted.admission.due_at:
            return Denied("replicas rest", rest_s)
        if self._balancer.are_all_unreachable(replicas, now, tried=wanted.avoid):
            return Denied("replicas out of reach", DEFAULT_RETRY_S)
        return None

    async def request_permit(self, replica: Replica, most_wait_s: float) -> Permit | None:
        """Get a permit to send to a replica; remember when to ask again where there is none.

        :param most_wait_s: how long the request would wait.
        """
        permit = await self._permits.request_permit(replica.service, replica.id, most_wait_s)
        if isinstance(permit, Permit):
            return permit
        closed_s = max(POLL_INTERVAL_S, permit.opens_in_s)
        self._balancer.record_limited(replica.id, closed_s, self._now())
        return None

    async def _wait_for_limit(
        self, wanted: GrantRequest, replicas: list[Replica], until: float
    ) -> Granted | Denied | None:
        """Take the next place where limits hold up all replicas, or tell when there is one.

        :param until: how long a place is waited for, on the node's clock.
        :return: nothing where limits do not hold up all, or another replica may be sooner.
        """
        now = self._now()
        replica = self._balancer.first_limit_to_open(replicas, now)
        if replica is None:
            return None
        latest = _latest_wait_end(wanted, now)
        opens_at = self._balancer.stats(replica.id).limited_until
        if opens_at > latest:
            spread_s = REOPENING_SPREAD_S * self._random()
            return Denied("replicas at their limits", opens_at - now + spread_s)
        permit = await self.request_permit(replica, min(latest, until) - now)
        if permit is None:
            return None
        try:
            await asyncio.sleep(permit.wait_s)
        except asyncio.CancelledError:
            self._permits.return_permit(permit)
            raise
        if self._permits.is_valid(permit):
            return _local_grant(replica, wanted, permit)
        self._permits.return_permit(permit)
        return None

    def _max_outstanding(self, replica: Replica) -> int:
        """Bound what this node alone has at a replica, since it can't see what others have."""
        if self._pooled:
            return max(1, replica.slots // 4)
        return max(1, replica.slots // 4 + 2)


def _latest_wait_end(wanted: GrantRequest, now: float) -> float:
    """Tell until when a place within a limit is worth waiting for, on the node's clock.

    Less urgent requests wait for a part of their time only: where more is asked for than limits
    allow, they are refused at once and the places go to the more urgent ones.
    """
    admission = wanted.admission
    if wanted.for_trial:
        # What no replica of that version takes now goes to the others.
        return now
    if now >= admission.due_at:
        return admission.patience_until
    share = LIMIT_WAIT_SHARE * LIMIT_WAIT_SHARE_PER_RANK ** min(MAX_RANKS, admission.urgency)
    return now + (admission.due_at - now) * share


def _local_grant(replica: Replica, wanted: GrantRequest, permit: Permit) -> Granted:
    return Granted(replica, wanted.attempt, Source.LOCAL, for_trial=wanted.for_trial, permit=permit)
