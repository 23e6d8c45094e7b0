"""
chalkyoke.catalog.confirmation

Checks on demand that this node's records include everything that the store has accepted, for
decisions that must not rest on records which became outdated during a network partition.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from chalkyoke.catalog.restores import Position
from chalkyoke.logs import logger
from chalkyoke.storage.messages import Changes, HistoryLost, Listing, Unavailable
from chalkyoke.storage.port import Store

# Timeout of a check, in seconds: a caller waits for it.
CHECK_TIMEOUT_S = 0.25
# Minimum time between two calls, in seconds. Checks requested in between share the next call.
CHECK_INTERVAL_S = 0.05
# Time after a failed call during which checks fail without another call, in seconds.
FAILURE_TTL_S = 1.0

log = logger("catalog")


class ConfirmationPort(Protocol):
    """The records of this node, and how changes are applied to them."""

    def position(self) -> Position:
        """Return the store's position up to which this node's records are complete."""

    def apply_confirmed(self, found: Changes, since: Position) -> bool:
        """Apply the changes since a position of the records.

        :return: false if the records have moved to another epoch since.
        """

    def on_listing(self, listing: Listing) -> None:
        """Apply a complete listing."""


class StoreConfirmation:
    """Read what the store has accepted since this node's latest record.

    :param now: the node's clock, in seconds.
    """

    def __init__(self, store: Store, port: ConfirmationPort, now: Callable[[], float]) -> None:
        self._store = store
        self._port = port
        self._now = now
        self._next: asyncio.Task[bool] | None = None
        self._called_at = -CHECK_INTERVAL_S
        self._failed_at: float | None = None

    async def confirm(self) -> bool:
        """Bring this node's records up to date with the store.

        :return: whether the store has answered a call that began after this one: the records then
            include every change that the store accepted before.
        """
        if self._failed_at is not None and self._now() - self._failed_at < FAILURE_TTL_S:
            return False
        # A call in progress may have read the store before this check was requested.
        if self._next is None:
            self._next = asyncio.create_task(self._call_when_due())
        return await asyncio.shield(self._next)

    async def _call_when_due(self) -> bool:
        await asyncio.sleep(max(0.0, self._called_at + CHECK_INTERVAL_S - self._now()))
        self._next = None
        self._called_at = self._now()
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                confirmed = await self._call()
        except TimeoutError:
            confirmed = False
        self._failed_at = None if confirmed else self._now()
        if not confirmed:
            log.info("not_confirmed", known=self._port.position().revision)
        return confirmed

    async def _call(self) -> bool:
        # Peers may bring the records past the store's answer while the call is in progress.
        since = self._port.position()
        if not since.revision:
            return False
        found = await self._store.watch("", since.revision, 0.0, CHECK_TIMEOUT_S)
        if isinstance(found, Changes):
            return _is_current(found, since) and self._port.apply_confirmed(found, since)
        if isinstance(found, HistoryLost):
            listing = await self._store.read("")
            if not isinstance(listing, Unavailable) and _is_current(listing, since):
                self._port.on_listing(listing)
                return True
        return False


def _is_current(answer: Changes | Listing, since: Position) -> bool:
    """Return whether an answer is neither that of a restored nor that of an outdated store."""
    return answer.epoch in (0, since.epoch) and answer.revision >= since.revision
