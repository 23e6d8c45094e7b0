"""
chalkyoke.node.fleetsize

Estimates how many nodes may exist: the live and the registered ones, and those that were live or
registered earlier and may only be unreachable.
"""

from collections.abc import Iterable

from chalkyoke.membership.messages import MemberRecord

# How long a host that left on plan counts after it was last seen, in seconds: a restart is over by
# then.
LEFT_RETENTION_S = 120.0
# How long a lost host counts after it was last seen, in seconds. A network partition can't be told
# from a crash, and both sides of it would use the same limits once they forget each other.
LOST_RETENTION_S = 3600.0


class FleetSize:
    """Count the hosts that may exist.

    Registered hosts count for as long as the last known list of the store has them: a node that
    does not reach the store can't know that they have gone.
    """

    def __init__(self) -> None:
        self._last_seen: dict[str, float] = {}
        self._registered: frozenset[str] = frozenset()
        self._leaving: set[str] = set()

    def record_live(self, records: Iterable[MemberRecord], now: float) -> None:
        """Record the live members, and drop hosts not seen for too long."""
        for record in records:
            if record.leaving:
                self._leaving.add(record.host)
                continue
            self._leaving.discard(record.host)
            self._last_seen[record.host] = now
        self._drop_expired(now)

    def record_registered(self, hosts: Iterable[str], now: float) -> None:
        """Record the hosts registered in the store, whether or not they ever sent a message."""
        before, self._registered = self._registered, frozenset(hosts)
        for host in (before & self._last_seen.keys()) | self._registered:
            self._last_seen[host] = now

    def count(self) -> int:
        """Return the number of hosts that may exist, at least 1.

        :rtype: int
        """
        return max(1, len(self._last_seen))

    def _drop_expired(self, now: float) -> None:
        for host, at in list(self._last_seen.items()):
            has_left = host in self._leaving
            if host in self._registered and not has_left:
                continue
            if now - at > (LEFT_RETENTION_S if has_left else LOST_RETENTION_S):
                del self._last_seen[host]
                self._leaving.discard(host)
