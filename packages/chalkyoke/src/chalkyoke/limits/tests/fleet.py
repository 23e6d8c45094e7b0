"""Simulation of nodes that send to limited replicas, in virtual time without a network.

Open-loop callers at many hosts send to a plain service. Some of its replicas take few requests per
second from all hosts together. Hosts are killed and cut off meanwhile, and limits change. Limits
of 0.2 to 40 per second are those of small engines and of busy plain services. Hosts, domains and
delays are those of operators' fleets, up to the size expected in two years.
"""

import asyncio
import itertools
import math
import random
from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace

from chalkyoke.administration.metrics import Metrics
from chalkyoke.balancing.local import LocalBalancer
from chalkyoke.catalog.resources import Replica, Route, RouteKind, Service, Target
from chalkyoke.gateway.granted import Granted
from chalkyoke.gateway.grants import Grants
from chalkyoke.gateway.ports import RequestFields
from chalkyoke.gateway.reception import Admission
from chalkyoke.limits.announcements import LimitAnnouncements
from chalkyoke.limits.client import PermitClient
from chalkyoke.limits.keeper import LimitKeeper
from chalkyoke.limits.known import KnownLimits
from chalkyoke.scheduling.state import ReleaseOutcome
from chalkyoke_fakes.soak.limits import max_requests_in_window

SERVICE = Service("plain")
GOAL_S = 1.0
# Two routes of one service; the first is the more urgent.
ROUTES = tuple(
    Route(
        f"r{rank}",
        "h",
        "/",
        (Target("plain", 1),),
        RouteKind.IDEMPOTENT,
        8.0,
        GOAL_S,
        attempts=3,
        rank=rank,
    )
    for rank in range(2)
)
# Delays of a message one way, within a failure domain and between two, in seconds.
NEAR_S, FAR_S = 0.0005, 0.002
CONNECT_S = 0.002
WORK_S = 0.02
# Time until a loss or a partition is detected, in seconds.
NOTICED_S = 2.5
DOMAINS = 4


class View:
    """The members that one node considers live."""

    def __init__(self, node, live):
        self.node, self.live_names = node, set(live)
        self.record = SimpleNamespace(process=node.process)

    def broadcast_targets(self):
        return [each for each in sorted(self.live_names) if each != self.node.name], []

    def domain_addresses(self):
        return []


class Node:
    """One process of a host: the limits it knows and its grants; created anew at each start."""

    starts = itertools.count(1)

    def __init__(self, fleet, name, live):
        self.fleet, self.name = fleet, name
        self.process = f"{name}/{next(self.starts)}"
        self.domain = name % DOMAINS
        self.view = View(self, live)
        self.random = random.Random(f"{fleet.seed}/{self.process}")
        now = fleet.now
        known = KnownLimits()
        self.known = known
        self.keeper = LimitKeeper(
            known,
            lambda service: self.keepers(service)[0] == self.process,
            self._fleet_share,
            lambda kept: None,
        )
        self.announcements = LimitAnnouncements(
            known,
            self.view,
            SimpleNamespace(replicas=fleet.replicas),
            Metrics(),
            lambda address, message: fleet.carry(self, address, "news", message),
            lambda: self.balancer.clear_limits(),
            now,
        )
        self.permits = PermitClient(
            known, self.keeper, self, self.announcements.apply_report, self.random.random, now
        )
        self.balancer = LocalBalancer(str(self.domain), self.random.random)
        self.grants = Grants(
            SimpleNamespace(),
            fleet,
            self.balancer,
            self.permits,
            self.random.random,
            now,
            pooled=False,
        )

    # The keeper port of the permit client.

    def keepers(self, service):
        names = sorted(self.view.live_names, key=lambda each: (each * 7919 + 13) % 9973)
        elsewhere = [each for each in names if each % DOMAINS != names[0] % DOMAINS]
        here = [each for each in names if each % DOMAINS == self.domain]
        order = dict.fromkeys([*names[:1], *elsewhere[:1], *here[:1], *names])
        return [self.fleet.nodes[each].process for each in order]

    def is_here(self, process):
        return process == self.process

    def send(self, process, message):
        self.fleet.carry(self, int(process.partition("/")[0]), "permits", message)

    def nodes(self):
        return len(self.fleet.nodes)

    def _fleet_share(self):
        return len(self.view.live_names) / len(self.fleet.nodes)

    def receive(self, sender, kind, message):
        if kind == "news":
            self.announcements.receive(str(sender.name), message)
        else:
            self.permits.receive(sender.process, message)


@dataclass
class LimitedReplica:
    """The limit of one replica and the requests that reach it.

    :ivar limit_per_s: requests per second; negative if the replica announces no limit.
    :ivar arrivals: times at which requests arrived, and the processes that sent them.
    :ivar informed_at: time at which each process processed its first answer with a limit.
    """

    resource: Replica
    limit_per_s: float = -1.0
    arrivals: list = field(default_factory=list)
    informed_at: dict = field(default_factory=dict)


class Fleet:
    """All nodes and their callers.

    :param weights: relative number of callers of each node.
    """

    def __init__(self, hosts, replicas=6, seed=1, weights=None):
        self.seed = seed
        self.random = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.replicas = {
            f"p{number}": Replica(f"p{number}", "plain", "10.0.0.1", number + 1, "0", 50)
            for number in range(replicas)
        }
        self.limited = {name: LimitedReplica(each) for name, each in self.replicas.items()}
        self.messages = Counter()
        self.answers = Counter()
        self.cut_off = set()
        self.excused = {}
        self.weights = weights or [1 + 4 * (host % 5 == 0) for host in range(hosts)]
        self.nodes = {}
        for name in range(hosts):
            self.nodes[name] = Node(self, name, range(hosts))
        self._numbers = itertools.count(1)
        self._tasks = set()

    def now(self):
        return self.loop.time()

    # The ports of the grants.

    def find(self, replica, *, for_trial=False):
        return self.replicas.get(replica)

    def of_service(self, service, *, for_trial=False):
        return list(self.replicas.values())

    # Messages between nodes.

    def carry(self, sender, address, kind, message):
        self.messages[kind] += 1
        if (sender.name in self.cut_off) != (address in self.cut_off):
            return
        near = sender.domain == address % DOMAINS
        delay = (NEAR_S if near else FAR_S) * (1 + self.random.random())
        process = self.nodes[address].process
        self.loop.call_later(delay, self._deliver, sender, address, process, kind, message)

    def _deliver(self, sender, address, process, kind, message):
        node = self.nodes[address]
        if node.process == process:
            node.receive(sender, kind, message)

    # Faults.

    def kill(self, *names):
        """Restart hosts without a delay; other nodes see the new processes at once."""
        for name in names:
            self.nodes[name] = Node(self, name, self.nodes[name].view.live_names)

    def cut(self, names, seconds):
        """Cut off hosts from the others; all hosts still reach the replicas."""
        self.cut_off = set(names)
        for process in (self.nodes[name].process for name in names):
            self.excused[process] = (self.now(), self.now() + seconds + NOTICED_S)
        self.loop.call_later(NOTICED_S, self._detect_partition)
        self.loop.call_later(seconds, self._heal)

    def _heal(self):
        self.cut_off = set()
        self.loop.call_later(0.25, self._detect_partition)

    def _detect_partition(self):
        for name, node in self.nodes.items():
            side = name in self.cut_off
            node.view.live_names = {each for each in self.nodes if (each in self.cut_off) == side}
            node.keeper.refresh(self.now())

    # Callers.

    async def play(self, demand_per_s, seconds, events=()):
        """Send requests; ``events`` are pairs of a time in seconds and a function of the fleet."""
        began = self.now()
        for at, what in events:
            self.loop.call_later(at, what, self)
        ticking = asyncio.ensure_future(self._tick())
        names = list(self.nodes)
        while self.now() < began + seconds:
            await asyncio.sleep(self.random.expovariate(demand_per_s))
            node = self.nodes[self.random.choices(names, self.weights)[0]]
            task = asyncio.ensure_future(self._ask(node))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks)
        ticking.cancel()

    async def _tick(self):
        while True:
            await asyncio.sleep(1.0)
            for node in self.nodes.values():
                node.announcements.broadcast_pending()
                node.permits.drop_expired()

    async def _ask(self, node):
        now = self.now()
        name = f"q{next(self._numbers)}"
        fields = RequestFields(name)
        route = self.random.choice(ROUTES)
        self.answers["asked", route.name] += 1
        admission = Admission(
            name,
            name,
            fields,
            route,
            SERVICE,
            None,
            1,
            0,
            1.0,
            now,
            now + 8.0,
            now + GOAL_S,
            now + 4.0,
        )
        granted = await node.grants.acquire(admission, 1, ())
        if not isinstance(granted, Granted):
            self.answers["refused"] += 1
            return
        await asyncio.sleep(CONNECT_S * self.random.random())
        if self.nodes[node.name] is not node:
            self.answers["lost"] += 1
            return
        node.grants.record_started(admission, granted)
        replica = self.limited[granted.replica.id]
        replica.arrivals.append((self.now(), node.process))
        await asyncio.sleep(WORK_S * self.random.expovariate(1.0))
        now = self.now()
        node.balancer.stats(granted.replica.id).record_answer(now - granted.started_at, now)
        node.grants.release(admission, granted, ReleaseOutcome.DELIVERED)
        self.answers["served"] += 1
        self.answers["served", route.name] += 1
        self.answers["in time"] += self.now() <= admission.due_at
        limit = replica.limit_per_s
        node.announcements.record_answer(granted.replica.id, limit if limit >= 0 else None)
        if limit >= 0 and self.nodes[node.name] is node:
            replica.informed_at.setdefault(node.process, self.now())

    # Results.

    def set_limits(self, limit_per_s, count=None):
        for replica in list(self.limited.values())[:count]:
            replica.limit_per_s = limit_per_s

    def worst(self, since=0.0):
        """Return the highest number of requests in a window of the users' bound at any replica."""
        return max(self._worst_of(each, since) for each in self.limited.values())

    def _worst_of(self, replica, since):
        if not replica.informed_at:
            return 0
        counted = [
            (at, process) for at, process in replica.arrivals if not self._is_excused(process, at)
        ]
        return max_requests_in_window(
            counted, replica.informed_at, max(since, min(replica.informed_at.values()))
        )

    def _is_excused(self, process, at):
        began, ended = self.excused.get(process, (math.inf, 0.0))
        return began <= at <= ended

    def used(self, limit_per_s, began, seconds):
        """Return the fraction of all limits that the requests of all hosts used in a period."""
        limited = [each for each in self.limited.values() if each.limit_per_s >= 0]
        sent = sum(began <= at < began + seconds for each in limited for at, _ in each.arrivals)
        return sent / (len(limited) * limit_per_s * seconds)
