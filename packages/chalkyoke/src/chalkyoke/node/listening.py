"""
chalkyoke.node.listening

Start to listen on the addresses of a node. An address may be in use for a moment: by a process of
this host that is about to end, or by an outgoing connection with the same port.
"""

import asyncio
import errno
import math
from collections.abc import Awaitable, Callable, Iterable

import msgspec

from chalkyoke.exceptions import ListenError
from chalkyoke.logs import logger

# How often an address that is in use is tried, in seconds.
RETRY_INTERVAL_S = 0.1
# Errors that may pass: the address is in use or not assigned to this host yet, or the process or
# the system has no descriptor or no memory left for a socket.
TEMPORARY_ERRORS = frozenset(
    (
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)

log = logger("node")


class ListenAddress(msgspec.Struct, frozen=True):
    """An address on which a node listens.

    :param address: ``ip:port``.
    :param start: binds the address and accepts connections.
    """

    address: str
    start: Callable[[], Awaitable[None]]


class AddressWaiter:
    """Listen on addresses, and wait for those that are in use.

    :param wait_s: how long to wait for all of them together, in seconds.
    :ivar awaited: the address that is in use; empty if none is.
    """

    def __init__(self, wait_s: float) -> None:
        self.awaited = ""
        self._wait_s = wait_s

    async def listen(self, addresses: Iterable[ListenAddress], stopping: asyncio.Event) -> bool:
        """Start to listen on addresses, one after the other, as soon as they are free.

        :param stopping: ends the wait.
        :return: whether the node listens on all of them.
        :raises ListenError: if an address can't be bound, or is in use for too long.
        """
        listening = asyncio.ensure_future(self._listen_in_turn(addresses))
        stopped = asyncio.ensure_future(stopping.wait())
        try:
            await asyncio.wait((listening, stopped), return_when=asyncio.FIRST_COMPLETED)
            if listening.done():
                listening.result()
            return listening.done()
        finally:
            listening.cancel()
            stopped.cancel()

    async def listen_some_time(self, address: ListenAddress) -> None:
        """Start to listen on an address as soon as it is free, however long that takes.

        :raises ListenError: if the address can't be bound.
        """
        await self._listen(address, math.inf)

    async def _listen_in_turn(self, addresses: Iterable[ListenAddress]) -> None:
        deadline = asyncio.get_running_loop().time() + self._wait_s
        for each in addresses:
            await self._listen(each, deadline)

    async def _listen(self, each: ListenAddress, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        waits = False
        while True:
            try:
                await each.start()
            except OSError as error:
                if error.errno not in TEMPORARY_ERRORS or loop.time() >= deadline:
                    raise ListenError(each.address, error) from error
                if not waits:
                    waits = True
                    self.awaited = each.address
                    log.warning("address_in_use", address=each.address, error=str(error))
            else:
                break
            await asyncio.sleep(RETRY_INTERVAL_S)
        if waits:
            self.awaited = ""
            log.notice("address_free", address=each.address, waited_s=round(loop.time() - began, 3))
