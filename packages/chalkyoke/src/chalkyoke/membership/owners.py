"""
chalkyoke.membership.owners

Who holds a duty: rendezvous hashing over the live members. Source: Thaler and Ravishankar, "Using
Name-Based Mappings to Increase Hit Rates", 1998.
"""

from collections.abc import Iterable

import xxhash


def _weight(duty: str, host: str) -> int:
    return xxhash.xxh64_intdigest(f"{duty}|{host}".encode())


def ranked(duty: str, hosts: Iterable[str]) -> list[str]:
    """Rank hosts for a duty, best first.

    :param duty: name of the duty, for example a pool.
    :param hosts: host ids.
    :rtype: list[str]
    """
    return sorted(hosts, key=lambda host: (-_weight(duty, host), host))


def owner(duty: str, hosts: Iterable[str]) -> str | None:
    """Give the host that holds a duty, or nothing where there are no hosts.

    :rtype: str or None

    Usage::

      >>> owner("pool/rebooking", ["h1", "h2", "h3"])
      'h2'
    """
    return max(hosts, key=lambda host: (_weight(duty, host), host), default=None)
