"""
chalkyoke.gateway.sendlog

Write to the log how the sends of a request end, and what becomes of silent ones.
"""

from chalkyoke.gateway.granted import Granted
from chalkyoke.gateway.parts import GatewayParts
from chalkyoke.gateway.progress import Progress
from chalkyoke.gateway.reception import Admission
from chalkyoke.gateway.relay import Delivery, Relay
from chalkyoke.gateway.takeover import GiveUpReason, Send
from chalkyoke.gateway.verdict import NextStep, SendEnd


def silent_s(relay: Relay | None, now: float) -> float:
    """Return the time since data last came from a replica, in seconds; -1 before a send."""
    return -1.0 if relay is None else now - relay.last_at


class SendLog:
    """Writes lines on the sends of one request.

    :param delivery: the part of the answer that the caller has received.
    :param progress: the attempts of the request so far.
    """

    def __init__(self, parts: GatewayParts, delivery: Delivery, progress: Progress) -> None:
        self._parts = parts
        self._delivery = delivery
        self._progress = progress

    def log_end(
        self,
        admission: Admission,
        granted: Granted,
        end: SendEnd,
        next_step: NextStep,
        relay: Relay | None,
        undelivered_bytes: int | None,
    ) -> None:
        """Log how a send ended, and what follows.

        :param relay: relay of the latest send; None if nothing was sent.
        :param undelivered_bytes: bytes that the replica's system had not acknowledged.
        """
        fields = relay.fields if relay is not None else None
        waited_s = granted.started_at - admission.arrived_at if granted.started_at else None
        self._parts.log_decision(
            "ended",
            admission,
            replica=granted.replica.id,
            end=end,
            broken_by=relay.broken_by if relay else None,
            follows=next_step,
            sends=self._progress.sends.arrivals,
            events=self._delivery.events,
            source=granted.source,
            waited_s=round(waited_s, 4) if waited_s is not None else None,
            first_s=round(granted.first_s, 4),
            longest_gap_s=round(relay.longest_gap_s, 4) if relay else None,
            silent_s=round(silent_s(relay, self._parts.now()), 4),
            expected_first_s=round(granted.expected_first_s, 4),
            prompt_tokens=admission.fields.prompt_tokens,
            most_output=admission.fields.max_output_tokens,
            likely_output=admission.fields.estimated_output_tokens,
            output=granted.events * admission.service.tokens_per_event,
            goal_s=admission.route.goal_s,
            leaving=fields.leaving if fields else None,
            retry_after_s=fields.retry_after_s if fields else None,
            limit_per_s=fields.limit_per_s if fields else None,
            undelivered_bytes=undelivered_bytes,
        )

    def log_kept(self, admission: Admission, silent: Send, reason: str) -> None:
        """Log why a silent replica keeps the request.

        :param reason: why no other one takes it.
        """
        self._parts.log_decision(
            "kept",
            admission,
            replica=silent.granted.replica.id,
            reason=reason,
            silent_s=round(silent_s(silent.relay, self._parts.now()), 4),
            sends=self._progress.sends.arrivals,
            events=self._delivery.events,
            catalog_version=self._parts.catalog().version,
        )

    def log_given_up(
        self, admission: Admission, silent: Send, other: Send | None, reason: GiveUpReason
    ) -> None:
        """Log that a silent replica loses the request.

        :param other: the send that takes its place; None if it has ended.
        """
        now, replica = self._parts.now(), other.granted.replica if other else None
        self._parts.log_decision(
            "silent_given_up",
            admission,
            replica=silent.granted.replica.id,
            reason=reason,
            silent_s=round(silent_s(silent.relay, now), 4),
            other=replica.id if replica else None,
            other_silent_s=round(self._parts.connections.silent_s(replica.ip, replica.port), 4)
            if replica
            else None,
            sends=self._progress.sends.arrivals,
            events=self._delivery.events,
        )
