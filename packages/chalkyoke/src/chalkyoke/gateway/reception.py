"""
chalkyoke.gateway.reception

Judge a request by the catalog in force: its route, its team, its limits of time. Pure functions.
"""

import msgspec
import xxhash

from chalkyoke.catalog.resources import (
    Catalog,
    Route,
    Service,
    Team,
    combined_rank,
    pick_target,
)
from chalkyoke.gateway.ports import RequestFields
from chalkyoke.http1.messages import Request, find_header

# Prompts are compared in blocks of so many tokens: what an engine reads in some 8 ms, and a few
# names in a message for the longest prompts.
BLOCK_TOKENS = 256
# As many values as the hash of a request's id has: it becomes a point in [0, 1).
HASH_VALUES = 2.0**64
# A caller gives a stream up after a gap of the longest of so many goals, so many of its longest
# pauses, and so many seconds: the operators' rule.
PATIENCE_GOALS = 4.0
PATIENCE_GAP_GOALS = 8.0
MIN_PATIENCE_S = 2.0
# The most output that a request is taken to ask for where it names none, in tokens.
DEFAULT_OUTPUT_TOKENS = 1_000


class Rejection(msgspec.Struct, frozen=True):
    """A request that is refused as it stands.

    :param status: 400, 401, 404 or 503.
    """

    status: int
    reason: str


class Admission(msgspec.Struct, frozen=True):
    """A request that may be passed on.

    :param version: version of the catalog that judged it.
    :param rank: 0 is the most urgent.
    :param cost: what it counts in its team's quota.
    :param ends: when its caller or the route's limit ends it, on the node's clock.
    :param due: when its answer, or its first event, is due.
    :param patience: when the caller of a stream gives up if no event has come.
    """

    request_id: str
    fields: RequestFields
    route: Route
    service: Service
    team: Team | None
    version: int
    rank: int
    cost: float
    arrived_at: float
    deadline: float
    due_at: float
    patience_until: float

    @property
    def urgency(self) -> int:
        """How urgent the request is among those of its team; 0 is the most."""
        return self.route.rank


def admit_request(
    request: Request, fields: RequestFields, catalog: Catalog, now: float
) -> Admission | Rejection:
    """Judge a request.

    :param now: seconds on the node's clock.
    """
    if catalog.version == 0:
        return Rejection(503, "no configuration yet")
    if not fields.request_id:
        return Rejection(400, "no request id")
    host = (find_header(request.headers, b"host") or b"").decode("latin-1")
    path = request.target.partition(b"?")[0].decode("latin-1")
    route = catalog.find_route(host, path)
    if route is None:
        return Rejection(404, "no route")
    team = catalog.find_team(fields.key) if fields.key else None
    if team is None and catalog.requires_keys and not route.public:
        return Rejection(401, "unknown key")
    service = catalog.services.get(pick_target(route, _hash_to_unit_interval(fields.request_id)))
    if service is None:
        return Rejection(404, "no service")
    return _build_admission(fields, route, service, team, catalog.version, now)


def is_still_allowed(admission: Admission, catalog: Catalog) -> bool:
    """Tell whether a newer catalog still lets an admitted request go where it was to go.

    :rtype: bool
    """
    if catalog.version == admission.version:
        return True
    key = admission.fields.key
    if admission.team is not None:
        team = catalog.find_team(key) if key else None
        if team is None or team.name != admission.team.name:
            return False
    route = admission.route
    found = catalog.find_route(route.host, route.prefix)
    if found is None or found.prefix != route.prefix:
        return False
    return any(target.service == admission.service.name for target in found.targets)


def prompt_blocks(fields: RequestFields) -> tuple[int, ...]:
    """Cut a prompt's parts into blocks of one size, named alike in requests that share them.

    :rtype: tuple[int, ...]
    """
    blocks: list[int] = []
    for part in fields.parts:
        count = round(part.tokens / BLOCK_TOKENS)
        blocks += (
            xxhash.xxh32_intdigest(f"{part.id:x}/{number}".encode()) for number in range(count)
        )
    return tuple(blocks)


def fingerprint(admission: Admission) -> int:
    """Name what a request is about, the same for each attempt of its caller.

    :return: 0 where nothing tells it from others.
    """
    fields = admission.fields
    if not fields.parts:
        return 0
    team = admission.team.name if admission.team else ""
    parts = ",".join(f"{part.id:x}:{part.tokens}" for part in fields.parts)
    text = f"{team}|{admission.route.name}|{fields.max_output_tokens}|{parts}"
    return xxhash.xxh64_intdigest(text.encode()) >> 1


def _build_admission(
    fields: RequestFields,
    route: Route,
    service: Service,
    team: Team | None,
    version: int,
    now: float,
) -> Admission:
    deadline = route.timeout_s if fields.deadline_s is None else fields.deadline_s
    ends = now + min(deadline, route.timeout_s)
    patience = ends
    if route.is_stream:
        gaps = max(
            MIN_PATIENCE_S, PATIENCE_GOALS * route.goal_s, PATIENCE_GAP_GOALS * route.gap_goal_s
        )
        patience = min(ends, now + gaps)
    return Admission(
        request_id=fields.request_id,
        fields=fields,
        route=route,
        service=service,
        team=team,
        version=version,
        rank=combined_rank(route, team),
        cost=_quota_cost(fields, team),
        arrived_at=now,
        deadline=ends,
        due_at=now + route.goal_s,
        patience_until=patience,
    )


def _quota_cost(fields: RequestFields, team: Team | None) -> float:
    if team is None or not team.by_tokens:
        return 1.0
    tokens = fields.prompt_tokens + fields.max_output_tokens
    return float(tokens) if tokens else team.default_cost


def _hash_to_unit_interval(request_id: str) -> float:
    return xxhash.xxh64_intdigest(request_id.encode()) / HASH_VALUES
