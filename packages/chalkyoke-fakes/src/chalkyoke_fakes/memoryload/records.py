"""
chalkyoke_fakes.memoryload.records

What became of the requests and of the nodes of a play.
"""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum

# Time limit of a request from its first byte on, in seconds, with some slack.
TIME_LIMIT_S = 7.9
# Answers that promise that the request did not run.
NOT_RUN_STATUSES = frozenset({401, 404, 408, 413, 421, 429, 431, 503})


class Ending(StrEnum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    REFUSED = "refused"
    FAILED = "failed"
    CUT = "cut"
    CLOSED = "closed"
    WAITING = "waiting"
    UNCONNECTED = "unconnected"
    LEFT = "left"


def judge_status(status: int) -> Ending:
    """Return how a request ended that got a whole answer with a status."""
    if status == 200:
        return Ending.WHOLE
    return Ending.REFUSED if status in NOT_RUN_STATUSES else Ending.FAILED


@dataclass(frozen=True, slots=True)
class SentRequest:
    """One request.

    :param manner: how its caller behaves.
    :param began: when its caller began to connect, in seconds since the play began.
    :param finished: whether its last byte was sent.
    :param status: status of the answer; 0 for none.
    :param may_repeat: whether it may run more than once.
    """

    name: str
    manner: str
    node: str
    began: float
    ended: float
    finished: bool
    ending: Ending
    status: int = 0
    may_repeat: bool = True

    @property
    def is_lost(self) -> bool:
        """Whether the request was sent as a whole, and its caller got no whole answer.

        An answer may be cut off at the request's time limit.
        """
        if self.ending is Ending.CUT and self.ended - self.began >= TIME_LIMIT_S:
            return False
        return self.finished and self.ending in (Ending.CLOSED, Ending.CUT, Ending.WAITING)


class NodeEnd(StrEnum):
    """Why a process ended, or would have been ended."""

    OVER_LIMIT = "over its limit"
    BY_ITSELF = "ended by itself"
    NOT_STOPPED = "did not end after a stop"
    EXIT_CODE = "exit code of a stop"


@dataclass(frozen=True, slots=True)
class NodeEvent:
    """Something that happened to the process of a node.

    :param at: seconds since the play began.
    """

    node: str
    at: float
    end: NodeEnd
    detail: str = ""


@dataclass
class PlayRecords:
    """The records of a play.

    :ivar peak_bytes: for each node, the most memory that counted toward its limit: resident memory
        and unread bytes at one moment.
    :ivar peak_unread_bytes: for each node, the most bytes that its system held unread.
    :ivar outages: for each node, the periods in which it was stopped or killed on purpose.
    :ivar own_delay_s: the longest time that the replicas and the store were late by themselves.
    :ivar recovered_s: how long it took until all nodes served again; None if they did not.
    """

    requests: list[SentRequest] = field(default_factory=list)
    events: list[NodeEvent] = field(default_factory=list)
    peak_bytes: dict[str, int] = field(default_factory=dict)
    peak_unread_bytes: dict[str, int] = field(default_factory=dict)
    outages: list[tuple[str, float, float]] = field(default_factory=list)
    own_delay_s: float = 0.0
    recovered_s: float | None = None

    def note_usage(self, node: str, resident: int, unread: int) -> None:
        """Keep the most memory that a node has used."""
        self.peak_bytes[node] = max(self.peak_bytes.get(node, 0), resident + unread)
        self.peak_unread_bytes[node] = max(self.peak_unread_bytes.get(node, 0), unread)

    def endings(self, manner: str) -> Counter[Ending]:
        """Count how the requests of callers of one manner ended."""
        return Counter(each.ending for each in self.requests if each.manner == manner)

    def share_served(self, manner: str) -> float:
        """Return the share of requests with whole answers, of those whose node let them connect."""
        endings = self.endings(manner)
        reached = endings.total() - endings[Ending.UNCONNECTED] - endings[Ending.LEFT]
        return endings[Ending.WHOLE] / max(1, reached)

    def lost_requests(self) -> list[SentRequest]:
        """List the requests that were sent as a whole and got no whole answer.

        Excused are those of a node that was ended on purpose meanwhile, other than by a planned
        stop.
        """
        return [each for each in self.requests if each.is_lost and not self._was_ended(each)]

    def unanswered_requests(self) -> list[SentRequest]:
        """List the requests whose connections were closed before their end, without an answer."""
        return [
            each
            for each in self.requests
            if not each.finished
            and each.ending in (Ending.CLOSED, Ending.CUT)
            and not self._was_ended(each)
        ]

    def false_refusals(self, ran: Collection[str]) -> list[SentRequest]:
        """List the unrepeatable requests that were answered as not run, although they ran.

        :param ran: the names of all requests that ran.
        """
        return [
            each
            for each in self.requests
            if each.ending is Ending.REFUSED and not each.may_repeat and each.name in ran
        ]

    def _was_ended(self, request: SentRequest) -> bool:
        return any(
            node == request.node and began <= request.ended and request.began <= ended
            for node, began, ended in self.outages
        )
