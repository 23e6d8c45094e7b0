"""
chalkyoke.entry.messages

A caller's request as the entry process keeps it, and how a retry is handed to its issuer.
"""

import msgspec

from chalkyoke.outcomes import Refusal


class CallerRequest(msgspec.Struct, frozen=True, array_like=True):
    """One request of a caller, checked.

    :param path: path at the upstream.
    :param labels: the request's labels over those of its team.
    :param budget_s: time that the caller gives it, in seconds.
    :param repeatable: whether running it twice would do no harm.
    :param held_token: whether the caller took the token first, and so may come back with it.
    """

    service: str
    team: str
    tier: str
    route: str
    path: str
    content_type: str
    body: bytes
    labels: dict[str, str]
    budget_s: float
    repeatable: bool
    stream: bool
    prompt_tokens: int
    max_output: int
    blocks: tuple[int, ...]
    held_token: bool = False


class AnswerHead(msgspec.Struct, frozen=True, array_like=True):
    """The start of an answer."""

    status: int
    content_type: str


class Forward(msgspec.Struct, frozen=True, array_like=True, tag="forward"):
    """Hand a retry to the process that issued its token; the answer comes on the same stream."""

    token: str
    request: CallerRequest


class ForwardHead(msgspec.Struct, frozen=True, array_like=True, tag="forward_head"):
    """The issuer's answer starts."""

    head: AnswerHead


class ForwardChunk(msgspec.Struct, frozen=True, array_like=True, tag="forward_chunk"):
    """A piece of the issuer's answer."""

    data: bytes


class ForwardEnd(msgspec.Struct, frozen=True, array_like=True, tag="forward_end"):
    """The issuer's answer is whole, or was refused.

    :param problem: a fault of the request itself, which changed nothing.
    """

    refusal: Refusal | None = None
    problem: str = ""


ForwardMessage = Forward | ForwardHead | ForwardChunk | ForwardEnd
