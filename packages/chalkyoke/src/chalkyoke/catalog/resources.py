"""
chalkyoke.catalog.resources

The declared resources. Everything here is immutable; one request is judged by one catalog.
"""

from collections.abc import Mapping
from enum import StrEnum

import msgspec

# Ranks of routes that fit below one rank of teams: a team's rank goes first.
ROUTE_RANKS_PER_TEAM_RANK = 100


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True):
    """A service that takes a share of a route's requests, by weight."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """One route: host and path prefix to one or several services.

    :param goal_s: the time within which an answer, or its first event, has its full worth.
    :param gap_goal_s: the longest pause between events with which a stream is in time.
    :param attempts: the greatest number of replicas that one request may be sent to.
    :param rank: 0 is the most urgent.
    :param public: whether requests need no key.
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
        """Whether a request may be run more than once.

        :rtype: bool
        """
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def is_stream(self) -> bool:
        """Whether answers are series of events.

        :rtype: bool
        """
        return self.kind is RouteKind.STREAM


class Service(msgspec.Struct, frozen=True):
    """One service.

    :param max_connections: connections that each replica accepts, from all nodes together.
    :param engine_slots: requests that each replica runs at once, for a model engine; else 0.
    :param cache_tokens: prompt and output tokens that each replica holds in memory.
    :param tokens_per_event: output tokens in one event of a stream.
    """

    name: str
    max_connections: int = 100
    engine_slots: int = 0
    cache_tokens: int = 0
    tokens_per_event: int = 1

    @property
    def is_engine(self) -> bool:
        """Whether requests go through the pool's queue.

        :rtype: bool
        """
        return self.engine_slots > 0


class Team(msgspec.Struct, frozen=True):
    """One team: its keys, its rank and its quota.

    :param rank: goes before the route's, where given.
    :param rate_per_s: cost allowed each second, over all nodes; 0 is no limit.
    :param by_tokens: whether a request costs its tokens; else it costs 1.
    :param default_cost: cost of a request that names no tokens.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    by_tokens: bool = False
    default_cost: float = 1.0


class RequestLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take or rest."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Replica(msgspec.Struct, frozen=True):
    """One replica as it declares itself.

    :param id: of this start. A replica that starts again under the id that it had holds and knows
        nothing of before; all that is kept by this id is forgotten with the start before.
    :param draining: whether it has announced its end.
    :param version: of its software; empty where it names none.
    :param declared_id: its id as it declares it; empty where that is ``id``.
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

    @property
    def expected_id(self) -> str:
        """The id by which the replica knows itself, the same at each of its starts."""
        return self.declared_id or self.id

    @property
    def address(self) -> str:
        """``ip:port``."""
        return f"{self.ip}:{self.port}"


class Catalog(msgspec.Struct, frozen=True):
    """One version of everything that operators declare.

    :param requires_keys: whether requests on routes that are not public need a key.
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
        """Find the route with the longest prefix of a path.

        :param host: the ``Host`` header, with or without a port.
        :param path: the target without its query.
        :rtype: Route or None
        """
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_team(self, key: str) -> Team | None:
        """Find the team that holds a key.

        :rtype: Team or None
        """
        return self._by_key.get(key)


def combined_rank(route: Route, team: Team | None) -> int:
    """Rank a request: the team's rank goes before the route's, which decides among equals.

    :return: 0 is the most urgent.
    """
    first = route.rank if team is None or team.rank is None else team.rank
    return first * ROUTE_RANKS_PER_TEAM_RANK + route.rank


def pick_target(route: Route, point: float) -> str:
    """Pick the service of a request.

    :param point: uniform in [0, 1), the same for one request each time.
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
