"""
tests.test_endless_answers

Replicas that answer with bytes without end: the request ends long before its deadline.
"""

import logbook
import pytest

from tests.gatewayfleet import DEADLINE_MS, run_check

# Longest time from a request to its answer, in virtual seconds. It includes the wait for a replica.
AT_ONCE_S = 0.15 * DEADLINE_MS / 1000
SKIPPED = ("interim", "others")
HEADS = ("reason", "name", "value", "headers", "extension", "trailer", "trailers")


def check_answers(place, path, status):
    async def check(fleet):
        for replica in (*fleet.models, *fleet.seats):
            replica.faults.endless = place
        got = await fleet.send_request(0, path)
        runs = sum(replica.runs.total() for replica in (*fleet.models, *fleet.seats))
        assert (got.status, runs) == (status, 1)
        assert got.took_s < AT_ONCE_S

    run_check(check)


@pytest.mark.parametrize("place", (*HEADS, *SKIPPED))
def test_a_head_without_end_ends_a_request_that_may_run_once(place):
    """Guards against callers that wait for their deadline while a replica sends no answer."""
    check_answers(place, "/book/1", 502)


@pytest.mark.parametrize("place", (*HEADS, *SKIPPED))
def test_a_repeatable_request_is_sent_to_another_replica(place):
    """Guards against one replica's head without end that fails a repeatable request."""

    async def check(fleet):
        fleet.seats[0].faults.endless = place
        got = [await fleet.send_request(0, "/find/1", until_whole=True) for _ in range(12)]
        assert fleet.seats[0].runs.total() > 0
        assert [each.status for each in got] == [200] * len(got)
        assert max(each.took_s for each in got) < AT_ONCE_S

    run_check(check)


def test_the_log_names_the_replica_and_the_cause():
    """Guards against an answer without end that the log does not tell from a closed connection."""

    async def check(fleet):
        for replica in fleet.seats:
            replica.faults.endless = "value"
        with logbook.TestHandler().applicationbound() as handler:
            await fleet.send_request(0, "/book/1")
        ended = [each.kwargs for each in handler.records if each.msg == "ended"]
        ran = next(replica.id for replica in fleet.seats if replica.runs)
        replicas = [each["replica"].partition("/")[0] for each in ended]
        assert replicas == [ran]
        assert [each["broken_by"] for each in ended] == ["oversized"]

    run_check(check)


def test_an_event_without_end_ends_a_stream_that_may_run_once():
    """Guards against a stream that waits for its deadline while one event goes on and on."""
    check_answers("event", "/chat/1", 502)
