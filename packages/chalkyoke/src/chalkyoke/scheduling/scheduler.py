"""
chalkyoke.scheduling.scheduler

The scheduler of one pool. Events with an explicit time are passed in; grants and refusals are
returned. The scheduler affects quality only: the entry process guarantees that a request runs at
most once.
"""

from collections.abc import Callable, Iterable, Mapping

from chalkyoke.limits.allowance import Allowance
from chalkyoke.scheduling.admission import FairAdmission
from chalkyoke.scheduling.entries import Entries
from chalkyoke.scheduling.granting import Granter
from chalkyoke.scheduling.headroom import Headroom
from chalkyoke.scheduling.learning import Backoff, Learner, RefusalChange
from chalkyoke.scheduling.loads import record_load_report, record_plain_load
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
    RetryReservation,
    RetryReservations,
    Withdraw,
)
from chalkyoke.scheduling.placement import Features
from chalkyoke.scheduling.pool import PoolState
from chalkyoke.scheduling.refusals import AddressedAction, Counters, Refuser
from chalkyoke.scheduling.requests import RequestBuilder
from chalkyoke.scheduling.state import (
    PoolSpec,
    ReleaseOutcome,
    RunningRequest,
    Upstream,
    WaitingRequest,
)

# How long a new scheduler waits for the adopt messages of entry processes, in seconds. Live ones
# answer within a few milliseconds and lost ones never, while a goal may be as short as 0.3 s. An
# adopt message that arrives later causes brief overcommitment.
SETTLE_S = 0.1
# Outcomes after which the request may never have been sent.
UNSENT_OUTCOMES = frozenset((ReleaseOutcome.UNUSED, ReleaseOutcome.UNREACHABLE))


class PoolScheduler:
    """Decide for one pool which requests are granted, kept waiting or refused.

    :param spec: upstreams, tiers, teams and routes of the pool.
    :param random: source of numbers in [0, 1), to spread retries.
    :param now: seconds on this process's monotonic clock.
    :param expected: entry processes that will report their running requests; nothing is granted
        until all have reported or :data:`SETTLE_S` has passed.
    :param features: switches of the policy, for ablation.

    Usage::

      >>> scheduler = PoolScheduler(spec, random.random, now=0.0)
      >>> actions = scheduler.acquire("h1/7", "zone-a", acquire, now=0.1)
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
        self._builder = RequestBuilder(self._pool, self._learner, self.features)
        self._headroom = Headroom(now)
        self.admission = FairAdmission(self._pool, self.features, random, now)
        self._refuser = Refuser(
            self._pool, self.counters, self.features, self._headroom, self.admission, random, now
        )
        self._granter = Granter(
            self._pool, self.counters, self.features, self._headroom, self.admission
        )
        self._unsettled = set(expected)
        self._settle_at = now + SETTLE_S
        self._entries = Entries(self._pool, now)

    # Read access for the node and for benchmarks.

    @property
    def spec(self) -> PoolSpec:
        """The current configuration of the pool."""
        return self._pool.spec

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return len(self._pool.waiting)

    @property
    def running(self) -> int:
        """The number of grants in use."""
        return len(self._pool.running)

    @property
    def upstreams(self) -> dict[str, Upstream]:
        """The state of the upstreams, by id."""
        return self._pool.upstreams

    def is_waiting(self, request: str) -> bool:
        """Return whether a request is waiting for a grant.

        :rtype: bool
        """
        return request in self._pool.waiting

    def waiting_items(self) -> list[WaitingRequest]:
        """List the waiting requests in no particular order.

        :rtype: list[WaitingRequest]
        """
        return list(self._pool.waiting.values())

    def take_refusal_changes(self) -> list[RefusalChange]:
        """Return and clear the changes of upstreams that start or stop refusing all requests.

        :rtype: list[RefusalChange]
        """
        closings, self._learner.refusal_changes = self._learner.refusal_changes, []
        return closings

    def take_backoffs(self) -> list[Backoff]:
        """Return and clear the backoffs of upstreams that have begun.

        :rtype: list[Backoff]
        """
        begun, self._learner.backoffs = self._learner.backoffs, []
        return begun

    # Events.

    def configure(self, spec: PoolSpec, now: float) -> list[AddressedAction]:
        """Apply a new configuration or host list.

        :return: refusals of requests whose route has no upstream any more, and new grants.
        """
        self._pool.configure(spec)
        return self._refuser.refuse_without_upstream() + self._decide(now)

    def set_allowances(
        self, allowances: Mapping[str, Allowance], now: float
    ) -> list[AddressedAction]:
        """Replace the limits that upstreams announced; an upstream not listed has no limit.

        :param allowances: token buckets by upstream.
        :return: new grants.
        """
        self._pool.set_allowances(allowances)
        return self._decide(now)

    def acquire(
        self, entry: str, domain: str, message: Acquire, now: float
    ) -> list[AddressedAction]:
        """Admit a request: grant, queue or refuse it; a repeated message changes nothing.

        :param entry: id of the entry process.
        :param domain: failure domain of the entry process.
        :rtype: list[AddressedAction]
        """
        self._entries.record_message(entry, now)
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

        item = self._builder.waiting(entry, domain, message, now)
        if known is not None and known.assigned_at:
            item.assigned_at, item.is_promised_retry = known.assigned_at, True
        refusal = self._refuser.check_arrival(item, now, settled=self._settled(now))
        if refusal is not None:
            return [refusal]
        if self.features.fair_admission:
            refusals = self._refuser.refuse_by_share(item, now, settled=self._settled(now))
            if refusals:
                return refusals
        self._pool.add_waiting(item)
        return self._refuser.make_room(item, now) + self._decide(now)

    def withdraw(self, message: Withdraw) -> None:
        """Remove a waiting request; an unknown one is ignored."""
        item = self._pool.waiting.get(message.request)
        if item is not None:
            self._pool.remove_waiting(item)

    def end_withdrawn_grant(self, entry: str, message: Withdraw, now: float) -> None:
        """End a plain service's grant whose answer was lost: its entry process asks elsewhere.

        Without this, the grant would occupy a slot for as long as many requests take together.
        """
        held = self._pool.running.get(message.request)
        if self.spec.plain and held is not None and held.entry == entry:
            self._pool.end_running(held, now)

    def release(self, domain: str, message: Release, now: float) -> list[AddressedAction]:
        """End a grant and update the estimates from its outcome.

        :param domain: failure domain of the entry process.
        :rtype: list[AddressedAction]
        """
        item = self._pool.running.get(message.request)
        if item is None or item.attempt != message.attempt:
            return []

        outcome = ReleaseOutcome(message.outcome)
        upstream = self._pool.upstreams.get(item.upstream)
        if upstream is not None:
            if self.spec.plain:
                message = record_plain_load(upstream, message, now)
            self._refund_limit(item, upstream, message)
            self._learner.learn_health(upstream, domain, outcome, now)
            self._learner.learn_declines(item, upstream, message, now)
            self._learner.learn_usage(item, upstream, outcome, message.usage, now)
            self._learner.learn_load(upstream, message, now)
        self._pool.end_running(item, now)
        if outcome not in UNSENT_OUTCOMES:
            self.admission.record_end(item.work, now - item.granted, now)
        return self._decide(now)

    def _refund_limit(self, item: RunningRequest, upstream: Upstream, message: Release) -> None:
        """Refund the upstream's limit for a request that was granted but never sent."""
        unsent = message.outcome in UNSENT_OUTCOMES and message.usage.total_s == 0.0
        if unsent and item.counts_toward_limit and upstream.allowance is not None:
            upstream.allowance.refund()

    def apply_progress(self, entry: str, message: Progress, now: float) -> list[AddressedAction]:
        """Update running requests from a progress report and end grants whose release was lost.

        :param entry: id of the entry process; the message lists all its running requests in this
            pool.
        :rtype: list[AddressedAction]
        """
        self._entries.record_message(entry, now)
        self._learner.learn_progress(message.items, now)
        listed = {item.request for item in message.items}
        ended = self._entries.end_unlisted(entry, listed, now)
        return self._decide(now) if ended else []

    def apply_first_output(self, message: FirstOutput, now: float) -> None:
        """Record that the prefill of a request is complete."""
        running = self._pool.running.get(message.request)
        if running is not None:
            self._learner.learn_first_output(running, message, now)

    def adopt(self, entry: str, message: Adopt, now: float) -> list[AddressedAction]:
        """Adopt the requests that an entry process runs under grants that are not known here.

        A later grant of the same request has crossed the message, and is returned by the process.

        :rtype: list[AddressedAction]
        """
        self._entries.record_message(entry, now)
        for item in message.items:
            upstream = self._pool.upstreams.get(item.upstream)
            waiting = self._pool.waiting.get(item.request)
            if waiting is not None and waiting.attempt > item.attempt:
                continue
            if waiting is not None:
                self._pool.remove_waiting(waiting)
            crossed = self._pool.running.get(item.request)
            if crossed is not None and crossed.entry == entry and crossed.attempt > item.attempt:
                self._pool.end_running(crossed, now)
            if upstream is not None and item.request not in self._pool.running:
                self._pool.start_running(
                    self._builder.running(entry, item, upstream, now), upstream, now
                )
        self._unsettled.discard(entry)
        return self._decide(now)

    def export_learned(self) -> Learned:
        """Export the learned speeds of the upstreams for the successor of this scheduler.

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
        """Apply the speeds that a previous scheduler learned, where they have more samples."""
        for each in message.speeds:
            upstream = self._pool.upstreams.get(each.upstream)
            if upstream is not None:
                upstream.speed.adopt_factors(each.prefill_factor, each.decode_factor, each.samples)
                upstream.invalidate_predictions()

    def export_reservations(self, now: float, *, whole: bool) -> RetryReservations | None:
        """Export the reservations of retries for the successors of this scheduler.

        :param whole: whether to export all reservations instead of what has changed.
        :return: None where there is nothing to tell.
        """
        schedule = self.admission.schedule
        if not self.features.reserved_retries:
            return None
        if whole:
            return RetryReservations(self.spec.name, True, schedule.export_all(now))
        items, ended = schedule.take_changes(now)
        if not items and not ended:
            return None
        return RetryReservations(self.spec.name, False, items, ended)

    def import_reservations(self, items: Iterable[RetryReservation], now: float) -> None:
        """Adopt the reservations of a previous scheduler.

        :param items: reservations with times relative to now.
        """
        if self.features.reserved_retries:
            self.admission.schedule.import_items(items, now)

    def remove_entry(self, entry: str, now: float) -> list[AddressedAction]:
        """Remove the waiting and running requests of a dead entry process.

        :rtype: list[AddressedAction]
        """
        self._entries.remove(entry, now)
        self._unsettled.discard(entry)
        return self._decide(now)

    def apply_load_report(self, message: LoadReport, now: float) -> list[AddressedAction]:
        """Update an upstream's draining flag and foreign load from its load report.

        The scheduler's own grants are subtracted from the reported load.

        :rtype: list[AddressedAction]
        """
        upstream = self._pool.upstreams.get(message.upstream)
        if upstream is None:
            return []

        upstream.draining = message.draining
        record_load_report(upstream, message.running + message.waiting, message.age_s, now)
        return self._decide(now)

    def suspend(self, upstreams: Iterable[str], seconds: float, now: float) -> None:
        """Suspend upstreams that fail far more often than the others, unless no other can be used.

        :param seconds: duration of the suspension; a longer one in effect is kept.
        """
        for name in upstreams:
            upstream = self._pool.upstreams.get(name)
            if upstream is not None and self._has_usable_upstream_besides(name, now):
                upstream.suspended_until = max(upstream.suspended_until, now + seconds)

    def _has_usable_upstream_besides(self, name: str, now: float) -> bool:
        """Return whether another upstream takes requests and is reached by all failure domains.

        A failure domain that is cut off may reach no other one.
        """
        return any(
            not each.leaving and now >= each.suspended_until and not each.unreachable
            for each in self._pool.upstreams.values()
            if each.spec.id != name
        )

    def apply_cache_event(self, message: CacheEvent) -> None:
        """Remove evicted blocks from the prefix index; events are delayed and incomplete."""
        self._pool.prefixes.drop_blocks(message.upstream, message.dropped)

    def tick(self, now: float) -> list[AddressedAction]:
        """Refuse expired, hopeless and late requests and grant others; call about every 50 ms.

        :rtype: list[AddressedAction]
        """
        self._unsettled.difference_update(self._entries.sweep(now))
        self._headroom.observe_running((each.rank for each in self._pool.running.values()), now)
        if self.features.fair_admission:
            self.admission.tick(now)
        actions = self._refuser.refuse_expired(now)
        if self._settled(now):
            actions += self._refuser.shed_by_forecast(now)
        return actions + self._decide(now)

    def _decide(self, now: float) -> list[AddressedAction]:
        return self._granter.grant_waiting(now) if self._settled(now) else []

    def _settled(self, now: float) -> bool:
        if self._unsettled and now < self._settle_at:
            return False
        self._unsettled.clear()
        return True
