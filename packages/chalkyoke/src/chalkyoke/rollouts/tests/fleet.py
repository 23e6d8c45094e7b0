"""
Simulation of a fleet that carries out an order to move a service to another version, in virtual
time: nodes, leaders, a store that may be unavailable, and replicas of good or bad versions.

The workload is that of the users' booking fleet: three routes of a model pool at 290 requests a
second over 79 nodes. A fifth of the requests are chats that last 2.3 s on average, up to 15 s. Bad
versions fail or are slow in part of their answers: at once or later, under load, or on one route
only.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from chalkyoke.rollouts.exposure import Exposure, ExposureBounds
from chalkyoke.rollouts.lead import Phase, RolloutLeader
from chalkyoke.rollouts.messages import RolloutUpdate
from chalkyoke.rollouts.noderollout import NodeRollout
from chalkyoke.rollouts.resources import RolloutOrder, RolloutState, RolloutStatus, TrackedOrder

BOUNDS = ExposureBounds(share=0.1, slack=50)
ROLLBACK_S = 5.0
# By route: share of the requests, mean duration in seconds, share that fails at any version.
POOL = {"rebook": (0.35, 0.5, 0.004), "explain": (0.45, 0.3, 0.004), "chat": (0.2, 2.3, 0.004)}
PLAIN = {"hold": (0.81, 0.02, 0.004), "release": (0.19, 0.02, 0.14)}
SPEEDS = (0.6, 1.7, 1.7)
LONGEST_S = 15.0
# Factor by which nodes overestimate the duration of requests.
LASTS_FACTOR = 2.5
NEW_REPLICAS = 6
DELAY_S = (0.02, 0.1)
TICK_S, REPORT_S, ANNOUNCE_S = 0.25, 0.25, 1.0
STATES = {Phase.DONE: RolloutState.COMPLETED, Phase.UNDONE: RolloutState.ROLLED_BACK}


@dataclass
class Fault:
    """The faults of a version: which answers are affected, since when, and how.

    :param part: share of affected answers; 0 is a good version.
    :param slow: factor by which affected answers are slower; 0 if they fail.
    :param later_s: time from which answers are affected, in seconds.
    :param route: the only affected route; empty for all.
    :param load: minimum number of requests that run at the replica.
    :param replica: the only affected replica, which is no evidence against the version.
    """

    part: float = 0.0
    slow: float = 0.0
    later_s: float = 0.0
    route: str = ""
    load: int = 0
    replica: str = ""

    def affects(self, rng, route, replica, running, now):
        if now < self.later_s or running < self.load:
            return False
        if self.route not in ("", route) or self.replica not in ("", replica):
            return False
        return rng.random() < self.part


@dataclass
class Node:
    name: str
    rollout: NodeRollout
    side: int = 0
    alive: bool = True
    born: float = 0.0
    old_running: int = 0
    report_leader: str = ""
    reported_at_s: float = 0.0
    announced_at_s: float = -9.0
    announced: Phase = Phase.HELD
    lead: RolloutLeader = field(default_factory=RolloutLeader)
    status: RolloutStatus | None = None


class Fleet:
    """Simulate one order."""

    def __init__(self, seed, fault, nodes=80, over_s=30.0, rate=290.0, routes=POOL):
        self.rng = random.Random(seed)
        self.fault, self.rate, self.routes = fault, rate, routes
        self.order = RolloutOrder("model", "2", 2, over_s, 10)
        self.size = nodes
        self.now = 0.0
        self.names = itertools.count()
        self.events = []
        self.order_of_events = itertools.count()
        self.store_up = True
        self.storeless_sides = set()
        self.stored = RolloutStatus("model", "1", RolloutState.COMPLETED, 3)
        self.revision = 10
        self.answers = []
        self.nodes = [self.make_node() for _ in range(nodes)]
        self.running = dict.fromkeys(self.replicas(), 0)
        self.sent = self.exposed = 0
        self.bad_at, self.new_sent_at = [], []
        self.aborted_count = 0

    def replicas(self):
        return [f"new-{number}" for number in range(NEW_REPLICAS)]

    def make_node(self):
        exposure = Exposure(BOUNDS, self.size, self.rng.random)
        # A node that starts later reads the order from the store, which does not show its age.
        age = self.rng.uniform(0.02, 0.4) if self.now == 0.0 else 0.0
        rollout = NodeRollout(self.order, exposure, self.now - age, self.now)
        return Node(f"n{next(self.names):04}", rollout, born=self.now)

    # Time.

    def at(self, when, what, *arguments):
        heapq.heappush(self.events, (when, next(self.order_of_events), what, arguments))

    def play(self, until):
        self.at(0.0, self.arrive)
        for node in self.nodes:
            self.at(self.rng.random() * TICK_S, self.tick, node)
        while self.events and self.events[0][0] <= until:
            self.now, _, what, arguments = heapq.heappop(self.events)
            what(*arguments)
        return self

    # Faults.

    def kill(self, node):
        node.alive = False
        self.nodes.remove(node)
        self.at(self.now + 1.0, self.start)

    def start(self):
        node = self.make_node()
        node.side = 0
        self.nodes.append(node)
        self.at(self.now + 0.3, self.tick, node)

    def kill_leader(self):
        self.kill(self.leader(0))

    def kill_all(self):
        for node in list(self.nodes):
            self.kill(node)

    def cut(self, share, *, storeless):
        for node in self.nodes[: int(share * len(self.nodes))]:
            node.side = 1
        if storeless:
            self.storeless_sides.add(1)

    def heal(self):
        for node in self.nodes:
            node.side = 0
        self.storeless_sides.clear()

    def set_store(self, is_up):
        self.store_up = is_up

    # Requests.

    def arrive(self):
        self.at(self.now + self.rng.expovariate(self.rate), self.arrive)
        names = list(self.routes)
        route = self.rng.choices(names, [self.routes[each][0] for each in names])[0]
        if self.nodes:
            self.request(self.rng.choice(self.nodes), route, again=False)

    def request(self, node, route, *, again):
        mean = self.routes[route][1]
        usual = min(LONGEST_S, mean * self.rng.lognormvariate(-0.3, 0.8))
        estimate_s = LASTS_FACTOR * usual * self.rng.lognormvariate(0.0, 0.5)
        if not again and self.now <= self.order.over_s:
            self.sent += 1
        node.rollout.exposure.count_sent()
        is_done = node.status is not None and node.status.state is RolloutState.COMPLETED
        is_new = is_done or node.rollout.admit_to_new_version(
            min(estimate_s, LONGEST_S), self.now, again=again
        )
        took = usual / self.rng.choice(SPEEDS)
        failed = self.rng.random() < self.routes[route][2]
        replica = ""
        if is_new:
            replica = self.rng.choice(self.replicas())
            running = self.running[replica]
            if self.now <= self.order.over_s:
                self.exposed += 1
            if not is_done:
                self.new_sent_at.append((self.now, node.side, node.born))
            self.running[replica] += 1
            if self.fault.affects(self.rng, route, replica, running, self.now):
                failed = failed or not self.fault.slow
                took *= self.fault.slow or 0.5
                self.at(self.now + took, self.bad_at.append, self.now + took)
        else:
            node.old_running += 1
        self.at(
            self.now + min(took, LONGEST_S),
            self.end_request,
            node,
            route,
            replica,
            failed,
            took,
            usual,
        )

    def end_request(self, node, route, replica, failed, took, usual):
        if replica:
            self.running[replica] -= 1
        else:
            node.old_running -= 1
        if node.alive:
            node.rollout.count_end(
                route, replica, failed=failed, ratio=0.0 if failed else took / usual
            )

    # Nodes.

    def leader(self, side):
        return min((each for each in self.nodes if each.side == side), key=lambda each: each.name)

    def reached(self, node):
        return [each for each in self.nodes if each.side == node.side]

    def tick(self, node):
        if not node.alive:
            return
        self.at(self.now + TICK_S, self.tick, node)
        reaches_store = self.store_up and node.side not in self.storeless_sides
        if reaches_store and self.stored.revision > self.order.revision:
            node.status = self.stored
        leader = self.leader(node.side)
        if self.now - node.reported_at_s >= REPORT_S:
            node.reported_at_s = self.now
            whole = node.report_leader != leader.name
            node.report_leader = leader.name
            report = node.rollout.report(self.now, node.old_running, whole=whole)
            self.at(
                self.now + self.rng.uniform(*DELAY_S),
                self.receive_report,
                node.name,
                leader,
                report,
            )
        if leader is node:
            self.lead_order(node, reaches_store)

    def receive_report(self, name, leader, report):
        if leader.alive:
            leader.rollout.update_elapsed(report.least_s, self.now)
            leader.lead.apply_report(name, report)

    def lead_order(self, node, reaches_store):
        passed = node.rollout.elapsed(self.now)
        order = TrackedOrder(self.order, 0.0, node.status)
        phase = Phase.UNDONE
        if node.rollout.ended is not Phase.UNDONE:
            live = [each.name for each in self.reached(node)]
            decided = node.lead.decide(
                order,
                passed.max_s,
                new_replicas=NEW_REPLICAS,
                tried=True,
                live=live,
                sees_fleet=len(live) >= 0.95 * self.size,
            )
            phase = decided.phase
        ended = node.status is not None and node.status.state is not RolloutState.RUNNING
        if phase in STATES and not ended and reaches_store:
            self.write(STATES[phase], node.status)
        if phase is Phase.DONE and not ended:
            phase = Phase.CLOSING
        if phase is not node.announced or self.now - node.announced_at_s >= ANNOUNCE_S:
            node.announced, node.announced_at_s = phase, self.now
            for each in self.reached(node):
                delay = 0.0 if each is node else self.rng.uniform(*DELAY_S)
                self.at(self.now + delay, self.receive_update, each, phase, passed, node.side)

    def receive_update(self, node, phase, passed, side):
        if node.alive and node.side == side:
            update = RolloutUpdate("model", self.order.revision, phase, passed.min_s)
            node.rollout.apply_update(update, self.now)

    def write(self, state, status):
        """Write a status unless another node has; requests at old replicas are then aborted."""
        held = self.stored.revision if self.stored.revision > self.order.revision else 0
        if (status.revision if status else 0) != held:
            return
        self.revision += 1
        self.stored = RolloutStatus("model", "2", state, self.revision)
        self.answers.append((self.now, state))
        if state is RolloutState.COMPLETED:
            self.aborted_count = sum(each.old_running for each in self.nodes)

    # Results.

    @property
    def state(self):
        return self.answers[-1][1] if self.answers else RolloutState.RUNNING

    def sent_after_rollback_was_due(self):
        """Count requests sent after the rollback was due, except by nodes that were partitioned."""
        if len(self.bad_at) < 50:
            return 0
        due = sorted(self.bad_at)[49] + ROLLBACK_S
        return sum(1 for at, side, _ in self.new_sent_at if at > due and side == 0)
