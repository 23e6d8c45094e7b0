"""
chalkyoke.outcomes

The outcomes that a caller receives instead of a complete answer. They are values, not exceptions.
"""

from enum import StrEnum

import msgspec


class Verdict(StrEnum):
    """What a caller may conclude about the execution of its request."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a request got no complete answer; each reason has its own count in the metrics."""

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
    """The final outcome of a request that got no complete answer.

    :param verdict: what the caller may conclude.
    :param reason: why the answer is missing or incomplete.
    :param detail: one sentence for a human reader.
    :param retry_after_s: seconds after which to retry; ``None`` when a retry is useless.
    :param delivered_bytes: bytes of the answer delivered before it failed.
    """

    verdict: Verdict
    reason: Reason
    detail: str
    retry_after_s: float | None = None
    delivered_bytes: int = 0


def not_run(reason: Reason, detail: str, retry_after_s: float | None = None) -> Refusal:
    """Build the refusal of a request that provably has not run.

    :param reason: why the request was not run.
    :param detail: one sentence for a human reader.
    :param retry_after_s: seconds after which to retry.
    :rtype: Refusal
    """
    return Refusal(Verdict.NOT_RUN, reason, detail, retry_after_s)
