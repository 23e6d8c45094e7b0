"""
chalkyoke.scheduling.state

The state of one pool's scheduler: upstreams, waiting requests and running requests.
"""

import math
from collections import deque
from enum import StrEnum

import msgspec

from chalkyoke.limits.allowance import Allowance
from chalkyoke.scheduling.declines import Declines
from chalkyoke.scheduling.estimates import DEFAULT_CAUTION_QUANTILE, OutputEstimate, SpeedModel
from chalkyoke.scheduling.timefactors import TimeFactor

# The size of a typical request, in tokens: the mean prompt and the mean answer. These sizes only
# affect the order in which upstreams are compared.
TYPICAL_PROMPT_TOKENS = 2000
TYPICAL_OUTPUT_TOKENS = 60
# How long the scheduler keeps its own past load at an upstream, in seconds: longer than the age of
# any load report that this load is subtracted from.
OWN_LOAD_MEMORY_S = 15.0
# Averaging window of the load by which work is shared evenly among upstreams, in seconds: some
# requests of the longest kinds.
LOAD_MEMORY_S = 10.0
# Averaging window for the share of time that an upstream spends on prefill, in seconds.
STALL_MEMORY_S = 10.0
# Upper bound of that share in predictions: streams continue between two prompts.
MAX_STALLED_SHARE = 0.6
# How much earlier a promised retry counts as due, in seconds: as long as the longest goals.
RETRY_DUE_ADVANCE_S = 1.0
# How much earlier than its assigned time a retry is ordered, in seconds: longer than any goal, so
# that it precedes all new requests of its team.
RETRY_PRECEDENCE_S = 1000.0


class ReleaseOutcome(StrEnum):
    """The outcomes of a grant."""

    DELIVERED = "delivered"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNREACHABLE = "unreachable"
    UNUSED = "unused"

    @classmethod
    def _missing_(cls, _: object) -> "ReleaseOutcome":
        """Read an outcome that a later version may have added as one that shows nothing."""
        return cls.CANCELLED


class UpstreamSpec(msgspec.Struct, frozen=True):
    """One upstream, as configuration and host list define it.

    :param slots: number of requests that the upstream runs concurrently.
    :param prefill_tokens_per_s: initial estimate, used until samples arrive.
    :param decode_tokens_per_s: initial estimate for a single stream.
    :param batch_slowdown: initial estimate of how many times slower a stream is when all slots are
        in use.
    :param cache_blocks: capacity of the prefix cache, in prompt blocks.
    :param setup_s: initial estimate of the time that a request takes besides its tokens.
    :param attention_s_per_pair: initial estimate of the time for each pair of prompt tokens; the
        cost of a prompt therefore grows faster than its length.
    :param prefill_chunk_tokens: prompt tokens that are read between two tokens of concurrent
        streams; 0 where unknown.
    :param tokens_per_event: output tokens that a stream emits in one event.
    :param extra_grants: number of grants beyond the slots, which wait at the upstream while others
        are on their way to it or from it.
    """

    id: str
    address: str
    failure_domain: str
    slots: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    batch_slowdown: float = 1.5
    cache_blocks: int = 0
    leaving: bool = False
    setup_s: float = 0.0
    attention_s_per_pair: float = 0.0
    prefill_chunk_tokens: int = 0
    tokens_per_event: int = 1
    extra_grants: int = 0

    @property
    def max_grants(self) -> int:
        """The number of concurrent grants at which the upstream counts as full."""
        return self.slots + self.extra_grants


class TierSpec(msgspec.Struct, frozen=True):
    """One tier; rank 0 is the highest."""

    name: str
    rank: int


class TeamSpec(msgspec.Struct, frozen=True):
    """One team's share and limit in a pool.

    :param weight: share relative to the other teams of the same tier.
    :param max_running: maximum number of concurrent grants; 0 means no limit.
    """

    name: str
    weight: float = 1.0
    max_running: int = 0


class RouteSpec(msgspec.Struct, frozen=True):
    """One route and the upstreams that its selector matches."""

    name: str
    upstreams: frozenset[str]


class PoolSpec(msgspec.Struct, frozen=True):
    """One pool, as configuration and host list define it.

    :param caution: quantile of the output length with which a request must still meet its deadline
        to be started while others wait. A higher quantile wastes less prefill work and delivers
        slightly fewer answers.
    :param plain: whether the upstreams are replicas of a plain service. Its requests have no
        tokens; their work is their duration, and the goal applies to the complete answer.
    """

    name: str
    upstreams: tuple[UpstreamSpec, ...] = ()
    tiers: tuple[TierSpec, ...] = ()
    teams: tuple[TeamSpec, ...] = ()
    routes: tuple[RouteSpec, ...] = ()
    caution: float = DEFAULT_CAUTION_QUANTILE
    plain: bool = False


class WaitingRequest(msgspec.Struct, eq=False):
    """A request that waits for a grant.

    :param deadline: time on the scheduler's own clock.
    :param output: learned estimate of the output tokens.
    :param work: expected duration on a typical upstream, in seconds; the fair-share cost.
    :ivar least_s: the shortest possible duration on an idle upstream, as last computed.
    :ivar late: whether the request is predicted to miss its deadline; late requests are tried last.
    :param goal: when the first output is due, on the scheduler's own clock; infinite where the
        complete answer is due by the deadline.
    :param max_retry_after_s: the longest Retry-After after which the caller can still be served in
        time.
    :param gap_goal: the longest acceptable pause between two outputs, in seconds.
    :param answer_due: when the complete answer is due, on the scheduler's own clock.
    :param fingerprint: identical for all attempts of one caller at one task; 0 where unknown.
    :param hint: the caller's own estimate of the output, in tokens; 0 where none is given.
    :param tried_upstreams: upstreams that the request was already sent to.
    :param is_promised_retry: whether the request follows a refusal with Retry-After, or resumes a
        stream.
    :param latest_start: when the request must start so that its first output and its complete
        answer are in time, on the scheduler's own clock; infinite where it was not computed.
    :param assigned_at: the time at which a retry was told to return, or at which a stream that has
        begun is to be resumed, on the scheduler's own clock; 0 where no time was assigned.
    :param is_long: whether the request holds its slot long enough to delay higher tiers.
    """

    request: str
    attempt: int
    entry: str
    domain: str
    route: str
    rank: int
    team: str
    prompt_tokens: int
    blocks: tuple[int, ...]
    arrived: float
    deadline: float
    order: int
    output: OutputEstimate
    work: float
    least_s: float = 0.0
    late: bool = False
    goal: float = math.inf
    is_long: bool = False
    max_retry_after_s: float = 0.0
    gap_goal: float = math.inf
    answer_due: float = math.inf
    fingerprint: int = 0
    is_promised_retry: bool = False
    latest_start: float = math.inf
    assigned_at: float = 0.0
    hint: int = 0
    tried_upstreams: tuple[str, ...] = ()

    @property
    def has_goal(self) -> bool:
        """Whether the first output has its own due time."""
        return self.goal < math.inf

    @property
    def due(self) -> float:
        """When the first output (with a goal) or the complete answer (without one) is due.

        A promised retry without an assigned time counts as due earlier.
        """
        due = min(self.goal, self.deadline)
        advanced = self.is_promised_retry and not self.assigned_at
        return due - RETRY_DUE_ADVANCE_S if advanced else due

    @property
    def precedence(self) -> float:
        """The order among the requests of a team, as a time: the lowest goes first.

        Requests are ordered by their due times. One that is late for its goal is ordered by the
        time at which it must start to be completed at all: a long one before a short one. Retries
        with assigned times precede all others, in the order of these times.
        """
        if self.assigned_at:
            return self.assigned_at - RETRY_PRECEDENCE_S
        if self.late and self.latest_start < math.inf:
            return self.latest_start
        return self.due


class RunningRequest(msgspec.Struct, eq=False):
    """A request that has a grant.

    :param prefill_left: uncached prompt tokens at the time of the grant.
    :param tier_index: number of tiers in the pool above the request's own.
    :param domain: failure domain of the entry process; empty where unknown.
    :param counts_toward_limit: whether the grant counts toward the limit that the upstream
        announced.
    :ivar gap_exceeded: whether the prefill of another request has already exceeded the gap goal.
    :ivar stalls_seen: the upstream's ``stall_s`` at the last progress report.
    :ivar reported_at: time of the last progress report.
    :ivar lost_seen: the time lost to the upstream's time factors, as of the same report.
    """

    request: str
    attempt: int
    entry: str
    upstream: str
    route: str
    rank: int
    team: str
    prompt_tokens: int
    expected_output: float
    work: float
    granted: float
    deadline: float
    expected_finish: float
    prefill_left: float
    expected_first_s: float = 0.0
    first_seen: bool = False
    output_tokens: int = 0
    elapsed_s: float = 0.0
    stalls_seen: float = 0.0
    lost_seen: float = 0.0
    gap_goal: float = math.inf
    tier_index: int = 0
    gap_exceeded: bool = False
    hint: int = 0
    domain: str = ""
    counts_toward_limit: bool = False
    reported_at: float = 0.0


class Upstream(msgspec.Struct, eq=False):
    """The current state of one upstream.

    :ivar failures: recent failures; each success subtracts a fraction of one.
    :ivar unreachable: consecutive connection failures.
    :ivar foreign_load: requests from other nodes, according to the last load report.
    :ivar full_at: number of requests with which the upstream last rejected one as full.
    :ivar allowance: token bucket of the limit that the upstream announced to all nodes; None where
        it announced none.
    :ivar time_factor: how long work takes there at the moment, relative to the learned speed.
    :ivar mean_load: mean number of concurrent grants, as of the last entry of ``own_load``.
    :ivar stall_s: total seconds of prefill, during which the other streams make no progress.
    :ivar stall_share: recent share of time spent on prefill, as of ``stall_updated_at``.
    """

    spec: UpstreamSpec
    speed: SpeedModel
    running: dict[str, RunningRequest] = msgspec.field(default_factory=dict)
    draining: bool = False
    foreign_load: int = 0
    foreign_load_until: float = 0.0
    full_at: int = 0
    full_at_until: float = 0.0
    failures: float = 0.0
    unreachable: int = 0
    suspended_until: float = 0.0
    unreachable_from: dict[str, float] = msgspec.field(default_factory=dict)
    declines: Declines = msgspec.field(default_factory=Declines)
    allowance: Allowance | None = None
    own_load: deque[tuple[float, int]] = msgspec.field(default_factory=deque)
    time_factor: TimeFactor = msgspec.field(default_factory=TimeFactor)
    mean_load: float = 0.0
    stall_s: float = 0.0
    stall_share: float = 0.0
    stall_updated_at: float = 0.0
    _expected_finishes: list[float] | None = None
    _prefill_outlook: tuple[float, float, float] | None = None
    _shortest_gap_goal: float | None = None
    _typical_s: float | None = None
    _idle_s: float | None = None

    @property
    def leaving(self) -> bool:
        """Whether the host list or a load report excludes the upstream from new requests."""
        return self.spec.leaving or self.draining

    def occupied(self, now: float) -> int:
        """Count the slots in use by this scheduler's grants and by reported foreign load.

        :rtype: int
        """
        foreign = self.foreign_load if now < self.foreign_load_until else 0
        return len(self.running) + foreign

    def max_grants(self, now: float) -> int:
        """Return the number of requests at which the upstream counts as full.

        :rtype: int
        """
        most = self.spec.max_grants
        return min(most, self.full_at) if now < self.full_at_until else most

    def has_slot(self, now: float) -> bool:
        """Return whether the upstream has a free slot and its announced limit allows a request.

        :rtype: bool
        """
        if self.occupied(now) >= self.max_grants(now):
            return False
        return self.allowance is None or self.allowance.is_open(now)

    def limit_opens_at(self, now: float) -> float:
        """Return when the announced limit allows one more request, regardless of slots.

        :return: time on the scheduler's clock; ``now`` where there is no limit.
        """
        return now if self.allowance is None else now + self.allowance.opens_in_s(now)

    def is_usable(self, domain: str, now: float) -> bool:
        """Return whether entry processes of a failure domain may be granted this upstream.

        Rests are checked separately, as they concern single entry processes.

        :rtype: bool
        """
        if self.leaving or now < self.suspended_until:
            return False
        if self.allowance is not None and not self.allowance.is_open(now):
            return False
        if now < self.declines.opens_at(domain, now):
            return False
        return now >= self.unreachable_from.get(domain, 0.0)

    def reopens_at(self, domain: str) -> float:
        """Return when suspension and connection backoff end for a failure domain.

        Requests in progress from that domain may end the backoff at any time.

        :return: time on the scheduler's clock; 0 where neither applies.
        """
        unreachable = self.unreachable_from.get(domain, 0.0)
        if any(each.domain == domain for each in self.running.values()):
            unreachable = 0.0
        return max(self.suspended_until, unreachable)

    def record_own_load(self, now: float) -> None:
        """Record the current number of grants, to subtract it from delayed load reports."""
        self.mean_load = self.recent_load(now)
        self.own_load.append((now, len(self.running)))
        while self.own_load and self.own_load[0][0] < now - OWN_LOAD_MEMORY_S:
            self.own_load.popleft()

    def recent_load(self, now: float) -> float:
        """Return the mean number of concurrent grants over the last seconds.

        :rtype: float
        """
        if not self.own_load:
            return 0.0
        at, count = self.own_load[-1]
        return count + (self.mean_load - count) * math.exp((at - now) / LOAD_MEMORY_S)

    def max_own_load_since(self, since: float) -> int:
        """Return the maximum number of concurrent grants since a given time.

        :rtype: int
        """
        most = len(self.running)
        for at, count in reversed(self.own_load):
            most = max(most, count)
            if at < since:
                break
        return most

    def record_stall(self, seconds: float, now: float) -> None:
        """Record the duration of a prefill, during which other streams made no progress."""
        self.stall_share = self.stalled_share(now) + seconds / STALL_MEMORY_S
        self.stall_updated_at = now
        self.stall_s += seconds
        self.invalidate_predictions()

    def stalled_share(self, now: float) -> float:
        """Return the recent share of time spent on prefill, decayed to ``now``.

        :rtype: float
        """
        return self.stall_share * math.exp((self.stall_updated_at - now) / STALL_MEMORY_S)

    def finish_slack_s(self, rank: int, now: float) -> float:
        """Return the largest delay, in seconds, with which no running request becomes late.

        Only requests of the given tier or a higher one count, and only those that are predicted to
        meet their deadlines; infinite where there are none.

        :rtype: float
        """
        # Requests with a goal have no deadline here. They are left out first, since most have one
        # and this is computed for each upstream that is compared.
        slacks = [
            item.deadline - max(now, item.expected_finish)
            for item in self.running.values()
            if item.deadline < math.inf and item.rank <= rank
        ]
        return min((each for each in slacks if each > 0), default=math.inf)

    def invalidate_predictions(self) -> None:
        """Clear values cached from the running requests; call after each change to them."""
        self._expected_finishes = None
        self._prefill_outlook = None
        self._shortest_gap_goal = None
        self._typical_s = None
        self._idle_s = None

    def idle_s(self) -> float:
        """Predict the duration of a typical request on the idle upstream, in seconds.

        :rtype: float
        """
        if self._idle_s is None:
            first = self.speed.first_time(TYPICAL_PROMPT_TOKENS, 0)
            work = first + TYPICAL_OUTPUT_TOKENS * self.speed.token_time(1)
            self._idle_s = work * self.time_factor.mean
        return self._idle_s

    def typical_s(self) -> float:
        """Predict the duration of a typical request that starts now, in seconds.

        The value is cached until the running requests change, so that many upstreams can be
        compared cheaply.

        :rtype: float
        """
        if self._typical_s is None:
            unread = (each.prefill_left for each in self.running.values() if not each.first_seen)
            first = self.speed.first_time(TYPICAL_PROMPT_TOKENS, sum(unread))
            token = self.speed.token_time(len(self.running) + 1)
            self._typical_s = first + TYPICAL_OUTPUT_TOKENS * token
        return self._typical_s

    def shortest_gap_goal(self) -> float:
        """Return the shortest gap goal of the running requests, in seconds.

        :rtype: float
        """
        if self._shortest_gap_goal is None:
            gaps = (item.gap_goal for item in self.running.values())
            self._shortest_gap_goal = min(gaps, default=math.inf)
        return self._shortest_gap_goal

    def expected_finishes(self) -> list[float]:
        """List the expected finish times of the running requests, earliest first.

        :rtype: list[float]
        """
        if self._expected_finishes is None:
            self._expected_finishes = sorted(item.expected_finish for item in self.running.values())
        return self._expected_finishes

    def prefill_outlook(self, now: float) -> tuple[float, float]:
        """Return the prefill backlog and the share of time left for decoding.

        :return: granted prompt tokens that are not yet read, and the share of time in which no
            prompt is read, so that streams make progress.
        """
        if self._prefill_outlook is None or self._prefill_outlook[0] != now:
            backlog = sum(
                item.prefill_left for item in self.running.values() if not item.first_seen
            )
            decode_share = 1.0 - min(MAX_STALLED_SHARE, self.stalled_share(now))
            self._prefill_outlook = (now, backlog, decode_share)
        return self._prefill_outlook[1:]
