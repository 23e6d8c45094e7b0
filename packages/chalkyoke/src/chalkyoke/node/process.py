"""
chalkyoke.node.process

The node: builds all slices of one process, starts them, and stops them after the requests in
progress have ended.
"""

import asyncio
import contextlib
import functools
import math
import secrets
import signal
from collections.abc import Callable, Coroutine

import msgspec

from chalkyoke import startsignals
from chalkyoke.administration.events import EventKind, EventRing
from chalkyoke.administration.metrics import Metrics
from chalkyoke.clock import HybridClock
from chalkyoke.configuration.messages import (
    HostsAnswer,
    HostsRequest,
    RevisionAnswer,
    RevisionRequest,
)
from chalkyoke.discovery.host_list import HostListClient
from chalkyoke.entry.acquirer import Acquirer
from chalkyoke.entry.answers import serve_forward
from chalkyoke.entry.bodies import BodyIntake
from chalkyoke.entry.dispatcher import Dispatcher
from chalkyoke.entry.ends import OutcomeRecorder
from chalkyoke.entry.http import CallerApi
from chalkyoke.entry.messages import Forward, ForwardChunk, ForwardEnd, ForwardHead
from chalkyoke.entry.room import AnswerRoom
from chalkyoke.entry.runs import Runs
from chalkyoke.entry.service import EntryService
from chalkyoke.exceptions import InvariantBroken
from chalkyoke.links.connection import Connection, Identity
from chalkyoke.links.keepalive import KEEPALIVE_INTERVAL_S, confirm_interval_s
from chalkyoke.links.peers import Links
from chalkyoke.logs import logger
from chalkyoke.membership.messages import MEMBERSHIP_MESSAGES, Heartbeat, MemberRecord
from chalkyoke.membership.state import Change, Joined
from chalkyoke.membership.view import MembershipView
from chalkyoke.node.api import NodeApi
from chalkyoke.node.callermemory import MemoryWatch
from chalkyoke.node.configuration import ConfigurationKeeper
from chalkyoke.node.linkgauges import add_link_gauges
from chalkyoke.node.listening import AddressWaiter, ListenAddress
from chalkyoke.node.memory import TICK_S as MEMORY_TICK_S
from chalkyoke.node.memory import HostMemory
from chalkyoke.node.ports import FleetPort
from chalkyoke.node.probes import probe_once
from chalkyoke.node.schedulers import SchedulerHost
from chalkyoke.node.servers import STOP_WAIT_S, HttpServer
from chalkyoke.node.supervisor import Supervisor
from chalkyoke.node.wallclock import wall_clock_ms
from chalkyoke.scheduling.messages import (
    Acquire,
    Adopt,
    AdoptRequest,
    Grant,
    Progress,
    Queued,
    Release,
    Shed,
    Withdraw,
)
from chalkyoke.scheduling.placement import Features
from chalkyoke.settings import Settings
from chalkyoke.storage.keyvalue import StoreClient
from chalkyoke.storage.keyvalue import make_session as make_platform_session
from chalkyoke.tokens.codec import TokenCodec
from chalkyoke.tokens.ledger import TokenLedger
from chalkyoke.upstreams.client import UpstreamClient, make_session

# How often schedulers and the membership view are ticked, in seconds.
TICK_S = 0.05
# How often expired runs are dropped and progress is reported, in seconds.
HOUSEKEEPING_S = 1.0
# How long a stop is announced before requests are drained, in heartbeats.
LEAVE_NOTICE_HEARTBEATS = 3
# How long before the end of the grace period all requests that are left are answered, in seconds:
# time for callers to read the answers. After the grace period the process may be killed.
GRACE_MARGIN_S = 1.5
# How long an ending node waits until its last answers are sent, and then until its servers have
# closed their connections, in seconds.
LAST_ANSWERS_S = 0.5
CLOSE_S = 0.3
# Bits of the random incarnation number, which distinguishes two starts of a process. 62 bits keep
# the number positive in 64 bits.
INCARNATION_BITS = 62

LINK_MESSAGES: tuple[type[msgspec.Struct], ...] = (
    Acquire,
    Adopt,
    AdoptRequest,
    Forward,
    ForwardChunk,
    ForwardEnd,
    ForwardHead,
    Grant,
    *MEMBERSHIP_MESSAGES,
    HostsAnswer,
    HostsRequest,
    Progress,
    Queued,
    Release,
    RevisionAnswer,
    RevisionRequest,
    Shed,
    Withdraw,
)

log = logger("node")


class Node:
    """One process of the fleet. Create it inside a running event loop.

    :param settings: validated settings.

    Usage::

      >>> node = Node(settings)
      >>> await node.run()
    """

    def __init__(self, settings: Settings) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.settings = settings
        self.now: Callable[[], float] = lambda: loop.time() - started
        self.metrics = Metrics()
        incarnation = secrets.randbits(INCARNATION_BITS)
        self._record = MemberRecord(
            host=settings.node.host,
            incarnation=incarnation,
            address=settings.listen.links,
            administration=settings.listen.administration,
            failure_domain=settings.node.failure_domain,
            leaving=False,
            ready=False,
            revision=0,
            hosts_version=0,
        )
        self.process = self._record.process
        self.events = EventRing(settings.node.host, HybridClock(), wall_clock_ms)
        self.view = MembershipView(self._record, settings.timing.heartbeat_interval_s)
        self._stopping = asyncio.Event()
        self._close_wait_s = STOP_WAIT_S
        self._supervisor = Supervisor(self.metrics, lambda: len(self.entry.in_progress()))
        self.memory = HostMemory(settings.memory, self.metrics, self.now, loop.time)
        self._memory_watch = MemoryWatch(self.memory.account, self.metrics, self.now)
        self._make_links()
        self._make_platform()
        self._make_entry(incarnation)
        self._make_apis()

    # Construction.

    def _make_links(self) -> None:
        settings = self.settings
        identity = Identity(
            self.process, settings.listen.links, settings.node.failure_domain, settings.fleet.key
        )
        self.links = Links(identity, LINK_MESSAGES, self.events, self._receive)
        self.memory.bound_links(self.links)

    def _make_platform(self) -> None:
        self._platform_session = make_platform_session()
        platform = self.settings.platform
        self.store = StoreClient(self._platform_session, platform.store_url, self.metrics)
        hosts = HostListClient(self._platform_session, platform.hosts_url, self.metrics)
        self.configuration = ConfigurationKeeper(
            self.view,
            self.store,
            hosts,
            self.links,
            self.settings.timing,
            self.metrics,
            self._configuration_changed,
            self.now,
        )
        self.schedulers = SchedulerHost(
            self.process,
            self.view,
            lambda: self.configuration.fleet,
            self.links.send,
            self.events,
            self.metrics,
            self.now,
            features=Features(**self.settings.policy.model_dump()),
        )

    def _make_entry(self, incarnation: int) -> None:
        settings = self.settings
        ledger = TokenLedger(
            settings.node.host,
            settings.listen.links,
            incarnation,
            settings.limits.token_lifetime_s,
            settings.limits.tokens_kept,
        )
        account = self.memory.account
        runs = Runs(ledger, TokenCodec(settings.fleet.key), account)
        port = FleetPort(lambda: self.configuration.fleet)
        self._upstream_session = make_session(account.unread_bound if account.is_limited else 0)
        self.upstreams = UpstreamClient(self._upstream_session)
        self.acquirer = Acquirer(runs, self.schedulers, port, self.metrics, self.now)
        recorder = OutcomeRecorder(runs, self.acquirer, self.events, self.metrics, self.now)
        dispatcher = Dispatcher(
            self.acquirer,
            recorder,
            port,
            self.upstreams,
            self.events,
            self.metrics,
            self.now,
            AnswerRoom(account, runs.drop_idle),
        )
        self.entry = EntryService(
            runs, self.acquirer, recorder, dispatcher, port, self.events, self.metrics, self.now
        )
        self.schedulers.deliver = self.acquirer.receive
        self.schedulers.report_running = self.acquirer.report_running

    def _make_apis(self) -> None:
        settings, tls = self.settings, self.settings.tls
        port = FleetPort(lambda: self.configuration.fleet)
        bodies = BodyIntake(self.memory.account, self._memory_watch.on_refused)
        self.callers = CallerApi(self.entry, port, self.links, self.events, self.is_ready, bodies)
        self._servers = [
            HttpServer(
                self.callers.app(),
                settings.listen.callers,
                tls.callers_certificate,
                tls.callers_key,
                self.memory.callers,
            ),
            HttpServer(
                NodeApi(self).app(),
                settings.listen.administration,
                tls.administration_certificate,
                tls.administration_key,
                self.memory.callers,
            ),
        ]
        self.metrics.register_gauge("running", lambda: sum(1 for _ in self.entry.runs.active()))
        self.metrics.register_gauge("tokens_kept", lambda: len(self.entry.runs.ledger))
        add_link_gauges(self.metrics, self.links)
        self.metrics.register_gauge("revision", lambda: self.configuration.state.revision)
        self.metrics.register_gauge("live_members", lambda: len(self.view.live()))

    # Start and stop.

    def is_ready(self) -> bool:
        """Return whether a configuration is in force on this node.

        :rtype: bool
        """
        return self.configuration.state.revision > 0

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun, or all requests are refused."""
        return self._stopping.is_set() or self.entry.stopping

    def stop(self) -> None:
        """Begin a planned stop; a second call logs the requests still in progress."""
        if self._stopping.is_set():
            runs = self.entry.in_progress()
            log.warning("{} requests are still in progress; a kill would abort them", len(runs))
            for run in runs:
                log.warning("request in progress: {} ({})", run.id, run.state)
            return
        self._stopping.set()

    def _ignore_reload(self) -> None:
        """Ignore a reload; without a handler, the signal would end the process."""
        log.warning("the settings are read at the start only; apply changes with a restart")

    async def run(self) -> None:
        """Serve until a planned stop is complete.

        :raises ListenError: if an address can't be bound.
        :raises InvariantBroken: if an invariant of the program is violated.
        """
        loop = asyncio.get_running_loop()
        for each in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(each, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._ignore_reload)
        startsignals.unblock()
        listen = self.settings.listen
        addresses = (
            ListenAddress(listen.links, self.links.listen),
            *(each.listen_address for each in self._servers),
        )
        if not await AddressWaiter(listen.wait_s).listen(addresses, self._stopping):
            await self._close()
            return
        await self.configuration.start()
        for server in self._servers:
            server.start()
        self._start_loops()
        self.events.add(EventKind.STARTED, process=self.process)
        log.info("{} serves callers on {}", self.process, self.settings.listen.callers)
        if startsignals.INHERITED_BLOCKED:
            log.notice("the parent had blocked {}", ", ".join(startsignals.INHERITED_BLOCKED))
        self._supervisor.start(self._run_planned_stop())
        await self._supervisor.ended.wait()
        self._supervisor.cancel()
        failure = self._supervisor.failure
        if failure is not None:
            try:
                await self._answer_last_requests()
            except Exception as error:
                log.error("the last answers failed: {!r}", error)
        await self._close()
        if failure is not None:
            self.events.add(EventKind.STOPPED, fault=repr(failure))
            raise failure

    async def _run_planned_stop(self) -> None:
        """Hand pools off and finish requests in progress; end those that outlast the grace."""
        await self._stopping.wait()
        grace_s = self.settings.limits.grace_s
        serving_s = grace_s - GRACE_MARGIN_S if grace_s else None
        self.entry.begin_stop(math.inf if serving_s is None else serving_s)
        try:
            async with asyncio.timeout(serving_s):
                await self._finish_requests()
        except TimeoutError:
            await self._answer_last_requests()
        self.events.add(EventKind.STOPPED)
        self._supervisor.ended.set()

    async def _finish_requests(self) -> None:
        """Stop accepting requests, hand pools off and wait for requests in progress."""
        log.notice("planned stop: {} requests in progress", len(self.entry.in_progress()))
        self.events.add(EventKind.STOPPING, in_progress=len(self.entry.in_progress()))
        for server in self._servers:
            server.announce_close()
        self.view.update_self(leaving=True)
        self._send_heartbeats()
        # Callers still choose this node until a load balancer has removed it.
        if self.settings.limits.leave_delay_s:
            await asyncio.sleep(self.settings.limits.leave_delay_s)
        self.entry.stopping = True
        await asyncio.sleep(LEAVE_NOTICE_HEARTBEATS * self.view.interval_s)
        await self.entry.drain()
        while any(pool.waiting or pool.running for pool in self.schedulers.pools.values()):
            if len(self.view.live()) == 1:
                break
            await asyncio.sleep(TICK_S)

    async def _answer_last_requests(self) -> None:
        """End the requests that are left, and wait until their callers have been told."""
        log.warning("{} requests are ended unanswered", len(self.entry.in_progress()))
        self._close_wait_s = CLOSE_S
        for server in self._servers:
            server.announce_close()
        self.entry.end_runs()
        self.callers.end_requests()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_ANSWERS_S):
                await self.callers.finish_requests()
                await self.entry.drain()

    async def _close(self) -> None:
        await asyncio.gather(*(server.stop(self._close_wait_s) for server in self._servers))
        await self.links.close()
        await self._platform_session.close()
        await self._upstream_session.close()
        log.info("{} has stopped", self.process)

    # Loops.

    def _start_loops(self) -> None:
        timing = self.settings.timing
        loops = self._supervisor
        loops.repeat("heartbeats", self.view.interval_s, self._send_heartbeats)
        loops.repeat("schedulers", TICK_S, self._tick)
        loops.repeat("links", KEEPALIVE_INTERVAL_S, self._keep_links)
        loops.repeat("memory", MEMORY_TICK_S, self._follow_memory)
        loops.repeat("housekeeping", HOUSEKEEPING_S, self._run_housekeeping)
        loops.keep_running("probes", lambda: self._probe(timing.load_interval_s))
        loops.keep_running("root watch", self.configuration.watch_root)
        loops.keep_running("host list", self.configuration.watch_hosts)

    async def _probe(self, interval_s: float) -> None:
        while True:
            await probe_once(self.schedulers, self.upstreams, self.metrics, self.now())
            await asyncio.sleep(interval_s)

    def _send_heartbeats(self) -> None:
        for send in self.view.due_messages(self.now()):
            self.links.send(send.address, send.message)

    def _keep_links(self) -> None:
        self.links.keep_alive(confirm_interval_s(self.view.spacing_s))

    def _tick(self) -> None:
        self._apply_member_changes(self.view.tick(self.now()))
        self.schedulers.tick()

    def _follow_memory(self) -> None:
        self.memory.tick(self.links)
        self.entry.runs.make_room()
        self._memory_watch.tick()

    def _run_housekeeping(self) -> None:
        self.acquirer.check_owners()
        self.acquirer.send_progress()
        self.entry.runs.expire(self.now())

    # Messages.

    def _receive(
        self, connection: Connection, message: msgspec.Struct
    ) -> Coroutine[None, None, None] | None:
        try:
            return self._route(connection, message)
        except InvariantBroken as error:
            self._supervisor.fail(error)
            return None

    def _route(
        self, connection: Connection, message: msgspec.Struct
    ) -> Coroutine[None, None, None] | None:
        if isinstance(message, Forward):
            return self._serve_forward(connection, message)
        if isinstance(message, MEMBERSHIP_MESSAGES):
            changes, sends = self.view.receive(connection.peer_address, message, self.now())
            self._apply_member_changes(changes)
            for send in sends:
                self.links.send(send.address, send.message)
            if isinstance(message, Heartbeat):
                self.configuration.receive_heartbeat(connection.peer_address, message.record)
        elif isinstance(message, Grant | Queued | Shed):
            self.acquirer.receive(connection.peer, message)
        elif isinstance(message, AdoptRequest):
            self.acquirer.report_running(message.pool, connection.peer)
        elif isinstance(message, Acquire | Adopt | Progress | Release | Withdraw):
            self.schedulers.remember_address(connection.peer, connection.peer_address)
            self.schedulers.receive(connection.peer, connection.peer_domain, message)
        elif isinstance(message, RevisionRequest | RevisionAnswer | HostsRequest | HostsAnswer):
            self.configuration.receive(connection, message)
        return None

    async def _serve_forward(self, connection: Connection, message: Forward) -> None:
        opened = self.entry.runs.codec.decode(message.token)
        if opened.is_ok():
            await serve_forward(connection, self.entry, opened.unwrap(), message)

    # Changes of membership and configuration.

    def _apply_member_changes(self, changes: list[Change]) -> None:
        for change in changes:
            if isinstance(change, Joined):
                self.events.add(EventKind.MEMBER_JOINED, process=change.record.process)
                log.info("{} joined ({})", change.record.process, change.record.failure_domain)
            else:
                self.events.add(EventKind.MEMBER_LEFT, process=change.record.process)
                log.info("{} left the view", change.record.process)
                left = functools.partial(self.schedulers.member_left, change.record.process)
                self._supervisor.call_each("member changes", (left,))
        if changes:
            self.acquirer.check_owners()

    def _configuration_changed(self) -> None:
        state = self.configuration.state
        self.events.add(
            EventKind.REVISION, revision=state.revision, hosts=self.configuration.hosts_version
        )
        self.schedulers.reconfigure()
        self.acquirer.check_owners()
