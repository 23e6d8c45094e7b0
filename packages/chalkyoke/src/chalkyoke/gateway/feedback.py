"""
chalkyoke.gateway.feedback

Report the end of a send to the components that track replicas, versions and suspicious requests.
"""

from chalkyoke.balancing.reports import PlainEnd
from chalkyoke.catalog.resources import Replica
from chalkyoke.gateway.granted import Granted
from chalkyoke.gateway.parts import GatewayParts
from chalkyoke.gateway.ports import AnswerFields
from chalkyoke.gateway.quarantine import Identity, SharedParts
from chalkyoke.gateway.reception import Admission
from chalkyoke.gateway.relay import Relay
from chalkyoke.gateway.statements import read_statement
from chalkyoke.gateway.verdict import MISDIRECTED, UNCONNECTED, SendEnd
from chalkyoke.scheduling.state import ReleaseOutcome

RELEASE_OUTCOMES = {
    SendEnd.DELIVERED: ReleaseOutcome.DELIVERED,
    SendEnd.FAILURE_ANSWER: ReleaseOutcome.FAILED,
    SendEnd.DECLINED: ReleaseOutcome.UNUSED,
    SendEnd.NOT_CONNECTED: ReleaseOutcome.UNREACHABLE,
    SendEnd.NO_PATH: ReleaseOutcome.UNUSED,
    SendEnd.BROKEN: ReleaseOutcome.FAILED,
    SendEnd.UNUSABLE: ReleaseOutcome.FAILED,
    SendEnd.STALLED: ReleaseOutcome.FAILED,
    SendEnd.PATH_LOST: ReleaseOutcome.CANCELLED,
}
# Weight of each end in the failure statistics of its replica; 1.0 is a full failure.
FAILURE_WEIGHTS = {
    SendEnd.FAILURE_ANSWER: 0.3,
    SendEnd.DECLINED: 0.3,
    SendEnd.BROKEN: 1.0,
    SendEnd.UNUSABLE: 1.0,
    SendEnd.STALLED: 1.0,
    SendEnd.PATH_LOST: 0.3,
}
# Ends that are no evidence of the health of a replica: one that is full or that this node can't
# reach may serve other nodes well.
NOT_HEALTH_EVIDENCE = UNCONNECTED | {SendEnd.DECLINED, SendEnd.PATH_LOST}


def output_duration_s(relay: Relay | None) -> float:
    """Return the time from the first to the last output of a replica, in seconds; 0 without any."""
    return relay.last_at - relay.first_at if relay is not None and relay.first_at else 0.0


def _plain_end(admission: Admission, granted: Granted, end: SendEnd, now: float) -> PlainEnd:
    """Describe the end of a send to a plain service's replica."""
    load = granted.load
    return PlainEnd(
        admission.service.name,
        granted.replica.id,
        admission.route.name,
        took_s=now - granted.started_at if granted.started_at else 0.0,
        due_s=admission.route.goal_s,
        is_evidence=end not in NOT_HEALTH_EVIDENCE,
        failed=end is not SendEnd.DELIVERED,
        was_full=end is SendEnd.DECLINED and load.is_full,
    )


class Feedback:
    """Reports the ends of sends to the components of a node.

    :param parts: components that all exchanges share.
    """

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts

    def record_answer_head(self, granted: Granted, status: int, fields: AnswerFields) -> None:
        """Record what the head of an answer states about its replica and the replica's load.

        The answer to a misdirected request comes from another replica and is ignored.
        """
        if status == MISDIRECTED:
            return
        parts = self._parts
        if fields.load is not None:
            granted.load = fields.load
            stats = parts.balancer.stats(granted.replica.id)
            stats.time_factor.record(fields.load.time_factor, parts.now())
        parts.announcements.record_answer(granted.replica, read_statement(status, fields))

    def record_end(
        self,
        admission: Admission,
        granted: Granted,
        end: SendEnd,
        relay: Relay | None,
        request: Identity,
        shared_parts: SharedParts,
    ) -> None:
        """Report the end of a send to all components.

        :param relay: relay of the last send; None if there was none.
        :param request: returns the digest of the request.
        :param shared_parts: digests of the shared parts of its prompt.
        """
        parts = self._parts
        now = parts.now()
        stats = parts.balancer.stats(granted.replica.id)
        if relay is not None and relay.fields.load is not None and end not in UNCONNECTED:
            load = relay.fields.load
            stats.record_load(load.running, load.waiting, now)
        if end is SendEnd.DELIVERED:
            begun = admission.route.is_stream and granted.first_s > 0
            first_s = granted.first_s if begun else None
            took_s = now - granted.started_at
            stats.record_answer(took_s, now, first_s)
            parts.drain.durations.record(admission, took_s, first_s)
        elif end in UNCONNECTED:
            stats.record_unreachable(now)
        else:
            stats.record_failure(FAILURE_WEIGHTS[end], now)
        self._record_quarantine_evidence(
            admission, granted.replica, end, output_duration_s(relay), request, shared_parts
        )
        parts.grants.release(admission, granted, RELEASE_OUTCOMES[end])
        if end not in NOT_HEALTH_EVIDENCE:
            failed = end is not SendEnd.DELIVERED
            self.record_version_outcome(admission, granted, now, failed=failed)
        if not admission.service.is_engine:
            parts.on_plain_request_ended(_plain_end(admission, granted, end, now))

    def record_expired(self, admission: Admission, granted: Granted) -> None:
        """Record the time that a stream took until its deadline cut it off.

        Without the streams that are cut off, the longest ones would never be seen.
        """
        if granted.started_at and granted.first_s > 0:
            took_s = self._parts.now() - granted.started_at
            self._parts.drain.durations.record(admission, took_s, granted.first_s)

    def _record_quarantine_evidence(
        self,
        admission: Admission,
        replica: Replica,
        end: SendEnd,
        output_s: float,
        request: Identity,
        shared_parts: SharedParts,
    ) -> None:
        """Report to the quarantine what the end suggests about a request that ends replicas."""
        quarantine = self._parts.quarantine
        if end in UNCONNECTED:
            return
        if end is SendEnd.DELIVERED:
            quarantine.record_delivered(replica, request, shared_parts)
        elif end is SendEnd.BROKEN:
            quarantine.record_broken(admission, replica, request(), output_s, shared_parts)
        elif end in (SendEnd.STALLED, SendEnd.PATH_LOST):
            quarantine.record_abandoned(replica, request(), output_s, shared_parts)
        else:
            quarantine.record_answer(replica)

    def record_version_outcome(
        self, admission: Admission, granted: Granted, ended_at: float, *, failed: bool
    ) -> None:
        """Record the outcome for the replica's version; the duration of a failure is left out.

        :param ended_at: when the send ended, on the node's clock. The components told of the end
            before may grant other requests meanwhile, which is no part of the duration.
        """
        self._parts.rollouts.record_outcome(
            admission,
            granted.replica,
            failed=failed,
            output_tokens=granted.events * admission.service.tokens_per_event,
            took_s=0.0 if failed else ended_at - granted.started_at,
        )
