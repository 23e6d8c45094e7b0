"""
chalkyoke_fakes.soak.relay

A TCP relay on loopback between two programs. It can delay, hold back, drop or reset the traffic,
and send answers of an HTTP server once more.
"""

import asyncio
import contextlib
import random
from dataclasses import dataclass

from chalkyoke_fakes.latecopies import LateCopies, RepeatingWriter
from chalkyoke_fakes.resets import is_reset, reset_connection, wait_for_reset

CHUNK_BYTES = 65_536
POLL_S = 0.02
# The delay of a lost segment: the time until the sender retransmits it, in seconds.
RETRANSMIT_S = 0.2


@dataclass
class RelayFaults:
    """Faults that can be switched at run time.

    :ivar silent_to_target: bytes towards the target are held back while this is set.
    :ivar silent_to_caller: bytes towards the caller are held back while this is set.
    :ivar delay_s: delay of each chunk, in seconds.
    :ivar lost_share: share of chunks (0 to 1) that pass only after a simulated retransmission.
    :ivar refuse: new connections are reset at once.
    """

    silent_to_target: bool = False
    silent_to_caller: bool = False
    delay_s: float = 0.0
    lost_share: float = 0.0
    refuse: bool = False


class Relay:
    """Forward connections to a target.

    :ivar target: ``ip:port``; a change applies to new connections only.
    :ivar late_copies: the target's answers that are sent once more; none at first. They are no
        fault of the connections, and outlast those.
    """

    def __init__(self, target: str = "") -> None:
        self.target = target
        self.address = ""
        self.faults = RelayFaults()
        self.late_copies = LateCopies()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._relay_connection, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Abort all open connections; new ones are still accepted."""
        for writer in list(self._writers):
            reset_connection(writer)

    def silence_open_connections(self) -> None:
        """Drop all data on the open connections for good, both ways, without closing them."""
        self._silent |= self._writers

    def clear_faults(self) -> None:
        """Clear all faults; connections that were silenced for good stay silent."""
        self.faults = RelayFaults()

    async def _relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.refuse or not self.target:
            writer.transport.abort()
            return
        ip, port = self.target.rsplit(":", 1)
        try:
            there, back = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        writer = RepeatingWriter(writer, reader, self.late_copies)
        self._writers |= {writer, back}
        towards = asyncio.create_task(self._copy_stream(reader, writer, back, to_target=True))
        backwards = asyncio.create_task(self._copy_stream(there, back, writer, to_target=False))
        watch: asyncio.Task[None] | None = None
        try:
            done, left = await asyncio.wait(
                [towards, backwards], return_when=asyncio.FIRST_COMPLETED
            )
            if left:
                # One side has closed; it may still reset the connection.
                closed, other = (writer, back) if towards in done else (back, writer)
                watch = asyncio.create_task(wait_for_reset(closed))
                await asyncio.wait([*left, watch], return_when=asyncio.FIRST_COMPLETED)
                if watch.done():
                    reset_connection(other)
        finally:
            for task in filter(None, (towards, backwards, watch)):
                task.cancel()
            if writer not in self._silent:
                self._close_writers(writer, back)

    def _close_writers(self, *writers: asyncio.StreamWriter) -> None:
        """Close both ends; connections silenced for good stay open until the relay stops."""
        for each in writers:
            self._writers.discard(each)
            with contextlib.suppress(ConnectionError):
                each.close()

    async def _copy_stream(
        self,
        reader: asyncio.StreamReader,
        source: asyncio.StreamWriter,
        writer: asyncio.StreamWriter,
        *,
        to_target: bool,
    ) -> None:
        """Copy what a reader receives to a writer.

        :param source: the writer of the reader's connection.
        """
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                if self.faults.lost_share and random.random() < self.faults.lost_share:
                    await asyncio.sleep(RETRANSMIT_S)
                while self._is_silent(to_target):
                    await asyncio.sleep(POLL_S)
                if writer in self._silent:
                    continue
                if is_reset(source):
                    # What a link holds up is lost if its sender resets the connection.
                    raise ConnectionResetError
                writer.write(data)
                await writer.drain()
            while self._is_silent(to_target):
                await asyncio.sleep(POLL_S)
            if is_reset(source):
                raise ConnectionResetError
            if writer not in self._silent and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            reset_connection(writer)

    def _is_silent(self, to_target: bool) -> bool:
        return self.faults.silent_to_target if to_target else self.faults.silent_to_caller
