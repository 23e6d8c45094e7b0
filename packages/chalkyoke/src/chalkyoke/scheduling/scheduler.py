"""
chalkyoke.scheduling.scheduler

The scheduler of one pool: events with an explicit time go in, grants and refusals come out. It
decides quality only; that a request runs at most once is kept by its entry process.
"""

import math
from collections.abc import Callable, Iterable, Mapping

from chalkyoke.limits.allowance import Allowance
from chalkyoke.scheduling.granting import Granter
from chalkyoke.scheduling.headroom import LONG_OUTPUT_S, Headroom
from chalkyoke.scheduling.learning import Learner, RefusalChange
from chalkyoke.scheduling.messages import (
    Acquire,
    Adopt,
    CacheEvent,
    FirstOutput,
    Learned,
    LearnedSpeed,
    LoadReport,
    Progress,
    Release,
    RunningItem,
    Withdraw,
)
from chalkyoke.scheduling.placement import (
    Features,
)
from chalkyoke.scheduling.pool import PoolState
from chalkyoke.scheduling.refusals import AddressedAction, Counters, Refuser
from chalkyoke.scheduling.state import (
    PoolSpec,
    ReleaseOutcome,
    RunningRequest,
    Upstream,
    WaitingRequest,
)

# The deadline assumed for what runs under an earlier scheduler, in seconds: it is not told.
ADOPTED_DEADLINE_S = 5.0
# How long a new scheduler waits for entry processes to tell what they have running, in seconds.
# They answer within a few milliseconds; those that are lost never do, and an aim may be 0.3 s.
# What is told later costs some overcommit for a moment.
SETTLE_S = 0.1
# A grant that its holder no longer lists is over after so long, in seconds: three reports.
LOST_RELEASE_S = 3.0
# An entry process that has said nothing for so long is gone, in seconds: ten reports.
ENTRY_TIMEOUT_S = 10.0
# How often silent entry processes are looked for, in seconds.
SWEEP_S = 1.0
# How long a load report is believed, in seconds: some times between two of them.
FOREIGN_VALID_S = 5.0
# Ends of grants under which a request may never have left its node.
UNSENT_OUTCOMES = frozenset((ReleaseOutcome.UNUSED, ReleaseOutcome.UNREACHABLE))


class PoolScheduler:
    """Decide for one pool which request goes where, what waits and what is given up.

    :param spec: upstreams, tiers, teams and routes of the pool.
    :param random: source of numbers in [0, 1), to spread the callers that come back.
    :param now: seconds on this process's monotonic clock.
    :param expected: entry processes that will tell what they have running; until all have, or
        :data:`SETTLE_S` has passed, nothing is granted.
    :param features: parts of the policy, for ablation.

    Usage::

      >>> scheduler = PoolScheduler(spec, random.random, now=0.0)
      >>> outs = scheduler.acquire("h1/7", "zone-a", acquire, now=0.1)
    """

    def __init__(
        self,
        spec: PoolSpec,
        random: Callable[[], float],
        now: float,
        expected: Iterable[str] = (),
        features: Features | None = None,
    ) -> None:
        self.counters = Counters()
        self.features = features or Features()
        self._pool = PoolState(spec)
        self._learner = Learner(self._pool, self.features)
        self._headroom = Headroom(now)
        self._refuser = Refuser(
            self._pool, self.counters, self.features, self._headroom, random, now
        )
        self._granter = Granter(self._pool, self.counters, self.features, self._headroom)
        self._order = 0
        self._unsettled = set(expected)
        self._settle_at = now + SETTLE_S
        self._heard: dict[str, float] = {}
        self._next_sweep = now

    # What the shell and the benches may look at.

    @property
    def spec(self) -> PoolSpec:
        """The pool as configured."""
        return self._pool.spec

    @property
    def waiting(self) -> int:
        """Count the requests that wait."""
        return len(self._pool.waiting)

    @property
    def running(self) -> int:
        """Count the grants that are held."""
        return len(self._pool.running)

    @property
    def upstreams(self) -> dict[str, Upstream]:
        """The upstreams as seen now, by id."""
        return self._pool.upstreams

    def is_waiting(self, request: str) -> bool:
        """Tell whether a request waits here.

        :rtype: bool
        """
        return request in self._pool.waiting

    def waiting_items(self) -> list[WaitingRequest]:
        """List what waits, in no order.

        :rtype: list[Waiting]
        """
        return list(self._pool.waiting.values())

    def take_refusal_changes(self) -> list[RefusalChange]:
        """Take what has changed since the last call of the upstreams that refuse all.

        :rtype: list[Closing]
        """
        closings, self._learner.refusal_changes = self._learner.refusal_changes, []
        return closings

    # Events.

    def configure(self, spec: PoolSpec, now: float) -> list[AddressedAction]:
        """Take a new configuration or host list.

        :return: refusals of requests whose route or tier is gone, and new grants.
        """
        self._pool.configure(spec)
        return self._refuser.refuse_without_upstream() + self._decide(now)

    def set_allowances(
        self, allowances: Mapping[str, Allowance], now: float
    ) -> list[AddressedAction]:
        """Take what upstreams that name a limit may get; all others are taken to name none.

        :param allowances: by upstream.
        :return: new grants.
        """
        self._pool.set_allowances(allowances)
        return self._decide(now)

    def acquire(
        self, entry: str, domain: str, message: Acquire, now: float
    ) -> list[AddressedAction]:
        """Take a request in; the same message again changes nothing.

        :param entry: id of the entry process.
        :param domain: its failure domain.
        :rtype: list[Out]
        """
        self._heard[entry] = now
        known = self._pool.waiting.get(message.request)
        if known is not None and known.attempt >= message.attempt:
            return []
        held = self._pool.running.get(message.request)
        if held is not None:
            if held.attempt >= message.attempt:
                return [AddressedAction(entry, self._granter.grant_message(held))]
            self._pool.end_running(held, now)
        if known is not None:
            self._pool.remove_waiting(known)

        item = self._make_waiting(entry, domain, message, now)
        refusal = self._refuser.check_arrival(item, now, settled=self._settled(now))
        if refusal is not None:
            return [refusal]
        self._pool.add_waiting(item)
        return self._refuser.make_room(item, now) + self._decide(now)

    def withdraw(self, message: Withdraw) -> None:
        """Forget a request that waits."""
        item = self._pool.waiting.get(message.request)
        if item is not None:
            self._pool.remove_waiting(item)

    def release(self, domain: str, message: Release, now: float) -> list[AddressedAction]:
        """Take a grant back and learn from it.

        :param domain: failure domain of the entry process.
        :rtype: list[Out]
        """
        item = self._pool.running.get(message.request)
        if item is None or item.attempt != message.attempt:
            return []

        outcome = ReleaseOutcome(message.outcome)
        upstream = self._pool.upstreams.get(item.upstream)
        if upstream is not None:
            self._give_back(item, upstream, message)
            self._learner.learn_health(upstream, domain, outcome, now)
            self._learner.learn_willingness(item, upstream, message, now)
            self._learner.learn_usage(item, upstream, outcome, message.usage, now)
        self._pool.end_running(item, now)
        return self._decide(now)

    def _give_back(self, item: RunningRequest, upstream: Upstream, message: Release) -> None:
        """Give back to an upstream's limit what was granted and never sent."""
        unsent = message.outcome in UNSENT_OUTCOMES and message.usage.total_s == 0.0
        if unsent and item.counts_toward_limit and upstream.allowance is not None:
            upstream.allowance.give_back()

    def apply_progress(self, entry: str, message: Progress, now: float) -> list[AddressedAction]:
        """Learn how far running work has come, and find releases that were lost.

        :param entry: id of the entry process; the message lists all that it has running here.
        :rtype: list[Out]
        """
        self._heard[entry] = now
        self._learner.learn_progress(message.items, now)
        listed = {item.request for item in message.items}
        lost = [
            running
            for running in self._pool.running.values()
            if running.entry == entry
            and running.request not in listed
            and now - running.granted > LOST_RELEASE_S
        ]
        for running in lost:
            self._pool.end_running(running, now)
        return self._decide(now) if lost else []

    def apply_first_output(self, message: FirstOutput, now: float) -> None:
        """Learn that a prompt has been read."""
        running = self._pool.running.get(message.request)
        if running is not None:
            self._learner.learn_first_output(running, message.first_s, now)

    def adopt(self, entry: str, message: Adopt, now: float) -> list[AddressedAction]:
        """Take over what an entry process has running under an earlier scheduler.

        :rtype: list[Out]
        """
        self._heard[entry] = now
        for item in message.items:
            upstream = self._pool.upstreams.get(item.upstream)
            waiting = self._pool.waiting.get(item.request)
            if waiting is not None and waiting.attempt > item.attempt:
                continue
            if waiting is not None:
                self._pool.remove_waiting(waiting)
            if upstream is not None and item.request not in self._pool.running:
                self._pool.start_running(self._adopted(entry, item, upstream, now), upstream, now)
        self._unsettled.discard(entry)
        return self._decide(now)

    def export_learned(self) -> Learned:
        """Tell a successor what is known of the upstreams' speeds.

        :rtype: Learned
        """
        speeds = tuple(
            LearnedSpeed(
                name,
                each.speed.prefill_factor,
                each.speed.decode_factor,
                each.speed.samples,
            )
            for name, each in self._pool.upstreams.items()
            if each.speed.samples
        )
        return Learned(self.spec.name, speeds)

    def import_learned(self, message: Learned) -> None:
        """Take what an earlier scheduler has learned."""
        for each in message.speeds:
            upstream = self._pool.upstreams.get(each.upstream)
            if upstream is not None:
                upstream.speed.adopt_factors(each.prefill_factor, each.decode_factor, each.samples)
                upstream.invalidate_predictions()

    def remove_entry(self, entry: str, now: float) -> list[AddressedAction]:
        """Drop what a dead entry process had waiting and running.

        :rtype: list[Out]
        """
        self._drop_entry(entry, now)
        return self._decide(now)

    def apply_load_report(self, message: LoadReport, now: float) -> list[AddressedAction]:
        """Learn from what an upstream says of itself: only what cannot be seen from here.

        :rtype: list[Out]
        """
        upstream = self._pool.upstreams.get(message.upstream)
        if upstream is None:
            return []

        upstream.draining = message.draining
        own = upstream.max_own_load_since(now - 2 * message.age_s - 1.0)
        upstream.foreign_load = max(0, message.running + message.waiting - own)
        upstream.foreign_load_until = now + FOREIGN_VALID_S
        return self._decide(now)

    def apply_cache_event(self, message: CacheEvent) -> None:
        """Note what an engine dropped from its prefix cache; a hint, late and with gaps."""
        self._pool.prefixes.drop_blocks(message.upstream, message.dropped)

    def tick(self, now: float) -> list[AddressedAction]:
        """Give up what has expired, is hopeless or would be late; call about every 50 ms.

        :rtype: list[Out]
        """
        self._drop_silent(now)
        self._headroom.observe_running((each.rank for each in self._pool.running.values()), now)
        outs = self._refuser.refuse_expired(now)
        if self._settled(now):
            outs += self._refuser.shed_by_forecast(now)
        return outs + self._decide(now)

    def _drop_silent(self, now: float) -> None:
        """Drop what processes hold that say nothing any more.

        Membership tells of a death once; a message that was under way may come after that.
        """
        if now < self._next_sweep:
            return
        self._next_sweep = now + SWEEP_S
        for entry, heard in list(self._heard.items()):
            if now - heard > ENTRY_TIMEOUT_S:
                del self._heard[entry]
                self._drop_entry(entry, now)

    def _drop_entry(self, entry: str, now: float) -> None:
        for waiting in [each for each in self._pool.waiting.values() if each.entry == entry]:
            self._pool.remove_waiting(waiting)
        for running in [each for each in self._pool.running.values() if each.entry == entry]:
            self._pool.end_running(running, now)
        self._unsettled.discard(entry)

    # Arrival.

    def _make_waiting(
        self, entry: str, domain: str, message: Acquire, now: float
    ) -> WaitingRequest:
        output = self._learner.estimate_output(message)
        self._order += 1
        blocks = message.blocks if self.features.prefix else ()
        return WaitingRequest(
            request=message.request,
            attempt=message.attempt,
            entry=entry,
            domain=domain,
            route=message.route,
            rank=self._pool.rank(message.tier),
            team=message.team,
            prompt_tokens=message.prompt_tokens,
            blocks=blocks,
            arrived=now - message.waited_s,
            deadline=now + message.budget_s,
            order=self._order,
            output=output,
            goal=now + message.goal_s if message.goal_s else math.inf,
            max_retry_after_s=message.max_retry_after_s,
            gap_goal=message.gap_goal_s or math.inf,
            answer_due=now + message.answer_due_s if message.answer_due_s else math.inf,
            fingerprint=message.fingerprint,
            hint=message.likely_output,
            tried_upstreams=message.tried_upstreams,
            is_long=self._pool.work_s(0, output.median) > LONG_OUTPUT_S,
            work=self._pool.work_s(message.prompt_tokens, output.median),
        )

    def _decide(self, now: float) -> list[AddressedAction]:
        return self._granter.grant_waiting(now) if self._settled(now) else []

    def _settled(self, now: float) -> bool:
        if self._unsettled and now < self._settle_at:
            return False
        self._unsettled.clear()
        return True

    def _adopted(
        self, entry: str, item: RunningItem, upstream: Upstream, now: float
    ) -> RunningRequest:
        rank = self._pool.rank(item.tier)
        expected = self._learner.outputs.predict(item.route, item.team, item.max_output).median
        self._pool.queue(rank)
        running = RunningRequest(
            request=item.request,
            attempt=item.attempt,
            entry=entry,
            upstream=item.upstream,
            route=item.route,
            rank=rank,
            team=item.team,
            prompt_tokens=item.prompt_tokens,
            expected_output=expected,
            work=self._pool.work_s(item.prompt_tokens, expected),
            granted=now,
            deadline=now + ADOPTED_DEADLINE_S,
            expected_finish=now,
            prefill_left=item.prompt_tokens,
            first_seen=item.output_tokens > 0,
            output_tokens=item.output_tokens,
            elapsed_s=item.elapsed_s,
        )
        running.expected_finish = now + self._learner.remaining_s(running, upstream, now)
        return running
