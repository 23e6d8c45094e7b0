import itertools

import pytest
from chalkyoke.catalog.resources import Route, RouteKind, Target
from chalkyoke.gateway.verdict import NextStep, SendCounts, SendEnd, decide_next_step
from hypothesis import given
from hypothesis import strategies as st

KINDS = [
    (RouteKind.IDEMPOTENT, False),
    (RouteKind.NON_IDEMPOTENT, False),
    (RouteKind.STREAM, True),
    (RouteKind.STREAM, False),
]
BOOLS = (False, True)


def route(kind, resumable, attempts=2):
    return Route("r", "h", "/", (Target("s", 1),), kind, attempts=attempts, resumable=resumable)


RAN = [SendEnd.FAILURE_ANSWER, SendEnd.BROKEN, SendEnd.UNUSABLE, SendEnd.STALLED]


@pytest.mark.parametrize("end", RAN)
def test_a_non_repeatable_request_is_never_sent_again_after_it_may_have_run(end):
    for (kind, resumable), begun, budget, time_left in itertools.product(
        KINDS, BOOLS, BOOLS, BOOLS
    ):
        if route(kind, resumable).repeatable:
            continue
        follows = decide_next_step(
            end,
            route(kind, resumable, attempts=3),
            SendCounts(runs=1, arrivals=1),
            begun=begun,
            budget=budget,
            time_left=time_left,
        )
        assert follows in (NextStep.FAIL, NextStep.BREAK_OFF, NextStep.PASS_ON)


def test_a_request_is_refused_as_not_run_only_without_runs():
    for end, (kind, resumable), begun, budget, time_left, runs in itertools.product(
        SendEnd, KINDS, BOOLS, BOOLS, BOOLS, (0, 1)
    ):
        ran = runs + (end in RAN or end is SendEnd.DELIVERED)
        follows = decide_next_step(
            end,
            route(kind, resumable),
            SendCounts(runs=ran, arrivals=ran),
            begun=begun,
            budget=budget,
            time_left=time_left,
        )
        if follows is NextStep.REFUSE:
            assert ran == 0 and not begun


def test_an_answer_that_has_begun_is_never_replaced():
    """A second head within the first answer would pass for a part of a complete body."""
    for end, (kind, resumable), attempts in itertools.product(RAN, KINDS, (1, 2)):
        follows = decide_next_step(
            end,
            route(kind, resumable, attempts),
            SendCounts(1, 1),
            begun=True,
            budget=True,
            time_left=True,
        )
        continues = resumable and attempts > 1
        assert follows is (NextStep.SEND_AGAIN if continues else NextStep.BREAK_OFF)


def test_a_send_without_a_connection_needs_no_retry_budget():
    follows = decide_next_step(
        SendEnd.NOT_CONNECTED,
        route(RouteKind.NON_IDEMPOTENT, False, 1),
        SendCounts(),
        begun=False,
        budget=False,
        time_left=True,
    )
    assert follows is NextStep.SEND_AGAIN


def test_a_declined_request_is_refused_without_retry_budget():
    follows = decide_next_step(
        SendEnd.DECLINED,
        route(RouteKind.NON_IDEMPOTENT, False, 1),
        SendCounts(0, 1),
        begun=False,
        budget=False,
        time_left=True,
    )
    assert follows is NextStep.REFUSE


@given(
    st.sampled_from(KINDS),
    st.integers(1, 3),
    st.lists(st.tuples(st.sampled_from(list(SendEnd)), st.booleans(), st.booleans())),
)
def test_no_request_runs_on_more_replicas_than_its_route_allows(kind, attempts, ends):
    rule = route(*kind, attempts=attempts)
    sends = SendCounts()
    for end, budget, time_left in ends:
        if end in RAN or end is SendEnd.DELIVERED:
            sends.runs += 1
        follows = decide_next_step(
            end, rule, sends, begun=False, budget=budget, time_left=time_left
        )
        if follows is not NextStep.SEND_AGAIN:
            break
    assert sends.runs <= (attempts if rule.repeatable else 1)
