"""
chalkyoke.entry.bodies

Reads the bodies of callers' requests within the memory of the host: a request whose body doesn't
fit is refused by its head, and one of unknown length is read as room becomes free.
"""

import asyncio
from collections.abc import Callable

import msgspec

from chalkyoke.entry.channels import Receive
from chalkyoke.memory.account import Charge, MemoryAccount, Purpose
from chalkyoke.memory.flow import CHECK_INTERVAL_S
from chalkyoke.memory.growth import BODY_LEVELS, GrowthQueue

# Bytes that the server and the system hold of a body of unknown length before it is read.
UNREAD_BYTES = 65_536
# Longest time that a body of unknown length waits for room in all, in seconds.
MAX_WAIT_S = 3.0
# Size of the blocks that a body is kept in until it is complete, in bytes. One buffer that grows
# would be moved many times, and leave gaps in the heap.
BLOCK_BYTES = 65_536
# Time that a body may take, in seconds, and the rate at which it gets more, in bytes per second,
# where memory is limited: slow uploads keep others out.
BODY_TIME_S = 10.0
MIN_BODY_BYTES_PER_S = 16_384


class CallerLeft(msgspec.Struct, frozen=True):
    """The caller disconnected before the end of the body."""


class TooLarge(msgspec.Struct, frozen=True):
    """The body is larger than allowed."""


class TooSlow(msgspec.Struct, frozen=True):
    """The body took too long."""


class NoRoom(msgspec.Struct, frozen=True):
    """There was no room for the rest of the body in time."""


BodyProblem = CallerLeft | TooLarge | TooSlow | NoRoom


class BodyIntake:
    """Decides which bodies are read, and reads them.

    :param account: the account of this process.
    :param on_refused: called with the declared length of each body that is refused for lack of
        memory, in bytes; 0 if the length is unknown.
    """

    def __init__(
        self,
        account: MemoryAccount | None = None,
        on_refused: Callable[[int], None] = lambda _: None,
    ) -> None:
        self.account = account or MemoryAccount()
        self._on_refused = on_refused
        self._growth = GrowthQueue(self.account, BODY_LEVELS)

    def admit(self, length: int | None, copies: int, urgency: float) -> Charge | None:
        """Reserve memory for a body by the head of its request.

        :param length: declared length in bytes; None if it is unknown.
        :param copies: how many copies of the body exist while the request is answered.
        :param urgency: position of the request's rank among all ranks, from 0 for the least urgent
            to 1.
        :return: the charge, which the caller of this method releases; None to refuse the request.
        """
        size = UNREAD_BYTES if length is None else length * copies
        if not self.account.admits(size, urgency):
            self._on_refused(length or 0)
            return None
        charge = self.account.open(Purpose.BODIES_READ)
        charge.resize(size)
        return charge

    async def read(
        self, receive: Receive, charge: Charge, length: int | None, max_bytes: int, copies: int
    ) -> bytes | BodyProblem:
        """Read a body of an admitted request.

        :param receive: the receive channel of the request.
        :param charge: of :meth:`admit`; it holds the size of the body afterwards.
        :param length: as for :meth:`admit`.
        :param max_bytes: largest size of the body, in bytes.
        :param copies: as for :meth:`admit`.
        :return: the body, or why there is none.
        """
        reading = _Reading(self._growth, receive, charge, copies, is_declared=length is not None)
        limited = self.account.is_limited
        started = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(None) as reading.time_limit:
                if limited:
                    reading.set_deadline(started)
                problem = await reading.read_to_end(max_bytes)
        except TimeoutError:
            if not reading.time_limit.expired():
                raise
            return TooSlow()
        finally:
            self._growth.leave(charge)
        if problem is not None:
            if isinstance(problem, NoRoom):
                self._on_refused(0)
            return problem
        charge.resize(reading.size * copies)
        charge.move(Purpose.BODIES_KEPT)
        return reading.take_body()


class _Reading:
    """One body that is being read."""

    def __init__(
        self,
        growth: GrowthQueue,
        receive: Receive,
        charge: Charge,
        copies: int,
        *,
        is_declared: bool,
    ) -> None:
        self._growth = growth
        self._receive = receive
        self._charge = charge
        self._copies = copies
        self._is_declared = is_declared
        self._allowed_until: float | None = None
        self.time_limit = asyncio.timeout(None)
        self.size = 0
        self._waited_s = 0.0
        self._blocks: list[bytes] = []
        self._last_block = bytearray()

    def set_deadline(self, started: float) -> None:
        """Limit the time of the body.

        :param started: on the loop's clock, in seconds.
        """
        self._allowed_until = started + BODY_TIME_S
        self.time_limit.reschedule(self._allowed_until)

    async def read_to_end(self, max_bytes: int) -> BodyProblem | None:
        """Read up to the end; return what prevents it."""
        while (message := await self._receive())["type"] == "http.request":
            part = message.get("body", b"")
            size = self.size + len(part)
            if size > max_bytes:
                return TooLarge()
            if not self._is_declared and not await self._grow(size):
                return NoRoom()
            self._keep(part)
            self._allow(len(part) / MIN_BODY_BYTES_PER_S)
            if not message.get("more_body"):
                return None
        return CallerLeft()

    def take_body(self) -> bytes:
        """Return the whole body, and keep nothing of it."""
        blocks, self._blocks = self._blocks, []
        last, self._last_block = self._last_block, bytearray()
        return b"".join([*blocks, last])

    def _keep(self, part: bytes) -> None:
        self.size += len(part)
        self._last_block += part
        if len(self._last_block) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._last_block))
            self._last_block = bytearray()

    async def _grow(self, size: int) -> bool:
        """Wait until there is room for a size; return False if that takes too long."""
        needed = size * self._copies + UNREAD_BYTES
        while not self._growth.grow(self._charge, needed):
            if self._waited_s >= MAX_WAIT_S:
                return False
            self._allow(CHECK_INTERVAL_S)
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._waited_s += CHECK_INTERVAL_S
        return True

    def _allow(self, seconds: float) -> None:
        if self._allowed_until is not None:
            self._allowed_until += seconds
            self.time_limit.reschedule(self._allowed_until)
