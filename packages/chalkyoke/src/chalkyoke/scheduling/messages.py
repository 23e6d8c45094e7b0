"""
chalkyoke.scheduling.messages

What entry processes and pool schedulers say to each other. All durations are in seconds, and
relative, so that no two clocks are ever compared.
"""

import msgspec

from chalkyoke.outcomes import Reason


class Acquire(msgspec.Struct, frozen=True, array_like=True, tag="acquire"):
    """Ask the scheduler of a pool for an upstream; sent again it changes nothing.

    :param request: id of the request, unique over the fleet.
    :param attempt: counts the grants that could not be used.
    :param blocks: chained hashes of the prompt's leading blocks.
    :param budget_s: time left until the deadline.
    :param waited_s: time since the request arrived at its entry host.
    :param goal_s: time left in which the first output is due; 0 where the whole answer is due by
        the deadline. With a goal, the deadline is the moment by which the first output must have
        come for the caller to be still there.
    :param comes_back_s: how long its caller may be told to stay away and still come back in time.
    :param gap_goal_s: the longest pause between outputs that is in time; 0 where none is named.
    :param whole_s: time left for the whole answer, beside a goal for the first output.
    :param fingerprint: the same for each attempt of one caller at one thing; 0 where not known.
    :param likely_output: the caller's own estimate of its output, in tokens; 0 where it gives none.
    :param tried: upstreams that it was sent to already; others are better.
    """

    request: str
    attempt: int
    pool: str
    route: str
    tier: str
    team: str
    prompt_tokens: int
    max_output: int
    blocks: tuple[int, ...]
    budget_s: float
    waited_s: float
    goal_s: float = 0.0
    likely_output: int = 0
    max_retry_after_s: float = 0.0
    gap_goal_s: float = 0.0
    answer_due_s: float = 0.0
    fingerprint: int = 0
    tried_upstreams: tuple[str, ...] = ()


class Queued(msgspec.Struct, frozen=True, array_like=True, tag="queued"):
    """Tell an entry process that its request waits here, so that it need not ask elsewhere."""

    request: str
    attempt: int
    pool: str


class Grant(msgspec.Struct, frozen=True, array_like=True, tag="grant"):
    """Allow one dispatch to one upstream.

    :param priority: rank of the tier, for engines that honour priorities; 0 goes first.
    :param expected_first_s: predicted time from the dispatch to the first output.
    :param counted: whether it is counted in the limit that the upstream has named.
    """

    request: str
    attempt: int
    pool: str
    upstream: str
    address: str
    priority: int
    expected_first_s: float = 0.0
    counts_toward_limit: bool = False


class Shed(msgspec.Struct, frozen=True, array_like=True, tag="shed"):
    """Give a request up before it ran."""

    request: str
    attempt: int
    pool: str
    reason: Reason
    retry_after_s: float | None


class Withdraw(msgspec.Struct, frozen=True, array_like=True, tag="withdraw"):
    """Take a waiting request back."""

    request: str
    pool: str


class Usage(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream did for one request.

    :param cached_tokens: prompt tokens found in the prefix cache; -1 where not told.
    :param first_s: from dispatch to the first byte; -1 where none came.
    :param total_s: from dispatch to the end.
    """

    prompt_tokens: int = 0
    cached_tokens: int = -1
    output_tokens: int = 0
    first_s: float = -1.0
    total_s: float = 0.0


class Release(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """Give a grant back.

    :param outcome: one of :class:`~chalkyoke.scheduling.state.ReleaseOutcome`.
    :param declined: whether the upstream turned the request away and did not run it. Only the first
        time that this happens to a request: later ones may be its own.
    :param rest_s: how much longer the upstream wants nothing of the entry process; 0 where it did
        not say so.
    """

    request: str
    attempt: int
    pool: str
    outcome: str
    usage: Usage
    declined: bool = False
    rest_s: float = 0.0


class FirstOutput(msgspec.Struct, frozen=True, array_like=True, tag="first_output"):
    """Tell at once that a request's first output has come: its prompt has been read.

    :param first_s: from dispatch to the first output.
    """

    request: str
    pool: str
    first_s: float


class ProgressItem(msgspec.Struct, frozen=True, array_like=True):
    """How far one running request has come."""

    request: str
    output_tokens: int
    first_s: float
    elapsed_s: float


class Progress(msgspec.Struct, frozen=True, array_like=True, tag="progress"):
    """How far the running requests of one entry process have come, sent about once a second."""

    pool: str
    items: tuple[ProgressItem, ...]


class RunningItem(msgspec.Struct, frozen=True, array_like=True):
    """One request that is running, told to a new scheduler."""

    request: str
    attempt: int
    upstream: str
    tier: str
    team: str
    route: str
    prompt_tokens: int
    max_output: int
    output_tokens: int
    elapsed_s: float


class AdoptRequest(msgspec.Struct, frozen=True, array_like=True, tag="adopt_request"):
    """A scheduler that has just begun asks an entry process what it has running."""

    pool: str


class Adopt(msgspec.Struct, frozen=True, array_like=True, tag="adopt"):
    """Tell a new scheduler of a pool what this entry process has running."""

    pool: str
    items: tuple[RunningItem, ...]


class LearnedSpeed(msgspec.Struct, frozen=True, array_like=True):
    """How fast one upstream has been found to be, against the first guesses.

    :param samples: how many first outputs this is learned from.
    """

    upstream: str
    prefill_factor: float
    decode_factor: float
    samples: int


class Learned(msgspec.Struct, frozen=True, array_like=True, tag="learned"):
    """What an earlier scheduler of a pool tells its successor."""

    pool: str
    speeds: tuple[LearnedSpeed, ...]


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """What an upstream says of itself; stale by the time it is read.

    :param age_s: how old the figures are at least.
    :param draining: whether the upstream says that it is leaving.
    """

    upstream: str
    running: int
    waiting: int
    age_s: float
    draining: bool = False


class CacheEvent(msgspec.Struct, frozen=True, array_like=True, tag="cache"):
    """Blocks that an engine says it dropped from its prefix cache; late and with gaps."""

    upstream: str
    dropped: tuple[int, ...]


Action = Grant | Shed
EntryMessage = Acquire | Withdraw | Release | FirstOutput | Progress | Adopt | Learned
