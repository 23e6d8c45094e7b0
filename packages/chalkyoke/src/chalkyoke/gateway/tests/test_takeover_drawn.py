"""Tests of silent replicas whose replacement refuses, breaks or is silent too, at drawn times."""

import asyncio

from chalkyoke.gateway.granted import Denied
from chalkyoke.gateway.replacement import MIN_SEARCH_S
from chalkyoke.gateway.takeover import MAX_OVERLAP_S
from chalkyoke.gateway.tests.test_takeover import (
    DEADLINE_S,
    EVENTS,
    FAILED,
    FULL,
    OK,
    PAUSES,
    STREAM,
    Fleet,
    ScriptedReplica,
    play,
    silent_replica,
    sound_replica,
)
from chalkyoke.http1.client import BreakReason
from chalkyoke.http1.dialing import ConnectFailure
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from tests import virtual

TIMES = st.sampled_from([0.0, 0.3, 0.9, 1.1, 1.25, 1.4, 1.7, 2.2, 3.1, 4.0])
SILENCES = st.sampled_from([0.95, 1.1, 1.3, 1.7, 2.5, 60.0])
FIRST = SILENCES.map(lambda silence_s: [0.1, 0.1, 0.1, silence_s, 0.1])
# Replicas that are silent when they get the request, reject it late, or pause amid their answers.
LATER = st.tuples(
    st.tuples(st.sampled_from([0.05, 0.15, 0.3, 0.7, 1.1]), st.sampled_from([0.05, 0.1, 1.0])).map(
        list
    ),
    st.sampled_from([OK, FULL, FULL]),
)


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


class Troubled(Fleet):
    """A fleet with a retry budget, whose route goes and whose slots are taken at set times.

    :param budget: number of sends beyond the first that the retry budget allows.
    :param taken: times from and until when no slot is free, in seconds.
    :param moved_at: when a configuration takes the route away.
    """

    def __init__(self, *replicas, budget=9, taken=(0.0, 0.0), moved_at=9.0, **other):
        super().__init__(*replicas, **other)
        self.began_at = asyncio.get_running_loop().time()
        self.left, self.spent, self.taken = budget, 0, taken
        self.unreachable = False
        self.exchange._parts.budget.remaining = lambda *_: float(self.left)
        self.exchange._parts.budget.try_spend = self.spend
        asyncio.get_running_loop().call_later(moved_at, self.configure_without_the_route)

    def spend(self, *_):
        assert self.left >= 1, "a send that the retry budget did not allow"
        self.left -= 1
        self.spent += 1
        return True

    async def acquire(self, admission, attempt, tried, **other):
        now = asyncio.get_running_loop().time()
        assert now <= admission.deadline
        if admission.patience_until <= now:
            return Denied("expired", 0.5)
        if self.taken[0] < now < self.taken[1]:
            return Denied("no free slot", 0.5)
        return await super().acquire(admission, attempt, tried, **other)

    async def connect(self, *_, **__):
        return ConnectFailure.REFUSED if self.unreachable else self.connection

    def check_sends(self, attempts):
        """Check order, attempts, the retry budget, and the work of two replicas at once."""
        numbers = self.caller.numbers
        assert numbers == list(range(len(numbers)))
        if self.caller.status == OK and self.caller.whole:
            assert len(numbers) == EVENTS
        sent = sorted(
            (each for each in self.replicas if each.sent_at is not None),
            key=lambda each: each.sent_at,
        )
        assert self.spent == max(0, len(sent) - 1)
        assert sum(each.status != FULL for each in sent) <= attempts
        assert not any(self.at_work.values()), self.at_work
        assert all(each.ended or each.cancelled_at is not None for each in sent)
        for number, each in enumerate(sent[1:], 1):
            at_work = [other for other in sent[:number] if other.works_at(each.sent_at + 0.21)]
            assert len(at_work) <= (not each.works_at(each.sent_at + 0.21)), self.log


class Working(ScriptedReplica):
    """A scripted replica that records when its work ends."""

    ended_at = None

    @property
    def ended(self):
        return self.ended_at is not None

    @ended.setter
    def ended(self, ended):
        if ended:
            self.ended_at = asyncio.get_running_loop().time()

    def works_at(self, at):
        """Return whether the replica works on the request at a time after its send."""
        ends = [each for each in (self.ended_at, self.cancelled_at) if each is not None]
        return self.sent_at <= at < min(ends, default=99.0)


def play_troubled(scripts, *, attempts, leaves_at=None, **other):
    """Play one stream, and return its fleet and when its exchange ended."""

    async def main():
        replicas = [
            Working(pauses, status, breaks_after=breaks, name=b"m%d" % number)
            for number, (pauses, status, breaks) in enumerate(scripts)
        ]
        fleet = Troubled(*replicas, route=replace(STREAM, attempts=attempts), **other)
        running = asyncio.ensure_future(fleet.run())
        if leaves_at is not None:
            await asyncio.sleep(leaves_at)
            fleet.exchange.caller_left()
        await asyncio.wait((running,))
        return fleet, asyncio.get_running_loop().time()

    return virtual.run(main)


@given(
    FIRST,
    st.lists(LATER, min_size=1, max_size=4),
    st.sampled_from([1.25, 1.4, 1.7, 9.0]),
    TIMES,
    st.sampled_from([1.25, 1.4, 1.7, 2.2, 9.0]),
    st.integers(1, 4),
    st.integers(2, 3),
    st.sampled_from([0.0, 0.1, 0.3]),
)
def test_a_stream_of_sound_replicas_is_not_cut_off_before_its_deadline(
    first, later, taken_from, taken_s, moved_at, budget, attempts, grant_s
):
    """Guards against answers that a refusal ends although each replica was about to go on."""
    fleet, ended_at = play_troubled(
        [(first, OK, None), *((*each, None) for each in later)],
        attempts=attempts,
        budget=budget,
        taken=(taken_from, taken_from + taken_s),
        moved_at=moved_at,
        grant_s=grant_s,
    )
    fleet.check_sends(attempts)
    if fleet.caller.status == "aborted":
        assert ended_at >= DEADLINE_S - MIN_SEARCH_S - 0.01, fleet.log
    assert ended_at <= DEADLINE_S + 0.2


@given(
    st.lists(
        st.tuples(PAUSES, st.sampled_from([OK, OK, FULL, FAILED]), st.sampled_from([None, 0, 3])),
        min_size=1,
        max_size=5,
    ),
    TIMES,
    st.integers(0, 4),
    st.integers(2, 3),
    TIMES,
)
def test_no_replica_gets_or_keeps_a_stream_whose_caller_has_left(
    scripts, moved_at, budget, attempts, leaves_at
):
    """Guards against searches that go on for nobody."""
    fleet, _ = play_troubled(
        scripts, attempts=attempts, budget=budget, moved_at=moved_at, leaves_at=leaves_at
    )
    fleet.check_sends(attempts)
    for each in fleet.replicas:
        assert each.sent_at is None or each.sent_at <= leaves_at
        assert each.sent_at is None or not each.works_at(leaves_at + 0.01)
