"""
chalkyoke.http1.dialing

Open connections to upstreams.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from chalkyoke.http1.client import ClientConnection
from chalkyoke.sockets import connect

MakeConnection = Callable[[], ClientConnection]


class ConnectFailure(StrEnum):
    """Why no connection was obtained. Nothing has been sent in any of these cases.

    ``NO_PATH`` means that this host reaches no upstream at all, so the failure is no sign that the
    upstream is down.
    """

    REFUSED = "refused"
    TIMED_OUT = "timed_out"
    AT_LIMIT = "at_limit"
    NO_PATH = "no_path"


# Failures that are a sign that the upstream is down.
UPSTREAM_FAILURES = frozenset((ConnectFailure.REFUSED, ConnectFailure.TIMED_OUT))


class Dialer(Protocol):
    """Opens connections to upstreams."""

    async def dial(
        self, make: MakeConnection, ip: str, port: int, timeout_s: float
    ) -> ClientConnection | ConnectFailure:
        """Open a connection.

        :param make: creates the protocol of the connection.
        :param timeout_s: limit for one attempt, in seconds.
        """

    async def is_path_lost(self, ip: str, port: int) -> bool:
        """Check whether only other hosts reach an upstream whose connection has failed."""


class DirectDialer:
    """Opens connections from this host."""

    async def dial(
        self, make: MakeConnection, ip: str, port: int, timeout_s: float
    ) -> ClientConnection | ConnectFailure:
        """Open a connection.

        :param make: creates the protocol of the connection.
        :param timeout_s: limit for the attempt, in seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await connect(make, ip, port)
        except TimeoutError:
            return ConnectFailure.TIMED_OUT
        except OSError:
            return ConnectFailure.REFUSED
        return connection

    async def is_path_lost(self, ip: str, port: int) -> bool:  # noqa: ARG002
        """Return false, since no other host is known."""
        return False
