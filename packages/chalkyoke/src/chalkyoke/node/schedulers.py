"""
chalkyoke.node.schedulers

Hosts the pool schedulers of this process and sends messages to those of other processes.
"""

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

import msgspec

from chalkyoke.administration.events import EventKind, EventRing
from chalkyoke.administration.metrics import Metrics
from chalkyoke.limits.keeper import LimitKeeper
from chalkyoke.logs import logger
from chalkyoke.membership.view import MembershipView
from chalkyoke.node.reservations import ReservationCopies
from chalkyoke.node.shares import ShareReporter
from chalkyoke.scheduling.messages import (
    Acquire,
    Adopt,
    AdoptRequest,
    EntryMessage,
    FirstOutput,
    Grant,
    Learned,
    Progress,
    Queued,
    Release,
    RetryReservations,
    Shed,
)
from chalkyoke.scheduling.placement import Features
from chalkyoke.scheduling.refusals import AddressedAction
from chalkyoke.scheduling.scheduler import PoolScheduler
from chalkyoke.scheduling.state import PoolSpec

# How long the scheduler of a pool that another process owns now is kept, in seconds: the pool may
# move back at once.
MOVED_POOL_RETENTION_S = 5.0
# How often a pool's scheduler sends its learned engine speeds to its successors, in seconds. The
# speed of an engine is known after some first outputs, which takes about as long.
LEARNED_SEND_INTERVAL_S = 1.0
# How often the changed reservations of retries are sent to the successors, in seconds, and after
# how many of these messages all of them are sent: a lost message is made up for within 3 s.
RESERVATIONS_SEND_INTERVAL_S = 0.25
RESERVATION_CHANGES_PER_WHOLE = 12
# Number of successors that get the learned speeds and reservations: the next owner of another
# failure domain and the next owner of the same one.
SUCCESSOR_COUNT = 2

log = logger("schedulers")

Deliver = Callable[[str, Grant | Shed | Queued], None]


class Pools(Protocol):
    """The pools that configuration and discovery define together."""

    @property
    def pools(self) -> Mapping[str, PoolSpec]:
        """The specifications of all pools by pool name."""


class SchedulerHost:
    """Host a scheduler for each pool that entry processes address to this process.

    Two processes that both act as the owner of a pool may overcommit its upstreams, but never
    cause a wrong answer.

    :param process: id of this process.
    :param send: sends a message to a process by its link address.
    :param now: seconds on the monotonic clock since this process started.
    :param random_source: source of random numbers in [0, 1).
    :param features: enabled parts of the policy; all of them if None.
    :param keeper: counts the requests to upstreams that state a limit; None if upstreams can't
        state one.
    :param acknowledge: whether an entry process gets a ``Queued`` message as soon as its request
        waits here.
    :ivar has_pools: set while this process hosts a scheduler, so that an idle process needs no
        ticks.
    :ivar deliver: passes a decision to the entry side of this process.
    :ivar report_running: reports the running requests of this process to a pool's scheduler.
    """

    def __init__(
        self,
        process: str,
        view: MembershipView,
        fleet: Callable[[], Pools],
        send: Callable[[str, msgspec.Struct], None],
        events: EventRing,
        metrics: Metrics,
        now: Callable[[], float],
        random_source: Callable[[], float] = random.random,
        features: Features | None = None,
        keeper: LimitKeeper | None = None,
        *,
        acknowledge: bool = False,
    ) -> None:
        self.pools: dict[str, PoolScheduler] = {}
        self.has_pools = asyncio.Event()
        self.deliver: Deliver | None = None
        self.report_running: Callable[[str, str], None] | None = None
        self._process = process
        self._view = view
        self._fleet = fleet
        self._send = send
        self._events = events
        self._metrics = metrics
        self._now = now
        self._sender_addresses: dict[str, str] = {}
        self._generation = -1
        self._owners: dict[str, str] = {}
        self._live_addresses: dict[str, str] = {}
        self._moved_since: dict[str, float] = {}
        self._random = random_source
        self._features = features
        self._keeper = keeper
        self._acknowledge = acknowledge
        self._received_learned: dict[str, Learned] = {}
        self._next_learned_send_at = 0.0
        metrics.register_gauge("scheduler_time_factors", self._count_time_factors)
        self._reservation_copies = ReservationCopies()
        self._next_reservations_send_at = 0.0
        self._reservation_messages = 0
        self._shares = ShareReporter(metrics)

    # The scheduler port of the entry slice.

    def owner(self, pool: str) -> str:
        """Return the id of the process that schedules a pool now.

        :rtype: str
        """
        self._refresh_on_view_change()
        found = self._owners.get(pool)
        if found is None:
            found = self._owners[pool] = self._view.pool_owner(pool).process
        return found

    def is_alive(self, process: str) -> bool:
        """Return whether a process is in the membership view.

        :rtype: bool
        """
        self._refresh_on_view_change()
        return process in self._live_addresses

    def send(self, process: str, message: EntryMessage) -> None:
        """Send a message to the scheduler of any process, including this one.

        The message is dropped if the address of the process is unknown.
        """
        if process == self._process:
            self.receive(process, self._view.domain, message)
            return
        address = self.address(process)
        if address is not None:
            self._send(address, message)

    # Messages.

    def remember_address(self, process: str, address: str) -> None:
        """Remember the link address of a process that sent a message."""
        self._sender_addresses[process] = address

    def receive(self, entry: str, domain: str, message: EntryMessage) -> None:
        """Handle a message of an entry process.

        :param entry: id of the entry process.
        :param domain: its failure domain.
        """
        if isinstance(message, Learned) and message.pool not in self.pools:
            self._received_learned[message.pool] = message
            return
        if isinstance(message, RetryReservations):
            self._receive_reservations(message)
            return
        scheduler = self._find_or_create_scheduler(message.pool)
        if scheduler is None:
            if isinstance(message, Acquire):
                self._count_unknown_pool(entry, message)
            return
        now = self._now()
        if isinstance(message, Acquire):
            self.dispatch(scheduler.acquire(entry, domain, message, now))
            if self._acknowledge and scheduler.is_waiting(message.request):
                self._deliver(entry, Queued(message.request, message.attempt, message.pool))
        elif isinstance(message, Release):
            self.dispatch(scheduler.release(domain, message, now))
            self._log_upstream_transitions(scheduler, entry)
        elif isinstance(message, FirstOutput):
            scheduler.apply_first_output(message, now)
            self._log_upstream_transitions(scheduler, entry)
        elif isinstance(message, Progress):
            self.dispatch(scheduler.apply_progress(entry, message, now))
        elif isinstance(message, Adopt):
            self.dispatch(scheduler.adopt(entry, message, now))
        elif isinstance(message, Learned):
            scheduler.import_learned(message)
        else:
            scheduler.withdraw(message)
            scheduler.end_withdrawn_grant(entry, message, now)

    def send_learned(self, pool: str, process: str) -> None:
        """Send the learned engine speeds of a pool to its new scheduler."""
        scheduler = self.pools.get(pool)
        if scheduler is not None and process != self._process:
            self.send(process, scheduler.export_learned())
            reservations = scheduler.export_reservations(self._now(), whole=True)
            if reservations is not None:
                self.send(process, reservations)

    def tick(self) -> None:
        """Expire late requests in each scheduler and drop schedulers of pools that moved away."""
        now = self._now()
        for name, scheduler in list(self.pools.items()):
            self.dispatch(scheduler.tick(now))
            self._drop_moved_pool(name, now)
        if not self.pools:
            self.has_pools.clear()
        if now >= self._next_learned_send_at:
            self._next_learned_send_at = now + LEARNED_SEND_INTERVAL_S
            self._send_learned_to_successors()
            for scheduler in self.pools.values():
                self._shares.report(scheduler, now)
        if now >= self._next_reservations_send_at:
            self._next_reservations_send_at = now + RESERVATIONS_SEND_INTERVAL_S
            self._send_reservations_to_successors(now)

    def _send_learned_to_successors(self) -> None:
        """Send the learned speeds to the processes that take the pools over if this one is lost."""
        for name, scheduler in self.pools.items():
            learned = scheduler.export_learned()
            if learned.speeds:
                self._send_to_successors(name, learned)

    def _send_reservations_to_successors(self, now: float) -> None:
        """Send the reservations of retries: what has changed, and from time to time all."""
        self._reservation_messages += 1
        whole = self._reservation_messages % RESERVATION_CHANGES_PER_WHOLE == 0
        for name, scheduler in self.pools.items():
            message = scheduler.export_reservations(now, whole=whole)
            if message is not None:
                self._send_to_successors(name, message)

    def _send_to_successors(self, pool: str, message: Learned | RetryReservations) -> None:
        owners = [each.process for each in self._view.pool_owners(pool)]
        if owners[:1] != [self._process]:
            return
        for process in owners[1 : 1 + SUCCESSOR_COUNT]:
            self.send(process, message)

    def _receive_reservations(self, message: RetryReservations) -> None:
        scheduler = self.pools.get(message.pool)
        if scheduler is not None:
            scheduler.import_reservations(message.items, self._now())
        else:
            self._reservation_copies.receive(message, self._now())

    def reconfigure(self) -> None:
        """Apply a new configuration or host list to each scheduler."""
        pools = self._fleet().pools
        for name, scheduler in list(self.pools.items()):
            spec = pools.get(name)
            if spec is None:
                spec = PoolSpec(name)
            if spec != scheduler.spec:
                self._apply_limits(scheduler)
                self.dispatch(scheduler.configure(spec, self._now()))

    def limits_changed(self) -> None:
        """Apply the allowances of upstreams that state a limit to each scheduler."""
        for scheduler in self.pools.values():
            self._apply_limits(scheduler)

    def suspend(self, pool: str, upstreams: Iterable[str], seconds: float) -> None:
        """Suspend the upstreams that the observer of a plain service announced as suspects."""
        scheduler = self.pools.get(pool)
        if scheduler is not None:
            scheduler.suspend(upstreams, seconds, self._now())

    def member_left(self, process: str) -> None:
        """Drop the requests and the address of an entry process that left."""
        self._sender_addresses.pop(process, None)
        for scheduler in self.pools.values():
            self.dispatch(scheduler.remove_entry(process, self._now()))

    def dispatch(self, decisions: list[AddressedAction]) -> None:
        """Count a scheduler's decisions and deliver them to the entry processes."""
        for decision in decisions:
            action = decision.action
            if isinstance(action, Shed):
                places = "free" if decision.pool_mostly_free else "taken"
                self._metrics.count(
                    "scheduler_shed", reason=action.reason, pool=action.pool, places=places
                )
                if decision.refused_again:
                    self._metrics.count("scheduler_refused_again", pool=action.pool)
            else:
                self._metrics.count("scheduler_granted", pool=action.pool)
                place = "overflow" if decision.leaves_domain else "home"
                self._metrics.count("scheduler_placed", pool=action.pool, place=place)
            self._deliver(decision.entry, action)

    # Private.

    def _count_time_factors(self) -> float:
        """Count the upstreams with a valid reported time factor other than 1."""
        now = self._now()
        return sum(
            each.time_factor.value != 1.0 and each.time_factor.valid_left_s(now) > 0
            for scheduler in self.pools.values()
            for each in scheduler.upstreams.values()
        )

    def _apply_limits(self, scheduler: PoolScheduler) -> None:
        if self._keeper is None:
            return
        now, pool = self._now(), scheduler.spec.name
        names = (each.id for each in self._fleet().pools.get(pool, scheduler.spec).upstreams)
        found = {name: self._keeper.allowance(pool, name, now) for name in names}
        allowances = {name: each for name, each in found.items() if each is not None}
        self.dispatch(scheduler.set_allowances(allowances, now))

    def _log_upstream_transitions(self, scheduler: PoolScheduler, entry: str) -> None:
        """Log the changes that a message of an entry process has caused."""
        for each in scheduler.take_refusal_changes():
            event = "upstream_closed" if each.refuses else "upstream_opened"
            log.info(event, pool=scheduler.spec.name, upstream=each.upstream)
            self._metrics.count(event, pool=scheduler.spec.name)
        for backoff in scheduler.take_backoffs():
            log.info(
                "upstream_backoff",
                pool=scheduler.spec.name,
                upstream=backoff.upstream,
                domain=backoff.domain,
                for_s=backoff.for_s,
                reported_by=entry,
            )

    def _deliver(self, entry: str, message: Grant | Shed | Queued) -> None:
        if entry == self._process:
            assert self.deliver is not None
            self.deliver(self._process, message)
            return
        address = self.address(entry)
        if address is not None:
            self._send(address, message)

    def _find_or_create_scheduler(self, pool: str) -> PoolScheduler | None:
        found = self.pools.get(pool)
        if found is not None:
            return found
        spec = self._fleet().pools.get(pool)
        if spec is None:
            return None
        expected = [record.process for record in self._view.live()]
        scheduler = PoolScheduler(spec, self._random, self._now(), expected, self._features)
        self.pools[pool] = scheduler
        self._apply_limits(scheduler)
        self.has_pools.set()
        learned = self._received_learned.pop(pool, None)
        if learned is not None:
            scheduler.import_learned(learned)
        copies = self._reservation_copies.take(pool, self._now())
        scheduler.import_reservations(copies, self._now())
        self._request_running(pool)
        self._events.add(EventKind.POOL_TAKEN, pool=pool)
        log.info("pool_taken", pool=pool)
        return scheduler

    def _request_running(self, pool: str) -> None:
        """Request the running requests of all entry processes, even if their owner is unchanged."""
        for record in self._view.live():
            if record.process == self._process:
                assert self.report_running is not None
                self.report_running(pool, self._process)
            else:
                self._send(record.address, AdoptRequest(pool))

    def _drop_moved_pool(self, name: str, now: float) -> None:
        if self.owner(name) == self._process:
            self._moved_since.pop(name, None)
            return
        since = self._moved_since.setdefault(name, now)
        if now - since > MOVED_POOL_RETENTION_S:
            del self.pools[name]
            del self._moved_since[name]
            self._events.add(EventKind.POOL_GIVEN_UP, pool=name)
            log.info("pool_given_up", pool=name)

    def _count_unknown_pool(self, entry: str, message: Acquire) -> None:
        """Count a request for a pool that is missing in this process's configuration."""
        # No reply is needed: the entry process retries after a second, and the revision with the
        # pool has usually arrived by then.
        self._metrics.count("acquire_unknown_pool")
        log.debug(
            "{} requested pool {}, which is not in the configuration of this process",
            entry,
            message.pool,
        )

    def address(self, process: str) -> str | None:
        """Return the link address of a process, or None if it is unknown."""
        self._refresh_on_view_change()
        return self._live_addresses.get(process) or self._sender_addresses.get(process)

    def _refresh_on_view_change(self) -> None:
        """Drop the cached owners and addresses when the view has changed.

        Both are looked up for each message.
        """
        if self._generation == self._view.generation:
            return
        self._generation = self._view.generation
        self._owners.clear()
        self._live_addresses = {record.process: record.address for record in self._view.live()}
