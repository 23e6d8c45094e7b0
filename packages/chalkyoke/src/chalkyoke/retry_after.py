"""
chalkyoke.retry_after

``Retry-After`` (RFC 9110) in seconds: how long an upstream that refuses a request wants to receive
no further ones.
"""

from chalkyoke.decimals import parse_decimal

# Longest time for which an upstream's own header keeps requests away from it, in seconds: the
# header may be wrong, and another refused request costs only one attempt.
MAX_RETRY_AFTER_S = 600.0


def parse_retry_after(text: str) -> float:
    """Parse a number of seconds, with or without a fraction.

    :return: 0 for any other text, such as a date or a number with a sign.
    """
    return parse_decimal(text) or 0.0


def cap_retry_after(seconds: float) -> float:
    """Limit a ``Retry-After`` time to :data:`MAX_RETRY_AFTER_S`, in seconds."""
    return min(MAX_RETRY_AFTER_S, seconds)
