"""
chalkyoke.administration.exposition

Rendering of metrics in the Prometheus text exposition format.
"""

import resource
from collections.abc import Iterator, Mapping

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from chalkyoke.administration.metrics import Labels, Metrics

PREFIX = "chalkyoke_"
# Exported quantiles of histograms, in percent.
QUANTILES = (50.0, 90.0, 95.0, 99.0, 99.9)


def write(metrics: Metrics) -> bytes:
    """Render all metrics and the processor time of the process.

    :rtype: bytes
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_MetricsCollector(metrics))
    return generate_latest(registry)


class _MetricsCollector(Collector):
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics to the exposition library."""
        for name, table in self._metrics.counters.items():
            names = _label_names(table)
            counter = CounterMetricFamily(PREFIX + name, name.replace("_", " "), labels=names)
            for key, value in table.items():
                counter.add_metric(_label_values(names, key), value)
            yield counter
        for name, histograms in self._metrics.histograms.items():
            yield from _quantiles(name, histograms)
        for name, read in self._metrics.gauges.items():
            yield GaugeMetricFamily(PREFIX + name, name.replace("_", " "), value=read())
        for name, read_all in self._metrics.labelled_gauges.items():
            values = read_all()
            names = _label_names(values)
            gauge = GaugeMetricFamily(PREFIX + name, name.replace("_", " "), labels=names)
            for key, value in values.items():
                gauge.add_metric(_label_values(names, key), value)
            yield gauge
        used = resource.getrusage(resource.RUSAGE_SELF)
        yield CounterMetricFamily(
            PREFIX + "processor_seconds",
            "processor time of the whole process",
            value=used.ru_utime + used.ru_stime,
        )


def _label_names(table: Mapping[Labels, float]) -> list[str]:
    return sorted({name for key in table for name, _ in key})


def _label_values(names: list[str], key: Labels) -> list[str]:
    labels = dict(key)
    return [labels.get(name, "") for name in names]


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
