"""
chalkyoke.entry.acquirer

The entry process's side of scheduling: ask the pool's scheduler for grants, give them back, and
move to another scheduler when a pool's owner changes.
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

# How often a scheduler that has not decided is asked again, in seconds: its owner may have changed.
RESEND_S = 1.0
# Empty reports after the last running request, in number, in case a release was lost.
TRAILING_REPORTS = 5


class Acquirer:
    """Acquire and release grants.

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
        self._verdicts: dict[str, asyncio.Future[Grant | Shed]] = {}
        self._owners: dict[str, str] = {}
        self._trailing: dict[str, int] = {}

    async def acquire(self, run: Run) -> Grant | Shed:
        """Ask the pool's scheduler until it decides; whoever that is by then."""
        run.attempt += 1
        future: asyncio.Future[Grant | Shed] = self._loop.create_future()
        self._verdicts[run.id] = future
        started = self._now()
        while True:
            self._send_acquire(run)
            done, _ = await asyncio.wait([future], timeout=RESEND_S)
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
        self._schedulers.send(self._owner(pool), message)

    def forget(self, run: Run) -> None:
        """Drop what is kept for a run that is over."""
        self._verdicts.pop(run.id, None)

    def withdraw(self, run: Run) -> None:
        """Take a waiting run back from its scheduler."""
        if run.grant is not None and run.grant.attempt == run.attempt:
            self.release(run, ReleaseOutcome.UNUSED)
            return
        pool = self._configuration.pool(run.request.service, run.id)
        self._schedulers.send(self._owner(pool), Withdraw(run.id, pool))

    def release(
        self,
        run: Run,
        outcome: ReleaseOutcome,
        seen: StreamUsage | None = None,
        rest_s: float = 0.0,
    ) -> None:
        """Give a run's grant back, with what the upstream did for it.

        :param rest_s: for how long the upstream wants nothing of this process, in seconds.
        """
        grant = run.grant
        if grant is None:
            return
        if outcome in (ReleaseOutcome.UNUSED, ReleaseOutcome.UNREACHABLE):
            run.grant = None
        seen = seen or StreamUsage()
        total = self._now() - run.dispatched_at if run.dispatched else 0.0
        usage = Usage(
            prompt_tokens=run.request.prompt_tokens,
            cached_tokens=seen.cached_tokens,
            output_tokens=seen.output_tokens if seen.output_tokens >= 0 else run.output_tokens,
            first_s=run.first_s,
            total_s=total,
        )
        message = Release(run.id, grant.attempt, grant.pool, outcome, usage, rest_s=rest_s)
        self._schedulers.send(self._owner(grant.pool), message)

    # What schedulers say.

    def receive(self, process: str, message: Grant | Shed | Queued) -> None:
        """Take a scheduler's decision; a grant that nobody waits for is given back.

        :param process: id of the scheduler's process.
        """
        if isinstance(message, Queued):
            return
        future = self._verdicts.get(message.request)
        run = self._runs.find(message.request)
        awaited = (
            future is not None
            and not future.done()
            and run is not None
            and run.attempt == message.attempt
            and self._owner(message.pool) == process
        )
        if awaited and future is not None:
            future.set_result(message)
        elif isinstance(message, Grant) and not self._is_held(run, message):
            unused = Release(
                message.request, message.attempt, message.pool, ReleaseOutcome.UNUSED, Usage()
            )
            self._schedulers.send(process, unused)

    def _is_held(self, run: Run | None, grant: Grant) -> bool:
        if run is None or run.end is not None or run.grant is None:
            return False
        return run.grant.attempt == grant.attempt and run.grant.upstream == grant.upstream

    def _owner(self, pool: str) -> str:
        owner = self._schedulers.owner(pool)
        before = self._owners.get(pool)
        if before != owner:
            self._owners[pool] = owner
            self._move_pool(pool, before, owner)
        return owner

    def check_owners(self) -> None:
        """Move to the new schedulers of pools whose owner has changed."""
        for pool in self._configuration.pools():
            self._owner(pool)

    def _move_pool(self, pool: str, before: str | None, owner: str) -> None:
        """Tell a new scheduler what runs here, and ask it for what waits here."""
        self.tell_running(pool, owner)
        for run in [each for each in self._runs.active() if self._in_pool(each, pool)]:
            future = self._verdicts.get(run.id)
            if run.state is not TokenState.QUEUED or future is None or future.done():
                continue
            if before is not None and self._schedulers.is_alive(before):
                self._schedulers.send(before, Withdraw(run.id, pool))
            self._send_acquire(run)

    def tell_running(self, pool: str, process: str) -> None:
        """Tell a scheduler which of a pool's grants are held here.

        :param process: id of the scheduler's process.
        """
        now = self._now()
        items = tuple(
            _running_item(run, run.grant, now)
            for run in self._runs.active()
            if run.grant is not None and run.grant.pool == pool
        )
        self._schedulers.send(process, Adopt(pool, items))

    def _in_pool(self, run: Run, pool: str) -> bool:
        if run.grant is not None:
            return run.grant.pool == pool
        return self._configuration.pool(run.request.service, run.id) == pool

    def send_progress(self) -> None:
        """Tell each pool's scheduler how far running work has come; call once a second.

        A pool where nothing runs any more is told so a few times, in case a release was lost.
        """
        items: dict[str, list[ProgressItem]] = {pool: [] for pool in self._trailing}
        for run in self._runs.active():
            if run.grant is not None and run.dispatched:
                elapsed = self._now() - run.dispatched_at
                item = ProgressItem(run.id, run.output_tokens, run.first_s, elapsed)
                items.setdefault(run.grant.pool, []).append(item)
            elif run.grant is not None:
                item = ProgressItem(run.id, 0, -1.0, 0.0)
                items.setdefault(run.grant.pool, []).append(item)
        for pool, each in items.items():
            self._schedulers.send(self._owner(pool), Progress(pool, tuple(each)))
            self._trailing[pool] = TRAILING_REPORTS if each else self._trailing[pool] - 1
            if self._trailing[pool] == 0:
                del self._trailing[pool]


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
