"""
A plain service under load: the real scheduler of its pool, replicas with slots and a bounded queue,
callers that retry once at Retry-After, and the latencies between them, in virtual time.
"""

import heapq
import itertools
import random
from collections import Counter

from chalkyoke.catalog.resources import Replica
from chalkyoke.gateway.settings import GATEWAY_FEATURES, SchedulingSection
from chalkyoke.node.pools import plain_upstream
from chalkyoke.scheduling.messages import Acquire, Grant, Release, Usage
from chalkyoke.scheduling.scheduler import PoolScheduler
from chalkyoke.scheduling.state import PoolSpec, RouteSpec, TeamSpec, TierSpec

SERVICE_S = 0.036


class Call:
    def __init__(self, number, at, team, tier, goal_s, deadline_s):
        self.name, self.at, self.team, self.tier = f"c{number}", at, team, tier
        self.due, self.deadline, self.tries = at + goal_s, at + deadline_s, 0
        self.ended_at = None
        self.rejected = self.refused = self.runs = 0


class PlainLoad:
    """Play calls against one scheduler and its replicas.

    :param rate: returns the calls per second at a time.
    :ivar queue: number of requests that a replica queues beyond its slots.
    :param oneway_s: one-way latency between the host of a call, the scheduler and the replica.
    """

    def __init__(self, rate, seed=1, slots=(6, 6, 6), oneway_s=0.0045, goal_s=0.2, deadline_s=2.0):
        self.random = random.Random(seed)
        self.rate, self.oneway_s = rate, oneway_s
        self.goal_s, self.deadline_s = goal_s, deadline_s
        self.now, self.order, self.events = 0.0, itertools.count(), []
        self.calls = {}
        self.replicas = {f"r{n}": [count, 0, []] for n, count in enumerate(slots)}
        self.lost, self.failing_share, self.queue = set(), 0.0, 24
        self.started = Counter()
        declared = [
            Replica(name, "p", "127.0.0.1", n, "z", each[0])
            for n, (name, each) in enumerate(self.replicas.items())
        ]
        self.spec = PoolSpec(
            "p",
            tuple(plain_upstream(each, SchedulingSection()) for each in declared),
            (TierSpec("0", 0), TierSpec("2", 2)),
            (TeamSpec("a"), TeamSpec("b")),
            (RouteSpec("r", frozenset(self.replicas)),),
            plain=True,
        )
        self.scheduler = PoolScheduler(
            self.spec, self.random.random, 0.0, features=GATEWAY_FEATURES
        )

    def after(self, delay_s, action, *args):
        heapq.heappush(self.events, (self.now + delay_s, next(self.order), action, args))

    def draw_team(self):
        return "a" if self.random.random() < 0.5 else "b"

    def draw_tier(self):
        return "0" if self.random.random() < 0.3 else "2"

    def arrive(self):
        self.after(self.random.expovariate(self.rate(self.now)), self.arrive)
        goal, deadline = self.goal_s, self.deadline_s
        call = Call(len(self.calls), self.now, self.draw_team(), self.draw_tier(), goal, deadline)
        self.calls[call.name] = call
        self.ask(call)

    def ask(self, call):
        call.tries += 1
        left = call.deadline - self.now
        message = Acquire(
            f"{call.name}/{call.tries}", 1, "p", "r", call.tier, call.team, 0, 0, (), left, 0.0,
            goal_s=(call.due - self.now) or -1e-3, whole_s=left, comes_back_s=0.3 * left,
            fingerprint=int(call.name[1:]) + 1,
        )  # fmt: skip
        self.after(
            self.oneway_s, lambda: self.act(self.scheduler.acquire("h", "z", message, self.now))
        )

    def act(self, actions):
        for each in actions:
            self.after(self.oneway_s, self.receive, each.action)

    def receive(self, action):
        call = self.calls[action.request.split("/")[0]]
        if isinstance(action, Grant):
            self.after(self.oneway_s, self.reach, call, action, self.now)
            return
        call.refused += 1
        wait_s = action.retry_after_s
        if call.tries == 1 and wait_s is not None and wait_s <= (call.deadline - self.now) / 3:
            self.after(wait_s, self.ask, call)

    def reach(self, call, grant, sent_at):
        if grant.upstream in self.lost:
            self.after(self.oneway_s, self.end, call, grant, sent_at, "unreachable", None)
            return
        slots, running, queue = replica = self.replicas[grant.upstream]
        if running < slots:
            self.start(replica, call, grant, sent_at)
        elif len(queue) < self.queue:
            queue.append((call, grant, sent_at))
        else:
            self.after(self.oneway_s, self.end, call, grant, sent_at, "unused", replica)

    def start(self, replica, call, grant, sent_at):
        replica[1] += 1
        call.runs += 1
        self.started[grant.upstream] += 1
        took_s = self.random.gammavariate(4.0, SERVICE_S / 4.0)
        took_s *= 5.0 if self.random.random() < 0.01 else 1.0
        self.after(took_s, self.finish, replica, call, grant, sent_at)

    def finish(self, replica, call, grant, sent_at):
        replica[1] -= 1
        if grant.upstream not in self.lost:
            outcome = "failed" if self.random.random() < self.failing_share else "delivered"
            self.after(self.oneway_s, self.end, call, grant, sent_at, outcome, replica)
        if replica[2]:
            self.start(replica, *replica[2].pop(0))

    def end(self, call, grant, sent_at, outcome, replica):
        took_s = self.now - sent_at
        load = (replica[1], len(replica[2]), replica[0]) if replica else (0, 0, 0)
        if outcome == "delivered":
            call.ended_at = self.now
        call.rejected += outcome == "unused"
        usage = Usage(first_s=took_s if outcome == "delivered" else -1.0, total_s=took_s)
        release = Release(grant.request, 1, "p", outcome, usage, outcome == "unused", 0.0, *load)
        self.after(self.oneway_s, lambda: self.act(self.scheduler.release("z", release, self.now)))

    def tick(self):
        self.after(0.05, self.tick)
        self.act(self.scheduler.tick(self.now))

    def run(self, seconds):
        """Play for some seconds and return the calls that arrived, without those of the first."""
        self.after(0.0, self.arrive)
        self.after(0.0, self.tick)
        while self.events[0][0] < seconds:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        return [each for each in self.calls.values() if 1.0 <= each.at < seconds - 2.0]


def share(calls, holds):
    return sum(1 for each in calls if holds(each)) / max(1, len(calls))


def in_goal(call):
    return call.ended_at is not None and call.ended_at <= call.due
