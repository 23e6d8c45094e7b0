"""
chalkyoke.discard

Closes a connection whose peer may still receive or work on what was sent over it.
"""

import asyncio

from chalkyoke.sockets import reset_when_closed, unacknowledged_bytes

# Time between the FIN and the reset, in seconds: the FIN crosses a region in it, and little work is
# done by a peer that takes only the reset for an end.
RESET_DELAY_S = 0.02
# Interval at which a FIN that is not acknowledged is checked, and the longest time for which the
# system may repeat it, in seconds: as long as it takes to give up a connection to an upstream.
CHECK_INTERVAL_S = 0.1
MAX_FIN_TIME_S = 2.5
# Unacknowledged bytes when the peer has received everything but the end of the stream.
ONLY_FIN_BYTES = 1


class Discard:
    """Close a connection, and drop what was sent over it and has not arrived.

    A plain close is not enough: the system still delivers what it has accepted, whenever the link
    or the peer takes it, and some peers do not take a FIN for an end. So the connection is reset at
    once if a part of what was sent has not arrived.

    A reset is sent only once and may be lost, whereas a FIN is repeated until the peer has
    acknowledged it. A peer that has received everything gets a FIN first, and the reset after it.

    :param transport: it reads on, to see that the peer closes, until it is closed or reset.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._began = self._loop.time()
        unsent = transport.get_write_buffer_size()
        if transport.is_closing() and not unsent:
            return
        if unsent or unacknowledged_bytes(transport) or not self._send_fin():
            self.reset()
            return
        transport.resume_reading()
        self._loop.call_later(RESET_DELAY_S, self._reset_when_heard)

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
            self._loop.call_later(CHECK_INTERVAL_S, self._reset_when_heard)
        else:
            self.reset()
