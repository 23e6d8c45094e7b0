"""
chalkyoke.quotas.leases

The quota that a node may spend without asking an owner: the unspent remainder of its leases, and a
small share of the quota for the time when no owner answers.
"""

from collections.abc import Callable

import msgspec

from chalkyoke.catalog.resources import Team
from chalkyoke.quotas.bucket import Bucket
from chalkyoke.quotas.messages import QuotaGrant
from chalkyoke.quotas.window import QuotaLimits, SpendingWindow

# Cost is leased ahead for the demand of this many seconds, a little less than the lifetime of a
# lease.
LEASE_AHEAD_S = 0.4
# Time over which a node's demand is averaged, in seconds: a quarter of the usual window.
DEMAND_MEMORY_S = 2.0
# Burst that all nodes together may spend without an owner, as a fraction of the window limit. This
# burst and the rate below fit into the part of the limit that owners don't lease
# (owner.LEASABLE_SHARE).
OWN_SHARE_BURST_FRACTION = 0.12
# Rate at which all nodes together may spend without an owner, as a fraction of the team's rate.
OWN_SHARE_RATE_FRACTION = 0.7


class _HeldLease(msgspec.Struct):
    balance: float = 0.0
    expires_at: float = 0.0
    demand_per_s: float = 0.0
    demand_at: float = 0.0
    version: int = 0
    lease_window: int = 0


class HeldLeases:
    """Spend leased cost, and this node's own share without an owner.

    :param limits: limits on the cost in any window.
    :param nodes: returns the number of nodes that may exist.
    """

    def __init__(self, limits: QuotaLimits, nodes: Callable[[], int]) -> None:
        self.limits = limits
        self._nodes = nodes
        self._leases: dict[str, _HeldLease] = {}
        self._own_shares: dict[str, Bucket] = {}
        self._spent_windows: dict[str, SpendingWindow] = {}
        self._unreported: dict[str, float] = {}

    def spend(self, team: Team, cost: float, version: int, now: float) -> bool:
        """Spend cost from the lease.

        :param version: configuration version; a lease under another version is dropped.
        :return: whether the lease was valid and large enough.
        """
        lease = self._lease_of_team(team.name)
        self._record_demand(lease, cost, now)
        if lease.version != version:
            lease.balance, lease.version = 0.0, version
        if now >= lease.expires_at or lease.balance < cost:
            return False
        lease.balance -= cost
        self._record_spent(team.name, cost, now)
        return True

    def lease_window(self, team: str) -> int:
        """Return the number of the window that the present lease of a team is from; 0 if none."""
        return self._lease_of_team(team).lease_window

    def refund(self, team: str, cost: float, lease_window: int, now: float) -> bool:
        """Return cost to the lease that it was spent from, for a request that never ran.

        The cost serves the next request, or returns to the owner with the next request for cost.

        :param lease_window: number of the window that the cost was leased from; only its owner has
            counted the cost.
        :return: whether the present lease is from that window.
        """
        lease = self._lease_of_team(team)
        if lease.lease_window != lease_window:
            return False
        lease.balance += cost
        self._spending_window(team).subtract_unspent(cost, now)
        return True

    def cost_ahead(self, team: Team) -> float:
        """Return the cost to lease ahead, by the recent demand of this node.

        :rtype: float
        """
        return self._lease_of_team(team.name).demand_per_s * LEASE_AHEAD_S

    def take_remainder(self, team: str) -> tuple[float, int]:
        """Empty a lease that is too small or expired, to return the rest to the owner.

        :return: the unspent cost, and the number of the window that it was leased from.
        """
        lease = self._lease_of_team(team)
        left, lease.balance = lease.balance, 0.0
        return left, lease.lease_window

    def add_grant(self, grant: QuotaGrant, now: float) -> None:
        """Add a granted lease; a rest from another window is dropped."""
        lease = self._lease_of_team(grant.team)
        if grant.amount <= 0:
            return
        if lease.lease_window != grant.lease_of:
            lease.balance, lease.lease_window = 0.0, grant.lease_of
        lease.balance += grant.amount
        lease.expires_at = now + grant.valid_s

    def accept_grant(self, grant: QuotaGrant, cost: float, now: float) -> bool:
        """Add a granted lease and spend the cost of the request that it was requested for.

        :return: whether the request is within the quota.
        """
        self.add_grant(grant, now)
        lease = self._lease_of_team(grant.team)
        if grant.amount <= 0 or lease.balance < cost:
            return False
        lease.balance -= cost
        self._record_spent(grant.team, cost, now)
        return True

    def spend_own_share(self, team: Team, cost: float, now: float) -> bool:
        """Spend cost from this node's own share, while no owner answers.

        :return: whether the share was large enough.
        """
        nodes = max(1, self._nodes())
        rate = OWN_SHARE_RATE_FRACTION * team.rate_per_s / nodes
        window_limit = self.limits.window_limit(team.rate_per_s, team.burst)
        capacity = OWN_SHARE_BURST_FRACTION * window_limit / nodes
        bucket = self._own_shares.get(team.name)
        if bucket is None:
            bucket = self._own_shares[team.name] = Bucket(rate, capacity, capacity, now)
        elif (bucket.rate_per_s, bucket.capacity) != (rate, capacity):
            bucket.reconfigure(rate, capacity, now)
        allowed = bucket.try_consume(cost, now)
        if allowed:
            self._record_spent(team.name, cost, now)
            self.add_unreported(team.name, cost)
        return allowed

    def add_unreported(self, team: str, cost: float) -> None:
        """Add cost from the own share that has to be reported to the owner."""
        self._unreported[team] = self._unreported.get(team, 0.0) + cost

    def pop_unreported(self, team: str) -> float:
        """Return the cost from the own share since the last report, and reset it to 0."""
        return self._unreported.pop(team, 0.0)

    def spent(self, team: str, now: float) -> float:
        """Return the cost that this node has spent of a team's quota in the window that ends now.

        :rtype: float
        """
        window = self._spent_windows.get(team)
        return 0.0 if window is None else window.spent(now)

    def _record_spent(self, team: str, cost: float, now: float) -> None:
        self._spending_window(team).add(cost, now)

    def _spending_window(self, team: str) -> SpendingWindow:
        window = self._spent_windows.get(team)
        if window is None:
            window = self._spent_windows[team] = SpendingWindow(self.limits.window_s)
        return window

    def _lease_of_team(self, name: str) -> _HeldLease:
        return self._leases.setdefault(name, _HeldLease())

    def _record_demand(self, lease: _HeldLease, cost: float, now: float) -> None:
        elapsed = now - lease.demand_at
        decay = max(0.0, 1.0 - elapsed / DEMAND_MEMORY_S)
        lease.demand_per_s = lease.demand_per_s * decay + cost / DEMAND_MEMORY_S
        lease.demand_at = now
