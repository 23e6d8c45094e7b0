import asyncio

import pytest
from chalkyoke.exceptions import InvariantBroken
from chalkyoke.http1.client import AnswerMatch, ClientConnection
from chalkyoke.http1.dialing import ConnectFailure
from chalkyoke.http1.pool import ConnectionPool
from chalkyoke.http1.sent_ids import MAX_REQUESTS

from .test_client import RecordingSink
from .transports import RecordingTransport

ADDRESS = ("127.0.0.1", 1)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class InstantDialer:
    """Opens connections that record what is written."""

    async def dial(self, make, ip, port, timeout_s):
        connection = make()
        connection.connection_made(RecordingTransport())
        return connection


async def connect(pool, request_id="new", limit=9):
    return await pool.connect(
        *ADDRESS, limit=limit, timeout_s=0.1, fresh_s=5.0, request_id=request_id
    )


def exchange(connection, request_id):
    """Send a request over a connection and receive its answer."""
    connection.send(b"GET", RecordingSink(), lambda _: AnswerMatch.OWN, request_id=request_id)
    connection.data_received(ANSWER)


def check_pool(check):
    async def main():
        await check(ConnectionPool(dialer=InstantDialer()))

    asyncio.run(main())


def test_the_connection_that_was_used_last_is_reused_first():
    async def check(pool):
        first, second = await connect(pool), await connect(pool)
        pool.release(*ADDRESS, first)
        pool.release(*ADDRESS, second)
        assert await connect(pool) is second and await connect(pool) is first
        assert pool.opened_connections == 2

    check_pool(check)


# Guards against a request that is sent twice over one connection, on which a late copy of its first
# answer could be taken for its second one.
def test_a_connection_is_not_reused_for_an_id_that_was_sent_over_it_and_stays_for_others():
    async def check(pool):
        first, second = await connect(pool), await connect(pool)
        exchange(second, "a")
        pool.release(*ADDRESS, first)
        pool.release(*ADDRESS, second)
        assert await connect(pool, "a") is first
        third = await connect(pool, "a")
        assert isinstance(third, ClientConnection) and third not in (first, second)
        assert await connect(pool, "b") is second

    check_pool(check)


# Guards against requests without an id, whose answers any late answer looks like.
def test_a_request_without_an_id_gets_a_connection_that_carries_no_other():
    async def check(pool):
        first = await connect(pool)
        exchange(first, "a")
        pool.release(*ADDRESS, first)
        second = await connect(pool, None)
        assert second is not first
        exchange(second, None)
        pool.release(*ADDRESS, second)
        assert second.transport.closed and await connect(pool, None) is not second

    check_pool(check)


def test_an_id_is_never_sent_twice_over_a_connection():
    async def check(pool):
        for request_id in ("a", None):
            connection = await connect(pool)
            exchange(connection, request_id)
            with pytest.raises(InvariantBroken):
                exchange(connection, request_id)

    check_pool(check)


def test_a_connection_closes_after_its_highest_number_of_requests():
    async def check(pool):
        connection = await connect(pool, "0")
        for number in range(MAX_REQUESTS):
            assert not connection.transport.closed
            exchange(connection, f"{number}")
            pool.release(*ADDRESS, connection)
            is_last = number == MAX_REQUESTS - 1
            assert (await connect(pool, f"{number + 1}") is connection) is not is_last
        assert connection.transport.closed

    check_pool(check)


def test_an_idle_connection_that_has_carried_the_id_makes_room_at_the_limit():
    async def check(pool):
        first = await connect(pool, "a", limit=1)
        exchange(first, "a")
        pool.release(*ADDRESS, first)
        second = await connect(pool, "a", limit=1)
        assert isinstance(second, ClientConnection) and first.transport.closed
        assert await connect(pool, "a", limit=1) is ConnectFailure.AT_LIMIT

    check_pool(check)


def test_a_busy_connection_makes_no_room_at_the_limit():
    async def check(pool):
        busy = await connect(pool, "a", limit=1)
        assert await connect(pool, "a", limit=1) is ConnectFailure.AT_LIMIT
        assert not busy.transport.closed

    check_pool(check)


def test_an_upstream_is_silent_only_while_it_answers():
    """Guards against idle upstreams that count as silent."""

    async def check(pool):
        loop = asyncio.get_running_loop()
        assert pool.silent_s(*ADDRESS) == 0
        connection = await connect(pool)
        connection.send(b"GET", RecordingSink(), lambda _: AnswerMatch.OWN, request_id="q1")
        connection.heard_at = loop.time() - 2.0
        assert pool.silent_s(*ADDRESS) == 0
        connection.data_received(ANSWER[:-1])
        connection.heard_at = loop.time() - 2.0
        assert 2.0 <= pool.silent_s(*ADDRESS) < 2.1
        connection.pause()
        assert pool.silent_s(*ADDRESS) == 0
        connection.resume()
        await connect(pool, "q2")
        assert pool.silent_s(*ADDRESS) >= 2.0, "a new connection says nothing of the upstream"
        connection.data_received(ANSWER[-1:])
        assert pool.silent_s(*ADDRESS) == 0

    check_pool(check)
