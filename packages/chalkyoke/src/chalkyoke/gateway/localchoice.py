"""
chalkyoke.gateway.localchoice

Choose a replica without a scheduler: always for plain services that are not queued, and within
bounds for other pools while no scheduler answers. Requests to replicas with a limit are counted
over all nodes.
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
    find_eligible,
)
from chalkyoke.gateway.localshare import LocalShare
from chalkyoke.gateway.waiting import latest_wait_end, longest_retry_after_s
from chalkyoke.limits.client import Permit

# Interval at which the node looks for a free replica, in seconds.
POLL_INTERVAL_S = 0.01
# Share of the time to its goal for which a request of the most urgent rank waits until a limit
# allows it; the rest is left for the answer. Each less urgent rank multiplies the share by
# LIMIT_WAIT_SHARE_PER_RANK, up to MAX_RANKS times.
LIMIT_WAIT_SHARE = 0.5
LIMIT_WAIT_SHARE_PER_RANK = 0.7
MAX_RANKS = 3
# Time over which the retries of callers are spread after a limit allows requests again, in seconds.
REOPENING_SPREAD_S = 0.5


class LocalChoice:
    """Choose replicas by the observations of this node.

    :param random: source of numbers in [0, 1), to spread the retries of callers.
    :param now: the node's clock, in seconds.
    :param nodes: returns the number of nodes that may exist in the fleet.
    :param pooled: whether pool schedulers are asked first.
    """

    def __init__(
        self,
        replicas: ReplicaPort,
        balancer: LocalBalancer,
        permits: PermitPort,
        random: Callable[[], float],
        now: Callable[[], float],
        nodes: Callable[[], int],
        *,
        pooled: bool,
    ) -> None:
        self._replicas = replicas
        self._balancer = balancer
        self._permits = permits
        self._random = random
        self._now = now
        self._pooled = pooled
        self._share = LocalShare(random, nodes)

    async def choose(
        self, wanted: GrantRequest, wait_s: float, *, queued: bool = False
    ) -> Granted | Denied | None:
        """Choose a replica by the observations of this node.

        :param wait_s: longest time to wait for a free replica, in seconds.
        :param queued: whether a scheduler decides for the service, so that this node uses only its
            share of the slots.
        :return: None if no replica is free within that time. A request that has waited until
            :func:`~chalkyoke.gateway.waiting.latest_wait_end` is denied.
        """
        admission, service = wanted.admission, wanted.admission.service
        until = self._now() + wait_s
        shared = queued and not service.is_engine
        while True:
            replicas = find_eligible(
                self._replicas, service.name, wanted.version, for_trial=wanted.for_trial
            )
            denied = self._find_denial(wanted, replicas)
            if denied is not None:
                return denied
            may_start = not shared or self._may_start(service.name, replicas)
            chosen = self._choose_replica(wanted, replicas) if may_start else None
            if chosen is not None:
                permit = await self.request_permit(chosen, 0.0)
                if permit is None:
                    continue
                if shared:
                    self._share.record_start(service.name)
                return _local_grant(chosen, wanted, permit)
            found = await self._wait_for_limit(wanted, replicas, until)
            if found is not None:
                return found
            if self._now() >= latest_wait_end(admission):
                return Denied("no free slot", self._retry_soon_s(wanted))
            if self._now() >= until:
                return None
            await asyncio.sleep(POLL_INTERVAL_S)

    def _choose_replica(self, wanted: GrantRequest, replicas: list[Replica]) -> Replica | None:
        route = wanted.admission.route
        return self._balancer.choose(
            replicas,
            self._now(),
            avoid=wanted.avoid,
            repeatable=route.repeatable and wanted.attempt < route.attempts,
            max_outstanding=self._max_outstanding if wanted.admission.service.is_engine else None,
            goal_s=wanted.admission.due_at - self._now(),
        )

    def _may_start(self, service: str, replicas: list[Replica]) -> bool:
        """Return whether this node's share of a plain service's slots allows one more request."""
        stats = [self._balancer.stats(each.id) for each in replicas]
        measured = [each.latency_s for each in stats if each.latency_s]
        return self._share.may_start(
            service,
            sum(each.slots for each in replicas),
            sum(each.outstanding for each in stats),
            min(measured, default=0.0),
            self._now(),
        )

    def _find_denial(self, wanted: GrantRequest, replicas: list[Replica]) -> Denied | None:
        """Return the reason why no replica can take a request in time, or None."""
        now = self._now()
        if not replicas:
            return Denied("no replica", DEFAULT_RETRY_S)
        rest_s = self._balancer.rest_left_s(replicas, now)
        if rest_s > 0 and now + rest_s > wanted.admission.due_at:
            return Denied("replicas rest", rest_s)
        if self._balancer.are_all_unreachable(replicas, now, tried=wanted.avoid):
            return Denied("replicas out of reach", self._retry_soon_s(wanted))
        return None

    def _retry_soon_s(self, wanted: GrantRequest) -> float:
        """Return a Retry-After time for a cause of unknown duration; the caller can return then."""
        return min(DEFAULT_RETRY_S, longest_retry_after_s(wanted.admission, self._now()))

    async def request_permit(self, replica: Replica, most_wait_s: float) -> Permit | None:
        """Get a permit to send to a replica; if it is denied, record when the limit allows one.

        :param most_wait_s: longest time that the request would wait, in seconds.
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
        """Wait for a permit if all replicas are at their limits, or deny with a time to retry.

        :param until: end of the wait, on the node's clock.
        :return: None if not all replicas are at their limits, or another one may be free sooner.
        """
        now = self._now()
        replica = self._balancer.first_limit_to_open(replicas, now)
        if replica is None:
            return None
        latest = _latest_permit_wait_end(wanted, now)
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
        """Return the bound of this node's requests at a replica.

        A local choice can't see the requests of other nodes, so it uses a share of the slots only.
        """
        if self._pooled:
            return max(1, replica.slots // 4)
        return max(1, replica.slots // 4 + 2)


def _latest_permit_wait_end(wanted: GrantRequest, now: float) -> float:
    """Return the latest time to which a request waits for a limit, on the node's clock.

    Less urgent requests wait for a smaller share of their time. If demand exceeds the limits, they
    are refused at once and the permits go to more urgent requests.
    """
    admission = wanted.admission
    if wanted.for_trial:
        # A request that no replica of the version under trial takes now goes to other versions.
        return now
    if now >= admission.due_at:
        return latest_wait_end(admission)
    share = LIMIT_WAIT_SHARE * LIMIT_WAIT_SHARE_PER_RANK ** min(MAX_RANKS, admission.rank_in_team)
    return now + (admission.due_at - now) * share


def _local_grant(replica: Replica, wanted: GrantRequest, permit: Permit) -> Granted:
    return Granted(
        replica,
        wanted.attempt,
        Source.LOCAL,
        for_trial=wanted.for_trial,
        is_version_bound=wanted.version is not None,
        permit=permit,
    )
