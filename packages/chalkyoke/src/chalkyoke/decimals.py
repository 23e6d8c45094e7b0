"""
chalkyoke.decimals

Numbers as headers have them.
"""

from collections.abc import Iterable
from typing import NamedTuple


class SmallestDecimal(NamedTuple):
    """The least of several numbers.

    :ivar least: nothing where none of them could be read.
    :ivar unreadable: whether one could not be read.
    """

    value: float | None
    unreadable: bool


def parse_integer(text: str) -> int:
    """Read a number of digits; 0 where it is none."""
    return int(text) if text.isascii() and text.isdigit() else 0


def parse_decimal(text: str) -> float | None:
    """Read a number of digits with or without a fraction.

    :return: nothing for a sign, an exponent or anything else that is no such number.
    """
    whole, _, part = text.strip().partition(".")
    digits = whole + part
    if not whole or not digits.isascii() or not digits.isdigit():
        return None
    return float(f"{whole}.{part or 0}")


def parse_smallest_decimal(texts: Iterable[str]) -> SmallestDecimal:
    """Read a header that may stand there more than once; the least is the safe one to keep to."""
    read = [parse_decimal(text) for text in texts]
    found = [each for each in read if each is not None]
    return SmallestDecimal(min(found, default=None), len(found) < len(read))
