"""
chalkyoke.entry.runs

All runs of one entry process: admits requests by token, joins retries to the existing run, and
limits which answers are kept for callers that come back.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterator

import msgspec
from result import Err, Ok, Result

from chalkyoke.entry.messages import CallerRequest
from chalkyoke.entry.state import Run
from chalkyoke.memory.account import MemoryAccount
from chalkyoke.tokens.codec import TokenCodec
from chalkyoke.tokens.ledger import TokenLedger
from chalkyoke.tokens.messages import Token, TokenProblem
from chalkyoke.tokens.state import TokenState

# Time for which an answer is kept for a retry with the same token, in seconds.
ANSWER_RETENTION_S = 120.0
# Limit on the kept answers of all tokens together, in bytes: half of the memory that a node may use
# for control.
MAX_KEPT_ANSWER_BYTES = 16_000_000


def request_digest(request: CallerRequest) -> bytes:
    """Hash the fields that identify a request.

    The time budget and the form of the answer are not among them.

    :rtype: bytes
    """
    parts = (request.service, request.team, request.path, request.content_type, request.labels)
    head = msgspec.msgpack.encode(parts, order="sorted")
    return hashlib.blake2b(head + b"|" + request.body, digest_size=16).digest()


class Runs:
    """Admit requests by their tokens and keep their runs.

    :param ledger: the tokens that this process issued.
    :param codec: signs and encodes tokens with the fleet's key.
    :param account: the account of this process.
    """

    def __init__(
        self, ledger: TokenLedger, codec: TokenCodec, account: MemoryAccount | None = None
    ) -> None:
        self._account = account or MemoryAccount()
        self.ledger = ledger
        self.codec = codec
        self._runs: dict[int, Run] = {}
        self._kept_answers: OrderedDict[int, Run] = OrderedDict()
        self._kept_bytes = 0

    def __len__(self) -> int:
        return len(self._runs)

    def active(self) -> Iterator[Run]:
        """Iterate over a copy of the runs that have not ended."""
        return (run for run in list(self._runs.values()) if run.end is None)

    def all(self) -> Iterator[Run]:
        """Iterate over a copy of all runs, including those that have ended."""
        return iter(list(self._runs.values()))

    def find(self, request: str) -> Run | None:
        """Find a run by its request id; None for an unknown or malformed id.

        :rtype: Run or None
        """
        try:
            return self._runs.get(int(request.rsplit("-", 1)[1]))
        except (IndexError, ValueError):
            return None

    def issue_token(self, now: float) -> tuple[Token, str]:
        """Issue a token for one request.

        :param now: seconds on this process's monotonic clock.
        :return: the token and its encoded form.
        """
        token = self.ledger.issue(now)
        return token, self.codec.encode(token)

    def admit(
        self, token: Token, text: str, request: CallerRequest, now: float
    ) -> Result[tuple[Run, bool], TokenProblem]:
        """Find the run of a token, or create it.

        :param text: the encoded token.
        :param now: seconds on this process's monotonic clock.
        :return: the run, and whether it is new and the caller of this method has to start it.
        """
        admitted = self.ledger.admit(token, request_digest(request), now)
        if isinstance(admitted, Err):
            return admitted
        known = self._runs.get(token.sequence)
        if known is not None:
            return Ok((known, False))

        deadline = now + request.budget_s
        record = admitted.ok_value
        run = Run(token.request, text, record, self.ledger, request, now, deadline)
        self._runs[token.sequence] = run
        return Ok((run, record.state is TokenState.ISSUED))

    def keep_answer(self, run: Run) -> None:
        """Keep an ended run's answer and drop the oldest ones above the size limit.

        Answers that are being read are kept, and the newest one, even where they exceed the limit.
        """
        self._kept_answers[run.record.token.sequence] = run
        self._kept_bytes += run.size
        if self._kept_bytes > MAX_KEPT_ANSWER_BYTES:
            self._drop_while(lambda: self._kept_bytes > MAX_KEPT_ANSWER_BYTES, spared=run)
        self.make_room()

    def make_room(self) -> None:
        """Drop the oldest kept answers while memory is scarce."""
        if self._account.is_scarce:
            self._drop_while(lambda: self._account.is_scarce)

    def drop_idle(self) -> None:
        """Drop the oldest kept answer that nobody reads, if there is one."""
        kept = self._kept_bytes
        self._drop_while(lambda: self._kept_bytes == kept)

    def _drop_while(self, is_needed: Callable[[], bool], spared: Run | None = None) -> None:
        """Drop the oldest answers that nobody reads as long as that is needed."""
        for sequence, run in list(self._kept_answers.items()):
            if not is_needed():
                return
            if run.size and not run.readers and run is not spared:
                self._drop(sequence)

    def expire(self, now: float) -> None:
        """Drop answers older than the retention time, and runs whose tokens have expired.

        :param now: seconds on this process's monotonic clock.
        """
        while self._kept_answers:
            oldest = next(iter(self._kept_answers.values()))
            if now - oldest.ended_at < ANSWER_RETENTION_S:
                break
            self._drop_oldest()
        for record in self.ledger.expire(now):
            sequence = record.token.sequence
            kept = self._kept_answers.pop(sequence, None)
            if kept is not None:
                self._kept_bytes -= kept.size
                kept.drop_answer()
            self._runs.pop(sequence, None)

    def _drop_oldest(self) -> None:
        self._drop(next(iter(self._kept_answers)))

    def _drop(self, sequence: int) -> None:
        run = self._kept_answers.pop(sequence)
        self._kept_bytes -= run.size
        run.drop_answer()
