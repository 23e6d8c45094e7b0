"""
chalkyoke.http1.lingertransport

A transport for HTTP servers that close their connections without a thought for unread input.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from chalkyoke.http1.lingering import LingeringClose, LingeringConnections
from chalkyoke.sockets import bound_reads


class LingeringTransport(asyncio.Transport):
    """Wrap a transport; a close while input is due lets the peer read the last answer first.

    :param inner: the transport of the connection.
    :param shared: what the lingering connections of a server share.
    :param is_input_due: returns whether a part of the last request is still to come.
    :param on_linger: called when the connection begins to wait for its peer.
    """

    def __init__(
        self,
        inner: asyncio.Transport,
        shared: LingeringConnections,
        is_input_due: Callable[[], bool],
        on_linger: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__()
        self._inner = inner
        self._shared = shared
        self._is_input_due = is_input_due
        self._on_linger = on_linger
        self._linger: LingeringClose | None = None

    def discard(self, size: int) -> bool:
        """Discard input that comes after the close; return whether there was a close.

        :param size: in bytes.
        """
        if self._linger is None:
            return False
        self._linger.discard(size)
        return True

    def on_lost(self, error: Exception | None) -> None:
        """Handle that the connection has ended."""
        if self._linger is not None:
            self._linger.on_lost(error)

    def close(self) -> None:
        """Close when the peer has had the time to read; a second call shortens that time."""
        if self._linger is not None:
            self._linger.stop()
        elif self._is_input_due() and not self._inner.is_closing():
            self._on_linger()
            self._linger = LingeringClose(self._inner, self._shared, None, [])
        else:
            self._inner.close()

    def bound_reads(self, size: int) -> None:
        """Bound the bytes that are read at a time."""
        bound_reads(self._inner, size)

    def close_now(self) -> None:
        """Close without waiting for the peer."""
        self._inner.close()

    @property
    def is_closed(self) -> bool:
        """Whether the connection does not wait for its peer any more."""
        return self._inner.is_closing()

    def abort(self) -> None:
        """Close at once, without the rest of what was written."""
        self._inner.abort()

    def is_closing(self) -> bool:
        """Return whether the transport was closed."""
        return self._linger is not None or self._inner.is_closing()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write bytes; dropped after the close."""
        if self._linger is None:
            self._inner.write(data)

    def pause_reading(self) -> None:
        """Pause reading; without effect after the close."""
        if self._linger is None:
            self._inner.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading; without effect after the close."""
        if self._linger is None:
            self._inner.resume_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the transport."""
        return self._inner.get_extra_info(name, default)
