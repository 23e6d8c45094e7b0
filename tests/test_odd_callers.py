"""
tests.test_odd_callers

Guards against a caller's header with a number that raises where it is parsed: the caller got no
answer, since the connection was closed by a fault.
"""

import asyncio

import pytest

from tests.gatewayfleet import run_check
from tests.test_odd_entries import Callers, assert_alive, assert_served

ODD_HEADERS = {
    "superscript_event": ("Last-Event-Id", "\xb2"),
    "long_event": ("Last-Event-Id", "9" * 5000),
    "long_hint": ("X-Length-Hint", "9" * 30),
    "very_long_hint": ("X-Length-Hint", "9" * 5000),
    "long_part": ("X-Prefix-Hash", "f" * 20 + ":100"),
    "long_tokens": ("X-Token-Count", "9" * 400 + "," + "9" * 400),
    "negative_tokens": ("X-Token-Count", "-1,-1"),
}


@pytest.mark.parametrize("odd", ODD_HEADERS)
def test_callers_are_answered_whatever_numbers_they_send(odd):
    async def check(fleet):
        for node in range(len(fleet.nodes)):
            for path in ("/chat/1", "/explain/1", "/find/1", "/book/1"):
                got = await fleet.send_request(node, path, headers=[ODD_HEADERS[odd]])
                assert (got.status, got.whole) == (200, True), (path, got)
        faults = [node.metrics.counter_value("faults") for node in fleet.nodes]
        assert not any(faults)

    run_check(check, domains=("a", "b"))


ODD_ANSWERS = {
    "long_load": {"X-Server-Load": "9" * 30 + ",0,4"},
    "very_long_load": {"X-Server-Load": "9" * 5000 + ",0,4"},
    "long_slots": {"X-Server-Load": "0,0," + "9" * 30},
    "high_load": {"X-Server-Load": f"{10**15 - 1},{10**15 - 1},4"},
    "high_slots": {"X-Server-Load": f"0,0,{10**15 - 1}"},
    "high_share_of_time": {"X-Server-Load": f"0,0,4,{10**15 - 1}"},
    "long_limit": {"Server-Limit": "9" * 400},
    "long_brittle": {"Server-Brittle": "9" * 400},
    "long_keep_alive": {"Keep-Alive": "timeout=" + "9" * 400},
}


# Guards against a replica's header that ends the nodes it is told to, or keeps callers from others.
@pytest.mark.parametrize("odd", ODD_ANSWERS)
def test_callers_are_answered_whatever_numbers_replicas_send(odd):
    async def check(fleet):
        for replica in (*fleet.models[:2], *fleet.seats[:2]):
            add_headers(replica, ODD_ANSWERS[odd])
        callers = Callers(fleet)
        await asyncio.sleep(4.0)
        assert_alive(fleet, odd)
        assert_served(await callers.stop())
        assert not any(node.metrics.counter_value("faults") for node in fleet.nodes)

    run_check(check, domains=("a", "b"))


def add_headers(replica, headers):
    """Let a fake replica send further headers with each answer."""
    plain = replica._headers
    replica._headers = lambda *args, **kwargs: {**plain(*args, **kwargs), **headers}
