"""Answers that are cut off on their way through another host, over real sockets."""

import asyncio

import pytest
from chalkyoke.http1.client import AnswerMatch, BreakReason, ClientConnection
from chalkyoke.sockets import reset_when_closed

from .test_tunnels import Answer, Upstream, run_hosts, send_request, wait_until

BODY = b"a body"
OK = b"HTTP/1.1 200 OK\r\nServer-Stamp: 3e1b\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n" % len(BODY)
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n6\r\na body\r\n0\r\nName: value\r\n\r\n"
# Whole answers, and those that end with their connection, which are never known to be whole here.
FRAMED = {
    "length": OK + LENGTH + BODY,
    "chunks": OK + CHUNKS,
    "interim": INTERIM + OK + LENGTH + BODY,
    "HTTP/1.0": OK.replace(b"1.1", b"1.0") + LENGTH + BODY,
    "204": OK.replace(b"200 OK", b"204 No Content") + b"\r\n",
}
UNFRAMED = {
    "until close": OK + b"\r\n" + BODY,
    "until close, HTTP/1.0": OK.replace(b"1.1", b"1.0") + b"\r\n" + BODY,
}
PART = OK + b"\r\nhalf"
ends = pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
# Time between an answer and the end of its connection, in seconds.
END_DELAY_S = 0.001


class CuttingUpstream(Upstream):
    """Sends a part of an answer to each request, then closes or resets the connection."""

    def __init__(self, resets):
        super().__init__()
        self._resets = resets

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(self.answer)
            await writer.drain()
            await asyncio.sleep(END_DELAY_S)
            if self._resets and not writer.transport.is_closing():
                reset_when_closed(writer.transport)
                writer.transport.abort()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def open_tunnel(entry, upstream):
    """Open a connection through the other host; on a loaded machine an attempt may time out."""
    while True:
        connection = await entry.connect(upstream.address)
        if isinstance(connection, ClientConnection):
            return connection


async def receive_cuts(entry, upstream, data):
    """Receive an answer cut after each number of its bytes, each over a tunnel of its own.

    :return: how each exchange ended, None if it is whole, and its body.
    """
    found = []
    for cut in range(len(data) + 1):
        upstream.answer = data[:cut]
        connection = await open_tunnel(entry, upstream)
        assert connection.via == "helper"
        answer = send_request(connection)
        found.append((await answer.ended, bytes(answer.body)))
        connection.retire()
    return found


# Guards against an end of a tunnel that is taken for the end of an answer.
@ends
@pytest.mark.parametrize("name", FRAMED)
def test_an_answer_that_is_cut_after_any_byte_is_broken_behind_a_host(name, resets):
    async def check(entry, helper, upstream, _):
        found = await receive_cuts(entry, upstream, FRAMED[name])
        how, body = found.pop()
        assert (how, body) == (None, b"" if name == "204" else BODY)
        assert None not in {how for how, _ in found}
        assert all(BODY.startswith(body) for _, body in found)

    run_hosts(check, CuttingUpstream(resets), Upstream())


@ends
@pytest.mark.parametrize("name", UNFRAMED)
def test_an_answer_that_ends_with_its_connection_is_broken_behind_a_host(name, resets):
    async def check(entry, helper, upstream, _):
        found = await receive_cuts(entry, upstream, UNFRAMED[name])
        assert None not in {how for how, _ in found}

    run_hosts(check, CuttingUpstream(resets), Upstream())


def end_at_helper(helper, how):
    """End the tunnels of a host as an exit, a crash or a lost process does."""
    for end in list(helper.server.tunnels):
        if how == "close":
            end.transport.close()
        elif how == "reset":
            reset_when_closed(end.transport)
            end.transport.abort()
        else:
            helper.server.member_left("entry")


@pytest.mark.parametrize("how", ["close", "reset", "process lost"])
@pytest.mark.parametrize(
    "part", [b"", PART[:20], PART, OK + LENGTH + b"a b", OK + CHUNKS[:40], OK + CHUNKS[:-2]]
)
def test_the_end_of_the_host_on_the_way_is_no_end_of_an_answer(part, how):
    """Guards against a success whose rest was lost with the host that a request went through."""

    async def check(entry, helper, upstream, _):
        connection = await open_tunnel(entry, upstream)
        answer = send_request(connection)
        await wait_until(lambda: upstream.requests)
        await asyncio.sleep(0.02)
        assert not answer.ended.done()
        end_at_helper(helper, how)
        assert await answer.ended in (BreakReason.CLOSED, BreakReason.RESET)
        assert not connection.reusable

    run_hosts(check, Upstream(part), Upstream())


def test_an_answer_to_head_is_whole_behind_a_host():
    async def check(entry, helper, upstream, _):
        connection = await entry.connect(upstream.address)
        answer = Answer()
        connection.send(
            b"HEAD / HTTP/1.1\r\n\r\n", answer, lambda headers: AnswerMatch.OWN, bodiless=True
        )
        assert await answer.ended is None and not answer.body

    run_hosts(check, Upstream(OK + LENGTH), Upstream())
