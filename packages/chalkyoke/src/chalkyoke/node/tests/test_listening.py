import asyncio
import contextlib
import errno
import os
import resource

import pytest
from chalkyoke import sockets
from chalkyoke.exceptions import ListenError
from chalkyoke.node.listening import RETRY_INTERVAL_S, AddressWaiter, ListenAddress

from tests import virtual

ADDRESS = "127.0.0.1:1"
WAIT_S = 2.0


def in_use_until(at, number=errno.EADDRINUSE):
    """Return an address that fails until a time on the loop's clock."""
    began = asyncio.get_running_loop().time()

    async def start():
        if asyncio.get_running_loop().time() - began < at:
            raise OSError(number, "in use")

    return ListenAddress(ADDRESS, start)


@pytest.mark.parametrize("number", [errno.EADDRINUSE, errno.EADDRNOTAVAIL])
def test_an_address_is_awaited_until_it_is_free(number):
    async def main():
        waiter = AddressWaiter(WAIT_S)
        listening = asyncio.ensure_future(
            waiter.listen([in_use_until(WAIT_S / 2, number)], asyncio.Event())
        )
        await asyncio.sleep(WAIT_S / 4)
        assert waiter.awaited == ADDRESS
        assert await listening
        assert waiter.awaited == ""
        assert asyncio.get_running_loop().time() <= WAIT_S / 2 + RETRY_INTERVAL_S

    virtual.run(main)


def test_all_addresses_together_are_awaited_for_the_time_of_the_settings():
    """Guards against a second process of a host that waits beside the first for minutes."""

    async def main():
        addresses = [in_use_until(0.75 * WAIT_S), in_use_until(2 * WAIT_S)]
        with pytest.raises(ListenError, match=ADDRESS):
            await AddressWaiter(WAIT_S).listen(addresses, asyncio.Event())
        assert asyncio.get_running_loop().time() <= WAIT_S + RETRY_INTERVAL_S

    virtual.run(main)


def test_an_address_that_is_forbidden_is_not_awaited():
    async def main():
        with pytest.raises(ListenError):
            await AddressWaiter(WAIT_S).listen([in_use_until(1.0, errno.EACCES)], asyncio.Event())
        assert asyncio.get_running_loop().time() == 0.0

    virtual.run(main)


def test_a_stop_ends_the_wait():
    async def main():
        stopping = asyncio.Event()
        asyncio.get_running_loop().call_later(0.5, stopping.set)
        assert not await AddressWaiter(WAIT_S).listen([in_use_until(WAIT_S)], stopping)
        assert asyncio.get_running_loop().time() == 0.5

    virtual.run(main)


def test_an_address_that_is_not_needed_is_awaited_without_limit():
    async def main():
        await AddressWaiter(WAIT_S).listen_some_time(in_use_until(100 * WAIT_S))
        assert asyncio.get_running_loop().time() >= 100 * WAIT_S

    virtual.run(main)


@contextlib.contextmanager
def without_descriptors():
    """Use up the descriptors of this process."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    held = [os.dup(0)]
    resource.setrlimit(resource.RLIMIT_NOFILE, (held[0] + 16, before[1]))
    try:
        with contextlib.suppress(OSError):
            while True:
                held.append(os.dup(0))
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)
        for each in held:
            os.close(each)


def test_a_start_without_descriptors_waits_until_it_really_listens():
    """Guards against a node that was ready and listened nowhere."""
    servers = []

    async def listen():
        servers.append(await sockets.listen(asyncio.Protocol, "127.0.0.1", 0))

    async def main():
        waiter = AddressWaiter(60.0)
        address = ListenAddress("127.0.0.1:0", listen)
        listening = asyncio.ensure_future(waiter.listen([address], asyncio.Event()))
        with without_descriptors():
            for _ in range(50):
                await asyncio.sleep(0)
            assert waiter.awaited and not servers
        assert await listening
        assert servers[0].sockets
        servers[0].close()

    asyncio.run(main())
