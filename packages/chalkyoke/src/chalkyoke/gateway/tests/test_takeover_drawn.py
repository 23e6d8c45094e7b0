"""Tests of silent replicas whose replacement refuses, breaks or is silent too, at drawn times."""

import asyncio

from chalkyoke.gateway.granted import Denied
from chalkyoke.gateway.takeover import MAX_OVERLAP_S
from chalkyoke.gateway.tests.test_takeover import (
    Fleet,
    ScriptedReplica,
    play,
    silent_replica,
    sound_replica,
)
from chalkyoke.http1.client import BreakReason

from tests import virtual


class BreakingReplica(ScriptedReplica):
    """A replica that breaks the connection before its head, some time after the request."""

    def __init__(self, after_s):
        super().__init__([60.0])
        self.after_s = after_s

    def send(self, data, sink, matches, **other):
        super().send(data, sink, matches, **other)
        loop = asyncio.get_running_loop()
        loop.call_at(loop.time() + self.after_s, self._break)

    def _break(self):
        self.ended = True
        self.task.cancel()
        self.sink.answer_broken(BreakReason.RESET)


def test_a_silent_stream_goes_on_if_the_next_replica_breaks_in_the_turn_in_which_overlap_ends():
    """Guards against a silent replica that is given up for one whose break was just received.

    The loop runs the callbacks of connections before timers that have become due with them.
    """
    breaking = BreakingReplica(MAX_OVERLAP_S - 1e-10)
    play(silent_replica(), breaking).check_whole()


class Scheduled(Fleet):
    """A fleet whose scheduler refuses what has expired, and has a free slot late."""

    free_from = 3.6

    async def acquire(self, admission, attempt, tried, **other):
        now = asyncio.get_running_loop().time()
        if admission.patience_until <= now:
            return Denied("expired", 0.5)
        if tried and now < self.free_from:
            return Denied("no free slot", 0.5)
        return await super().acquire(admission, attempt, tried, **other)


def test_a_stream_whose_caller_waits_beyond_its_patience_goes_on_at_a_free_replica():
    """Guards against streams of hanging replicas that were refused a free one until the deadline.

    Callers leave when they want to; until then the host owes them the rest.
    """

    async def main():
        fleet = Scheduled(silent_replica(60.0), sound_replica())
        await fleet.run()
        return fleet

    virtual.run(main).check_whole()
