"""
chalkyoke

A request scheduler for unlike model engines and plain upstreams.
"""

__version__ = "0.2.0"
