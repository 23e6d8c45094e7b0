"""
chalkyoke.administration.metrics

Counters and latency histograms of one process, in the common text exposition format.
"""

from collections.abc import Callable

from hdrh.histogram import HdrHistogram

# What histograms tell apart: from and to, in microseconds, and in decimal digits.
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Count and time; cheap enough for every request.

    Usage::

      >>> metrics = Metrics()
      >>> metrics.count("shed", reason="hopeless", tier="kiosk")
      >>> metrics.time("first_byte", 0.021, tier="kiosk")
    """

    def __init__(self) -> None:
        self.counters: dict[str, dict[Labels, float]] = {}
        self.histograms: dict[str, dict[Labels, tuple[HdrHistogram, list[float]]]] = {}
        self.gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = tuple(sorted(labels.items()))
        table = self.counters.setdefault(name, {})
        table[key] = table.get(key, 0) + amount

    def counter_value(self, name: str, **labels: str) -> float:
        """Read a counter; 0 where it was never added to.

        :rtype: float
        """
        return self.counters.get(name, {}).get(tuple(sorted(labels.items())), 0)

    def record_duration(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram.

        :param seconds: the duration.
        """
        key = tuple(sorted(labels.items()))
        table = self.histograms.setdefault(name, {})
        found = table.get(key)
        if found is None:
            found = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS), [0.0]
            table[key] = found
        found[0].record_value(max(LOWEST_US, int(seconds * 1e6)))
        found[1][0] += seconds

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Name a value that is read when the metrics are."""
        self.gauges[name] = read
