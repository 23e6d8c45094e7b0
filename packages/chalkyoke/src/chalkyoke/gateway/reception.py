"""
chalkyoke.gateway.reception

Admit or reject a request by the current catalog: its route, team and time limits. Pure functions.
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

# Size of the blocks in which prompts are compared, in tokens. An engine reads a block in some 8 ms,
# and the longest prompts have few enough blocks to list in a message.
BLOCK_TOKENS = 256
# Highest number of blocks of one prompt that are compared, 2 million tokens: the header states any
# number, and the loop over the blocks blocks the node.
MAX_PROMPT_BLOCKS = 8192
# Number of values of a 64-bit hash, to map the hash of a request id to [0, 1).
HASH_VALUES = 2.0**64
# By the operators' rule, the caller of a stream gives up after a gap of the longest of this many
# goals, this many gap goals, and this many seconds.
PATIENCE_GOALS = 4.0
PATIENCE_GAP_GOALS = 8.0
MIN_PATIENCE_S = 2.0
# Highest output assumed for a request that states no maximum, in tokens.
DEFAULT_OUTPUT_TOKENS = 1_000


class Rejection(msgspec.Struct, frozen=True):
    """A request that is rejected before admission.

    :param status: HTTP status 400, 401, 404 or 503.
    """

    status: int
    reason: str


class Admission(msgspec.Struct, frozen=True):
    """A request that may be forwarded. Times are on the node's clock.

    :param search_id: names the request in messages to schedulers. Callers may give several requests
        one ``request_id``, but no two requests of the fleet have the same ``search_id``.
    :param version: version of the catalog that admitted the request.
    :param rank: combined rank of team and route; 0 is the most urgent.
    :param cost: cost charged to the quota of the request's team.
    :param arrived_at: when the request arrived.
    :param deadline: when the caller's deadline or the route's timeout ends the request.
    :param due_at: when the answer, or its first event, is due.
    :param patience_until: when the caller of a stream gives up if no event has been received.
    """

    request_id: str
    search_id: str
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
    def rank_in_team(self) -> int:
        """Rank of the request among those of its team; 0 is the most urgent."""
        return self.route.rank


def admit_request(
    request: Request, fields: RequestFields, catalog: Catalog, now: float, search_id: str
) -> Admission | Rejection:
    """Admit or reject a request by the catalog.

    :param search_id: unique name of the request in the fleet.
    :param now: time on the node's clock, in seconds.
    """
    if catalog.version == 0:
        return Rejection(503, "no configuration yet")
    if not fields.request_id:
        return Rejection(400, "no request id")
    if fields.contradictory:
        return Rejection(400, "contradictory headers")
    host = (find_header(request.headers, b"host") or b"").decode("latin-1")
    path = request.target.partition(b"?")[0].decode("latin-1")
    route = catalog.find_route(host, path)
    if route is None:
        return Rejection(404, "no route")
    team = catalog.find_team(fields.key) if fields.key else None
    if team is None and catalog.requires_keys and not route.public:
        return Rejection(401, "unknown key")
    # Where a route splits its traffic, a stream is resumed at the service that began it.
    first_attempt = (route.resumable and fields.resumes) or fields.request_id
    service = catalog.services.get(pick_target(route, _hash_to_unit_interval(first_attempt)))
    if service is None:
        return Rejection(404, "no service")
    return _build_admission(fields, search_id, route, service, team, catalog.version, now)


def admit_continuation(admission: Admission, last_event_at: float, now: float) -> Admission:
    """Return the admission of a stream that has begun, with the limits of its next event.

    The caller waits for it as long as for the first one, from the last one that it has received.
    Its goal is to arrive before the caller leaves: no pause can be made good any more. A caller
    that is still there after that time waits until the deadline.

    :param last_event_at: when the last event was forwarded, on the node's clock.
    :param now: time on the node's clock, in seconds.
    :rtype: Admission
    """
    latest = last_event_at + admission.patience_until - admission.arrived_at
    if latest <= now:
        latest = admission.deadline
    latest = min(admission.deadline, latest)
    return msgspec.structs.replace(admission, due_at=latest, patience_until=latest)


def is_still_allowed(admission: Admission, catalog: Catalog) -> bool:
    """Return whether a newer catalog still allows an admitted request to go to its service.

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
    """Return a hash for each block of a prompt's parts; shared parts have equal hashes.

    Blocks beyond :data:`MAX_PROMPT_BLOCKS` are left out.

    :rtype: tuple[int, ...]
    """
    blocks: list[int] = []
    for part in fields.parts:
        left = MAX_PROMPT_BLOCKS - len(blocks)
        count = min(left, round(min(part.tokens, MAX_PROMPT_BLOCKS * BLOCK_TOKENS) / BLOCK_TOKENS))
        blocks += (
            xxhash.xxh32_intdigest(f"{part.id:x}/{number}".encode()) for number in range(count)
        )
    return tuple(blocks)


def fingerprint(admission: Admission) -> int:
    """Return a hash of the request's content, equal for all attempts of its caller.

    The hash covers the team, the route, the highest output and the prompt parts.

    :return: 0 if the request has no prompt parts that distinguish it from others.
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
    search_id: str,
    route: Route,
    service: Service,
    team: Team | None,
    version: int,
    now: float,
) -> Admission:
    deadline = route.timeout_s if fields.deadline_s is None else fields.deadline_s
    ends_at = now + min(deadline, route.timeout_s)
    patience = ends_at
    if route.is_stream:
        gaps = max(
            MIN_PATIENCE_S, PATIENCE_GOALS * route.goal_s, PATIENCE_GAP_GOALS * route.gap_goal_s
        )
        patience = min(ends_at, now + gaps)
    return Admission(
        request_id=fields.request_id,
        search_id=search_id,
        fields=fields,
        route=route,
        service=service,
        team=team,
        version=version,
        rank=combined_rank(route, team),
        cost=_quota_cost(fields, team),
        arrived_at=now,
        deadline=ends_at,
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
