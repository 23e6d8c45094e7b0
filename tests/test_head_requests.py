"""
tests.test_head_requests

Requests with the method HEAD, and answers whose status allows no body, through whole nodes.
"""

import pytest

from tests.gatewayfleet import DEADLINE_MS, run_check

AT_ONCE_S = 0.15 * DEADLINE_MS / 1000


# Guards against callers that wait for their deadline, and against a length that no replica stated.
@pytest.mark.parametrize("unframed", [False, True])
@pytest.mark.parametrize("path", ["/book/1", "/find/1"])
def test_an_answer_to_head_has_the_length_that_its_replica_states(path, unframed):
    async def check(fleet):
        for replica in fleet.seats:
            replica.faults.unframed = unframed
        sized = [("X-Answer-Bytes", "400000")]
        for headers in ((), sized):
            got = await fleet.send_request(0, path, b"", method="HEAD", headers=headers)
            runs = sum(replica.runs[got.request] for replica in fleet.seats)
            assert (got.status, got.body, runs) == (200, b"", 1)
            assert got.took_s < AT_ONCE_S
            ran = next(replica for replica in fleet.seats if replica.runs[got.request])
            length = len(f"{ran.id} did {got.request}") if not headers else 400_000
            assert got.headers.get("content-length") == (None if unframed else str(length))
            assert "transfer-encoding" not in got.headers
            assert got.headers["x-server-stamp"] == f"{ran.id}.{got.request}"

    run_check(check, domains=("a", "b", "c"), replicas=3)


# Guards against an answer to HEAD in which events are awaited, and against a second run for it.
@pytest.mark.parametrize("unframed", [False, True])
@pytest.mark.parametrize("path", ["/chat/1", "/explain/1"])
def test_an_answer_to_head_on_a_route_of_streams_has_no_events(path, unframed):
    async def check(fleet):
        for replica in fleet.models:
            replica.faults.unframed = unframed
        got = await fleet.send_request(0, path, b"", method="HEAD")
        runs = sum(replica.runs[got.request] for replica in fleet.models)
        assert (got.status, got.body, runs) == (200, b"", 1)
        assert got.headers["content-type"] == "text/event-stream"
        assert "content-length" not in got.headers

    run_check(check, domains=("a", "b", "c"), replicas=3)
