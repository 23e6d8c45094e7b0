"""
tests.memorynet

TCP in memory for an event loop in virtual time: listeners and connections by address, without
delay. All open connections can be made silent for good, while new ones work.
"""

import asyncio


class MemoryTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, loop, protocol):
        super().__init__()
        self._loop = loop
        self._protocol = protocol
        self._closed = False
        self._held = None
        self.peer = None
        self.is_silent = False

    def start(self):
        self._loop.call_soon(self._protocol.connection_made, self)

    def write(self, data):
        if not self._closed and not self.is_silent:
            self._loop.call_soon(self.peer.take, bytes(data))

    def take(self, data):
        if self._closed or self.is_silent:
            return
        if self._held is not None:
            self._held.append(data)
        elif data:
            self._protocol.data_received(data)
        elif not self._protocol.eof_received():
            self.close()

    def close(self):
        self._end(None)

    def abort(self):
        self._end(ConnectionResetError("reset by peer"))

    def _end(self, told):
        if self._closed:
            return
        self._closed = True
        self._loop.call_soon(self._protocol.connection_lost, None)
        if not self.is_silent:
            self._loop.call_soon(self.peer.ended, told)

    def ended(self, error):
        if error is None:
            self.take(b"")
        elif not self._closed and not self.is_silent:
            self._closed = True
            self._protocol.connection_lost(error)

    def fail(self, error):
        """Lose the connection as the system does when it gives it up."""
        if not self._closed:
            self._closed = True
            self._protocol.connection_lost(error)

    def pause_reading(self):
        self._held = []

    def resume_reading(self):
        held, self._held = self._held or [], None
        for data in held:
            self.take(data)

    def is_closing(self):
        return self._closed

    def is_reading(self):
        return self._held is None

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
    """Make an event loop's connections in memory."""

    def __init__(self, loop):
        self.listeners = {}
        self.opened_count = 0
        self._loop = loop
        self._ends = []
        loop.create_server = self._create_server
        loop.create_connection = self._create_connection

    async def _create_server(self, factory, host, port, **_):
        self.listeners[(host, port)] = factory
        return _Listener(self, (host, port))

    async def _create_connection(self, factory, host, port, **_):
        accepted = self.listeners.get((host, port))
        if accepted is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        self.opened_count += 1
        here = MemoryTransport(self._loop, factory())
        there = MemoryTransport(self._loop, accepted())
        here.peer, there.peer = there, here
        self._ends += [here, there]
        here.start()
        there.start()
        await asyncio.sleep(0)
        return here, here._protocol

    def fail_connections(self, error):
        """Let the system give up all open connections, each end for itself."""
        ends, self._ends = self._ends, []
        for end in ends:
            end.fail(error)

    def silence_connections(self):
        """Let all open connections carry nothing any more, not even their end."""
        for end in self._ends:
            end.is_silent = True
        self._ends.clear()
