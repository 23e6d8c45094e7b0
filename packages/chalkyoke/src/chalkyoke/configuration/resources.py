"""
chalkyoke.configuration.resources

The resources that operators declare: service, tier, team, upstream class and route.
"""

import re
from collections.abc import Iterator, Mapping
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from result import Err, Ok, Result

from chalkyoke.configuration.selectors import Condition, Labelled, check_conditions
from chalkyoke.decoding.bounds import MAX_INTEGER

KINDS = ("service", "tier", "team", "upstream_class", "route")
NAME = re.compile(r"^[a-z][a-z0-9-]{0,62}$")
KEY_HASH = re.compile(r"^[0-9a-f]{64}$")

Selector = dict[str, Condition]


class Resource(BaseModel):
    """Base of all resources: a name, and no unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)

    name: str

    @field_validator("name")
    @classmethod
    def _check_name(cls, name: str) -> str:
        if not NAME.match(name):
            raise ValueError(
                "a name is lower case letters, digits and '-', and starts with a letter"
            )
        return name


class Tier(Resource):
    """A tier of requests; rank 0 has the highest priority and is shed last."""

    rank: int = Field(ge=0, le=15)
    default_deadline_s: float = Field(default=30.0, gt=0, le=3600)


class Team(Resource, Labelled):
    """A team; within a tier, teams share the upstreams in proportion to their weights.

    ``key_sha256`` has hashes only; the keys themselves are known to the team alone.
    """

    tiers: list[str] = Field(min_length=1)
    weight: float = Field(default=1.0, gt=0, le=1000)
    max_running: int = Field(default=0, ge=0, le=MAX_INTEGER)
    key_sha256: list[str] = Field(default_factory=list)

    @field_validator("key_sha256")
    @classmethod
    def _check_hashes(cls, hashes: list[str]) -> list[str]:
        for each in hashes:
            if not KEY_HASH.match(each):
                raise ValueError("a key hash is 64 lower case hexadecimal digits (SHA-256)")
        return hashes


class Service(Resource):
    """A service that callers request, and the selector of the upstreams that can serve it."""

    protocol: Literal["completions", "plain"]
    selector: Selector = Field(default_factory=dict)
    repeatable: bool = True
    upstreams_check_orders: bool = False
    max_body_bytes: int = Field(default=1_000_000, ge=1, le=16_000_000)
    max_answer_bytes: int = Field(default=4_000_000, ge=1, le=64_000_000)
    shards: int = Field(default=1, ge=1, le=64)
    caution: float = Field(default=0.65, ge=0.5, le=0.95)

    @field_validator("selector")
    @classmethod
    def _check_selector(cls, selector: Selector) -> Selector:
        check_conditions(selector)
        return selector


class UpstreamClass(Resource, Labelled):
    """Upstreams of one kind: the labels to add, and initial estimates of their capacity."""

    selector: Selector
    slots: int = Field(ge=1, le=4096)
    prefill_tokens_per_s: float = Field(default=1000.0, gt=0)
    decode_tokens_per_s: float = Field(default=30.0, gt=0)
    batch_slowdown: float = Field(default=1.5, ge=1)
    cache_blocks: int = Field(default=0, ge=0, le=MAX_INTEGER)

    @field_validator("selector")
    @classmethod
    def _check_selector(cls, selector: Selector) -> Selector:
        check_conditions(selector)
        return selector


class Route(Resource):
    """A rule that sends the matching requests of a service to a subset of its upstreams."""

    service: str
    match: Selector = Field(default_factory=dict)
    upstreams: Selector = Field(default_factory=dict)
    tier: str | None = None

    @field_validator("match", "upstreams")
    @classmethod
    def _check_selector(cls, selector: Selector) -> Selector:
        check_conditions(selector)
        return selector


MODELS: dict[str, type[Resource]] = {
    "service": Service,
    "tier": Tier,
    "team": Team,
    "upstream_class": UpstreamClass,
    "route": Route,
}


class Problem(BaseModel):
    """One error in a document, with the path of its field."""

    path: str
    message: str


class Resources(BaseModel):
    """All resources of a fleet at one revision, by kind and name."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    service: dict[str, Service] = Field(default_factory=dict)
    tier: dict[str, Tier] = Field(default_factory=dict)
    team: dict[str, Team] = Field(default_factory=dict)
    upstream_class: dict[str, UpstreamClass] = Field(default_factory=dict)
    route: dict[str, Route] = Field(default_factory=dict)

    def items(self) -> Iterator[tuple[str, str, Resource]]:
        """Iterate over all resources as (kind, name, resource)."""
        for kind in KINDS:
            for name, resource in getattr(self, kind).items():
                yield kind, name, resource


Specs = dict[tuple[str, str], dict[str, Any]]
Built = tuple[Specs, Resources]


def read_document(document: Mapping[str, Any]) -> Result[Specs, list[Problem]]:
    """Check a parsed configuration file, which has a list of tables for each kind.

    :param document: the parsed TOML or JSON.
    :return: specs by (kind, name) without fields that have their default, or all errors.
    """
    specs: Specs = {}
    problems: list[Problem] = []
    for kind, entries in document.items():
        if kind not in MODELS:
            known = ", ".join(KINDS)
            problems.append(Problem(path=kind, message=f"unknown kind; known are {known}"))
            continue
        if not isinstance(entries, list):
            problems.append(Problem(path=kind, message=f"write [[{kind}]]: a list of tables"))
            continue
        for index, entry in enumerate(entries):
            checked = check_spec(kind, entry, f"{kind}[{index}]")
            if isinstance(checked, Err):
                problems += checked.err_value
                continue
            name = checked.ok_value["name"]
            if (kind, name) in specs:
                problems.append(Problem(path=f"{kind}[{index}].name", message=f"{name!r} is twice"))
            specs[kind, name] = checked.ok_value
    return Err(problems) if problems else Ok(specs)


def check_spec(kind: str, entry: object, path: str) -> Result[dict[str, Any], list[Problem]]:
    """Check one resource.

    :param path: path of the resource in the document, for error reports.
    :return: the spec without fields that have their default, or all errors.
    """
    try:
        resource = MODELS[kind].model_validate(entry)
    except ValidationError as error:
        return Err(
            [
                Problem(path=".".join([path, *map(str, each["loc"])]), message=each["msg"])
                for each in error.errors()
            ]
        )
    return Ok(resource.model_dump(exclude_defaults=True, by_alias=True))


def build_resources(specs: Specs, earlier: Built | None = None) -> Result[Resources, list[Problem]]:
    """Build a fleet's resources and check the references between them.

    :param specs: specs by (kind, name), as in :func:`read_document`.
    :param earlier: earlier specs with the resources built from them; resources with an unchanged
        spec are reused.
    :return: the resources, or all errors.
    """
    earlier_specs, earlier_resources = earlier or ({}, Resources())
    grouped: dict[str, dict[str, Any]] = {kind: {} for kind in KINDS}
    for (kind, name), spec in specs.items():
        is_unchanged = earlier_specs.get((kind, name)) == spec
        grouped[kind][name] = getattr(earlier_resources, kind)[name] if is_unchanged else spec
    try:
        resources = Resources.model_validate(grouped)
    except ValidationError as error:
        return Err(
            [
                Problem(path=".".join(map(str, each["loc"])), message=each["msg"])
                for each in error.errors()
            ]
        )
    problems = _check_references(resources)
    return Err(problems) if problems else Ok(resources)


def _check_references(resources: Resources) -> list[Problem]:
    problems: list[Problem] = []
    for name, team in resources.team.items():
        problems += [
            Problem(path=f"team.{name}.tiers", message=f"there is no tier {tier!r}")
            for tier in team.tiers
            if tier not in resources.tier
        ]
    for name, route in resources.route.items():
        if route.service not in resources.service:
            text = f"there is no service {route.service!r}"
            problems.append(Problem(path=f"route.{name}.service", message=text))
        if route.tier is not None and route.tier not in resources.tier:
            text = f"there is no tier {route.tier!r}"
            problems.append(Problem(path=f"route.{name}.tier", message=text))
    ranks: dict[int, str] = {}
    for name, tier in resources.tier.items():
        if tier.rank in ranks:
            text = f"rank {tier.rank} is that of tier {ranks[tier.rank]!r} too"
            problems.append(Problem(path=f"tier.{name}.rank", message=text))
        ranks[tier.rank] = name
    return problems
