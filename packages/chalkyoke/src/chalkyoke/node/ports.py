"""
chalkyoke.node.ports

The configuration as the entry slice asks for it, always by the revision in force.
"""

from collections.abc import Callable, Mapping

from chalkyoke.configuration.resources import Route, Service, Team
from chalkyoke.entry.reception import ConfigurationLookup
from chalkyoke.node.fleet import FleetView


class FleetPort(ConfigurationLookup):
    """Look things up in the current fleet view.

    :param fleet: gives the view in force.
    """

    def __init__(self, fleet: Callable[[], FleetView]) -> None:
        self._fleet = fleet

    def team_of(self, key_sha256: str) -> Team | None:
        """Find a team by the hash of its key."""
        return self._fleet().team_of(key_sha256)

    def service(self, name: str) -> Service | None:
        """Find a service."""
        return self._fleet().service(name)

    def route(self, service: str, labels: Mapping[str, str]) -> Route | None:
        """Find the route of a request."""
        return self._fleet().route(service, labels)

    def tier_deadline_s(self, tier: str) -> float | None:
        """Give a tier's deadline for requests that name none; nothing for an unknown tier."""
        return self._fleet().tier_deadline_s(tier)

    def pool(self, request_service: str, request: str) -> str:
        """Give the pool that a request of a service belongs to."""
        return self._fleet().pool(request_service, request)

    def pools(self) -> list[str]:
        """List all pools."""
        return list(self._fleet().pools)

    def may_dispatch(self, upstream: str) -> bool:
        """Tell whether an upstream takes new work, as far as this process knows."""
        return self._fleet().may_dispatch(upstream)
