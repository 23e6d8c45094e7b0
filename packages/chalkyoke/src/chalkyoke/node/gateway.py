"""
chalkyoke.node.gateway

The gateway node, for a platform whose store declares routes and replicas. Builds the slices of one
process, starts them, and stops them after the requests in progress have ended.
"""

import asyncio
import contextlib
import functools
import itertools
import os
import random
import secrets
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from chalkyoke import __version__, startsignals
from chalkyoke.administration.events import EventRing
from chalkyoke.administration.metrics import Metrics
from chalkyoke.balancing.brittle import BrittleReplicas
from chalkyoke.balancing.local import LocalBalancer
from chalkyoke.balancing.suspicions import Suspicions
from chalkyoke.catalog.follower import WatchTimeouts
from chalkyoke.catalog.keeper import CatalogSynchronizer
from chalkyoke.catalog.state import CatalogState
from chalkyoke.clock import HybridClock
from chalkyoke.exceptions import InvariantBroken, SettingsError
from chalkyoke.gateway.drain import Drain, PlannedStop
from chalkyoke.gateway.gateway import Gateway
from chalkyoke.gateway.grants import Grants
from chalkyoke.gateway.parts import GatewayParts
from chalkyoke.gateway.replies import INTERNAL_FAULT, STOPPING
from chalkyoke.gateway.settings import GatewaySettings, load
from chalkyoke.http1.calls import HttpClient
from chalkyoke.http1.pool import ConnectionPool
from chalkyoke.limits.announcements import LimitAnnouncements
from chalkyoke.limits.client import PermitClient
from chalkyoke.limits.keeper import LimitKeeper
from chalkyoke.limits.known import KnownLimits
from chalkyoke.links.connection import Connection, Identity
from chalkyoke.links.keepalive import KEEPALIVE_INTERVAL_S, confirm_interval_s
from chalkyoke.links.kinds import PeerKinds
from chalkyoke.links.peers import Links
from chalkyoke.logs import logger
from chalkyoke.membership.messages import MemberRecord
from chalkyoke.membership.state import Change, Joined
from chalkyoke.membership.view import MembershipView
from chalkyoke.node.announcements import Announcements
from chalkyoke.node.ending import answer_unfinished, finish_requests
from chalkyoke.node.fleetsize import FleetSize
from chalkyoke.node.keptlimits import log_kept_limit
from chalkyoke.node.linkgauges import add_link_gauges
from chalkyoke.node.listener import Listener, ListenerParts
from chalkyoke.node.listeners import NodeListeners, make_listeners
from chalkyoke.node.listening import AddressWaiter, ListenAddress
from chalkyoke.node.memory import TICK_S as MEMORY_TICK_S
from chalkyoke.node.memory import HostMemory
from chalkyoke.node.originkeepers import PeerOriginKeepers
from chalkyoke.node.pages import PageServer
from chalkyoke.node.parts import PlatformParts
from chalkyoke.node.peers import PeerKeepers, PeerQuotas, PeerSchedulers
from chalkyoke.node.plainqueues import add_queue_gauges, make_queued_services
from chalkyoke.node.pools import DeclaredPools, DeclaredReplicas
from chalkyoke.node.quotas import make_quotas
from chalkyoke.node.readlog import ReadLog
from chalkyoke.node.registration import CandidateReader, make_registration
from chalkyoke.node.requestlog import RequestLog
from chalkyoke.node.rollouts import TICK_S as ROLLOUTS_TICK_S
from chalkyoke.node.rollouts import Rollouts
from chalkyoke.node.routehistory import RouteHistories
from chalkyoke.node.routing import (
    LEGACY_KINDS,
    LEGACY_QUARANTINE_KINDS,
    LINK_MESSAGES,
    MessageRouter,
    RoutedParts,
)
from chalkyoke.node.schedulers import SchedulerHost
from chalkyoke.node.supervisor import Supervisor
from chalkyoke.node.versionhistory import VersionHistories
from chalkyoke.node.wallclock import wall_clock_ms
from chalkyoke.quarantine.heldrecords import HeldRecords
from chalkyoke.quarantine.records import with_held_records
from chalkyoke.quarantine.spread import Quarantine
from chalkyoke.quotas.client import WINDOW_REPLICATION_INTERVAL_S
from chalkyoke.quotas.owner import Presence
from chalkyoke.resumption.finder import OriginFinder
from chalkyoke.retries.budget import BudgetLimits, RetryBudget
from chalkyoke.rollouts.exposure import ExposureBounds
from chalkyoke.tunnels.dialer import SILENCE_CHECK_INTERVAL_S, FleetDialer
from chalkyoke.tunnels.opener import TunnelOpener
from chalkyoke.tunnels.server import TunnelServer

# How often a pool's scheduler expires late requests, in seconds: a twentieth of the shortest goals.
TICK_S = 0.05
# How often expired state is dropped and reports that may have been lost are repeated, in seconds.
HOUSEKEEPING_S = 1.0
# Bits of the random incarnation number, which distinguishes two starts of a process. 62 bits keep
# the number positive in 64 bits.
INCARNATION_BITS = 62
# How long a stopping node still accepts callers, in seconds: the load balancer checks readiness
# each second and removes a node after two failed checks.
LEAVE_DELAY_S = 2.5
# How long after its start a node takes duties for the fleet if other nodes are ready, in seconds:
# four heartbeats, in which the node learns the other members.
READY_DELAY_S = 1.0
# How long before the end of the grace period a stopping node ends, in seconds: time for its last
# answers and for its removal from the store. After the grace period it may be killed.
GRACE_MARGIN_S = 0.6
# How long before its end a stopping node answers the requests that it can't finish, in seconds.
LAST_ANSWERS_S = 0.3
# How long a node that ends on a fatal fault answers the requests that it has read, in seconds: time
# for callers to read the answers.
FATAL_ANSWERS_S = 1.2

log = logger("node")


class GatewayNode:
    """One gateway process of the fleet. Create it inside a running event loop.

    :param path: the settings file, which is read again on a reload.
    """

    def __init__(self, settings: GatewaySettings, path: Path, platform: PlatformParts) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.settings = settings
        self._path = path
        self._platform = platform
        self.now: Callable[[], float] = lambda: loop.time() - started
        self.metrics = Metrics()
        self.metrics.count("started", version=__version__)
        self.record = MemberRecord(
            host=settings.node.host,
            incarnation=secrets.randbits(INCARNATION_BITS),
            address=settings.listen.advertised_links_address,
            administration=settings.listen.metrics,
            failure_domain=settings.node.failure_domain,
            leaving=False,
            ready=False,
            revision=0,
            hosts_version=0,
            capacity=settings.node.capacity,
        )
        self.events = EventRing(settings.node.host, HybridClock(), wall_clock_ms)
        self.view = MembershipView(self.record, settings.scheduling.heartbeat_interval_s)
        self.fleet_size = FleetSize()
        self.request_log = RequestLog(self.metrics, self.now)
        self.memory = HostMemory(settings.memory, self.metrics, self.now, loop.time)
        self._supervisor = Supervisor(self.metrics, lambda: self.gateway.in_progress)
        self._stopping = asyncio.Event()
        self._listening = False
        self._handled_generation = -1
        self._is_monitor = False
        self._store_epoch = 0
        self._make_links()
        self._make_catalog()
        self._make_schedulers()
        self._make_gateway()
        self._router = MessageRouter(
            RoutedParts(
                self.view,
                self.links,
                self.catalog,
                self.grants,
                self.scheduler_host,
                self.quotas,
                self.suspicions,
                self.rollouts,
                self.quarantine,
                self.announcements,
                self.limits,
                self.permits,
                self.tunnels,
                self.origins,
            ),
            self._apply_member_changes,
            self.now,
        )
        self._addresses = AddressWaiter(settings.listen.wait_s)
        self._pages = PageServer(self.is_ready, self._describe_lack, self.metrics)

    # Construction.

    def _make_links(self) -> None:
        settings = self.settings
        identity = Identity(
            self.record.process,
            settings.listen.advertised_links_address,
            settings.node.failure_domain,
            settings.key,
        )
        listen = settings.listen.links
        self.links = Links(
            identity,
            LINK_MESSAGES,
            self.events,
            self._receive,
            listen,
            PeerKinds(LEGACY_KINDS, LEGACY_QUARANTINE_KINDS),
        )
        self.memory.bound_links(self.links)
        add_link_gauges(self.metrics, self.links)

    def _make_catalog(self) -> None:
        settings, platform = self.settings, self._platform
        self._store_connections = ConnectionPool()
        caller = HttpClient(self._store_connections, settings.store.address)
        self.store = platform.make_store(caller)
        state = CatalogState(
            platform.read_catalog, with_held_records(platform.read_record, platform.keys.held)
        )
        self.catalog = CatalogSynchronizer(
            state,
            self.store,
            platform.keys,
            self.view,
            self.links,
            settings.store.watchers,
            WatchTimeouts.split(settings.store.silence_ms / 1000),
            self._catalog_changed,
            self._nodes_registered,
            self.now,
        )
        self.rollouts = Rollouts(
            self.view,
            state,
            self.store,
            platform.write_status,
            ExposureBounds(settings.limits.canary_share, settings.limits.canary_slack),
            settings.scheduling,
            self.metrics,
            self.links.send,
            self.presence,
            random.random,
            self._catalog_changed,
            self.now,
        )
        self.metrics.register_gauge("records_unreadable", lambda: len(state.unreadable))
        self.metrics.register_gauge("store_epoch", lambda: state.epoch)
        self.metrics.register_gauge(
            "store_updates_ignored", lambda: self.catalog.ignored_updates.total()
        )
        self.replicas = DeclaredReplicas(state, self.now, self.rollouts)
        self.route_histories = RouteHistories(state, self.now)
        self.versions = VersionHistories(state, self.now, first_start=settings.node.first_start)
        self.origins = OriginFinder(
            PeerOriginKeepers(
                self.view,
                self.versions,
                self.route_histories,
                self.links,
                self.presence,
                self.fleet_size,
                self.catalog,
            ),
            self.now,
        )
        self.metrics.register_gauge("stream_origins_kept", lambda: self.origins.kept_count)
        self.pools = DeclaredPools(settings.scheduling, self.rollouts)
        self.held_records = HeldRecords(self.store, platform.keys.held, self.now)
        self._candidates = CandidateReader(platform.keys.nodes)
        self._registration = make_registration(
            settings, self.store, platform.keys.nodes, random.random, self.now
        )

    def _make_schedulers(self) -> None:
        known = KnownLimits()
        self.keeper = LimitKeeper(
            known,
            lambda service: self.scheduler_host.owner(service) == self.record.process,
            lambda: self.presence().share,
            log_kept_limit,
        )
        self.limits = LimitAnnouncements(
            known,
            self.view,
            self.catalog.state,
            self.metrics,
            self.links.send,
            self._limits_changed,
            self.now,
        )
        self.scheduler_host = SchedulerHost(
            self.record.process,
            self.view,
            lambda: self.pools,
            self.links.send,
            self.events,
            self.metrics,
            self.now,
            features=self.settings.scheduling.features,
            keeper=self.keeper,
            acknowledge=True,
        )
        self.brittle = BrittleReplicas()
        self.queued_services = make_queued_services(
            self.settings.scheduling, self.brittle, self.now
        )
        add_queue_gauges(self.metrics, self.scheduler_host.pools, self.queued_services)
        schedulers = PeerSchedulers(self.scheduler_host, self.view)
        self.permits = PermitClient(
            known,
            self.keeper,
            PeerKeepers(
                schedulers, self.scheduler_host, self.view, self.links.send, self.count_nodes
            ),
            self.limits.apply_report,
            random.random,
            self.now,
        )
        self.balancer = LocalBalancer(
            self.settings.node.failure_domain, random.random, self.settings.scheduling.features
        )
        self.grants = Grants(
            schedulers,
            self.replicas,
            self.balancer,
            self.permits,
            random.random,
            self.now,
            self.count_nodes,
            self.queued_services.is_queued,
            pooled=self.settings.scheduling.pooled,
        )
        self.scheduler_host.deliver = self.grants.receive
        self.scheduler_host.report_running = self.grants.report_running

    def _make_gateway(self) -> None:
        limits = self.settings.limits
        quotas = make_quotas(
            self.settings,
            self.record,
            self.store,
            self._platform.keys.quotas,
            PeerQuotas(self.view, self.links.send, self.presence),
            lambda: self.catalog.state.catalog.teams,
            self.count_nodes,
            self.metrics,
            self.now,
        )
        self.quotas, self.quota_snapshots = quotas.client, quotas.snapshots
        budget = BudgetLimits(limits.retry_ratio, limits.retry_slack, limits.retry_window_s)
        opener = TunnelOpener(
            self.record.process,
            self.settings.node.failure_domain,
            self.links,
            self.view.live,
            random.random,
            self.now,
        )
        self.dialer = FleetDialer(opener, self.replicas.addresses, random.random)
        self.connections = ConnectionPool(self.memory.account, self.dialer)
        self.dialer.pool = self.connections
        self.tunnels = TunnelServer(self.dialer, self.replicas.addresses, self.memory.account)
        self.metrics.register_gauge("replica_paths_lost", lambda: self.dialer.lost_paths)
        self.metrics.register_gauge("tunnels_served", lambda: len(self.tunnels.tunnels))
        self.suspicions = Suspicions(
            self.view,
            self.balancer,
            self.links.send,
            lambda service: len(self.replicas.of_service(service)),
            self.now,
            self.queued_services,
            self.replicas.count_slots,
            self.scheduler_host.suspend,
        )
        self.announcements = Announcements(
            self.view,
            self.catalog.state,
            self.balancer,
            self.brittle,
            self.count_nodes,
            self.limits,
            self.metrics,
            self.links.send,
            self._catalog_changed,
            self.now,
        )
        self.quarantine = Quarantine(
            self.view,
            self.connections,
            self.links.send,
            self.metrics,
            lambda request: self.gateway.on_request_held(request),
            self.held_records.queue_record,
            random.random,
            self.now,
        )
        self.drain = Drain()
        self.gateway = Gateway(
            GatewayParts(
                catalog=lambda: self.catalog.state.catalog,
                replicas=self.replicas,
                headers=self._platform.headers,
                grants=self.grants,
                balancer=self.balancer,
                quotas=self.quotas,
                budget=RetryBudget(budget),
                connections=self.connections,
                node_count=self.count_nodes,
                now=self.now,
                log_decision=self.request_log.log_decision,
                log_rejection=self.request_log.log_rejection,
                on_plain_request_ended=self.suspicions.record_end,
                rollouts=self.rollouts,
                quarantine=self.quarantine,
                announcements=self.announcements,
                origins=self.origins,
                search_ids=(f"{self.record.process}/{n}" for n in itertools.count(1)),
                memory=self.memory.account,
                drain=self.drain,
            )
        )

    def _limits_changed(self) -> None:
        self.scheduler_host.limits_changed()
        self.balancer.clear_limits()

    # Callbacks of the slices.

    def count_nodes(self) -> int:
        """Return the number of nodes that may exist in the fleet, whether or not they are alive.

        :rtype: int
        """
        return self.fleet_size.count()

    def presence(self) -> Presence:
        """Return how much of the fleet this node sees.

        :rtype: Presence
        """
        return Presence(len(self.view.live()), self.count_nodes(), self.view.foreign_timeout_s)

    def is_ready(self) -> bool:
        """Return whether callers are served: the node listens, knows the catalog and doesn't end.

        :rtype: bool
        """
        ends = self._stopping.is_set() or self._supervisor.ended.is_set()
        # Peers may send the whole catalog while the callers' address is still in use.
        return self._listening and self.catalog.state.complete and not ends

    def _describe_lack(self) -> str:
        """Return what this node lacks to serve; empty if nothing."""
        if self._addresses.awaited:
            return f"not listening on {self._addresses.awaited} yet"
        return self.catalog.describe_lack()

    # Start and stop.

    async def run(self) -> None:
        """Serve until a planned stop is complete.

        :raises ListenError: if an address can't be bound.
        :raises InvariantBroken: if an invariant of the program is violated.
        """
        loop = asyncio.get_running_loop()
        for each in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(each, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        startsignals.unblock()
        listeners = self._make_listeners()
        links = ListenAddress(self.settings.listen.links, self.links.listen)
        if not await self._addresses.listen(listeners.needed(links), self._stopping):
            await self._close(listeners.all)
            return
        self._listening = True
        self._start_loops()
        log.notice("started", process=self.record.process, pid=os.getpid(), version=__version__)
        if startsignals.INHERITED_BLOCKED:
            log.notice("signals_unblocked", inherited=startsignals.INHERITED_BLOCKED)
        if listeners.metrics is not None:
            metrics = listeners.metrics.listen_address
            self._supervisor.start(self._addresses.listen_eventually(metrics))
        self._supervisor.start(self._run_planned_stop(listeners.callers))
        await self._supervisor.ended.wait()
        if self._supervisor.failure is not None:
            await self._answer_after_fatal_fault(listeners.callers)
        await self._close(listeners.all)
        if self._supervisor.failure is not None:
            raise self._supervisor.failure

    def _make_listeners(self) -> NodeListeners:
        catalog = self.catalog.state
        admission = self.memory.admit_callers(self._platform.headers, lambda: catalog.catalog)
        descriptors = self.settings.limits.descriptors
        reports = ReadLog(
            self.metrics,
            lambda headers: self._platform.headers.read_request(headers).request_id,
        )
        parts = ListenerParts(lambda: catalog.catalog.limits, descriptors, admission, reports)
        return make_listeners(
            self.settings.listen, parts, self.gateway.start_exchange, self._pages.start
        )

    async def _run_planned_stop(self, callers: Listener) -> None:
        """Stop accepting callers, finish the requests in progress, then end the process."""
        await self._stopping.wait()
        began = self.now()
        ends_at = began + max(0.0, self.settings.limits.grace_s - GRACE_MARGIN_S)
        leaves_at = min(began + LEAVE_DELAY_S, ends_at)
        log.notice("stopping", in_progress=self.gateway.in_progress)
        self.gateway.begin_stop(PlannedStop(leaves_at, ends_at))
        callers.announce_close()
        self.tunnels.refuse_new()
        self.view.update_self(leaving=True, ready=False)
        self._send_heartbeats()
        # Callers still connect until the load balancer has removed this node.
        await asyncio.sleep(leaves_at - self.now())
        callers.close()
        await finish_requests(callers, ends_at - self.now())
        await self.tunnels.finish(ends_at - self.now())
        log.notice("stopped", in_progress=self.gateway.in_progress, took_s=self.now() - began)
        await asyncio.gather(
            answer_unfinished(self.gateway, callers, STOPPING, LAST_ANSWERS_S), self._deregister()
        )
        self._supervisor.ended.set()

    async def _deregister(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_ANSWERS_S):
                await self._registration.deregister()

    async def _answer_after_fatal_fault(self, callers: Listener) -> None:
        """Answer the requests that have been read, and do nothing else: state may be wrong.

        Connections are still accepted, as a close would reset those that wait for it.
        """
        self._supervisor.cancel()
        await answer_unfinished(self.gateway, callers, INTERNAL_FAULT, FATAL_ANSWERS_S)

    async def _close(self, listeners: list[Listener]) -> None:
        for listener in listeners:
            listener.close()
        self._supervisor.cancel()
        await self.links.close()
        self.quarantine.close()
        self.dialer.close()
        self.connections.close()
        self._store_connections.close()
        await asyncio.sleep(TICK_S)

    def _reload(self) -> None:
        """Reload the settings; keep the current ones if the file is invalid."""
        try:
            self.settings = load(self._path)
        except SettingsError as error:
            log.error("reload_failed", problems=error.problems)
            return
        log.notice("reloaded", seeds=self.settings.peers.seeds)

    # Loops.

    def _start_loops(self) -> None:
        loops = self._supervisor
        interval_s = self.view.interval_s
        loops.repeat("heartbeats", interval_s, self._send_heartbeats)
        loops.repeat("members", interval_s, self._check_members)
        loops.repeat("links", KEEPALIVE_INTERVAL_S, self._keep_links)
        loops.repeat("silent paths", SILENCE_CHECK_INTERVAL_S, self.dialer.check_silent)
        loops.repeat("store conflicts", interval_s, self.catalog.resolve_conflicts)
        for name, work in self._housekeeping().items():
            loops.repeat(name, HOUSEKEEPING_S, work)
        replicate = self.quotas.replicate_windows
        loops.repeat("quota windows", WINDOW_REPLICATION_INTERVAL_S, replicate)
        loops.repeat("roll-outs", ROLLOUTS_TICK_S, self.rollouts.tick)
        if self.memory.account.is_limited:
            loops.repeat("memory", MEMORY_TICK_S, lambda: self.memory.tick(self.links))
        loops.keep_running("pools", self._tick_pools)
        loops.keep_running("catalog", self.catalog.run)
        loops.keep_running("registration", self._registration.run)
        loops.keep_running("held records", self.held_records.run)
        if self.quota_snapshots is not None:
            loops.keep_running("quota snapshots", self.quota_snapshots.run)

    def _send_heartbeats(self) -> None:
        for send in self.view.due_messages(self.now()):
            self.links.send(send.address, send.message)
        known = {each.address for each in self.view.live()}
        for seed in self.settings.peers.seeds:
            if seed not in known:
                self.links.send(seed, self.view.full_heartbeat())

    def _declare_ready(self) -> None:
        """Declare this node ready for duties of the fleet once its catalog is complete.

        If other nodes are ready, this node waits for ``READY_DELAY_S`` since its start, so that it
        knows the other members. If none is ready, it doesn't wait.
        """
        if self.view.record.ready or self._stopping.is_set() or not self.catalog.state.complete:
            return
        others = any(each.ready for each in self.view.live())
        if not others or self.now() >= READY_DELAY_S:
            self.view.update_self(ready=True)

    def _keep_links(self) -> None:
        self.links.keep_alive(confirm_interval_s(self.view.spacing_s))

    def _check_members(self) -> None:
        self._apply_member_changes(self.view.tick(self.now()))
        self._declare_ready()
        if self._is_monitor != self.view.is_monitor:
            self._is_monitor = self.view.is_monitor
            log.info("monitoring", begun=self._is_monitor, live=len(self.view.live()))
        if self._handled_generation != self.view.generation:
            self._handled_generation = self.view.generation
            self.dialer.retire_tunnels()
            self.quotas.refresh_ownership()

    async def _tick_pools(self) -> None:
        """Tick the pools that this node schedules; most nodes schedule none."""
        while True:
            await self.scheduler_host.has_pools.wait()
            self.scheduler_host.tick()
            await asyncio.sleep(TICK_S)

    def _housekeeping(self) -> dict[str, Callable[[], None]]:
        """Return what is done each second, by name; none waits for the success of another."""
        return {
            "fleet size": lambda: self.fleet_size.record_live(self.view.live(), self.now()),
            "running requests": lambda: self.grants.report_to_new_owners(self.pools.pools),
            "progress": self.grants.send_progress,
            "replica connections": self.connections.close_expired,
            "store connections": self._store_connections.close_expired,
            "balancer": lambda: self.balancer.prune(self.catalog.state.replicas, self.now()),
            "dialer": self.dialer.prune,
            "quota ownership": self.quotas.refresh_ownership,
            "suspicions": self.suspicions.tick,
            "quarantine": self.quarantine.tick,
            "limits": self.limits.broadcast_pending,
            "permits": self.permits.drop_expired,
            "origins": self.origins.drop_expired,
        }

    # Messages.

    def _receive(self, connection: Connection, message: msgspec.Struct) -> Awaitable[None] | None:
        if self._supervisor.failure is not None:
            return None
        try:
            return self._router.route(connection, message)
        except InvariantBroken as error:
            self._supervisor.fail(error)
            return None

    # Changes of membership and catalog.

    def _apply_member_changes(self, changes: list[Change]) -> None:
        for change in changes:
            record = change.record
            joined = isinstance(change, Joined)
            event = "member_joined" if joined else "member_left"
            log.info(event, member=record.process, failure_domain=record.failure_domain)
            calls = self._joined_calls(record) if joined else self._left_calls(record)
            self._supervisor.call_each("member changes", calls)
        if changes:
            self.fleet_size.record_live(self.view.live(), self.now())
            self.grants.report_to_new_owners(self.pools.pools)
            self.keeper.refresh(self.now())

    def _joined_calls(self, record: MemberRecord) -> list[Callable[[], None]]:
        return [
            functools.partial(self.announcements.member_joined, record),
            functools.partial(self.limits.member_joined, record),
            functools.partial(self.tunnels.member_joined, record.process),
        ]

    def _left_calls(self, record: MemberRecord) -> list[Callable[[], None]]:
        return [
            functools.partial(self.scheduler_host.member_left, record.process),
            functools.partial(self.tunnels.member_left, record.process),
        ]

    def _catalog_changed(self) -> None:
        state = self.catalog.state
        if state.epoch != self._store_epoch:
            self._epoch_changed(state.epoch)
        for restart in state.pop_restarted():
            ended = restart.ended
            self.balancer.replace_start(ended.id, restart.later.id, self.now())
            self.connections.abort_idle(ended.ip, ended.port)
            self.gateway.on_replica_ended(ended.id)
            log.info("replica_restarted", ended=ended.id)
        self.drain.durations.retain({each.name for each in state.catalog.routes})
        self.rollouts.rebuild()
        self.replicas.rebuild()
        self.versions.catalog_changed()
        self.route_histories.catalog_changed()
        self.pools.rebuild(state.catalog, state.replicas)
        self.scheduler_host.reconfigure()
        self.grants.report_to_new_owners(self.pools.pools)
        self.quarantine.replicas_changed(state.replicas)
        self.quarantine.apply_stored_holds(state.held_requests, state.released_requests)

    def _epoch_changed(self, epoch: int) -> None:
        """Check this node's records again after a restore of the store from a backup."""
        before, self._store_epoch = self._store_epoch, epoch
        if not before:
            return
        log.notice("store_restored", before=before, epoch=epoch)
        self.metrics.count("store_restores")
        self._registration.store_restored(epoch)
        self.held_records.store_restored()
        if self.quota_snapshots is not None:
            self.quota_snapshots.store_restored(epoch)

    def _nodes_registered(self, registered: dict[str, bytes]) -> None:
        candidates = self._candidates.read(registered)
        self.view.set_candidates(candidates)
        self.fleet_size.record_registered((each.host for each in candidates), self.now())
