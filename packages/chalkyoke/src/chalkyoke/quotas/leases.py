"""
chalkyoke.quotas.leases

A node's side of quotas: what it has leased and not spent, and a small share of its own for when
no owner answers.
"""

from collections.abc import Callable

import msgspec

from chalkyoke.catalog.resources import Team
from chalkyoke.quotas.bucket import Bucket
from chalkyoke.quotas.messages import QuotaGrant
from chalkyoke.quotas.window import QuotaLimits, SpendingWindow

# Cost is leased ahead for the demand of so many seconds, a little less than a lease is valid.
AHEAD_S = 0.4
# How far back a node's demand is remembered, in seconds: a quarter of the usual window.
DEMAND_MEMORY_S = 2.0
# What all nodes together may spend without an owner: a burst, as a part of what a window may see,
# and a rate, as a part of the team's. Both lie in what owners leave unused (owner.USED_SHARE).
ALONE_SHARE = 0.12
ALONE_RATE_SHARE = 0.7


class _Held(msgspec.Struct):
    balance: float = 0.0
    until: float = 0.0
    demand_per_s: float = 0.0
    demand_at: float = 0.0
    version: int = 0
    lease_window: int = 0


class HeldLeases:
    """Spend leased cost.

    :param limits: the strictness of quotas.
    :param nodes: gives the number of nodes that there may be.
    """

    def __init__(self, limits: QuotaLimits, nodes: Callable[[], int]) -> None:
        self.limits = limits
        self._nodes = nodes
        self._held: dict[str, _Held] = {}
        self._alone: dict[str, Bucket] = {}
        self._spent: dict[str, SpendingWindow] = {}
        self._spent_alone: dict[str, float] = {}

    def spend(self, team: Team, cost: float, version: int, now: float) -> bool:
        """Spend cost from the lease, if it is enough.

        :param version: configuration version; a lease of an older one is dropped.
        :rtype: bool
        """
        held = self._of(team.name)
        self._note_demand(held, cost, now)
        if held.version != version:
            held.balance, held.version = 0.0, version
        if now >= held.until or held.balance < cost:
            return False
        held.balance -= cost
        self._note_spent(team.name, cost, now)
        return True

    def lease_window(self, team: str) -> int:
        """Name the window that the present lease of a team is of."""
        return self._of(team).lease_window

    def refund(self, team: str, cost: float, lease_window: int, now: float) -> bool:
        """Put cost back into the lease that it was spent from, for work that never ran.

        It serves the next request, or goes back to the owner with the next question.

        :param lease_window: the window that the lease was of; another owner does not know of it.
        :return: whether it could be put back.
        """
        held = self._of(team)
        if held.lease_window != lease_window:
            return False
        held.balance += cost
        self._spent_by(team).give_back(cost, now)
        return True

    def cost_ahead(self, team: Team) -> float:
        """Tell how much cost is worth leasing ahead.

        :rtype: float
        """
        return self._of(team.name).demand_per_s * AHEAD_S

    def take_remainder(self, team: str) -> tuple[float, int]:
        """Empty a lease that is not enough or over, to return what is left of it.

        :return: what is left, and the window that it is of.
        """
        held = self._of(team)
        left, held.balance = held.balance, 0.0
        return left, held.lease_window

    def add_grant(self, grant: QuotaGrant, now: float) -> None:
        """Add a lease to what may be spent."""
        held = self._of(grant.team)
        if grant.amount <= 0:
            return
        if held.lease_window != grant.lease_window:
            held.balance, held.lease_window = 0.0, grant.lease_window
        held.balance += grant.amount
        held.until = now + grant.valid_s

    def accept_grant(self, grant: QuotaGrant, cost: float, now: float) -> bool:
        """Take a lease, and spend the cost of the request that asked for it.

        :return: whether the request may pass.
        """
        self.add_grant(grant, now)
        held = self._of(grant.team)
        if grant.amount <= 0 or held.balance < cost:
            return False
        held.balance -= cost
        self._note_spent(grant.team, cost, now)
        return True

    def spend_own_share(self, team: Team, cost: float, now: float) -> bool:
        """Spend from this node's own share, while no owner answers.

        :rtype: bool
        """
        nodes = max(1, self._nodes())
        rate = ALONE_RATE_SHARE * team.rate_per_s / nodes
        most = self.limits.window_limit(team.rate_per_s, team.burst)
        capacity = ALONE_SHARE * most / nodes
        bucket = self._alone.get(team.name)
        if bucket is None:
            bucket = self._alone[team.name] = Bucket(rate, capacity, capacity, now)
        elif (bucket.rate_per_s, bucket.capacity) != (rate, capacity):
            bucket.reconfigure(rate, capacity, now)
        passed = bucket.try_consume(cost, now)
        if passed:
            self._note_spent(team.name, cost, now)
            self.note_alone(team.name, cost)
        return passed

    def note_alone(self, team: str, cost: float) -> None:
        """Note cost that was spent alone and that no owner knows of yet."""
        self._spent_alone[team] = self._spent_alone.get(team, 0.0) + cost

    def pop_unreported(self, team: str) -> float:
        """Give what was spent alone since an owner was told last; it is told now."""
        return self._spent_alone.pop(team, 0.0)

    def spent(self, team: str, now: float) -> float:
        """Give what this node has spent of a team's quota in the window that ends now.

        :rtype: float
        """
        window = self._spent.get(team)
        return 0.0 if window is None else window.spent(now)

    def _note_spent(self, team: str, cost: float, now: float) -> None:
        self._spent_by(team).add(cost, now)

    def _spent_by(self, team: str) -> SpendingWindow:
        window = self._spent.get(team)
        if window is None:
            window = self._spent[team] = SpendingWindow(self.limits.window_s)
        return window

    def _of(self, name: str) -> _Held:
        return self._held.setdefault(name, _Held())

    def _note_demand(self, held: _Held, cost: float, now: float) -> None:
        elapsed = now - held.demand_at
        decay = max(0.0, 1.0 - elapsed / DEMAND_MEMORY_S)
        held.demand_per_s = held.demand_per_s * decay + cost / DEMAND_MEMORY_S
        held.demand_at = now
