"""
chalkyoke.http1.connection_limit

The limit on callers' connections. Above it, those that are worth least are closed, so that a
process that reports itself ready can accept new callers.
"""

import heapq
import resource
from collections.abc import Iterable
from enum import IntEnum, auto
from typing import Protocol

# Share of a process's file descriptors that callers' connections may use. Each request that is
# passed on may need another one, and some are for links, the store and files.
CALLER_DESCRIPTOR_SHARE = 0.4
# Share of the limit that is freed in addition, so that not every new connection causes a search.
FREED_CONNECTIONS_SHARE = 0.02
# Time that a new connection has for its first bytes before others are kept instead, in seconds.
NEW_CONNECTION_S = 1.0


class ConnectionUse(IntEnum):
    """What a connection is used for; those with a lower value are closed first.

    ``IDLE``: no request is read or answered. ``CLOSING``: its last answer was sent, and it is read
    until its caller has closed it. ``READING``: a request is being read. ``NEW``: nothing has come
    yet. ``ANSWERING``: a request has been read and not been answered; it is not closed.
    """

    IDLE = auto()
    CLOSING = auto()
    READING = auto()
    NEW = auto()
    ANSWERING = auto()


class LimitedConnection(Protocol):
    """A caller's connection that may be closed to make room for others."""

    @property
    def use(self) -> ConnectionUse:
        """What the connection is used for at present."""

    @property
    def used_since(self) -> float:
        """When that use began, in seconds on the loop's clock."""

    @property
    def is_closed(self) -> bool:
        """Whether the connection was closed, though it may still be in the set."""

    def make_room(self) -> None:
        """Refuse the request that is being read; without one, close at once."""


def use_before_request(now: float, opened_at: float, *, has_served: bool) -> ConnectionUse:
    """Return the use of a connection on which no request is read or answered.

    :param now: in seconds.
    :param opened_at: in seconds.
    :param has_served: whether a request was answered before.
    """
    is_new = not has_served and now - opened_at < NEW_CONNECTION_S
    return ConnectionUse.NEW if is_new else ConnectionUse.IDLE


def descriptor_limit() -> int:
    """Return the number of file descriptors that the system lets this process open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def max_caller_connections(descriptors: int) -> int:
    """Return the highest number of callers' connections of a process; at least 1.

    :param descriptors: number of file descriptors that the process may have open.
    :rtype: int
    """
    return max(1, int(descriptors * CALLER_DESCRIPTOR_SHARE))


def make_room(connections: Iterable[LimitedConnection], limit: int) -> int:
    """Close connections if the limit is exceeded, in the order of :class:`ConnectionUse`.

    Of those with the same use, the ones that began it first are closed first. They are closed down
    to :data:`FREED_CONNECTIONS_SHARE` below the limit. Connections whose request is refused stay
    open until their callers have read that, or until further room is needed.

    :param limit: highest number of connections.
    :return: the number of connections that were closed or refused.
    """
    open_now = [each for each in connections if not each.is_closed]
    if len(open_now) <= limit:
        return 0
    excess = len(open_now) - limit + int(limit * FREED_CONNECTIONS_SHARE)
    closable = (each for each in open_now if each.use is not ConnectionUse.ANSWERING)
    found = heapq.nsmallest(excess, closable, key=lambda each: (each.use, each.used_since))
    for connection in found:
        connection.make_room()
    return len(found)
