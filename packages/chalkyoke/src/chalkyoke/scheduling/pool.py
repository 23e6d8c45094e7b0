"""
chalkyoke.scheduling.pool

The state of one pool: configured upstreams and routes, waiting requests and running requests.
"""

import statistics
from collections.abc import Mapping

from chalkyoke.invariants import require
from chalkyoke.limits.allowance import Allowance
from chalkyoke.scheduling.estimates import SpeedModel
from chalkyoke.scheduling.overlaps import Overlaps
from chalkyoke.scheduling.prefixes import PrefixIndex
from chalkyoke.scheduling.queues import TierQueue
from chalkyoke.scheduling.shortlist import fastest_upstreams
from chalkyoke.scheduling.state import (
    PoolSpec,
    RunningRequest,
    Upstream,
    UpstreamSpec,
    WaitingRequest,
)

# Number of first outputs from which an upstream's speed is used to initialize new upstreams: the
# first two correct six tenths and three tenths of an error (estimates.FIRST_PREFILL_GAIN).
MIN_SPEED_SAMPLES = 3
# A pool with less than this share of its slots in use is mostly free; operators count a refusal
# below that share as needless.
MOSTLY_FREE_SHARE = 0.5
# Weight of one plain request in the mean duration of its service's requests, as a share.
DURATION_GAIN = 0.02
# How long the list of the fastest upstreams is cached, in seconds.
FASTEST_CACHE_S = 1.0


class PoolState:
    """The state of one pool's scheduler.

    :ivar waiting: waiting requests by id.
    :ivar running: granted requests by id.
    :ivar waiting_counts: number of waiting requests by (rank, route).
    :ivar eligible: upstreams by route, ordered by id.
    :ivar overlaps: pairs of routes that share an upstream.
    """

    def __init__(self, spec: PoolSpec) -> None:
        self.upstreams: dict[str, Upstream] = {}
        self.prefixes = PrefixIndex()
        self.queues: dict[int, TierQueue] = {}
        self.waiting: dict[str, WaitingRequest] = {}
        self.waiting_counts: dict[tuple[int, str], int] = {}
        self.running: dict[str, RunningRequest] = {}
        self.team_running: dict[str, int] = {}
        self._allowances: Mapping[str, Allowance] = {}
        self._fastest: dict[str, tuple[float, list[Upstream]]] = {}
        self._request_s = 0.0
        self.configure(spec)

    def configure(self, spec: PoolSpec) -> None:
        """Apply a new configuration or host list; learned speeds of known upstreams are kept."""
        self.spec = spec
        self._fastest.clear()
        self.ranks = {tier.name: tier.rank for tier in spec.tiers}
        self.weights = {team.name: team.weight for team in spec.teams}
        self.limits = {team.name: team.max_running for team in spec.teams if team.max_running}
        self._merge_upstreams(spec.upstreams)
        listed: dict[frozenset[str], list[Upstream]] = {}
        for route in spec.routes:
            if route.upstreams not in listed:
                known = sorted(route.upstreams & self.upstreams.keys())
                listed[route.upstreams] = [self.upstreams[name] for name in known]
        self.eligible = {route.name: listed[route.upstreams] for route in spec.routes}
        self.overlaps = Overlaps(spec.routes)
        self.waiting_counts = {key: count for key, count in self.waiting_counts.items() if count}
        self._set_reference_costs()

    def set_allowances(self, allowances: Mapping[str, Allowance]) -> None:
        """Replace the limits that upstreams announced; an upstream not listed has no limit."""
        self._allowances = allowances
        for name, upstream in self.upstreams.items():
            upstream.allowance = allowances.get(name)

    def rank(self, tier: str) -> int:
        """Return the rank of a tier; an unknown tier counts as the lowest.

        :rtype: int
        """
        return self.ranks.get(tier, max(self.ranks.values(), default=0))

    def tier_index(self, rank: int) -> int:
        """Count the tiers that are higher than a rank.

        :rtype: int
        """
        return sum(1 for each in self.ranks.values() if each < rank)

    def weight(self, team: str) -> float:
        """Return the weight of a team; 1 where the team is unknown.

        :rtype: float
        """
        return self.weights.get(team, 1.0)

    def queue(self, rank: int) -> TierQueue:
        """Return the queue of a tier; create it at first use.

        :rtype: TierQueue
        """
        queue = self.queues.get(rank)
        if queue is None:
            queue = self.queues[rank] = TierQueue(rank)
        return queue

    def work_s(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the cost of some tokens, in seconds on an average upstream.

        A plain service's requests have no tokens; each costs their mean duration.

        :rtype: float
        """
        if self.spec.plain:
            return self._request_s
        return prompt_tokens * self._prefill_cost + output_tokens * self._decode_cost

    def learn_request_s(self, seconds: float) -> None:
        """Update the mean duration of a plain service's requests from one of them."""
        self._request_s += DURATION_GAIN * (seconds - self._request_s)

    def add_waiting(self, item: WaitingRequest) -> None:
        """Add a waiting request."""
        self.queue(item.rank).push(item)
        self.waiting[item.request] = item
        key = (item.rank, item.route)
        self.waiting_counts[key] = self.waiting_counts.get(key, 0) + 1

    def remove_waiting(self, item: WaitingRequest) -> None:
        """Remove a waiting request; one that is not waiting is ignored."""
        if self.waiting.get(item.request) is not item:
            return
        del self.waiting[item.request]
        self.queues[item.rank].discard(item)
        self.waiting_counts[item.rank, item.route] -= 1

    def start_running(self, item: RunningRequest, upstream: Upstream, now: float) -> None:
        """Add a granted request to the pool and to its upstream."""
        require(item.request not in self.running, "a request holds one grant", request=item.request)
        self.running[item.request] = item
        upstream.running[item.request] = item
        upstream.invalidate_predictions()
        upstream.record_own_load(now)
        self.team_running[item.team] = self.team_running.get(item.team, 0) + 1

    def end_running(self, item: RunningRequest, now: float) -> None:
        """Remove a granted request from the pool and from its upstream."""
        self._remove_running(item)
        self.upstreams[item.upstream].record_own_load(now)

    def has_lower_tier_waiting(self, item: WaitingRequest) -> bool:
        """Return whether a request of a lower tier waits for some of the same upstreams."""
        return any(
            count > 0 and rank > item.rank and (route, item.route) in self.overlaps
            for (rank, route), count in self.waiting_counts.items()
        )

    def must_leave_headroom(self, item: WaitingRequest) -> bool:
        """Return whether a request must leave the slots free that are reserved for higher tiers.

        Long requests always must. A short one must if others have overtaken a long one of its tier
        that waits for some of the same upstreams.
        """
        queue = self.queue(item.rank)
        if item.is_long:
            return True
        if queue.may_overtake:
            return False
        return any((route, item.route) in self.overlaps for route in queue.long_waiting)

    def lower_tier_waiting(self, item: WaitingRequest) -> list[WaitingRequest]:
        """List the waiting requests that must be refused before a request, lowest tier first.

        These are the ones of lower tiers for the same upstreams and, in turn, those of still lower
        tiers that share upstreams with one of them.

        :rtype: list[WaitingRequest]
        """
        if not self.has_lower_tier_waiting(item):
            return []
        found: list[WaitingRequest] = []
        routes = {item.route}
        for rank in sorted(each for each in self.queues if each > item.rank):
            sharing = {
                route
                for (other, route), count in self.waiting_counts.items()
                if other == rank
                and count
                and any((route, each) in self.overlaps for each in routes)
            }
            found += (each for each in self.queues[rank].items() if each.route in sharing)
            routes |= sharing
        return found[::-1]

    def has_free_slot(self, now: float) -> bool:
        """Return whether any upstream that accepts new requests has a free slot.

        :rtype: bool
        """
        return any(each.has_slot(now) and not each.leaving for each in self.upstreams.values())

    def is_mostly_free(self) -> bool:
        """Return whether no request waits and less than half of the available slots are in use.

        A refusal in this state is hard to explain to its caller, whatever its reason.
        """
        if self.waiting:
            return False
        open_ones = [each for each in self.upstreams.values() if not each.leaving]
        slots = sum(each.spec.slots for each in open_ones)
        return sum(len(each.running) for each in open_ones) < MOSTLY_FREE_SHARE * slots

    def fastest(self, route: str, now: float) -> list[Upstream]:
        """List the upstreams of a route that would be the fastest on an idle pool.

        Learned speeds change slowly, so the list is recomputed only once a second.
        """
        until, found = self._fastest.get(route, (0.0, []))
        if now >= until:
            found = fastest_upstreams(
                each for each in self.eligible.get(route, ()) if not each.leaving
            )
            self._fastest[route] = (now + FASTEST_CACHE_S, found)
        return found

    def at_limit(self, team: str) -> bool:
        """Return whether a team has as many grants as its limit allows.

        :rtype: bool
        """
        limit = self.limits.get(team)
        return limit is not None and self.team_running.get(team, 0) >= limit

    def delay_running(self, upstream: Upstream, prompt_tokens: int) -> None:
        """Postpone the expected finish of an upstream's running requests by a new prefill."""
        stall = upstream.speed.prefill_time(prompt_tokens)
        for other in upstream.running.values():
            other.expected_finish += stall
        upstream.invalidate_predictions()

    def _remove_running(self, item: RunningRequest) -> None:
        del self.running[item.request]
        upstream = self.upstreams[item.upstream]
        upstream.running.pop(item.request, None)
        upstream.invalidate_predictions()
        self.team_running[item.team] -= 1
        if self.team_running[item.team] == 0:
            del self.team_running[item.team]

    def _merge_upstreams(self, specs: tuple[UpstreamSpec, ...]) -> None:
        for spec in specs:
            known = self.upstreams.get(spec.id)
            if known is None:
                allowance = self._allowances.get(spec.id)
                self.upstreams[spec.id] = Upstream(spec, self._new_speed(spec), allowance=allowance)
            else:
                known.spec = spec
            self.prefixes.add_upstream(spec.id, spec.cache_blocks)

        removed = set(self.upstreams) - {spec.id for spec in specs}
        for name in removed:
            for item in list(self.upstreams[name].running.values()):
                self._remove_running(item)
            del self.upstreams[name]
            self.prefixes.remove_upstream(name)

    def _new_speed(self, spec: UpstreamSpec) -> SpeedModel:
        """Build the speed model of a new upstream with the median factors of similar upstreams.

        Upstreams are similar if their initial estimates are equal, since the factors are relative
        to these.
        """
        speed = SpeedModel(
            spec.prefill_tokens_per_s,
            spec.decode_tokens_per_s,
            spec.batch_slowdown,
            spec.slots,
            spec.setup_s,
            spec.attention_s_per_pair,
        )
        known = [
            each.speed
            for each in self.upstreams.values()
            if each.speed.samples >= MIN_SPEED_SAMPLES
            and _initial_estimates(each.spec) == _initial_estimates(spec)
        ]
        if known:
            speed.prefill_factor = statistics.median(each.prefill_factor for each in known)
            speed.decode_factor = statistics.median(each.decode_factor for each in known)
        return speed

    def _set_reference_costs(self) -> None:
        """Average the token costs, so that a team's share does not depend on the upstream used."""
        specs = self.spec.upstreams
        count = max(1, len(specs))
        self._prefill_cost = sum(1 / spec.prefill_tokens_per_s for spec in specs) / count
        self._decode_cost = sum(1 / spec.decode_tokens_per_s for spec in specs) / count
        if not self._request_s:
            self._request_s = sum(spec.setup_s for spec in specs) / count


def _initial_estimates(spec: UpstreamSpec) -> tuple[float, ...]:
    return (
        spec.prefill_tokens_per_s,
        spec.decode_tokens_per_s,
        spec.setup_s,
        spec.attention_s_per_pair,
    )
