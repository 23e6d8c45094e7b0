"""
chalkyoke.limits.keeper

The keeper of a service's limits: the process that counts the requests of all nodes to the service's
replicas. It is the process that schedules the service's pool, or would schedule it if the service
had one. Grants of its scheduler and permits for other nodes use the same allowance.
"""

from collections.abc import Callable

import msgspec

from chalkyoke.limits.allowance import Allowance
from chalkyoke.limits.known import KnownLimits

# Fraction of a limit that a process allocates when it is asked without being the keeper. Two
# processes may be asked at the same time for a moment, and the sum must stay below the tolerance of
# the operators.
STANDBY_SHARE = 0.3
# Fraction of the fleet in sight above which a side of a partition allocates the whole limit. A
# smaller side allocates the fraction of the fleet that it sees, so two sides together stay below
# one and a half times the limit.
MAJOR_SHARE = 0.5


class AllocatedLimit(msgspec.Struct, frozen=True):
    """The part of one replica's limit that this process allocates from now on.

    :param limit_per_s: requests per second that the replica takes from all nodes.
    :param share: the fraction of the limit that is allocated here.
    """

    service: str
    replica: str
    limit_per_s: float
    share: float


class LimitKeeper:
    """Keep the allowances of limited replicas.

    :param known: the limits that replicas have announced.
    :param keeps: returns whether this process is the keeper of a service.
    :param fleet_share: returns the fraction of the fleet that this process sees.
    :param changed: called with the new allocation whenever it changes.
    """

    def __init__(
        self,
        known: KnownLimits,
        keeps: Callable[[str], bool],
        fleet_share: Callable[[], float],
        changed: Callable[[AllocatedLimit], None],
    ) -> None:
        self._known = known
        self._keeps = keeps
        self._fleet_share = fleet_share
        self._changed = changed
        self._allowances: dict[str, tuple[str, Allowance]] = {}

    def allowance(self, service: str, replica: str, now: float) -> Allowance | None:
        """Return the up-to-date allowance of a replica; None if the replica has no limit."""
        limit_per_s = self._known.limit_of(replica)
        if limit_per_s is None:
            self._allowances.pop(replica, None)
            return None
        share = self._share(service)
        found = self._allowances.get(replica)
        if found is None:
            found = self._allowances[replica] = (service, Allowance(limit_per_s, share, now))
        elif not found[1].reconfigure(limit_per_s, share, now):
            return found[1]
        self._changed(AllocatedLimit(service, replica, limit_per_s, share))
        return found[1]

    def refresh(self, now: float) -> None:
        """Update all allowances to the present limits, members and keepers."""
        for replica, (service, _) in list(self._allowances.items()):
            self.allowance(service, replica, now)

    def _share(self, service: str) -> float:
        seen = self._fleet_share()
        side = 1.0 if seen > MAJOR_SHARE else seen
        return side * (1.0 if self._keeps(service) else STANDBY_SHARE)
