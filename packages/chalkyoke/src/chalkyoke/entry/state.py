"""
chalkyoke.entry.state

State of one run: a request, its single dispatch, and the answer, kept for callers that join later.
No I/O; the token ledger decides which transitions are allowed.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from chalkyoke.entry.messages import AnswerHead, CallerRequest
from chalkyoke.invariants import require
from chalkyoke.memory.account import Charge
from chalkyoke.outcomes import Reason, Refusal, Verdict
from chalkyoke.scheduling.messages import Grant
from chalkyoke.tokens.ledger import TokenLedger, TokenRecord
from chalkyoke.tokens.state import TokenState


@dataclass(frozen=True, slots=True)
class Complete:
    """End of a run whose answer is complete."""


End = Complete | Refusal


@dataclass(slots=True, eq=False)
class Run:
    """One request with its state and answer.

    :param id: fleet-wide id of the request, from its token.
    :param token: the encoded token.
    :param arrived: arrival time, in seconds on this process's monotonic clock.
    :param deadline: in seconds on the same clock.
    :ivar request: without its body once the run has ended.
    :ivar attempt: number of acquire attempts so far.
    :ivar dispatched_at: in seconds on the same clock; -1 before the dispatch.
    :ivar first_s: time from the dispatch to the first chunk, in seconds; -1 before.
    :ivar chunks: the answer so far, kept for callers that join later.
    :ivar size: size of the answer so far, in bytes.
    :ivar end: how the run ended; None while it has not.
    :ivar answer_dropped: whether the kept answer was discarded to stay within the limits.
    :ivar readers: number of callers that read the answer now.
    :ivar watchers: callbacks after each change; they wake the readers.
    :ivar body_charge: memory of the body of the request; refunded when the run ends.
    :ivar answer_charge: memory of the answer; refunded when it is dropped.
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
    answer_dropped: bool = False
    readers: int = 0
    watchers: list[Callable[[], None]] = field(default_factory=list)
    body_charge: Charge | None = None
    answer_charge: Charge | None = None

    @property
    def state(self) -> TokenState:
        """State of the run's token in the ledger."""
        return self.record.state

    @property
    def dispatched(self) -> bool:
        """Whether bytes may have left for an upstream."""
        return self.record.dispatches > 0

    def mark_queued(self) -> None:
        """Mark the run as waiting for a grant."""
        self.ledger.transition(self.record, TokenState.QUEUED)

    def claim_dispatch(self, now: float) -> bool:
        """Claim the run's only dispatch; call before the first byte is sent.

        :param now: seconds on this process's monotonic clock.
        :return: whether the run may be sent: it is queued, has not ended and its deadline has not
            passed.
        """
        if self.end is not None or self.state is not TokenState.QUEUED or now >= self.deadline:
            return False
        self.ledger.transition(self.record, TokenState.DISPATCHED)
        self.dispatched_at = now
        return True

    def start_answer(self, head: AnswerHead) -> None:
        """Store the status and content type of the answer."""
        self.head = head
        self._changed()

    def append_chunk(self, data: bytes, now: float, tokens: int = 0) -> None:
        """Append a chunk of the answer.

        :param now: seconds on this process's monotonic clock.
        :param tokens: number of output tokens in the chunk.
        """
        if self.record.dispatches != 1:
            require(False, "an answer follows exactly one dispatch", request=self.id)
        if self.first_s < 0:
            self.first_s = now - self.dispatched_at
        self.output_tokens += tokens
        self.chunks.append(data)
        self.size += len(data)
        self._changed()

    def finish(self, now: float) -> None:
        """End the run with a complete answer."""
        self.ledger.transition(self.record, TokenState.ANSWERED)
        self._end(Complete(), now)

    def refuse(self, refusal: Refusal, now: float) -> None:
        """End the run before its dispatch; the verdict "not run" is final.

        :raises InvariantBroken: when the run was dispatched or the refusal has another verdict.
        """
        require(
            refusal.verdict is Verdict.NOT_RUN,
            "a refusal before the dispatch has the verdict 'not run'",
            request=self.id,
        )
        self.ledger.transition(self.record, TokenState.REFUSED)
        self.ledger.check_not_run(self.record)
        self._end(refusal, now)

    def fail(self, refusal: Refusal, now: float) -> None:
        """End a dispatched run without a complete answer.

        :raises InvariantBroken: when the verdict is "not run" or the run was not dispatched.
        """
        require(
            refusal.verdict is not Verdict.NOT_RUN,
            "a dispatched request never gets the verdict 'not run'",
            request=self.id,
        )
        self.ledger.transition(self.record, TokenState.FAILED)
        self._end(refusal, now)

    def make_failure(
        self, reason: Reason, detail: str, retry_after_s: float | None = None
    ) -> Refusal:
        """Build the refusal for a dispatched run that failed.

        :param retry_after_s: time after which the caller may retry, in seconds.
        :return: verdict ``failed`` where the answer has started, else ``unknown``.
        """
        verdict = Verdict.FAILED if self.head is not None else Verdict.UNKNOWN
        return Refusal(verdict, reason, detail, retry_after_s, self.size)

    def drop_answer(self) -> None:
        """Discard the kept answer to stay within the limits on kept answers."""
        self.chunks.clear()
        self.answer_dropped = True
        if self.answer_charge is not None:
            self.answer_charge.release()

    def _end(self, end: End, now: float) -> None:
        require(self.end is None, "a request ends once", request=self.id)
        self.end = end
        self.ended_at = now
        # A retry is compared by its digest, which the ledger keeps.
        self.request = msgspec.structs.replace(self.request, body=b"")
        if self.body_charge is not None:
            self.body_charge.release()
        self._changed()

    def _changed(self) -> None:
        for watcher in self.watchers:
            watcher()
