"""
chalkyoke.http1.turns

Turns for connections whose input takes long to parse, so that others wait for one piece at most.
"""

import asyncio
from collections import deque
from collections.abc import Callable

# Bytes of a chunked body that are parsed at once.
PIECE_BYTES = 4_096
# Number of parts of a body in one piece above which the rest of the input waits for a turn. Each
# chunk is a part, and most of the time of a small one is spent on the call that passes it on.
MAX_PARTS = 64


class ParsingTurns:
    """Connections that wait to parse their next piece; each loop iteration lets one of them go on.

    Usage::

      >>> turns = ParsingTurns()
      >>> turns.wait(connection.parse_next_piece)
    """

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()

    def wait(self, go_on: Callable[[], None]) -> None:
        """Call a function after those that wait already, in a later iteration of the loop.

        :param go_on: it must have no effect if its connection has ended.
        """
        self._waiting.append(go_on)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._take_turn)

    def _take_turn(self) -> None:
        go_on = self._waiting.popleft()
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._take_turn)
        go_on()


class PartCount:
    """Counts the parts of a body in one piece of input."""

    __slots__ = ("_parts",)

    def __init__(self) -> None:
        self._parts = 0

    def on_part(self) -> None:
        """Count one part."""
        self._parts += 1

    def take_exceeded(self) -> bool:
        """Return whether the piece had many parts, and begin with the next one."""
        parts, self._parts = self._parts, 0
        return parts > MAX_PARTS
