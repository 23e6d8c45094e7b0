"""
chalkyoke.http1.upload

Writes a request body to an upstream in pieces, as fast as the upstream reads it.
"""

import asyncio

# Size of one piece, in bytes: together with the system's send buffer enough to keep a link of 30
# Mbit/s busy. Larger pieces copy more of each body that an upstream reads slowly.
PIECE_BYTES = 16_384
# Largest part of a body that is copied at a time, in bytes: one piece that waits, and the next one.
# The rest exists once, in the request.
COPIED_BYTES = 2 * PIECE_BYTES


class Upload:
    """One body that is being written."""

    def __init__(self, body: bytes) -> None:
        self._rest = memoryview(body)
        self._transport: asyncio.WriteTransport | None = None
        self._is_paused = False

    @property
    def is_complete(self) -> bool:
        """Whether the upstream reads the whole body: no part waits here or in a full transport."""
        return not self._rest and not self._is_paused

    def start(self, head: bytes, transport: asyncio.WriteTransport) -> None:
        """Write the head together with the first piece, then the rest."""
        self._transport = transport
        transport.set_write_buffer_limits(high=PIECE_BYTES)
        transport.write(b"".join((head, self._take_piece())))
        self._write_rest()

    def pause(self) -> None:
        """Stop writing while the upstream reads too slowly."""
        self._is_paused = True

    def resume(self) -> None:
        """Continue to write."""
        self._is_paused = False
        self._write_rest()

    def close(self) -> None:
        """Write no more."""
        self._transport = None

    def _write_rest(self) -> None:
        while self._transport is not None and self._rest and not self._is_paused:
            self._transport.write(self._take_piece())

    def _take_piece(self) -> memoryview:
        piece, self._rest = self._rest[:PIECE_BYTES], self._rest[PIECE_BYTES:]
        return piece
