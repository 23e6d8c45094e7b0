"""
chalkyoke.node.tests.test_supervisor

Loops are run at even times, whenever the node has started, and again after they have failed.
"""

import asyncio
import errno
import itertools

import logbook
import pytest
from chalkyoke.administration.metrics import Metrics
from chalkyoke.exceptions import InvariantBroken
from chalkyoke.node.supervisor import (
    MAX_RESTART_DELAY_S,
    MIN_RESTART_DELAY_S,
    REPEATED_FAULT_S,
    STABLE_S,
    Supervisor,
)

from tests import virtual

INTERVAL_S = 0.05
SECONDS = 10.0
MAX_CALLS = 1000


# Guards against a loop that was called over and over at one moment: a rounded division had put that
# moment into the interval before.
@pytest.mark.parametrize("started", [0.0, 8.0, 8.061854647, 12.345678901])
def test_a_function_is_called_once_in_each_interval_whenever_the_node_has_started(started):
    calls = []

    async def main():
        await asyncio.sleep(started)
        supervisor = Supervisor(Metrics())
        ended = asyncio.get_running_loop().time() + SECONDS - INTERVAL_S / 2

        def work():
            calls.append(asyncio.get_running_loop().time())
            assert len(calls) < MAX_CALLS
            if calls[-1] > ended:
                supervisor.ended.set()

        supervisor.repeat("work", INTERVAL_S, work)
        await supervisor.ended.wait()
        assert supervisor.failure is None
        supervisor.cancel()

    virtual.run(main)
    assert len(calls) == round(SECONDS / INTERVAL_S) + 1
    gaps = [after - before for before, after in itertools.pairwise(calls)]
    assert gaps == pytest.approx([INTERVAL_S] * len(gaps), abs=1e-6)


class FailingLoop:
    """A loop that raises ``error`` after each of the given durations, and then runs on.

    :ivar starts: when it was started, on the loop's clock.
    """

    def __init__(self, *durations_s, error=None):
        self._durations_s = list(durations_s)
        self._error = error or LookupError("planted")
        self.starts = []

    async def run(self):
        self.starts.append(asyncio.get_running_loop().time())
        if not self._durations_s:
            await asyncio.Event().wait()
        await asyncio.sleep(self._durations_s.pop(0))
        raise self._error


def run_for(seconds, *loops):
    """Run loops under a supervisor; return it and its gauge of failing loops over time."""
    gauge = []

    async def main():
        metrics = Metrics()
        supervisor = Supervisor(metrics)
        for number, each in enumerate(loops):
            supervisor.keep_running(f"loop {number}", each.run)
        for _ in range(int(seconds)):
            await asyncio.sleep(1.0)
            gauge.append(metrics.gauges["loops_failing"]())
        supervisor.cancel()
        return supervisor

    return virtual.run(main), gauge


# Guards against a fault in one loop that ended the process with all requests in progress.
def test_a_loop_that_fails_is_started_again_at_growing_intervals():
    loop = FailingLoop(*[0.0] * 12)
    supervisor, _ = run_for(60, loop)
    gaps = [after - before for before, after in itertools.pairwise(loop.starts)]
    assert gaps[:3] == pytest.approx([MIN_RESTART_DELAY_S * 2**n for n in range(3)])
    assert gaps[-1] == pytest.approx(MAX_RESTART_DELAY_S)
    assert supervisor.failure is None and not supervisor.ended.is_set()


def test_a_loop_that_has_run_for_long_is_started_again_soon_and_counts_as_sound():
    loop = FailingLoop(0.0, 0.0, 0.0, 2 * STABLE_S)
    _, gauge = run_for(60, loop)
    assert loop.starts[-1] - loop.starts[-2] == pytest.approx(2 * STABLE_S + MIN_RESTART_DELAY_S)
    assert gauge[1] == 1 and gauge[-1] == 0


def test_a_function_that_fails_is_called_again_at_its_next_interval():
    calls = []

    async def main():
        metrics = Metrics()
        supervisor = Supervisor(metrics)

        def work():
            calls.append(asyncio.get_running_loop().time())
            if len(calls) <= 3:
                raise LookupError("planted")

        supervisor.repeat("work", 1.0, work)
        await asyncio.sleep(5.5)
        assert metrics.counter_value("faults") == 3
        assert metrics.gauges["loops_failing"]() == 0
        supervisor.cancel()

    virtual.run(main)
    assert len(calls) == 6


@pytest.mark.parametrize(
    "error",
    [InvariantBroken("planted"), ExceptionGroup("group", [InvariantBroken("planted")])],
)
def test_a_broken_invariant_ends_the_process(error):
    loop = FailingLoop(0.0, error=error)
    supervisor, _ = run_for(3, loop)
    assert isinstance(supervisor.failure, InvariantBroken) and supervisor.ended.is_set()
    assert len(loop.starts) == 1


# Guards against a loop that stopped for good, without a word, when a task that it waited for was
# cancelled by somebody else.
def test_a_loop_that_waits_for_a_cancelled_task_is_started_again():
    loop = FailingLoop(0.0, 0.0, error=asyncio.CancelledError())
    supervisor, gauge = run_for(15, loop)
    assert len(loop.starts) == 3
    assert gauge[0] == 1 and gauge[-1] == 0
    assert supervisor.failure is None


def test_a_function_that_reads_a_cancelled_task_is_called_again():
    calls = []

    async def main():
        supervisor = Supervisor(Metrics())
        cancelled = asyncio.get_running_loop().create_future()
        cancelled.cancel()

        def work():
            calls.append(asyncio.get_running_loop().time())
            if len(calls) == 1:
                cancelled.result()

        supervisor.repeat("work", 1.0, work)
        await asyncio.sleep(3.5)
        supervisor.cancel()

    virtual.run(main)
    assert len(calls) == 4


def test_cancelled_loops_are_not_started_again():
    loop = FailingLoop()

    async def main():
        supervisor = Supervisor(Metrics())
        supervisor.keep_running("loop", loop.run)
        await asyncio.sleep(1.0)
        supervisor.cancel()
        await asyncio.sleep(10.0)
        assert supervisor.failure is None

    virtual.run(main)
    assert len(loop.starts) == 1


def test_a_fault_that_is_raised_over_and_over_is_logged_once_a_second():
    """Guards against a log that held nothing but failed accepts, and dropped a failed reload."""
    faults = 1025

    async def main():
        metrics = Metrics()
        Supervisor(metrics)
        loop = asyncio.get_running_loop()
        with logbook.TestHandler() as log:
            for _ in range(2):
                for _ in range(faults):
                    error = OSError(errno.EMFILE, "no descriptors")
                    loop.call_exception_handler({"message": "accept", "exception": error})
                loop.call_exception_handler({"message": "read", "exception": ValueError("other")})
                await asyncio.sleep(REPEATED_FAULT_S)
        logged = [(each.kwargs["during"], each.kwargs.get("repeated", 0)) for each in log.records]
        assert logged == [("accept", 0), ("read", faults - 1)] * 2
        assert metrics.counter_value("faults") == 2 * (faults + 1)

    virtual.run(main)
