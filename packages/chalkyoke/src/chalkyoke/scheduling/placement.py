"""
chalkyoke.scheduling.placement

Which upstream finishes one request first, and whether to wait for a better one. Pure functions
over explicit state.
"""

import heapq

import msgspec

from chalkyoke.scheduling.state import RunningRequest, Upstream, WaitingRequest

# Tokens of a prompt that are compared as one, a trade-off: smaller blocks find more and cost more.
BLOCK_TOKENS = 256
# How much sooner a busy upstream has to be for a request to wait for it: a part of the time, and
# seconds. Predictions are off by about that.
HOLD_MARGIN_SHARE = 0.10
HOLD_MARGIN_S = 0.02
# Busy upstreams that are looked at for that: those that get free soonest. It bounds a decision.
MAX_HOLD_CANDIDATES = 8
# What opening a connection takes, in seconds: a round trip between failure domains.
CONNECT_S = 0.002
# What caution adds to the end of a request whose whole answer is due, as a part of its time.
MAX_CAUTION_SHARE = 0.2
# Scores that put an upstream that misses a goal behind all that meet it, and one that harms others
# behind all that don't; both far beyond any time in seconds.
MISSED_GOAL_SCORE = 1e6
HARM_SCORE = 1e3
# The part of the longest pause in time that reading a prompt may make: the rest is the network's,
# and tokens that come slower than predicted.
PREFILL_GAP_SHARE = 0.65
# What harm to a tier weighs against harm to the next higher one.
TIER_HARM_FACTOR = 0.5
# How much longer than predicted a first output is reckoned with: one in ten takes twice as long.
FIRST_OUTPUT_RISK_SHARE = 0.5
# What a slot of an upstream that takes no time is worth over one of the slowest, in seconds of a
# request's end. Short work loses less than that on a slow upstream and leaves the fast ones to long
# work, which would be cut at its deadline elsewhere.
SPARE_BONUS_S = 1.0


class Prediction(msgspec.Struct, frozen=True):
    """What one upstream would do with one request, in seconds from now.

    :param first_s: until the first output token.
    :param finish_s: until the last one, with the median output.
    :param optimistic_s: until the last one, with the optimistic output.
    :param cautious_s: until the last one, with the cautious output; where the whole is due at
        once, what caution adds is bounded by a share of the time that the caller gave.
    """

    first_s: float
    finish_s: float
    optimistic_s: float
    cautious_s: float


class Placement(msgspec.Struct, frozen=True):
    """The decision for one request.

    :param upstream: where it goes now; ``None`` when it is held.
    :param held_for: the busy upstream that it is held for, if any.
    """

    upstream: Upstream | None
    prediction: Prediction | None
    cached_blocks: int = 0
    held_for: Upstream | None = None


class Features(msgspec.Struct, frozen=True):
    """Parts of the policy that can be switched off, to measure what each one earns.

    :param hold: wait for a better upstream.
    :param prefix: count what is left of the prompt after the cached prefix.
    :param learn: correct speeds and lengths by finished work.
    :param shed: give up early what would be late.
    :param fair: fair shares among teams; else earliest deadline over all teams.
    :param guard: do not start what would make running requests late.
    :param predict: place by predicted finish; else by the fewest running.
    :param late_last: what would be late waits for all that would not, whatever its tier; else for
        its own tier only.
    :param headroom: long work of lower tiers leaves slots free for higher ones.
    :param spare: short work leaves fast upstreams to long work: fewer long streams are cut, and
        first outputs come later, which costs more where goals are tight. Off by default.
    :param early: refuse at arrival what would wait beyond its goal, while a new attempt of its
        caller can still be in time.
    """

    hold: bool = True
    prefix: bool = True
    learn: bool = True
    shed: bool = True
    fair: bool = True
    predict: bool = True
    guard: bool = True
    late_last: bool = True
    headroom: bool = False
    early: bool = False
    spare: bool = False


def uncached_prompt_tokens(item: WaitingRequest, cached_blocks: int) -> int:
    """Count the prompt tokens that an upstream has to read.

    :param cached_blocks: leading blocks of the prompt in the upstream's cache.
    :rtype: int
    """
    return max(1, item.prompt_tokens - cached_blocks * BLOCK_TOKENS)


def predict(
    item: WaitingRequest, upstream: Upstream, cached_blocks: int, streams: int, now: float
) -> Prediction:
    """Predict one request on one upstream, if it started now.

    While a prompt is read the other streams stand still, so a token takes its own time divided by
    the share of time that is not spent reading prompts.

    :param cached_blocks: leading blocks of its prompt in the upstream's cache.
    :param streams: streams that run there, this one included.
    :param now: seconds on the scheduler's clock.
    :rtype: Prediction
    """
    speed = upstream.speed
    left = uncached_prompt_tokens(item, cached_blocks)
    backlog, moving = upstream.prefill_outlook(now)
    first = CONNECT_S + speed.first_time(left, backlog)
    token = speed.token_time(streams) / moving
    output = item.output
    margin = (output.cautious - output.median) * token
    if not item.has_goal:
        margin = min(margin, MAX_CAUTION_SHARE * (item.deadline - item.arrived))
    finish = first + output.median * token
    return Prediction(first, finish, first + output.optimistic * token, finish + margin)


def idle_time_s(item: WaitingRequest, upstream: Upstream, cached_blocks: int) -> float:
    """Predict the least time that one request can take on an idle upstream.

    :return: seconds; with the optimistic output, or, where the whole is due beside the first
        output, with the median: half of such requests would be cut at best.
    """
    speed = upstream.speed
    first = speed.first_time(uncached_prompt_tokens(item, cached_blocks), 0)
    if item.has_goal:
        # Against the deadline of the first output, so that one figure tells of both.
        whole = first + item.output.median * speed.token_time(1)
        return max(first, whole - (item.answer_due - item.deadline))
    return first + item.output.optimistic * speed.token_time(1)


def lateness_s(item: WaitingRequest, start: float, prediction: Prediction) -> float:
    """Predict by how much a request would miss what is due, if it started at a moment.

    :param start: on the scheduler's clock, in seconds.
    :return: seconds; negative where it would be in time.
    """
    if item.has_goal:
        return start + prediction.first_s - item.goal
    return start + prediction.cautious_s - item.deadline


def next_slot_s(upstream: Upstream, now: float, ahead: int) -> float:
    """Predict when a slot of a busy upstream gets free.

    :param ahead: requests that are already held for the same upstream.
    :return: seconds from now.
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

    :param eligible: upstreams that may take it now or when a slot gets free.
    :param depths: cached leading blocks by upstream.
    :param held: requests already held, by upstream.
    :param now: seconds on the scheduler's clock.
    :rtype: Choice
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
        if features.guard and _would_harm(item, upstream, cached, now):
            busy.append(upstream)
            continue
        prediction = predict(item, upstream, cached, occupied + 1, now)
        score = float(occupied)
        if features.predict:
            score = _score(item, upstream, prediction, cached, now)
            if features.spare:
                score += SPARE_BONUS_S * (1.0 - upstream.speed.token_time(1) / slowest)
        if best is None or score < best[0]:
            best = (score, upstream, prediction)

    if best is None:
        return Placement(None, None)

    _, upstream, prediction = best
    if features.hold and features.predict:
        in_time = item.has_goal and lateness_s(item, now, prediction) <= 0
        cached = depths.get(upstream.spec.id, 0)
        if not in_time:
            better = _worth_waiting_for(item, busy, depths, held, prediction, now)
        elif streams_stalled_by(item, upstream, cached, now):
            better = _harmless_in_time(item, busy, depths, held, now)
        else:
            better = None
        if better is not None:
            return Placement(None, prediction, held_for=better)
    return Placement(upstream, prediction, depths.get(upstream.spec.id, 0))


def _slowest_token_s(upstreams: list[Upstream]) -> float:
    return max((each.speed.token_time(1) for each in upstreams), default=0.0)


def _score(
    item: WaitingRequest,
    upstream: Upstream,
    prediction: Prediction,
    cached_blocks: int,
    now: float,
) -> float:
    """Score an upstream for a request; the least is the best.

    With a goal, an upstream that meets it goes before each that may not: one first output in ten
    takes twice as long as predicted. Among those, one goes before each where reading the prompt
    would make a pause in other streams that they can't bear.
    """
    if not item.has_goal:
        return prediction.finish_s
    missed = lateness_s(item, now, prediction)
    overrun = now + prediction.cautious_s - item.answer_due
    if missed > -prediction.first_s * FIRST_OUTPUT_RISK_SHARE or overrun > 0:
        return MISSED_GOAL_SCORE + max(missed, overrun)
    harmed = streams_stalled_by(item, upstream, cached_blocks, now)
    return prediction.finish_s + HARM_SCORE * sum(
        TIER_HARM_FACTOR**each.tier_index for each in harmed
    )


def streams_stalled_by(
    item: WaitingRequest, upstream: Upstream, cached_blocks: int, now: float
) -> list[RunningRequest]:
    """List the running requests that could not bear the pause that reading a prompt makes.

    Those that another prompt has held up already are left out: long prompts gather where they do
    no new harm.

    :rtype: list[Running]
    """
    pause = _pause(item, upstream, cached_blocks, now)
    if pause <= PREFILL_GAP_SHARE * upstream.shortest_gap_goal():
        return []
    return [
        each
        for each in upstream.running.values()
        if not each.gap_exceeded and pause > PREFILL_GAP_SHARE * each.gap_goal
    ]


def _pause(item: WaitingRequest, upstream: Upstream, cached_blocks: int, now: float) -> float:
    """Predict the pause that reading a prompt makes in the streams beside it, in seconds.

    A chunk of the prompt is read between two tokens, and an event holds several tokens.
    """
    chunk = upstream.spec.prefill_chunk_tokens
    if not chunk:
        return 0.0
    left = uncached_prompt_tokens(item, cached_blocks)
    backlog, _ = upstream.prefill_outlook(now)
    between = min(left + backlog, chunk * upstream.spec.tokens_per_event)
    return upstream.speed.read_time(between, left)


def _would_harm(item: WaitingRequest, upstream: Upstream, cached_blocks: int, now: float) -> bool:
    """Tell whether reading the prompt would make a running request of its tier or higher late."""
    if not upstream.running:
        return False
    stall = upstream.speed.prefill_time(uncached_prompt_tokens(item, cached_blocks))
    return stall > upstream.finish_slack_s(item.rank, now)


def _harmless_in_time(
    item: WaitingRequest,
    busy: list[Upstream],
    depths: dict[str, int],
    held: dict[str, int],
    now: float,
) -> Upstream | None:
    """Find a busy upstream that meets the goal, wait included, without holding up its streams."""
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


def _worth_waiting_for(
    item: WaitingRequest,
    busy: list[Upstream],
    depths: dict[str, int],
    held: dict[str, int],
    free: Prediction,
    now: float,
) -> Upstream | None:
    """Find the busy upstream that finishes the request clearly sooner, wait included.

    Only the :data:`MOST_HELD_FOR` that get free soonest are looked at, to bound a decision's time.
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
