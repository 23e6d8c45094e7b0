"""
chalkyoke.node.registration

This node's own entry in the store, by which others find it.
"""

import asyncio
import itertools
from collections.abc import Mapping

import msgspec

from chalkyoke.logs import logger
from chalkyoke.membership.state import Candidate
from chalkyoke.storage.messages import Unavailable
from chalkyoke.storage.port import Store

# Pause after a failed call, in seconds: doubled with each, up to the longest. A store that comes
# back must not meet all nodes at once, and each call is priced.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
# A lease is renewed so often within its time, so that one lost renewal does not end it.
RENEWALS = 3

log = logger("registration")


class Listed(msgspec.Struct, frozen=True, array_like=True):
    """What is listed of a node.

    :param address: ``ip:port`` of its link listener.
    :param capacity: what its host can bear, in cores.
    """

    address: str
    failure_domain: str
    capacity: float = 1.0


def read_candidates(registered: Mapping[str, bytes], prefix: str) -> list[Candidate]:
    """Read the nodes that are listed in the store.

    :param registered: what is listed, by key.
    :param prefix: of the keys; the host's id follows.
    """
    found: list[Candidate] = []
    for key, value in registered.items():
        try:
            listed = msgspec.msgpack.decode(value, type=Listed)
        except (msgspec.MsgspecError, ValueError) as error:
            log.info("node_unreadable", key=key, why=str(error))
            continue
        host = key.removeprefix(prefix)
        found.append(Candidate(host, listed.address, listed.failure_domain, listed.capacity))
    return found


class Registration:
    """Keep this node listed in the store, under a lease.

    :param key: where.
    :param value: what is listed.
    """

    def __init__(self, store: Store, key: str, value: bytes, lease_s: float) -> None:
        self._store = store
        self._key = key
        self._value = value
        self._lease_s = lease_s
        self._lease = 0

    async def run(self) -> None:
        """Register, and renew the lease for as long as the process lives."""
        for failures in itertools.count():
            if await self._register():
                break
            await asyncio.sleep(min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(failures, 6)))
        while True:
            await asyncio.sleep(self._lease_s / RENEWALS)
            renewed = await self._store.renew_lease(self._lease)
            if not isinstance(renewed, Unavailable) and not hasattr(renewed, "lease"):
                await self._register()

    async def _register(self) -> bool:
        granted = await self._store.grant_lease(self._lease_s)
        if isinstance(granted, Unavailable):
            return False
        self._lease = granted.lease
        written = await self._store.write(self._key, self._value, lease=self._lease)
        return not isinstance(written, Unavailable)

    async def end(self) -> None:
        """Take this node off the list."""
        if self._lease:
            await self._store.end_lease(self._lease)
