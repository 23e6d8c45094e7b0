"""
chalkyoke.catalog.follower

Receive the changes of the store through long-poll watches and detect when that stops working. A
call that is not answered in time is on a silent connection and is repeated on a new one.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

import msgspec

from chalkyoke.logs import logger
from chalkyoke.storage.messages import Changes, HistoryLost, Listing, Unavailable
from chalkyoke.storage.port import Store

# How often a node checks whether its watch role has changed, in seconds: one heartbeat interval.
ROLE_CHECK_INTERVAL_S = 0.25
# A node does not watch the store in its first second: it knows no peers yet, so it would always
# assign the duty to itself. Changes in that time arrive from its peers or with its first watch.
STARTUP_DELAY_S = 1.0
# Pause between an answer with changes and the next watch, in seconds. Changes come in bursts and
# the platform charges for each call, so one answer should carry many of them.
CHANGE_BATCH_S = 0.05
# Delay after a failed call, in seconds: it doubles with each failure in a row, up to the maximum.
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
# Delay after a failed call of a node whose duty has passed to others, in seconds, until the store
# answers it again.
RELIEVED_RETRY_DELAY_S = 2.0
# The node reports the store as lost after this number of failed calls in a row, if they also span
# this many seconds. One silent connection fails one call; the next call, on a new connection,
# succeeds.
STORE_LOST_FAILURES = 2
STORE_LOST_AFTER_S = 0.5

# How long a standby's watch waits, in seconds. A standby covers the time in which the primary gets
# no answers; a silent connection is detected by the primary, whose watch waits less.
STANDBY_WAIT_S = 10.0

log = logger("store")


class WatchRole(StrEnum):
    """A node's role in watching the store for its failure domain."""

    PRIMARY = "first"
    STANDBY = "standby"
    NONE = "none"


class WatchTimeouts(msgspec.Struct, frozen=True):
    """Timeouts of the watch of a failure domain's primary.

    After the connections go silent, a change is received at most ``wait_s + answer_s`` later. The
    cost is one call every ``wait_s`` from each failure domain while nothing changes.

    :param wait_s: how long the store holds a watch without a change, in seconds.
    :param answer_s: how long the node waits for the answer beyond that, in seconds.
    """

    wait_s: float
    answer_s: float

    @classmethod
    def split(cls, silence_s: float) -> "WatchTimeouts":
        """Split the time for which a silent connection may go undetected.

        One half is the wait of the watch. One quarter is for the store's answer, several times the
        duration of a slow one. The last quarter is for the new connection and the broadcast to the
        peers.

        :param silence_s: the total time, in seconds.
        """
        return cls(silence_s / 2, silence_s / 4)


class UpdateHandler(Protocol):
    """Receives listings and changes of the store."""

    def on_listing(self, listing: Listing) -> None:
        """Handle a complete listing."""

    def on_changes(self, found: Changes, age_s: float) -> None:
        """Handle changes since the previous answer.

        :param age_s: greatest age of the changes, in seconds.
        """

    def on_availability(self, is_lost: bool) -> None:
        """Handle that the store has become lost or available again for this node."""


class StoreFollower:
    """Watch the store while this node's role requires it.

    :param timeouts: timeouts of a primary's watch.
    :param handler: receives the listings and changes.
    :param role: returns this node's current watch role.
    :param now: the node's clock, in seconds.
    :ivar since: the store revision from which the next watch starts; 0 means that the node has to
        read a complete listing first.
    """

    def __init__(
        self,
        store: Store,
        timeouts: WatchTimeouts,
        handler: UpdateHandler,
        role: Callable[[], WatchRole],
        now: Callable[[], float],
    ) -> None:
        self.since = 0
        self._epoch = 0
        self._store = store
        self._timeouts = timeouts
        self._handler = handler
        self._get_role = role
        self._now = now
        self._failures = 0
        self._failing_since = 0.0
        self._is_lost = False
        self._answered_at = 0.0
        self._sent_at = 0.0
        self._watch: asyncio.Task[Changes | HistoryLost | Unavailable] | None = None

    async def run(self) -> None:
        """Watch the store until the process ends."""
        while True:
            if self.since and not self._is_lost and self._current_role() is WatchRole.NONE:
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            answered = await (self._wait_for_changes() if self.since else self._read_all())
            if not answered:
                await asyncio.sleep(self._retry_delay_s())

    def restart_watch(self) -> None:
        """Restart the watch, since peers have newer state and its connection may be silent.

        A watch that is younger than the answer timeout is kept: with a slow store, restarting it
        early would mean that no watch is ever answered.
        """
        waited = self._now() - self._sent_at
        if self._watch is not None and waited > self._timeouts.answer_s:
            log.notice("watch_renewed", since=self.since, waited_s=round(waited, 3))
            self._watch.cancel()

    def _current_role(self) -> WatchRole:
        return WatchRole.NONE if self._now() < STARTUP_DELAY_S else self._get_role()

    def _retry_delay_s(self) -> float:
        if self._is_lost and self._current_role() is WatchRole.NONE:
            return RELIEVED_RETRY_DELAY_S
        delay_s: float = MIN_RETRY_DELAY_S * 2 ** min(self._failures - 1, 5)
        return min(MAX_RETRY_DELAY_S, delay_s)

    async def _read_all(self) -> bool:
        """Read a complete listing; return whether the store answered."""
        found = await self._store.read("")
        if isinstance(found, Unavailable):
            self._record_failure(found)
            return False
        self._record_answer()
        self._record_epoch(found.epoch)
        self._handler.on_listing(found)
        self.since = found.revision
        return True

    async def _wait_for_changes(self) -> bool:
        found = await self._watch_once()
        if found is None:
            return True
        if isinstance(found, Unavailable):
            self._record_failure(found)
            return False
        age_s = self._max_change_age_s()
        self._record_answer()
        if isinstance(found, HistoryLost):
            log.notice("history_lost", since=self.since)
            self.since = 0
            return True
        if found.epoch not in (0, self._epoch):
            # The store was restored from a backup, so this watch's revision has no meaning there.
            log.notice("store_restored", before=self._epoch, epoch=found.epoch, since=self.since)
            self.since = 0
            return True
        self._handler.on_changes(found, age_s)
        self.since = max(self.since, found.revision)
        if found.changes:
            await asyncio.sleep(CHANGE_BATCH_S)
        return True

    async def _watch_once(self) -> Changes | HistoryLost | Unavailable | None:
        """Run one watch; return None if it was cancelled and has to be started again."""
        is_standby = self._current_role() is WatchRole.STANDBY
        wait_s = STANDBY_WAIT_S if is_standby else self._timeouts.wait_s
        if self._failures:
            # An immediate answer shows whether a new connection works.
            wait_s = 0.0
        self._sent_at = self._now()
        call = self._store.watch("", self.since, wait_s, self._timeouts.answer_s)
        self._watch = watch = asyncio.ensure_future(call)
        try:
            while not watch.done():
                await asyncio.wait([watch], timeout=ROLE_CHECK_INTERVAL_S if is_standby else None)
                if is_standby and self._current_role() is WatchRole.PRIMARY:
                    return None
        finally:
            self._watch = None
            watch.cancel()
        return None if watch.cancelled() else watch.result()

    def _max_change_age_s(self) -> float:
        """Return the greatest age of the changes in the answer to a watch, in seconds.

        A watch is answered at the first change, so a change can't be older than the time in which
        no watch was pending. While the store itself was lost, its only changes were expired leases.
        """
        if self._is_lost:
            return 0.0
        return max(0.0, self._sent_at - self._answered_at)

    def _record_answer(self) -> None:
        now = self._now()
        if self._is_lost:
            log.notice("store_back", since=self.since, away_s=round(now - self._failing_since, 3))
        self._failures = 0
        self._answered_at = now
        self._set_lost(is_lost=False)

    def _record_epoch(self, epoch: int) -> None:
        if epoch != self._epoch:
            log.notice("store_epoch", before=self._epoch, epoch=epoch, since=self.since)
            self._epoch = epoch

    def _record_failure(self, failure: Unavailable) -> None:
        now = self._now()
        self._failures += 1
        if self._failures == 1:
            self._failing_since = now
            log.notice(
                "store_failed",
                since=self.since,
                why=failure.reason,
                unanswered_s=round(now - self._answered_at, 3),
            )
        failing_s = now - self._failing_since
        if (
            self._failures >= STORE_LOST_FAILURES
            and failing_s >= STORE_LOST_AFTER_S
            and not self._is_lost
        ):
            log.notice("store_lost", since=self.since, why=failure.reason, failures=self._failures)
            self._set_lost(is_lost=True)

    def _set_lost(self, *, is_lost: bool) -> None:
        if is_lost != self._is_lost:
            self._is_lost = is_lost
            self._handler.on_availability(is_lost)
