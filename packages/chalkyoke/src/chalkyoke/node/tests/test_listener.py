"""Tests of the listener for HTTP connections during a planned stop."""

import asyncio
import contextlib
import socket

from chalkyoke.http1.incoming import ServerLimits
from chalkyoke.http1.lingering import LINGER_S
from chalkyoke.http1.messages import AnswerHead
from chalkyoke.http1.tests.transports import RecordingTransport
from chalkyoke.node.listener import CLOSE_CHECK_S, Listener

from tests import virtual

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class Handler:
    def caller_left(self):
        pass

    def caller_can_read(self, can_read):
        pass


def make_listener():
    """Return a listener, and the list of the writers of the answers to its requests."""
    writers = []

    def start(request, writer):
        writers.append(writer)
        return Handler()

    return Listener("127.0.0.1:0", start, ServerLimits, descriptors=100), writers


def answer(writer):
    writer.send_head(AnswerHead(200, b"OK", [], 2), b"ok")
    writer.finish()


def open_connection(listener):
    connection, transport = listener._make_connection(), RecordingTransport()
    connection.connection_made(transport)
    return connection, transport


def test_a_connection_that_opens_while_a_stop_finishes_the_others_closes_after_its_request():
    """Guards against connections that were accepted last and learned of no stop until its end."""

    async def main():
        listener, writers = make_listener()
        first, first_transport = open_connection(listener)
        first.data_received(REQUEST)
        finish = asyncio.ensure_future(listener.finish_requests())
        await asyncio.sleep(0)
        late, late_transport = open_connection(listener)
        await asyncio.sleep(2 * CLOSE_CHECK_S)
        assert not late_transport.closed
        late.data_received(REQUEST)
        for writer in writers:
            answer(writer)
        await asyncio.sleep(0)
        for transport in (first_transport, late_transport):
            assert b"Connection: close" in transport.written and transport.ended
        for connection in list(listener._connections):
            connection.connection_lost(None)
        await finish

    virtual.run(main)


def test_a_connection_that_opens_just_after_a_close_is_waited_for():
    """Guards against a stop that ended while its last connection was accepted but not open."""

    async def main():
        listener, writers = make_listener()
        finish = asyncio.ensure_future(listener.finish_requests())
        await asyncio.sleep(0)
        late, transport = open_connection(listener)
        await asyncio.sleep(2 * CLOSE_CHECK_S)
        assert not finish.done()
        late.data_received(REQUEST)
        answer(writers[0])
        await asyncio.sleep(0)
        assert transport.ended
        late.connection_lost(None)
        await finish

    virtual.run(main)


def test_a_stop_leaves_callers_the_time_to_read_their_last_answers():
    """Guards against a reset that overtakes an answer whose caller has sent more meanwhile."""

    async def main():
        listener, writers = make_listener()
        connection, transport = open_connection(listener)
        connection.data_received(REQUEST)
        finish = asyncio.ensure_future(listener.finish_requests())
        await asyncio.sleep(0)
        answer(writers[0])
        await asyncio.sleep(LINGER_S - CLOSE_CHECK_S)
        assert transport.ended and not transport.closed
        await asyncio.sleep(2 * CLOSE_CHECK_S)
        assert transport.closed
        connection.connection_lost(None)
        await finish

    virtual.run(main)


def connect(address):
    """Open a connection, which waits for its accept, and send a request on it."""
    connection = socket.create_connection(address)
    connection.sendall(REQUEST)
    connection.setblocking(False)
    return connection


def test_connections_that_wait_for_their_accept_are_served_after_a_close():
    """Guards against callers that were reset without an answer when their host stopped."""

    async def main():
        writers = []

        def start(request, writer):
            writers.append(writer)
            answer(writer)
            return Handler()

        listener = Listener("127.0.0.1:0", start, ServerLimits, descriptors=100)
        await listener.listen()
        address = listener._server.sockets[0].getsockname()
        loop = asyncio.get_running_loop()
        with contextlib.ExitStack() as opened:
            # Nothing is accepted meanwhile, since the loop does not run.
            waiting = [opened.enter_context(connect(address)) for _ in range(20)]
            listener.close()
            finish = asyncio.ensure_future(listener.finish_requests())
            received = [await loop.sock_recv(each, 4_096) for each in waiting]
        await finish
        assert len(writers) == 20
        assert all(each.startswith(b"HTTP/1.1 200") for each in received)
        assert all(b"Connection: close" in each for each in received)

    asyncio.run(main())
