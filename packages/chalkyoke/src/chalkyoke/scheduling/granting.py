"""
chalkyoke.scheduling.granting

Assign waiting requests of a pool to upstreams with free slots.
"""

import math

import msgspec

from chalkyoke.invariants import require
from chalkyoke.scheduling.admission import FairAdmission
from chalkyoke.scheduling.headroom import Headroom
from chalkyoke.scheduling.messages import Grant
from chalkyoke.scheduling.placement import (
    BLOCK_TOKENS,
    Features,
    Placement,
    choose_upstream,
    complete_time_s,
    streams_stalled_by,
)
from chalkyoke.scheduling.pool import PoolState
from chalkyoke.scheduling.preference import choose_preferred, stay_at_home
from chalkyoke.scheduling.queues import TierQueue
from chalkyoke.scheduling.refusals import AddressedAction, Counters
from chalkyoke.scheduling.shortlist import Openings
from chalkyoke.scheduling.state import RunningRequest, WaitingRequest

# Number of requests of one tier that one decision examines; it bounds the time of the decision.
MAX_EXAMINED_REQUESTS = 8


class _Decision(msgspec.Struct, frozen=True):
    """The inputs and results of one decision.

    :param actions: collects the grants.
    :param held: number of requests held for a busy upstream, by upstream.
    """

    now: float
    openings: Openings
    actions: list[AddressedAction]
    held: dict[str, int] = msgspec.field(default_factory=dict)


class Granter:
    """Grant waiting requests.

    :param pool: state of the pool.
    :param headroom: provides the number of slots reserved for higher tiers.
    :param admission: records the work that teams get.
    """

    def __init__(
        self,
        pool: PoolState,
        counters: Counters,
        features: Features,
        headroom: Headroom,
        admission: FairAdmission,
    ) -> None:
        self._pool = pool
        self._counters = counters
        self._features = features
        self._headroom = headroom
        self._admission = admission

    def grant_waiting(self, now: float) -> list[AddressedAction]:
        """Grant all requests that can start: by strict tier, then fair share, then deadline.

        :rtype: list[AddressedAction]
        """
        if not self._pool.waiting:
            return []
        actions: list[AddressedAction] = []
        if not self._pool.has_free_slot(now):
            return actions
        decision = _Decision(now, Openings(self._pool.eligible, now, self._features), actions)
        for queue, late in self._tier_passes():
            wanted = queue.late if late else queue.size > queue.late
            if wanted and not self._decide_tier(queue, late, decision):
                return actions
        return actions

    def _tier_passes(self) -> list[tuple[TierQueue, bool]]:
        """List (queue, late) passes, highest tier first: timely requests, then late ones."""
        queues = [self._pool.queues[rank] for rank in sorted(self._pool.queues)]
        if self._features.late_last:
            return [(queue, late) for late in (False, True) for queue in queues]
        return [(queue, late) for queue in queues for late in (False, True)]

    def _decide_tier(self, queue: TierQueue, late: bool, decision: "_Decision") -> bool:
        """Grant the timely or the late requests of one tier.

        :return: whether slots may still be free.
        """
        now = decision.now
        blocked: set[tuple[str, str]] = set()
        full: set[str] = set()
        examined = 0
        while examined < MAX_EXAMINED_REQUESTS:
            granted = False
            for each in queue.ordered_queues(self._features.fair):
                key = (each.name, each.route)
                if key in blocked or each.route in full or self._pool.at_limit(each.name):
                    continue
                if not any(up.has_slot(now) for up in self._pool.eligible[each.route]):
                    full.add(each.route)
                    continue
                for item in each.front():
                    if item.late != late:
                        break
                    examined += 1
                    if self._try_grant(item, decision):
                        granted = True
                        break
                if granted:
                    break
                blocked.add(key)
            if not granted:
                return True
            if not self._pool.has_free_slot(now):
                return False
        return True

    def _try_grant(self, item: WaitingRequest, decision: "_Decision") -> bool:
        now, openings = decision.now, decision.openings
        if not openings.usable_upstreams(item.route, item.domain, item.entry):
            return False
        leaves_headroom = not self._features.headroom or self._leaves_headroom(item, openings)
        if not leaves_headroom and self._pool.must_leave_headroom(item):
            return False
        depths = self._pool.prefixes.matches(item.blocks)
        candidates = openings.candidates(
            item.route, item.domain, depths, item.entry, item.tried_upstreams
        )
        placement = choose_preferred(item, candidates, depths, now, self._features)
        if placement is None:
            compared = stay_at_home(item, candidates, depths, now, self._features)
            placement = choose_upstream(item, compared, depths, decision.held, now, self._features)
        if placement.upstream is None:
            if placement.held_for is not None:
                name = placement.held_for.spec.id
                decision.held[name] = decision.held.get(name, 0) + 1
                self._counters.held += 1
            return False
        if self._features.shed and not self._may_start(item, placement, now):
            return False
        decision.actions.append(self.grant_request(item, placement, now))
        self._pool.queue(item.rank).record_start(item, from_reserve=not leaves_headroom)
        openings.invalidate_slots()
        return True

    def _leaves_headroom(self, item: WaitingRequest, openings: Openings) -> bool:
        """Return whether enough slots stay free for higher tiers if a long request starts."""
        free = openings.free_slots(item.route, item.domain, item.entry)
        return free > self._headroom.reserved_slots(item.rank)

    def _may_start(self, item: WaitingRequest, placement: Placement, now: float) -> bool:
        """Return whether to start a request, given its risk of being cut at its deadline."""
        prediction = placement.prediction
        assert prediction is not None
        if item.has_goal:
            if now + prediction.first_s > item.deadline:
                return False
            return not self._features.fair_admission or self._finishes(item, placement, now)
        if now + prediction.cautious_s <= item.deadline:
            return True
        if now + prediction.optimistic_s > item.deadline:
            return False
        if item.late and now + prediction.finish_s > item.deadline:
            return False
        return item.late or self._pool.waiting_counts[item.rank, item.route] == 1

    def _finishes(self, item: WaitingRequest, placement: Placement, now: float) -> bool:
        """Return whether a request is better started now than held for a faster upstream.

        A long answer that the chosen upstream cannot complete by its due time would hold a slot
        until it is cut. It waits for an upstream that completes it, while one can.
        """
        prediction = placement.prediction
        assert prediction is not None
        if now + prediction.finish_s <= item.answer_due:
            return True
        fastest = self._pool.fastest(item.route, now)
        shortest = min((complete_time_s(item, each) for each in fastest), default=math.inf)
        return now + shortest > item.answer_due

    def grant_request(
        self, item: WaitingRequest, placement: Placement, now: float
    ) -> AddressedAction:
        """Grant one request the upstream of its placement.

        :raises InvariantBroken: when the upstream is leaving or has no free slot.
        """
        upstream, prediction = placement.upstream, placement.prediction
        assert upstream is not None and prediction is not None
        require(
            not upstream.leaving, "a leaving upstream gets no new work", upstream=upstream.spec.id
        )
        require(upstream.has_slot(now), "a grant finds a free slot", upstream=upstream.spec.id)

        self._pool.remove_waiting(item)
        for each in streams_stalled_by(item, upstream, placement.cached_blocks, now):
            each.gap_exceeded = True
        cached = min(placement.cached_blocks * BLOCK_TOKENS, item.prompt_tokens)
        left = max(1, item.prompt_tokens - cached)
        work = self._pool.work_s(left, item.output.median)
        self._pool.queues[item.rank].charge_team(item.team, work, self._pool.weight(item.team))
        self._pool.prefixes.insert_blocks(upstream.spec.id, item.blocks)
        if upstream.allowance is not None:
            upstream.allowance.consume(now)
        running = RunningRequest(
            request=item.request,
            attempt=item.attempt,
            entry=item.entry,
            upstream=upstream.spec.id,
            route=item.route,
            rank=item.rank,
            team=item.team,
            prompt_tokens=item.prompt_tokens,
            expected_output=item.output.median,
            work=work,
            granted=now,
            deadline=math.inf if item.has_goal else item.deadline,
            expected_finish=now + prediction.finish_s,
            prefill_left=left,
            expected_first_s=prediction.first_s,
            stalls_seen=upstream.stall_s,
            lost_seen=upstream.time_factor.total_lost_s(now),
            gap_goal=item.gap_goal,
            tier_index=self._pool.tier_index(item.rank),
            hint=item.hint,
            domain=item.domain,
            counts_toward_limit=upstream.allowance is not None,
        )
        self._pool.delay_running(upstream, left)
        self._pool.start_running(running, upstream, now)
        upstream.declines.record_probe(item.domain, now)
        self._counters.granted += 1
        self._headroom.record_grant(item.rank, now)
        if self._features.fair_admission:
            self._admission.record_grant(item.team, item.work)
        leaves_domain = upstream.spec.failure_domain != item.domain
        return AddressedAction(item.entry, self.grant_message(running), leaves_domain=leaves_domain)

    def grant_message(self, item: RunningRequest) -> Grant:
        """Build the grant message of a running request.

        :rtype: Grant
        """
        address = self._pool.upstreams[item.upstream].spec.address
        return Grant(
            item.request,
            item.attempt,
            self._pool.spec.name,
            item.upstream,
            address,
            item.rank,
            item.expected_first_s,
            item.counts_toward_limit,
        )
