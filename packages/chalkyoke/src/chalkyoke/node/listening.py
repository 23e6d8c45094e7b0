"""
chalkyoke.node.listening

Start to listen on the addresses of a node. An address may be in use for a moment: by a process of
this host that is about to end, or by an outgoing connection with the same port.
"""

import asyncio
import errno
import math
from collections.abc import Awaitable, Callable

from chalkyoke.exceptions import ListenError
from chalkyoke.logs import logger

# How often an address that is in use is tried, in seconds.
RETRY_INTERVAL_S = 0.1
# Errors that may pass: the address is in use, or not assigned to this host yet.
TEMPORARY_ERRORS = frozenset((errno.EADDRINUSE, errno.EADDRNOTAVAIL))

log = logger("node")

Start = Callable[[], Awaitable[None]]


class AddressWaiter:
    """Listen on addresses, and wait for those that are in use.

    :param wait_s: how long to wait for all of them together, in seconds.
    :ivar awaited: the address that is in use; empty if none is.
    """

    def __init__(self, wait_s: float) -> None:
        self.awaited = ""
        self._deadline = asyncio.get_running_loop().time() + wait_s

    async def listen(self, start: Start, address: str) -> None:
        """Start to listen on an address as soon as it is free.

        :param start: binds the address and accepts connections.
        :param address: ``ip:port``.
        :raises ListenError: if the address can't be bound, or is in use for too long.
        """
        try:
            await self._listen(start, address, self._deadline)
        finally:
            self.awaited = ""

    async def listen_some_time(self, start: Start, address: str) -> None:
        """Start to listen on an address as soon as it is free, however long that takes.

        :raises ListenError: if the address can't be bound.
        """
        await self._listen(start, address, math.inf)

    async def _listen(self, start: Start, address: str, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        waits = False
        while True:
            try:
                await start()
            except OSError as error:
                if error.errno not in TEMPORARY_ERRORS or loop.time() >= deadline:
                    raise ListenError(address, error) from error
                if not waits:
                    waits = True
                    self.awaited = address
                    log.warning("address_in_use", address=address, error=str(error))
            else:
                break
            await asyncio.sleep(RETRY_INTERVAL_S)
        if waits:
            log.notice("address_free", address=address, waited_s=round(loop.time() - began, 3))
