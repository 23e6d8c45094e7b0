"""
chalkyoke.node.linkgauges

Adds the gauges of a node's links to its metrics.
"""

from chalkyoke.administration.metrics import Metrics
from chalkyoke.links.peers import Links


def add_link_gauges(metrics: Metrics, links: Links) -> None:
    """Add gauges for bytes, for messages that were not delivered, and for silent links."""
    counters = links.counters
    metrics.register_gauge("link_sent_bytes", lambda: counters.sent_bytes)
    metrics.register_gauge("link_received_bytes", lambda: counters.received_bytes)
    metrics.register_gauge("link_unsent_bytes", links.unsent_bytes)
    metrics.register_gauge("link_messages_dropped", lambda: counters.dropped)
    metrics.register_gauge("link_messages_withheld", lambda: counters.withheld)
    metrics.register_gauge("link_messages_skipped", lambda: counters.skipped)
    metrics.register_gauge("link_went_silent", lambda: counters.silent)
