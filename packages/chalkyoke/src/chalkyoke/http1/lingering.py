"""
chalkyoke.http1.lingering

Closes a connection after its last answer. A close with unread input resets the connection, and the
caller may lose the answer, so what the caller still sends is read and discarded first (RFC 9112,
section 9.6).
"""

import asyncio
from collections.abc import Callable

import msgspec

from chalkyoke.discard import ONLY_FIN_BYTES
from chalkyoke.http1.messages import Headers
from chalkyoke.sockets import unacknowledged_bytes

# Seconds without input after which a connection closes whose requests have been read.
LINGER_S = 1.0
# Seconds between two pieces of a request that was refused before its end, and the longest time for
# which such a connection is read, in seconds.
UPLOAD_LINGER_S = 5.0
MAX_LINGER_S = 30.0
# The longest time for which a planned stop waits for the rest of a refused request, in seconds.
STOP_LINGER_S = 3.0
# Input that all lingering connections of a listener may send, in bytes per second, and the least
# time between two reads of one of them, in seconds.
DISCARDED_BYTES_PER_S = 64_000_000
MIN_READ_INTERVAL_S = 0.005
# Number of lingering connections of a listener above which they close as in a planned stop: they
# occupy descriptors.
MAX_PATIENT_CONNECTIONS = 256


class LingerTimes:
    """When a connection that has sent its last answer is closed. Performs no I/O.

    :param now: in seconds, as all times here.
    :param due_bytes: bytes of the refused request that are still to come; None if unknown.
    """

    def __init__(self, now: float, due_bytes: int | None) -> None:
        self._due_bytes = due_bytes
        self._latest = now + MAX_LINGER_S
        self._last_input_at = now
        self._stopping = False

    @property
    def unfinished(self) -> bool:
        """Whether a part of the refused request is still to come."""
        return self._due_bytes is None or self._due_bytes > 0

    @property
    def closes_at(self) -> float:
        """When the connection closes if no further input comes."""
        patient = self.unfinished and not self._stopping
        wait_s = UPLOAD_LINGER_S if patient else LINGER_S
        # In whole nanoseconds, as clocks are: a timer for this moment does not fire before it.
        return round(min(self._last_input_at + wait_s, self._latest), 9)

    def on_input(self, size: int, now: float) -> None:
        """Record that input was discarded.

        :param size: in bytes.
        """
        self._last_input_at = now
        if self._due_bytes is not None:
            self._due_bytes = max(0, self._due_bytes - size)

    def stop(self, now: float) -> None:
        """Bound the time that is left, since a planned stop has begun."""
        if not self._stopping:
            self._stopping = True
            self._latest = min(self._latest, now + STOP_LINGER_S)


class LingerEnd(msgspec.Struct, frozen=True):
    """A lingering connection that ended in a way by which its caller may have lost the answer.

    :param cause: ``time`` if the caller still sent when the time was over, ``reset`` if the caller
        reset the connection or it broke.
    :param lingered_s: seconds since the answer was sent.
    :param discarded_bytes: bytes read in this time.
    :param headers: of the request that was answered last, as far as they were read.
    """

    cause: str
    lingered_s: float
    discarded_bytes: int
    headers: Headers


class LingeringConnections:
    """What the lingering connections of a listener share.

    :param on_answer_lost: called when a caller may have lost its answer.
    :ivar count: number of lingering connections.
    """

    def __init__(self, on_answer_lost: Callable[[LingerEnd], None] = lambda _: None) -> None:
        self.on_answer_lost = on_answer_lost
        self.count = 0

    def read_interval_s(self, size: int) -> float:
        """Return the time until a connection may be read again after a read.

        :param size: of the read, in bytes.
        """
        return max(MIN_READ_INTERVAL_S, size * self.count / DISCARDED_BYTES_PER_S)


class LingeringClose:
    """Send the end of the stream, discard input for a limited time, then close.

    :param transport: its last answer has been written.
    :param due_bytes: bytes of the refused request that are still to come; None if unknown.
    :param headers: of the request that was answered last, for reports.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        shared: LingeringConnections,
        due_bytes: int | None,
        headers: Headers,
    ) -> None:
        self._transport = transport
        self._shared = shared
        self._headers = headers
        self._loop = asyncio.get_running_loop()
        self._began = self._loop.time()
        self._times = LingerTimes(self._began, due_bytes)
        self._discarded_bytes = 0
        self._read_timer: asyncio.TimerHandle | None = None
        self._close_timer: asyncio.TimerHandle | None = None
        shared.count += 1
        if shared.count > MAX_PATIENT_CONNECTIONS:
            self._times.stop(self._began)
        if self._send_fin():
            transport.resume_reading()
            self._wait()

    def discard(self, size: int) -> None:
        """Record input, which the caller of this method drops, and read on after a pause.

        :param size: in bytes.
        """
        self._discarded_bytes += size
        if self._transport.is_closing():
            return
        unfinished = self._times.unfinished
        self._times.on_input(size, self._loop.time())
        if unfinished and not self._times.unfinished:
            self._wait()
        if self._read_timer is None:
            self._transport.pause_reading()
            interval_s = self._shared.read_interval_s(size)
            self._read_timer = self._loop.call_later(interval_s, self._read_on)

    def stop(self) -> None:
        """Close soon, since a planned stop has begun."""
        self._times.stop(self._loop.time())
        self._check()

    def on_lost(self, error: Exception | None) -> None:
        """Handle that the connection has ended."""
        self._shared.count -= 1
        for timer in (self._read_timer, self._close_timer):
            if timer is not None:
                timer.cancel()
        if error is not None:
            self._report("reset")

    def _send_fin(self) -> bool:
        try:
            if self._transport.can_write_eof():
                self._transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            self._transport.abort()
            return False
        return True

    def _read_on(self) -> None:
        self._read_timer = None
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _wait(self) -> None:
        if self._close_timer is not None:
            self._close_timer.cancel()
        self._close_timer = self._loop.call_at(self._times.closes_at, self._check)

    def _check(self) -> None:
        if self._transport.is_closing():
            return
        if self._loop.time() < self._times.closes_at:
            self._wait()
            return
        if self._times.unfinished or not self._is_received():
            self._report("time")
        self._transport.close()

    def _is_received(self) -> bool:
        """Return whether the caller's system has the whole answer, as far as ours tells."""
        return (unacknowledged_bytes(self._transport) or 0) <= ONLY_FIN_BYTES

    def _report(self, cause: str) -> None:
        lingered_s = self._loop.time() - self._began
        end = LingerEnd(cause, lingered_s, self._discarded_bytes, self._headers)
        self._shared.on_answer_lost(end)
