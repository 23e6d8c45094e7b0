"""
chalkyoke.http1.pausing

Passes received bytes on in pieces, and stops reading while one of several reasons holds.
"""

import asyncio
from collections.abc import Callable
from enum import Enum, auto

from chalkyoke.hangups import HangupWatch
from chalkyoke.memory.account import MemoryAccount, Purpose
from chalkyoke.memory.receiving import RECEIVE_BUFFER_BYTES


class PauseReason(Enum):
    """Why a connection is not read."""

    WAITING_REQUESTS = auto()
    BODY_MEMORY = auto()
    TURN = auto()


class PausableInput:
    """The input of one connection.

    While it is paused, the rest of what was received is kept, and what the system may receive
    meanwhile is charged with it.

    :param receive: takes a piece; it may pause the input.
    :param piece_bytes: returns the size of the next piece, in bytes.
    :param on_hangup: called once when the peer closes its side while the input is paused.
    """

    __slots__ = (
        "_account",
        "_charge",
        "_hangups",
        "_is_due",
        "_kept",
        "_piece_bytes",
        "_reasons",
        "_receive",
        "_transport",
    )

    def __init__(
        self,
        transport: asyncio.Transport,
        account: MemoryAccount,
        receive: Callable[[memoryview], None],
        piece_bytes: Callable[[], int],
        on_hangup: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._account = account
        self._receive = receive
        self._piece_bytes = piece_bytes
        self._charge = account.open(Purpose.UNREAD)
        self._hangups = HangupWatch(transport, on_hangup)
        self._reasons: set[PauseReason] = set()
        self._kept = memoryview(b"")
        self._is_due = False

    @property
    def is_paused(self) -> bool:
        """Whether a reason to pause holds."""
        return bool(self._reasons)

    def feed(self, data: bytes) -> None:
        """Pass received bytes on, up to where the input is paused."""
        self._kept = memoryview(bytes(self._kept) + data if self._kept else data)
        if not self._reasons and len(self._kept) <= self._piece_bytes():
            whole, self._kept = self._kept, memoryview(b"")
            self._receive(whole)
        self._pass_on()

    def pause(self, reason: PauseReason) -> None:
        """Stop reading."""
        if not self._reasons:
            self._transport.pause_reading()
            self._hangups.start()
        self._reasons.add(reason)

    def resume(self, reason: PauseReason) -> None:
        """Read on if no other reason holds, in the next iteration of the loop."""
        if reason not in self._reasons:
            return
        self._reasons.discard(reason)
        if not self._reasons and not self._is_due:
            self._is_due = True
            asyncio.get_running_loop().call_soon(self._read_on)

    def resume_all(self) -> None:
        """Read on whatever reasons there were; what comes is no longer parsed."""
        for reason in list(self._reasons):
            self.resume(reason)

    def close(self) -> None:
        """Drop what was received, and pass nothing more on."""
        self._kept = memoryview(b"")
        self._hangups.stop()
        self._charge.release()

    def _read_on(self) -> None:
        self._is_due = False
        if self._reasons:
            return
        self._charge.release()
        self._pass_on()
        if not self._reasons:
            self._hangups.stop()
            self._transport.resume_reading()

    def _pass_on(self) -> None:
        while self._kept and not self._reasons and not self._transport.is_closing():
            size = self._piece_bytes()
            piece, self._kept = self._kept[:size], self._kept[size:]
            self._receive(piece)
        if self._reasons and not self._transport.is_closing():
            self._keep()
        elif not self._kept:
            self._kept = memoryview(b"")

    def _keep(self) -> None:
        """Copy the rest, which would keep all that was received, and charge it."""
        self._kept = memoryview(bytes(self._kept))
        if self._account.is_limited:
            self._charge.resize(len(self._kept) + RECEIVE_BUFFER_BYTES)
