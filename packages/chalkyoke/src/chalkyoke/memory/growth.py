"""
chalkyoke.memory.growth

Decides which of several buffers whose final size isn't known may grow, so that half-filled ones
never keep each other waiting.
"""

import msgspec

from chalkyoke.memory.account import (
    MIN_SHARE_BYTES,
    SHARE_OF_FREE,
    Charge,
    MemoryAccount,
)


class GrowthLevels(msgspec.Struct, frozen=True):
    """Shares of the limit up to which buffers grow.

    :param shared: for all buffers together.
    :param first: for the one that has waited longest; it is larger, so that this one completes
        while the others wait.
    """

    shared: float
    first: float


# Both leave room for small requests, whose size is known, and for what is sent to callers.
BODY_LEVELS = GrowthLevels(shared=0.6, first=0.75)
ANSWER_LEVELS = GrowthLevels(shared=0.5, first=0.7)


class GrowthQueue:
    """The buffers that wait for room, in the order in which they began to wait.

    A buffer grows up to a share of what is free below a level. Above its share it waits, and the
    one that has waited longest grows up to a higher level.

    :param levels: the levels.

    Usage::

      >>> queue = GrowthQueue(account, BODY_LEVELS)
      >>> charge = account.open(Purpose.BODIES_READ)
      >>> if queue.grow(charge, 65_536):
      ...     keep(received)
    """

    def __init__(self, account: MemoryAccount, levels: GrowthLevels) -> None:
        self._account = account
        self._levels = levels
        self._waiting: dict[Charge, None] = {}

    def __len__(self) -> int:
        """Return the number of buffers that wait."""
        return len(self._waiting)

    def grow(self, charge: Charge, size: int) -> bool:
        """Charge the new size of a buffer if there is room; else let it wait.

        :param size: in bytes.
        :return: whether it was charged. Ask again later if not, or :meth:`leave` the queue.
        """
        if not self._may_grow(charge, size):
            self._waiting.setdefault(charge)
            return False
        charge.resize(size)
        # A buffer that grows at the head of the queue keeps its place until it is complete.
        if not self._is_first(charge):
            self._waiting.pop(charge, None)
        return True

    def leave(self, charge: Charge) -> None:
        """Forget a buffer that is complete or given up; a second call does nothing."""
        self._waiting.pop(charge, None)

    def _may_grow(self, charge: Charge, size: int) -> bool:
        account = self._account
        if not account.is_limited or size <= charge.size:
            return True
        total = account.total + size - charge.size
        if self._is_first(charge):
            return total <= account.limit_bytes * self._levels.first
        free = account.limit_bytes * self._levels.shared - account.total
        return size <= max(MIN_SHARE_BYTES, free * SHARE_OF_FREE)

    def _is_first(self, charge: Charge) -> bool:
        return next(iter(self._waiting), None) is charge
