"""
chalkyoke.node.routehistory

Since when each route has had its services, as far as this node knows.
"""

import math
from collections.abc import Callable

import msgspec

from chalkyoke.catalog.resources import Route
from chalkyoke.catalog.state import CatalogState
from chalkyoke.resumption.origins import route_key, targets_digest


class _KnownRoute(msgspec.Struct):
    """A route with a digest of its services, and when they last changed on the node's clock."""

    host: str
    prefix: str
    targets: int
    since: float


class RouteHistories:
    """Remember when the services changed to which the paths of a route go.

    They change with the route itself, when the route appears, and when a route with a longer prefix
    goes that took some of its paths.

    :param now: the node's clock, in seconds.
    """

    def __init__(self, state: CatalogState, now: Callable[[], float]) -> None:
        self._state = state
        self._now = now
        self._version = 0
        self._routes: dict[str, _KnownRoute] = {}

    def catalog_changed(self) -> None:
        """Note the routes whose services have changed."""
        catalog = self._state.catalog
        if catalog.version == self._version:
            return
        # What came before the first catalog is not known to have been different.
        now = self._now() if self._version else -math.inf
        self._version = catalog.version
        before, self._routes = self._routes, {}
        for each in catalog.routes:
            self._add(each, before, now)
        gone: dict[str, list[str]] = {}
        for key, former in before.items():
            if key not in self._routes:
                gone.setdefault(former.host, []).append(former.prefix)
        for known in self._routes.values():
            if any(each.startswith(known.prefix) for each in gone.get(known.host, ())):
                known.since = now

    def has_moved(self, route: str, targets: int, age_s: float) -> bool:
        """Return whether a stream may have begun at another service than its route has now.

        :param route: key of the route; empty if it is not known.
        :param targets: digest of the route's services, as the asking node knows them.
        :param age_s: how long ago the stream began at most, in seconds.
        """
        if not route or not self._version:
            return False
        known = self._routes.get(route)
        if known is None or known.targets != targets:
            return True
        return self._now() - known.since <= age_s

    def _add(self, route: Route, before: dict[str, _KnownRoute], now: float) -> None:
        key = route_key(route.host, route.prefix)
        targets = targets_digest((each.service, each.weight) for each in route.targets)
        known = before.get(key)
        since = known.since if known is not None and known.targets == targets else now
        self._routes[key] = _KnownRoute(route.host.lower(), route.prefix, targets, since)
