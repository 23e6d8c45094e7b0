"""
chalkyoke.gateway.grants

Acquire and release grants: the permission to send a request to one replica. Grants come from the
pool's scheduler, from the next scheduler in order if the first is silent, and from this node alone,
within bounds, if no scheduler answers.
"""

import asyncio
import math
from collections.abc import Callable, Collection, Mapping
from typing import Protocol

import msgspec

from chalkyoke.balancing.local import LocalBalancer
from chalkyoke.catalog.resources import Service
from chalkyoke.gateway.granted import (
    DEFAULT_RETRY_S,
    Denied,
    Granted,
    GrantRequest,
    OtherVersion,
    PermitPort,
    ReplicaPort,
    Source,
    find_eligible,
)
from chalkyoke.gateway.grantmessages import (
    acquire_message,
    progress_item,
    release_message,
    running_item,
)
from chalkyoke.gateway.localchoice import LocalChoice
from chalkyoke.gateway.reception import Admission
from chalkyoke.scheduling.messages import (
    Adopt,
    EntryMessage,
    FirstOutput,
    Grant,
    Progress,
    ProgressItem,
    Queued,
    Release,
    Shed,
    Usage,
    Withdraw,
)
from chalkyoke.scheduling.state import PoolSpec, ReleaseOutcome

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
# Time for which a plain request has run before progress reports list it, in seconds: most end far
# sooner, and their release says all.
MIN_REPORTED_PLAIN_S = 1.0
# Number of empty progress reports after the last running request, in case its release was lost.
TRAILING_REPORTS = 3


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
    :param nodes: returns the number of nodes that may exist in the fleet.
    :param plain_queued: returns whether the scheduler of a plain service's pool decides for it now;
        by default, this node chooses the replicas of all plain services.
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
        nodes: Callable[[], int] = lambda: 1,
        plain_queued: Callable[[str], bool] = lambda _: False,
        *,
        pooled: bool,
    ) -> None:
        self._schedulers = schedulers
        self._replicas = replicas
        self._balancer = balancer
        self._permits = permits
        self._now = now
        self._pooled = pooled
        self._plain_queued = plain_queued
        self._local = LocalChoice(replicas, balancer, permits, random, now, nodes, pooled=pooled)
        self._loop = asyncio.get_running_loop()
        self._answer_queues: dict[str, asyncio.Queue[tuple[str, Grant | Shed | Queued]]] = {}
        self._held_grants: dict[str, _HeldGrant] = {}
        self._avoid_until: dict[tuple[str, str], float] = {}
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
        digest: Callable[[], bytes] | None = None,
        version: str | None = None,
    ) -> Granted | Denied:
        """Get a replica for a request, and wait while none is free.

        If no scheduler answers and this node's own share of the replicas is in use, the request
        asks the schedulers again every :data:`LOCAL_WAIT_S`, since the pool may have a new one.

        :param attempt: number of this grant among those that the request asked for.
        :param avoid: ids of replicas that were tried already.
        :param for_trial: whether the replica must run a version under trial.
        :param local_only: whether this node chooses without asking the schedulers.
        :param digest: returns the digest of the request's content, by which the scheduler of a
            plain service recognises retries.
        :param version: software version that the replica must run; None for any.
        """
        wanted = GrantRequest(admission, attempt, avoid, for_trial, digest, version)
        service = admission.service
        if not find_eligible(self._replicas, service.name, version, for_trial=for_trial):
            return Denied("no replica", DEFAULT_RETRY_S)
        queued = self._is_queued(service)
        pooled = queued and not local_only
        granted: Granted | Denied | None = None
        while granted is None:
            if pooled:
                granted = await self._ask_schedulers(wanted)
            if isinstance(granted, Granted) and not await self._ensure_permit(wanted, granted):
                granted, pooled = None, False
            if granted is None:
                wait_s = LOCAL_WAIT_S if pooled else math.inf
                granted = await self._local.choose(wanted, wait_s, queued=queued)
        if isinstance(granted, Granted):
            self._hold(admission, granted)
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
                    granted.scheduler, wanted.admission.search_id, granted.attempt, replica.service
                )
        return granted.permit is not None

    async def _ask_schedulers(self, wanted: GrantRequest) -> Granted | Denied | None:
        admission = wanted.admission
        request = admission.search_id
        queue: asyncio.Queue[tuple[str, Grant | Shed | Queued]] = asyncio.Queue()
        self._answer_queues[request] = queue
        try:
            for owner in self._schedulers.owners(admission.service.name)[:MAX_SCHEDULERS_ASKED]:
                if self._avoid_until.get(_avoid_key(owner, admission.service), 0.0) > self._now():
                    continue
                decided = await self._ask_scheduler(owner, queue, wanted)
                if isinstance(decided, OtherVersion):
                    return None
                if decided is not None:
                    return decided
                avoid_key = _avoid_key(owner, admission.service)
                self._avoid_until[avoid_key] = self._now() + SILENT_SCHEDULER_AVOID_S
                self._schedulers.send(owner, Withdraw(request, admission.service.name))
            return None
        except asyncio.CancelledError:
            for owner in self._schedulers.owners(admission.service.name)[:MAX_SCHEDULERS_ASKED]:
                self._schedulers.send(owner, Withdraw(request, admission.service.name))
            self._return_unread(queue)
            raise
        finally:
            del self._answer_queues[request]

    async def _ask_scheduler(
        self,
        owner: str,
        queue: "asyncio.Queue[tuple[str, Grant | Shed | Queued]]",
        wanted: GrantRequest,
    ) -> Granted | Denied | OtherVersion | None:
        """Ask one scheduler until it decides.

        :return: None if the scheduler stops answering, or grants an unknown replica.
        """
        self._schedulers.send(owner, acquire_message(wanted, self._now()))
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
                self._schedulers.send(owner, acquire_message(wanted, self._now()))
                continue
            if message.attempt != wanted.attempt:
                continue
            if isinstance(message, Queued):
                if process == owner:
                    wait_s, asked_again = QUEUE_CHECK_INTERVAL_S, False
                continue
            return self._read_decision(process, message, wanted)

    def _read_decision(
        self, process: str, message: Grant | Shed, wanted: GrantRequest
    ) -> Granted | Denied | OtherVersion | None:
        if isinstance(message, Shed):
            return Denied(message.reason, message.retry_after_s or DEFAULT_RETRY_S)
        is_version_bound = wanted.version is not None
        replica = self._replicas.find(
            message.upstream, for_trial=wanted.for_trial or is_version_bound
        )
        if replica is None:
            self._send_unused(process, message.request, message.attempt, message.pool)
            return None
        if is_version_bound and replica.version != wanted.version:
            self._send_unused(process, message.request, message.attempt, message.pool)
            return OtherVersion()
        return Granted(
            replica,
            message.attempt,
            Source.SCHEDULER,
            process,
            expected_first_s=message.expected_first_s,
            for_trial=wanted.for_trial,
            counted=message.counted,
            is_version_bound=is_version_bound,
        )

    def _return_unread(self, queue: "asyncio.Queue[tuple[str, Grant | Shed | Queued]]") -> None:
        """Return the grants that have arrived for a search that was cancelled."""
        while not queue.empty():
            process, message = queue.get_nowait()
            if isinstance(message, Grant):
                self._send_unused(process, message.request, message.attempt, message.pool)

    # Messages from schedulers.

    def receive(self, process: str, message: Grant | Shed | Queued) -> None:
        """Handle a scheduler's answer; a grant for which no request waits is returned."""
        self._avoid_until.pop((process, ""), None)
        self._avoid_until.pop((process, message.pool), None)
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
        if granted.source is Source.LOCAL:
            self._report_to_owner(admission, granted)

    def reinstate(self, admission: Admission, granted: Granted) -> None:
        """Hold a grant again that was released, since its replica may go on with the request."""
        self._hold(admission, granted)
        self._report_to_owner(admission, granted)

    def _hold(self, admission: Admission, granted: Granted) -> None:
        self._held_grants[admission.search_id] = _HeldGrant(admission, granted)
        self._balancer.stats(granted.replica.id).outstanding += 1

    def _report_to_owner(self, admission: Admission, granted: Granted) -> None:
        """Report a running request to the owner of its pool, which may not know of it."""
        if not self._is_queued(admission.service):
            return
        item = running_item(admission, granted, self._now())
        for owner in self._schedulers.owners(admission.service.name)[:1]:
            self._schedulers.send(owner, Adopt(admission.service.name, (item,)))
            self._record_reported(admission.service, granted, owner)

    def record_first_output(self, admission: Admission, granted: Granted, first_s: float) -> None:
        """Record the time to the first event and report it to the schedulers.

        :param first_s: time from the send to the first event, in seconds.
        """
        granted.first_s = first_s
        if not admission.service.is_engine or not self._pooled:
            return
        pool = admission.service.name
        message = FirstOutput(admission.search_id, pool, first_s, *granted.load)
        for process in self._informed_schedulers(admission.service, granted):
            self._schedulers.send(process, message)

    def release(self, admission: Admission, granted: Granted, outcome: ReleaseOutcome) -> None:
        """Release a grant and report the usage of the replica to the schedulers."""
        held = self._held_grants.get(admission.search_id)
        if held is None or held.granted is not granted:
            return
        del self._held_grants[admission.search_id]
        self._balancer.stats(granted.replica.id).outstanding -= 1
        if granted.permit is not None and not granted.started_at:
            self._permits.return_permit(granted.permit)
        informed = self._informed_schedulers(admission.service, granted)
        if not informed:
            return
        rest_s = self._balancer.stats(granted.replica.id).rest_left_s(self._now())
        message = release_message(admission, granted, outcome, rest_s, self._now())
        for process in informed:
            self._schedulers.send(process, message)

    def _informed_schedulers(self, service: Service, granted: Granted) -> list[str]:
        """List the schedulers that count a grant: the issuer, the pool's owner and its adopters."""
        owners = self._schedulers.owners(service.name)[:1] if self._is_queued(service) else []
        counting = [granted.scheduler, *owners, *granted.reported_to]
        return [each for each in dict.fromkeys(counting) if each]

    def _is_queued(self, service: Service) -> bool:
        """Return whether the scheduler of a service's pool decides for its requests now."""
        return self._pooled and (service.is_engine or self._plain_queued(service.name))

    def send_progress(self) -> None:
        """Report the progress of running requests to the schedulers; call about once a second."""
        now = self._now()
        items: dict[tuple[str, str], list[ProgressItem]] = {}
        for held in self._held_grants.values():
            service, granted = held.admission.service, held.granted
            if not service.is_engine and now - granted.started_at < MIN_REPORTED_PLAIN_S:
                continue
            item = progress_item(held.admission, granted, now)
            for process in self._informed_schedulers(service, granted):
                items.setdefault((process, service.name), []).append(item)
        for key in items:
            self._reports_left[f"{key[0]}|{key[1]}"] = TRAILING_REPORTS
        for name in list(self._reports_left):
            process, _, pool = name.rpartition("|")
            self._schedulers.send(process, Progress(pool, tuple(items.get((process, pool), ()))))
            self._reports_left[name] -= 1
            if self._reports_left[name] <= 0:
                del self._reports_left[name]

    def report_to_new_owners(self, pools: Mapping[str, PoolSpec]) -> None:
        """Report the running requests of each pool whose owner has changed.

        The owner of a plain service that is not queued is not told, as it has no scheduler for it.
        """
        if not self._pooled:
            return
        for pool, spec in pools.items():
            if spec.plain and not self._plain_queued(pool):
                self._reported_owners.pop(pool, None)
                continue
            owners = self._schedulers.owners(pool)[:1]
            if owners and self._reported_owners.get(pool) != owners[0]:
                self._reported_owners[pool] = owners[0]
                self.report_running(pool, owners[0])

    def report_running(self, pool: str, process: str) -> None:
        """Report to a scheduler the grants of a pool that this node holds."""
        found = [each for each in self._held_grants.values() if each.admission.service.name == pool]
        items = tuple(running_item(each.admission, each.granted, self._now()) for each in found)
        self._schedulers.send(process, Adopt(pool, items))
        for each in found:
            self._record_reported(each.admission.service, each.granted, process)

    def _record_reported(self, service: Service, granted: Granted, process: str) -> None:
        """Record that a scheduler counts a request, so that it is told of the release too.

        Until a lost owner is out of the view, only its adopter can count the release of a plain
        request, which is much shorter than the interval of progress reports.
        """
        if not service.is_engine and process not in granted.reported_to:
            granted.reported_to += (process,)


def _avoid_key(process: str, service: Service) -> tuple[str, str]:
    """Return the key under which a silent scheduler is avoided: per pool for plain services.

    A process of an older version answers for its pools of engines, but not for those of plain
    services, which it does not know.
    """
    return process, "" if service.is_engine else service.name
