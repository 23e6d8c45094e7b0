"""
chalkyoke.tokens.state

The states of a request token and the allowed transitions between them.
"""

from enum import StrEnum


class TokenState(StrEnum):
    """Enumerate the states of a token; transitions are one-way."""

    ISSUED = "issued"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"


ALLOWED_TRANSITIONS: dict[TokenState, frozenset[TokenState]] = {
    TokenState.ISSUED: frozenset({TokenState.QUEUED, TokenState.REFUSED}),
    TokenState.QUEUED: frozenset({TokenState.DISPATCHED, TokenState.REFUSED}),
    TokenState.DISPATCHED: frozenset({TokenState.ANSWERED, TokenState.FAILED}),
    TokenState.ANSWERED: frozenset(),
    TokenState.FAILED: frozenset(),
    TokenState.REFUSED: frozenset(),
}

FINAL_STATES = frozenset(state for state, moves in ALLOWED_TRANSITIONS.items() if not moves)
