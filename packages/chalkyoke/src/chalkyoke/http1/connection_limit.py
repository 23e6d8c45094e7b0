"""
chalkyoke.http1.connection_limit

Room for new callers: where their connections come near the bound, those that have been at rest
for the longest close, so that a process that says it is ready can take new ones.
"""

import heapq
from collections.abc import Collection
from typing import Protocol

# The part of a process's descriptors that callers' connections may use. The rest is for upstreams,
# links, the store and files.
CALLER_DESCRIPTOR_SHARE = 0.6
# The part of the bound that is made free at once, so that the search is not made for each caller.
FREED_CONNECTIONS_SHARE = 0.02


class IdleClosable(Protocol):
    """A caller's connection."""

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""

    @property
    def idle_since(self) -> float:
        """When the last answer ended, in seconds on the loop's clock."""

    def close_gracefully(self) -> None:
        """Close; at once where it is at rest."""


def max_caller_connections(descriptors: int) -> int:
    """Bound the callers' connections of a process.

    :param descriptors: how many descriptors it may have open.
    :rtype: int
    """
    return max(1, int(descriptors * CALLER_DESCRIPTOR_SHARE))


def close_idle_connections(connections: Collection[IdleClosable], most: int) -> int:
    """Close connections at rest, the longest first, where there are more than the bound.

    :return: how many were closed; callers in the middle of a request are never among them.
    """
    if len(connections) <= most:
        return 0
    wanted = len(connections) - most + int(most * FREED_CONNECTIONS_SHARE)
    at_rest = (each for each in connections if each.idle)
    longest = heapq.nsmallest(wanted, at_rest, key=lambda each: each.idle_since)
    for each in longest:
        each.close_gracefully()
    return len(longest)
