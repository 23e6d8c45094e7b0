"""
chalkyoke.entry.ends

Ends runs in one place: records each end in the ledger, the events and the metrics, and releases the
grant to the scheduler.
"""

from collections.abc import Callable

from chalkyoke.administration.events import EventKind, EventRing
from chalkyoke.administration.metrics import Metrics
from chalkyoke.entry.acquirer import Acquirer
from chalkyoke.entry.runs import Runs
from chalkyoke.entry.state import Run
from chalkyoke.entry.streams import StreamUsage
from chalkyoke.outcomes import Reason, Refusal, not_run
from chalkyoke.scheduling.messages import Shed
from chalkyoke.scheduling.state import ReleaseOutcome

# Retry-After in seconds for a run that failed after its dispatch.
RETRY_AFTER_S = 1.0

# Detail that callers get for each reason of a scheduler's refusal.
SHED_DETAILS = {
    Reason.HOPELESS: "its deadline can't be met, even on an idle pool",
    Reason.EXPIRED: "its deadline passed while it waited",
    Reason.SHED: "there is not enough capacity for it in time",
    Reason.NO_UPSTREAM: "no upstream that its route selects takes work now",
}


# Reasons whose grants are released as cancelled: the upstream did not fail.
CANCELLATION_REASONS = (
    Reason.EXPIRED,
    Reason.CALLER_LEFT,
    Reason.STOPPING,
    Reason.TOO_LARGE,
)


class OutcomeRecorder:
    """End runs and record their outcomes.

    :param now: seconds on the monotonic clock since this process started.
    """

    def __init__(
        self,
        runs: Runs,
        acquirer: Acquirer,
        events: EventRing,
        metrics: Metrics,
        now: Callable[[], float],
    ) -> None:
        self._runs = runs
        self._acquirer = acquirer
        self._events = events
        self._metrics = metrics
        self._now = now

    def finish(self, run: Run, usage: StreamUsage) -> None:
        """End a run with a complete answer, release its grant and keep the answer."""
        run.finish(self._now())
        tier = run.request.tier
        self._events.add(EventKind.ANSWERED, run.id, bytes=run.size)
        self._metrics.count("answered", tier=tier)
        if self._now() <= run.deadline:
            self._metrics.count("goodput", tier=tier)
        self._metrics.record_duration("answer", self._now() - run.arrived, tier=tier)
        self._acquirer.release(run, ReleaseOutcome.DELIVERED, usage)
        self._runs.keep_answer(run)

    def fail(self, run: Run, reason: Reason, detail: str) -> None:
        """End a dispatched run without a complete answer; the verdict depends on what arrived."""
        self.fail_with(run, run.make_failure(reason, detail, RETRY_AFTER_S))

    def fail_with(self, run: Run, refusal: Refusal, rest_s: float = 0.0) -> None:
        """End a dispatched run with the given refusal.

        :param rest_s: time for which the upstream asks this process to send it nothing, in seconds.
        """
        run.fail(refusal, self._now())
        self._events.add(EventKind.FAILED, run.id, reason=refusal.reason)
        self._metrics.count("failed", reason=refusal.reason, tier=run.request.tier)
        cancelled = refusal.reason in CANCELLATION_REASONS
        outcome = ReleaseOutcome.CANCELLED if cancelled else ReleaseOutcome.FAILED
        self._acquirer.release(run, outcome, rest_s=rest_s)
        self._runs.keep_answer(run)

    def refuse(self, run: Run, refusal: Refusal) -> None:
        """End a run before its dispatch; it can't be dispatched afterwards."""
        run.refuse(refusal, self._now())
        self._events.add(EventKind.REFUSED, run.id, reason=refusal.reason)
        self._metrics.count("not_run", reason=refusal.reason, tier=run.request.tier)
        self._runs.keep_answer(run)

    def refuse_shed(self, run: Run, message: Shed) -> None:
        """End a run that its scheduler shed."""
        text = SHED_DETAILS.get(message.reason, message.reason)
        self.refuse(run, not_run(message.reason, text, message.retry_after_s))
