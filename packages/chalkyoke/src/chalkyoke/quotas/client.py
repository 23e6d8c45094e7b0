"""
chalkyoke.quotas.client

Ask for quota: from this node's lease, from the team's home, and from this node's own share when
the home is silent.
"""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from chalkyoke.catalog.resources import Team
from chalkyoke.quotas.home import Presence, QuotaHome
from chalkyoke.quotas.messages import (
    QuotaGrant,
    QuotaMessage,
    QuotaRequest,
    QuotaSpent,
    QuotaSurvey,
)
from chalkyoke.quotas.wallet import QuotaWallet

ANSWER_S = 0.03
AVOID_S = 0.3
NEWCOMER_S = 0.5
ALONE_RETRY_S = 0.3


@dataclass(frozen=True, slots=True)
class Passed:
    """Whether a request is within its team's quota.

    :param retry_after_s: when to come back, where it is not.
    :param decided_by: ``lease``, ``home``, ``alone`` or ``no quota``.
    """

    passed: bool
    retry_after_s: float = 0.0
    decided_by: str = "no quota"


class Charged(Protocol):
    """What is charged to a team: a request with its cost."""

    @property
    def team(self) -> Team | None:
        """The team, if the request has one."""

    @property
    def cost(self) -> float:
        """What the request counts."""

    @property
    def urgency(self) -> int:
        """How urgent the request is among those of its team; 0 is the most."""

    @property
    def version(self) -> int:
        """The version of the catalog that judged it."""


class HomePort(Protocol):
    """Who is a team's home, and the way there."""

    def home(self, team: str) -> str | None:
        """Give the link address of a team's home; nothing where it is this node."""

    def presence(self) -> Presence:
        """Tell how much of the fleet this node sees."""

    def host(self) -> str:
        """Give this node's host id."""

    def others(self) -> list[str]:
        """List the link addresses of the other live nodes."""

    def send(self, address: str, message: QuotaMessage) -> None:
        """Send a message to a node."""


class QuotaClient:
    """Take cost for requests.

    :param now: the node's clock, in seconds.
    :param teams: finds a team by its name.
    :param first_start: whether the whole fleet starts for the first time.
    """

    def __init__(
        self,
        wallet: QuotaWallet,
        home: QuotaHome,
        port: HomePort,
        teams: Callable[[str], Team | None],
        now: Callable[[], float],
        *,
        first_start: bool,
    ) -> None:
        self._first_start = first_start
        self._wallet = wallet
        self._home = home
        self._port = port
        self._teams = teams
        self._now = now
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[QuotaGrant]] = {}
        self._avoid: dict[str, float] = {}

    async def take(self, charged: Charged) -> Passed:
        """Take the cost of a request from its team's quota.

        :rtype: Passed
        """
        team = charged.team
        if team is None or team.rate_per_s <= 0:
            return Passed(True)
        if self._wallet.spend(team, charged.cost, charged.version, self._now()):
            return Passed(True, decided_by="lease")
        if self._is_newcomer():
            return self._alone(team, charged)
        grant = await self._ask(team, charged)
        if grant is None:
            return self._alone(team, charged)
        passed = self._wallet.take(grant, charged.cost, self._now())
        return Passed(passed, grant.retry_after_s, "home")

    def _alone(self, team: Team, charged: Charged) -> Passed:
        passed = self._wallet.spend_alone(team, charged.cost, self._now())
        return Passed(passed, ALONE_RETRY_S, "alone")

    def _is_newcomer(self) -> bool:
        """Tell whether this node may not know yet who is the home."""
        return not self._first_start and self._now() < NEWCOMER_S

    async def _ask(self, team: Team, charged: Charged) -> QuotaGrant | None:
        """Ask the home; nothing where it is silent."""
        number = next(self._numbers)
        message = QuotaRequest(
            team.name,
            number,
            charged.cost,
            self._wallet.ahead(team),
            charged.version,
            charged.urgency,
            *self._wallet.give_back(team.name),
        )
        address = self._port.home(team.name)
        if address is None:
            return self._answer(team, message)
        if self._avoid.get(address, 0.0) > self._now():
            return None
        future: asyncio.Future[QuotaGrant] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        self._port.send(address, message)
        try:
            async with asyncio.timeout(ANSWER_S):
                return await future
        except TimeoutError:
            self._avoid[address] = self._now() + AVOID_S
            return None
        finally:
            del self._waiting[number]

    def receive(self, sender: str, message: QuotaMessage) -> None:
        """Take a question or an answer of another node.

        :param sender: its link address.
        """
        if isinstance(message, QuotaGrant):
            future = self._waiting.get(message.number)
            if future is not None and not future.done():
                future.set_result(message)
            return
        if isinstance(message, QuotaSurvey):
            self._port.send(sender, self._spent(message.team))
            return
        team = self._teams(message.team)
        if team is None or team.rate_per_s <= 0:
            return
        if isinstance(message, QuotaSpent):
            self._home.take_spent(team, message, self._port.presence(), self._now())
            return
        self._port.send(sender, self._answer(team, message))

    def _answer(self, team: Team, message: QuotaRequest) -> QuotaGrant:
        """Answer as the home; a new one asks all others what was spent before."""
        survey = self._home.must_survey(team.name)
        grant = self._home.ask(team, message, self._port.presence(), self._now())
        if survey:
            mine = self._spent(team.name)
            self._home.take_spent(team, mine, self._port.presence(), self._now())
            for address in self._port.others():
                self._port.send(address, QuotaSurvey(team.name))
        return grant

    def _spent(self, team: str) -> QuotaSpent:
        now = self._now()
        return QuotaSpent(team, self._port.host(), self._wallet.spent(team, now), now)

    def keep_house(self) -> None:
        """Drop the buckets of teams whose home is elsewhere; call about once a second."""
        self._home.forget_others(lambda team: self._port.home(team) is None)
