"""
chalkyoke.entry.readers

One caller's way through a run's answer: from its start, as it comes, until the end or until the
caller's time is over.
"""

import asyncio
from collections.abc import Callable

from chalkyoke.entry.state import Run

# How long after its deadline a reader is told, in seconds: the run itself should end first.
GRACE_S = 0.05


class Reader:
    """Read one run's answer. Close it when the caller is served or has left.

    :param closed: called once when it is closed.

    Usage::

      >>> reader = service.open_reader(run)
      >>> while (chunk := await reader.next()) is not None:
      ...     send(chunk)
      >>> reader.close()
    """

    def __init__(self, run: Run, budget_s: float, closed: Callable[[Run], None]) -> None:
        self.run = run
        self._closed: Callable[[Run], None] | None = closed
        self._index = 0
        self._time_over = False
        self._loop = asyncio.get_running_loop()
        self._waiter: asyncio.Future[None] | None = None
        self._timer = self._loop.call_later(budget_s + GRACE_S, self._expire)
        run.watchers.append(self._wake)
        run.readers += 1

    async def head(self) -> None:
        """Wait until the answer starts, the run ends or the time is over."""
        while self.run.head is None and not self._over():
            await self._wait()

    async def end(self) -> None:
        """Wait until the run ends or the time is over."""
        while not self._over():
            await self._wait()

    async def next(self) -> bytes | None:
        """Give the next piece of the answer; nothing after the last one.

        :rtype: bytes or None
        """
        while True:
            if self._index < len(self.run.chunks):
                chunk = self.run.chunks[self._index]
                self._index += 1
                return chunk
            if self._over():
                return None
            await self._wait()

    def close(self) -> None:
        """Leave the run; a second call does nothing."""
        if self._closed is None:
            return
        closed, self._closed = self._closed, None
        self._timer.cancel()
        self._expire()
        self.run.watchers.remove(self._wake)
        self.run.readers -= 1
        closed(self.run)

    def _over(self) -> bool:
        return self._time_over or self.run.end is not None

    def _expire(self) -> None:
        self._time_over = True
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        # A bare future: this is on the way of every streamed chunk.
        self._waiter = self._loop.create_future()
        await self._waiter
