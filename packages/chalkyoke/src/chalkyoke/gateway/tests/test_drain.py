"""Tests of the decision which requests a node takes during a planned stop."""

import time

import pytest
from chalkyoke.catalog.resources import Route, RouteKind, Service, Target
from chalkyoke.gateway.drain import REFUSAL_TIME_S, Drain, PlannedStop
from chalkyoke.gateway.durations import MAX_SAMPLES, OUTLASTING_FACTOR
from chalkyoke.gateway.ports import RequestFields
from chalkyoke.gateway.reception import Admission

STOP = PlannedStop(leaves_at=102.5, ends_at=107.4)


def admitted(
    arrived_at,
    timeout_s=8.0,
    max_output=0,
    route="chat",
    service="model",
    request="r1",
    resumable=False,
):
    fields = RequestFields(request, max_output_tokens=max_output)
    return Admission(
        request_id=request,
        search_id=f"n1/{request}",
        fields=fields,
        route=Route(
            route, "h", "/", (Target(service, 1.0),), RouteKind.STREAM, resumable=resumable
        ),
        service=Service(service),
        team=None,
        version=1,
        rank=0,
        cost=1.0,
        arrived_at=arrived_at,
        deadline=arrived_at + timeout_s,
        due_at=arrived_at,
        patience_until=arrived_at,
    )


def stopping(*answers):
    """Return the drain of a stopping node that has seen answers: duration and allowed output."""
    drain = Drain()
    for took_s, max_output in answers:
        drain.durations.record(admitted(0.0, max_output=max_output), took_s, 0.2)
    drain.stop = STOP
    return drain


def is_taken(drain, admission):
    latest = drain.latest_dispatch(admission, admission.arrived_at)
    return latest is None or admission.arrived_at < latest


def test_every_request_is_taken_before_a_stop():
    assert Drain().latest_dispatch(admitted(100.0), 100.0) is None


def test_a_late_request_of_an_unknown_route_is_taken_only_if_its_caller_waits_no_longer():
    assert not is_taken(stopping(), admitted(103.0))
    assert is_taken(stopping(), admitted(103.0, timeout_s=4.0))


def test_a_request_of_an_unknown_route_is_taken_while_callers_may_still_choose_the_node():
    assert is_taken(stopping(), admitted(102.4))


@pytest.mark.parametrize(("arrived_at", "taken"), [(102.0, True), (102.6, True), (106.9, True)])
def test_a_short_answer_is_taken_until_shortly_before_the_end(arrived_at, taken):
    assert is_taken(stopping(*[(0.25, 0)] * 50), admitted(arrived_at)) == taken


def test_a_long_answer_is_refused_though_most_answers_of_its_route_are_short():
    """Guards against the longest streams of a route, which a stop cut off."""
    answers = [(0.5, 0)] * 50 + [(3.0, 0)]
    assert not is_taken(stopping(*answers), admitted(104.0))
    assert is_taken(stopping(*answers), admitted(102.4))


def test_a_request_that_must_not_be_repeated_is_refused_if_any_answer_would_be_cut_off():
    """Guards against unrepeatable requests that a stop cut off after they had run."""
    drain = stopping(*[(0.5, 0)] * 50, (6.0, 0))
    assert is_taken(drain, admitted(101.0, timeout_s=15.0))
    assert not is_taken(drain, admitted(102.0, timeout_s=15.0))
    assert is_taken(drain, admitted(102.0, timeout_s=15.0, resumable=True))


def test_the_output_that_the_caller_allows_scales_the_expected_duration():
    drain = stopping(*[(0.6, 60)] * 100)
    assert is_taken(drain, admitted(104.0, max_output=90))
    assert not is_taken(drain, admitted(104.0, max_output=600))


def test_an_answer_that_usually_takes_longer_than_the_whole_stop_is_refused_at_once():
    drain = stopping(*[(9.0, 0)] * 5)
    assert not is_taken(drain, admitted(100.1, timeout_s=30.0))


def test_a_few_samples_leave_a_wider_margin_than_many():
    assert not is_taken(stopping((1.0, 0)), admitted(103.0))
    assert is_taken(stopping(*[(1.0, 0)] * 100), admitted(103.0))


def test_old_answers_and_those_of_dropped_routes_are_forgotten():
    drain = stopping((6.0, 0), *[(0.25, 0)] * MAX_SAMPLES)
    assert is_taken(drain, admitted(106.0))
    drain.durations.retain({"other"})
    assert not is_taken(drain, admitted(106.0))


def test_a_request_that_waits_is_refused_in_time_for_its_caller_to_read_the_refusal():
    latest = stopping().latest_dispatch(admitted(100.0), 100.0)
    assert latest == STOP.ends_at - REFUSAL_TIME_S


def test_a_late_request_is_refused_once_an_answer_under_way_outlasts_all_recent_ones():
    """Guards against answers that become slow at a stop, while all that have ended were short."""
    drain = stopping(*[(0.2, 0)] * 50)
    slow = admitted(103.0, request="slow")
    drain.durations.record_dispatch(slow, 103.0)
    assert is_taken(drain, admitted(103.1))
    assert is_taken(drain, admitted(104.0))
    assert not is_taken(drain, admitted(105.0))
    assert is_taken(drain, admitted(105.0, route="other", timeout_s=2.0))
    drain.durations.record_end(slow)
    assert is_taken(drain, admitted(105.0))


def test_the_age_of_an_answer_counts_from_its_first_dispatch_and_not_against_itself():
    drain = stopping()
    slow = admitted(103.0, request="slow")
    for at in (103.0, 104.5):
        drain.durations.record_dispatch(slow, at)
    assert drain.durations.bound_s(slow, 105.0) is None
    assert drain.durations.bound_s(admitted(105.0), 105.0) == 2 * OUTLASTING_FACTOR


def test_an_answer_under_way_that_may_be_long_says_nothing_of_short_ones():
    """Guards against short requests that a stop refused because of long ones under way."""
    drain = stopping(*[(0.5, 100)] * 50)
    long = admitted(102.6, request="long", max_output=1000)
    drain.durations.record_dispatch(long, 102.6)
    assert is_taken(drain, admitted(105.0, max_output=100))
    slow = admitted(102.6, request="slow", max_output=100)
    drain.durations.record_dispatch(slow, 102.6)
    assert not is_taken(drain, admitted(105.0, max_output=100))
    drain.durations.record_end(slow)
    assert is_taken(drain, admitted(105.0, max_output=100))


def stopping_with_routes(*routes):
    """Return the drain of a stopping node with fifty short answers of each of some routes."""
    drain = Drain()
    for each in routes:
        for number in range(50):
            short = admitted(0.0, route=each, request=f"{each}{number}")
            answer(drain, short, 0.0, 0.2)
    drain.stop = STOP
    return drain


def answer(drain, admission, dispatched_at, took_s):
    drain.durations.record_dispatch(admission, dispatched_at)
    drain.durations.record(admission, took_s, None)
    drain.durations.record_end(admission)


def test_a_route_that_is_rarely_used_learns_from_slow_answers_under_way_of_its_service():
    """Guards against late requests that a stop cut off, as each was the first of its route."""
    drain = stopping_with_routes("busy", "rare")
    drain.durations.record_dispatch(admitted(103.0, route="busy", request="slow"), 103.0)
    assert is_taken(drain, admitted(103.5, route="rare"))
    late = admitted(105.0, route="rare")
    assert not is_taken(drain, late)
    assert drain.inputs(late, 105.0)["basis"] == "answers of other routes"
    assert is_taken(drain, admitted(105.0, route="rare", service="other", timeout_s=2.0))


def test_a_route_that_is_rarely_used_learns_from_slow_answers_of_its_service():
    """Guards against short answers of the past, while those of other routes had become slow."""
    drain = stopping_with_routes("busy", "rare")
    slow = admitted(103.0, route="busy", request="slow")
    answer(drain, slow, 103.0, 2.5)
    assert is_taken(drain, admitted(103.9, route="rare"))
    assert not is_taken(drain, admitted(105.6, route="rare"))


def test_slow_answers_of_a_service_that_are_long_past_say_nothing_of_its_rarely_used_routes():
    """Guards against short routes that a stop refused since another one was slow once."""
    drain = stopping_with_routes("busy", "rare")
    answer(drain, admitted(60.0, route="busy", request="slow"), 60.0, 2.5)
    assert is_taken(drain, admitted(105.6, route="rare"))


def test_a_later_answer_of_the_route_itself_counts_more_than_slow_ones_of_other_routes():
    """Guards against a stop that refuses all short routes because a long answer is under way."""
    drain = stopping_with_routes("busy", "short")
    drain.durations.record_dispatch(admitted(103.0, route="busy", request="slow"), 103.0)
    assert not is_taken(drain, admitted(105.0, route="short"))
    answer(drain, admitted(103.1, route="short", request="later"), 103.1, 0.2)
    assert is_taken(drain, admitted(105.0, route="short"))


def test_a_silent_replica_keeps_its_request_if_all_have_become_slow():
    """Guards against a second send that a stop cut off, in place of the first one's answer."""
    drain = stopping_with_routes("busy")
    slow = admitted(103.0, route="busy", request="slow")
    other = admitted(103.2, route="busy", request="other")
    for each in (slow, other):
        drain.durations.record_dispatch(each, each.arrived_at)
    assert drain.may_replace(slow, 103.5)
    assert not drain.may_replace(slow, 105.0)
    drain.stop = None
    assert drain.may_replace(slow, 105.0)


def test_another_replica_takes_over_from_a_silent_one_while_other_answers_are_short():
    """Guards against requests that a stop leaves with one silent replica to its end."""
    drain = stopping_with_routes("busy")
    silent = [admitted(103.0, route="busy", request=f"silent{n}") for n in range(2)]
    for each in silent:
        drain.durations.record_dispatch(each, 103.0)
    answer(drain, admitted(104.0, route="busy", request="later"), 104.0, 0.2)
    assert drain.may_replace(silent[0], 105.0)
    assert not drain.may_replace(silent[0], 107.3)


def test_a_refusal_names_the_time_left_what_is_expected_and_why():
    drain = stopping((2.0, 0))
    assert Drain().inputs(admitted(100.0), 100.0) == {}
    assert drain.inputs(admitted(104.0), 104.0) == {
        "ends_in_s": 3.4,
        "expected_s": 8.0,
        "basis": "recent answers",
    }
    assert drain.inputs(admitted(104.0, route="new"), 104.0)["basis"] == "no answers"
    drain.durations.record_dispatch(admitted(103.0, route="new", request="slow"), 103.0)
    assert drain.inputs(admitted(104.0, route="new"), 104.0) == {
        "ends_in_s": 3.4,
        "expected_s": OUTLASTING_FACTOR,
        "basis": "answers under way",
    }


def test_a_prediction_does_not_read_all_answers_under_way():
    """Guards against a stop that held the event loop up for seconds with thousands in progress."""
    drain = stopping((0.5, 0))
    under_way = [admitted(102.0, request=f"r{number}") for number in range(50_000)]
    for each in under_way:
        drain.durations.record_dispatch(each, 102.0)
    began = time.process_time()
    for each in under_way[:200]:
        assert drain.durations.longest_s(each, 105.0) == 3.0
    assert time.process_time() - began < 0.2
