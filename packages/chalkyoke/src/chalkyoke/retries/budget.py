"""
chalkyoke.retries.budget

This node's part of the fleet's retry budget: a share of its own first sends, and its part of the
slack. The sum over all nodes keeps the fleet's limit, whichever nodes die or are cut off.
"""

from collections import deque

import msgspec

# The part of the budget that is used: windows of operators and of nodes do not begin together.
SAFETY = 0.8
# The slack is divided by so many nodes at least: one that knows nobody yet is hardly alone.
LEAST_NODES = 2


class BudgetLimits(msgspec.Struct, frozen=True):
    """The fleet's limit on sends beyond the first of each request.

    :param ratio: of the first sends in a window.
    :param slack: sends allowed on top in any window, over all nodes.
    :param window_s: length of the sliding window.
    """

    ratio: float = 0.2
    slack: float = 20.0
    window_s: float = 10.0


class _Window(msgspec.Struct):
    firsts: deque[float] = msgspec.field(default_factory=deque)
    repeats: deque[float] = msgspec.field(default_factory=deque)


class RetryBudget:
    """Count sends, by service.

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
        window = self._expired(service, now)
        window.firsts.append(now)

    def remaining(self, service: str, nodes: int, now: float) -> float:
        """Tell how many repeats may be sent now.

        :param nodes: nodes that there may be in the fleet, dead ones included.
        :rtype: float
        """
        window = self._expired(service, now)
        part = self.limits.slack / max(LEAST_NODES, nodes)
        allowed = SAFETY * (self.limits.ratio * len(window.firsts) + part)
        return allowed - len(window.repeats)

    def try_spend(self, service: str, nodes: int, now: float) -> bool:
        """Take one repeat, if there is one left.

        :param nodes: nodes that there may be in the fleet, dead ones included.
        :rtype: bool
        """
        if self.remaining(service, nodes, now) < 1:
            return False
        self._windows[service].repeats.append(now)
        return True

    def _expired(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        since = now - self.limits.window_s
        for times in (window.firsts, window.repeats):
            while times and times[0] < since:
                times.popleft()
        return window
