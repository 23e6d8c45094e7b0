"""
chalkyoke.entry.service

Accepts requests, runs each to exactly one end, and lets callers read the answers.
"""

import asyncio
import math
from collections.abc import Callable, Coroutine

from result import Err, Ok, Result

from chalkyoke.administration.events import EventKind, EventRing
from chalkyoke.administration.metrics import Metrics
from chalkyoke.entry.acquirer import Acquirer
from chalkyoke.entry.dispatcher import Dispatcher
from chalkyoke.entry.ends import RETRY_AFTER_S, OutcomeRecorder
from chalkyoke.entry.messages import CallerRequest
from chalkyoke.entry.ports import ConfigurationPort
from chalkyoke.entry.readers import AnswerReader
from chalkyoke.entry.runs import Runs
from chalkyoke.entry.state import Complete, Run
from chalkyoke.exceptions import InvariantBroken
from chalkyoke.logs import logger
from chalkyoke.memory.account import Charge
from chalkyoke.outcomes import Reason, Refusal, Verdict, not_run
from chalkyoke.scheduling.messages import Grant, Shed
from chalkyoke.scheduling.state import ReleaseOutcome
from chalkyoke.tokens.messages import Token, TokenProblem

# Time limit in seconds for a dispatched run that must not be repeated; the run goes on without its
# caller.
NOT_REPEATABLE_RUN_S = 60.0
# Retry-After in seconds that a stopping host returns; the caller then retries at another host.
STOPPING_RETRY_S = 0.5
STOPPING_DETAIL = "this host is stopping"
# Interval in seconds at which a stopping node checks whether all runs and readers have finished.
DRAIN_CHECK_S = 0.05

log = logger("entry")


class EntryService:
    """Run each accepted request to one end while schedulers, upstreams and callers fail or leave.

    :param now: seconds on the monotonic clock since this process started.
    :ivar leaving: whether a planned stop has begun, so that tokens are issued no more.
    :ivar stopping: whether all new requests are refused.
    """

    def __init__(
        self,
        runs: Runs,
        acquirer: Acquirer,
        recorder: OutcomeRecorder,
        dispatcher: Dispatcher,
        configuration: ConfigurationPort,
        events: EventRing,
        metrics: Metrics,
        now: Callable[[], float],
    ) -> None:
        self.runs = runs
        self.leaving = False
        self.stopping = False
        self._ends_at = math.inf
        self._acquirer = acquirer
        self._recorder = recorder
        self._dispatcher = dispatcher
        self._configuration = configuration
        self._events = events
        self._metrics = metrics
        self.now = now
        self._tasks: dict[str, asyncio.Task[None]] = {}

    # Admission.

    def submit(
        self,
        request: CallerRequest,
        token: Token | None,
        text: str,
        body_charge: Charge | None = None,
    ) -> Result[Run, TokenProblem]:
        """Start a run, or join the run that the token already has.

        :param token: the caller's token; None issues a new one.
        :param text: the encoded token.
        :param body_charge: memory of the body; a new run refunds it at its end.
        :return: the run, or the problem with the token; then no state has changed.
        """
        if token is None:
            token, text = self.runs.issue_token(self.now())
        admitted = self.runs.admit(token, text, request, self.now())
        if isinstance(admitted, Err):
            return admitted
        run, is_new = admitted.ok_value
        if not is_new:
            self._events.add(EventKind.JOINED, run.id, state=run.state)
            self._metrics.count("joined")
            return Ok(run)

        run.body_charge = body_charge
        self._events.add(EventKind.ARRIVED, run.id, service=request.service, tier=request.tier)
        self._metrics.count("arrived", tier=request.tier)
        if self.stopping or run.deadline > self._ends_at:
            refusal = not_run(Reason.STOPPING, STOPPING_DETAIL, STOPPING_RETRY_S)
            self._recorder.refuse(run, refusal)
            return Ok(run)
        run.mark_queued()
        self._start_task(run.id, self._run_to_end(run))
        return Ok(run)

    def open_reader(self, run: Run) -> AnswerReader:
        """Open a reader of a run's answer; its deadline is the request's full time budget from now.

        :rtype: Reader
        """
        budget = max(run.request.budget_s, run.deadline - self.now())
        return AnswerReader(run, budget, self._on_reader_closed)

    def refusal_for(self, run: Run) -> Refusal | None:
        """Return the refusal for a caller that stops waiting now; None for a complete answer.

        :rtype: Refusal or None
        """
        if isinstance(run.end, Complete):
            if not run.answer_dropped:
                return None
            text = "it was answered before, and the answer is no longer kept"
            return Refusal(Verdict.FAILED, Reason.REPLAY_GONE, text)
        if run.end is not None:
            return run.end
        text = "it runs on; ask again with the same token to learn its end"
        return Refusal(Verdict.UNKNOWN, Reason.EXPIRED, text, RETRY_AFTER_S)

    # Running a request.

    async def _run_to_end(self, run: Run) -> None:
        try:
            async with asyncio.timeout(run.request.budget_s):
                await self._acquire_and_send(run)
        except TimeoutError:
            self._abandon(run, Reason.EXPIRED, "its deadline has passed")
        except asyncio.CancelledError:
            self._abandon(run, Reason.CALLER_LEFT, "its caller has left")
        except InvariantBroken:
            raise
        except Exception as error:
            log.error("request {} failed with an unexpected error: {!r}", run.id, error)
            self._metrics.count("faults")
            self._abandon(run, Reason.INTERNAL, "this host has a fault")
        finally:
            self._acquirer.forget_run(run)

    async def _acquire_and_send(self, run: Run) -> None:
        while run.end is None:
            decision = await self._acquirer.acquire(run)
            if isinstance(decision, Shed):
                self._recorder.refuse_shed(run, decision)
                return
            run.grant = decision
            self._events.add(EventKind.GRANTED, run.id, upstream=decision.upstream)
            if not self._configuration.may_dispatch(decision.upstream):
                self._acquirer.release(run, ReleaseOutcome.UNUSED)
            elif run.request.repeatable:
                await self._dispatcher.send(run, decision)
            else:
                # A dispatched run goes on without its caller, so that a retry with the same token
                # can read its outcome.
                await asyncio.shield(
                    self._start_task(_send_task_name(run), self._send_once(run, decision))
                )

    async def _send_once(self, run: Run, grant: Grant) -> None:
        try:
            async with asyncio.timeout(NOT_REPEATABLE_RUN_S):
                await self._dispatcher.send(run, grant)
        except TimeoutError:
            if run.dispatched and run.end is None:
                self._recorder.fail(run, Reason.NO_ANSWER, "it was sent and no answer came")

    def _abandon(self, run: Run, reason: Reason, detail: str) -> None:
        """End a run after its deadline, after its callers have left or after an internal error.

        A dispatched run that must not be repeated is left running.
        """
        if run.end is not None:
            return
        if not run.dispatched:
            self._acquirer.withdraw(run)
            retry_after_s = STOPPING_RETRY_S if reason is Reason.STOPPING else None
            self._recorder.refuse(run, not_run(reason, detail, retry_after_s))
        elif run.request.repeatable:
            self._recorder.fail(run, reason, detail)
            self._start_task(f"{run.id}/cancel", self._dispatcher.cancel(run))

    def _on_reader_closed(self, run: Run) -> None:
        """Cancel a run without readers, unless its caller may come back for the answer."""
        if run.readers > 0 or run.end is not None or run.request.held_token:
            return
        if run.dispatched and not run.request.repeatable:
            return
        self._events.add(EventKind.CALLER_LEFT, run.id, state=run.state)
        self._metrics.count("caller_left", tier=run.request.tier)
        task = self._tasks.get(run.id)
        if task is not None:
            task.cancel()

    def _start_task(self, name: str, work: Coroutine[None, None, None]) -> "asyncio.Task[None]":
        task = asyncio.create_task(work, name=name)
        self._tasks[name] = task
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.pop(task.get_name(), None)
        if not task.cancelled() and (error := task.exception()) is not None:
            report = {"message": "a task of a request raised an exception", "exception": error}
            asyncio.get_running_loop().call_exception_handler(report)

    # Stopping.

    def in_progress(self) -> list[Run]:
        """List the runs that have not ended; stopping now would cut them off.

        :rtype: list[Run]
        """
        return list(self.runs.active())

    def begin_stop(self, seconds: float) -> None:
        """Take only requests whose deadline lies before the end of the process from now on.

        :param seconds: time until then; infinite where it is not limited.
        """
        self.leaving = True
        self._ends_at = self.now() + seconds

    def end_runs(self) -> None:
        """End all runs that are in progress, and refuse new ones.

        Runs that were not dispatched get the verdict "not run"; the others are "failed" or
        "unknown".
        """
        self.stopping = True
        for run in self.in_progress():
            try:
                self._end_run(run)
            except Exception as error:
                log.error("request {} can't be ended: {!r}", run.id, error)

    def _end_run(self, run: Run) -> None:
        for name in (run.id, _send_task_name(run)):
            if (task := self._tasks.get(name)) is not None:
                task.cancel()
        self._abandon(run, Reason.STOPPING, STOPPING_DETAIL)
        if run.end is None:
            self._recorder.fail(run, Reason.STOPPING, STOPPING_DETAIL)

    async def drain(self) -> None:
        """Wait until every run has ended and every reader is closed."""
        while self._tasks or any(run.readers for run in self.runs.all()):  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_CHECK_S)


def _send_task_name(run: Run) -> str:
    return f"{run.id}/run"
