"""
chalkyoke.quotas.window

What a team has spent in the last seconds, against what a window of that length may see. A sliding
window in buckets; the oldest bucket counts whole until it is out.
"""

from collections import deque

import msgspec

# Parts of a window: at 8 s one is 0.2 s long, and 2.5 in 100 of the window is counted too long.
BUCKETS = 40
# What each quarter of an unknown window is assumed to hold, the oldest first. A owner leases three
# tenths of the window in a quarter at most, so all of it may lie in the newest three quarters and
# a little: then hardly anything may be leased anew before it is out.
ASSUMED_SPREAD = (0.18, 0.11, 0.33, 0.38)


class QuotaLimits(msgspec.Struct, frozen=True):
    """How quotas are kept over all nodes.

    A window may see ``(rate * window + burst) * (1 + over) + slack``.

    :param window_s: length of the window, in seconds.
    """

    window_s: float = 8.0
    over: float = 0.1
    slack: float = 0.0

    def window_limit(self, rate_per_s: float, burst: float) -> float:
        """Give the cost that any window may see.

        :rtype: float
        """
        return (rate_per_s * self.window_s + burst) * (1.0 + self.over) + self.slack


class SpendingWindow(msgspec.Struct):
    """Sum what was spent in the last ``window_s`` seconds.

    :param number: names the window among all of the fleet.

    Usage::

      >>> window = SpendingWindow(8.0)
      >>> window.add(1200.0, now=3.0)
      >>> window.spent(now=3.5)
    """

    window_s: float
    number: int = 0
    _buckets: deque[tuple[int, float]] = msgspec.field(default_factory=deque)
    _sum: float = 0.0

    def add(self, cost: float, now: float) -> None:
        """Note that cost was spent."""
        index = self._index(now)
        if self._buckets and self._buckets[-1][0] >= index:
            last, before = self._buckets.pop()
            self._buckets.append((last, before + cost))
        else:
            self._buckets.append((index, cost))
        self._sum += cost

    def give_back(self, cost: float, now: float) -> float:
        """Take back what was noted as spent and was not, as far as it is still in the window.

        :return: how much that was.
        """
        if cost <= 0 or not self._buckets:
            return 0.0
        taken = min(cost, self.spent(now))
        self.add(-taken, now)
        return taken

    def scale(self, factor: float) -> None:
        """Multiply all that was spent."""
        self._buckets = deque((index, cost * factor) for index, cost in self._buckets)
        self._sum *= factor

    def assume(self, cost: float, now: float) -> None:
        """Assume cost spent in the window that ends now, by :data:`ASSUMED_SPREAD`.

        For when somebody else kept the window until now and what was spent is not known.
        """
        last = self._index(now)
        self._buckets.clear()
        for back in range(BUCKETS, 0, -1):
            share = ASSUMED_SPREAD[(BUCKETS - back) * len(ASSUMED_SPREAD) // BUCKETS]
            part = cost * share * len(ASSUMED_SPREAD) / BUCKETS
            self._buckets.append((last - back, part))
        self._sum = cost

    def parts(self, now: float) -> tuple[float, ...]:
        """Give what was spent in each of :data:`BUCKETS` equal parts of the window, oldest first.

        :rtype: tuple[float, ...]
        """
        last = self._index(now)
        by_index = dict(self._buckets)
        return tuple(by_index.get(last - back, 0.0) for back in range(BUCKETS - 1, -1, -1))

    def resume(self, parts: tuple[float, ...], now: float) -> None:
        """Go on from the parts of another window that ends now."""
        last = self._index(now)
        self._buckets.clear()
        for back, cost in zip(range(len(parts) - 1, -1, -1), parts, strict=True):
            self._buckets.append((last - back, cost))
        self._sum = sum(parts)

    def spent(self, now: float, within_s: float | None = None) -> float:
        """Give what was spent in the window that ends now.

        :param within_s: look only so far back, in seconds.
        :rtype: float
        """
        if within_s is not None:
            since = self._index(now - within_s)
            return sum(cost for index, cost in self._buckets if index > since)
        oldest = self._index(now) - BUCKETS
        while self._buckets and self._buckets[0][0] < oldest:
            self._sum -= self._buckets.popleft()[1]
        return self._sum if self._buckets else 0.0

    def free_in_s(self, cost: float, now: float) -> float:
        """Tell how long until so much of what was spent is out of the window, in seconds.

        :rtype: float
        """
        left = cost
        for index, amount in self._buckets:
            left -= amount
            if left <= 0:
                return max(0.0, (index + 1 + BUCKETS) * self.window_s / BUCKETS - now)
        return self.window_s

    def _index(self, now: float) -> int:
        return int(now / self.window_s * BUCKETS)
