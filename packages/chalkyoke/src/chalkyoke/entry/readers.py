"""
chalkyoke.entry.readers

Reads a run's answer for one caller, from its start and as it arrives, until the run ends or the
caller's deadline passes.
"""

import asyncio
from collections.abc import Callable

from chalkyoke.entry.state import Run

# Time in seconds that a reader waits after its deadline: the run itself should end first.
READER_GRACE_S = 0.05


class AnswerReader:
    """Read one run's answer. Close the reader when the caller is served or has left.

    :param budget_s: time until the caller's deadline, in seconds.
    :param on_close: called once with the run when the reader is closed.

    Usage::

      >>> reader = service.open_reader(run)
      >>> while (chunk := await reader.next_chunk()) is not None:
      ...     send(chunk)
      >>> reader.close()
    """

    def __init__(self, run: Run, budget_s: float, on_close: Callable[[Run], None]) -> None:
        self.run = run
        self._on_close: Callable[[Run], None] | None = on_close
        self._next_index = 0
        self._time_over = False
        self._loop = asyncio.get_running_loop()
        self._waiter: asyncio.Future[None] | None = None
        self._timer = self._loop.call_later(budget_s + READER_GRACE_S, self._on_deadline)
        run.watchers.append(self._wake)
        run.readers += 1

    async def wait_for_head(self) -> None:
        """Wait until the answer starts, the run ends or the deadline passes."""
        while self.run.head is None and not self._is_over():
            await self._wait()

    async def wait_for_end(self) -> None:
        """Wait until the run ends or the deadline passes."""
        while not self._is_over():
            await self._wait()

    async def next_chunk(self) -> bytes | None:
        """Wait for the next chunk of the answer; None after the last one or the deadline.

        :rtype: bytes or None
        """
        while True:
            if self._next_index < len(self.run.chunks):
                chunk = self.run.chunks[self._next_index]
                self._next_index += 1
                return chunk
            if self._is_over():
                return None
            await self._wait()

    def stop_waiting(self) -> None:
        """Let the reader end now, as if its deadline had passed."""
        self._on_deadline()

    def close(self) -> None:
        """Detach from the run; a second call does nothing."""
        if self._on_close is None:
            return
        on_close, self._on_close = self._on_close, None
        self._timer.cancel()
        self._on_deadline()
        self.run.watchers.remove(self._wake)
        self.run.readers -= 1
        on_close(self.run)

    def _is_over(self) -> bool:
        return self._time_over or self.run.end is not None

    def _on_deadline(self) -> None:
        self._time_over = True
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        # A plain future keeps the cost low: this runs for every streamed chunk.
        self._waiter = self._loop.create_future()
        await self._waiter
