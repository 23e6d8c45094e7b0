"""
chalkyoke.entry.acquirer

The entry process's side of scheduling: acquires grants from a pool's scheduler, releases them, and
switches to another scheduler when the pool's owner changes.
"""

import asyncio
from collections.abc import Callable

from chalkyoke.administration.metrics import Metrics
from chalkyoke.entry.ports import ConfigurationPort, SchedulerPort
from chalkyoke.entry.runs import Runs
from chalkyoke.entry.state import Run
from chalkyoke.entry.streams import StreamUsage
from chalkyoke.scheduling.messages import (
    Acquire,
    Adopt,
    Grant,
    Progress,
    ProgressItem,
    Queued,
    Release,
    RunningItem,
    Shed,
    Usage,
    Withdraw,
)
from chalkyoke.scheduling.state import ReleaseOutcome
from chalkyoke.tokens.state import TokenState

# Interval in seconds at which a request without a decision is sent again: the pool's owner may have
# changed.
ACQUIRE_RESEND_S = 1.0
# Number of empty progress reports after a pool's last running request, in case a release was lost.
TRAILING_REPORT_COUNT = 5


class Acquirer:
    """Acquire grants for runs, release them and report progress to schedulers.

    :param now: seconds on the monotonic clock since this process started.
    """

    def __init__(
        self,
        runs: Runs,
        schedulers: SchedulerPort,
        configuration: ConfigurationPort,
        metrics: Metrics,
        now: Callable[[], float],
    ) -> None:
        self._runs = runs
        self._schedulers = schedulers
        self._configuration = configuration
        self._metrics = metrics
        self._now = now
        self._loop = asyncio.get_running_loop()
        self._decisions: dict[str, asyncio.Future[Grant | Shed]] = {}
        self._known_owners: dict[str, str] = {}
        self._trailing_reports: dict[str, int] = {}

    async def acquire(self, run: Run) -> Grant | Shed:
        """Request a grant from the pool's current owner until a decision arrives."""
        run.attempt += 1
        future: asyncio.Future[Grant | Shed] = self._loop.create_future()
        self._decisions[run.id] = future
        started = self._now()
        while True:
            self._send_acquire(run)
            done, _ = await asyncio.wait([future], timeout=ACQUIRE_RESEND_S)
            if done:
                self._metrics.record_duration("queue", self._now() - started, tier=run.request.tier)
                return future.result()

    def _send_acquire(self, run: Run) -> None:
        pool = self._configuration.pool(run.request.service, run.id)
        request = run.request
        message = Acquire(
            request=run.id,
            attempt=run.attempt,
            pool=pool,
            route=request.route,
            tier=request.tier,
            team=request.team,
            prompt_tokens=request.prompt_tokens,
            max_output=request.max_output,
            blocks=request.blocks,
            budget_s=run.deadline - self._now(),
            waited_s=self._now() - run.arrived,
        )
        self._schedulers.send(self._current_owner(pool), message)

    def forget_run(self, run: Run) -> None:
        """Drop the pending decision of a run that has ended."""
        self._decisions.pop(run.id, None)

    def withdraw(self, run: Run) -> None:
        """Withdraw a waiting run from its scheduler, or release its grant if it has one already."""
        if run.grant is not None and run.grant.attempt == run.attempt:
            self.release(run, ReleaseOutcome.UNUSED)
            return
        pool = self._configuration.pool(run.request.service, run.id)
        self._schedulers.send(self._current_owner(pool), Withdraw(run.id, pool))

    def release(
        self,
        run: Run,
        outcome: ReleaseOutcome,
        stream_usage: StreamUsage | None = None,
        rest_s: float = 0.0,
    ) -> None:
        """Release a run's grant and report the usage of the upstream.

        Does nothing for a run without a grant.

        :param stream_usage: usage that the upstream reported; the tokens counted here are used
            where it reported none.
        :param rest_s: time for which the upstream asks this process to send it nothing, in seconds.
        """
        grant = run.grant
        if grant is None:
            return
        if outcome in (ReleaseOutcome.UNUSED, ReleaseOutcome.UNREACHABLE):
            run.grant = None
        stream_usage = stream_usage or StreamUsage()
        total = self._now() - run.dispatched_at if run.dispatched else 0.0
        usage = Usage(
            prompt_tokens=run.request.prompt_tokens,
            cached_tokens=stream_usage.cached_tokens,
            output_tokens=stream_usage.output_tokens
            if stream_usage.output_tokens >= 0
            else run.output_tokens,
            first_s=run.first_s,
            total_s=total,
        )
        message = Release(run.id, grant.attempt, grant.pool, outcome, usage, rest_s=rest_s)
        self._schedulers.send(self._current_owner(grant.pool), message)

    # Messages from schedulers and changes of owners.

    def receive(self, process: str, message: Grant | Shed | Queued) -> None:
        """Apply a scheduler's decision; release a grant that no run waits for.

        :param process: id of the scheduler's process.
        """
        if isinstance(message, Queued):
            return
        future = self._decisions.get(message.request)
        run = self._runs.find(message.request)
        awaited = (
            future is not None
            and not future.done()
            and run is not None
            and run.attempt == message.attempt
            and self._current_owner(message.pool) == process
        )
        if awaited and future is not None:
            future.set_result(message)
        elif isinstance(message, Grant) and not self._holds_grant(run, message):
            unused = Release(
                message.request, message.attempt, message.pool, ReleaseOutcome.UNUSED, Usage()
            )
            self._schedulers.send(process, unused)

    def _holds_grant(self, run: Run | None, grant: Grant) -> bool:
        if run is None or run.end is not None or run.grant is None:
            return False
        return run.grant.attempt == grant.attempt and run.grant.upstream == grant.upstream

    def _current_owner(self, pool: str) -> str:
        """Return the pool's owner; switch to the new one first if the owner has changed."""
        owner = self._schedulers.owner(pool)
        previous = self._known_owners.get(pool)
        if previous != owner:
            self._known_owners[pool] = owner
            self._switch_owner(pool, previous, owner)
        return owner

    def check_owners(self) -> None:
        """Switch to the new scheduler of each pool whose owner has changed."""
        for pool in self._configuration.pools():
            self._current_owner(pool)

    def _switch_owner(self, pool: str, previous: str | None, owner: str) -> None:
        """Report this process's grants to the new scheduler and acquire again for its waiting runs.

        A previous owner that is still alive gets a withdrawal for each of those runs.
        """
        self.report_running(pool, owner)
        for run in [each for each in self._runs.active() if self._belongs_to_pool(each, pool)]:
            future = self._decisions.get(run.id)
            if run.state is not TokenState.QUEUED or future is None or future.done():
                continue
            if previous is not None and self._schedulers.is_alive(previous):
                self._schedulers.send(previous, Withdraw(run.id, pool))
            self._send_acquire(run)

    def report_running(self, pool: str, process: str) -> None:
        """Report to a scheduler which of a pool's grants this process holds.

        :param process: id of the scheduler's process.
        """
        now = self._now()
        items = tuple(
            _running_item(run, run.grant, now)
            for run in self._runs.active()
            if run.grant is not None and run.grant.pool == pool
        )
        self._schedulers.send(process, Adopt(pool, items))

    def _belongs_to_pool(self, run: Run, pool: str) -> bool:
        if run.grant is not None:
            return run.grant.pool == pool
        return self._configuration.pool(run.request.service, run.id) == pool

    def send_progress(self) -> None:
        """Report the progress of running requests to each pool's scheduler; call once a second.

        A pool without running requests gets a few empty reports, in case a release was lost.
        """
        items: dict[str, list[ProgressItem]] = {pool: [] for pool in self._trailing_reports}
        for run in self._runs.active():
            if run.grant is not None and run.dispatched:
                elapsed = self._now() - run.dispatched_at
                item = ProgressItem(run.id, run.output_tokens, run.first_s, elapsed)
                items.setdefault(run.grant.pool, []).append(item)
            elif run.grant is not None:
                item = ProgressItem(run.id, 0, -1.0, 0.0)
                items.setdefault(run.grant.pool, []).append(item)
        for pool, each in items.items():
            self._schedulers.send(self._current_owner(pool), Progress(pool, tuple(each)))
            self._trailing_reports[pool] = (
                TRAILING_REPORT_COUNT if each else self._trailing_reports[pool] - 1
            )
            if self._trailing_reports[pool] == 0:
                del self._trailing_reports[pool]


def _running_item(run: Run, grant: Grant, now: float) -> RunningItem:
    request = run.request
    return RunningItem(
        request=run.id,
        attempt=grant.attempt,
        upstream=grant.upstream,
        tier=request.tier,
        team=request.team,
        route=request.route,
        prompt_tokens=request.prompt_tokens,
        max_output=request.max_output,
        output_tokens=run.output_tokens,
        elapsed_s=now - run.dispatched_at if run.dispatched else 0.0,
    )
