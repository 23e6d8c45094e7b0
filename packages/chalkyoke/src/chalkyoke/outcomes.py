"""
chalkyoke.outcomes

What a caller can be told when it gets no whole answer. These are values, never exceptions.
"""

from enum import StrEnum

import msgspec


class Verdict(StrEnum):
    """The three things a caller can be told."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a request got no whole answer; each is counted apart."""

    HOPELESS = "hopeless"
    EXPIRED = "expired"
    SHED = "shed"
    NO_UPSTREAM = "no_upstream"
    STOPPING = "stopping"
    NOT_READY = "not_ready"
    LEDGER_FULL = "ledger_full"
    CALLER_LEFT = "caller_left"
    TOKEN_EXPIRED = "token_expired"
    REFUSED_BEFORE = "refused_before"
    UPSTREAM_REFUSED = "upstream_refused"
    CUT_SHORT = "cut_short"
    NO_ANSWER = "no_answer"
    TOO_LARGE = "too_large"
    REPLAY_GONE = "replay_gone"
    ISSUER_GONE = "issuer_gone"
    ISSUER_UNREACHABLE = "issuer_unreachable"
    INTERNAL = "internal"


class Refusal(msgspec.Struct, frozen=True):
    """A final answer that is no whole answer.

    :param verdict: what the caller may conclude.
    :param reason: why.
    :param detail: one sentence for a person.
    :param retry_after_s: when to come back, in seconds; ``None`` where coming back is no use.
    :param delivered_bytes: how far the answer got before it failed.
    """

    verdict: Verdict
    reason: Reason
    detail: str
    retry_after_s: float | None = None
    delivered_bytes: int = 0


def not_run(reason: Reason, detail: str, retry_after_s: float | None = None) -> Refusal:
    """Build the refusal of a request that was proved not to have run.

    :param reason: why it was not run.
    :param detail: one sentence for a person.
    :param retry_after_s: when to come back, in seconds.
    :rtype: Refusal
    """
    return Refusal(Verdict.NOT_RUN, reason, detail, retry_after_s)
