"""
chalkyoke.scheduling.entries

Track the entry processes of one pool: when each was last heard, and which grants have ended
although their release was lost.
"""

from collections.abc import Collection

from chalkyoke.scheduling.pool import PoolState

# Age from which a grant counts as ended if its entry process no longer lists it, in seconds: three
# progress reports.
LOST_RELEASE_S = 3.0
# An entry process that has sent nothing for this long counts as dead, in seconds: ten reports.
ENTRY_TIMEOUT_S = 10.0
# Interval between checks for silent entry processes, in seconds.
SWEEP_S = 1.0


class Entries:
    """The entry processes that send requests to one pool.

    :param pool: state of the pool, from which requests are removed.
    :param now: seconds on the scheduler's clock.
    """

    def __init__(self, pool: PoolState, now: float) -> None:
        self._pool = pool
        self._last_message_at: dict[str, float] = {}
        self._next_sweep = now

    def record_message(self, entry: str, now: float) -> None:
        """Record that an entry process has sent a message."""
        self._last_message_at[entry] = now

    def end_unlisted(self, entry: str, listed: Collection[str], now: float) -> bool:
        """End the grants that a progress report of their entry process no longer lists.

        :param listed: ids of the requests that the report lists.
        :return: whether any grant was ended.
        """
        lost = [
            each
            for each in self._pool.running.values()
            if each.entry == entry
            and each.request not in listed
            and now - each.granted > LOST_RELEASE_S
        ]
        for running in lost:
            self._pool.end_running(running, now)
        return bool(lost)

    def remove(self, entry: str, now: float) -> None:
        """Remove the waiting and running requests of an entry process."""
        for waiting in [each for each in self._pool.waiting.values() if each.entry == entry]:
            self._pool.remove_waiting(waiting)
        for running in [each for each in self._pool.running.values() if each.entry == entry]:
            self._pool.end_running(running, now)

    def sweep(self, now: float) -> list[str]:
        """Remove the requests of entry processes that have sent nothing for a while.

        Membership reports a death only once, and a message that was in flight may arrive after
        that.

        :return: the entry processes whose requests were removed.
        """
        if now < self._next_sweep:
            return []
        self._next_sweep = now + SWEEP_S
        silent = [
            entry for entry, at in self._last_message_at.items() if now - at > ENTRY_TIMEOUT_S
        ]
        for entry in silent:
            del self._last_message_at[entry]
            self.remove(entry, now)
        if self._pool.spec.plain:
            self._end_unreported(now)
        return silent

    def _end_unreported(self, now: float) -> None:
        """End grants of a plain service whose release was lost.

        An entry process reports a plain request only once it has run for a second, so a process
        whose requests are all shorter sends no report that would leave out the lost one.
        """
        lost = [
            each
            for each in self._pool.running.values()
            if now - max(each.granted, each.reported_at) > LOST_RELEASE_S
        ]
        for running in lost:
            self._pool.end_running(running, now)
