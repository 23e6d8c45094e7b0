"""
chalkyoke.node.supervisor

Runs the loops of a node and ends the process on a fatal fault.
"""

import asyncio
from collections.abc import Callable, Coroutine

from chalkyoke.administration.metrics import Metrics
from chalkyoke.exceptions import InvariantBroken
from chalkyoke.logs import logger

log = logger("node")


class Supervisor:
    """Run loops until the process ends. Create it inside the running event loop.

    :param metrics: counts faults that end one connection only.
    :ivar ended: set when the process must end.
    :ivar failure: the fault that ended the process, or None.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.ended = asyncio.Event()
        self.failure: BaseException | None = None
        self._metrics = metrics
        self._tasks: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        self._started = loop.time()
        loop.set_exception_handler(self._on_exception)

    def start(self, work: Coroutine[None, None, None]) -> None:
        """Run a loop as a task; an exception in it ends the process."""
        task = asyncio.create_task(work)
        task.add_done_callback(self._loop_ended)
        self._tasks.append(task)

    def repeat(self, interval_s: float, work: Callable[[], None]) -> None:
        """Call a function every ``interval_s`` seconds, beginning now."""
        self.start(_repeat(interval_s, self._started, work))

    def fail(self, error: BaseException) -> None:
        """End the process because of a fatal fault; the first fault is kept."""
        if self.failure is None:
            log.critical("fatal", error=repr(error))
            self.failure = error
        self.ended.set()

    def cancel(self) -> None:
        """Cancel all loops."""
        for task in self._tasks:
            task.cancel()

    def _loop_ended(self, task: "asyncio.Task[None]") -> None:
        # A process without one of its loops would look healthy but do nothing.
        if not task.cancelled() and (error := task.exception()) is not None:
            self.fail(error)

    def _on_exception(self, _: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        error = context.get("exception")
        if isinstance(error, InvariantBroken):
            self.fail(error)
        elif isinstance(error, BaseException) and not isinstance(error, ConnectionError):
            # A fault while serving one connection ends that connection, not the process.
            self._metrics.count("faults")
            log.error("fault", where=str(context.get("message")), error=repr(error))


async def _repeat(interval_s: float, started: float, work: Callable[[], None]) -> None:
    """Call a function at the same times as all functions of the same interval.

    The event loop then wakes once for all of them.
    """
    loop = asyncio.get_running_loop()
    intervals = 0
    while True:
        work()
        # A division of rounded times may give the interval before the one that has just begun.
        intervals = max(intervals, int((loop.time() - started) // interval_s)) + 1
        woken = loop.create_future()
        loop.call_at(started + intervals * interval_s, _wake, woken)
        await woken


def _wake(woken: "asyncio.Future[None]") -> None:
    if not woken.done():
        woken.set_result(None)
