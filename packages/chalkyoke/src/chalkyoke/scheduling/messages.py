"""
chalkyoke.scheduling.messages

The messages between entry processes and pool schedulers. All times are relative durations in
seconds, so that clocks of different nodes are never compared.
"""

import msgspec

from chalkyoke.decoding.bounds import Fingerprint, Finite, Integer
from chalkyoke.outcomes import Reason


class Acquire(msgspec.Struct, frozen=True, array_like=True, tag="acquire"):
    """Request an upstream from the scheduler of a pool; a repeated message changes nothing.

    :param request: id of the request, unique in the fleet.
    :param attempt: number of the attempt; it increases with each grant that could not be used.
    :param blocks: chained hashes of the prompt's leading blocks.
    :param budget_s: time left until the deadline.
    :param waited_s: time since the request arrived at its entry host.
    :param goal_s: time left until the first output is due; 0 where the complete answer is due by
        the deadline. With a goal, the deadline is the time by which the first output must arrive
        before the caller disconnects.
    :param comes_back_s: the longest Retry-After after which the caller can still be served in
        time.
    :param gap_goal_s: the longest acceptable pause between outputs; 0 where none is set.
    :param whole_s: time left for the complete answer, in addition to the goal for the first
        output.
    :param fingerprint: identical for all attempts of one caller at one task; 0 where unknown.
    :param likely_output: the caller's own estimate of the output, in tokens; 0 where none is given.
    :param tried: upstreams that the request was already sent to; others are preferred.
    :param version: software version of the upstreams that may run the request; None for any.
        Schedulers of older builds do not read it.
    """

    request: str
    attempt: Integer
    pool: str
    route: str
    tier: str
    team: str
    prompt_tokens: Integer
    max_output: Integer
    blocks: tuple[int, ...]
    budget_s: Finite
    waited_s: Finite
    goal_s: Finite = 0.0
    likely_output: Integer = 0
    comes_back_s: Finite = 0.0
    gap_goal_s: Finite = 0.0
    whole_s: Finite = 0.0
    fingerprint: int = 0
    tried: tuple[str, ...] = ()
    version: str | None = None


class Queued(msgspec.Struct, frozen=True, array_like=True, tag="queued"):
    """Confirm to an entry process that its request is queued, so that it sends no other acquire."""

    request: str
    attempt: Integer
    pool: str


class Grant(msgspec.Struct, frozen=True, array_like=True, tag="grant"):
    """Allow one dispatch to one upstream.

    :param priority: rank of the tier, for engines that honour priorities; 0 goes first.
    :param expected_first_s: predicted time from the dispatch to the first output.
    :param counted: whether the grant counts toward the limit that the upstream
        announced.
    """

    request: str
    attempt: Integer
    pool: str
    upstream: str
    address: str
    priority: Integer
    expected_first_s: Finite = 0.0
    counted: bool = False


class Shed(msgspec.Struct, frozen=True, array_like=True, tag="shed"):
    """Refuse a request before it runs."""

    request: str
    attempt: Integer
    pool: str
    reason: Reason
    retry_after_s: Finite | None


class Withdraw(msgspec.Struct, frozen=True, array_like=True, tag="withdraw"):
    """Cancel a waiting request."""

    request: str
    pool: str


class Usage(msgspec.Struct, frozen=True, array_like=True):
    """Report what an upstream did for one request.

    :param cached_tokens: prompt tokens found in the prefix cache; -1 where not reported.
    :param first_s: time from the dispatch to the first byte; -1 where none arrived.
    :param total_s: time from the dispatch to the end.
    """

    prompt_tokens: Integer = 0
    cached_tokens: Integer = -1
    output_tokens: Integer = 0
    first_s: Finite = -1.0
    total_s: Finite = 0.0


class Release(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """Release a grant.

    :param outcome: one of :class:`~chalkyoke.scheduling.state.ReleaseOutcome`; later versions may
        add others.
    :param declined: whether the upstream declined the request without running it. Set only for the
        first decline of a request: later ones may be caused by the request itself.
    :param rest_s: remaining time for which the upstream asks the entry process to send nothing; 0
        where it does not.
    :param running: requests running at the upstream, according to the answer's load report.
    :param waiting: requests waiting there.
    :param slots: its slots; 0 where the answer carried no load report.
    :param time_factor: how long work takes there at the moment, as a factor of the usual time.
    """

    request: str
    attempt: Integer
    pool: str
    outcome: str
    usage: Usage
    declined: bool = False
    rest_s: Finite = 0.0
    running: Integer = 0
    waiting: Integer = 0
    slots: Integer = 0
    time_factor: Finite = 1.0


class FirstOutput(msgspec.Struct, frozen=True, array_like=True, tag="first_output"):
    """Report the first output of a request immediately: its prefill is complete.

    :param first_s: time from the dispatch to the first output.
    :param running: requests running at the upstream, according to the answer's load report.
    :param waiting: requests waiting there.
    :param slots: its slots; 0 where the answer carried no load report.
    :param time_factor: how long work takes there at the moment, as a factor of the usual time.
    """

    request: str
    pool: str
    first_s: Finite
    running: Integer = 0
    waiting: Integer = 0
    slots: Integer = 0
    time_factor: Finite = 1.0


class ProgressItem(msgspec.Struct, frozen=True, array_like=True):
    """Report the progress of one running request."""

    request: str
    output_tokens: Integer
    first_s: Finite
    elapsed_s: Finite


class Progress(msgspec.Struct, frozen=True, array_like=True, tag="progress"):
    """Report the progress of an entry process's running requests; sent about once a second."""

    pool: str
    items: tuple[ProgressItem, ...]


class RunningItem(msgspec.Struct, frozen=True, array_like=True):
    """A running request, as described to a new scheduler."""

    request: str
    attempt: Integer
    upstream: str
    tier: str
    team: str
    route: str
    prompt_tokens: Integer
    max_output: Integer
    output_tokens: Integer
    elapsed_s: Finite


class AdoptRequest(msgspec.Struct, frozen=True, array_like=True, tag="adopt_request"):
    """Ask an entry process for its running requests; sent by a scheduler that has just started."""

    pool: str


class Adopt(msgspec.Struct, frozen=True, array_like=True, tag="adopt"):
    """Report the running requests of an entry process to the new scheduler of a pool."""

    pool: str
    items: tuple[RunningItem, ...]


class LearnedSpeed(msgspec.Struct, frozen=True, array_like=True):
    """Report the learned speed of one upstream, as factors of the initial estimates.

    :param samples: number of first outputs that the factors are learned from.
    """

    upstream: str
    prefill_factor: Finite
    decode_factor: Finite
    samples: Integer


class Learned(msgspec.Struct, frozen=True, array_like=True, tag="learned"):
    """Hand the learned speeds of a pool over to the next scheduler."""

    pool: str
    speeds: tuple[LearnedSpeed, ...]


class RetryReservation(msgspec.Struct, frozen=True, array_like=True):
    """Capacity that is reserved for the retry of one refused request.

    :param in_s: time until the assigned time, in seconds; negative where it has passed.
    :param work: reserved work, in seconds on an average upstream.
    :param claims: number of callers that were told the assigned time.
    """

    fingerprint: Fingerprint
    rank: Integer
    team: str
    in_s: Finite
    work: Finite
    claims: Integer = 1


class RetryReservations(msgspec.Struct, frozen=True, array_like=True, tag="retry_reservations"):
    """Copy the reservations of a pool's retries to the next schedulers in order.

    :param whole: whether the items are all reservations; otherwise those added since the last
        message.
    :param ended: fingerprints whose reservations have ended since the last message.
    """

    pool: str
    whole: bool
    items: tuple[RetryReservation, ...]
    ended: tuple[int, ...] = ()


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """Report an upstream's load; the values are outdated when the message arrives.

    :param age_s: minimum age of the values.
    :param draining: whether the upstream reports that it is leaving.
    """

    upstream: str
    running: Integer
    waiting: Integer
    age_s: Finite
    draining: bool = False


class CacheEvent(msgspec.Struct, frozen=True, array_like=True, tag="cache"):
    """Report blocks that an engine evicted from its prefix cache; delayed and incomplete."""

    upstream: str
    dropped: tuple[int, ...]


Action = Grant | Shed
EntryMessage = (
    Acquire | Withdraw | Release | FirstOutput | Progress | Adopt | Learned | RetryReservations
)
