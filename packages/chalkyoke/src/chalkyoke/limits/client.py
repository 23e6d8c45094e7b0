"""
chalkyoke.limits.client

Permits to send a request to a replica with a rate limit. A permit comes from the keeper, from the
next keeper in line if the first is silent, or from this node's own small share if none answers.
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

# Timeout for a keeper's answer, in seconds: ten round trips between failure domains.
ANSWER_TIMEOUT_S = 0.03
# Time for which all requests skip a keeper that did not answer one of them, in seconds.
KEEPER_BACKOFF_S = 0.4
# Number of keepers that a request is sent to, one after the other: the keeper, the next in another
# failure domain and the next in this node's own.
KEEPERS_ASKED = 3
# Fraction of a limit that all nodes without a reachable keeper use together.
OWN_SHARE = 0.1
# Keeper in permits from this node's own share.
NO_KEEPER = ""

log = logger("limits")


class Permit(msgspec.Struct, frozen=True):
    """Permission to send one request.

    :param limit_per_s: the limit under which the permit was granted, in requests per second; None
        if there was none.
    :param keeper: the process that granted the permit.
    :param wait_s: delay before the request may be sent, in seconds.
    """

    service: str
    replica: str
    limit_per_s: float | None = None
    keeper: str = NO_KEEPER
    wait_s: float = 0.0


class PermitDenied(msgspec.Struct, frozen=True):
    """No permit is available within the time for which the request would wait.

    :param opens_in_s: time until a permit is available, in seconds.
    """

    opens_in_s: float


class KeeperPort(Protocol):
    """The lookup of a service's keepers and the links to them."""

    def keepers(self, service: str) -> list[str]:
        """List the processes that may be the keeper of a service, the present keeper first."""

    def is_here(self, process: str) -> bool:
        """Return whether a process is this one."""

    def send(self, process: str, message: PermitMessage) -> None:
        """Send a message to a process."""

    def nodes(self) -> int:
        """Return the number of nodes that may exist in the fleet."""


class PermitClient:
    """Get permits for this node's requests, and grant permits to other nodes as a keeper.

    :param report: receives a limit that another node knows: the start of the replica, the limit
        and the time of the replica's answer, on this node's clock.
    :param random: source of numbers in [0, 1), so that nodes without a keeper send their first
        requests at different times.
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
        self._pending: dict[int, asyncio.Future[PermitAnswer]] = {}
        self._backoff_until: dict[str, float] = {}
        self._own_allowances: dict[str, Allowance] = {}

    # For this node's requests.

    def is_limited(self, replica: str) -> bool:
        """Return whether a replica has a limit."""
        return self._known.limit_of(replica) is not None

    def is_valid(self, permit: Permit) -> bool:
        """Return whether a permit is still valid; a lower limit of the replica invalidates it."""
        limit = self._known.limit_of(permit.replica)
        return limit is None or (permit.limit_per_s is not None and limit >= permit.limit_per_s)

    async def request_permit(
        self, service: str, replica: str, most_wait_s: float
    ) -> Permit | PermitDenied:
        """Get a permit to send one request.

        :param most_wait_s: longest time that the request would wait, in seconds.
        """
        limit_per_s = self._known.limit_of(replica)
        if limit_per_s is None:
            return Permit(service, replica)
        for process in self._port.keepers(service)[:KEEPERS_ASKED]:
            if self._backoff_until.get(process, 0.0) > self._now():
                continue
            answer = await self._request_permit(process, service, replica, limit_per_s, most_wait_s)
            if answer is not None:
                return _to_result(answer, Permit(service, replica, limit_per_s, process))
            self._backoff_until[process] = self._now() + KEEPER_BACKOFF_S
            log.info("keeper_silent", service=service, keeper=process, avoided_s=KEEPER_BACKOFF_S)
        return self._use_own_share(service, replica, limit_per_s, most_wait_s)

    def return_permit(self, permit: Permit) -> None:
        """Return an unused permit to its keeper."""
        if permit.limit_per_s is None:
            return
        if permit.keeper == NO_KEEPER:
            if (allowance := self._own_allowances.get(permit.replica)) is not None:
                allowance.refund()
            return
        returned = PermitReturned(permit.service, permit.replica)
        if self._port.is_here(permit.keeper):
            self._apply_returned(returned)
        else:
            self._port.send(permit.keeper, returned)

    async def _request_permit(
        self, process: str, service: str, replica: str, limit_per_s: float, most_wait_s: float
    ) -> PermitAnswer | None:
        age_s = max(0.0, self._now() - self._known.reported_at(replica))
        number = next(self._numbers)
        request = PermitRequest(number, service, replica, limit_per_s, age_s, most_wait_s)
        if self._port.is_here(process):
            return self._answer(request)
        waiting: asyncio.Future[PermitAnswer] = asyncio.get_running_loop().create_future()
        self._pending[number] = waiting
        try:
            self._port.send(process, request)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await waiting
        except TimeoutError:
            return None
        finally:
            del self._pending[number]

    def _use_own_share(
        self, service: str, replica: str, limit_per_s: float, most_wait_s: float
    ) -> Permit | PermitDenied:
        """Grant a permit from this node's own share; all shares stay far below the limit."""
        now = self._now()
        share = OWN_SHARE / max(1, self._port.nodes())
        allowance = self._own_allowances.get(replica)
        if allowance is None:
            allowance = self._own_allowances[replica] = Allowance(limit_per_s, share, now)
            allowance.set_level(self._random())
        allowance.reconfigure(limit_per_s, share, now)
        wait_s = allowance.reserve(most_wait_s, now)
        if wait_s is None:
            return PermitDenied(min(KEEPER_BACKOFF_S, allowance.opens_in_s(now)))
        return Permit(service, replica, limit_per_s, NO_KEEPER, wait_s)

    # For other nodes.

    def receive(self, process: str, message: PermitMessage) -> None:
        """Handle a permit message of another process."""
        if isinstance(message, PermitRequest):
            self._port.send(process, self._answer(message))
        elif isinstance(message, PermitReturned):
            self._apply_returned(message)
        else:
            self._apply_answer(process, message)

    def _apply_answer(self, process: str, answer: PermitAnswer) -> None:
        self._backoff_until.pop(process, None)
        waiting = self._pending.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)
        elif answer.given:
            # The request has stopped waiting, so its permit goes back to the keeper.
            self._port.send(process, PermitReturned(answer.service, answer.replica))

    def _answer(self, request: PermitRequest) -> PermitAnswer:
        """Answer a request for a permit by the newer of this node's and the sender's limit."""
        now = self._now()
        self._report(request.replica, request.limit_per_s, now - request.age_s)
        allowance = self._keeper.allowance(request.service, request.replica, now)
        if allowance is None:
            return _build_answer(request, granted=True, wait_s=0.0)
        wait_s = allowance.reserve(request.most_wait_s, now)
        if wait_s is None:
            return _build_answer(request, granted=False, wait_s=allowance.opens_in_s(now))
        return _build_answer(request, granted=True, wait_s=wait_s)

    def _apply_returned(self, message: PermitReturned) -> None:
        allowance = self._keeper.allowance(message.service, message.replica, self._now())
        if allowance is not None:
            allowance.refund()

    # Housekeeping.

    def drop_expired(self) -> None:
        """Drop expired backoffs and own shares, and refresh the allowances."""
        now = self._now()
        self._keeper.refresh(now)
        self._backoff_until = {
            name: until for name, until in self._backoff_until.items() if until > now
        }
        for replica in [
            each for each in self._own_allowances if self._known.limit_of(each) is None
        ]:
            del self._own_allowances[replica]


def _build_answer(request: PermitRequest, *, granted: bool, wait_s: float) -> PermitAnswer:
    return PermitAnswer(request.number, request.service, request.replica, granted, wait_s)


def _to_result(answer: PermitAnswer, permit: Permit) -> Permit | PermitDenied:
    if not answer.given:
        return PermitDenied(answer.wait_s)
    return msgspec.structs.replace(permit, wait_s=answer.wait_s)
