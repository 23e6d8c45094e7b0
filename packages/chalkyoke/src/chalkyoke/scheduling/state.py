"""
chalkyoke.scheduling.state

What the scheduler of one pool knows: its upstreams, what waits and what runs.
"""

import math
from collections import deque
from enum import StrEnum

import msgspec

from chalkyoke.limits.allowance import Allowance
from chalkyoke.scheduling.declines import Declines
from chalkyoke.scheduling.estimates import DEFAULT_CAUTION_QUANTILE, OutputEstimate, SpeedModel

# A request of a usual size, in tokens: the mean prompt and answer of the callers' sheets. Only the
# order of upstreams hangs on it.
TYPICAL_PROMPT_TOKENS = 2000
TYPICAL_OUTPUT_TOKENS = 60
# How long a scheduler remembers what it had at an upstream, in seconds: beyond the age of any load
# report that it is compared with.
OWN_LOAD_MEMORY_S = 15.0
# Over how long the share of time that an upstream reads prompts is averaged, in seconds.
STALL_MEMORY_S = 10.0
# The largest such share that is reckoned with: streams go on between two prompts.
MAX_STALLED_SHARE = 0.6
# The least part of a stream's time that counts as its own, whatever was read beside it.
MIN_OWN_SHARE = 0.2
# How much earlier what comes back as it was told counts as due, in seconds: the longest goals seen.
RETRY_DUE_ADVANCE_S = 1.0


class ReleaseOutcome(StrEnum):
    """How a grant ended."""

    DELIVERED = "delivered"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNREACHABLE = "unreachable"
    UNUSED = "unused"


class UpstreamSpec(msgspec.Struct, frozen=True):
    """What configuration and host list say of one upstream.

    :param slots: how many requests it runs at once.
    :param prefill_tokens_per_s: first guess, until work has been measured.
    :param decode_tokens_per_s: first guess for a single stream.
    :param batch_slowdown: first guess: how many times slower a stream is when all slots run.
    :param cache_blocks: prompt blocks that its prefix cache holds.
    :param setup_s: first guess of what a request takes besides its tokens.
    :param attention_s_per_pair: first guess of what each pair of prompt tokens takes; it makes long
        prompts dearer than in proportion.
    :param prefill_chunk_tokens: prompt tokens that are read between two tokens of the streams that
        run beside; 0 where this is not known.
    :param tokens_per_event: output tokens that a stream gives out at once.
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


class TierSpec(msgspec.Struct, frozen=True):
    """One tier; rank 0 is the highest."""

    name: str
    rank: int


class TeamSpec(msgspec.Struct, frozen=True):
    """One team's share and limit in a pool.

    :param weight: share against the other teams of the same tier.
    :param max_running: grants held at once; 0 is no limit.
    """

    name: str
    weight: float = 1.0
    max_running: int = 0


class RouteSpec(msgspec.Struct, frozen=True):
    """One route and the upstreams that its selector matches."""

    name: str
    upstreams: frozenset[str]


class PoolSpec(msgspec.Struct, frozen=True):
    """All that configuration and host list say of one pool.

    :param caution: how sure a request's deadline must be before it is started while others wait:
        a quantile of the output length. More wastes less prompt work, and delivers a little less.
    """

    name: str
    upstreams: tuple[UpstreamSpec, ...] = ()
    tiers: tuple[TierSpec, ...] = ()
    teams: tuple[TeamSpec, ...] = ()
    routes: tuple[RouteSpec, ...] = ()
    caution: float = DEFAULT_CAUTION_QUANTILE


class WaitingRequest(msgspec.Struct, eq=False):
    """One request that waits for a grant.

    :param deadline: on the scheduler's own clock.
    :param output: output tokens, as learned.
    :param work: seconds that it is expected to take on a typical upstream; its fair-share cost.
    :ivar least_s: the least time that it could take on an idle upstream, as last worked out.
    :ivar late: whether it is predicted to miss its deadline; such a request is tried last.
    :param goal: when the first output is due, on the scheduler's own clock; infinite where the
        whole answer is due by the deadline.
    :param comes_back_s: how long its caller may be told to stay away.
    :param gap_goal: the longest pause between its outputs that is in time, in seconds.
    :param whole: when the whole answer is due, on the scheduler's own clock.
    :param fingerprint: the same for each attempt of one caller at one thing; 0 where not known.
    :param hint: its caller's own estimate of its output, in tokens; 0 where it gave none.
    :param tried: upstreams that it was sent to already.
    :param returning: whether it comes back after a refusal that told it when.
    :param long: whether it holds a slot for long beside what higher tiers wait for.
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
    hint: int = 0
    tried_upstreams: tuple[str, ...] = ()

    @property
    def has_goal(self) -> bool:
        """Whether the first output is due by a time of its own."""
        return self.goal < math.inf

    @property
    def due(self) -> float:
        """When it should be done: the first output where it has a goal, else the whole.

        What comes back as it was told goes before what is new.
        """
        due = min(self.goal, self.deadline)
        return due - RETRY_DUE_ADVANCE_S if self.is_promised_retry else due


class RunningRequest(msgspec.Struct, eq=False):
    """One request that holds a grant.

    :param prefill_left: prompt tokens to be read when it was granted.
    :param tier_index: how many tiers of the pool are higher than its own.
    :param domain: failure domain of its entry process; empty where that is not known.
    :param counted: whether it is counted in the limit that its upstream has named.
    :ivar held_up: whether a prompt beside it has made a pause already that it can't bear.
    :ivar stalls_seen: the upstream's stall seconds when its progress was last told.
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
    gap_goal: float = math.inf
    tier_index: int = 0
    gap_exceeded: bool = False
    hint: int = 0
    domain: str = ""
    counts_toward_limit: bool = False


class Upstream(msgspec.Struct, eq=False):
    """One upstream as the scheduler sees it now.

    :ivar failures: failures lately; each success takes a part of one away.
    :ivar unreachable: connections that could not be opened, one after the other.
    :ivar allowance: what it takes from all nodes; nothing where it names no limit.
    :ivar stall_s: seconds that it has spent reading prompts; its other streams stand still then.
    :ivar stall_share: the share of its time that this took lately.
    """

    spec: UpstreamSpec
    speed: SpeedModel
    running: dict[str, RunningRequest] = msgspec.field(default_factory=dict)
    draining: bool = False
    foreign_load: int = 0
    foreign_load_until: float = 0.0
    failures: float = 0.0
    unreachable: int = 0
    suspended_until: float = 0.0
    unreachable_from: dict[str, float] = msgspec.field(default_factory=dict)
    declines: Declines = msgspec.field(default_factory=Declines)
    allowance: Allowance | None = None
    own_load: deque[tuple[float, int]] = msgspec.field(default_factory=deque)
    stall_s: float = 0.0
    stall_share: float = 0.0
    stall_updated_at: float = 0.0
    _ends: list[float] | None = None
    _outlook: tuple[float, float, float] | None = None
    _shortest_gap: float | None = None
    _typical_s: float | None = None

    @property
    def leaving(self) -> bool:
        """Whether any signal says that it gets no new work."""
        return self.spec.leaving or self.draining

    def occupied(self, now: float) -> int:
        """Count the slots in use: granted here, and seen in load reports from elsewhere.

        :rtype: int
        """
        foreign = self.foreign_load if now < self.foreign_load_until else 0
        return len(self.running) + foreign

    def has_slot(self, now: float) -> bool:
        """Tell whether a grant would find a free slot, and be within the limit that it names.

        :rtype: bool
        """
        if self.occupied(now) >= self.spec.slots:
            return False
        return self.allowance is None or self.allowance.is_open(now)

    def limit_opens_at(self, now: float) -> float:
        """Tell when it takes one more request by the limit that it names, slots aside.

        :return: on the scheduler's clock.
        """
        return now if self.allowance is None else now + self.allowance.opens_in_s(now)

    def is_usable(self, domain: str, now: float) -> bool:
        """Tell whether an entry process of a failure domain may be sent here, rests aside.

        :rtype: bool
        """
        if self.leaving or now < self.suspended_until:
            return False
        if self.allowance is not None and not self.allowance.is_open(now):
            return False
        if now < self.declines.opens_at(domain, now):
            return False
        return now >= self.unreachable_from.get(domain, 0.0)

    def record_own_load(self, now: float) -> None:
        """Remember how much was granted here, to tell it apart in lagged reports."""
        self.own_load.append((now, len(self.running)))
        while self.own_load and self.own_load[0][0] < now - OWN_LOAD_MEMORY_S:
            self.own_load.popleft()

    def max_own_load_since(self, since: float) -> int:
        """Give the highest number of grants held at any time since a moment.

        :rtype: int
        """
        recent = [count for at, count in self.own_load if at >= since]
        before = [count for at, count in self.own_load if at < since]
        return max([*recent, *before[-1:], len(self.running)])

    def record_stall(self, seconds: float, now: float) -> None:
        """Note that it has read a prompt."""
        self.stall_share = self.stalled_share(now) + seconds / STALL_MEMORY_S
        self.stall_updated_at = now
        self.stall_s += seconds
        self.invalidate_predictions()

    def stalled_share(self, now: float) -> float:
        """Give the share of its time that reading prompts took lately.

        :rtype: float
        """
        return self.stall_share * math.exp((self.stall_updated_at - now) / STALL_MEMORY_S)

    def finish_slack_s(self, rank: int, now: float) -> float:
        """Give the delay that its running requests of a tier or higher bear, in seconds.

        Requests that miss their deadlines anyway are left out.

        :rtype: float
        """
        slacks = [
            item.deadline - max(now, item.expected_finish)
            for item in self.running.values()
            if item.rank <= rank
        ]
        return min((each for each in slacks if each > 0), default=math.inf)

    def invalidate_predictions(self) -> None:
        """Forget what is kept of the running requests; call after each change of them."""
        self._ends = None
        self._outlook = None
        self._shortest_gap = None
        self._typical_s = None

    def idle_s(self) -> float:
        """Predict a request of a usual size here if nothing else ran, in seconds.

        :rtype: float
        """
        speed = self.speed
        return speed.first_time(
            TYPICAL_PROMPT_TOKENS, 0
        ) + TYPICAL_OUTPUT_TOKENS * speed.token_time(1)

    def typical_s(self) -> float:
        """Predict a request of a usual size that starts here now, in seconds.

        It is kept until what runs here changes, to compare many upstreams at little cost.

        :rtype: float
        """
        if self._typical_s is None:
            unread = (each.prefill_left for each in self.running.values() if not each.first_seen)
            first = self.speed.first_time(TYPICAL_PROMPT_TOKENS, sum(unread))
            token = self.speed.token_time(len(self.running) + 1)
            self._typical_s = first + TYPICAL_OUTPUT_TOKENS * token
        return self._typical_s

    def shortest_gap_goal(self) -> float:
        """Give the shortest pause that one of its running requests can bear, in seconds.

        :rtype: float
        """
        if self._shortest_gap is None:
            gaps = (item.gap_goal for item in self.running.values())
            self._shortest_gap = min(gaps, default=math.inf)
        return self._shortest_gap

    def expected_finishes(self) -> list[float]:
        """List when the running requests are expected to end, earliest first.

        :rtype: list[float]
        """
        if self._ends is None:
            self._ends = sorted(item.expected_finish for item in self.running.values())
        return self._ends

    def prefill_outlook(self, now: float) -> tuple[float, float]:
        """Say what stands before a new request.

        :return: prompt tokens that are granted and not yet read, and the share of time in which
            streams move on, that is, in which no prompt is read.
        """
        if self._outlook is None or self._outlook[0] != now:
            backlog = sum(
                item.prefill_left for item in self.running.values() if not item.first_seen
            )
            moving = 1.0 - min(MAX_STALLED_SHARE, self.stalled_share(now))
            self._outlook = (now, backlog, moving)
        return self._outlook[1:]


class TokenSample(msgspec.Struct):
    """Output tokens of one upstream's streams and the seconds that they took."""

    tokens: int = 0
    seconds: float = 0.0

    def add(
        self, item: RunningRequest, upstream: Upstream, output_tokens: int, elapsed_s: float
    ) -> None:
        """Add what one stream did since its progress was last told.

        The seconds in which the upstream read other prompts are left out.
        """
        seconds = elapsed_s - item.elapsed_s
        stalled = upstream.stall_s - item.stalls_seen
        item.stalls_seen = upstream.stall_s
        self.tokens += output_tokens - item.output_tokens
        self.seconds += max(MIN_OWN_SHARE * seconds, seconds - stalled)
