import asyncio

from chalkyoke.http1.client import ClientConnection
from chalkyoke.http1.dialing import ConnectFailure
from chalkyoke.http1.pool import ConnectionPool

from .transports import RecordingTransport

ADDRESS = ("127.0.0.1", 1)


class InstantDialer:
    """Opens connections that record what is written."""

    async def dial(self, make, ip, port, timeout_s):
        connection = make()
        connection.connection_made(RecordingTransport())
        return connection


async def connect(pool, *excluded, limit=9):
    return await pool.connect(
        *ADDRESS, limit=limit, timeout_s=0.1, fresh_s=5.0, excluded=list(excluded)
    )


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
def test_an_excluded_connection_is_not_reused_and_stays_in_the_pool_for_others():
    async def check(pool):
        first, second = await connect(pool), await connect(pool)
        pool.release(*ADDRESS, first)
        pool.release(*ADDRESS, second)
        assert await connect(pool, second) is first
        third = await connect(pool, second)
        assert isinstance(third, ClientConnection) and third not in (first, second)
        assert await connect(pool) is second

    check_pool(check)


def test_an_excluded_idle_connection_makes_room_at_the_limit():
    async def check(pool):
        first = await connect(pool, limit=1)
        pool.release(*ADDRESS, first)
        second = await connect(pool, first, limit=1)
        assert isinstance(second, ClientConnection) and first.transport.closed
        assert await connect(pool, first, limit=1) is ConnectFailure.AT_LIMIT

    check_pool(check)


def test_a_busy_connection_makes_no_room_at_the_limit():
    async def check(pool):
        busy = await connect(pool, limit=1)
        assert await connect(pool, busy, limit=1) is ConnectFailure.AT_LIMIT
        assert not busy.transport.closed

    check_pool(check)
