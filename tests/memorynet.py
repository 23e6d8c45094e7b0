"""
tests.memorynet

In-memory TCP for an event loop in virtual time: listeners and connections by address, without
delay. All open connections can be silenced permanently while new ones still work.
"""

import asyncio


class MemoryTransport(asyncio.Transport):
    """One end of an in-memory connection."""

    def __init__(self, loop, protocol):
        super().__init__()
        self._loop = loop
        self._protocol = protocol
        self._closed = False
        self._paused_data = None
        self.peer = None
        self.is_silent = False

    def start(self):
        self._loop.call_soon(self._protocol.connection_made, self)

    def write(self, data):
        if not self._closed and not self.is_silent:
            self._loop.call_soon(self.peer.receive_data, bytes(data))

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
        self._loop.call_soon(self._protocol.connection_lost, None)
        if not self.is_silent:
            self._loop.call_soon(self.peer.receive_close, error)

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
        self._loop = loop
        self._transports = []
        loop.create_server = self._create_server
        loop.create_connection = self._create_connection

    async def _create_server(self, factory, host, port, **_):
        self.listeners[(host, port)] = factory
        return _Listener(self, (host, port))

    async def _create_connection(self, factory, host, port, **_):
        protocol_factory = self.listeners.get((host, port))
        if protocol_factory is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        self.opened_count += 1
        client_side = MemoryTransport(self._loop, factory())
        server_side = MemoryTransport(self._loop, protocol_factory())
        client_side.peer, server_side.peer = server_side, client_side
        self._transports += [client_side, server_side]
        client_side.start()
        server_side.start()
        await asyncio.sleep(0)
        return client_side, client_side._protocol

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
