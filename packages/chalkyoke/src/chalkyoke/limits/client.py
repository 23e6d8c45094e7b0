"""
chalkyoke.limits.client

Ask for a permit to send a request to a replica that names a limit: the keeper, the next in line
where that one is silent, and this node's own small part where nobody answers.
"""

import asyncio
import itertools
from collections.abc import Callable
from typing import Protocol

import msgspec

from chalkyoke.limits.allowance import Allowance
from chalkyoke.limits.keeper import LimitKeeper
from chalkyoke.limits.known import KnownLimits
from chalkyoke.limits.messages import PermitAnswer, PermitMessage, PermitRequest, PermitReturned
from chalkyoke.logs import logger

# How long a keeper's answer is waited for, in seconds: ten round trips between failure domains.
ANSWER_S = 0.03
# How long a silent keeper is passed over, in seconds; one request finds out for all.
AVOID_S = 0.4
# The keeper, the next in another failure domain and the next in this node's own.
KEEPERS_ASKED = 3
# The part of a limit that all nodes together use that reach no keeper.
ALONE_SHARE = 0.1
# The process that stands in permits that this node has given itself.
ALONE = ""

log = logger("limits")


class Permit(msgspec.Struct, frozen=True):
    """Permission to send one request.

    :param limit_per_s: the limit under which it was given; nothing where there was none.
    :param keeper: the process that gave it.
    :param wait_s: how long to wait before the request is sent.
    """

    service: str
    replica: str
    limit_per_s: float | None = None
    keeper: str = ALONE
    wait_s: float = 0.0


class PermitDenied(msgspec.Struct, frozen=True):
    """No permit within the time for which the request would wait.

    :param opens_in_s: when to ask again.
    """

    opens_in_s: float


class KeeperPort(Protocol):
    """Who counts for a service, and the way there."""

    def keepers(self, service: str) -> list[str]:
        """List the processes that may count for a service, the present keeper first."""

    def is_here(self, process: str) -> bool:
        """Tell whether a process is this one."""

    def send(self, process: str, message: PermitMessage) -> None:
        """Send a message to a process."""

    def nodes(self) -> int:
        """Count the nodes that there may be in the fleet."""


class PermitClient:
    """Get permits for this node's requests, and answer other nodes where this process counts.

    :param report: takes what another node knows of a replica: its start, the limit and when it
        was said, on this node's clock.
    :param random: source of numbers in [0, 1): nodes that reach no keeper begin at different times.
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        known: KnownLimits,
        keeper: LimitKeeper,
        port: KeeperPort,
        report: Callable[[str, float | None, float], None],
        random: Callable[[], float],
        now: Callable[[], float],
    ) -> None:
        self._known = known
        self._keeper = keeper
        self._port = port
        self._report = report
        self._random = random
        self._now = now
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[PermitAnswer]] = {}
        self._avoid: dict[str, float] = {}
        self._alone: dict[str, Allowance] = {}

    # For this node's requests.

    def is_limited(self, replica: str) -> bool:
        """Tell whether a replica names a limit."""
        return self._known.limit_of(replica) is not None

    def holds(self, permit: Permit) -> bool:
        """Tell whether a permit still serves: the replica may have named a lower limit since."""
        now_is = self._known.limit_of(permit.replica)
        return now_is is None or (permit.limit_per_s is not None and now_is >= permit.limit_per_s)

    async def ask(self, service: str, replica: str, most_wait_s: float) -> Permit | PermitDenied:
        """Ask for a permit to send one request.

        :param most_wait_s: how long the request would wait.
        """
        limit_per_s = self._known.limit_of(replica)
        if limit_per_s is None:
            return Permit(service, replica)
        for process in self._port.keepers(service)[:KEEPERS_ASKED]:
            if self._avoid.get(process, 0.0) > self._now():
                continue
            answer = await self._ask_one(process, service, replica, limit_per_s, most_wait_s)
            if answer is not None:
                return _decided(answer, Permit(service, replica, limit_per_s, process))
            self._avoid[process] = self._now() + AVOID_S
            log.info("keeper_silent", service=service, keeper=process, avoided_s=AVOID_S)
        return self._ask_alone(service, replica, limit_per_s, most_wait_s)

    def give_back(self, permit: Permit) -> None:
        """Give a permit back that was not used."""
        if permit.limit_per_s is None:
            return
        if permit.keeper == ALONE:
            if (alone := self._alone.get(permit.replica)) is not None:
                alone.give_back()
            return
        returned = PermitReturned(permit.service, permit.replica)
        if self._port.is_here(permit.keeper):
            self._take_back(returned)
        else:
            self._port.send(permit.keeper, returned)

    async def _ask_one(
        self, process: str, service: str, replica: str, limit_per_s: float, most_wait_s: float
    ) -> PermitAnswer | None:
        age_s = max(0.0, self._now() - self._known.reported_at(replica))
        number = next(self._numbers)
        request = PermitRequest(number, service, replica, limit_per_s, age_s, most_wait_s)
        if self._port.is_here(process):
            return self._answer(request)
        waiting: asyncio.Future[PermitAnswer] = asyncio.get_running_loop().create_future()
        self._waiting[number] = waiting
        try:
            self._port.send(process, request)
            async with asyncio.timeout(ANSWER_S):
                return await waiting
        except TimeoutError:
            return None
        finally:
            del self._waiting[number]

    def _ask_alone(
        self, service: str, replica: str, limit_per_s: float, most_wait_s: float
    ) -> Permit | PermitDenied:
        """Use this node's own part; the parts of all nodes stay far below what may be too much."""
        now = self._now()
        share = ALONE_SHARE / max(1, self._port.nodes())
        alone = self._alone.get(replica)
        if alone is None:
            alone = self._alone[replica] = Allowance(limit_per_s, share, now)
            alone.set_level(self._random())
        alone.reconfigure(limit_per_s, share, now)
        wait_s = alone.reserve(most_wait_s, now)
        if wait_s is None:
            return PermitDenied(min(AVOID_S, alone.opens_in_s(now)))
        return Permit(service, replica, limit_per_s, ALONE, wait_s)

    # For other nodes.

    def receive(self, process: str, message: PermitMessage) -> None:
        """Take a message of another process."""
        if isinstance(message, PermitRequest):
            self._port.send(process, self._answer(message))
        elif isinstance(message, PermitReturned):
            self._take_back(message)
        else:
            self._take_answer(process, message)

    def _take_answer(self, process: str, answer: PermitAnswer) -> None:
        self._avoid.pop(process, None)
        waiting = self._waiting.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)
        elif answer.granted:
            # Nobody waits for it any more.
            self._port.send(process, PermitReturned(answer.service, answer.replica))

    def _answer(self, request: PermitRequest) -> PermitAnswer:
        """Answer by what is known here, or by what the asking node has learnt since."""
        now = self._now()
        self._report(request.replica, request.limit_per_s, now - request.age_s)
        allowance = self._keeper.allowance(request.service, request.replica, now)
        if allowance is None:
            return _answer_to(request, given=True, wait_s=0.0)
        wait_s = allowance.reserve(request.most_wait_s, now)
        if wait_s is None:
            return _answer_to(request, given=False, wait_s=allowance.opens_in_s(now))
        return _answer_to(request, given=True, wait_s=wait_s)

    def _take_back(self, message: PermitReturned) -> None:
        allowance = self._keeper.allowance(message.service, message.replica, self._now())
        if allowance is not None:
            allowance.give_back()

    # Housekeeping.

    def drop_expired(self) -> None:
        """Drop what is over."""
        now = self._now()
        self._keeper.refresh(now)
        self._avoid = {name: until for name, until in self._avoid.items() if until > now}
        for replica in [each for each in self._alone if self._known.limit_of(each) is None]:
            del self._alone[replica]


def _answer_to(request: PermitRequest, *, given: bool, wait_s: float) -> PermitAnswer:
    return PermitAnswer(request.number, request.service, request.replica, given, wait_s)


def _decided(answer: PermitAnswer, permit: Permit) -> Permit | PermitDenied:
    if not answer.granted:
        return PermitDenied(answer.wait_s)
    return msgspec.structs.replace(permit, wait_s=answer.wait_s)
