"""
chalkyoke.quotas.client

Charge requests to team quotas: to this node's lease, to a new lease of the team's owner, or to this
node's own share while the owner doesn't answer.
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

# Timeout for the owner's answer before a node spends its own share, in seconds: ten round trips
# between failure domains.
ANSWER_TIMEOUT_S = 0.03
# Timeout for the owner's answer if the own share is too small, in seconds: a refusal delays the
# caller for longer.
LAST_ANSWER_TIMEOUT_S = 0.12
# Time for which a refused request waits for the store, in seconds: five of its usual response
# times, and less than the requesting node waits for the owner.
STORE_WAIT_S = 0.02
# Highest number of requests of other nodes that wait for the store at once.
MAX_WAITING = 200
# Time for which requests don't wait for an owner that did not answer, in seconds.
OWNER_BACKOFF_S = 0.3
# Time after its start in which a node may not know the quota owners yet, in seconds: two
# heartbeats.
NEW_NODE_S = 0.5
# Interval at which a new node checks whether it knows the owners, in seconds.
NEW_NODE_POLL_S = 0.02
# Time after its start from which a node opens the windows of its teams before the first request,
# in seconds.
OWNERSHIP_DELAY_S = 1.0
# Retry delay for a request that is refused without an owner's answer, in seconds: the owner is
# reachable again by then.
OWN_SHARE_RETRY_AFTER_S = 0.3
# Interval between updates to the copies of a window, in seconds: a tenth of the time until a
# partition is detected.
WINDOW_REPLICATION_INTERVAL_S = 0.25


class QuotaDecision(msgspec.Struct, frozen=True):
    """Whether a request is within its team's quota.

    :param retry_after_s: retry delay of a refused request, in seconds.
    :param decided_by: ``lease``, ``owner``, ``alone`` (this node's own share) or ``no quota``.
    :param spent: cost in the window of the owner that refused the request.
    :param window_limit: highest cost that this owner leases in a window.
    :param lease_window: number of the window that the cost was leased from; 0 without a lease.
    """

    allowed: bool
    retry_after_s: float = 0.0
    decided_by: str = "no quota"
    spent: float = 0.0
    window_limit: float = 0.0
    lease_window: int = 0


class ChargedRequest(Protocol):
    """A request whose cost is charged to a team."""

    @property
    def team(self) -> Team | None:
        """The team; None if the request has none."""

    @property
    def cost(self) -> float:
        """The cost of the request, in the units of the team's quota."""

    @property
    def rank_in_team(self) -> int:
        """The rank of the request among those of its team; 0 is the most urgent."""

    @property
    def version(self) -> int:
        """The version of the catalog by which the request was admitted."""


class OwnerPort(Protocol):
    """The lookup of quota owners and the links to them."""

    def owner(self, team: str) -> str | None:
        """Return the link address of a team's owner; None if this node is the owner."""

    def knows_owners(self) -> bool:
        """Return whether this node knows enough members to find the owners."""

    def presence(self) -> Presence:
        """Return the part of the fleet that this node sees."""

    def host(self) -> str:
        """Return this node's host id."""

    def others(self) -> list[str]:
        """List the link addresses of the other live nodes."""

    def successors(self, team: str) -> list[str]:
        """List the link addresses of the nodes that would own a team's quota after this node."""

    def send(self, address: str, message: QuotaMessage) -> None:
        """Send a message to a node."""


class StoreWaiter(Protocol):
    """The accesses to the store that may raise what this node's owner can lease."""

    def wake(self) -> None:
        """Start the calls that are due."""

    async def wait(self, timeout_s: float) -> bool:
        """Wait until the store has answered a call.

        :return: whether it has answered in time.
        """


class QuotaClient:
    """Charge requests to team quotas, and lease quota to other nodes for the teams owned here.

    :param now: the node's clock, in seconds.
    :param teams: returns all teams by name.
    :param first_start: whether the whole fleet starts for the first time.
    :param store: the accesses to the store; None if windows are not bounded by snapshots.
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
        store: StoreWaiter | None = None,
    ) -> None:
        self._store = store
        self._waiting: set[asyncio.Task[None]] = set()
        self._first_start = first_start
        self._leases = leases
        self._owner = owner
        self._port = port
        self._teams = teams
        self._now = now
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[QuotaGrant]] = {}
        self._backoff_until: dict[str, float] = {}

    async def charge(self, request: ChargedRequest) -> QuotaDecision:
        """Charge the cost of a request to its team's quota.

        :rtype: QuotaDecision
        """
        team = request.team
        if team is None or team.rate_per_s <= 0:
            return QuotaDecision(True)
        if self._leases.spend(team, request.cost, request.version, self._now()):
            lease_window = self._leases.lease_window(team.name)
            return QuotaDecision(True, decided_by="lease", lease_window=lease_window)
        if self._is_new_node():
            if self._leases.spend_own_share(team, request.cost, self._now()):
                return QuotaDecision(True, decided_by="alone")
            await self._wait_for_known_owners()
        return await self._ask_owner(team, request)

    async def _ask_owner(self, team: Team, request: ChargedRequest) -> QuotaDecision:
        """Request cost from the owner, and spend this node's own share while the owner is silent.

        If the own share is too small, the request waits up to :data:`LAST_ANSWER_TIMEOUT_S` for the
        owner, since a refusal delays the caller for longer.
        """
        message = self._build_request(team, request)
        address = self._port.owner(team.name)
        if address is None:
            grant = self._answer(team, message)
            grant = await self._answer_again(team, message, grant)
            return self._apply_grant(request, grant)
        silent = self._backoff_until.get(address, 0.0) > self._now()
        if silent and self._leases.spend_own_share(team, request.cost, self._now()):
            self._leases.add_unreported(team.name, message.alone)
            return QuotaDecision(True, decided_by="alone")
        answer: asyncio.Future[QuotaGrant] = asyncio.get_running_loop().create_future()
        self._pending[message.number] = answer
        try:
            self._port.send(address, message)
            await asyncio.wait(
                [answer], timeout=LAST_ANSWER_TIMEOUT_S if silent else ANSWER_TIMEOUT_S
            )
            if not answer.done():
                self._backoff_until[address] = self._now() + OWNER_BACKOFF_S
            if not answer.done() and not silent:
                if self._leases.spend_own_share(team, request.cost, self._now()):
                    self._leases.add_unreported(team.name, message.alone)
                    return QuotaDecision(True, decided_by="alone")
                await asyncio.wait([answer], timeout=LAST_ANSWER_TIMEOUT_S)
        finally:
            del self._pending[message.number]
        if answer.done():
            self._backoff_until.pop(address, None)
            return self._apply_grant(request, answer.result())
        self._leases.add_unreported(team.name, message.alone)
        return QuotaDecision(False, OWN_SHARE_RETRY_AFTER_S, "alone")

    def _apply_grant(self, request: ChargedRequest, grant: QuotaGrant) -> QuotaDecision:
        allowed = self._leases.accept_grant(grant, request.cost, self._now())
        retry_s, lease_window = grant.retry_after_s, grant.lease_of
        return QuotaDecision(allowed, retry_s, "owner", grant.spent, grant.most, lease_window)

    def refund(self, request: ChargedRequest, decision: QuotaDecision) -> bool:
        """Refund the cost of a request that has not run and never will.

        Call at most once for a charge. Cost from this node's own share is not refunded.

        :return: whether the cost was refunded.
        """
        if request.team is None or not decision.lease_window:
            return False
        return self._leases.refund(
            request.team.name, request.cost, decision.lease_window, self._now()
        )

    def _is_new_node(self) -> bool:
        """Return whether this node has just started and may not know the owners yet."""
        is_new = not self._first_start and self._now() < NEW_NODE_S
        return is_new and not self._port.knows_owners()

    async def _wait_for_known_owners(self) -> None:
        """Wait until this node knows the owners, for at most :data:`NEW_NODE_S`.

        Among 80 nodes a node's own share is below the cost of one prompt. A wait of one or two
        heartbeats meets most goals, while a refused caller returns after the same time and has used
        its first attempt.
        """
        for _ in range(math.ceil(NEW_NODE_S / NEW_NODE_POLL_S)):
            if not self._is_new_node():
                return
            await asyncio.sleep(NEW_NODE_POLL_S)

    def _build_request(self, team: Team, request: ChargedRequest) -> QuotaRequest:
        return QuotaRequest(
            team.name,
            next(self._numbers),
            request.cost,
            self._leases.cost_ahead(team),
            request.version,
            request.rank_in_team,
            *self._leases.take_remainder(team.name),
            self._leases.pop_unreported(team.name),
        )

    def receive(self, sender: str, message: QuotaMessage) -> None:
        """Handle a quota message of another node.

        :param sender: link address of that node.
        """
        if isinstance(message, QuotaGrant):
            future = self._pending.get(message.number)
            if future is None:
                # The request was decided without this answer; later requests may spend the lease.
                self._leases.add_grant(message, self._now())
            elif not future.done():
                future.set_result(message)
            return
        if isinstance(message, QuotaSurvey):
            self._port.send(sender, self._build_spending_report(message.team))
            return
        if isinstance(message, QuotaReturned):
            before = self._owner.spent(message.team, self._now())
            self._owner.apply_returned(message, self._now())
            self._log_window(message.team, "returned", before, reported_by=sender)
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
                self._log_window(message.team, how, before, reported_by=sender)
            return
        grant = self._answer(team, message)
        is_full = len(self._waiting) >= MAX_WAITING
        if is_full or not self._waits_for_store(team, message, grant):
            self._port.send(sender, grant)
            return
        task = asyncio.ensure_future(self._send_later(sender, team, message, grant))
        self._waiting.add(task)
        task.add_done_callback(self._waiting.discard)

    async def _send_later(
        self, sender: str, team: Team, message: QuotaRequest, refusal: QuotaGrant
    ) -> None:
        self._port.send(sender, await self._answer_again(team, message, refusal))

    def _waits_for_store(self, team: Team, message: QuotaRequest, grant: QuotaGrant) -> bool:
        """Return whether a refused request may be granted as soon as the store has answered."""
        if grant.amount > 0 or self._store is None:
            return False
        return self._owner.is_bounded_by_snapshot(team, message, self._now())

    async def _answer_again(
        self, team: Team, message: QuotaRequest, refusal: QuotaGrant
    ) -> QuotaGrant:
        """Answer a refused request after each of the store's next answers, until it is granted.

        Several answers may precede the one that makes room: those to the grant of a lease, to the
        read of the snapshots, and to a write that was sent before the request arrived.

        :param refusal: the answer if the store doesn't answer in time.
        """
        deadline, grant = self._now() + STORE_WAIT_S, refusal
        # The owner has counted the returned cost and the own spending with the refusal.
        again = msgspec.structs.replace(message, returned=0.0, alone=0.0)
        while self._store is not None and self._waits_for_store(team, message, grant):
            left_s = deadline - self._now()
            if left_s <= 0 or not await self._store.wait(left_s):
                break
            grant = self._answer(team, again)
        return grant

    def _answer(self, team: Team, message: QuotaRequest) -> QuotaGrant:
        """Answer a request for cost as the team's owner."""
        self._start_owning(team)
        return self._owner.answer_request(team, message, self._port.presence(), self._now())

    def _start_owning(self, team: Team) -> None:
        """Open the window of a team that this node owns and survey the spending at all nodes.

        Nothing happens if the window is open already.
        """
        if not self._owner.is_new_owner(team.name):
            return
        own_spending = self._build_spending_report(team.name)
        self._owner.start_owning(team, self._port.presence(), self._now())
        self._owner.apply_spending_report(team, own_spending, self._port.presence(), self._now())
        self._log_window(team.name, "opened", -1.0)
        if self._store is not None:
            self._store.wake()
        for address in self._port.others():
            self._port.send(address, QuotaSurvey(team.name))

    def _log_window(self, team: str, how: str, before: float, reported_by: str = "") -> None:
        """Log a change of the cost in a team's window.

        :param how: the cause of the change.
        :param before: cost in the window before the change.
        :param reported_by: link address of the node that reported the cost; empty for this node.
        """
        spent = self._owner.spent(team, self._now())
        if spent != before:
            log.info(
                "quota_window",
                team=team,
                how=how,
                told_by=reported_by,
                before=round(before),
                spent=round(spent),
                share=round(self._port.presence().share, 3),
            )

    def _build_spending_report(self, team: str) -> QuotaSpent:
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
            handed.assumed,
        )

    def replicate_windows(self) -> None:
        """Send updates of this node's windows to the nodes that would own the teams after it.

        Call every :data:`WINDOW_REPLICATION_INTERVAL_S`.
        """
        for update in self._owner.window_updates(self._port.successors, self._now()):
            self._port.send(update.address, update.message)

    def refresh_ownership(self) -> None:
        """Stop owning teams that another node owns now, and start owning the teams of this node.

        Call after each change of the membership and about once a second, so that an owner knows the
        earlier spending before the first request.
        """
        owner_address = self._port.owner
        for returned in self._owner.release_unowned(
            lambda team: owner_address(team) is None, self._now()
        ):
            address = owner_address(returned.team)
            if address is not None:
                self._port.send(address, returned)
        if self._now() < OWNERSHIP_DELAY_S:
            # No other member is known yet, so this node would consider itself the owner of all.
            return
        for team in self._teams().values():
            if team.rate_per_s > 0 and self._port.owner(team.name) is None:
                self._start_owning(team)
