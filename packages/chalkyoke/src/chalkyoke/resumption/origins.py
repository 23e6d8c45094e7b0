"""
chalkyoke.resumption.origins

The origins of streams that this node keeps, and what follows from the version histories of several
nodes where no node knows an origin. Performs no I/O.
"""

from collections.abc import Iterable

import xxhash

from chalkyoke.resumption.messages import Origin, VersionHistory

# Maximum number of origins that a node keeps; they take some 6 MB. The oldest are dropped first.
MAX_ORIGINS = 20_000


def stream_key(team: str, first_request: str) -> int:
    """Return the key of a stream: equal for all attempts of its caller, below 2**63.

    :param first_request: id of the attempt that brought the stream's first event.
    """
    return xxhash.xxh64_intdigest(f"{team}|{first_request}".encode()) >> 1


def route_key(host: str, prefix: str) -> str:
    """Return the key of the route of a host and a path prefix."""
    return host.lower() + prefix


def targets_digest(targets: Iterable[tuple[str, float]]) -> int:
    """Return a digest of the services of a route, below 2**63.

    :param targets: each service with its weight.
    """
    text = "|".join(f"{service}={weight!r}" for service, weight in sorted(targets))
    return xxhash.xxh64_intdigest(text.encode()) >> 1


class KeptOrigins:
    """Keep the origins of streams for as long as their callers may resume them."""

    def __init__(self) -> None:
        self._origins: dict[int, tuple[float, Origin]] = {}

    def __len__(self) -> int:
        return len(self._origins)

    def find(self, stream: int, now: float) -> Origin | None:
        """Return the origin of a stream, or None.

        :param now: the node's clock, in seconds.
        """
        until, origin = self._origins.get(stream, (0.0, None))
        return origin if now < until else None

    def put(self, stream: int, origin: Origin, until: float, now: float) -> None:
        """Keep the origin of a stream; a known one is kept for longer, but never replaced.

        :param until: when the stream can no longer be resumed, on the node's clock.
        """
        known = self.find(stream, now)
        if known is not None:
            until = max(until, self._origins[stream][0])
        self._origins[stream] = (until, known or origin)
        if len(self._origins) > MAX_ORIGINS:
            del self._origins[next(iter(self._origins))]

    def drop_expired(self, now: float) -> None:
        """Drop the origins of streams that can no longer be resumed."""
        self._origins = {stream: kept for stream, kept in self._origins.items() if now < kept[0]}


def only_version(histories: Iterable[VersionHistory], age_s: float) -> str | None:
    """Return the only version that can have begun a stream, by the histories of several nodes.

    :param age_s: how long ago the stream began at most, in seconds.
    :return: None if several versions can have begun it, or no history reaches that far back.
    """
    known = list(histories)
    versions = {version for each in known for version in each.versions}
    if len(versions) != 1 or max(each.covers_s for each in known) < age_s:
        return None
    if any(each.has_moved for each in known):
        return None
    return versions.pop()
