"""
chalkyoke.scheduling.preference

Choose among the upstreams that meet a request's goal: those in the failure domain of its entry host
first, and the slowest that suffices. Where none meets the goal, the predicted finish decides
(:func:`~chalkyoke.scheduling.placement.choose_upstream`).
"""

from chalkyoke.scheduling.features import Features
from chalkyoke.scheduling.fit import by_fit
from chalkyoke.scheduling.placement import (
    Placement,
    is_timely,
    predict,
    prefill_pause_s,
    streams_stalled_by,
    would_delay_running,
)
from chalkyoke.scheduling.state import Upstream, WaitingRequest

# Number of cached prompt blocks that an upstream of another failure domain must have beyond those
# of all upstreams at home to be chosen like one of them: 2,048 prompt tokens, whose prefill takes
# longer than their transfer.
LONG_PREFIX_BLOCKS = 8
# Cached prefixes that differ by less than this number of blocks count as equally long: the prefill
# saved is too small to give up an even load for it.
PREFIX_STEP_BLOCKS = 4
# How many times longer than predicted the first output and the complete answer may take on an
# upstream that is chosen although faster ones are free: a machine that is disturbed takes 2.5 times
# as long, but for a small part of a complete answer only.
AMPLE_FIRST_FACTOR = 2.5
AMPLE_END_FACTOR = 1.3
# The same for the pause in running streams, whose prediction leaves out the setup of the request.
# With a smaller factor, more prompts are read on slow upstreams and more streams pause for longer
# than their goal; with a larger one, fast upstreams do a larger part of the work.
AMPLE_PAUSE_FACTOR = 4.0


def choose_preferred(
    item: WaitingRequest,
    eligible: list[Upstream],
    depths: dict[str, int],
    now: float,
    features: Features,
) -> Placement | None:
    """Choose a free upstream that meets the goal with the usual margin and stalls no stream.

    :param eligible: upstreams that can run the request now or when a slot becomes free.
    :param depths: cached leading blocks of the prompt, by upstream.
    :param now: seconds on the scheduler's clock.
    :return: None where there is no such upstream, or no feature that needs one is on.
    """
    if not item.has_goal or not (features.local_domain or features.best_fit):
        return None
    free = [each for each in eligible if each.has_slot(now)]
    groups = _split_by_domain(item, free, depths) if features.local_domain else (free,)
    for group in groups:
        if features.best_fit:
            found = _slowest_timely(item, group, depths, now, features)
        else:
            found = _soonest_timely(item, group, depths, now, features)
        if found is not None:
            return found
    return None


def stay_at_home(
    item: WaitingRequest,
    eligible: list[Upstream],
    depths: dict[str, int],
    now: float,
    features: Features,
) -> list[Upstream]:
    """Leave out the upstreams of other failure domains while one at home meets the goal.

    For requests without a preferred upstream: if all would stall streams, leaving the failure
    domain gains nothing. An upstream on which the prefill would make running requests late does not
    count: it is not granted, so that the request would wait while others are free.

    :param eligible: upstreams that can run the request now or when a slot becomes free.
    :return: the upstreams at home, or all of them where none at home meets the goal.
    """
    if not item.has_goal or not features.local_domain:
        return eligible
    home = [each for each in eligible if each.spec.failure_domain == item.domain]
    if len(home) == len(eligible):
        return eligible
    for upstream in home:
        if not upstream.has_slot(now):
            continue
        cached = depths.get(upstream.spec.id, 0)
        if features.guard and would_delay_running(item, upstream, cached, now):
            continue
        prediction = predict(item, upstream, cached, upstream.occupied(now) + 1, now)
        if is_timely(item, prediction, now):
            return home
    return eligible


def _split_by_domain(
    item: WaitingRequest, free: list[Upstream], depths: dict[str, int]
) -> tuple[list[Upstream], ...]:
    """Split upstreams into those at home or with a much longer cached prefix, and the others."""
    at_home = [each for each in free if each.spec.failure_domain == item.domain]
    elsewhere = [each for each in free if each.spec.failure_domain != item.domain]
    if not depths:
        return at_home, elsewhere
    longest = max((depths.get(each.spec.id, 0) for each in at_home), default=0)
    sufficient = longest + LONG_PREFIX_BLOCKS
    cached = [each for each in elsewhere if depths.get(each.spec.id, 0) >= sufficient]
    others = [each for each in elsewhere if depths.get(each.spec.id, 0) < sufficient]
    return at_home + cached, others


def _slowest_timely(
    item: WaitingRequest,
    group: list[Upstream],
    depths: dict[str, int],
    now: float,
    features: Features,
) -> Placement | None:
    """Return the first upstream with ample time by cached prefix, load and speed, slow ones first.

    Where none has ample time, the suitable one with the smallest predicted finish is returned.
    """

    def preference(upstream: Upstream) -> tuple[int, int, int, float]:
        step = depths.get(upstream.spec.id, 0) // PREFIX_STEP_BLOCKS if depths else 0
        return -step, *by_fit(upstream, now)

    suitable: list[Placement] = []
    for upstream in sorted(group, key=preference):
        found = _place_if_suitable(item, upstream, depths, now, features)
        if found is None:
            continue
        if _has_ample_time(item, found, now):
            return found
        suitable.append(found)
    return min(suitable, key=_finish_s, default=None)


def _has_ample_time(item: WaitingRequest, placement: Placement, now: float) -> bool:
    """Return whether a request meets its goals even if the upstream slows down meanwhile."""
    upstream, prediction = placement.upstream, placement.prediction
    assert upstream is not None and prediction is not None
    if now + prediction.first_s * AMPLE_FIRST_FACTOR > item.goal:
        return False
    if now + prediction.cautious_s * AMPLE_END_FACTOR > item.answer_due:
        return False
    pause = prefill_pause_s(item, upstream, placement.cached_blocks, now)
    return pause * AMPLE_PAUSE_FACTOR <= upstream.shortest_gap_goal()


def _soonest_timely(
    item: WaitingRequest,
    group: list[Upstream],
    depths: dict[str, int],
    now: float,
    features: Features,
) -> Placement | None:
    """Return the suitable upstream with the smallest predicted finish."""
    found = (_place_if_suitable(item, each, depths, now, features) for each in group)
    return min((each for each in found if each is not None), key=_finish_s, default=None)


def _finish_s(placement: Placement) -> float:
    assert placement.prediction is not None
    return placement.prediction.finish_s


def _place_if_suitable(
    item: WaitingRequest,
    upstream: Upstream,
    depths: dict[str, int],
    now: float,
    features: Features,
) -> Placement | None:
    cached = depths.get(upstream.spec.id, 0)
    if features.guard and would_delay_running(item, upstream, cached, now):
        return None
    prediction = predict(item, upstream, cached, upstream.occupied(now) + 1, now)
    if not is_timely(item, prediction, now):
        return None
    if streams_stalled_by(item, upstream, cached, now):
        return None
    return Placement(upstream, prediction, cached)
