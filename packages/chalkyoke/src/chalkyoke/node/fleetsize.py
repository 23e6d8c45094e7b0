"""
chalkyoke.node.fleetsize

How many nodes there may be: those alive, and those that were alive not long ago and may only be
out of sight.
"""

from collections.abc import Iterable

from chalkyoke.membership.messages import MemberRecord

# How long a host that is gone still counts among those that there may be, in seconds: a cut or a
# restart is over by then.
HOST_RETENTION_S = 120.0


class FleetSize:
    """Remember the hosts that were seen lately."""

    def __init__(self) -> None:
        self._last_seen: dict[str, float] = {}

    def record_live(self, records: Iterable[MemberRecord], now: float) -> None:
        """Note who is alive."""
        for record in records:
            if not record.leaving:
                self._last_seen[record.host] = now
        self._drop_expired(now)

    def record_registered(self, hosts: Iterable[str], now: float) -> None:
        """Note who is registered in the store, whether or not it was ever heard."""
        for host in hosts:
            self._last_seen[host] = now

    def count(self) -> int:
        """Count the hosts that there may be.

        :rtype: int
        """
        return max(1, len(self._last_seen))

    def _drop_expired(self, now: float) -> None:
        for host, at in list(self._last_seen.items()):
            if now - at > HOST_RETENTION_S:
                del self._last_seen[host]
