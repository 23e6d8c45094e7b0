"""
chalkyoke.node.callermemory

What operators see of the memory of a completions process, and its log lines.
"""

from collections.abc import Callable

from chalkyoke.administration.metrics import Metrics
from chalkyoke.logs import logger
from chalkyoke.memory.account import MemoryAccount
from chalkyoke.memory.refusals import Refusals

log = logger("memory")


class MemoryWatch:
    """Counts requests that are refused for lack of memory, and logs when that begins and ends.

    :param now: the node's clock, in seconds.
    """

    def __init__(self, account: MemoryAccount, metrics: Metrics, now: Callable[[], float]) -> None:
        self._account = account
        self._metrics = metrics
        self._now = now
        self._refusals = Refusals()

    def on_refused(self, size: int) -> None:
        """Count a refused request.

        :param size: declared size of its body in bytes; 0 if it is unknown.
        """
        self._metrics.count("memory_refused", tier="", cause="head" if size else "upload")
        if self._refusals.on_refused(self._now()):
            log.notice(
                "memory is short: refusing requests; {} of {} bytes are buffered",
                self._account.total,
                self._account.limit_bytes,
            )

    def tick(self) -> None:
        """Log the end of a period of refusals; call a few times a second."""
        ended = self._refusals.on_tick(self._now())
        if ended is not None:
            log.notice(
                "memory is free: {} requests were refused in {:.1f} s",
                ended.refused,
                ended.lasted_s,
            )
