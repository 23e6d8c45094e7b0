"""
chalkyoke.node.registration

Keeps this node's entry in the store, by which other nodes find it.
"""

import asyncio
import itertools
from collections.abc import Callable, Mapping

import msgspec
from result import Err, Ok, Result

from chalkyoke.decoding.addresses import parse_address
from chalkyoke.decoding.bounds import Capacity
from chalkyoke.decoding.decoder import decode_msgpack
from chalkyoke.gateway.settings import GatewaySettings
from chalkyoke.logs import logger
from chalkyoke.membership.state import Candidate
from chalkyoke.storage.messages import LeaseGone, LeaseGranted, Unavailable, Written
from chalkyoke.storage.port import MAX_BACKUP_AGE_S, Store

# Backoff after a failed call, in seconds: doubled with each failure, up to the longest. A store
# that recovers must not get the calls of all nodes at once, and each call costs money.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
# Number of renewals within the lifetime of a lease, so that one lost renewal doesn't expire it.
RENEWALS_PER_LEASE = 3
# The period over which the nodes spread their calls after the store was restored, in seconds: all
# of them detect it at the same moment.
RESTORED_SPREAD_S = 2.0

log = logger("registration")


class NodeEntry(msgspec.Struct, frozen=True, array_like=True):
    """The value of a node's entry in the store.

    :param address: ``ip:port`` of its link listener.
    :param capacity: capacity of its host, in cores.
    """

    address: str
    failure_domain: str
    capacity: Capacity = 1.0


class CandidateReader:
    """Decode the node entries of the store; skip unreadable ones, and log each of them once.

    :param prefix: the prefix of the keys, which the host id follows.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._logged: dict[str, str] = {}

    def read(self, registered: Mapping[str, bytes]) -> list[Candidate]:
        """Decode all entries.

        :param registered: the encoded entries by key.
        """
        found: list[Candidate] = []
        unreadable: dict[str, str] = {}
        for key, value in registered.items():
            entry = read_entry(value)
            if isinstance(entry, Err):
                unreadable[key] = entry.err_value
                continue
            host, node = key.removeprefix(self._prefix), entry.ok_value
            found.append(Candidate(host, node.address, node.failure_domain, node.capacity))
        for key, why in unreadable.items():
            if self._logged.get(key) != why:
                log.info("node_unreadable", key=key, why=why)
        self._logged = unreadable
        return found


def read_entry(value: bytes) -> Result[NodeEntry, str]:
    """Decode the value of a node's entry, or return why it can't be decoded."""
    read = decode_msgpack(value, NodeEntry)
    if isinstance(read, Ok) and parse_address(read.ok_value.address) is None:
        return Err("invalid address")
    return read


class Registration:
    """Keep this node registered in the store under a lease.

    :param key: key of the entry.
    :param value: the encoded :class:`NodeEntry`.
    :param lease_s: lifetime of the lease, in seconds.
    :param random: source of numbers in [0, 1).
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        store: Store,
        key: str,
        value: bytes,
        lease_s: float,
        random: Callable[[], float],
        now: Callable[[], float],
    ) -> None:
        self._store = store
        self._key = key
        self._value = value
        self._lease_s = lease_s
        self._random = random
        self._now = now
        self._lease: LeaseGranted | None = None
        self._registered_at = 0.0
        self._epoch = 0
        self._restored = asyncio.Event()

    def store_restored(self, epoch: int) -> None:
        """Check the registration soon, as the store was restored from a backup.

        The backup may lack this node's entry.

        :param epoch: the epoch of the restored store.
        """
        self._epoch = epoch
        self._restored.set()

    async def run(self) -> None:
        """Register this node and renew its lease until the task is cancelled."""
        await self._register()
        while True:
            if await self._wait_for_renewal():
                await asyncio.sleep(RESTORED_SPREAD_S * self._random())
            if not await self._renew():
                await self._register()

    async def deregister(self) -> None:
        """Remove this node's entry, unless its lease may belong to another writer by now."""
        if self._lease is not None and not self._lease_may_be_lost(self._lease, self._epoch):
            await self._store.revoke_lease(self._lease.lease)

    async def _wait_for_renewal(self) -> bool:
        """Wait until a renewal is due or the store was restored; return whether it was."""
        try:
            async with asyncio.timeout(self._lease_s / RENEWALS_PER_LEASE):
                await self._restored.wait()
        except TimeoutError:
            return False
        self._restored.clear()
        return True

    async def _renew(self) -> bool:
        """Renew the lease.

        :return: whether this node is still registered, as far as it knows.
        """
        lease = self._lease
        if lease is None or self._lease_may_be_lost(lease, self._epoch):
            return False
        renewed = await self._store.renew_lease(lease.lease)
        if isinstance(renewed, Unavailable):
            return True
        if isinstance(renewed, LeaseGone) or self._lease_may_be_lost(lease, renewed.epoch):
            return False
        self._lease = renewed
        return True

    def _lease_may_be_lost(self, lease: LeaseGranted, epoch: int) -> bool:
        """Return whether a restored store may have lost a lease or reissued it to another node."""
        return epoch > lease.epoch and self._now() - self._registered_at < MAX_BACKUP_AGE_S

    async def _register(self) -> None:
        for failures in itertools.count():
            if await self._write_entry():
                return
            await asyncio.sleep(min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(failures, 6)))

    async def _write_entry(self) -> bool:
        granted = await self._store.grant_lease(self._lease_s)
        if isinstance(granted, Unavailable):
            return False
        written = await self._store.write(self._key, self._value, lease=granted.lease)
        if not isinstance(written, Written) or written.epoch != granted.epoch:
            log.info("not_registered", outcome=type(written).__name__, epoch=granted.epoch)
            return False
        self._lease, self._registered_at = granted, self._now()
        log.info("registered", lease=granted.lease, epoch=granted.epoch)
        return True


def make_registration(
    settings: GatewaySettings,
    store: Store,
    prefix: str,
    random: Callable[[], float],
    now: Callable[[], float],
) -> Registration:
    """Build the registration of this node.

    :param prefix: the prefix of the keys of all entries.
    :param random: source of numbers in [0, 1).
    :param now: the node's clock, in seconds.
    :rtype: Registration
    """
    node = settings.node
    entry = NodeEntry(settings.listen.advertised_links_address, node.failure_domain, node.capacity)
    value = msgspec.msgpack.encode(entry)
    return Registration(store, prefix + node.host, value, settings.store.lease_s, random, now)
