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
    """Count the hosts that may exist, and tell whether all of them are live.

    Registered hosts count for as long as the last known list of the store has them: a node that
    does not reach the store can't know that they have gone.
    """

    def __init__(self) -> None:
        self._last_seen: dict[str, float] = {}
        self._registered: frozenset[str] = frozenset()
        self._leaving: set[str] = set()
        self._expected: dict[str, float] = {}
        self._is_listed = False

    def record_live(self, records: Iterable[MemberRecord], now: float) -> None:
        """Record the live members, and drop hosts not seen for too long."""
        for record in records:
            if record.leaving:
                self._leaving.add(record.host)
                self._expected.pop(record.host, None)
                continue
            self._leaving.discard(record.host)
            self._last_seen[record.host] = self._expected[record.host] = now
        self._drop_expired(now)

    def record_registered(self, hosts: Iterable[str], now: float) -> None:
        """Record all hosts registered in the store, whether or not they ever sent a message."""
        self._is_listed = True
        before, self._registered = self._registered, frozenset(hosts)
        for host in (before & self._last_seen.keys()) | self._registered:
            self._last_seen[host] = now
        for host, at in list(self._expected.items()):
            if host not in self._registered and now - at > LEFT_RETENTION_S:
                del self._expected[host]
        self._expected |= dict.fromkeys(self._registered, now)

    def count(self) -> int:
        """Return the number of hosts that may exist, at least 1.

        :rtype: int
        """
        return max(1, len(self._last_seen))

    def is_whole(self, live: Iterable[MemberRecord]) -> bool:
        """Return whether all hosts that may exist are live, however long ago they were lost.

        A node that has not read the store's list of hosts since its start can't tell. A lost host
        is missing until it is back, or is no longer registered some time after it was lost.
        """
        return self._is_listed and self._expected.keys() <= {each.host for each in live}

    def _drop_expired(self, now: float) -> None:
        for host, at in list(self._last_seen.items()):
            has_left = host in self._leaving
            if host in self._registered and not has_left:
                continue
            if now - at > (LEFT_RETENTION_S if has_left else LOST_RETENTION_S):
                del self._last_seen[host]
                self._leaving.discard(host)
