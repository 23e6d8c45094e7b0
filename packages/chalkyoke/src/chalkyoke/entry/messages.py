"""
chalkyoke.entry.messages

A validated caller request, and the messages that forward a retry to the issuer of its token.
"""

import msgspec

from chalkyoke.decoding.bounds import Finite, Integer
from chalkyoke.outcomes import Refusal


class CallerRequest(msgspec.Struct, frozen=True, array_like=True):
    """A validated request of a caller.

    :param path: path at the upstream.
    :param labels: labels of the request, merged over those of its team.
    :param budget_s: time from arrival to the caller's deadline, in seconds.
    :param repeatable: whether running the request twice does no harm.
    :param prompt_tokens: estimated size of the prompt, in tokens.
    :param max_output: limit on the output, in tokens; 0 for a plain request.
    :param blocks: chained hashes of the prompt's leading blocks.
    :param held_token: whether the caller obtained a token beforehand and so may come back with it.
    """

    service: str
    team: str
    tier: str
    route: str
    path: str
    content_type: str
    body: bytes
    labels: dict[str, str]
    budget_s: Finite
    repeatable: bool
    stream: bool
    prompt_tokens: Integer
    max_output: Integer
    blocks: tuple[int, ...]
    held_token: bool = False


class AnswerHead(msgspec.Struct, frozen=True, array_like=True):
    """HTTP status and content type of an answer."""

    status: Integer
    content_type: str


class Forward(msgspec.Struct, frozen=True, array_like=True, tag="forward"):
    """Forward a retry to the process that issued its token.

    The answer arrives on the same connection.
    """

    token: str
    request: CallerRequest


class ForwardHead(msgspec.Struct, frozen=True, array_like=True, tag="forward_head"):
    """Start the issuer's answer."""

    head: AnswerHead


class ForwardChunk(msgspec.Struct, frozen=True, array_like=True, tag="forward_chunk"):
    """Carry a chunk of the issuer's answer."""

    data: bytes


class ForwardEnd(msgspec.Struct, frozen=True, array_like=True, tag="forward_end"):
    """End the issuer's answer.

    :param refusal: why the answer is incomplete; None for a complete one.
    :param problem: a problem with the token, which changed no state; empty where there is none.
    """

    refusal: Refusal | None = None
    problem: str = ""


ForwardMessage = Forward | ForwardHead | ForwardChunk | ForwardEnd
