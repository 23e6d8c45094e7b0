"""
chalkyoke.retries.budget

This node's part of the fleet's retry budget: a fraction of its own first sends, and its part of the
slack. The sum over all nodes stays within the fleet's limit, whichever nodes die or are cut off.
"""

from collections import deque

import msgspec

# Fraction of the budget that is used, since the windows of operators and of nodes don't begin at
# the same time.
USED_SHARE = 0.8
# Lowest number of nodes that share the slack: a node that knows no other node yet is hardly the
# only one.
MIN_NODES = 2


class BudgetLimits(msgspec.Struct, frozen=True):
    """The fleet's limit on sends beyond the first of each request.

    :param ratio: repeated sends allowed in a window, as a fraction of the first sends.
    :param slack: additional repeated sends allowed in any window, over all nodes.
    :param window_s: length of the sliding window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 20.0
    window_s: float = 10.0


class _Window(msgspec.Struct):
    firsts: deque[float] = msgspec.field(default_factory=deque)
    repeats: deque[float] = msgspec.field(default_factory=deque)


class RetryBudget:
    """Count the sends in a sliding window, by service.

    :param limits: the fleet's limit.

    Usage::

      >>> budget = RetryBudget(BudgetLimits())
      >>> budget.record_first("seats", now=0.0)
      >>> budget.try_spend("seats", nodes=9, now=0.1)
    """

    def __init__(self, limits: BudgetLimits) -> None:
        self.limits = limits
        self._windows: dict[str, _Window] = {}

    def record_first(self, service: str, now: float) -> None:
        """Count the first send of a request."""
        window = self._current_window(service, now)
        window.firsts.append(now)

    def remaining(self, service: str, nodes: int, now: float) -> float:
        """Return the number of repeats that may be sent now; negative after it has fallen.

        :param nodes: number of nodes that may exist in the fleet, dead ones included.
        :rtype: float
        """
        window = self._current_window(service, now)
        part = self.limits.slack / max(MIN_NODES, nodes)
        allowed = USED_SHARE * (self.limits.ratio * len(window.firsts) + part)
        return allowed - len(window.repeats)

    def try_spend(self, service: str, nodes: int, now: float) -> bool:
        """Count one repeat, if the budget allows it.

        :param nodes: number of nodes that may exist in the fleet, dead ones included.
        :return: whether the repeat may be sent.
        """
        if self.remaining(service, nodes, now) < 1:
            return False
        self._windows[service].repeats.append(now)
        return True

    def _current_window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        since = now - self.limits.window_s
        for times in (window.firsts, window.repeats):
            while times and times[0] < since:
                times.popleft()
        return window
