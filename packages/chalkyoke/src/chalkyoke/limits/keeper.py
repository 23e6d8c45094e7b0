"""
chalkyoke.limits.keeper

The process that counts what replicas of a service get from all nodes: the one that schedules the
service's pool, or would if it were one. What its scheduler grants and what it permits other nodes
comes from the same allowance.
"""

from collections.abc import Callable

import msgspec

from chalkyoke.limits.allowance import Allowance
from chalkyoke.limits.known import KnownLimits

# The part of a limit that a process gives out that is asked and does not think itself the keeper:
# for a moment two processes may be asked, and the sum must stay below what operators allow.
STANDBY_SHARE = 0.3
# A side of a cut that sees this part of the fleet gives out the whole limit, a smaller one what
# corresponds to what it sees: two sides together stay below one and a half times the limit.
MAJOR_SHARE = 0.5


class AllocatedLimit(msgspec.Struct, frozen=True):
    """What this process gives out of one replica's limit from now on.

    :param limit_per_s: requests a second that the replica takes from all nodes.
    :param share: the part of them that is given out here.
    """

    service: str
    replica: str
    limit_per_s: float
    share: float


class LimitKeeper:
    """Keep the allowances of limited replicas.

    :param known: what replicas have said.
    :param keeps: tells whether this process is the keeper of a service.
    :param fleet_share: tells which part of the fleet this process sees.
    :param changed: told what is given out here whenever that changes.
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
        self._kept: dict[str, tuple[str, Allowance]] = {}

    def allowance(self, service: str, replica: str, now: float) -> Allowance | None:
        """Give the allowance of a replica; nothing where it names no limit."""
        limit_per_s = self._known.limit_of(replica)
        if limit_per_s is None:
            self._kept.pop(replica, None)
            return None
        share = self._share(service)
        found = self._kept.get(replica)
        if found is None:
            found = self._kept[replica] = (service, Allowance(limit_per_s, share, now))
        elif not found[1].reconfigure(limit_per_s, share, now):
            return found[1]
        self._changed(AllocatedLimit(service, replica, limit_per_s, share))
        return found[1]

    def refresh(self, now: float) -> None:
        """Follow what is known of limits, the fleet and its keepers, for all allowances kept."""
        for replica, (service, _) in list(self._kept.items()):
            self.allowance(service, replica, now)

    def _share(self, service: str) -> float:
        seen = self._fleet_share()
        side = 1.0 if seen >= MAJOR_SHARE else seen
        return side * (1.0 if self._keeps(service) else STANDBY_SHARE)
