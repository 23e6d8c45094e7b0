"""
chalkyoke_fakes.slots

The slots of a fake plain replica, with a bounded queue behind them.
"""

import asyncio


class Slots:
    """Run a number of requests at once and queue some more.

    :param slots: number of requests that run at once.
    :ivar most_present: highest number of requests that ran or waited at once.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._free = asyncio.Semaphore(slots)
        self._present = 0
        self.most_present = 0

    def is_full(self, queue: int) -> bool:
        """Return whether one more request would exceed the slots and the queue behind them."""
        return self._present >= self._slots + queue

    def load(self) -> str:
        """Return the load as the header of answers states it: running, waiting, slots."""
        running = min(self._present, self._slots)
        return f"{running},{self._present - running},{self._slots}"

    async def run(self, seconds: float) -> None:
        """Wait for a slot, then occupy it for some seconds."""
        self._present += 1
        self.most_present = max(self.most_present, self._present)
        try:
            async with self._free:
                await asyncio.sleep(seconds)
        finally:
            self._present -= 1
