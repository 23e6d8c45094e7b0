"""
tests.memorynet

In-memory TCP for an event loop in virtual time: listeners and connections by address, without
delay. All open connections can be silenced permanently while new ones still work, and hosts can be
partitioned from addresses.
"""

import asyncio
import contextvars
import errno
import socket
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


@dataclass(frozen=True)
class Hold:
    """Holds up all bytes between hosts and addresses; connections still open."""

    hosts: frozenset
    addresses: frozenset

    def concerns(self, host, address):
        return host in self.hosts and address in self.addresses


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


class MemorySocket:
    """The options of one end of an in-memory connection.

    :ivar resets: whether the connection is reset, and not closed, by an abort.
    """

    resets = False

    def fileno(self):
        return -1

    def setsockopt(self, level, option, value):
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER):
            self.resets = True


class MemoryTransport(asyncio.Transport):
    """One end of an in-memory connection.

    :ivar held: what the link holds up on its way to the peer, as calls of the peer; None where
        nothing is held up.
    """

    def __init__(self, loop, protocol, context, address):
        super().__init__()
        self._loop = loop
        self._protocol = protocol
        self._context = context
        self.host = context.get(current_host, "")
        self.address = address
        self._is_made = False
        self._closed = False
        self._paused_data = None
        self._eof_sent = False
        self._socket = MemorySocket()
        self._was_reset = False
        self.held = None
        self.peer = None
        self.is_silent = False

    def start(self):
        self._call_soon(self._make_connection)

    def _make_connection(self):
        self._is_made = True
        self._protocol.connection_made(self)

    def set_protocol(self, protocol):
        self._protocol = protocol

    def get_protocol(self):
        return self._protocol

    def _call_soon(self, callback, *args):
        self._loop.call_soon(callback, *args, context=self._context)

    def write(self, data):
        if self._closed or not data:
            return
        if self.is_silent:
            error = OSError(errno.ETIMEDOUT, "timed out")
            self._loop.call_later(
                USER_TIMEOUT_S, self.lose_connection, error, context=self._context
            )
            return
        if self.peer._was_reset:
            self._call_soon(self.lose_connection, ConnectionResetError("reset by peer"))
            return
        self._deliver(self.peer.receive_data, bytes(data))

    def _deliver(self, receive, *args):
        if self.held is not None:
            self.held.append((receive, args))
        else:
            self.peer._call_soon(receive, *args)

    def release_held(self):
        """Deliver what the link has held up."""
        held, self.held = self.held or [], None
        for receive, args in held:
            self.peer._call_soon(receive, *args)

    def can_write_eof(self):
        return True

    def write_eof(self):
        if not self._closed and not self._eof_sent and not self.is_silent:
            self._eof_sent = True
            self._deliver(self.peer.receive_data, b"")

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
        reset = ConnectionResetError("reset by peer") if self._socket.resets else None
        self._close_both_ends(reset)

    def _close_both_ends(self, error):
        if self._closed:
            return
        self._closed = True
        self._call_soon(self._protocol.connection_lost, None)
        if self.is_silent:
            return
        if error is not None and self.held is not None:
            # The link loses the reset, and the system drops what it has not delivered.
            self.held.clear()
            self._was_reset = True
        elif not self._eof_sent or error is not None:
            self._deliver(self.peer.receive_close, error)

    def receive_close(self, error):
        if error is None:
            self.receive_data(b"")
        elif not self._closed and not self.is_silent:
            self._closed = True
            self._protocol.connection_lost(error)

    def lose_connection(self, error):
        """Lose the connection as when the operating system reports an error on it."""
        if not self._is_made:
            # The protocol learns of a connection before it learns of its loss.
            self._call_soon(self.lose_connection, error)
        elif not self._closed:
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

    def get_extra_info(self, name, default=None):
        return self._socket if name == "socket" else default


class _NothingWaits:
    """A listening socket whose connections are opened at once, so that none waits for accept."""

    def __enter__(self):
        return self

    def __exit__(self, *_):
        pass

    def accept(self):
        raise BlockingIOError

    def listen(self, backlog):
        pass


class _Listener:
    def __init__(self, net, address):
        self._net = net
        self._address = address
        self.sockets = (self,)

    def getsockname(self):
        return self._address

    def dup(self):
        return _NothingWaits()

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
        self._holds = []
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
        if any(each.concerns(client_side.host, (host, port)) for each in self._holds):
            client_side.held, server_side.held = [], []
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

    def heal_all(self):
        """End all partitions."""
        for each in list(self._partitions):
            self.heal(each)

    def hold(self, hosts, addresses):
        """Hold up all bytes between hosts and addresses, until they are released.

        :rtype: Hold
        """
        hold = Hold(frozenset(hosts), frozenset(addresses))
        self._holds.append(hold)
        for each in self._transports:
            if hold.concerns(each.host, each.address):
                each.held, each.peer.held = [], []
        return hold

    def release(self, hold):
        """Deliver what is held up, and hold up nothing more."""
        self._holds.remove(hold)
        for each in self._transports:
            if hold.concerns(each.host, each.address):
                each.release_held()
                each.peer.release_held()

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
