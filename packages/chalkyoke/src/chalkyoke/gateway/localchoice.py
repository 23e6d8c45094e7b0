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
    PermitPort,
    ReplicaPort,
    Source,
    Wanted,
)
from chalkyoke.limits.client import Permit

# How often this node looks for a free replica, in seconds.
LOCAL_POLL_S = 0.01


class LocalChoice:
    """Choose by what this node sees.

    :param now: the node's clock, in seconds.
    :param pooled: whether pool schedulers are asked first.
    """

    def __init__(
        self,
        replicas: ReplicaPort,
        balancer: LocalBalancer,
        permits: PermitPort,
        now: Callable[[], float],
        *,
        pooled: bool,
    ) -> None:
        self._replicas = replicas
        self._balancer = balancer
        self._permits = permits
        self._now = now
        self._pooled = pooled

    async def choose(self, wanted: Wanted, wait_s: float) -> Granted | Denied | None:
        """Choose a replica by what this node sees; nothing where none is free for so long."""
        admission, attempt, avoid = wanted.admission, wanted.attempt, wanted.avoid
        service = admission.service
        until = self._now() + wait_s
        bound = self._own_part if service.is_engine else None
        while True:
            replicas = self._replicas.of(service.name, for_trial=wanted.for_trial)
            rest_s = self._balancer.rest_left_s(replicas, self._now())
            if self._now() + rest_s > admission.due and rest_s > 0:
                return Denied("replicas rest", rest_s)
            if replicas and self._balancer.out_of_reach(replicas, self._now(), tried=avoid):
                return Denied("replicas out of reach", DEFAULT_RETRY_S)
            chosen = self._balancer.choose(
                replicas,
                self._now(),
                avoid=avoid,
                repeatable=admission.route.repeatable and attempt < admission.route.attempts,
                most_outstanding=bound,
            )
            limited = self._balancer.soonest_limited(replicas, self._now())
            if chosen is not None or limited is not None:
                found = await self._within_limit(wanted, chosen, limited)
                if found is not None:
                    return found
                continue
            if not replicas:
                return Denied("no replica", DEFAULT_RETRY_S)
            if self._now() >= admission.patience:
                return Denied("no free slot", DEFAULT_RETRY_S)
            if self._now() >= until:
                return None
            await asyncio.sleep(LOCAL_POLL_S)

    async def permit(self, replica: Replica, most_wait_s: float) -> Permit | None:
        """Get a permit to send to a replica; remember when to ask again where there is none.

        :param most_wait_s: how long the request would wait.
        """
        permit = await self._permits.ask(replica.service, replica.id, most_wait_s)
        if isinstance(permit, Permit):
            return permit
        closed_s = max(LOCAL_POLL_S, permit.opens_in_s)
        self._balancer.note_limited(replica.id, closed_s, self._now())
        return None

    async def _within_limit(
        self, wanted: Wanted, chosen: Replica | None, limited: Replica | None
    ) -> Granted | Denied | None:
        """Get a permit for the replica that was chosen, or the next place of the limited ones.

        :param limited: where limits hold up all replicas, the one that is expected to open first.
        :return: nothing where the choice is to be made anew.
        """
        if chosen is not None:
            permit = await self.permit(chosen, 0.0)
            return _granted_here(chosen, wanted, permit) if permit is not None else None
        return await self._wait_for_limit(wanted, limited) if limited is not None else None

    async def _wait_for_limit(self, wanted: Wanted, replica: Replica) -> Granted | Denied | None:
        """Take the next place within the limits that all replicas name, or tell when there is one.

        :param replica: the one whose limit allows a request first, by what is known here.
        :return: nothing where another one may be sooner.
        """
        admission, now = wanted.admission, self._now()
        left_s = (admission.due if now < admission.due else admission.patience) - now
        if wanted.for_trial:
            # What no replica of that version takes now goes to the others.
            left_s = 0.0
        opens_in_s = self._balancer.seen(replica.id).limited_until - now
        if opens_in_s > left_s:
            return Denied("replicas at their limits", opens_in_s)
        permit = await self.permit(replica, left_s)
        if permit is None:
            await asyncio.sleep(LOCAL_POLL_S)
            return None
        try:
            await asyncio.sleep(permit.wait_s)
        except asyncio.CancelledError:
            self._permits.give_back(permit)
            raise
        if self._permits.holds(permit):
            return _granted_here(replica, wanted, permit)
        self._permits.give_back(permit)
        return None

    def _own_part(self, replica: Replica) -> int:
        """Bound what this node alone has at a replica, since it can't see what others have."""
        if self._pooled:
            return max(1, replica.slots // 4)
        return max(1, replica.slots // 4 + 2)


def _granted_here(replica: Replica, wanted: Wanted, permit: Permit) -> Granted:
    return Granted(replica, wanted.attempt, Source.LOCAL, for_trial=wanted.for_trial, permit=permit)
