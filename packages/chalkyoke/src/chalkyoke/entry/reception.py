"""
chalkyoke.entry.reception

Parses and validates a caller's headers and body into a typed request or a 4xx error. No I/O.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
import xxhash
from result import Err, Ok, Result

from chalkyoke.configuration.resources import Route, Service, Team
from chalkyoke.configuration.selectors import check_label
from chalkyoke.decoding.bounds import Integer
from chalkyoke.decoding.decoder import convert, decode_json
from chalkyoke.entry.messages import CallerRequest
from chalkyoke.scheduling.placement import BLOCK_TOKENS

# Assumed length of a prompt token, in characters: about the average in English text. A larger
# value estimates fewer tokens for a prompt, and so a shorter prefill; a smaller value estimates
# more tokens and a longer prefill.
CHARACTERS_PER_TOKEN = 4
# Length of a prompt block, in characters.
BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
# Maximum number of leading blocks of a prompt that are hashed; it keeps a message below half a
# kilobyte.
MAX_BLOCKS = 48
# Output limit in tokens that is assumed for a request without one.
DEFAULT_MAX_TOKENS = 256
# Longest deadline that a caller may set, in milliseconds: one hour.
MAX_DEADLINE_MS = 3_600_000
# Maximum number of labels of a request; routes match only a few.
MAX_LABELS = 16

TOKEN_HEADER = "Chalkyoke-Token"
EVENT_HEADER = "Chalkyoke-Event"
TIER_HEADER = "Chalkyoke-Tier"
DEADLINE_HEADER = "Chalkyoke-Deadline-Ms"
LABELS_HEADER = "Chalkyoke-Labels"
REPEATABLE_HEADER = "Chalkyoke-Repeatable"
IDEMPOTENCY_HEADER = "Idempotency-Key"


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A rejected request; it has changed no state.

    :param status: the HTTP status, 4xx.
    :param field: header or path of the invalid field.
    :param detail: the error text for the caller.
    """

    status: int
    field: str
    detail: str


class ConfigurationLookup:
    """Lookups in the active configuration that validation needs; the node implements them."""

    def team_of(self, key_sha256: str) -> Team | None:
        """Find a team by the SHA-256 of its key, in hexadecimal; None for an unknown key."""
        raise NotImplementedError

    def service(self, name: str) -> Service | None:
        """Find a service by its name; None for an unknown one."""
        raise NotImplementedError

    def route(self, service: str, labels: Mapping[str, str]) -> Route | None:
        """Find the route that matches a request's labels; None where none matches."""
        raise NotImplementedError

    def tier_deadline_s(self, tier: str) -> float | None:
        """Return a tier's default deadline in seconds; None for an unknown tier."""
        raise NotImplementedError

    def tier_urgency(self, tier: str) -> float:
        """Return the position of a tier among all, from 0 for the least urgent to 1."""
        raise NotImplementedError


class _CompletionBody(msgspec.Struct):
    model: str
    prompt: str = ""
    messages: list[dict[str, Any]] = []
    max_tokens: Integer = DEFAULT_MAX_TOKENS
    stream: bool = False


def _convert_body(found: dict[str, Any]) -> Result[_CompletionBody, str]:
    return convert(found, _CompletionBody)


def prompt_blocks(prompt: str) -> tuple[int, ...]:
    """Hash the leading blocks of a prompt; each hash includes the blocks before it.

    :return: one hash for each complete block.
    """
    blocks: list[int] = []
    seed = 0
    for start in range(0, min(len(prompt), MAX_BLOCKS * BLOCK_CHARACTERS), BLOCK_CHARACTERS):
        part = prompt[start : start + BLOCK_CHARACTERS]
        if len(part) < BLOCK_CHARACTERS:
            break
        seed = xxhash.xxh32_intdigest(part.encode(), seed)
        blocks.append(seed)
    return tuple(blocks)


def authenticate(
    headers: Mapping[str, str], configuration: ConfigurationLookup
) -> Result[Team, BadRequest]:
    """Find the team of the caller's bearer key.

    :param headers: with lower-case names.
    :rtype: Team, or BadRequest with status 401
    """
    scheme, _, key = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        return Err(BadRequest(401, "Authorization", "send the team's key: 'Bearer KEY'"))
    team = configuration.team_of(hashlib.sha256(key.strip().encode()).hexdigest())
    if team is None:
        return Err(BadRequest(401, "Authorization", "the key belongs to no team"))
    return Ok(team)


def read_urgency(
    headers: Mapping[str, str], team: Team, configuration: ConfigurationLookup
) -> float:
    """Read the urgency of a request from its head, before its route is known.

    :param headers: with lower-case names.
    :return: the position of its tier among all, from 0 for the least urgent to 1.
    """
    asked = headers.get(TIER_HEADER.lower())
    return configuration.tier_urgency(asked if asked in team.tiers else team.tiers[0])


def read_completion(
    headers: Mapping[str, str],
    path: str,
    body: bytes,
    team: Team,
    configuration: ConfigurationLookup,
) -> Result[CallerRequest, BadRequest]:
    """Parse and validate a request for a model engine.

    :param headers: with lower-case names.
    :rtype: CallerRequest or BadRequest
    """
    # The whole body is decoded, since it is encoded again for the upstream.
    read = decode_json(body, dict[str, Any]).and_then(_convert_body)
    if isinstance(read, Err):
        return Err(BadRequest(400, "body", read.err_value))
    parsed = read.ok_value
    if not parsed.prompt and not parsed.messages:
        return Err(BadRequest(400, "body.prompt", "give a prompt or messages"))
    if parsed.max_tokens < 1:
        return Err(BadRequest(400, "body.max_tokens", "must be at least 1"))

    prompt = parsed.prompt or "\n".join(str(each.get("content", "")) for each in parsed.messages)
    draft = _ParsedRequest(
        service=parsed.model,
        path=path,
        body=body,
        protocol="completions",
        stream=parsed.stream,
        prompt_tokens=len(prompt) // CHARACTERS_PER_TOKEN + 1,
        max_output=parsed.max_tokens,
        blocks=prompt_blocks(prompt),
    )
    return _build_request(headers, draft, team, configuration)


def read_plain(
    headers: Mapping[str, str],
    service: str,
    path: str,
    body: bytes,
    team: Team,
    configuration: ConfigurationLookup,
) -> Result[CallerRequest, BadRequest]:
    """Validate a request for a plain service.

    :param path: path at the upstream.
    :rtype: CallerRequest or BadRequest
    """
    draft = _ParsedRequest(service=service, path=path, body=body, protocol="plain")
    return _build_request(headers, draft, team, configuration)


@dataclass(frozen=True, slots=True)
class _ParsedRequest:
    service: str
    path: str
    body: bytes
    protocol: str
    stream: bool = False
    prompt_tokens: int = 1
    max_output: int = 0
    blocks: tuple[int, ...] = ()


def _build_request(
    headers: Mapping[str, str],
    draft: _ParsedRequest,
    team: Team,
    configuration: ConfigurationLookup,
) -> Result[CallerRequest, BadRequest]:
    service = configuration.service(draft.service)
    if service is None or service.protocol != draft.protocol:
        text = f"there is no service {draft.service!r} with protocol {draft.protocol!r}"
        return Err(BadRequest(404, "service", text))
    if len(draft.body) > service.max_body_bytes:
        text = f"larger than this service's {service.max_body_bytes} bytes"
        return Err(BadRequest(413, "body", text))

    labels = _read_labels(headers.get(LABELS_HEADER.lower(), ""))
    if isinstance(labels, Err):
        return labels
    merged = {**team.labels, **labels.ok_value, "team": team.name}
    route = configuration.route(draft.service, merged)
    if route is None:
        text = "no route of the service matches the request's labels"
        return Err(BadRequest(404, LABELS_HEADER, text))
    tier = _read_tier(headers, team, route)
    if isinstance(tier, Err):
        return tier
    budget = _read_budget(headers, configuration.tier_deadline_s(tier.ok_value))
    if isinstance(budget, Err):
        return budget
    repeatable = _read_repeatable(headers, service)
    if isinstance(repeatable, Err):
        return repeatable

    return Ok(
        CallerRequest(
            service=draft.service,
            team=team.name,
            tier=tier.ok_value,
            route=route.name,
            path=draft.path,
            content_type=headers.get("content-type", "application/json"),
            body=draft.body,
            labels=merged,
            budget_s=budget.ok_value,
            repeatable=repeatable.ok_value,
            stream=draft.stream,
            prompt_tokens=draft.prompt_tokens,
            max_output=draft.max_output,
            blocks=draft.blocks,
            held_token=TOKEN_HEADER.lower() in headers,
        )
    )


def _read_labels(text: str) -> Result[dict[str, str], BadRequest]:
    labels: dict[str, str] = {}
    for part in filter(None, (each.strip() for each in text.split(","))):
        name, separator, value = part.partition("=")
        if not separator:
            return Err(BadRequest(400, LABELS_HEADER, f"{part!r} is not name=value"))
        try:
            check_label(name.strip(), value.strip())
        except ValueError as error:
            return Err(BadRequest(400, LABELS_HEADER, str(error)))
        labels[name.strip()] = value.strip()
    if len(labels) > MAX_LABELS:
        return Err(BadRequest(400, LABELS_HEADER, f"more than {MAX_LABELS} labels"))
    if "team" in labels:
        return Err(BadRequest(400, LABELS_HEADER, "the label 'team' is set from the key"))
    return Ok(labels)


def _read_tier(headers: Mapping[str, str], team: Team, route: Route) -> Result[str, BadRequest]:
    asked = headers.get(TIER_HEADER.lower())
    if asked is not None and asked not in team.tiers:
        known = ", ".join(team.tiers)
        text = f"team {team.name!r} may use the tiers {known}"
        return Err(BadRequest(403, TIER_HEADER, text))
    return Ok(asked or route.tier or team.tiers[0])


def _read_budget(headers: Mapping[str, str], default_s: float | None) -> Result[float, BadRequest]:
    if default_s is None:
        return Err(BadRequest(400, TIER_HEADER, "there is no such tier"))
    text = headers.get(DEADLINE_HEADER.lower())
    if text is None:
        return Ok(default_s)
    try:
        milliseconds = int(text)
    except ValueError:
        return Err(BadRequest(400, DEADLINE_HEADER, "is no whole number of milliseconds"))
    if milliseconds <= 0:
        return Err(BadRequest(400, DEADLINE_HEADER, "the deadline has passed already"))
    if milliseconds > MAX_DEADLINE_MS:
        return Err(BadRequest(400, DEADLINE_HEADER, f"is more than {MAX_DEADLINE_MS} ms ahead"))
    return Ok(milliseconds / 1000)


def _read_repeatable(headers: Mapping[str, str], service: Service) -> Result[bool, BadRequest]:
    text = headers.get(REPEATABLE_HEADER.lower())
    if text not in (None, "true", "false"):
        return Err(BadRequest(400, REPEATABLE_HEADER, "is neither 'true' nor 'false'"))
    # A caller can forbid repeating a request of a repeatable service, but not allow it for others.
    repeatable = service.repeatable and text != "false"
    if not repeatable and IDEMPOTENCY_HEADER.lower() in headers:
        text = f"not supported for requests that may not be repeated; take a {TOKEN_HEADER} first"
        return Err(BadRequest(400, IDEMPOTENCY_HEADER, text))
    return Ok(repeatable)
