"""
chalkyoke.entry.cutoff

Ends what the HTTP side waits for, so that every caller gets an answer before the process ends.
"""

import asyncio
from collections.abc import Awaitable
from typing import Protocol, TypeVar

T = TypeVar("T")


class Stoppable(Protocol):
    """An answer that can be given up."""

    def give_up(self) -> None:
        """End the answer because this host stops."""


class Cutoff:
    """Give up the requests of callers when the process is about to end.

    Usage::

      >>> body = await cutoff.run(req.stream.read())
      >>> if body is None:
      ...     refuse()
    """

    def __init__(self) -> None:
        self._passed = False
        self._scopes: set[asyncio.Timeout] = set()
        self._answers: set[Stoppable] = set()

    async def run(self, work: Awaitable[T]) -> T | None:
        """Wait for ``work``; cancel it and return None if the cutoff comes first."""
        loop = asyncio.get_running_loop()
        scope = asyncio.timeout_at(loop.time() if self._passed else None)
        self._scopes.add(scope)
        try:
            async with scope:
                return await work
        except TimeoutError:
            if not scope.expired():
                raise
            return None
        finally:
            self._scopes.discard(scope)

    def add(self, answer: Stoppable) -> None:
        """Register an answer that is being delivered."""
        self._answers.add(answer)
        if self._passed:
            answer.give_up()

    def remove(self, answer: Stoppable) -> None:
        """Remove an answer that was delivered; a second call does nothing."""
        self._answers.discard(answer)

    def waiting(self) -> bool:
        """Return whether requests have no answer yet.

        :rtype: bool
        """
        return bool(self._scopes or self._answers)

    def end(self) -> None:
        """Give up all requests, and each that comes later; a second call does nothing."""
        if self._passed:
            return
        self._passed = True
        now = asyncio.get_running_loop().time()
        for scope in list(self._scopes):
            scope.reschedule(now)
        for answer in list(self._answers):
            answer.give_up()
