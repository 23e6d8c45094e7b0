"""
chalkyoke.node.fleetsize

How many nodes there may be: those alive, and those that were alive not long ago and may only be
out of sight.
"""

from collections.abc import Iterable

from chalkyoke.membership.messages import MemberRecord

# How long a host that is gone still counts among those that there may be, in seconds: a cut or a
# restart is over by then.
REMEMBERED_S = 120.0


class FleetSize:
    """Remember the hosts that were seen lately."""

    def __init__(self) -> None:
        self._seen: dict[str, float] = {}

    def note(self, records: Iterable[MemberRecord], now: float) -> None:
        """Note who is alive."""
        for record in records:
            if not record.leaving:
                self._seen[record.host] = now
        self._forget(now)

    def note_listed(self, hosts: Iterable[str], now: float) -> None:
        """Note who is registered in the store, whether or not it was ever heard."""
        for host in hosts:
            self._seen[host] = now

    def known(self) -> int:
        """Count the hosts that there may be.

        :rtype: int
        """
        return max(1, len(self._seen))

    def _forget(self, now: float) -> None:
        for host, at in list(self._seen.items()):
            if now - at > REMEMBERED_S:
                del self._seen[host]
