"""
chalkyoke.node.quotasnapshots

Makes the calls to the store that keep the snapshots of this node's quota windows.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Coroutine, Iterator

from chalkyoke.administration.metrics import Metrics
from chalkyoke.logs import logger
from chalkyoke.quotas.growth import VALUE_TTL_S
from chalkyoke.quotas.ownersnapshots import OwnerSnapshots
from chalkyoke.quotas.snapshotcalls import (
    GrantLease,
    ReadAll,
    ReadBack,
    RenewLease,
    SnapshotCalls,
    StoreAnswer,
    StoreCall,
    WriteValue,
)
from chalkyoke.storage.messages import Unavailable, Written
from chalkyoke.storage.port import Store

# How often an owner checks whether a call is due, in seconds: a fifth of the time in which the
# steepest ramp uses up the growth that is left when a write is due.
CHECK_INTERVAL_S = 0.05
# Highest number of teams in one log line.
MAX_LOGGED_TEAMS = 10

log = logger("quotas")


class QuotaSnapshots:
    """Keep the snapshots of this node's quota windows in the store.

    :param snapshots: the snapshots of this node's owner.
    :param prefix: prefix of the keys of all owners.
    :param process: id of this process, unique in the fleet; the key ends with it.
    :param writers: returns the number of nodes that may write snapshots.
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        store: Store,
        snapshots: OwnerSnapshots,
        prefix: str,
        process: str,
        writers: Callable[[], int],
        metrics: Metrics,
        now: Callable[[], float],
    ) -> None:
        self._store = store
        self._snapshots = snapshots
        self._prefix = prefix
        self._key = prefix + process
        self._calls = SnapshotCalls(snapshots, self._key)
        self._writers = writers
        self._metrics = metrics
        self._now = now
        self._owning = asyncio.Event()
        self._check = asyncio.Event()
        self._calling: set[str] = set()
        self._answered: asyncio.Future[None] | None = None
        self._failed = False
        metrics.register_gauge("quota_snapshot_failing", lambda: float(self._calls.failing))
        metrics.register_gauge("quota_snapshot_age_s", self._age_s)
        self._acknowledged_at: float | None = None

    def wake(self) -> None:
        """Check for calls that are due; a node that owns no team makes none."""
        self._owning.set()
        self._check.set()

    async def wait(self, timeout_s: float) -> bool:
        """Wait until the store has answered a call; don't wait while its calls fail.

        :return: whether it has answered in time.
        """
        self._metrics.count("quota_snapshot_waits")
        if self._calls.failing:
            return False
        self._check.set()
        if self._answered is None:
            self._answered = asyncio.get_running_loop().create_future()
        done, _ = await asyncio.wait([self._answered], timeout=timeout_s)
        return bool(done)

    def store_restored(self, epoch: int) -> None:
        """Write again after a restore of the store from a backup.

        :param epoch: the epoch of the restored store.
        """
        self._calls.store_restored(epoch)

    async def run(self) -> None:
        """Make the calls that are due, until cancelled."""
        self._calling.clear()
        async with asyncio.TaskGroup() as group:
            while True:
                if not self._snapshots.is_active:
                    self._owning.clear()
                await self._owning.wait()
                self._check.clear()
                for kind, call in self._due_calls():
                    self._calling.add(kind)
                    group.create_task(self._make_call(kind, call))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(CHECK_INTERVAL_S):
                        await self._check.wait()

    def _due_calls(self) -> Iterator[tuple[str, StoreCall]]:
        now = self._now()
        if "read" not in self._calling and (read := self._calls.next_read(now)):
            yield "read", read
        if "renewal" not in self._calling and (renewal := self._calls.next_renewal(now)):
            yield "renewal", renewal
        if "write" not in self._calling and (write := self._calls.next_write(self._writers(), now)):
            yield "write", write

    async def _make_call(self, kind: str, call: StoreCall) -> None:
        answer = await self._execute(call)
        self._calling.discard(kind)
        self._calls.apply(call, answer, self._now())
        self._report(call, answer)
        if kind != "renewal":
            self._wake_waiting()
        self._check.set()

    def _execute(self, call: StoreCall) -> Coroutine[None, None, StoreAnswer]:
        if isinstance(call, GrantLease):
            return self._store.grant_lease(VALUE_TTL_S)
        if isinstance(call, RenewLease):
            return self._store.renew_lease(call.lease)
        if isinstance(call, ReadAll):
            return self._store.read(self._prefix)
        if isinstance(call, ReadBack):
            return self._store.read(self._key)
        return self._store.write(self._key, call.value, lease=call.lease, expected=call.expected)

    def _wake_waiting(self) -> None:
        answered, self._answered = self._answered, None
        if answered is not None and not answered.done():
            answered.set_result(None)

    def _age_s(self) -> float:
        """Return the time since the last acknowledged write, in seconds; -1 before the first."""
        return -1.0 if self._acknowledged_at is None else self._now() - self._acknowledged_at

    def _report(self, call: StoreCall, answer: StoreAnswer) -> None:
        outcome = type(answer).__name__.lower()
        self._metrics.count("quota_snapshot_calls", call=type(call).__name__, outcome=outcome)
        if isinstance(call, WriteValue):
            self._metrics.count("quota_snapshot_bytes", len(call.value))
            if isinstance(answer, Written):
                self._acknowledged_at = self._now()
        if isinstance(call, ReadAll) and not isinstance(answer, Unavailable):
            self._report_read(call)
        if self._failed != self._calls.failing:
            self._failed = self._calls.failing
            log.notice("quota_snapshots_failing", failing=self._failed, outcome=outcome)

    def _report_read(self, call: ReadAll) -> None:
        resumed = self._calls.resumed
        self._metrics.count("quota_windows_resumed", len(resumed))
        log.notice(
            "quota_snapshots_read",
            teams=len(call.teams),
            resumed=list(itertools.islice(resumed, MAX_LOGGED_TEAMS)),
        )
