"""
chalkyoke.node.requestlog

Writes a log line for each decision on a request and counts it.
"""

from collections.abc import Callable

import logbook

from chalkyoke.administration.metrics import Metrics
from chalkyoke.gateway.ports import RequestFields
from chalkyoke.gateway.reception import Admission, Rejection
from chalkyoke.http1.messages import Request
from chalkyoke.logs import logger

# The number of characters of a request's target that are logged.
MAX_TARGET_CHARS = 200
REFUSAL_EVENTS = frozenset(("refused", "given_up", "over_quota", "cut_off"))
FAILURE_EVENTS = REFUSAL_EVENTS | {"held_back", "expired"}
# Lines of requests that were not served in full. They state the size of the request, so that the
# share served can be compared by size.
SIZED_EVENTS = FAILURE_EVENTS | {"left"}

log = logger("request")


class RequestLog:
    """Log and count decisions on requests.

    :param now: the node's clock, in seconds.
    """

    def __init__(self, metrics: Metrics, now: Callable[[], float]) -> None:
        self._metrics = metrics
        self._now = now

    def log_rejection(self, request: Request, fields: RequestFields, rejection: Rejection) -> None:
        """Log a request that is rejected before it is scheduled."""
        self._metrics.count("rejected", status=str(rejection.status))
        log.notice(
            "rejected",
            request=fields.request_id,
            status=rejection.status,
            reason=rejection.reason,
            target=request.target.decode("latin-1")[:MAX_TARGET_CHARS],
        )

    def log_decision(self, event: str, admission: Admission, **facts: object) -> None:
        """Log one decision.

        :param event: the decision, as the name of the log line.
        :param facts: the reasons and the outcome, as fields of the log line.
        """
        tier = str(admission.rank)
        self._metrics.count("requests", event=event, route=admission.service.name, tier=tier)
        if event in REFUSAL_EVENTS:
            cause = facts.get("reason") or f"over quota, by {facts.get('decided_by')}"
            self._metrics.count("refusals", cause=str(cause), route=admission.service.name)
        if event in SIZED_EVENTS:
            facts.update(_size_facts(admission))
        failed = event in FAILURE_EVENTS or facts.get("follows") in ("fail", "break_off", "pass_on")
        level = logbook.NOTICE if failed else logbook.INFO
        log.log(
            level,
            event,
            request=admission.request_id,
            route=admission.route.name,
            service=admission.service.name,
            tier=admission.rank,
            team=admission.team.name if admission.team else "",
            version=admission.version,
            age_s=round(self._now() - admission.arrived_at, 4),
            **facts,
        )


def _size_facts(admission: Admission) -> dict[str, int]:
    """Return the size that the caller stated, in tokens; 0 for each number that it did not."""
    fields = admission.fields
    return {
        "prompt_tokens": fields.prompt_tokens,
        "most_output": fields.max_output_tokens,
        "likely_output": fields.estimated_output_tokens,
    }
