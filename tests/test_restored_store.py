"""
tests.test_restored_store

Whole nodes before a store that comes back from a copy some seconds old: the revisions that it gives
out again must not hide what replicas and operators write from then on.
"""

import asyncio
import json

from chalkyoke_fakes.platformfleet import default_configuration

from tests.gatewayfleet import play
from tests.test_leaving_and_rest import keep_asking, of_path, served_share

PATHS = ("/chat/1", "/find/1")
# How many revisions the copy lacks, and how long before the return it was made, in seconds.
LOST_REVISIONS = 40
COPY_AGE_S = 3.0
AWAY_S = 0.5
# How long after it said that it leaves a replica may still get requests, in seconds.
LEFT_ALONE_S = 2.0
# How soon after the store's return all nodes go by it again, in seconds.
AGREED_S = 1.0
PLAYED_S = 5.0


def now():
    return asyncio.get_running_loop().time()


def later_sends(replica, since):
    """Count what reached a replica too long after it had said that it leaves."""
    return sum(each.at > since + LEFT_ALONE_S for each in replica.seen)


class Operator:
    """Writes configurations, and writes the last one again where the store has lost it."""

    def __init__(self, store):
        self._store = store
        self._version = 1

    def configure(self):
        self._version += 1
        self.write_again()

    def write_again(self):
        document = json.dumps(default_configuration(self._version)).encode()
        self._store.put("op/config", document)


async def restore(fleet, in_lost_seconds=None):
    """Let the store lose its last seconds and come back from a copy.

    :param in_lost_seconds: done just before the store goes away.
    """
    store, operator = fleet.store, Operator(fleet.store)
    copy = store.copy()
    for _ in range(LOST_REVISIONS):
        operator.configure()
        await asyncio.sleep(COPY_AGE_S / LOST_REVISIONS)
    if in_lost_seconds is not None:
        await in_lost_seconds()
        await asyncio.sleep(0.5)
    store.go_away()
    await asyncio.sleep(AWAY_S)
    store.restore(copy)
    operator.write_again()
    return operator


async def asking(fleet, path, story):
    """Let callers ask while a story goes on, and for some seconds after it."""
    callers = asyncio.ensure_future(keep_asking(fleet, path, COPY_AGE_S + AWAY_S + PLAYED_S + 6.0))
    await asyncio.sleep(1.0)
    found = await story()
    return found, await callers


def play_path(path, story):
    """Play a story beside callers.

    :return: what the story gives, and the share of callers that were served.
    """
    found = []

    async def check(fleet):
        result, got = await asking(fleet, path, lambda: story(fleet, of_path(fleet, path)))
        found.append((result, served_share(got)))

    play(check)
    return found[0]


# Guards against sends to a replica that said it leaves after the store's revisions went back.
def test_a_replica_that_leaves_after_a_restore_is_left_alone():
    async def story(fleet, replicas):
        operator = await restore(fleet)
        await asyncio.sleep(AGREED_S)
        await replicas[0].declare("draining")
        since = now()
        for _ in range(int(PLAYED_S)):
            await asyncio.sleep(1.0)
            operator.configure()
        return later_sends(replicas[0], since)

    found = {path: play_path(path, story) for path in PATHS}
    assert all(late == 0 and served > 0.99 for late, served in found.values()), found
