"""
chalkyoke.scheduling.features

The switches of the scheduling policy.
"""

import msgspec


class Features(msgspec.Struct, frozen=True):
    """The parts of the policy that are switched on, to compare their effects.

    :param hold: wait for a better upstream.
    :param prefix: predict prefill only for the part of the prompt after the cached prefix.
    :param learn: correct speeds and output lengths from finished requests.
    :param shed: refuse requests early that would be late.
    :param fair: fair shares among teams; otherwise earliest deadline first over all teams.
    :param guard: do not start a request whose prefill would make running requests late.
    :param predict: place by predicted finish time; otherwise by the fewest running requests.
    :param late_last: requests predicted to be late wait for all timely ones of any tier; otherwise
        only for those of their own tier.
    :param headroom: long requests of lower tiers leave slots free for higher tiers.
    :param spare: short requests leave fast upstreams to long ones: fewer long streams are cut at
        their deadlines, but first outputs come later, which is worse where goals are tight. Off by
        default.
    :param early: refuse at arrival a request that would wait beyond its goal, while a retry of the
        caller can still be in time.
    :param fair_admission: refuse and shed by each team's fair share of the work instead of by the
        queue of the tier.
    :param reserved_retries: assign a time and reserve capacity for the retry of a refused request.
    :param local_domain: prefer upstreams in the failure domain of the entry host while they meet
        the goal.
    :param time_factors: multiply predicted times by the upstreams' reported time factors.
    :param best_fit: prefer the slowest upstream that meets the goal and finishes in time.
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
    fair_admission: bool = False
    reserved_retries: bool = False
    local_domain: bool = False
    time_factors: bool = False
    best_fit: bool = False
