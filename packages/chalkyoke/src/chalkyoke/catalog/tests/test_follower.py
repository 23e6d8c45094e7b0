import asyncio

from chalkyoke.catalog.follower import (
    RELIEVED_RETRY_DELAY_S,
    ROLE_CHECK_INTERVAL_S,
    STANDBY_WAIT_S,
    STORE_LOST_AFTER_S,
    StoreFollower,
    WatchRole,
    WatchTimeouts,
)
from chalkyoke.storage.messages import Changes, Listing, Removed, Unavailable

from tests import virtual

TIMEOUTS = WatchTimeouts(1.5, 0.75)
TIMED_OUT = Unavailable("timed out", may_have_been_applied=True)
REFUSED = Unavailable("503", may_have_been_applied=False)


class ScriptedStore:
    """A store whose watches follow a script; after its end nothing changes."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []

    async def read(self, prefix):
        return Listing((), 1)

    async def watch(self, prefix, since, wait_s, answer_s):
        self.calls.append((asyncio.get_running_loop().time(), wait_s))
        step = self.script.pop(0) if self.script else "idle"
        if step == "silent":
            await asyncio.sleep(wait_s + answer_s)
            return TIMED_OUT
        if step == "refused":
            return REFUSED
        if step == "idle":
            await asyncio.sleep(wait_s)
            return Changes((), since)
        after_s, revision = step
        await asyncio.sleep(after_s)
        return Changes((Removed("k", revision),), revision)


class RecordingHandler:
    def __init__(self):
        self.changes, self.lost_reports = [], []

    def on_listing(self, listing):
        pass

    def on_changes(self, found, age_s):
        if found.changes:
            self.changes.append((asyncio.get_running_loop().time(), age_s))

    def on_availability(self, is_lost):
        self.lost_reports.append(is_lost)


def follow(store, duration_s, role=lambda: WatchRole.PRIMARY, at_end=lambda follower: None):
    async def main():
        loop = asyncio.get_running_loop()
        handler = RecordingHandler()
        follower = StoreFollower(store, TIMEOUTS, handler, role, loop.time)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(duration_s)
        at_end(follower)
        await asyncio.sleep(0.01)
        assert not task.done()
        task.cancel()
        return handler

    return virtual.run(main)


def test_a_silent_watch_is_repeated_within_its_timeouts_without_a_wait():
    store = ScriptedStore("silent", (0.0, 5))
    handler = follow(store, 6.0)
    (first, _), (second, wait_s) = store.calls[:2]
    assert second - first <= TIMEOUTS.wait_s + TIMEOUTS.answer_s + 0.1 and wait_s == 0.0
    assert handler.lost_reports == []


def test_changes_after_a_silent_connection_count_as_old_as_the_silence():
    handler = follow(ScriptedStore((0.5, 3), "silent", (0.0, 5)), 8.0)
    (_, prompt_s), (_, late_s) = handler.changes
    assert prompt_s <= 1.25, "the first watch begins a second after the first listing"
    assert late_s >= TIMEOUTS.wait_s + TIMEOUTS.answer_s


def test_changes_in_the_answer_to_a_pending_watch_have_no_age():
    handler = follow(ScriptedStore("idle", (1.0, 3), (1.0, 5)), 8.0)
    assert all(age_s < 0.1 for _, age_s in handler.changes) and len(handler.changes) == 2


def test_a_store_that_keeps_failing_is_reported_lost_until_it_answers():
    store = ScriptedStore(*["refused"] * 6, (0.0, 5))
    handler = follow(store, 8.0)
    assert handler.lost_reports == [True, False]
    assert store.calls[2][0] - store.calls[0][0] < STORE_LOST_AFTER_S


def test_a_relieved_node_retries_rarely_until_the_store_answers():
    store = ScriptedStore(*["refused"] * 100)
    roles = [WatchRole.PRIMARY]

    async def main():
        loop = asyncio.get_running_loop()
        handler = RecordingHandler()
        task = asyncio.create_task(
            StoreFollower(store, TIMEOUTS, handler, lambda: roles[0], loop.time).run()
        )
        await asyncio.sleep(4.0)
        roles[0] = WatchRole.NONE
        before = len(store.calls)
        await asyncio.sleep(5 * RELIEVED_RETRY_DELAY_S)
        assert len(store.calls) - before <= 6
        store.script.clear()
        await asyncio.sleep(RELIEVED_RETRY_DELAY_S + 0.1)
        assert handler.lost_reports == [True, False]
        task.cancel()

    virtual.run(main)


def test_a_watch_younger_than_its_answer_timeout_is_not_restarted():
    store = ScriptedStore()
    follow(store, 1.25 + TIMEOUTS.answer_s / 2, at_end=lambda follower: follower.restart_watch())
    assert len(store.calls) == 1
    store = ScriptedStore()
    follow(store, 1.25 + TIMEOUTS.answer_s * 1.5, at_end=lambda follower: follower.restart_watch())
    assert len(store.calls) == 2


def test_a_standby_watches_rarely_and_restarts_at_once_as_primary():
    store = ScriptedStore()
    roles = [WatchRole.STANDBY]

    async def main():
        loop = asyncio.get_running_loop()
        follower = StoreFollower(store, TIMEOUTS, RecordingHandler(), lambda: roles[0], loop.time)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.25 + STANDBY_WAIT_S + 1.0)
        assert [wait_s for _, wait_s in store.calls] == [STANDBY_WAIT_S] * 2
        roles[0] = WatchRole.PRIMARY
        await asyncio.sleep(ROLE_CHECK_INTERVAL_S + 0.01)
        assert [wait_s for _, wait_s in store.calls[2:]] == [TIMEOUTS.wait_s]
        task.cancel()

    virtual.run(main)
