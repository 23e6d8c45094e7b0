"""
chalkyoke.upstreams.tests.test_client

Calls to upstreams that are given up.
"""

import asyncio

import pytest
from chalkyoke.upstreams.client import UpstreamClient, make_session
from chalkyoke.upstreams.messages import NoAnswer

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
