"""
chalkyoke.entry.tests.test_endless_answers

Runs whose upstream answers without end, from the dispatch to the end of the run.
"""

import asyncio
from types import SimpleNamespace

import pytest
from chalkyoke.entry.streams import DONE_EVENT, EventSplitter
from chalkyoke.outcomes import Reason, Refusal
from chalkyoke.upstreams.client import make_session
from chalkyoke.upstreams.tests.endlessupstream import (
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    FILLER,
    OK,
    PIECE_BYTES,
    EndlessUpstream,
)

from .test_cut_answers import Entry

# Longest time until a run ends, in seconds; the deadline of its caller is 30 s.
AT_ONCE_S = 10.0
# Bytes that the sockets' buffers take beyond what is read, four times as a stream is resumed.
IN_TRANSIT_BYTES = 48_000_000
EVENT = b"data: {}\n\n"
ANSWERS = {
    **ENDLESS_HEADS,
    **ENDLESS_BODIES,
    "event": (OK + b"\r\ndata: {}\n\ndata: ", FILLER),
    "events": (OK + b"\r\n", EVENT * (PIECE_BYTES // len(EVENT))),
}


def run_endless(protocol, first, piece, interval_s=0.0):
    """Run a request to its end; return it and the bytes that its upstream has written."""

    async def main():
        async with EndlessUpstream(first, piece, interval_s) as upstream, make_session() as session:
            address = SimpleNamespace(address=upstream.address, answers={})
            async with asyncio.timeout(AT_ONCE_S):
                run = await Entry(session, address).run(protocol, b"")
            return run, upstream.sent_bytes

    return asyncio.run(main())


@pytest.mark.parametrize("part", ANSWERS)
@pytest.mark.parametrize("protocol", ["plain", "completions"])
def test_an_answer_without_end_ends_its_run(protocol, part):
    """Guards against one event without end that a host kept until the caller's deadline."""
    run, sent_bytes = run_endless(protocol, *ANSWERS[part])
    assert isinstance(run.end, Refusal)
    assert sent_bytes < IN_TRANSIT_BYTES


def test_an_event_without_end_is_too_large():
    """Guards against a stream that is resumed after an event that is larger than an answer."""
    run, _ = run_endless("completions", *ANSWERS["event"])
    assert run.end.reason is Reason.TOO_LARGE
    assert b"".join(run.chunks) == EVENT


@pytest.mark.parametrize("status", [429, 500, 503])
def test_a_refusal_whose_body_does_not_arrive_ends_its_run(status):
    """Guards against a caller that waits for its deadline though the status has arrived."""
    head = b"HTTP/1.1 %d Reason\r\nContent-Length: 10\r\n\r\n" % status
    run, _ = run_endless("plain", head, b"", interval_s=0.05)
    assert run.end.reason is Reason.UPSTREAM_REFUSED


def test_events_are_split_wherever_their_bytes_are_cut():
    """Guards against an event whose end is missed as it arrives in two pieces."""
    stream = EVENT * 3 + DONE_EVENT
    for cut in range(len(stream)):
        for size in (1, 2, 7):
            splitter = EventSplitter()
            pieces = [stream[:cut]]
            pieces += [stream[start : start + size] for start in range(cut, len(stream), size)]
            assert b"".join(map(splitter.feed, pieces)) == stream
            assert (splitter.event_count, splitter.done, splitter.partial_bytes) == (4, True, 0)
