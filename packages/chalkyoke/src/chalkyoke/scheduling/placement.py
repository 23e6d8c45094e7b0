"""
chalkyoke.scheduling.placement

Select the upstream that finishes a request first, and decide whether to wait for a better one. All
functions are pure and take their state as arguments.
"""

import heapq

import msgspec

from chalkyoke.scheduling.features import Features as Features
from chalkyoke.scheduling.state import RunningRequest, Upstream, WaitingRequest

# Size of a prefix-cache block, in prompt tokens. Smaller blocks match longer prefixes but cost more
# to hash and compare; larger ones cost less but match shorter prefixes.
BLOCK_TOKENS = 256
# Minimum time that waiting for a busy upstream must save: this share of the predicted time on the
# best free upstream, plus this many seconds; together about as large as the error of predictions.
# Smaller values hold requests for savings that may only be prediction errors; larger ones start
# requests on a free upstream although waiting would save time.
HOLD_MARGIN_SHARE = 0.10
HOLD_MARGIN_S = 0.02
# Number of busy upstreams considered for holding, those with the earliest free slots; it bounds the
# time of a decision.
MAX_HOLD_CANDIDATES = 8
# Time to open a connection, in seconds: a round trip between failure domains.
CONNECT_S = 0.002
# Upper bound of the caution margin for a request without a goal, as a share of the time between
# its arrival and its deadline.
MAX_CAUTION_SHARE = 0.2
# Penalties in the score of an upstream, in seconds: for missing the goal, and for each running
# stream of the highest tier that would exceed its gap goal. Both exceed any real time, so upstreams
# that would stall streams rank after those that meet the goal without stalls, and upstreams that
# miss the goal rank last.
MISSED_GOAL_PENALTY_S = 1e6
STALL_PENALTY_S = 1e3
# Share of a stream's gap goal that a prefill may use; the rest is left for the network and for
# tokens that are slower than predicted.
PREFILL_GAP_SHARE = 0.65
# Penalty for a stalled stream relative to that for a stream of the next higher tier, as a factor.
STALL_FACTOR_PER_TIER = 0.5
# Safety margin on the predicted time of the first output, as a share: one in ten takes twice as
# long as predicted.
FIRST_OUTPUT_RISK_SHARE = 0.5
# How much sooner an upstream of another failure domain must finish a request that none at home can
# serve within its goal, in seconds: the error of a prediction. Larger values delay requests that
# are late anyway; smaller ones send them across for savings that may only be prediction errors.
OTHER_DOMAIN_MARGIN_S = 0.05
# Highest penalty for using a slot of a fast upstream, in seconds of finish time: the slowest
# upstream has none, and the penalty grows with the speed of the upstream up to this value. Short
# requests lose less than that on a slow upstream and leave the fast ones to long requests, which
# would be cut at their deadlines elsewhere.
FAST_UPSTREAM_PENALTY_S = 1.0

# Cost of a plain replica with all slots in use, as a multiple of the predicted duration, so that
# equal replicas share the load. With a smaller value, the one with the shortest prediction is
# filled while others are free; a larger one sends more requests to slow replicas.
PLAIN_LOAD_COST = 1.0


class Prediction(msgspec.Struct, frozen=True):
    """The predicted progress of one request on one upstream, in seconds from now.

    :param first_s: time until the first output token.
    :param finish_s: time until the last token, with the median output.
    :param optimistic_s: time until the last token, with the optimistic output.
    :param cautious_s: time until the last token, with the cautious output; without a goal, the
        difference to the median is bounded by a share of the caller's time budget.
    """

    first_s: float
    finish_s: float
    optimistic_s: float
    cautious_s: float


class Placement(msgspec.Struct, frozen=True):
    """The placement of one request.

    :param upstream: the upstream that gets the request now; ``None`` where it keeps waiting.
    :param held_for: the busy upstream whose next slot the request waits for, if any.
    """

    upstream: Upstream | None
    prediction: Prediction | None
    cached_blocks: int = 0
    held_for: Upstream | None = None


def uncached_prompt_tokens(item: WaitingRequest, cached_blocks: int) -> int:
    """Count the prompt tokens that are not in an upstream's prefix cache; at least 1.

    :param cached_blocks: leading blocks of the prompt in the upstream's cache.
    :rtype: int
    """
    return max(1, item.prompt_tokens - cached_blocks * BLOCK_TOKENS)


def predict(
    item: WaitingRequest, upstream: Upstream, cached_blocks: int, streams: int, now: float
) -> Prediction:
    """Predict the times of one request on one upstream if it starts now.

    Streams make no progress during prefill, so the predicted time per token is its decode time
    divided by the share of time that is not spent on prefill.

    :param cached_blocks: leading blocks of the prompt in the upstream's cache.
    :param streams: number of concurrent streams there, this one included.
    :param now: seconds on the scheduler's clock.
    :rtype: Prediction
    """
    speed = upstream.speed
    left = uncached_prompt_tokens(item, cached_blocks)
    backlog, decode_share = upstream.prefill_outlook(now)
    first = CONNECT_S + speed.first_time(left, backlog)
    token = speed.token_time(streams) / decode_share
    output = item.output
    margin = (output.cautious - output.median) * token
    if not item.has_goal:
        margin = min(margin, MAX_CAUTION_SHARE * (item.deadline - item.arrived))
    finish = first + output.median * token
    usual = Prediction(first, finish, first + output.optimistic * token, finish + margin)
    if upstream.time_factor.is_neutral:
        return usual
    return _lengthen(usual, upstream, now)


def _lengthen(usual: Prediction, upstream: Upstream, now: float) -> Prediction:
    """Apply the upstream's reported time factor to a prediction."""
    factor = upstream.time_factor
    return Prediction(
        factor.lengthen(usual.first_s, now),
        factor.lengthen(usual.finish_s, now),
        factor.lengthen(usual.optimistic_s, now),
        factor.lengthen(usual.cautious_s, now),
    )


def idle_time_s(item: WaitingRequest, upstream: Upstream, cached_blocks: int) -> float:
    """Predict the shortest time that one request can take on an idle upstream.

    :return: seconds. Without a goal, the time of the optimistic output. With a goal, the larger of
        the time to the first output and the time that the median output needs, shifted to the
        first output's deadline; with less time, at least half of such requests would be cut.
    """
    speed, usual_factor = upstream.speed, upstream.time_factor.mean
    first = speed.first_time(uncached_prompt_tokens(item, cached_blocks), 0) * usual_factor
    token = speed.token_time(1) * usual_factor
    if item.has_goal:
        # Shift the end of the answer to the deadline of the first output, so that callers compare
        # one value with one deadline.
        whole = first + item.output.median * token
        return max(first, whole - (item.answer_due - item.deadline))
    return first + item.output.optimistic * token


def complete_time_s(item: WaitingRequest, upstream: Upstream) -> float:
    """Predict the time to the median output of a request on an otherwise idle upstream.

    :return: seconds.
    """
    speed = upstream.speed
    first = speed.first_time(uncached_prompt_tokens(item, 0), 0)
    return first + item.output.median * speed.token_time(1)


def lateness_s(item: WaitingRequest, start: float, prediction: Prediction) -> float:
    """Predict by how much a request would miss its goal or deadline if it started at a given time.

    :param start: time on the scheduler's clock, in seconds.
    :return: seconds; negative where the request would be in time.
    """
    if item.has_goal:
        return start + prediction.first_s - item.goal
    return start + prediction.cautious_s - item.deadline


def next_slot_s(upstream: Upstream, now: float, ahead: int) -> float:
    """Predict when the next unclaimed slot of a busy upstream becomes free.

    :param ahead: number of requests already held for the same upstream.
    :return: seconds from now; infinite where all slots are claimed.
    """
    ends = upstream.expected_finishes()
    if ahead >= len(ends):
        return float("inf")
    return max(0.0, ends[ahead] - now)


def choose_upstream(
    item: WaitingRequest,
    eligible: list[Upstream],
    depths: dict[str, int],
    held: dict[str, int],
    now: float,
    features: Features,
) -> Placement:
    """Choose the upstream with the smallest predicted finish, or hold the request.

    :param eligible: upstreams that can run the request now or when a slot becomes free.
    :param depths: cached leading blocks by upstream.
    :param held: number of requests already held, by upstream.
    :param now: seconds on the scheduler's clock.
    :rtype: Placement
    """
    best: tuple[float, Upstream, Prediction] | None = None
    busy: list[Upstream] = []
    slowest = _slowest_token_s(eligible) if features.spare else 0.0
    for upstream in eligible:
        if not upstream.has_slot(now):
            busy.append(upstream)
            continue
        occupied = upstream.occupied(now)
        cached = depths.get(upstream.spec.id, 0)
        if features.guard and would_delay_running(item, upstream, cached, now):
            busy.append(upstream)
            continue
        prediction = predict(item, upstream, cached, occupied + 1, now)
        score = float(occupied)
        if features.predict:
            score = _score(item, upstream, prediction, cached, now)
            score += _plain_load_cost_s(upstream, prediction, occupied)
            if features.local_domain and upstream.spec.failure_domain != item.domain:
                score += OTHER_DOMAIN_MARGIN_S
            if features.spare:
                score += FAST_UPSTREAM_PENALTY_S * (1.0 - upstream.speed.token_time(1) / slowest)
        if best is None or score < best[0]:
            best = (score, upstream, prediction)

    if best is None:
        return Placement(None, None)

    _, upstream, prediction = best
    if features.hold and features.predict:
        in_time = item.has_goal and lateness_s(item, now, prediction) <= 0
        cached = depths.get(upstream.spec.id, 0)
        if not in_time:
            better = _find_sooner_busy(item, busy, depths, held, prediction, now)
        elif streams_stalled_by(item, upstream, cached, now):
            better = _find_timely_without_stalls(item, busy, depths, held, now)
        else:
            better = None
        if better is not None:
            return Placement(None, prediction, held_for=better)
    return Placement(upstream, prediction, depths.get(upstream.spec.id, 0))


def _slowest_token_s(upstreams: list[Upstream]) -> float:
    return max((each.speed.token_time(1) for each in upstreams), default=0.0)


def _plain_load_cost_s(upstream: Upstream, prediction: Prediction, occupied: int) -> float:
    """Return the cost of the requests at a plain replica, so that equal replicas share the load.

    :return: seconds; 0 for engines, whose predictions depend on the concurrent streams.
    """
    if not upstream.spec.extra_grants:
        return 0.0
    busy_share = min(1.0, occupied / upstream.spec.slots)
    return PLAIN_LOAD_COST * prediction.first_s * busy_share


def _score(
    item: WaitingRequest,
    upstream: Upstream,
    prediction: Prediction,
    cached_blocks: int,
    now: float,
) -> float:
    """Score an upstream for a request; the lowest score is the best.

    With a goal, upstreams that meet it with a safety margin rank first, since one first output in
    ten takes twice as long as predicted. Among them, upstreams where the prefill would not exceed
    the gap goals of running streams rank first.
    """
    if not item.has_goal:
        return prediction.finish_s
    if not is_timely(item, prediction, now):
        missed = lateness_s(item, now, prediction)
        overrun = now + prediction.cautious_s - item.answer_due
        return MISSED_GOAL_PENALTY_S + max(missed, overrun)
    stalled = streams_stalled_by(item, upstream, cached_blocks, now)
    return prediction.finish_s + STALL_PENALTY_S * sum(
        STALL_FACTOR_PER_TIER**each.tier_index for each in stalled
    )


def is_timely(item: WaitingRequest, prediction: Prediction, now: float) -> bool:
    """Return whether a request that starts now meets its goal with the usual margin and its end.

    :param item: a request with a goal.
    """
    missed = lateness_s(item, now, prediction)
    if missed > -prediction.first_s * FIRST_OUTPUT_RISK_SHARE:
        return False
    return now + prediction.cautious_s <= item.answer_due


def streams_stalled_by(
    item: WaitingRequest, upstream: Upstream, cached_blocks: int, now: float
) -> list[RunningRequest]:
    """List the running requests whose gap goals the prefill of a request would exceed.

    Streams whose gap goal another prefill has already exceeded are left out, so that long prompts
    gather on upstreams where they cause no further harm.

    :rtype: list[RunningRequest]
    """
    pause = prefill_pause_s(item, upstream, cached_blocks, now)
    if pause <= PREFILL_GAP_SHARE * upstream.shortest_gap_goal():
        return []
    return [
        each
        for each in upstream.running.values()
        if not each.gap_exceeded and pause > PREFILL_GAP_SHARE * each.gap_goal
    ]


def prefill_pause_s(
    item: WaitingRequest, upstream: Upstream, cached_blocks: int, now: float
) -> float:
    """Predict the pause in concurrent streams that a prefill causes, in seconds.

    The engine reads one chunk of the prompt between two tokens, and a stream's event contains
    several tokens.
    """
    chunk = upstream.spec.prefill_chunk_tokens
    if not chunk:
        return 0.0
    left = uncached_prompt_tokens(item, cached_blocks)
    backlog, _ = upstream.prefill_outlook(now)
    between = min(left + backlog, chunk * upstream.spec.tokens_per_event)
    pause = upstream.speed.read_time(between, left)
    factor = upstream.time_factor
    return pause if factor.is_neutral else pause * factor.current(now)


def would_delay_running(
    item: WaitingRequest, upstream: Upstream, cached_blocks: int, now: float
) -> bool:
    """Return whether a prefill would make a running request of the same or a higher tier late."""
    if not upstream.running:
        return False
    stall = upstream.speed.prefill_time(uncached_prompt_tokens(item, cached_blocks))
    factor = upstream.time_factor
    if not factor.is_neutral:
        stall *= factor.current(now)
    return stall > upstream.finish_slack_s(item.rank, now)


def _find_timely_without_stalls(
    item: WaitingRequest,
    busy: list[Upstream],
    depths: dict[str, int],
    held: dict[str, int],
    now: float,
) -> Upstream | None:
    """Find a busy upstream that meets the goal after a wait and exceeds no stream's gap goal."""
    best: tuple[float, Upstream] | None = None
    for upstream in busy:
        wait = next_slot_s(upstream, now, held.get(upstream.spec.id, 0))
        cached = depths.get(upstream.spec.id, 0)
        first = predict(item, upstream, cached, upstream.spec.slots, now).first_s
        if now + wait + first * (1.0 + FIRST_OUTPUT_RISK_SHARE) > item.goal or (
            best and wait >= best[0]
        ):
            continue
        if not streams_stalled_by(item, upstream, cached, now):
            best = (wait, upstream)
    return best[1] if best is not None else None


def _find_sooner_busy(
    item: WaitingRequest,
    busy: list[Upstream],
    depths: dict[str, int],
    held: dict[str, int],
    free: Prediction,
    now: float,
) -> Upstream | None:
    """Find the busy upstream that finishes the request clearly sooner, including the wait.

    Only the :data:`MAX_HOLD_CANDIDATES` upstreams with the earliest free slots are considered, to
    bound the time of a decision.
    """
    reached = free.first_s if item.has_goal else free.finish_s
    limit = reached * (1.0 - HOLD_MARGIN_SHARE) - HOLD_MARGIN_S
    waits = [
        (next_slot_s(upstream, now, held.get(upstream.spec.id, 0)), index)
        for index, upstream in enumerate(busy)
    ]
    best: tuple[float, Upstream] | None = None
    for wait, index in heapq.nsmallest(MAX_HOLD_CANDIDATES, waits):
        if wait >= limit:
            break
        upstream = busy[index]
        cached = depths.get(upstream.spec.id, 0)
        then = predict(item, upstream, cached, upstream.spec.slots, now)
        finish = wait + (then.first_s if item.has_goal else then.finish_s)
        if finish < limit and (best is None or finish < best[0]):
            best = (finish, upstream)
    return best[1] if best is not None else None
