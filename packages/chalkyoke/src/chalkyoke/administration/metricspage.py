"""
chalkyoke.administration.metricspage

The page of metrics. The library that writes it is loaded only when the page is asked for: it costs
some megabytes that most processes never need.
"""

from chalkyoke.administration.metrics import Metrics


def metrics_page(metrics: Metrics) -> bytes:
    """Write all metrics in the text exposition format.

    :rtype: bytes
    """
    from chalkyoke.administration.exposition import write

    return write(metrics)
