"""
chalkyoke.gateway.replies

Answers of the node itself, for requests without an answer of a replica.
"""

from chalkyoke.gateway.parts import GatewayParts
from chalkyoke.gateway.reception import Admission
from chalkyoke.gateway.relay import Delivery
from chalkyoke.gateway.verdict import SendCounts
from chalkyoke.http1.messages import AnswerHead, Headers, reason_phrase
from chalkyoke.http1.response import ResponseWriter
from chalkyoke.invariants import require
from chalkyoke.quotas.client import QuotaDecision

# Longest Retry-After time in an answer, in seconds.
MAX_RETRY_AFTER_S = 60.0
# Retry-After time of a refusal whose cause is short-lived, in seconds.
RETRY_SOON_S = 0.3
# Reason of an answer because this node ends before the answer could.
STOPPING = "stopping"
# Reason of an answer after an unexpected exception in this node.
INTERNAL_FAULT = "internal fault"


class Replies:
    """Answers one request on behalf of the node.

    :param delivery: the part of an answer that the caller has received.
    :param sends: counts of the request's sends.
    """

    def __init__(
        self, parts: GatewayParts, response: ResponseWriter, delivery: Delivery, sends: SendCounts
    ) -> None:
        self._parts = parts
        self._response = response
        self._delivery = delivery
        self._sends = sends

    def send_answer(self, status: int, reason: str, retry_after_s: float | None) -> None:
        """Send an answer with a status and a short text.

        :param retry_after_s: time after which the caller may retry, in seconds; None if a retry
            can't help.
        """
        headers: Headers = [(b"Content-Type", b"text/plain")]
        if retry_after_s is not None:
            bounded = min(MAX_RETRY_AFTER_S, max(0.0, retry_after_s))
            headers.append((b"Retry-After", b"%.2f" % bounded))
        if self._parts.drain.stop is not None:
            # The caller goes on elsewhere.
            self._response.close_gracefully()
        body = reason.encode()
        self._response.send_head(
            AnswerHead(status, reason_phrase(status), headers, len(body)), body
        )
        self._response.finish()

    def refuse(self, admission: Admission, reason: str, retry_after_s: float) -> None:
        """Answer that the request has not run and never will.

        A repeatable request that was sent may have run to its end, so it gets no such promise but
        a 502: the node knows only that it received no answer. An answer that has begun is cut off.
        """
        if self._delivery.head_sent:
            self._cut_off(admission, reason)
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
        is_stop = reason == STOPPING
        inputs = self._parts.drain.inputs(admission, self._parts.now()) if is_stop else {}
        self._parts.log_decision(
            "refused", admission, reason=reason, retry_after_s=retry_after_s, **inputs
        )
        self.send_answer(503, reason, retry_after_s)

    def refuse_over_quota(self, admission: Admission, decided: QuotaDecision) -> None:
        """Answer that the team's quota is spent."""
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

    def refuse_held_back(self, admission: Admission, digest: bytes | None) -> None:
        """Answer that the request is held back, without a Retry-After time, as retries can't help.

        The answer does not promise that nothing has run, since earlier attempts have. The status
        502 keeps callers from automatic retries of requests that may not be repeated.

        :param digest: digest of the request or of the part of its prompt that is held back; None if
            it has been released meanwhile.
        """
        self._parts.log_decision(
            "held_back",
            admission,
            digest=digest.hex() if digest else None,
            sends=self._sends.arrivals,
        )
        if self._delivery.head_sent:
            self._cut_off(admission, "held back")
        else:
            self.send_answer(
                502, "held back: replicas have ended while they ran this request", None
            )

    def _cut_off(self, admission: Admission, reason: str) -> None:
        """End an answer that has begun, since no replica may or can go on with it."""
        self._parts.log_decision(
            "cut_off",
            admission,
            reason=reason,
            sends=self._sends.arrivals,
            events=self._delivery.events,
            catalog_version=self._parts.catalog().version,
        )
        self._response.abort()

    def end_unfinished(self, admission: Admission | None, reason: str) -> None:
        """Tell the caller what is known of a request that this node can't finish.

        The caller gets an answer unless a part of one has been sent: closing the connection would
        give it none. The status 502 makes no promise about a run.

        :param admission: None if the request has not been admitted yet.
        :param reason: why the node can't finish it.
        """
        if self._delivery.head_sent:
            self._log_unfinished("cut_off", admission, reason)
            self._response.abort()
        elif self._sends.runs:
            self._log_unfinished("given_up", admission, reason)
            self.send_answer(502, reason, None)
        else:
            self._log_unfinished("refused", admission, reason)
            self.send_answer(503, reason, RETRY_SOON_S)

    def _log_unfinished(self, event: str, admission: Admission | None, reason: str) -> None:
        if admission is not None:
            self._parts.log_decision(
                event,
                admission,
                reason=reason,
                sends=self._sends.arrivals,
                events=self._delivery.events,
            )
