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

BOUNDS = WatchTimeouts(1.5, 0.75)
TIMED_OUT = Unavailable("timed out", may_have_been_applied=True)
REFUSED = Unavailable("503", may_have_been_applied=False)


class ScriptedStore:
    """A store whose watches do what a script says; behind its end nothing changes."""

    def __init__(self, *script):
        self.script = list(script)
        self.asked = []

    async def read(self, prefix):
        return Listing((), 1)

    async def watch(self, prefix, since, wait_s, answer_s):
        self.asked.append((asyncio.get_running_loop().time(), wait_s))
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


class Taker:
    def __init__(self):
        self.news, self.beliefs = [], []

    def on_listing(self, listing):
        pass

    def on_changes(self, found, age_s):
        if found.changes:
            self.news.append((asyncio.get_running_loop().time(), age_s))

    def on_availability(self, is_lost):
        self.beliefs.append(is_lost)


def follow(store, for_s, part=lambda: WatchRole.PRIMARY, at_last=lambda follower: None):
    async def main():
        loop = asyncio.get_running_loop()
        taker = Taker()
        follower = StoreFollower(store, BOUNDS, taker, part, loop.time)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(for_s)
        at_last(follower)
        await asyncio.sleep(0.01)
        assert not task.done()
        task.cancel()
        return taker

    return virtual.run(main)


def test_a_silent_watch_is_made_again_within_its_bounds_and_asks_for_an_answer_at_once():
    store = ScriptedStore("silent", (0.0, 5))
    taker = follow(store, 6.0)
    (first, _), (second, wait_s) = store.asked[:2]
    assert second - first <= BOUNDS.wait_s + BOUNDS.answer_s + 0.1 and wait_s == 0.0
    assert taker.beliefs == []


def test_news_from_behind_a_silent_connection_are_as_old_as_the_silence():
    taker = follow(ScriptedStore((0.5, 3), "silent", (0.0, 5)), 8.0)
    (_, prompt_s), (_, late_s) = taker.news
    assert prompt_s <= 1.25, "the first watch begins a second after the first listing"
    assert late_s >= BOUNDS.wait_s + BOUNDS.answer_s


def test_what_a_pending_watch_brings_is_new():
    taker = follow(ScriptedStore("idle", (1.0, 3), (1.0, 5)), 8.0)
    assert all(age_s < 0.1 for _, age_s in taker.news) and len(taker.news) == 2


def test_a_store_that_keeps_failing_is_lost_and_comes_back():
    store = ScriptedStore(*["refused"] * 6, (0.0, 5))
    taker = follow(store, 8.0)
    assert taker.beliefs == [True, False]
    assert store.asked[2][0] - store.asked[0][0] < STORE_LOST_AFTER_S


def test_a_node_that_was_relieved_asks_rarely_until_it_is_answered():
    store = ScriptedStore(*["refused"] * 100)
    parts = [WatchRole.PRIMARY]

    async def main():
        loop = asyncio.get_running_loop()
        taker = Taker()
        task = asyncio.create_task(
            StoreFollower(store, BOUNDS, taker, lambda: parts[0], loop.time).run()
        )
        await asyncio.sleep(4.0)
        parts[0] = WatchRole.NONE
        before = len(store.asked)
        await asyncio.sleep(5 * RELIEVED_RETRY_DELAY_S)
        assert len(store.asked) - before <= 6
        store.script.clear()
        await asyncio.sleep(RELIEVED_RETRY_DELAY_S + 0.1)
        assert taker.beliefs == [True, False]
        task.cancel()

    virtual.run(main)


def test_a_watch_that_could_not_have_been_answered_yet_is_left_alone():
    store = ScriptedStore()
    follow(store, 1.25 + BOUNDS.answer_s / 2, at_last=lambda follower: follower.restart_watch())
    assert len(store.asked) == 1
    store = ScriptedStore()
    follow(store, 1.25 + BOUNDS.answer_s * 1.5, at_last=lambda follower: follower.restart_watch())
    assert len(store.asked) == 2


def test_a_standby_asks_rarely_and_at_once_when_it_becomes_the_first():
    store = ScriptedStore()
    parts = [WatchRole.STANDBY]

    async def main():
        loop = asyncio.get_running_loop()
        follower = StoreFollower(store, BOUNDS, Taker(), lambda: parts[0], loop.time)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.25 + STANDBY_WAIT_S + 1.0)
        assert [wait_s for _, wait_s in store.asked] == [STANDBY_WAIT_S] * 2
        parts[0] = WatchRole.PRIMARY
        await asyncio.sleep(ROLE_CHECK_INTERVAL_S + 0.01)
        assert [wait_s for _, wait_s in store.asked[2:]] == [BOUNDS.wait_s]
        task.cancel()

    virtual.run(main)
