"""
chalkyoke.entry.state

One run: a request on its way from a caller to one dispatch and back, with its answer kept for
callers that join. No I/O; the ledger behind it decides what is allowed.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from chalkyoke.entry.messages import AnswerHead, CallerRequest
from chalkyoke.invariants import require
from chalkyoke.outcomes import Reason, Refusal, Verdict
from chalkyoke.scheduling.messages import Grant
from chalkyoke.tokens.ledger import TokenLedger, TokenRecord
from chalkyoke.tokens.state import TokenState


@dataclass(frozen=True, slots=True)
class Whole:
    """The answer came whole."""


End = Whole | Refusal


@dataclass(slots=True, eq=False)
class Run:
    """One request and its one way to an answer.

    :param id: id of the request over the fleet, from its token.
    :param arrived: seconds on this process's monotonic clock.
    :param deadline: on the same clock.
    :ivar chunks: the answer so far, kept for callers that join.
    :ivar end: how it ended, once it has.
    :ivar readers: callers that read the answer now.
    :ivar watchers: called after each change; a shell's way to wake its readers.
    """

    id: str
    token: str
    record: TokenRecord
    ledger: TokenLedger
    request: CallerRequest
    arrived: float
    deadline: float
    attempt: int = 0
    grant: Grant | None = None
    dispatched_at: float = -1.0
    first_s: float = -1.0
    output_tokens: int = 0
    head: AnswerHead | None = None
    chunks: list[bytes] = field(default_factory=list)
    size: int = 0
    end: End | None = None
    ended_at: float = 0.0
    replay_gone: bool = False
    readers: int = 0
    watchers: list[Callable[[], None]] = field(default_factory=list)

    @property
    def state(self) -> TokenState:
        """Where its token stands."""
        return self.record.state

    @property
    def dispatched(self) -> bool:
        """Whether bytes may have left for an upstream."""
        return self.record.dispatches > 0

    def queue(self) -> None:
        """Note that it waits for a grant."""
        self.ledger.transition(self.record, TokenState.QUEUED)

    def dispatch(self, now: float) -> bool:
        """Take the one permission to send it; call before the first byte leaves.

        :param now: seconds on this process's monotonic clock.
        :return: whether it may be sent; not after its end or its deadline.
        """
        if self.end is not None or self.state is not TokenState.QUEUED or now >= self.deadline:
            return False
        self.ledger.transition(self.record, TokenState.DISPATCHED)
        self.dispatched_at = now
        return True

    def start_answer(self, head: AnswerHead) -> None:
        """Note the start of the answer."""
        self.head = head
        self._changed()

    def add(self, data: bytes, now: float, tokens: int = 0) -> None:
        """Add a piece of the answer.

        :param tokens: output tokens in it.
        """
        if self.record.dispatches != 1:
            require(False, "an answer has one dispatch before it", request=self.id)
        if self.first_s < 0:
            self.first_s = now - self.dispatched_at
        self.output_tokens += tokens
        self.chunks.append(data)
        self.size += len(data)
        self._changed()

    def finish(self, now: float) -> None:
        """Note that the answer is whole."""
        self.ledger.transition(self.record, TokenState.ANSWERED)
        self._end(Whole(), now)

    def refuse(self, refusal: Refusal, now: float) -> None:
        """End it before it ran: the caller is told "not run", finally.

        :raises InvariantBroken: when it was dispatched.
        """
        require(refusal.verdict is Verdict.NOT_RUN, "a refusal says 'not run'", request=self.id)
        self.ledger.transition(self.record, TokenState.REFUSED)
        self.ledger.check_not_run(self.record)
        self._end(refusal, now)

    def fail(self, refusal: Refusal, now: float) -> None:
        """End it after it was dispatched, without a whole answer.

        :raises InvariantBroken: when it says "not run" or it was not dispatched.
        """
        require(
            refusal.verdict is not Verdict.NOT_RUN,
            "a dispatched request is never told 'not run'",
            request=self.id,
        )
        self.ledger.transition(self.record, TokenState.FAILED)
        self._end(refusal, now)

    def failure(self, reason: Reason, detail: str, retry_after_s: float | None = None) -> Refusal:
        """Word the failure of a dispatched run by how far it got.

        :return: ``failed`` where a part of the answer came, else ``unknown``.
        """
        verdict = Verdict.FAILED if self.head is not None else Verdict.UNKNOWN
        return Refusal(verdict, reason, detail, retry_after_s, self.size)

    def drop_answer(self) -> None:
        """Forget the kept answer, to stay within bounds."""
        self.chunks.clear()
        self.replay_gone = True

    def _end(self, end: End, now: float) -> None:
        require(self.end is None, "a request ends once", request=self.id)
        self.end = end
        self.ended_at = now
        self._changed()

    def _changed(self) -> None:
        for watcher in self.watchers:
            watcher()
