"""
chalkyoke.scheduling.versionroutes

Names of the routes in a pool that lead to the upstreams of one software version. A stream that
upstreams of a version have begun may go on only at upstreams of that version.
"""

# Separates the name of a route from the version.
_VERSION_MARK = "@version="


def version_route(route: str, version: str) -> str:
    """Return the route name in a pool for streams that a version has begun.

    :param route: name of the route in the catalog.
    """
    return f"{route}{_VERSION_MARK}{version}"


def is_version_route(route: str) -> bool:
    """Return whether a route in a pool is that of streams that a version has begun."""
    return _VERSION_MARK in route


def without_version(route: str) -> str:
    """Return the name in the catalog of a route in a pool, under which its outputs are learned."""
    return route.partition(_VERSION_MARK)[0]
