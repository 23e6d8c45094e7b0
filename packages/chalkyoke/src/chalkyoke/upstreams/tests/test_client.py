"""
chalkyoke.upstreams.tests.test_client

Calls to upstreams that are given up, and upstreams that send more than their answers.
"""

import asyncio
import contextlib
import re

import pytest
from chalkyoke.upstreams.client import UpstreamClient, make_session
from chalkyoke.upstreams.messages import NoAnswer, Opened

# More than the system's buffers take.
BODY_BYTES = 20_000_000


class SlowUpstream(asyncio.Protocol):
    """An upstream that does not read until it is told to."""

    def __init__(self):
        loop = asyncio.get_running_loop()
        self.connected, self.lost = loop.create_future(), loop.create_future()
        self.received = 0

    def connection_made(self, transport):
        self.transport = transport
        transport.pause_reading()
        self.connected.set_result(None)

    def data_received(self, data):
        self.received += len(data)

    def connection_lost(self, exc):
        self.lost.set_result(exc)


def test_a_request_that_is_given_up_is_not_delivered_by_and_by():
    """The rest of its body was sent whenever the upstream read on, and the upstream ran it."""

    async def main():
        upstream = SlowUpstream()
        server = await asyncio.get_running_loop().create_server(lambda: upstream, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with make_session() as session:
            client = UpstreamClient(session)
            call = client.post(address, "/run", bytes(BODY_BYTES), {}, gate=lambda: True)
            call = asyncio.create_task(call)
            await upstream.connected
            await asyncio.sleep(0.1)
            call.cancel()
            with pytest.raises(asyncio.CancelledError):
                await call
            upstream.transport.resume_reading()
            assert isinstance(await upstream.lost, ConnectionResetError)
            assert upstream.received < BODY_BYTES
        server.close()

    asyncio.run(main())


ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
PART_AND_FAILURE = (
    b"HTTP/1.1 200 OHTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno"
)


class BreakingUpstream(asyncio.Protocol):
    """An upstream that answers once, and then a part of that once more before a failure."""

    def __init__(self):
        self.answers = [ANSWER, PART_AND_FAILURE]
        self.lost = False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        if data.endswith(b"body"):
            self.transport.write(self.answers.pop(0))

    def connection_lost(self, exc):
        self.lost = True


# Guards against a failure that was read as a success.
def test_a_part_of_an_answer_and_the_next_answer_are_not_read_as_one():
    async def main():
        upstream = BreakingUpstream()
        server = await asyncio.get_running_loop().create_server(lambda: upstream, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with make_session() as session:
            client = UpstreamClient(session)
            first = await client.post(address, "/run", b"body", {}, gate=lambda: True)
            assert await first.response.read() == b"ok"
            second = await client.post(address, "/run", b"body", {}, gate=lambda: True)
            assert isinstance(second, NoAnswer)
            await asyncio.sleep(0.05)
            assert upstream.lost
        server.close()

    asyncio.run(main())


PAIRS = 10
WORK_S = 0.05
NEXT_CALL_S = 0.04
# Times between an answer and its copy.
COPIES_S = {"while the connection is idle": 0.02, "while the next call waits": 0.06}
REFUSED, DONE = 503, 200


class RepeatingUpstream:
    """Answers the first call at once, and once more late; the second call is at work meanwhile.

    :ivar runs: the calls that reached the upstream. Each answer names its call.
    """

    def __init__(self, first_status, copy_s):
        self.first_status = first_status
        self.copy_s = copy_s
        self.runs = []

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                body = await reader.readexactly(int(length[1]) if length else 0)
                self.runs.append(body or head.split(b" ")[1])
                await self.answer(writer, self.runs[-1])
        writer.close()

    async def answer(self, writer, name):
        call_later = asyncio.get_running_loop().call_later
        if len(self.runs) == 1:
            first = encode_answer(self.first_status, name)
            writer.write(first)
            call_later(self.copy_s, writer.write, first)
            return
        await asyncio.sleep(WORK_S)
        writer.write(encode_answer(DONE, name))


def encode_answer(status, body):
    return b"HTTP/1.1 %d \r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


async def post(client, address, name):
    outcome = await client.post(address, "/run", name, {}, gate=lambda: True)
    if isinstance(outcome, Opened):
        return outcome.response.status, await outcome.response.read()
    return outcome.status, outcome.detail.encode()


async def resume(client, address, name):
    outcome = await client.resume(address, "/run", name.decode(), 3)
    return outcome.response.status, await outcome.response.read()


async def play_pair(upstream, *calls):
    """Make two calls to an upstream, and return what came for them."""
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    answers = []
    async with make_session() as session:
        client = UpstreamClient(session)
        for call, name in zip(calls, (b"first", b"second"), strict=True):
            answers.append(await call(client, address, name))
            await asyncio.sleep(NEXT_CALL_S)
    server.close()
    return answers


# Guards against a refusal of one request that was believed for another one that runs, and against a
# caller that got another caller's answer.
@pytest.mark.parametrize("copy_s", COPIES_S.values(), ids=COPIES_S)
@pytest.mark.parametrize("first_status", [REFUSED, DONE])
def test_a_late_copy_of_an_answer_is_not_the_answer_to_the_next_request(first_status, copy_s):
    async def main():
        upstreams = [RepeatingUpstream(first_status, copy_s) for _ in range(PAIRS)]
        found = await asyncio.gather(*(play_pair(each, post, post) for each in upstreams))
        assert found == [[(first_status, b"first"), (DONE, b"second")]] * PAIRS
        assert all(each.runs == [b"first", b"second"] for each in upstreams)

    asyncio.run(main())


# Guards against the end of a stream that was taken from another one when it was resumed.
def test_a_late_copy_of_an_answer_is_not_the_rest_of_a_resumed_stream():
    async def main():
        for copy_s in COPIES_S.values():
            upstream = RepeatingUpstream(DONE, copy_s)
            found = await play_pair(upstream, post, resume)
            assert found == [(DONE, b"first"), (DONE, b"/run/second/events?offset=3")]

    asyncio.run(main())
