"""
chalkyoke.scheduling.overlaps

Determine which routes of a pool share an upstream. Most routes of a pool have the same set of
upstreams, so the distinct sets are compared instead of the routes: comparing 1,400 routes over 140
upstreams in pairs blocks a node's event loop for 6 s.
"""

from collections.abc import Container, Iterable

from chalkyoke.scheduling.state import RouteSpec


class Overlaps(Container[tuple[str, str]]):
    """The pairs of routes that share an upstream.

    Usage::

      >>> ("chat", "mail") in overlaps
    """

    def __init__(self, routes: Iterable[RouteSpec]) -> None:
        self._upstreams = {route.name: route.upstreams for route in routes}
        distinct = list(dict.fromkeys(self._upstreams.values()))
        self._sharing = {(one, other) for one in distinct for other in distinct if one & other}

    def __contains__(self, pair: object) -> bool:
        """Return whether two routes share an upstream; an unknown route shares none."""
        if not isinstance(pair, tuple):
            return False
        one, other = (self._upstreams.get(name) for name in pair)
        return (one, other) in self._sharing
