"""
chalkyoke.gateway.ports

The port for the platform's headers, and the fields that headers carry.
"""

from typing import NamedTuple, Protocol

import msgspec

from chalkyoke.http1.messages import Headers


class PromptPart(NamedTuple):
    """A part of a prompt that several requests may share."""

    id: int
    tokens: int


class RequestFields(msgspec.Struct, frozen=True):
    """The fields in the headers of a request.

    :param deadline_s: how long the caller waits, in seconds; None if the request does not state it.
    :param key: API key of the caller's team.
    :param max_output_tokens: highest number of tokens that the request may generate; 0 if not
        stated.
    :param estimated_output_tokens: the caller's own estimate of the output; 0 if not stated.
    :param last_event_id: id of the last event that the caller of a stream has received.
    :param resumes: id of the caller's attempt that brought the first event of the stream that this
        attempt resumes; empty if the caller names none.
    :param contradictory: whether the request states two values where only one can hold.
    """

    request_id: str
    deadline_s: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    estimated_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event_id: str = ""
    resumes: str = ""
    contradictory: bool = False


class Load(NamedTuple):
    """The load that a replica reports: numbers of requests, and its slots.

    :param time_factor: how long work takes on the replica's machine at the moment, as a factor of
        the usual time; 1.0 where the replica does not report it.
    """

    running: int
    waiting: int
    slots: int
    time_factor: float = 1.0

    @property
    def is_full(self) -> bool:
        """Whether all slots are in use; false where the replica reports none."""
        return 0 < self.slots <= self.running


class AnswerFields(msgspec.Struct, frozen=True):
    """The fields in the headers of an answer.

    :param signed: whether the answer carries the replica's signature.
    :param not_run: whether the replica promises that it has not run the request.
    :param encoded: whether the body is encoded, which no caller asked for.
    :param leaving: whether the replica announces its shutdown; it still serves for a while.
    :param retry_after_s: time for which the sender must wait, in seconds; 0 if not stated.
    :param limit_per_s: requests per second that the replica accepts from all nodes together; None
        if the answer states no limit.
    :param limit_unreadable: whether the answer states a limit that is not a number.
    :param max_rejections_per_s: rejections a second above which the replica falls over; None if the
        answer states none.
    :param contradictory: whether the answer states two values where only one can hold.
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
    max_rejections_per_s: float | None = None
    contradictory: bool = False


class Forwarding(msgspec.Struct, frozen=True):
    """The fields that the node adds to a request for a replica.

    :param replica: declared id of the only replica that may run the request.
    :param deadline_s: remaining time until the caller's deadline, in seconds.
    :param last_event_id: id of the event after which a stream resumes; empty if it starts anew.
    """

    replica: str
    team: str
    deadline_s: float
    last_event_id: str = ""


class HeaderFormat(Protocol):
    """Reads and writes the headers of requests and answers."""

    def read_request(self, headers: Headers) -> RequestFields:
        """Read the fields in the headers of a request."""

    def forwarded_headers(self, headers: Headers, forwarding: Forwarding) -> Headers:
        """Return the headers with which a request is forwarded to a replica."""

    def read_answer(self, headers: Headers) -> AnswerFields:
        """Read the fields in the headers of an answer."""
