"""
chalkyoke.scheduling.learning

Learn from running and finished requests: speeds, output lengths, prefix caches, upstream health and
fair shares.
"""

import msgspec

from chalkyoke.scheduling.estimates import HintModel, OutputEstimate, OutputModel
from chalkyoke.scheduling.messages import Acquire, FirstOutput, ProgressItem, Release, Usage
from chalkyoke.scheduling.placement import BLOCK_TOKENS, Features
from chalkyoke.scheduling.pool import PoolState
from chalkyoke.scheduling.samples import TokenSample
from chalkyoke.scheduling.state import ReleaseOutcome, RunningRequest, Upstream
from chalkyoke.scheduling.versionroutes import without_version

# Number of recent failures that suspends an upstream: a single one may be the request's own fault.
FAILURES_TO_SUSPEND = 2.0
# Failures that one success cancels: three successes cancel one failure.
FAILURES_FORGIVEN_PER_SUCCESS = 0.34
# Weight of a failure of a plain service's replica: some routes fail one request in seven anywhere.
# The service's observer compares replicas and names those that fail far more often than others.
PLAIN_FAILURE_WEIGHT = 0.3
# Upper bound of the failure count, so that an upstream is retried soon after a long outage.
MAX_FAILURES = 6.0
# Initial backoff of an upstream, doubled with each further failure (for connections already with
# the first one), and maximum backoff, in seconds. Smaller values send more requests to an upstream
# that still fails; larger ones leave the capacity of a recovered upstream unused for longer.
BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0


class RefusalChange(msgspec.Struct, frozen=True):
    """A change: an upstream starts or stops refusing all requests.

    :param refuses: whether the upstream refuses all requests from now on.
    """

    upstream: str
    refuses: bool


class Backoff(msgspec.Struct, frozen=True):
    """An upstream gets no requests for some time, since a host failed to use it.

    :param domain: failure domain whose requests are kept away; empty for all.
    :param for_s: duration in seconds.
    """

    upstream: str
    domain: str
    for_s: float


class Learner:
    """Update the estimates of a pool from reports and outcomes.

    :param pool: state of the pool, which is updated in place.
    """

    def __init__(self, pool: PoolState, features: Features) -> None:
        self.outputs = OutputModel(pool.spec.caution)
        self.hints = HintModel()
        self.refusal_changes: list[RefusalChange] = []
        self.backoffs: list[Backoff] = []
        self._pool = pool
        self._features = features

    def estimate_output(self, message: Acquire) -> OutputEstimate:
        """Estimate the output of a request from its hint or from earlier outputs.

        :rtype: OutputEstimate
        """
        if message.likely_output:
            around = self.hints.estimate(message.route, message.likely_output)
            return around.capped(message.max_output)
        if self._features.learn:
            return self.outputs.predict(message.route, message.team, message.max_output)
        most = float(message.max_output)
        return OutputEstimate(most / 2, most / 8, most / 2)

    def learn_progress(self, items: tuple[ProgressItem, ...], now: float) -> None:
        """Update token speeds and expected finish times from progress reports."""
        known = [(self._pool.running.get(item.request), item) for item in items]
        for running, item in known:
            if running is not None:
                running.reported_at = now
                self._learn_first(running, item.first_s, now)
        samples: dict[str, TokenSample] = {}
        for running, item in known:
            if running is not None:
                self._record_progress(running, item, samples, now)
        self._learn_samples(samples)
        for running, _ in known:
            if running is not None and running.upstream in self._pool.upstreams:
                upstream = self._pool.upstreams[running.upstream]
                running.expected_finish = now + self.remaining_s(running, upstream, now)
        for upstream in self._pool.upstreams.values():
            upstream.invalidate_predictions()

    def learn_first_output(self, item: RunningRequest, message: FirstOutput, now: float) -> None:
        """Update the prefill speed, the decline state and the load from a first output."""
        self._learn_first(item, message.first_s, now)
        upstream = self._pool.upstreams.get(item.upstream)
        if upstream is not None:
            self._record_served(item, upstream, now)
            self.learn_load(upstream, message, now)
            upstream.invalidate_predictions()

    def learn_load(self, upstream: Upstream, message: FirstOutput | Release, now: float) -> None:
        """Record the time factor that an answer reported; nothing where it carried no load.

        The numbers of running and waiting requests are not used: they count this scheduler's own
        grants as of another moment, so that a difference to them says little about other load.
        """
        if self._features.time_factors and message.slots:
            upstream.time_factor.record(message.time_factor, now)

    def learn_health(
        self, upstream: Upstream, domain: str, outcome: ReleaseOutcome, now: float
    ) -> None:
        """Update failure counts and suspensions of an upstream from an outcome.

        :param domain: failure domain of the entry process.
        """
        if outcome is ReleaseOutcome.DELIVERED:
            upstream.failures = max(0.0, upstream.failures - FAILURES_FORGIVEN_PER_SUCCESS)
            upstream.unreachable = 0
            upstream.unreachable_from.pop(domain, None)
        elif outcome is ReleaseOutcome.UNREACHABLE:
            upstream.unreachable += 1
            backoff = min(MAX_BACKOFF_S, BACKOFF_S * 2 ** min(upstream.unreachable, 10))
            upstream.unreachable_from[domain] = now + backoff
            self.backoffs.append(Backoff(upstream.spec.id, domain, backoff))
        elif outcome is ReleaseOutcome.FAILED:
            weight = PLAIN_FAILURE_WEIGHT if self._pool.spec.plain else 1.0
            upstream.failures = min(MAX_FAILURES, upstream.failures + weight)
            if upstream.failures >= FAILURES_TO_SUSPEND and self._may_suspend(now):
                excess_failures = int(upstream.failures - FAILURES_TO_SUSPEND)
                backoff = min(MAX_BACKOFF_S, BACKOFF_S * 2**excess_failures)
                upstream.suspended_until = now + backoff
                self.backoffs.append(Backoff(upstream.spec.id, "", backoff))

    def learn_declines(
        self, item: RunningRequest, upstream: Upstream, message: Release, now: float
    ) -> None:
        """Update rests and declines of an upstream from the end of a grant."""
        if message.rest_s > 0:
            upstream.declines.record_rest(item.entry, message.rest_s, now)
        if message.declined:
            self._record_declined(item, upstream, now)
        elif message.outcome == ReleaseOutcome.DELIVERED:
            self._record_served(item, upstream, now)

    def _record_declined(self, item: RunningRequest, upstream: Upstream, now: float) -> None:
        refused = upstream.declines.refuses_all
        upstream.declines.record_decline(item.domain, item.granted, now)
        if upstream.declines.refuses_all and not refused:
            self.refusal_changes.append(RefusalChange(upstream.spec.id, refuses=True))

    def _record_served(self, item: RunningRequest, upstream: Upstream, now: float) -> None:
        refused = upstream.declines.refuses_all
        upstream.declines.record_served(item.domain, item.granted, now)
        if refused and not upstream.declines.refuses_all:
            self.refusal_changes.append(RefusalChange(upstream.spec.id, refuses=False))

    def _may_suspend(self, now: float) -> bool:
        """Return whether one more upstream may be suspended.

        At most half of the upstreams (but at least one) may be, so that a pool does not lose all
        its upstreams on suspicion.
        """
        upstreams = self._pool.upstreams.values()
        suspended = sum(1 for each in upstreams if now < each.suspended_until)
        return suspended + 1 <= max(1, len(upstreams) // 2)

    def learn_usage(
        self,
        item: RunningRequest,
        upstream: Upstream,
        outcome: ReleaseOutcome,
        usage: Usage,
        now: float,
    ) -> None:
        """Correct the team's fair share by the work used, and learn lengths, speeds and caches."""
        weight = self._pool.weight(item.team)
        if outcome in (ReleaseOutcome.UNUSED, ReleaseOutcome.UNREACHABLE):
            self._pool.queues[item.rank].charge_team(item.team, -item.work, weight)
            return

        actual = self._actual_work_s(item, usage)
        self._pool.queues[item.rank].charge_team(item.team, actual - item.work, weight)
        if not self._features.learn:
            return
        self._learn_first(item, usage.first_s, now)
        route = without_version(item.route)
        if item.hint and usage.output_tokens:
            whole = outcome is ReleaseOutcome.DELIVERED
            self.hints.learn(route, item.hint, usage.output_tokens, whole=whole)
        if outcome is not ReleaseOutcome.DELIVERED:
            return

        self.outputs.learn(route, item.team, usage.output_tokens)
        if usage.output_tokens > item.output_tokens:
            sample = TokenSample()
            sample.add(item, upstream, usage.output_tokens, usage.total_s, now)
            self._learn_samples({item.upstream: sample})
        if usage.cached_tokens >= 0:
            expected = (item.prompt_tokens - item.prefill_left) // BLOCK_TOKENS
            found = usage.cached_tokens // BLOCK_TOKENS
            self._pool.prefixes.correct_capacity(upstream.spec.id, int(expected), found)

    def _actual_work_s(self, item: RunningRequest, usage: Usage) -> float:
        """Return the work of a request that has ended: its duration where the service is plain."""
        if self._pool.spec.plain:
            self._pool.learn_request_s(usage.total_s)
            return usage.total_s
        cached = max(0, usage.cached_tokens)
        return self._pool.work_s(max(0, item.prompt_tokens - cached), usage.output_tokens)

    def _learn_first(self, item: RunningRequest, first_s: float, now: float) -> None:
        """Update the prefill speed from a first token and mark the prefill as complete."""
        upstream = self._pool.upstreams.get(item.upstream)
        if upstream is None or item.first_seen or first_s <= 0:
            return
        item.first_seen = True
        stall_s = upstream.speed.prefill_time(item.prefill_left)
        upstream.record_stall(stall_s * upstream.time_factor.current(now), now)
        item.stalls_seen = upstream.stall_s
        item.lost_seen = upstream.time_factor.total_lost_s(now)
        if self._features.learn:
            upstream.speed.learn_first(item.expected_first_s, first_s)
        item.elapsed_s = first_s
        item.output_tokens = 1

    def _record_progress(
        self,
        item: RunningRequest,
        seen: ProgressItem,
        samples: dict[str, TokenSample],
        now: float,
    ) -> None:
        upstream = self._pool.upstreams.get(item.upstream)
        if upstream is None or seen.output_tokens < item.output_tokens:
            return
        if item.first_seen:
            sample = samples.setdefault(item.upstream, TokenSample())
            sample.add(item, upstream, seen.output_tokens, seen.elapsed_s, now)
        item.output_tokens = seen.output_tokens
        item.elapsed_s = seen.elapsed_s

    def _learn_samples(self, samples: dict[str, TokenSample]) -> None:
        """Update the decode speeds with one sample per upstream over all its streams."""
        if not self._features.learn:
            return
        for name, sample in samples.items():
            upstream = self._pool.upstreams[name]
            upstream.speed.learn_tokens(sample.tokens, sample.seconds, len(upstream.running))

    def remaining_s(self, item: RunningRequest, upstream: Upstream, now: float) -> float:
        """Predict the remaining time of a running request, in seconds."""
        if self._pool.spec.plain:
            return max(0.0, upstream.speed.first_time(0, 0) - item.elapsed_s)
        left = max(item.expected_output - item.output_tokens, 0.25 * item.output_tokens, 1.0)
        _, decode_share = upstream.prefill_outlook(now)
        seconds = left * upstream.speed.token_time(len(upstream.running)) / decode_share
        if not item.first_seen:
            seconds += upstream.speed.prefill_time(item.prefill_left)
        return upstream.time_factor.lengthen(seconds, now)
