"""
chalkyoke.administration.metrics

Counters, latency histograms and gauges of one process, exported in the Prometheus text format.
"""

from collections.abc import Callable, Mapping

from hdrh.histogram import HdrHistogram

# Range of the histograms, in microseconds.
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
# Resolution of the histograms, in significant decimal digits.
SIGNIFICANT_DIGITS = 2

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Collect counters, durations and gauges at a cost low enough for every request.

    Usage::

      >>> metrics = Metrics()
      >>> metrics.count("shed", reason="hopeless", tier="kiosk")
      >>> metrics.record_duration("first_byte", 0.021, tier="kiosk")
    """

    def __init__(self) -> None:
        self.counters: dict[str, dict[Labels, float]] = {}
        self.histograms: dict[str, dict[Labels, tuple[HdrHistogram, list[float]]]] = {}
        self.gauges: dict[str, Callable[[], float]] = {}
        self.labelled_gauges: dict[str, Callable[[], Mapping[Labels, float]]] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increase a counter by ``amount``."""
        key = tuple(sorted(labels.items()))
        table = self.counters.setdefault(name, {})
        table[key] = table.get(key, 0) + amount

    def counter_value(self, name: str, **labels: str) -> float:
        """Return the value of a counter; 0 if it has never been increased.

        :rtype: float
        """
        return self.counters.get(name, {}).get(tuple(sorted(labels.items())), 0)

    def record_duration(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram.

        :param seconds: the duration; below 1 microsecond it is recorded as 1.
        """
        key = tuple(sorted(labels.items()))
        table = self.histograms.setdefault(name, {})
        entry = table.get(key)
        if entry is None:
            entry = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS), [0.0]
            table[key] = entry
        entry[0].record_value(max(LOWEST_US, int(seconds * 1e6)))
        entry[1][0] += seconds

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge.

        :param read: returns the value; it is called for each export.
        """
        self.gauges[name] = read

    def register_gauges(self, name: str, read: Callable[[], Mapping[Labels, float]]) -> None:
        """Register gauges with labels.

        :param read: returns the values by labels; it is called for each export.
        """
        self.labelled_gauges[name] = read
