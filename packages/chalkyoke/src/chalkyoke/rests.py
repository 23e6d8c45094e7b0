"""
chalkyoke.rests

For how long an upstream that turns a request away wants to be left alone: ``Retry-After`` of
RFC 9110, in seconds.
"""

from chalkyoke.decimals import read_decimal

# The longest time for which an upstream is left alone at its own word, in seconds: its header may
# be wrong, and a request that it turns away again costs one try.
MOST_REST_S = 600.0


def read_seconds(text: str) -> float:
    """Read seconds, fractions included.

    :return: 0 for a date, a sign or anything else that is no number of seconds.
    """
    return read_decimal(text) or 0.0


def bounded(seconds: float) -> float:
    """Give the time for which an upstream is left alone, in seconds."""
    return min(MOST_REST_S, seconds)
