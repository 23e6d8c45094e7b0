"""
tests.test_leaving_callers

Guards against work that goes on for callers that have left: their requests reached replicas seconds
later, or replicas worked on at them.
"""

import pytest
from chalkyoke_fakes.leaving import Leave

from tests.leavingcallers import WORK_S, measure

# Large enough that a slow replica has read only a part when the caller leaves, and that the system
# does not take the whole body from the node at once.
BODY_BYTES = 90_000
SLOW_BYTES_PER_S = 60_000.0
READ_LIMIT_BYTES = 16_384


def check(found):
    assert found.requests > 20
    assert found.is_allowed, found


@pytest.mark.parametrize(
    "way", [Leave.CLOSE, Leave.RESET, Leave.UNREAD, Leave.UNREAD_RESET, Leave.UPLOADING]
)
def test_work_ends_with_the_connection_of_its_caller(way):
    check(measure([way]))


def test_requests_on_links_that_hold_bytes_up_do_not_arrive_after_their_callers_left():
    check(measure([Leave.CLOSE], held=True))


def test_requests_at_replicas_that_read_slowly_do_not_arrive_after_their_callers_left():
    slow = {"read_limit_bytes": READ_LIMIT_BYTES, "read_bytes_per_s": SLOW_BYTES_PER_S}
    check(measure([Leave.CLOSE], body_bytes=BODY_BYTES, **slow))


def test_replicas_that_ignore_a_fin_do_not_work_on_for_callers_that_left():
    check(measure([Leave.CLOSE], ignores_fin=True, event_s=WORK_S))


@pytest.mark.parametrize("body_bytes", [0, 2_000])
def test_pipelined_requests_are_not_sent_after_their_caller_left(body_bytes):
    check(measure([Leave.PIPELINED], body_bytes=body_bytes))
