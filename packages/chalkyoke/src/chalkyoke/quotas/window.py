"""
chalkyoke.quotas.window

A sliding window over a team's spending, divided into buckets. The oldest bucket counts in full
until all of it has left the window.
"""

from collections import deque

import msgspec

# Number of parts of a window. With a window of 8 s a part has 0.2 s, so spending may count for too
# long by 2.5 in 100 of the window.
WINDOW_PARTS = 40
# Assumed fraction of the spending in each quarter of an unknown window, oldest first. An owner
# leases at most three tenths of the window in a quarter, so all spending may lie in little more
# than the newest three quarters. Hardly anything may be leased then before this spending has left
# the window.
ASSUMED_SPREAD = (0.18, 0.11, 0.33, 0.38)


def assumed_sums(cost: float) -> tuple[float, ...]:
    """Return :data:`ASSUMED_SPREAD` as a cost in the newest part, the newest two parts, and so on.

    :param cost: cost that is assumed to be spent.
    """
    window = SpendingWindow(1.0)
    window.assume_spent(cost, 0.0)
    return window.recent_sums(0.0)


class QuotaLimits(msgspec.Struct, frozen=True):
    """The tolerance of quotas over all nodes.

    A window may hold a cost of ``(rate * window + burst) * (1 + over) + slack``.

    :param window_s: length of the window, in seconds.
    :param over: tolerated excess over the quota, as a fraction.
    :param slack: tolerated excess over the quota, as a cost.
    """

    window_s: float = 8.0
    over: float = 0.1
    slack: float = 0.0

    def window_limit(self, rate_per_s: float, burst: float) -> float:
        """Return the highest cost that any window may hold.

        :rtype: float
        """
        return (rate_per_s * self.window_s + burst) * (1.0 + self.over) + self.slack


class SpendingWindow(msgspec.Struct):
    """Sum the cost spent in the last ``window_s`` seconds.

    :param number: number of the window, unique in the fleet.

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
        """Add cost that is spent now."""
        index = self._index(now)
        if self._buckets and self._buckets[-1][0] >= index:
            last, before = self._buckets.pop()
            self._buckets.append((last, before + cost))
        else:
            self._buckets.append((index, cost))
        self._sum += cost

    def subtract_unspent(self, cost: float, now: float) -> float:
        """Subtract unspent cost, as far as it is still in the window.

        :return: the cost that was subtracted.
        """
        if cost <= 0 or not self._buckets:
            return 0.0
        taken = min(cost, self.spent(now))
        self.add(-taken, now)
        return taken

    def scale(self, factor: float) -> None:
        """Multiply the cost in the window by a factor."""
        self._buckets = deque((index, cost * factor) for index, cost in self._buckets)
        self._sum *= factor

    def assume_spent(self, cost: float, now: float) -> None:
        """Replace the window by an assumed cost, distributed by :data:`ASSUMED_SPREAD`.

        Used if another node kept the window until now and the spending is not known.
        """
        last = self._index(now)
        self._buckets.clear()
        for back in range(WINDOW_PARTS, 0, -1):
            share = ASSUMED_SPREAD[(WINDOW_PARTS - back) * len(ASSUMED_SPREAD) // WINDOW_PARTS]
            part = cost * share * len(ASSUMED_SPREAD) / WINDOW_PARTS
            self._buckets.append((last - back, part))
        self._sum = cost

    def parts(self, now: float) -> tuple[float, ...]:
        """Return the cost in each of :data:`WINDOW_PARTS` equal parts, oldest first.

        :rtype: tuple[float, ...]
        """
        last = self._index(now)
        by_index = dict(self._buckets)
        return tuple(by_index.get(last - back, 0.0) for back in range(WINDOW_PARTS - 1, -1, -1))

    def recent_sums(self, now: float) -> tuple[float, ...]:
        """Return the cost in the newest part, in the newest two parts, and so on up to the window.

        Returned cost counts in the part in which it was returned, so a sum of few parts may be too
        low by it; each sum is therefore at least the one before. The last sum contains the part
        that is leaving the window.

        :return: :data:`WINDOW_PARTS` sums that don't fall.
        """
        sums: list[float] = []
        total = highest = 0.0
        for cost in reversed(self.parts(now)):
            total += cost
            highest = max(highest, total)
            sums.append(highest)
        sums[-1] = max(sums[-1], self.spent(now))
        return tuple(sums)

    def load_parts(self, parts: tuple[float, ...], now: float) -> None:
        """Replace the content by the parts of another window that ends now, oldest first."""
        last = self._index(now)
        self._buckets.clear()
        for back, cost in zip(range(len(parts) - 1, -1, -1), parts, strict=True):
            self._buckets.append((last - back, cost))
        self._sum = sum(parts)

    def spent(self, now: float, within_s: float | None = None) -> float:
        """Return the cost in the window that ends now.

        :param within_s: count only the last part of the window, of this length in seconds.
        :rtype: float
        """
        if within_s is not None:
            since = self._index(now - within_s)
            return sum(cost for index, cost in self._buckets if index > since)
        oldest = self._index(now) - WINDOW_PARTS
        while self._buckets and self._buckets[0][0] < oldest:
            self._sum -= self._buckets.popleft()[1]
        return self._sum if self._buckets else 0.0

    def free_in_s(self, cost: float, now: float) -> float:
        """Return the time until the given cost has left the window, in seconds.

        :rtype: float
        """
        left = cost
        for index, amount in self._buckets:
            left -= amount
            if left <= 0:
                return max(0.0, (index + 1 + WINDOW_PARTS) * self.window_s / WINDOW_PARTS - now)
        return self.window_s

    def _index(self, now: float) -> int:
        return int(now / self.window_s * WINDOW_PARTS)
