"""
chalkyoke.node.ports

Implements the configuration lookups of the entry slice with the fleet view in force.
"""

from collections.abc import Callable, Mapping

from chalkyoke.configuration.resources import Route, Service, Team
from chalkyoke.entry.reception import ConfigurationLookup
from chalkyoke.node.fleet import FleetView


class FleetPort(ConfigurationLookup):
    """Implement :class:`chalkyoke.entry.ports.ConfigurationPort` and the lookups of reception.

    Each call reads the fleet view that is in force at that moment.

    :param fleet: returns the fleet view in force.
    """

    def __init__(self, fleet: Callable[[], FleetView]) -> None:
        self._fleet = fleet

    def team_of(self, key_sha256: str) -> Team | None:
        """Return the team of an API key's SHA-256 digest, or None if no team has the key."""
        return self._fleet().team_of(key_sha256)

    def service(self, name: str) -> Service | None:
        """Return a service by name, or None if there is none."""
        return self._fleet().service(name)

    def route(self, service: str, labels: Mapping[str, str]) -> Route | None:
        """Return the matching route with the most conditions, or None if no route matches."""
        return self._fleet().route(service, labels)

    def tier_deadline_s(self, tier: str) -> float | None:
        """Return a tier's default deadline in seconds, or None for an unknown tier."""
        return self._fleet().tier_deadline_s(tier)

    def tier_urgency(self, tier: str) -> float:
        """Return the position of a tier among all, from 0 for the least urgent to 1."""
        return self._fleet().tier_urgency(tier)

    def pool(self, request_service: str, request: str) -> str:
        """Return the name of the pool that a service's request belongs to."""
        return self._fleet().pool(request_service, request)

    def pools(self) -> list[str]:
        """List the names of all pools."""
        return list(self._fleet().pools)

    def may_dispatch(self, upstream: str) -> bool:
        """Return whether an upstream is listed here and not leaving."""
        return self._fleet().may_dispatch(upstream)
