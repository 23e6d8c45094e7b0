"""
chalkyoke.administration.metricspage

The metrics page. The library that renders it is imported at the first request for the page, because
it takes several megabytes that most processes never need.
"""

from chalkyoke.administration.metrics import Metrics


def metrics_page(metrics: Metrics) -> bytes:
    """Render all metrics in the text exposition format.

    :rtype: bytes
    """
    from chalkyoke.administration.exposition import write

    return write(metrics)
