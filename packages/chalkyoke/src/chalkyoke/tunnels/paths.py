"""
chalkyoke.tunnels.paths

Which replicas this host can't reach itself although other hosts can. Time is an argument, in
seconds.
"""

from collections.abc import Collection

import msgspec

Address = tuple[str, int]

# Initial and maximum interval at which a lost path is checked while there are requests for it, in
# seconds. A check of a path that is still lost costs the replica nothing.
MIN_CHECK_INTERVAL_S = 0.25
MAX_CHECK_INTERVAL_S = 1.0
# Initial and maximum time for which no tunnel to a replica is tried after none could be opened, in
# seconds. It doubles with each further failure.
MIN_TUNNEL_BACKOFF_S = 0.5
MAX_TUNNEL_BACKOFF_S = 2.0


class _Path(msgspec.Struct):
    """The state of the path to one replica.

    :ivar lost_at: when the path was found lost; None while it is not.
    """

    lost_at: float | None = None
    check_at: float = 0.0
    failed_checks: int = 0
    tunnel_from: float = 0.0
    failed_tunnels: int = 0


class PathTable:
    """Track the paths that this host has lost."""

    def __init__(self) -> None:
        self._paths: dict[Address, _Path] = {}

    @property
    def lost(self) -> list[Address]:
        """The addresses whose paths are lost."""
        return [address for address, path in self._paths.items() if path.lost_at is not None]

    def is_lost(self, address: Address) -> bool:
        """Return whether the path to a replica is lost."""
        path = self._paths.get(address)
        return path is not None and path.lost_at is not None

    def record_reached(self, address: Address) -> bool:
        """Record that this host has reached a replica itself.

        :return: whether the path was lost before.
        """
        path = self._paths.pop(address, None)
        return path is not None and path.lost_at is not None

    def record_lost(self, address: Address, now: float) -> bool:
        """Record that another host reaches a replica that this host does not reach.

        :return: whether this is new.
        """
        path = self._paths.setdefault(address, _Path())
        path.tunnel_from, path.failed_tunnels = 0.0, 0
        if path.lost_at is not None:
            return False
        path.lost_at, path.failed_checks = now, 0
        path.check_at = now + MIN_CHECK_INTERVAL_S
        return True

    def record_check_failed(self, address: Address, now: float) -> None:
        """Record that a lost path was checked and is still lost."""
        path = self._paths.get(address)
        if path is not None:
            path.failed_checks = min(path.failed_checks + 1, 10)
            doubled: float = MIN_CHECK_INTERVAL_S * 2**path.failed_checks
            path.check_at = now + min(MAX_CHECK_INTERVAL_S, doubled)

    def is_check_due(self, address: Address, now: float) -> bool:
        """Return whether a lost path should be checked now."""
        path = self._paths.get(address)
        return path is not None and path.lost_at is not None and now >= path.check_at

    def record_no_tunnel(self, address: Address, now: float) -> None:
        """Record that no host could open a tunnel to a replica."""
        path = self._paths.setdefault(address, _Path())
        doubled: float = MIN_TUNNEL_BACKOFF_S * 2**path.failed_tunnels
        path.failed_tunnels = min(path.failed_tunnels + 1, 10)
        path.tunnel_from = now + min(MAX_TUNNEL_BACKOFF_S, doubled)

    def may_tunnel(self, address: Address, now: float) -> bool:
        """Return whether a tunnel to a replica should be tried now."""
        path = self._paths.get(address)
        return path is None or now >= path.tunnel_from

    def prune(self, kept: Collection[Address]) -> None:
        """Remove the state of addresses that no replica has any more."""
        for address in [each for each in self._paths if each not in kept]:
            del self._paths[address]
