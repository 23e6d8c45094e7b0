"""
chalkyoke.platform.documents

The documents in the platform's store: configuration, replicas, roll-out orders and statuses.
"""

import ipaddress
from typing import Annotated, Literal

import msgspec
from result import Err, Ok, Result

from chalkyoke.catalog.resources import (
    Catalog,
    Replica,
    RequestLimits,
    Route,
    RouteKind,
    Service,
    Target,
    Team,
)
from chalkyoke.rollouts.resources import RolloutOrder, RolloutState, RolloutStatus
from chalkyoke.storage.messages import Item

CONFIGURATION_KEY = "op/config"
REPLICAS_PREFIX = "servers/"
ROLLOUT_ORDERS_PREFIX = "op/rollout/"
ROLLOUT_STATUSES_PREFIX = "status/rollout/"
DRAINING = "draining"
TOKENS = "tokens"
# Maximum number of requests at once in a replica record, above that of any real replica. A record
# with more comes from a foreign writer and would attract all requests of its service.
MAX_SLOTS = 10_000
PORTS = range(1, 65_536)


class _Struct(msgspec.Struct, rename=lambda name: name.replace("_", "-"), omit_defaults=True):
    pass


class _Target(_Struct):
    service: str
    weight: float = 1.0


class _Route(_Struct):
    name: str
    host: str
    path_prefix: str
    kind: str = RouteKind.NON_IDEMPOTENT
    timeout_ms: float = 30_000
    goal_ms: float = 1_000
    gap_goal_ms: float = 0
    priority: int = 0
    service: str = ""
    split: list[_Target] = []
    attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Engine(_Struct):
    slots: int = 1
    kv_capacity: int = 0
    stride: int = 1


class _Service(_Struct):
    name: str
    max_conns: int = 100
    engine: _Engine | None = None


class _Limits(_Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Tenant(_Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = ""
    plain_tokens: float = 1
    rate_per_s: float = 0
    burst: float = 0


class _Configuration(_Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Server(_Struct):
    """A replica record. A record without one of the required fields comes from a foreign writer."""

    service: str
    addr: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    version: int | float | str = ""
    seq: int = 0
    cold_left_ms: float = 0
    born: int = 0


class _Rollout(_Struct):
    to_version: int | float | str
    over_s: float
    service: str = ""


class _RolloutStatus(_Struct):
    state: str
    to_version: int | float | str


Record = Replica | RolloutOrder | RolloutStatus


def read_catalog(document: bytes) -> Result[Catalog, str]:
    """Parse the operators' configuration, or return why it can't be parsed."""
    try:
        found = msgspec.json.decode(document, type=_Configuration)
    except msgspec.MsgspecError as error:
        return Err(str(error))
    return Ok(
        Catalog(
            version=found.version,
            routes=tuple(_make_route(each) for each in found.routes),
            services={each.name: _make_service(each) for each in found.services},
            teams={each.name: _make_team(each) for each in found.tenants or ()},
            limits=RequestLimits(
                found.limits.max_header_bytes,
                found.limits.max_body_bytes,
                found.limits.header_timeout_ms / 1000,
                found.limits.idle_timeout_ms / 1000,
            ),
            requires_keys=found.tenants is not None,
        )
    )


def read_record(item: Item) -> Result[Record, str]:
    """Parse a record of the kind that its key indicates, or return why it can't be parsed."""
    if item.key.startswith(ROLLOUT_ORDERS_PREFIX):
        return _read_order(item)
    if item.key.startswith(ROLLOUT_STATUSES_PREFIX):
        return _read_status(item)
    return read_replica(item)


def write_status(order: RolloutOrder, state: RolloutState) -> tuple[str, bytes]:
    """Return a roll-out status's key and document, with the version as the order spells it."""
    status = _RolloutStatus(str(state), order.written_version)
    return ROLLOUT_STATUSES_PREFIX + order.service, msgspec.json.encode(status)


def _read_order(item: Item) -> Result[Record, str]:
    try:
        found = msgspec.json.decode(item.value, type=_Rollout)
    except msgspec.MsgspecError as error:
        return Err(str(error))
    service = item.key.removeprefix(ROLLOUT_ORDERS_PREFIX)
    if found.service not in ("", service):
        return Err(f"the order is for service {found.service!r}")
    if not found.over_s > 0:
        return Err(f"over-s is not positive: {found.over_s:g} s")
    version = str(found.to_version)
    return Ok(RolloutOrder(service, version, found.to_version, found.over_s, item.revision))


def _read_status(item: Item) -> Result[Record, str]:
    try:
        found = msgspec.json.decode(item.value, type=_RolloutStatus)
        state = RolloutState(found.state)
    except (msgspec.MsgspecError, ValueError) as error:
        return Err(str(error))
    service = item.key.removeprefix(ROLLOUT_STATUSES_PREFIX)
    return Ok(RolloutStatus(service, str(found.to_version), state, item.revision))


def read_replica(item: Item) -> Result[Record, str]:
    """Parse a replica record, or return why it can't be parsed."""
    name = item.key.removeprefix(REPLICAS_PREFIX)
    try:
        found = msgspec.json.decode(item.value, type=_Server)
        ip, _, port = found.addr.rpartition(":")
        ipaddress.IPv4Address(ip)
        number = int(port)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Err(str(error))
    if not name or number not in PORTS:
        return Err(f"invalid replica id {name!r} or port {number}")
    return Ok(
        Replica(
            id=f"{name}/{found.born}" if found.born else name,
            service=found.service,
            ip=ip,
            port=number,
            failure_domain=found.zone,
            slots=found.slots,
            draining=found.state == DRAINING,
            version=str(found.version),
            declared_id=name,
            born=found.born,
        )
    )


def _make_route(each: _Route) -> Route:
    targets = tuple(Target(part.service, part.weight) for part in each.split)
    return Route(
        name=each.name,
        host=each.host,
        prefix=each.path_prefix,
        targets=targets or (Target(each.service, 1.0),),
        kind=RouteKind(each.kind),
        timeout_s=each.timeout_ms / 1000,
        goal_s=each.goal_ms / 1000,
        gap_goal_s=each.gap_goal_ms / 1000,
        attempts=each.attempts,
        rank=each.priority,
        public=each.public,
        resumable=each.resumable,
    )


def _make_service(each: _Service) -> Service:
    engine = each.engine or _Engine(slots=0)
    return Service(each.name, each.max_conns, engine.slots, engine.kv_capacity, engine.stride)


def _make_team(each: _Tenant) -> Team:
    return Team(
        name=each.name,
        keys=tuple(each.api_keys),
        rank=each.priority,
        rate_per_s=each.rate_per_s,
        burst=each.burst,
        by_tokens=each.unit == TOKENS,
        default_cost=each.plain_tokens if each.unit == TOKENS else 1.0,
    )
