"""
chalkyoke.node.fleetsize

Estimates how many nodes may exist: the live ones, and those that were live or registered recently
and may only be unreachable.
"""

from collections.abc import Iterable

from chalkyoke.membership.messages import MemberRecord

# How long a host counts after it was last seen, in seconds: a network partition or a restart is
# over by then.
HOST_RETENTION_S = 120.0


class FleetSize:
    """Count the hosts that were seen recently."""

    def __init__(self) -> None:
        self._last_seen: dict[str, float] = {}

    def record_live(self, records: Iterable[MemberRecord], now: float) -> None:
        """Record the live members that are not leaving, and drop hosts not seen for too long."""
        for record in records:
            if not record.leaving:
                self._last_seen[record.host] = now
        self._drop_expired(now)

    def record_registered(self, hosts: Iterable[str], now: float) -> None:
        """Record the hosts registered in the store, whether or not they ever sent a message."""
        for host in hosts:
            self._last_seen[host] = now

    def count(self) -> int:
        """Return the number of hosts that may exist, at least 1.

        :rtype: int
        """
        return max(1, len(self._last_seen))

    def _drop_expired(self, now: float) -> None:
        for host, at in list(self._last_seen.items()):
            if now - at > HOST_RETENTION_S:
                del self._last_seen[host]
