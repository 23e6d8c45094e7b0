"""
chalkyoke.http1.discard

Closes a connection whose peer may still receive or work on what was sent over it.
"""

import asyncio

from chalkyoke.sockets import reset_when_closed, unacknowledged_bytes

# Time that the peer has to close its side after this side has ended the stream, in seconds. Shorter
# than it takes the system to retransmit a lost FIN, so that a peer hears of the close twice.
CLOSE_TIMEOUT_S = 0.2
# Time for which the system may repeat a FIN that is not acknowledged, in seconds: as long as it
# takes the system to give up a connection to an upstream.
MAX_FIN_TIME_S = 2.5
# Unacknowledged bytes when the peer has received everything but the end of the stream.
ONLY_FIN_BYTES = 1


class Discard:
    """Close a connection, and drop what was sent over it and has not arrived.

    A plain close is not enough: the system still delivers what it has accepted, whenever the link
    or the peer takes it, and some peers do not take a FIN for an end. A reset drops what has not
    arrived, but it is sent only once and may be lost, whereas a FIN is repeated until the peer has
    acknowledged it. So the stream is ended by a FIN first, and reset soon after.

    :param transport: it reads on, to see that the peer closes, until it is closed or reset.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._began = self._loop.time()
        unsent = transport.get_write_buffer_size() > 0
        if transport.is_closing() and not unsent:
            return
        if unsent or not self._send_fin():
            self.reset()
            return
        transport.resume_reading()
        self._loop.call_later(CLOSE_TIMEOUT_S, self._reset_when_heard)

    def reset(self) -> None:
        """Reset the connection now."""
        reset_when_closed(self._transport)
        self._transport.abort()

    def _send_fin(self) -> bool:
        if not self._transport.can_write_eof():
            return False
        try:
            self._transport.write_eof()
        except OSError:
            # The peer has reset the connection.
            return False
        return True

    def _reset_when_heard(self) -> None:
        """Reset the connection, unless it is closed or only its FIN is still on the way.

        A reset that a broken link loses would leave the peer at work, whereas the system repeats
        the FIN until the link is back.
        """
        if self._transport.is_closing():
            return
        repeats_fin = unacknowledged_bytes(self._transport) == ONLY_FIN_BYTES
        if repeats_fin and self._loop.time() - self._began < MAX_FIN_TIME_S:
            self._loop.call_later(CLOSE_TIMEOUT_S, self._reset_when_heard)
        else:
            self.reset()
