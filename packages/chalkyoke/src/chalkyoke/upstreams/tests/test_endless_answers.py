"""Calls to upstreams that answer without end."""

import asyncio

import aiohttp
import logbook
import pytest
from chalkyoke.http1.client import MAX_INTERIM_ANSWERS
from chalkyoke.upstreams.client import UpstreamClient, make_session
from chalkyoke.upstreams.messages import NoAnswer, Opened

from .endlessupstream import ENDLESS_BODIES, ENDLESS_HEADS, INTERIM, OK, EndlessUpstream

# Longest time until a call ends, in seconds; callers have deadlines of half a minute.
AT_ONCE_S = 5.0
# Bytes that the sockets' buffers take beyond what is read.
IN_TRANSIT_BYTES = 12_000_000
NOT_BODIES = ("size", "extension", "trailer", "trailers")


def call(endless, make_call):
    """Make a call; return what it returns, and the bytes that the upstream has written."""

    async def main():
        async with EndlessUpstream(*endless) as upstream, make_session() as session:
            async with asyncio.timeout(AT_ONCE_S):
                found = await make_call(UpstreamClient(session), upstream.address)
            return found, upstream.sent_bytes

    return asyncio.run(main())


async def post(client, address):
    return await client.post(address, "/run", b"b", {}, gate=lambda: True)


async def fetch_load(client, address):
    return await client.fetch_load("u", address)


@pytest.mark.parametrize("part", ENDLESS_HEADS)
def test_a_head_without_end_is_no_answer(part):
    """Guards against a caller that waits for its deadline while interim answers are parsed."""
    found, sent_bytes = call(ENDLESS_HEADS[part], post)
    assert isinstance(found, NoAnswer)
    assert sent_bytes < IN_TRANSIT_BYTES


@pytest.mark.parametrize("part", NOT_BODIES)
def test_a_body_whose_framing_has_no_end_breaks_off(part):
    """Guards against a reader that waits for its deadline while no part of a body arrives."""

    async def read(client, address):
        opened = await post(client, address)
        if isinstance(opened, Opened):
            with pytest.raises(aiohttp.ClientError):
                await opened.response.read()

    _, sent_bytes = call(ENDLESS_BODIES[part], read)
    assert sent_bytes < IN_TRANSIT_BYTES


@pytest.mark.parametrize("part", [*ENDLESS_HEADS, *ENDLESS_BODIES])
def test_a_load_report_without_end_is_not_kept(part):
    """Guards against a report that took 840 MB in the second for which it was read."""
    found, sent_bytes = call({**ENDLESS_HEADS, **ENDLESS_BODIES}[part], fetch_load)
    assert found is None
    assert sent_bytes < IN_TRANSIT_BYTES


@pytest.mark.parametrize(
    ("part", "named"),
    [("interim", "before its head"), ("extension", "after its head"), ("length", "body")],
)
def test_the_log_names_the_upstream_and_the_part(part, named):
    """Guards against a report without end that the log does not tell from one that is missing."""
    with logbook.TestHandler().applicationbound() as handler:
        call({**ENDLESS_HEADS, **ENDLESS_BODIES}[part], fetch_load)
    (line,) = [each for each in handler.records if each.msg == "oversized"]
    assert line.kwargs["part"] == named
    assert "127.0.0.1" in line.kwargs["peer"]


@pytest.mark.parametrize("more", [0, 1])
def test_some_interim_answers_are_skipped(more):
    """Guards against an upstream whose interim answers take the time of other requests."""
    head = INTERIM * (MAX_INTERIM_ANSWERS + more) + OK + b"Content-Length: 0\r\n\r\n"
    found, _ = call((head, b"", 0.01), post)
    assert isinstance(found, NoAnswer if more else Opened)
