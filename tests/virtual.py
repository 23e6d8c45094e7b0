"""
tests.virtual

An event loop in virtual time: when no callback is ready, the clock advances to the next timer.
"""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.advance_clock = None

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is ready and no timer is set: a deadlock")
        if timeout > 0:
            self.advance_clock()
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run coroutines without waiting for timers in real time."""

    def __init__(self):
        selector = _JumpingSelector()
        super().__init__(selector)
        self._virtual_time_s = 0.0
        selector.advance_clock = self._advance_clock

    def time(self):
        return self._virtual_time_s

    def _advance_clock(self):
        # The clock is rounded to whole nanoseconds, the loop's resolution. The floating-point error
        # of a sum of times is smaller; without rounding, the clock could stay just before a timer,
        # and code that sets the timer again for the same moment would be woken endlessly.
        self._virtual_time_s = round(self._scheduled[0].when(), 9)


def run(coroutine_function):
    """Run a coroutine function in virtual time; raise the first unhandled error of any task."""
    loop = VirtualLoop()
    error_contexts = []
    loop.set_exception_handler(lambda _, context: error_contexts.append(context))
    try:
        result = loop.run_until_complete(coroutine_function())
    finally:
        unfinished = [task for task in asyncio.all_tasks(loop) if not task.done()]
        for task in unfinished:
            task.cancel()
        if unfinished:
            loop.run_until_complete(asyncio.wait(unfinished))
        loop.close()
    for context in error_contexts:
        error = context.get("exception")
        # Unfinished tasks are cancelled at the end of a run, which streams report as an error.
        if error is not None and not isinstance(error, asyncio.CancelledError):
            raise error
    return result
