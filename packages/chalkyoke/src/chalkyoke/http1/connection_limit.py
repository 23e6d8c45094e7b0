"""
chalkyoke.http1.connection_limit

The limit on callers' connections. Above it, the connections that have been idle for the longest
are closed, so that a process that reports itself ready can accept new callers.
"""

import heapq
from collections.abc import Collection
from typing import Protocol

# Share of a process's file descriptors that callers' connections may use. The rest is for
# upstreams, links, the store and files.
CALLER_DESCRIPTOR_SHARE = 0.6
# Share of the limit that is freed in addition, so that not every new connection causes a search.
FREED_CONNECTIONS_SHARE = 0.02


class IdleClosable(Protocol):
    """A caller's connection that can be closed while it is idle."""

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""

    @property
    def idle_since(self) -> float:
        """When the last answer ended, in seconds on the loop's clock."""

    def close_gracefully(self) -> None:
        """Close after the request in progress, or at once if the connection is idle."""


def max_caller_connections(descriptors: int) -> int:
    """Return the highest number of callers' connections of a process; at least 1.

    :param descriptors: number of file descriptors that the process may have open.
    :rtype: int
    """
    return max(1, int(descriptors * CALLER_DESCRIPTOR_SHARE))


def close_idle_connections(connections: Collection[IdleClosable], limit: int) -> int:
    """Close the connections that have been idle for the longest if the limit is exceeded.

    They are closed down to :data:`FREED_CONNECTIONS_SHARE` below the limit. Connections with a
    request in progress stay open.

    :param limit: highest number of connections.
    :return: the number of closed connections.
    """
    if len(connections) <= limit:
        return 0
    excess = len(connections) - limit + int(limit * FREED_CONNECTIONS_SHARE)
    idle = (each for each in connections if each.idle)
    longest_idle = heapq.nsmallest(excess, idle, key=lambda each: each.idle_since)
    for connection in longest_idle:
        connection.close_gracefully()
    return len(longest_idle)
