"""
chalkyoke.node.supervisor

Runs the loops of a node, starts those again that fail, and ends the process on a broken invariant.
"""

import asyncio
import math
import traceback
from collections.abc import Callable, Coroutine, Iterable

from chalkyoke.administration.metrics import Metrics
from chalkyoke.decoding.decoder import MAX_REASON_CHARS
from chalkyoke.exceptions import InvariantBroken
from chalkyoke.logs import logger

# Delay before a loop that has failed is started again, in seconds: it doubles with each failure in
# a row, up to the maximum.
MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0
# How long a loop has to run before a failure counts as the first in a row, in seconds.
STABLE_S = 10.0
# How often a fault that is raised over and over is logged, in seconds. Without descriptors, asyncio
# raises one for each connection that might wait for accept.
REPEATED_FAULT_S = 1.0

log = logger("node")


class Supervisor:
    """Run loops until the process ends. Create it inside the running event loop.

    A fault in a loop leaves the others, and the requests in progress, alone. Only a broken
    invariant ends the process.

    :param metrics: counts the faults that don't end the process.
    :param count_requests: returns the number of requests in progress, for the log.
    :ivar ended: set when the process must end.
    :ivar failure: the fault that ended the process, or None.
    """

    def __init__(self, metrics: Metrics, count_requests: Callable[[], int] = lambda: 0) -> None:
        self.ended = asyncio.Event()
        self.failure: BaseException | None = None
        self._metrics = metrics
        self._count_requests = count_requests
        self._tasks: list[asyncio.Task[None]] = []
        self._failing: set[str] = set()
        self._last_fault: tuple[str, str] = ("", "")
        self._last_fault_at = -math.inf
        self._repeated_faults = 0
        metrics.register_gauge("loops_failing", lambda: len(self._failing))
        loop = asyncio.get_running_loop()
        self._started = loop.time()
        loop.set_exception_handler(self._on_exception)

    def start(self, work: Coroutine[None, None, None]) -> None:
        """Run a task that the process can't do without; an exception in it ends the process."""
        task = asyncio.create_task(work)
        task.add_done_callback(self._task_ended)
        self._tasks.append(task)

    def keep_running(self, name: str, make: Callable[[], Coroutine[None, None, None]]) -> None:
        """Run a loop, and start it again if it fails.

        :param name: for the log.
        :param make: creates the coroutine of the loop.
        """
        self.start(self._keep_running(name, make))

    def repeat(self, name: str, interval_s: float, work: Callable[[], None]) -> None:
        """Call a function every ``interval_s`` seconds, beginning now, also after it has failed.

        :param name: for the log.
        """
        self.start(_repeat(interval_s, self._started, lambda: self.call_each(name, (work,))))

    def call_each(self, name: str, calls: Iterable[Callable[[], object]]) -> None:
        """Call functions in turn, also after one has failed.

        :param name: for the log.
        :raises InvariantBroken: if a failure is a broken invariant.
        """
        failed = False
        for call in calls:
            try:
                call()
            except (Exception, asyncio.CancelledError) as error:
                failed = True
                self._record_failure(name, error)
        if not failed:
            self._failing.discard(name)

    def fail(self, error: BaseException) -> None:
        """End the process because of a fatal fault; the first fault is kept."""
        if self.failure is None:
            log.critical(
                "fatal",
                error=repr(error),
                where=_find_place(error),
                in_progress=self._count_requests(),
            )
            self.failure = error
        self.ended.set()

    def cancel(self) -> None:
        """Cancel all loops."""
        for task in self._tasks:
            task.cancel()

    async def _keep_running(
        self, name: str, make: Callable[[], Coroutine[None, None, None]]
    ) -> None:
        loop = asyncio.get_running_loop()
        delay_s = MIN_RESTART_DELAY_S
        while True:
            began = loop.time()
            stable = loop.call_later(STABLE_S, self._failing.discard, name)
            try:
                await make()
            except asyncio.CancelledError as error:
                if _is_cancelled():
                    raise
                # The loop has waited for a task that somebody else cancelled.
                self._record_failure(name, error)
            except Exception as error:
                self._record_failure(name, error)
            else:
                return
            finally:
                stable.cancel()
            if loop.time() - began >= STABLE_S:
                delay_s = MIN_RESTART_DELAY_S
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RESTART_DELAY_S, 2 * delay_s)

    def _record_failure(self, name: str, error: Exception | asyncio.CancelledError) -> None:
        """Count a failure of a loop, and log the first in a row.

        :raises InvariantBroken: if the failure is a broken invariant.
        """
        broken = _find_invariant(error)
        if broken is not None:
            raise broken
        self._metrics.count("faults")
        if name not in self._failing:
            self._failing.add(name)
            log.error("loop_failed", loop=name, error=_describe(error), where=_find_place(error))

    def _task_ended(self, task: "asyncio.Task[None]") -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self.fail(error)

    def _on_exception(self, _: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        error = context.get("exception")
        if isinstance(error, InvariantBroken):
            self.fail(error)
        elif isinstance(error, BaseException) and not isinstance(error, ConnectionError):
            # A fault while serving one connection ends that connection, not the process.
            self._metrics.count("faults")
            self._log_fault(str(context.get("message")), error)

    def _log_fault(self, during: str, error: BaseException) -> None:
        """Log a fault, unless the last one was the same and has just been logged."""
        fault, now = (during, _describe(error)), asyncio.get_running_loop().time()
        if fault == self._last_fault and now < self._last_fault_at + REPEATED_FAULT_S:
            self._repeated_faults += 1
            return
        self._last_fault, self._last_fault_at = fault, now
        more = {"repeated": self._repeated_faults} if self._repeated_faults else {}
        self._repeated_faults = 0
        log.error("fault", during=during, error=fault[1], where=_find_place(error), **more)


def _is_cancelled() -> bool:
    """Return whether the cancellation of the current task was requested."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _find_invariant(error: BaseException) -> InvariantBroken | None:
    """Return the broken invariant that an exception is or contains; None if there is none."""
    if isinstance(error, InvariantBroken):
        return error
    if isinstance(error, BaseExceptionGroup):
        found = (_find_invariant(each) for each in error.exceptions)
        return next((each for each in found if each is not None), None)
    return None


def _describe(error: BaseException) -> str:
    return repr(error)[:MAX_REASON_CHARS]


def _find_place(error: BaseException) -> str:
    """Return the file and line that raised an exception; empty if it was not raised."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].filename.rpartition('/')[2]}:{frames[-1].lineno}" if frames else ""


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
