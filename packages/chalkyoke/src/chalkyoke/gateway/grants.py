"""
chalkyoke.gateway.grants

Acquire and release grants: the permission to send a request to one replica. Grants come from the
pool's scheduler, from the next scheduler in order if the first is silent, and from this node alone,
within bounds, if no scheduler answers.
"""

import asyncio
import math
from collections.abc import Callable, Collection
from typing import Protocol

import msgspec

from chalkyoke.balancing.local import LocalBalancer
from chalkyoke.gateway.granted import (
    DEFAULT_RETRY_S,
    Denied,
    Granted,
    GrantRequest,
    PermitPort,
    ReplicaPort,
    Source,
    with_load,
)
from chalkyoke.gateway.localchoice import LocalChoice
from chalkyoke.gateway.reception import DEFAULT_OUTPUT_TOKENS, Admission, fingerprint, prompt_blocks
from chalkyoke.rollouts.standing import trial_route
from chalkyoke.scheduling.messages import (
    Acquire,
    Adopt,
    EntryMessage,
    FirstOutput,
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

# Timeout for the first answer of a scheduler, in seconds: ten round trips between failure domains.
# The next scheduler is asked after it, so a lost scheduler breaks no goal of 0.15 s or more.
FIRST_ANSWER_TIMEOUT_S = 0.03
# Timeout for the answer of a scheduler that has answered before and is asked again, in seconds.
CHECK_TIMEOUT_S = 0.06
# Interval at which a scheduler that has queued a request is checked for being alive, in seconds:
# half of the shortest goal in use.
QUEUE_CHECK_INTERVAL_S = 0.15
# Time for which all requests skip a scheduler that did not answer one of them, in seconds.
SILENT_SCHEDULER_AVOID_S = 0.4
# Highest number of schedulers that a request asks: the owner, the next one in another failure
# domain and the next one in this node's own.
MAX_SCHEDULERS_ASKED = 3
# Time that the local choice looks for a replica before the schedulers are asked again, in seconds.
LOCAL_WAIT_S = 0.1
# Number of empty progress reports after the last running request, in case its release was lost.
TRAILING_REPORTS = 3
# Longest Retry-After time as a share of the request's remaining time, so that its caller retries.
MAX_RETRY_AFTER_SHARE = 0.3


class SchedulerPort(Protocol):
    """The pool schedulers in this process and in others."""

    def send(self, process: str, message: EntryMessage) -> None:
        """Send a message to the scheduler in a process."""

    def owners(self, pool: str) -> list[str]:
        """List the processes that may schedule a pool, the current owner first."""


class _HeldGrant(msgspec.Struct):
    admission: Admission
    granted: Granted


class Grants:
    """Acquire and release grants for this node's requests.

    :param random: source of numbers in [0, 1), to spread the retries of callers.
    :param now: the node's clock, in seconds.
    :param pooled: whether pool schedulers grant requests to engines; otherwise this node chooses
        the replicas.
    """

    def __init__(
        self,
        schedulers: SchedulerPort,
        replicas: ReplicaPort,
        balancer: LocalBalancer,
        permits: PermitPort,
        random: Callable[[], float],
        now: Callable[[], float],
        *,
        pooled: bool,
    ) -> None:
        self._schedulers = schedulers
        self._replicas = replicas
        self._balancer = balancer
        self._permits = permits
        self._now = now
        self._pooled = pooled
        self._local = LocalChoice(replicas, balancer, permits, random, now, pooled=pooled)
        self._loop = asyncio.get_running_loop()
        self._answer_queues: dict[str, asyncio.Queue[tuple[str, Grant | Shed | Queued]]] = {}
        self._held_grants: dict[str, _HeldGrant] = {}
        self._avoid_until: dict[str, float] = {}
        self._reported_owners: dict[str, str] = {}
        self._reports_left: dict[str, int] = {}

    # Acquiring.

    async def acquire(
        self,
        admission: Admission,
        attempt: int,
        avoid: Collection[str],
        *,
        for_trial: bool = False,
        local_only: bool = False,
    ) -> Granted | Denied:
        """Get a replica for a request, and wait while none is free.

        If no scheduler answers and this node's own share of the replicas is in use, the request
        asks the schedulers again every :data:`LOCAL_WAIT_S`, since the pool may have a new one.

        :param attempt: number of this grant among those that the request asked for.
        :param avoid: ids of replicas that were tried already.
        :param for_trial: whether the replica must run a version under trial.
        :param local_only: whether this node chooses without asking the schedulers.
        """
        if not self._replicas.of_service(admission.service.name, for_trial=for_trial):
            return Denied("no replica", DEFAULT_RETRY_S)
        wanted = GrantRequest(admission, attempt, avoid, for_trial)
        pooled = admission.service.is_engine and self._pooled and not local_only
        granted: Granted | Denied | None = None
        while granted is None:
            if pooled:
                granted = await self._ask_schedulers(wanted)
            if isinstance(granted, Granted) and not await self._ensure_permit(wanted, granted):
                granted, pooled = None, False
            if granted is None:
                wait_s = LOCAL_WAIT_S if pooled else math.inf
                granted = await self._local.choose(wanted, wait_s)
        if isinstance(granted, Granted):
            self._held_grants[admission.request_id] = _HeldGrant(admission, granted)
            self._balancer.stats(granted.replica.id).outstanding += 1
        return granted

    async def _ensure_permit(self, wanted: GrantRequest, granted: Granted) -> bool:
        """Get the permit that a scheduler's grant lacks, or return the grant if there is no permit.

        A scheduler that does not know a replica's limit keeps granting; one of an older version
        never knows it.
        """
        replica = granted.replica
        if granted.counted or not self._permits.is_limited(replica.id):
            return True
        try:
            granted.permit = await self._local.request_permit(replica, 0.0)
        finally:
            if granted.permit is None:
                self._send_unused(
                    granted.scheduler, wanted.admission.request_id, granted.attempt, replica.service
                )
        return granted.permit is not None

    async def _ask_schedulers(self, wanted: GrantRequest) -> Granted | Denied | None:
        admission = wanted.admission
        request = admission.request_id
        queue: asyncio.Queue[tuple[str, Grant | Shed | Queued]] = asyncio.Queue()
        self._answer_queues[request] = queue
        try:
            for owner in self._schedulers.owners(admission.service.name)[:MAX_SCHEDULERS_ASKED]:
                if self._avoid_until.get(owner, 0.0) > self._now():
                    continue
                decided = await self._ask_scheduler(owner, queue, wanted)
                if decided is not None:
                    return decided
                self._avoid_until[owner] = self._now() + SILENT_SCHEDULER_AVOID_S
                self._schedulers.send(owner, Withdraw(request, admission.service.name))
            return None
        except asyncio.CancelledError:
            for owner in self._schedulers.owners(admission.service.name)[:MAX_SCHEDULERS_ASKED]:
                self._schedulers.send(owner, Withdraw(request, admission.service.name))
            raise
        finally:
            del self._answer_queues[request]

    async def _ask_scheduler(
        self,
        owner: str,
        queue: "asyncio.Queue[tuple[str, Grant | Shed | Queued]]",
        wanted: GrantRequest,
    ) -> Granted | Denied | None:
        """Ask one scheduler until it decides.

        :return: None if the scheduler stops answering, or grants an unknown replica.
        """
        self._schedulers.send(owner, self._acquire_message(wanted))
        wait_s = FIRST_ANSWER_TIMEOUT_S
        asked_again = False
        while True:
            try:
                async with asyncio.timeout(wait_s):
                    process, message = await queue.get()
            except TimeoutError:
                if wait_s != QUEUE_CHECK_INTERVAL_S or asked_again:
                    return None
                asked_again = True
                wait_s = CHECK_TIMEOUT_S
                self._schedulers.send(owner, self._acquire_message(wanted))
                continue
            if message.attempt != wanted.attempt:
                continue
            if isinstance(message, Queued):
                if process == owner:
                    wait_s, asked_again = QUEUE_CHECK_INTERVAL_S, False
                continue
            return self._read_decision(process, message, for_trial=wanted.for_trial)

    def _read_decision(
        self, process: str, message: Grant | Shed, *, for_trial: bool
    ) -> Granted | Denied | None:
        if isinstance(message, Shed):
            return Denied(message.reason, message.retry_after_s or DEFAULT_RETRY_S)
        replica = self._replicas.find(message.upstream, for_trial=for_trial)
        if replica is None:
            self._send_unused(process, message.request, message.attempt, message.pool)
            return None
        return Granted(
            replica,
            message.attempt,
            Source.SCHEDULER,
            process,
            expected_first_s=message.expected_first_s,
            for_trial=for_trial,
            counted=message.counted,
        )

    def _acquire_message(self, wanted: GrantRequest) -> Acquire:
        admission = wanted.admission
        now = self._now()
        fields = admission.fields
        streams = admission.route.is_stream
        last = admission.patience_until if streams else admission.deadline
        return Acquire(
            request=admission.request_id,
            attempt=wanted.attempt,
            pool=admission.service.name,
            route=_route_name(admission, for_trial=wanted.for_trial),
            tier=str(admission.rank),
            team=admission.team.name if admission.team else "",
            prompt_tokens=fields.prompt_tokens,
            max_output=fields.max_output_tokens or DEFAULT_OUTPUT_TOKENS,
            blocks=prompt_blocks(fields),
            budget_s=last - now,
            waited_s=now - admission.arrived_at,
            goal_s=(admission.due_at - now) or -1e-3,
            likely_output=fields.estimated_output_tokens,
            gap_goal_s=admission.route.gap_goal_s,
            whole_s=admission.deadline - now,
            fingerprint=fingerprint(admission),
            comes_back_s=(admission.deadline - now) * MAX_RETRY_AFTER_SHARE,
            tried=tuple(wanted.avoid),
        )

    # Messages from schedulers.

    def receive(self, process: str, message: Grant | Shed | Queued) -> None:
        """Handle a scheduler's answer; a grant for which no request waits is returned."""
        self._avoid_until.pop(process, None)
        queue = self._answer_queues.get(message.request)
        if queue is not None:
            queue.put_nowait((process, message))
            return
        held = self._held_grants.get(message.request)
        if isinstance(message, Grant) and (
            held is None
            or held.granted.scheduler != process
            or held.granted.attempt != message.attempt
        ):
            self._send_unused(process, message.request, message.attempt, message.pool)

    def _send_unused(self, process: str, request: str, attempt: int, pool: str) -> None:
        """Return an unused grant to its scheduler."""
        unused = Release(request, attempt, pool, ReleaseOutcome.UNUSED, Usage())
        self._schedulers.send(process, unused)

    # Running and releasing.

    def record_started(self, admission: Admission, granted: Granted) -> None:
        """Record that a request was sent, and report a local grant to the pool's owner."""
        granted.started_at = self._now()
        if granted.source is Source.LOCAL and admission.service.is_engine and self._pooled:
            owners = self._schedulers.owners(admission.service.name)
            item = self._running_item(_HeldGrant(admission, granted))
            for owner in owners[:1]:
                self._schedulers.send(owner, Adopt(admission.service.name, (item,)))

    def record_first_output(self, admission: Admission, granted: Granted, first_s: float) -> None:
        """Record the time to the first event and report it to the schedulers.

        :param first_s: time from the send to the first event, in seconds.
        """
        granted.first_s = first_s
        if not admission.service.is_engine or not self._pooled:
            return
        pool = admission.service.name
        message = FirstOutput(admission.request_id, pool, first_s, *granted.load)
        for process in dict.fromkeys([granted.scheduler, *self._schedulers.owners(pool)[:1]]):
            if process:
                self._schedulers.send(process, message)

    def release(self, admission: Admission, granted: Granted, outcome: ReleaseOutcome) -> None:
        """Release a grant and report the usage of the replica to the schedulers."""
        held = self._held_grants.get(admission.request_id)
        if held is None or held.granted is not granted:
            return
        del self._held_grants[admission.request_id]
        self._balancer.stats(granted.replica.id).outstanding -= 1
        if granted.permit is not None and not granted.started_at:
            self._permits.return_permit(granted.permit)
        if not admission.service.is_engine or not self._pooled:
            return
        pool = admission.service.name
        usage = Usage(
            prompt_tokens=admission.fields.prompt_tokens,
            output_tokens=granted.events * admission.service.tokens_per_event,
            first_s=granted.first_s,
            total_s=self._now() - granted.started_at if granted.started_at else 0.0,
        )
        message = Release(
            admission.request_id,
            granted.attempt,
            pool,
            outcome,
            usage,
            declined=granted.is_first_decline,
            rest_s=self._balancer.stats(granted.replica.id).rest_left_s(self._now()),
        )
        if not granted.events:
            # A stream's load was reported with its first output and is old by now.
            message = with_load(message, granted.load)
        owner = self._schedulers.owners(pool)[:1]
        for process in dict.fromkeys([granted.scheduler, *owner]):
            if process:
                self._schedulers.send(process, message)

    def send_progress(self) -> None:
        """Report the progress of running requests to the schedulers; call about once a second."""
        now = self._now()
        items: dict[tuple[str, str], list[ProgressItem]] = {}
        for request, held in self._held_grants.items():
            service = held.admission.service
            if not service.is_engine or not self._pooled:
                continue
            granted = held.granted
            item = ProgressItem(
                request,
                granted.events * service.tokens_per_event,
                granted.first_s,
                now - granted.started_at if granted.started_at else 0.0,
            )
            owner = self._schedulers.owners(service.name)[:1]
            for process in dict.fromkeys([granted.scheduler, *owner]):
                if process:
                    items.setdefault((process, service.name), []).append(item)
        for key in items:
            self._reports_left[f"{key[0]}|{key[1]}"] = TRAILING_REPORTS
        for name in list(self._reports_left):
            process, _, pool = name.rpartition("|")
            self._schedulers.send(process, Progress(pool, tuple(items.get((process, pool), ()))))
            self._reports_left[name] -= 1
            if self._reports_left[name] <= 0:
                del self._reports_left[name]

    def report_to_new_owners(self, pools: Collection[str]) -> None:
        """Report the running requests of each pool whose owner has changed."""
        if not self._pooled:
            return
        for pool in pools:
            owners = self._schedulers.owners(pool)[:1]
            if owners and self._reported_owners.get(pool) != owners[0]:
                self._reported_owners[pool] = owners[0]
                self.report_running(pool, owners[0])

    def report_running(self, pool: str, process: str) -> None:
        """Report to a scheduler the grants of a pool that this node holds."""
        items = tuple(
            self._running_item(held)
            for held in self._held_grants.values()
            if held.admission.service.name == pool
        )
        self._schedulers.send(process, Adopt(pool, items))

    def _running_item(self, held: _HeldGrant) -> RunningItem:
        admission, granted = held.admission, held.granted
        return RunningItem(
            request=admission.request_id,
            attempt=granted.attempt,
            upstream=granted.replica.id,
            tier=str(admission.rank),
            team=admission.team.name if admission.team else "",
            route=_route_name(admission, for_trial=granted.for_trial),
            prompt_tokens=admission.fields.prompt_tokens,
            max_output=admission.fields.max_output_tokens or DEFAULT_OUTPUT_TOKENS,
            output_tokens=granted.events * admission.service.tokens_per_event,
            elapsed_s=self._now() - granted.started_at if granted.started_at else 0.0,
        )


def _route_name(admission: Admission, *, for_trial: bool) -> str:
    name = admission.route.name
    return trial_route(name) if for_trial else name
