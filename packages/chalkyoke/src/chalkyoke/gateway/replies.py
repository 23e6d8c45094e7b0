"""
chalkyoke.gateway.replies

What a caller is told by the node itself: where its request has no answer of a replica.
"""

from chalkyoke.gateway.parts import GatewayParts
from chalkyoke.gateway.reception import Admission
from chalkyoke.gateway.relay import Delivery
from chalkyoke.gateway.verdict import SendCounts
from chalkyoke.http1.messages import AnswerHead, Headers, reason_phrase
from chalkyoke.http1.server import ResponseWriter
from chalkyoke.invariants import require
from chalkyoke.quotas.client import QuotaDecision

# The longest time that a caller is told to stay away, in seconds.
MAX_RETRY_AFTER_S = 60.0
# When a caller comes back after a refusal that will not last, in seconds.
RETRY_SOON_S = 0.3


class Replies:
    """Answer one request in the node's own name.

    :param delivery: what its caller has got so far.
    :param sends: what has been sent of it so far.
    """

    def __init__(
        self, parts: GatewayParts, answering: ResponseWriter, delivery: Delivery, sends: SendCounts
    ) -> None:
        self._parts = parts
        self._answering = answering
        self._delivery = delivery
        self._sends = sends

    def send_answer(self, status: int, reason: str, retry_after_s: float | None) -> None:
        """Answer with a status and a few words.

        :param retry_after_s: when its caller is to come back, in seconds; nothing where that is of
            no use.
        """
        headers: Headers = [(b"Content-Type", b"text/plain")]
        if retry_after_s is not None:
            bounded = min(MAX_RETRY_AFTER_S, max(0.0, retry_after_s))
            headers.append((b"Retry-After", b"%.2f" % bounded))
        body = reason.encode()
        self._answering.send_head(
            AnswerHead(status, reason_phrase(status), headers, len(body)), body
        )
        self._answering.finish()

    def refuse(self, admission: Admission, reason: str, retry_after_s: float) -> None:
        """Tell that the request has not run and never will.

        One that may be repeated and has been sent may have run to its end, so it is not refused:
        no more is known of it than that no answer came.
        """
        if self._delivery.head_sent:
            self._answering.abort()
            return
        if self._sends.runs > 0 and admission.route.repeatable:
            self._parts.log_decision(
                "given_up", admission, reason=reason, retry_after_s=retry_after_s
            )
            self.send_answer(502, reason, retry_after_s)
            return
        require(
            self._sends.runs == 0,
            "a caller that is told 'not run' had no run",
            request=admission.request_id,
        )
        self._parts.log_decision("refused", admission, reason=reason, retry_after_s=retry_after_s)
        self.send_answer(503, reason, retry_after_s)

    def refuse_over_quota(self, admission: Admission, decided: QuotaDecision) -> None:
        """Tell that the team's quota is spent."""
        self._parts.log_decision(
            "over_quota",
            admission,
            cost=admission.cost,
            decided_by=decided.decided_by,
            window_spent=round(decided.spent),
            window_most=round(decided.window_limit),
            retry_after_s=round(decided.retry_after_s, 3),
        )
        self.send_answer(429, "over quota", decided.retry_after_s)

    def refuse_held_back(self, admission: Admission, digest: bytes) -> None:
        """Tell at once, without a time to come back: that can't help.

        It is no promise that nothing has run, since earlier attempts have; 502 keeps callers of
        what may not be repeated from asking again by themselves.

        :param digest: names the request.
        """
        self._parts.log_decision(
            "held_back", admission, digest=digest.hex(), sends=self._sends.arrivals
        )
        if self._delivery.head_sent:
            self._answering.abort()
        else:
            self.send_answer(
                502, "held back: replicas have ended while they ran this request", None
            )

    def end_after_fault(self) -> None:
        """End a request that a fault of this node's own has hit.

        A bare close would leave its caller without an answer where nothing was sent.
        """
        if self._sends.runs or self._delivery.head_sent:
            self._answering.abort()
        else:
            self.send_answer(503, "internal fault", RETRY_SOON_S)
