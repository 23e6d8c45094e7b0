"""
chalkyoke.platform.documents

The documents in the platform's store: configuration, replicas, roll-out orders and statuses.
"""

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
from chalkyoke.decoding import bounds
from chalkyoke.decoding.addresses import parse_address
from chalkyoke.decoding.bounds import Amount, Count, Milliseconds, Rank, Version
from chalkyoke.decoding.decoder import decode_json
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


class _Struct(msgspec.Struct, rename=lambda name: name.replace("_", "-"), omit_defaults=True):
    pass


class _Target(_Struct):
    service: str
    weight: Amount = 1.0


class _Route(_Struct):
    name: str
    host: str
    path_prefix: str
    kind: RouteKind = RouteKind.NON_IDEMPOTENT
    timeout_ms: Milliseconds = 30_000
    goal_ms: Milliseconds = 1_000
    gap_goal_ms: Milliseconds = 0
    priority: Rank = 0
    service: str = ""
    split: list[_Target] = []
    attempts: bounds.Attempts = 1
    public: bool = False
    resumable: bool = False


class _Engine(_Struct):
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)] = 1
    kv_capacity: Count = 0
    stride: Count = 1


class _Service(_Struct):
    name: str
    max_conns: Count = 100
    engine: _Engine | None = None


class _Limits(_Struct):
    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 4_194_304
    header_timeout_ms: Milliseconds = 3_000
    idle_timeout_ms: Milliseconds = 15_000


class _Tenant(_Struct):
    name: str
    api_keys: list[str] = []
    priority: Rank | None = None
    unit: str = ""
    plain_tokens: Amount = 1
    rate_per_s: Amount = 0
    burst: Amount = 0


class _Configuration(_Struct):
    version: Count
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
    version: Version = ""
    seq: Count = 0
    cold_left_ms: bounds.Decimal = 0
    born: Count = 0


class _Rollout(_Struct):
    to_version: Version
    over_s: bounds.PositiveSeconds
    service: str = ""


class _RolloutStatus(_Struct):
    state: RolloutState
    to_version: Version


Record = Replica | RolloutOrder | RolloutStatus


def read_catalog(document: bytes) -> Result[Catalog, str]:
    """Parse the operators' configuration, or return why it can't be parsed."""
    return decode_json(document, _Configuration).map(_make_catalog)


def read_record(item: Item) -> Result[Record, str]:
    """Parse a record of the kind that its key indicates, or return why it can't be parsed."""
    if item.key.startswith(ROLLOUT_ORDERS_PREFIX):
        return _read_order(item)
    if item.key.startswith(ROLLOUT_STATUSES_PREFIX):
        return _read_status(item)
    return read_replica(item)


def write_status(order: RolloutOrder, state: RolloutState) -> tuple[str, bytes]:
    """Return a roll-out status's key and document, with the version as the order spells it."""
    status = _RolloutStatus(state, order.written_version)
    return ROLLOUT_STATUSES_PREFIX + order.service, msgspec.json.encode(status)


def _read_order(item: Item) -> Result[Record, str]:
    service = item.key.removeprefix(ROLLOUT_ORDERS_PREFIX)
    read = decode_json(item.value, _Rollout)
    if isinstance(read, Err):
        return read
    found = read.ok_value
    if found.service not in ("", service):
        return Err("the order names another service than its key")
    version = str(found.to_version)
    return Ok(RolloutOrder(service, version, found.to_version, found.over_s, item.revision))


def _read_status(item: Item) -> Result[Record, str]:
    service = item.key.removeprefix(ROLLOUT_STATUSES_PREFIX)
    return decode_json(item.value, _RolloutStatus).map(
        lambda found: RolloutStatus(service, str(found.to_version), found.state, item.revision)
    )


def read_replica(item: Item) -> Result[Record, str]:
    """Parse a replica record, or return why it can't be parsed."""
    name = item.key.removeprefix(REPLICAS_PREFIX)
    read = decode_json(item.value, _Server)
    if isinstance(read, Err):
        return read
    found = read.ok_value
    address = parse_address(found.addr)
    if not name or address is None:
        return Err("the key names no replica" if not name else "invalid address")
    return Ok(
        Replica(
            id=f"{name}/{found.born}" if found.born else name,
            service=found.service,
            ip=address.ip,
            port=address.port,
            failure_domain=found.zone,
            slots=found.slots,
            draining=found.state == DRAINING,
            version=str(found.version),
            declared_id=name,
            born=found.born,
        )
    )


def _make_catalog(found: _Configuration) -> Catalog:
    return Catalog(
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


def _make_route(each: _Route) -> Route:
    targets = tuple(Target(part.service, part.weight) for part in each.split)
    return Route(
        name=each.name,
        host=each.host,
        prefix=each.path_prefix,
        targets=targets or (Target(each.service, 1.0),),
        kind=each.kind,
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
