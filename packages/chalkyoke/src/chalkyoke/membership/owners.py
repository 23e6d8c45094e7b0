"""
chalkyoke.membership.owners

Who holds a duty: rendezvous hashing over the live members, among those that can bear most. Source:
Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
"""

import math
from collections.abc import Iterable
from typing import Protocol, TypeVar

import xxhash


class Host(Protocol):
    """What a duty goes by: a member's record, or a candidate."""

    @property
    def host(self) -> str:
        """The host's id."""

    @property
    def capacity(self) -> float:
        """What the host can bear, in cores."""


AnyHost = TypeVar("AnyHost", bound=Host)


def _weight(duty: str, host: str) -> int:
    return xxhash.xxh64_intdigest(f"{duty}|{host}".encode())


def capacity_class(capacity: float) -> int:
    """Give the class of a host by what it can bear; each class bears twice as much as the next.

    Duties for many others go to the highest class that is there: the scheduler of a large pool may
    need half of what the smallest hosts have.

    :param capacity: in cores.
    """
    return math.floor(math.log2(max(capacity, 1e-3)))


def ranked_hosts(duty: str, hosts: Iterable[AnyHost]) -> list[AnyHost]:
    """Rank hosts for a duty: those that can bear most, and among them by hashing.

    :param duty: name of the duty, for example a pool.
    """

    def key(each: AnyHost) -> tuple[int, int, str]:
        return -capacity_class(each.capacity), -_weight(duty, each.host), each.host

    return sorted(hosts, key=key)
