"""
chalkyoke.decoding.addresses

Parse the addresses in documents.
"""

import ipaddress
from typing import NamedTuple

from chalkyoke.decimals import parse_count

MAX_PORT = 65_535


class Address(NamedTuple):
    """An IPv4 address and a port."""

    ip: str
    port: int


def parse_address(text: str) -> Address | None:
    """Parse ``ip:port``.

    :return: None for any other text, such as one with a name or with port 0.
    """
    ip, _, digits = text.rpartition(":")
    port = parse_count(digits) if digits.isdigit() else None
    if port is None or not 1 <= port <= MAX_PORT:
        return None
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return None
    return Address(ip, port)
