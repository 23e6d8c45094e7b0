"""
chalkyoke.administration.metrics

Counters and latency histograms of one process, in the common text exposition format.
"""

import resource
from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

PREFIX = "chalkyoke_"
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 95.0, 99.0, 99.9)

Labels = tuple[tuple[str, str], ...]


class Metrics(Collector):
    """Count and time; cheap enough for every request.

    Usage::

      >>> metrics = Metrics()
      >>> metrics.count("shed", reason="hopeless", tier="kiosk")
      >>> metrics.time("first_byte", 0.021, tier="kiosk")
    """

    def __init__(self) -> None:
        self._counters: dict[str, dict[Labels, float]] = {}
        self._histograms: dict[str, dict[Labels, tuple[HdrHistogram, list[float]]]] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = tuple(sorted(labels.items()))
        table = self._counters.setdefault(name, {})
        table[key] = table.get(key, 0) + amount

    def counted(self, name: str, **labels: str) -> float:
        """Read a counter; 0 where it was never added to.

        :rtype: float
        """
        return self._counters.get(name, {}).get(tuple(sorted(labels.items())), 0)

    def time(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram.

        :param seconds: the duration.
        """
        key = tuple(sorted(labels.items()))
        table = self._histograms.setdefault(name, {})
        found = table.get(key)
        if found is None:
            found = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS), [0.0]
            table[key] = found
        found[0].record_value(max(LOWEST_US, int(seconds * 1e6)))
        found[1][0] += seconds

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Name a value that is read when the metrics are."""
        self._gauges[name] = read

    def collect(self) -> Iterator[Metric]:
        """Give all metrics, for the exposition library."""
        for name, table in self._counters.items():
            names = _label_names(table)
            counter = CounterMetricFamily(PREFIX + name, name.replace("_", " "), labels=names)
            for key, value in table.items():
                counter.add_metric(_label_values(names, key), value)
            yield counter
        for name, histograms in self._histograms.items():
            yield from _quantiles(name, histograms)
        for name, read in self._gauges.items():
            yield GaugeMetricFamily(PREFIX + name, name.replace("_", " "), value=read())
        used = resource.getrusage(resource.RUSAGE_SELF)
        yield CounterMetricFamily(
            PREFIX + "processor_seconds",
            "processor time of the whole process",
            value=used.ru_utime + used.ru_stime,
        )

    def exposition(self) -> bytes:
        """Write all metrics in the text exposition format.

        :rtype: bytes
        """
        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)


def _label_names(table: dict[Labels, float]) -> list[str]:
    return sorted({name for key in table for name, _ in key})


def _label_values(names: list[str], key: Labels) -> list[str]:
    held = dict(key)
    return [held.get(name, "") for name in names]


def _quantiles(
    name: str, histograms: dict[Labels, tuple[HdrHistogram, list[float]]]
) -> Iterator[Metric]:
    names = sorted({label for key in histograms for label, _ in key})
    summary = SummaryMetricFamily(
        f"{PREFIX}{name}_seconds", f"{name} in seconds".replace("_", " "), labels=names
    )
    gauge = GaugeMetricFamily(
        f"{PREFIX}{name}_quantile_seconds", f"quantiles of {name}", labels=[*names, "quantile"]
    )
    for key, (histogram, total) in histograms.items():
        values = _label_values(names, key)
        summary.add_metric(values, histogram.get_total_count(), total[0])
        for quantile in QUANTILES:
            value = histogram.get_value_at_percentile(quantile) / 1e6
            gauge.add_metric([*values, str(quantile / 100)], value)
    yield summary
    yield gauge
