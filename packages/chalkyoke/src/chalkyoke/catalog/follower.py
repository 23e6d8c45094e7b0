"""
chalkyoke.catalog.follower

Follow the changes in the store by watches, and know when that no longer works: a call without an
answer in time has a connection that went silent, and is made again on a new one.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

import msgspec

from chalkyoke.logs import logger
from chalkyoke.storage.messages import Changes, HistoryLost, Listing, Unavailable
from chalkyoke.storage.port import Store

# How often a node looks whether its part in following the store has changed, in seconds: a beat.
ROLE_CHECK_INTERVAL_S = 0.25
# A node does not follow the store in its first second: it knows nobody yet and would believe each
# time that it has to. What changes meanwhile it hears from its peers, or from its first watch.
STARTUP_DELAY_S = 1.0
# How long changes gather before the next watch, in seconds: they come in crowds, and each call
# is priced.
CHANGE_BATCH_S = 0.05
# Pause after a failed call, in seconds: doubled with each, up to the longest.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
# The same for a node that others have taken the duty over from, until the store answers it again.
RELIEVED_PAUSE_S = 2.0
# The store is lost for this node after so many failed calls in a row over so many seconds. One
# silent connection is one failed call; the next one, on a new connection, is answered.
STORE_LOST_FAILURES = 2
STORE_LOST_AFTER_S = 0.5

# How long a standby's watch waits, in seconds. It is there for the moment in which the first one
# falls silent; that nothing comes for so long is noticed by the first one.
STANDBY_WAIT_S = 10.0

log = logger("store")


class WatchRole(StrEnum):
    """A node's part in following the store for its failure domain."""

    PRIMARY = "first"
    STANDBY = "standby"
    NONE = "none"


class WatchTimeouts(msgspec.Struct, frozen=True):
    """How long the watch of the first node of a failure domain may take.

    A change that came behind silent connections is known at most ``wait_s + answer_s`` after they
    went silent. What that costs is one call each ``wait_s`` from each failure domain while nothing
    changes.

    :param wait_s: how long the store lets a watch wait for a change, in seconds.
    :param answer_s: how long an answer is waited for beyond that, in seconds.
    """

    wait_s: float
    answer_s: float

    @classmethod
    def split(cls, silence_s: float) -> "WatchTimeouts":
        """Share the time for which a silent connection may go unnoticed.

        Half is waiting; a quarter is left for the store's answer, some times what a slow one
        takes; the last quarter is for the new connection and for telling the peers.

        :param silence_s: the whole time, in seconds.
        """
        return cls(silence_s / 2, silence_s / 4)


class UpdateHandler(Protocol):
    """Takes what the store tells."""

    def on_listing(self, listing: Listing) -> None:
        """Take all that there is."""

    def on_changes(self, found: Changes, age_s: float) -> None:
        """Take what has changed.

        :param age_s: how long ago it may have changed at most, in seconds.
        """

    def on_availability(self, is_lost: bool) -> None:
        """Learn whether the store answers this node."""


class StoreFollower:
    """Follow the store, where this node has to.

    :param bounds: how long a watch may take.
    :param taker: takes what the store tells.
    :param part: tells this node's part in following the store.
    :param now: the node's clock, in seconds.
    :ivar since: revision up to which this node has followed the store; 0 is not at all.
    """

    def __init__(
        self,
        store: Store,
        bounds: WatchTimeouts,
        taker: UpdateHandler,
        part: Callable[[], WatchRole],
        now: Callable[[], float],
    ) -> None:
        self.since = 0
        self._epoch = 0
        self._store = store
        self._bounds = bounds
        self._taker = taker
        self._part = part
        self._now = now
        self._failures = 0
        self._failing_since = 0.0
        self._is_lost = False
        self._answered_at = 0.0
        self._sent_at = 0.0
        self._watch: asyncio.Task[Changes | HistoryLost | Unavailable] | None = None

    async def run(self) -> None:
        """Follow the store for as long as the process lives."""
        while True:
            if self.since and not self._is_lost and self._part_now() is WatchRole.NONE:
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            answered = await (self._wait_for_changes() if self.since else self._read_all())
            if not answered:
                await asyncio.sleep(self._pause_s())

    def restart_watch(self) -> None:
        """Make the watch again: peers know more, so it may have gone silent.

        A watch that could not have been answered yet is left alone; where the store is slow it
        would never be answered.
        """
        waited = self._now() - self._sent_at
        if self._watch is not None and waited > self._bounds.answer_s:
            log.notice("watch_renewed", since=self.since, waited_s=round(waited, 3))
            self._watch.cancel()

    def _part_now(self) -> WatchRole:
        return WatchRole.NONE if self._now() < STARTUP_DELAY_S else self._part()

    def _pause_s(self) -> float:
        if self._is_lost and self._part_now() is WatchRole.NONE:
            return RELIEVED_PAUSE_S
        doubled: float = FIRST_PAUSE_S * 2 ** min(self._failures - 1, 5)
        return min(MAX_PAUSE_S, doubled)

    async def _read_all(self) -> bool:
        """Read everything at once."""
        found = await self._store.read("")
        if isinstance(found, Unavailable):
            self._note_failure(found)
            return False
        self._note_answer()
        self._note_epoch(found.epoch)
        self._taker.on_listing(found)
        self.since = found.revision
        return True

    async def _wait_for_changes(self) -> bool:
        found = await self._ask()
        if found is None:
            return True
        if isinstance(found, Unavailable):
            self._note_failure(found)
            return False
        age_s = self._age_of_changes_s()
        self._note_answer()
        if isinstance(found, HistoryLost):
            log.notice("history_lost", since=self.since)
            self.since = 0
            return True
        if found.epoch not in (0, self._epoch):
            # It was restored from a copy: its revisions are not those that were asked from.
            log.notice("store_restored", before=self._epoch, epoch=found.epoch, since=self.since)
            self.since = 0
            return True
        self._taker.on_changes(found, age_s)
        self.since = max(self.since, found.revision)
        if found.changes:
            await asyncio.sleep(CHANGE_BATCH_S)
        return True

    async def _ask(self) -> Changes | HistoryLost | Unavailable | None:
        """Wait for the answer of one watch; nothing where it is to be made anew."""
        standby = self._part_now() is WatchRole.STANDBY
        wait_s = STANDBY_WAIT_S if standby else self._bounds.wait_s
        if self._failures:
            # An answer at once tells whether a new connection works.
            wait_s = 0.0
        self._sent_at = self._now()
        asked = self._store.watch("", self.since, wait_s, self._bounds.answer_s)
        self._watch = watch = asyncio.ensure_future(asked)
        try:
            while not watch.done():
                await asyncio.wait([watch], timeout=ROLE_CHECK_INTERVAL_S if standby else None)
                if standby and self._part_now() is WatchRole.PRIMARY:
                    return None
        finally:
            self._watch = None
            watch.cancel()
        return None if watch.cancelled() else watch.result()

    def _age_of_changes_s(self) -> float:
        """Tell how old the changes of a watch may be.

        A watch is answered at the first change, so what it brings is as old as the time in which
        none was waiting. Where the store itself was away, it changed nothing meanwhile but by
        leases that ran out.
        """
        if self._is_lost:
            return 0.0
        return max(0.0, self._sent_at - self._answered_at)

    def _note_answer(self) -> None:
        now = self._now()
        if self._is_lost:
            log.notice("store_back", since=self.since, away_s=round(now - self._failing_since, 3))
        self._failures = 0
        self._answered_at = now
        self._set_lost(is_lost=False)

    def _note_epoch(self, epoch: int) -> None:
        if epoch != self._epoch:
            log.notice("store_epoch", before=self._epoch, epoch=epoch, since=self.since)
            self._epoch = epoch

    def _note_failure(self, failure: Unavailable) -> None:
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
        for_s = now - self._failing_since
        if (
            self._failures >= STORE_LOST_FAILURES
            and for_s >= STORE_LOST_AFTER_S
            and not self._is_lost
        ):
            log.notice("store_lost", since=self.since, why=failure.reason, failures=self._failures)
            self._set_lost(is_lost=True)

    def _set_lost(self, *, is_lost: bool) -> None:
        if is_lost != self._is_lost:
            self._is_lost = is_lost
            self._taker.on_availability(is_lost)
