"""
chalkyoke_fakes.latecopies

Answers that are sent once more, late, as by a faulty upstream. Copies never interrupt another
answer.
"""

import asyncio
import random

import httptools

# Largest answer of which a copy is sent, in bytes.
MAX_COPIED_BYTES = 65_536
# Longest time between an answer and its copy, in seconds.
MAX_DELAY_S = 0.12


class LateCopies:
    """Draw which answers are sent once more.

    :param share: share of the whole answers that are sent once more, from 0 to 1; it may be changed
        at any time.
    :ivar drawn: number of copies drawn; one whose connection closes before is not sent.
    """

    def __init__(self, seed: int | str = 0, share: float = 0.0) -> None:
        self._random = random.Random(seed)
        self.share = share
        self.drawn = 0

    def draw_delay_s(self) -> float | None:
        """Draw the time after which an answer is sent once more, in seconds; None if it is not."""
        is_copied = self._random.random() < self.share
        self.drawn += is_copied
        delay_s = self._random.uniform(0.0, MAX_DELAY_S)
        return delay_s if is_copied else None


class RepeatingWriter(asyncio.StreamWriter):
    """Writes to a connection, over which whole answers are sent once more.

    :param writer: the writer of the connection.
    """

    def __init__(
        self, writer: asyncio.StreamWriter, reader: asyncio.StreamReader, copies: LateCopies
    ) -> None:
        protocol = writer.transport.get_protocol()
        super().__init__(writer.transport, protocol, reader, asyncio.get_running_loop())
        # It would close the connection when it is collected.
        self._original = writer
        self._copies = copies
        self._parser = httptools.HttpResponseParser(self)
        self._answer = bytearray()
        self._is_inside = False
        self._is_ended = False
        self._due: list[bytes] = []

    def write_eof(self) -> None:
        """End this side of the connection; copies that are due are dropped."""
        self._is_ended = True
        super().write_eof()

    def write(self, data: bytes) -> None:  # type: ignore[override]
        """Write a part of an answer, or several answers."""
        super().write(data)
        if not self._is_inside and not (self._copies.share and data.startswith(b"HTTP/")):
            return
        if len(self._answer) <= MAX_COPIED_BYTES:
            self._answer += data
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            # Whether an answer has ended is not known any more.
            self._is_inside = True
            return
        if not self._is_inside:
            self._schedule_copy()
            self._write_due()

    def on_message_begin(self) -> None:
        """Record that an answer has begun."""
        self._is_inside = True

    def on_message_complete(self) -> None:
        """Record that an answer has ended."""
        self._is_inside = False

    def _schedule_copy(self) -> None:
        answer = bytes(self._answer)
        self._answer.clear()
        delay_s = self._copies.draw_delay_s()
        if delay_s is not None and len(answer) <= MAX_COPIED_BYTES:
            asyncio.get_running_loop().call_later(delay_s, self._write_copy, answer)

    def _write_copy(self, answer: bytes) -> None:
        self._due.append(answer)
        if not self._is_inside:
            self._write_due()

    def _write_due(self) -> None:
        due, self._due = self._due, []
        if due and not self._is_ended and not self.transport.is_closing():
            super().write(b"".join(due))
