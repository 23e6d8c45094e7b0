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
    """Count the hosts that were seen recently, and remember those that are missing for longer."""

    def __init__(self) -> None:
        self._last_seen: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._missing: set[str] = set()
        self._is_listed = False

    def record_live(self, records: Iterable[MemberRecord], now: float) -> None:
        """Record the live members that are not leaving, and drop hosts not seen for too long."""
        for record in records:
            self._missing.discard(record.host)
            if record.leaving:
                self._leaving.add(record.host)
            else:
                self._leaving.discard(record.host)
                self._last_seen[record.host] = now
        self._drop_expired(now)

    def record_registered(self, hosts: Iterable[str], now: float) -> None:
        """Record all hosts registered in the store, whether or not they ever sent a message."""
        self._is_listed = True
        registered = set(hosts)
        self._missing &= registered
        for host in registered:
            self._last_seen[host] = now

    def count(self) -> int:
        """Return the number of hosts that may exist, at least 1.

        :rtype: int
        """
        return max(1, len(self._last_seen))

    def is_whole(self, live: Iterable[MemberRecord]) -> bool:
        """Return whether all hosts that may exist are live, however long ago they were lost.

        A node that has not read the store's list of hosts since its start can't tell. A host that
        is missing counts until it is back, has left on plan, or is no longer registered.
        """
        expected = self._last_seen.keys() | self._missing
        return self._is_listed and expected <= {each.host for each in live}

    def _drop_expired(self, now: float) -> None:
        for host, at in list(self._last_seen.items()):
            if now - at > HOST_RETENTION_S:
                del self._last_seen[host]
                if host not in self._leaving:
                    self._missing.add(host)
                self._leaving.discard(host)
