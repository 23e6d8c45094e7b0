"""
chalkyoke.retry_after

For how long an upstream that turns a request away wants to be left alone: ``Retry-After`` of
RFC 9110, in seconds.
"""

from chalkyoke.decimals import parse_decimal

# The longest time for which an upstream is left alone at its own word, in seconds: its header may
# be wrong, and a request that it turns away again costs one try.
MAX_RETRY_AFTER_S = 600.0


def parse_retry_after(text: str) -> float:
    """Read seconds, fractions included.

    :return: 0 for a date, a sign or anything else that is no number of seconds.
    """
    return parse_decimal(text) or 0.0


def cap_retry_after(seconds: float) -> float:
    """Give the time for which an upstream is left alone, in seconds."""
    return min(MAX_RETRY_AFTER_S, seconds)
