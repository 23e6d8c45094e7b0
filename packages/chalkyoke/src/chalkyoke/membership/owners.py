"""
chalkyoke.membership.owners

Assignment of duties to hosts: rendezvous hashing over the live members with the most capacity.
Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
"""

import math
from collections.abc import Iterable
from typing import Protocol, TypeVar

import xxhash


class Host(Protocol):
    """The attributes that decide on duties; a member record or a candidate has them."""

    @property
    def host(self) -> str:
        """The host's id."""

    @property
    def capacity(self) -> float:
        """Processor capacity of the host, in cores."""


AnyHost = TypeVar("AnyHost", bound=Host)


def _weight(duty: str, host: str) -> int:
    return xxhash.xxh64_intdigest(f"{duty}|{host}".encode())


def capacity_class(capacity: float) -> int:
    """Return the capacity class of a host; each class has twice the capacity of the one below.

    Duties that serve many other hosts go to the highest class present: the scheduler of a large
    pool may need half of the capacity of the smallest hosts.

    :param capacity: in cores.
    """
    return math.floor(math.log2(max(capacity, 1e-3)))


def ranked_hosts(duty: str, hosts: Iterable[AnyHost]) -> list[AnyHost]:
    """Rank hosts for a duty, best first: by capacity class, then by rendezvous hash.

    :param duty: name of the duty, for example a pool.
    """

    def key(each: AnyHost) -> tuple[int, int, str]:
        return -capacity_class(each.capacity), -_weight(duty, each.host), each.host

    return sorted(hosts, key=key)
