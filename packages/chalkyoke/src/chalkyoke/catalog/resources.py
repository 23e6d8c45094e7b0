"""
chalkyoke.catalog.resources

The declared resources. All of them are immutable, so one request is processed with one version of
the catalog throughout.
"""

from collections.abc import Mapping
from enum import StrEnum

import msgspec

# Number of route ranks below each team rank, since the team's rank takes precedence.
ROUTE_RANKS_PER_TEAM_RANK = 100


class RouteKind(StrEnum):
    """How a route's requests are answered, and whether they may be run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True):
    """A service that receives a share of a route's requests, in proportion to its weight."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A route from a host and a path prefix to one or several services.

    :param goal_s: the time by which the first output is due, in seconds.
    :param gap_goal_s: longest pause between two events for which a stream counts as in time, in
        seconds.
    :param attempts: maximum number of replicas that one request is sent to.
    :param rank: priority; 0 is the most urgent.
    :param public: whether requests need no API key.
    :param resumable: whether a stream can be resumed on another replica.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    kind: RouteKind = RouteKind.NON_IDEMPOTENT
    timeout_s: float = 30.0
    goal_s: float = 1.0
    gap_goal_s: float = 0.0
    attempts: int = 1
    rank: int = 0
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may be run more than once; a stream may if it is resumable.

        :rtype: bool
        """
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def is_stream(self) -> bool:
        """Whether answers are streams of events.

        :rtype: bool
        """
        return self.kind is RouteKind.STREAM


class Service(msgspec.Struct, frozen=True):
    """A service and the capacity of each of its replicas.

    :param max_connections: number of connections that a replica accepts from all nodes together.
    :param engine_slots: number of requests that a replica runs at once, for a model engine; 0 for
        other services.
    :param cache_tokens: number of prompt and output tokens that a replica keeps in its cache.
    :param tokens_per_event: number of output tokens in one event of a stream.
    """

    name: str
    max_connections: int = 100
    engine_slots: int = 0
    cache_tokens: int = 0
    tokens_per_event: int = 1

    @property
    def is_engine(self) -> bool:
        """Whether replicas are model engines, whose requests pass through the pool's queue.

        :rtype: bool
        """
        return self.engine_slots > 0


class Team(msgspec.Struct, frozen=True):
    """A team with its API keys, rank and quota.

    :param keys: the team's API keys.
    :param rank: takes precedence over the route's rank, unless None.
    :param rate_per_s: quota of cost per second over all nodes; 0 means no limit.
    :param burst: size of the token bucket, in units of cost.
    :param by_tokens: whether a request costs its number of tokens; otherwise it costs 1.
    :param default_cost: cost of a request that states no token count.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    by_tokens: bool = False
    default_cost: float = 1.0


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits on the size of a caller's request and on the time to send it or to stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Replica(msgspec.Struct, frozen=True):
    """One start of a replica, as its record declares it.

    :param id: id of this start. A replica that restarts under its declared id has lost all its
        state, so everything that a node keeps by start id ends with the start.
    :param ip: IPv4 address.
    :param slots: number of requests that the replica runs at once.
    :param draining: whether the replica has announced that it leaves.
    :param version: version of the replica's software; empty if not declared.
    :param declared_id: the id that the replica declares; empty if it equals ``id``.
    :param born: when the replica started, in milliseconds of its own clock; 0 if not declared.
    """

    id: str
    service: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    draining: bool = False
    version: str = ""
    declared_id: str = ""
    born: int = 0

    @property
    def expected_id(self) -> str:
        """The id that the replica itself uses, the same for all its starts."""
        return self.declared_id or self.id

    @property
    def address(self) -> str:
        """``ip:port``."""
        return f"{self.ip}:{self.port}"


class Catalog(msgspec.Struct, frozen=True):
    """One version of the resources that operators declare.

    :param requires_keys: whether requests on routes that are not public need an API key.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = msgspec.field(default_factory=dict)
    teams: Mapping[str, Team] = msgspec.field(default_factory=dict)
    limits: RequestLimits = RequestLimits()
    requires_keys: bool = False
    _by_host: Mapping[str, tuple[Route, ...]] = msgspec.field(default_factory=dict)
    _by_key: Mapping[str, Team] = msgspec.field(default_factory=dict)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        longest_first = {
            host: tuple(sorted(routes, key=lambda each: -len(each.prefix)))
            for host, routes in by_host.items()
        }
        by_key = {key: team for team in self.teams.values() for key in team.keys}
        msgspec.structs.force_setattr(self, "_by_host", longest_first)
        msgspec.structs.force_setattr(self, "_by_key", by_key)

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route of a host with the longest prefix of a path; None if there is none.

        :param host: value of the ``Host`` header, with or without a port.
        :param path: the request target without its query.
        :rtype: Route or None
        """
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_team(self, key: str) -> Team | None:
        """Find the team of an API key; None if there is none.

        :rtype: Team or None
        """
        return self._by_key.get(key)


def combined_rank(route: Route, team: Team | None) -> int:
    """Combine the ranks of team and route; the route's rank decides among equal team ranks.

    Without a team rank, the route's rank takes its place.

    :return: the rank of the request; 0 is the most urgent.
    """
    first = route.rank if team is None or team.rank is None else team.rank
    return first * ROUTE_RANKS_PER_TEAM_RANK + route.rank


def pick_target(route: Route, point: float) -> str:
    """Pick the service of a request, in proportion to the weights of the targets.

    :param point: uniform in [0, 1), the same for all attempts of one request.
    :rtype: str
    """
    total = sum(target.weight for target in route.targets)
    if total <= 0:
        return route.targets[0].service
    left = point * total
    for target in route.targets:
        left -= target.weight
        if left < 0:
            return target.service
    return route.targets[-1].service
