"""
tests.memorynet

In-memory TCP for an event loop in virtual time: listeners and connections by address, without
delay. All open connections can be silenced permanently while new ones still work, and hosts can be
partitioned from addresses.
"""

import asyncio
import contextvars
import errno
from dataclasses import dataclass, field
from enum import Enum

# Time after which the operating system ends a connection with unacknowledged data, in seconds: the
# shortest TCP_USER_TIMEOUT that nodes set on connections to replicas.
USER_TIMEOUT_S = 2.5

# The host whose code runs; empty outside of any host. Each connection end keeps the host's context.
current_host = contextvars.ContextVar("current_host", default="")


class PartitionMode(Enum):
    """What happens to connections across a partition."""

    RESET = "open connections are reset, new ones are refused"
    SILENT = "open connections and new ones hang"
    REFUSE_NEW = "open connections live on, new ones are refused"


@dataclass
class Partition:
    """Separates hosts from addresses.

    :ivar attempts: number of connections that hosts tried to open across it.
    """

    hosts: frozenset
    addresses: frozenset
    mode: PartitionMode
    attempts: int = 0
    healed: asyncio.Event = field(default_factory=asyncio.Event)

    def separates(self, host, address):
        return host in self.hosts and address in self.addresses


class MemoryTransport(asyncio.Transport):
    """One end of an in-memory connection."""

    def __init__(self, loop, protocol, context, address):
        super().__init__()
        self._loop = loop
        self._protocol = protocol
        self._context = context
        self.host = context.get(current_host, "")
        self.address = address
        self._closed = False
        self._paused_data = None
        self.peer = None
        self.is_silent = False

    def start(self):
        self._call_soon(self._protocol.connection_made, self)

    def set_protocol(self, protocol):
        self._protocol = protocol

    def get_protocol(self):
        return self._protocol

    def _call_soon(self, callback, *args):
        self._loop.call_soon(callback, *args, context=self._context)

    def write(self, data):
        if self._closed:
            return
        if self.is_silent:
            error = OSError(errno.ETIMEDOUT, "timed out")
            self._loop.call_later(
                USER_TIMEOUT_S, self.lose_connection, error, context=self._context
            )
            return
        self.peer._call_soon(self.peer.receive_data, bytes(data))

    def receive_data(self, data):
        if self._closed or self.is_silent:
            return
        if self._paused_data is not None:
            self._paused_data.append(data)
        elif data:
            self._protocol.data_received(data)
        elif not self._protocol.eof_received():
            self.close()

    def close(self):
        self._close_both_ends(None)

    def abort(self):
        self._close_both_ends(ConnectionResetError("reset by peer"))

    def _close_both_ends(self, error):
        if self._closed:
            return
        self._closed = True
        self._call_soon(self._protocol.connection_lost, None)
        if not self.is_silent:
            self.peer._call_soon(self.peer.receive_close, error)

    def receive_close(self, error):
        if error is None:
            self.receive_data(b"")
        elif not self._closed and not self.is_silent:
            self._closed = True
            self._protocol.connection_lost(error)

    def lose_connection(self, error):
        """Lose the connection as when the operating system reports an error on it."""
        if not self._closed:
            self._closed = True
            self._protocol.connection_lost(error)

    def pause_reading(self):
        self._paused_data = []

    def resume_reading(self):
        paused_data, self._paused_data = self._paused_data or [], None
        for data in paused_data:
            self.receive_data(data)

    def is_closing(self):
        return self._closed

    def is_reading(self):
        return self._paused_data is None

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def can_write_eof(self):
        return False

    def get_extra_info(self, name, default=None):
        return default


class _Listener:
    def __init__(self, net, address):
        self._net = net
        self._address = address
        self.sockets = (self,)

    def getsockname(self):
        return self._address

    def is_serving(self):
        return self._address in self._net.listeners

    def close(self):
        self._net.listeners.pop(self._address, None)


class MemoryNet:
    """Replace an event loop's listeners and connections by in-memory ones."""

    def __init__(self, loop):
        self.listeners = {}
        self.opened_count = 0
        self._contexts = {}
        self._partitions = []
        self._loop = loop
        self._transports = []
        loop.create_server = self._create_server
        loop.create_connection = self._create_connection

    async def _create_server(self, factory, host, port, **_):
        self.listeners[(host, port)] = factory
        self._contexts[(host, port)] = contextvars.copy_context()
        return _Listener(self, (host, port))

    async def _create_connection(self, factory, host, port, **_):
        protocol_factory = self.listeners.get((host, port))
        if protocol_factory is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        await self._cross_partitions((host, port))
        self.opened_count += 1
        context, server_context = contextvars.copy_context(), self._contexts[(host, port)]
        client_side = MemoryTransport(self._loop, factory(), context, (host, port))
        server_protocol = server_context.run(protocol_factory)
        server_side = MemoryTransport(self._loop, server_protocol, server_context, None)
        client_side.peer, server_side.peer = server_side, client_side
        self._transports += [client_side, server_side]
        client_side.start()
        server_side.start()
        await asyncio.sleep(0)
        return client_side, client_side._protocol

    async def _cross_partitions(self, address):
        """Refuse a new connection across a partition, or let it hang.

        :raises ConnectionRefusedError: when a partition refuses it.
        """
        for partition in list(self._partitions):
            if not partition.separates(current_host.get(), address):
                continue
            partition.attempts += 1
            if partition.mode is not PartitionMode.SILENT:
                raise ConnectionRefusedError(f"{address}")
            await partition.healed.wait()

    def separate(self, hosts, addresses, mode):
        """Partition hosts from addresses; connections that were open then never recover.

        :rtype: Partition
        """
        partition = Partition(frozenset(hosts), frozenset(addresses), mode)
        self._partitions.append(partition)
        for transport in list(self._transports):
            if not partition.separates(transport.host, transport.address):
                continue
            for end in (transport, transport.peer):
                if mode is PartitionMode.RESET:
                    end.lose_connection(ConnectionResetError("reset by peer"))
                elif mode is PartitionMode.SILENT:
                    end.is_silent = True
        return partition

    def heal(self, partition):
        """End a partition."""
        self._partitions.remove(partition)
        partition.healed.set()

    def reset_host(self, host):
        """Reset all open connections of a host, as when its process is killed."""
        for transport in [each for each in self._transports if each.host == host]:
            for end in (transport, transport.peer):
                end.lose_connection(ConnectionResetError("reset by peer"))

    def fail_connections(self, error):
        """Fail all open connections with an error, each end on its own."""
        transports, self._transports = self._transports, []
        for transport in transports:
            transport.lose_connection(error)

    def silence_connections(self):
        """Let all open connections carry no more data, and not their closing either."""
        for transport in self._transports:
            transport.is_silent = True
        self._transports.clear()
