"""
chalkyoke.hangups

Notices that peers have closed connections that are not being read.
"""

import asyncio
import select
from collections.abc import Callable

# Interval at which connections that are not read are checked, in seconds.
CHECK_INTERVAL_S = 0.1
# Events by which the system tells that a peer has closed its side or reset the connection. Some
# systems lack the one for a closed side, and tell of a reset only.
HANGUP_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def has_hung_up(connection: asyncio.BaseTransport) -> bool:
    """Return whether the peer of an open connection has closed its side or reset it.

    Bytes that arrived before may still be unread.
    """
    tcp_socket = connection.get_extra_info("socket")
    if tcp_socket is None or tcp_socket.fileno() < 0:
        return False
    check = select.poll()
    check.register(tcp_socket.fileno(), HANGUP_EVENTS)
    return any(events & HANGUP_EVENTS for _, events in check.poll(0))


class HangupWatch:
    """Check a connection while reading from it is paused.

    The event loop notices the end of a connection only when it reads from it.

    :param on_hangup: called once when the peer has closed its side or reset the connection.
    """

    __slots__ = ("_on_hangup", "_timer", "_transport")

    def __init__(self, transport: asyncio.BaseTransport, on_hangup: Callable[[], None]) -> None:
        self._transport = transport
        self._on_hangup = on_hangup
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Check from now on; call when reading is paused."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Check no more; call when reading is resumed or the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if has_hung_up(self._transport):
            self._on_hangup()
        else:
            self.start()
