"""
chalkyoke.entry.ends

The ends of runs: each is noted in the ledger, told to the scheduler, counted and put on the time
line, in this one place.
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

COME_BACK_S = 1.0

SHED_TEXT = {
    Reason.HOPELESS: "its deadline can't be met, even on an idle pool",
    Reason.EXPIRED: "its deadline passed while it waited",
    Reason.SHED: "there is not enough capacity for it in time",
    Reason.NO_UPSTREAM: "no upstream that its route selects takes work now",
}


CANCELLED = (Reason.EXPIRED, Reason.CALLER_LEFT, Reason.TOO_LARGE)


class Ends:
    """End runs.

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
        """End a run whose answer came whole."""
        run.finish(self._now())
        tier = run.request.tier
        self._events.add(EventKind.ANSWERED, run.id, bytes=run.size)
        self._metrics.count("answered", tier=tier)
        if self._now() <= run.deadline:
            self._metrics.count("goodput", tier=tier)
        self._metrics.record_duration("answer", self._now() - run.arrived, tier=tier)
        self._acquirer.release(run, ReleaseOutcome.DELIVERED, usage)
        self._runs.keep(run)

    def fail(self, run: Run, reason: Reason, detail: str) -> None:
        """End a run that was sent and brought no whole answer."""
        self.fail_with(run, run.failure(reason, detail, COME_BACK_S))

    def fail_with(self, run: Run, refusal: Refusal, rest_s: float = 0.0) -> None:
        """End a run that was sent, with a refusal that is already worded.

        :param rest_s: for how long its upstream wants nothing of this process, in seconds.
        """
        run.fail(refusal, self._now())
        self._events.add(EventKind.FAILED, run.id, reason=refusal.reason)
        self._metrics.count("failed", reason=refusal.reason, tier=run.request.tier)
        cancelled = refusal.reason in CANCELLED
        outcome = ReleaseOutcome.CANCELLED if cancelled else ReleaseOutcome.FAILED
        self._acquirer.release(run, outcome, rest_s=rest_s)
        self._runs.keep(run)

    def refuse(self, run: Run, refusal: Refusal) -> None:
        """End a run that was not sent; from here on it can't be."""
        run.refuse(refusal, self._now())
        self._events.add(EventKind.REFUSED, run.id, reason=refusal.reason)
        self._metrics.count("not_run", reason=refusal.reason, tier=run.request.tier)
        self._runs.keep(run)

    def refuse_shed(self, run: Run, message: Shed) -> None:
        """End a run that its scheduler gave up."""
        text = SHED_TEXT.get(message.reason, message.reason)
        self.refuse(run, not_run(message.reason, text, message.retry_after_s))
