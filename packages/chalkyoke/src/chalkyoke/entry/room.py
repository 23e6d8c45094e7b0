"""
chalkyoke.entry.room

Memory for answers that are being read: an answer that doesn't fit is read as room becomes free.
"""

import asyncio
from collections.abc import Callable

from chalkyoke.entry.state import Run
from chalkyoke.memory.account import MemoryAccount, Purpose
from chalkyoke.memory.growth import ANSWER_LEVELS, GrowthQueue

# Interval at which an answer that has no room is considered again, in seconds.
CHECK_INTERVAL_S = 0.05


class AnswerRoom:
    """Lets the answers of runs grow within the account.

    :param account: the account of this process.
    :param drop_idle: drops a kept answer that nobody reads; answers that are read go before them.
    """

    def __init__(
        self,
        account: MemoryAccount | None = None,
        drop_idle: Callable[[], None] = lambda: None,
    ) -> None:
        self._drop_idle = drop_idle
        self._account = account or MemoryAccount()
        self._growth = GrowthQueue(self._account, ANSWER_LEVELS)

    async def grow(self, run: Run, size: int) -> None:
        """Wait until there is room for an answer; the deadline of the run ends the wait.

        :param size: of the answer so far, in bytes.
        """
        if run.answer_charge is None:
            run.answer_charge = self._account.open(Purpose.RESPONSES_RETAINED)
        while not self._growth.grow(run.answer_charge, size):
            self._drop_idle()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def settle(self, run: Run) -> None:
        """Charge what is kept of an answer that is no longer read."""
        if run.answer_charge is not None:
            self._growth.leave(run.answer_charge)
            run.answer_charge.resize(0 if run.answer_dropped else run.size)
