"""
chalkyoke.quotas.client

Ask for quota: from this node's lease, from the team's owner, and from this node's own share when
the owner is silent.
"""

import asyncio
import itertools
import math
from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from chalkyoke.catalog.resources import Team
from chalkyoke.logs import logger
from chalkyoke.quotas.leases import HeldLeases
from chalkyoke.quotas.messages import (
    QuotaGrant,
    QuotaMessage,
    QuotaRequest,
    QuotaReturned,
    QuotaSpent,
    QuotaSurvey,
    QuotaWindows,
)
from chalkyoke.quotas.owner import Presence, QuotaOwner

log = logger("quotas")

# How long an owner's answer is waited for before a node spends its own share, in seconds: ten
# round trips between failure domains.
ANSWER_S = 0.03
# How long it is waited for where the own share is too small: a refusal costs the caller more.
LAST_ANSWER_S = 0.12
# How long an owner that did not answer is not waited for again, in seconds.
AVOID_S = 0.3
# How long a node that has just started does not know yet who owns what, in seconds: two heartbeats.
NEW_MEMBER_S = 0.5
# How often it looks whether it knows meanwhile, in seconds.
NEW_MEMBER_POLL_S = 0.02
# From when on a node owns teams before it is asked, in seconds since its start.
OPEN_AHEAD_S = 1.0
# When a caller comes back that a node alone refused, in seconds: owners are found again by then.
ALONE_RETRY_S = 0.3
# A copy of a window is behind by so much, in seconds: a tenth of what a cut goes unnoticed.
WINDOW_REPLICATION_INTERVAL_S = 0.25


class QuotaDecision(msgspec.Struct, frozen=True):
    """Whether a request is within its team's quota.

    :param retry_after_s: when to come back, where it is not.
    :param decided_by: ``lease``, ``owner``, ``alone`` or ``no quota``.
    :param spent: what the owner that refused it counts in the window.
    :param most: what that owner leases in a window at most.
    :param lease_window: the window that the cost was leased of; 0 where it was of none.
    """

    allowed: bool
    retry_after_s: float = 0.0
    decided_by: str = "no quota"
    spent: float = 0.0
    window_limit: float = 0.0
    lease_window: int = 0


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


class OwnerPort(Protocol):
    """Who is a team's owner, and the way there."""

    def owner(self, team: str) -> str | None:
        """Give the link address of a team's owner; nothing where it is this node."""

    def knows_owners(self) -> bool:
        """Tell whether this node knows the fleet well enough to find owners."""

    def presence(self) -> Presence:
        """Tell how much of the fleet this node sees."""

    def host(self) -> str:
        """Give this node's host id."""

    def others(self) -> list[str]:
        """List the link addresses of the other live nodes."""

    def successors(self, team: str) -> list[str]:
        """List the link addresses of the nodes that may own a team's quota after this one."""

    def send(self, address: str, message: QuotaMessage) -> None:
        """Send a message to a node."""


class QuotaClient:
    """Take cost for requests.

    :param now: the node's clock, in seconds.
    :param teams: gives all teams by their names.
    :param first_start: whether the whole fleet starts for the first time.
    """

    def __init__(
        self,
        leases: HeldLeases,
        owner: QuotaOwner,
        port: OwnerPort,
        teams: Callable[[], Mapping[str, Team]],
        now: Callable[[], float],
        *,
        first_start: bool,
    ) -> None:
        self._first_start = first_start
        self._leases = leases
        self._owner = owner
        self._port = port
        self._teams = teams
        self._now = now
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[QuotaGrant]] = {}
        self._avoid: dict[str, float] = {}

    async def charge(self, charged: Charged) -> QuotaDecision:
        """Take the cost of a request from its team's quota.

        :rtype: QuotaDecision
        """
        team = charged.team
        if team is None or team.rate_per_s <= 0:
            return QuotaDecision(True)
        if self._leases.spend(team, charged.cost, charged.version, self._now()):
            lease_window = self._leases.lease_window(team.name)
            return QuotaDecision(True, decided_by="lease", lease_window=lease_window)
        if self._is_new_member():
            if self._leases.spend_own_share(team, charged.cost, self._now()):
                return QuotaDecision(True, decided_by="alone")
            await self._until_owners_are_known()
        return await self._ask_owner(team, charged)

    async def _ask_owner(self, team: Team, charged: Charged) -> QuotaDecision:
        """Ask the owner; while it is silent, spend this node's own share, and wait on where that
        is too small: a refusal costs the caller more than a moment.
        """
        message = self._question(team, charged)
        address = self._port.owner(team.name)
        if address is None:
            return self._granted(charged, self._answer(team, message))
        silent = self._avoid.get(address, 0.0) > self._now()
        if silent and self._leases.spend_own_share(team, charged.cost, self._now()):
            self._leases.note_alone(team.name, message.alone)
            return QuotaDecision(True, decided_by="alone")
        answer: asyncio.Future[QuotaGrant] = asyncio.get_running_loop().create_future()
        self._waiting[message.number] = answer
        try:
            self._port.send(address, message)
            await asyncio.wait([answer], timeout=LAST_ANSWER_S if silent else ANSWER_S)
            if not answer.done():
                self._avoid[address] = self._now() + AVOID_S
            if not answer.done() and not silent:
                if self._leases.spend_own_share(team, charged.cost, self._now()):
                    self._leases.note_alone(team.name, message.alone)
                    return QuotaDecision(True, decided_by="alone")
                await asyncio.wait([answer], timeout=LAST_ANSWER_S)
        finally:
            del self._waiting[message.number]
        if answer.done():
            self._avoid.pop(address, None)
            return self._granted(charged, answer.result())
        self._leases.note_alone(team.name, message.alone)
        return QuotaDecision(False, ALONE_RETRY_S, "alone")

    def _granted(self, charged: Charged, grant: QuotaGrant) -> QuotaDecision:
        passed = self._leases.accept_grant(grant, charged.cost, self._now())
        retry_s, lease_window = grant.retry_after_s, grant.lease_window
        return QuotaDecision(passed, retry_s, "owner", grant.spent, grant.most, lease_window)

    def refund(self, charged: Charged, passed: QuotaDecision) -> bool:
        """Give the cost of a request back that has not run and never will.

        Call once for a charge. What was spent alone is not given back.

        :return: whether it could be given back.
        """
        if charged.team is None or not passed.lease_window:
            return False
        return self._leases.refund(
            charged.team.name, charged.cost, passed.lease_window, self._now()
        )

    def _is_new_member(self) -> bool:
        """Tell whether this node may not know yet who is the owner."""
        is_new = not self._first_start and self._now() < NEW_MEMBER_S
        return is_new and not self._port.knows_owners()

    async def _until_owners_are_known(self) -> None:
        """Wait where this node's own share is below one prompt, as it is among 80 nodes.

        A wait of one or two heartbeats is in time for most goals; a refusal brings the caller back
        after as long, and costs it its first try.
        """
        for _ in range(math.ceil(NEW_MEMBER_S / NEW_MEMBER_POLL_S)):
            if not self._is_new_member():
                return
            await asyncio.sleep(NEW_MEMBER_POLL_S)

    def _question(self, team: Team, charged: Charged) -> QuotaRequest:
        return QuotaRequest(
            team.name,
            next(self._numbers),
            charged.cost,
            self._leases.cost_ahead(team),
            charged.version,
            charged.urgency,
            *self._leases.take_remainder(team.name),
            self._leases.pop_unreported(team.name),
        )

    def receive(self, sender: str, message: QuotaMessage) -> None:
        """Take a question or an answer of another node.

        :param sender: its link address.
        """
        if isinstance(message, QuotaGrant):
            future = self._waiting.get(message.number)
            if future is None:
                # The request went its way without it; the next one may spend the lease.
                self._leases.add_grant(message, self._now())
            elif not future.done():
                future.set_result(message)
            return
        if isinstance(message, QuotaSurvey):
            self._port.send(sender, self._spent(message.team))
            return
        if isinstance(message, QuotaReturned):
            before = self._owner.spent(message.team, self._now())
            self._owner.apply_returned(message, self._now())
            self._note_window(message.team, "returned", before, told_by=sender)
            return
        if isinstance(message, QuotaWindows):
            self._owner.apply_window_updates(message, self._now())
            return
        team = self._teams().get(message.team)
        if team is None or team.rate_per_s <= 0:
            return
        if isinstance(message, QuotaSpent):
            before = self._owner.spent(message.team, self._now())
            self._owner.apply_spending_report(team, message, self._port.presence(), self._now())
            if message.window:
                how = "copied" if message.copied else "handed over"
                self._note_window(message.team, how, before, told_by=sender)
            return
        self._port.send(sender, self._answer(team, message))

    def _answer(self, team: Team, message: QuotaRequest) -> QuotaGrant:
        """Answer as the owner."""
        self._open(team)
        return self._owner.answer_request(team, message, self._port.presence(), self._now())

    def _open(self, team: Team) -> None:
        """Be a team's owner; a new one asks all others what was spent before."""
        if not self._owner.is_new(team.name):
            return
        mine = self._spent(team.name)
        self._owner.start_owning(team, self._port.presence(), self._now())
        self._owner.apply_spending_report(team, mine, self._port.presence(), self._now())
        self._note_window(team.name, "opened", -1.0)
        for address in self._port.others():
            self._port.send(address, QuotaSurvey(team.name))

    def _note_window(self, team: str, how: str, before: float, told_by: str = "") -> None:
        """Log that this node believes something else of what a team has spent."""
        spent = self._owner.spent(team, self._now())
        if spent != before:
            log.info(
                "quota_window",
                team=team,
                how=how,
                told_by=told_by,
                before=round(before),
                spent=round(spent),
                share=round(self._port.presence().share, 3),
            )

    def _spent(self, team: str) -> QuotaSpent:
        now = self._now()
        handed = self._owner.hand_off(team, now)
        spent = self._leases.spent(team, now)
        return QuotaSpent(
            team,
            self._port.host(),
            spent,
            now,
            handed.window,
            handed.own,
            handed.copied,
            handed.share,
        )

    def replicate_windows(self) -> None:
        """Tell what this node has leased to those that would succeed it.

        Call every :data:`WINDOW_REPLICATION_INTERVAL_S`.
        """
        for telling in self._owner.window_updates(self._port.successors, self._now()):
            self._port.send(telling.address, telling.message)

    def refresh_ownership(self) -> None:
        """Give up the teams whose owner is elsewhere, and begin to be the owner of others.

        Call after each change of the membership and about once a second: then an owner knows
        what was spent before it is asked.
        """
        mine = self._port.owner
        for returned in self._owner.release_unowned(lambda team: mine(team) is None, self._now()):
            address = mine(returned.team)
            if address is not None:
                self._port.send(address, returned)
        if self._now() < OPEN_AHEAD_S:
            # Nobody is known yet, and this node would believe itself the owner of all.
            return
        for team in self._teams().values():
            if team.rate_per_s > 0 and self._port.owner(team.name) is None:
                self._open(team)
