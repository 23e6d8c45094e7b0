"""
chalkyoke.memory.receiving

Divides the memory for what the system receives before the program reads it among the connections of
callers. Performs no I/O.
"""

from chalkyoke.memory.limit import BYTES_PER_MB

# Share of the host's memory that the receive buffers of all callers' connections may use.
RECEIVE_SHARE = 0.03
# Size of the receive buffer of a connection while there are few, and the smallest one, in bytes.
# With half of the former, large bodies arrive slowly over loopback, whose segments are larger.
RECEIVE_BUFFER_BYTES = 32_768
MIN_BYTES = 4_096
# Bytes that the system may hold for each byte of a receive buffer.
OVERHEAD = 1.5


class ReceiveBuffers:
    """The size of receive buffers by the number of connections.

    :param host_mb: memory at which the host ends the process, in MB; 0 for no limit.
    """

    def __init__(self, host_mb: float = 0.0) -> None:
        self._total = host_mb * BYTES_PER_MB * RECEIVE_SHARE / OVERHEAD

    def size(self, connections: int) -> int:
        """Return the size of the receive buffer of a new connection, in bytes.

        It changes in steps, so that it is seldom set.

        :param connections: number of open connections.
        """
        size = RECEIVE_BUFFER_BYTES
        while self._total and size > MIN_BYTES and size * connections > self._total:
            size //= 2
        return size
