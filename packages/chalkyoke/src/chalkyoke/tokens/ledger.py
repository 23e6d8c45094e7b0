"""
chalkyoke.tokens.ledger

The issuer's ledger of its own tokens: the only place that decides whether a request may be
dispatched. The ledger needs no lease, no store and no clock of another node.
"""

from collections import OrderedDict
from dataclasses import dataclass

from result import Err, Ok, Result

from chalkyoke.invariants import require
from chalkyoke.tokens.messages import Token, TokenProblem
from chalkyoke.tokens.state import ALLOWED_TRANSITIONS, FINAL_STATES, TokenState

# Default time for which a token can be used, in seconds.
DEFAULT_LIFETIME_S = 900.0
# Default maximum number of used tokens that are kept.
DEFAULT_CAPACITY_TOKENS = 100_000


@dataclass(slots=True)
class TokenRecord:
    """The state of one used token.

    :param digest: hash of the request that first used the token; another request is refused.
    :param dispatches: how often bytes may have been sent to an upstream; at most one.
    """

    token: Token
    digest: bytes
    state: TokenState = TokenState.ISSUED
    dispatches: int = 0


class TokenLedger:
    """Issue tokens and track their one-way state transitions.

    An unused token needs no memory: a sequence number below the next one that has no record is
    still ``issued``. A used token is kept until it expires, and an expired one stays refused even
    if the clock steps back.

    :param host: id of this host.
    :param address: ``ip:port`` of this host's link listener.
    :param incarnation: random number of this process.
    :param lifetime_s: how long a token can be used, in seconds.
    :param capacity: maximum number of used tokens that are kept.

    Usage::

      >>> ledger = TokenLedger("h1", "127.0.0.1:7000", incarnation=7)
      >>> token = ledger.issue(now=0.0)
      >>> ledger.admit(token, b"digest", now=1.0).is_ok()
      True
    """

    def __init__(
        self,
        host: str,
        address: str,
        incarnation: int,
        lifetime_s: float = DEFAULT_LIFETIME_S,
        capacity: int = DEFAULT_CAPACITY_TOKENS,
    ) -> None:
        self.host = host
        self.address = address
        self.incarnation = incarnation
        self.lifetime_s = lifetime_s
        self._capacity = capacity
        self._next = 1
        self._records: OrderedDict[int, TokenRecord] = OrderedDict()
        self._expired_up_to_ms = -1

    def __len__(self) -> int:
        return len(self._records)

    def issue(self, now: float) -> Token:
        """Issue a token that expires after the ledger's lifetime.

        :param now: seconds on the monotonic clock since this process started.
        :rtype: Token
        """
        sequence = self._next
        self._next += 1
        expires_ms = int((now + self.lifetime_s) * 1000)
        return Token(self.host, self.address, self.incarnation, sequence, expires_ms)

    def is_issued_here(self, token: Token) -> bool:
        """Return whether this process issued a token; no other process may dispatch its request.

        :rtype: bool
        """
        return token.host == self.host and token.incarnation == self.incarnation

    def admit(self, token: Token, digest: bytes, now: float) -> Result[TokenRecord, TokenProblem]:
        """Return the record of a token; create it at the token's first use.

        :param digest: hash of the request that is sent with the token.
        :param now: seconds on the monotonic clock since this process started.
        :return: the record, or the reason for which the token is rejected; a rejected token changes
            no state.
        """
        if not self.is_issued_here(token):
            return Err(TokenProblem.OTHER_INCARNATION)
        if token.sequence >= self._next:
            return Err(TokenProblem.NEVER_ISSUED)

        known = self._records.get(token.sequence)
        if known is not None:
            return Ok(known) if known.digest == digest else Err(TokenProblem.OTHER_REQUEST)
        if token.expires_ms <= max(int(now * 1000), self._expired_up_to_ms):
            return Err(TokenProblem.EXPIRED)
        if len(self._records) >= self._capacity:
            return Err(TokenProblem.LEDGER_FULL)

        record = TokenRecord(token, digest)
        self._records[token.sequence] = record
        return Ok(record)

    def transition(self, record: TokenRecord, state: TokenState) -> None:
        """Move a token to its next state.

        :param state: the new state.
        :raises InvariantBroken: when the transition is not one of :data:`ALLOWED_TRANSITIONS`, or
            would be a second dispatch.
        """
        require(
            state in ALLOWED_TRANSITIONS[record.state],
            "token state transitions are one-way",
            sequence=record.token.sequence,
            held=record.state,
            asked=state,
        )
        if state is TokenState.DISPATCHED:
            record.dispatches += 1
            require(
                record.dispatches == 1,
                "a request is dispatched at most once",
                sequence=record.token.sequence,
            )
        record.state = state

    def check_not_run(self, record: TokenRecord) -> None:
        """Check that a request was not dispatched and never can be, before a "not run" answer.

        :raises InvariantBroken: when bytes may have been sent, or the request could still run.
        """
        require(
            record.dispatches == 0 and record.state is TokenState.REFUSED,
            "a request reported as not run was never dispatched and never will be",
            sequence=record.token.sequence,
            state=record.state,
            dispatches=record.dispatches,
        )

    def expire(self, now: float) -> list[TokenRecord]:
        """Remove the records in a final state whose tokens have expired.

        :param now: seconds on the monotonic clock since this process started.
        :return: the removed records.
        """
        now_ms = int(now * 1000)
        removed: list[TokenRecord] = []
        for sequence, record in list(self._records.items()):
            if record.token.expires_ms > now_ms:
                break
            if record.state in FINAL_STATES:
                removed.append(self._records.pop(sequence))

        for record in removed:
            self._expired_up_to_ms = max(self._expired_up_to_ms, record.token.expires_ms)
        return removed
