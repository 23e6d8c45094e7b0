"""
chalkyoke.gateway.ports

What the gateway needs from outside: the meaning of headers.
"""

from typing import NamedTuple, Protocol

import msgspec

from chalkyoke.http1.messages import Headers


class PromptPart(NamedTuple):
    """A part of a prompt that several requests may share."""

    id: int
    tokens: int


class RequestFields(msgspec.Struct, frozen=True):
    """What a request says of itself.

    :param deadline_s: how long its caller waits, in seconds.
    :param max_output_tokens: the most that it may generate.
    :param estimated_output_tokens: the caller's own estimate; 0 where it gives none.
    """

    request_id: str
    deadline_s: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    estimated_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event_id: str = ""


class Load(NamedTuple):
    """What a replica says of its load."""

    running: int
    waiting: int
    slots: int


class AnswerFields(msgspec.Struct, frozen=True):
    """What an answer says of itself.

    :param stamped: whether it carries the replica's signature.
    :param not_run: whether the replica promises that it has not run the request.
    :param encoded: whether its body is encoded, which no caller asked for.
    :param leaving: whether the replica says that it leaves: it serves on for a while, and ends.
    :param retry_after_s: how long its sender is told to wait, in seconds; 0 where nothing is told.
    :param limit_per_s: requests a second that the replica takes from all nodes together; nothing
        where the answer names no limit.
    :param limit_unreadable: whether it names one that is no number.
    """

    request_id: str
    signed: bool = False
    not_run: bool = False
    encoded: bool = False
    load: Load | None = None
    leaving: bool = False
    retry_after_s: float = 0.0
    limit_per_s: float | None = None
    limit_unreadable: bool = False


class Forwarding(msgspec.Struct, frozen=True):
    """What goes with a request to a replica.

    :param replica: id, as it declares it, of the replica that may run it.
    :param deadline_s: what is left of the caller's time.
    """

    replica: str
    team: str
    deadline_s: float
    last_event_id: str = ""


class HeaderFormat(Protocol):
    """Reads and writes the headers of requests and answers."""

    def read_request(self, headers: Headers) -> RequestFields:
        """Read what a request says of itself."""

    def forwarded_headers(self, headers: Headers, forwarding: Forwarding) -> Headers:
        """Give the headers with which a request goes on to a replica."""

    def read_answer(self, headers: Headers) -> AnswerFields:
        """Read what an answer says of itself."""
