"""
chalkyoke.decimals

Parsers for the numbers in headers.
"""

from collections.abc import Iterable
from typing import NamedTuple


class SmallestDecimal(NamedTuple):
    """The smallest of several numbers.

    :ivar value: the smallest number; ``None`` when no text is a number.
    :ivar unreadable: whether at least one text is not a number.
    """

    value: float | None
    unreadable: bool


# Highest number of digits of a count; messages between nodes hold 64 bits.
MAX_COUNT_DIGITS = 15
# Highest number with a fraction: a longer one would be infinite.
MAX_DECIMAL = 1e15


def parse_count(text: str) -> int | None:
    """Parse a whole number of at most :data:`MAX_COUNT_DIGITS` ASCII digits.

    :return: ``None`` for any other text, such as one with a sign.
    """
    digits = text.strip()
    is_count = digits.isascii() and digits.isdigit() and len(digits) <= MAX_COUNT_DIGITS
    return int(digits) if is_count else None


def parse_integer(text: str) -> int:
    """Parse a number as :func:`parse_count` does; return 0 for any other text."""
    return parse_count(text) or 0


def parse_decimal(text: str) -> float | None:
    """Parse a number of ASCII digits with or without a fraction.

    :return: the number, at most :data:`MAX_DECIMAL`; ``None`` for any other text, such as one with
        a sign or an exponent.
    """
    whole, _, fraction = text.strip().partition(".")
    digits = whole + fraction
    if not whole or not digits.isascii() or not digits.isdigit():
        return None
    return min(MAX_DECIMAL, float(f"{whole}.{fraction or 0}"))


def parse_smallest_decimal(texts: Iterable[str]) -> SmallestDecimal:
    """Parse the values of a repeated header; the smallest number is the safe one to respect."""
    parsed = [parse_decimal(text) for text in texts]
    numbers = [each for each in parsed if each is not None]
    return SmallestDecimal(min(numbers, default=None), len(numbers) < len(parsed))
