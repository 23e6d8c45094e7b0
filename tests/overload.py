"""
tests.overload

The scheduler of one pool under random overload, with an independent check of every grant and shed.
"""

import random
from collections import Counter

from chalkyoke.outcomes import Reason
from chalkyoke.scheduling.messages import (
    Acquire,
    Adopt,
    Grant,
    LoadReport,
    Progress,
    ProgressItem,
    Release,
    RunningItem,
    Usage,
    Withdraw,
)
from chalkyoke.scheduling.scheduler import PoolScheduler
from chalkyoke.scheduling.state import PoolSpec, RouteSpec, TeamSpec, TierSpec, UpstreamSpec

ROUTES = {
    "all": {"u0", "u1", "u2", "u3"},
    "left": {"u0", "u1"},
    "right": {"u2", "u3"},
    "one": {"u3"},
}


def make_spec(leaving=frozenset()):
    return PoolSpec(
        "pool",
        tuple(
            UpstreamSpec(
                f"u{i}",
                f"a{i}",
                "d1",
                2 + i % 2,
                2000 * (1 + i),
                30 * (1 + i),
                1.5,
                20,
                f"u{i}" in leaving,
            )
            for i in range(4)
        ),
        tuple(TierSpec(f"t{rank}", rank) for rank in range(4)),
        tuple(TeamSpec(f"m{i}", 1.0 + i, 3 if i == 4 else 0) for i in range(5)),
        tuple(RouteSpec(name, frozenset(ups)) for name, ups in ROUTES.items()),
    )


class Overload:
    """Drives one scheduler with random events and tracks waiting and running requests itself."""

    def __init__(self, seed, scheduler_class=PoolScheduler):
        self.random = random.Random(seed)
        self.now = 0.0
        self.leaving = {}
        self.scheduler = scheduler_class(make_spec(), self.random.random, 0.0)
        self.waiting = {}
        self.running = {}
        self.counts = Counter()
        self.decisions = []
        self.last_number = 0

    def step(self):
        self.now += self.random.expovariate(40)
        actions = (
            [self.add_requests] * 6
            + [self.finish_request] * 4
            + [
                self.tick_scheduler,
                self.tick_scheduler,
                self.withdraw_request,
                self.send_progress,
                self.report_load,
                self.toggle_leaving,
                self.remove_entry,
                self.fail_request,
                self.adopt_request,
            ]
        )
        self.random.choice(actions)()

    # Events.

    def add_requests(self):
        self.last_number += 1
        burst = self.random.choice([1, 1, 1, 6])
        for _ in range(burst):
            self.last_number += 1
            name = f"r{self.last_number}"
            acquire = Acquire(
                name,
                1,
                "pool",
                self.random.choice(list(ROUTES)),
                f"t{self.random.randrange(4)}",
                f"m{self.random.randrange(5)}",
                self.random.choice([20, 200, 2000]),
                self.random.choice([10, 50, 200]),
                self.random_blocks(),
                self.random.choice([0.3, 2, 6, 20]),
                0.0,
                **self.goal_fields(),
            )
            self.waiting[name] = acquire
            entry = f"entry{self.random.randrange(3)}"
            self.apply_actions(self.scheduler.acquire(entry, "d1", acquire, self.now))
            if self.random.random() < 0.1:
                if name not in self.running:
                    self.waiting[name] = acquire
                self.apply_actions(self.scheduler.acquire(entry, "d1", acquire, self.now))

    def goal_fields(self):
        """Return the fields of an acquire that set a goal; none by default."""
        return {}

    def random_blocks(self):
        start = 100 * self.random.randrange(4)
        return tuple(range(start, start + self.random.randrange(8)))

    def finish_request(self, outcome="delivered"):
        if not self.running:
            return
        name = self.random.choice(list(self.running))
        self.running.pop(name)
        usage = Usage(
            100, self.random.choice([-1, 0, 100]), self.random.randrange(1, 100), 0.1, 1.0
        )
        self.apply_actions(
            self.scheduler.release("d1", Release(name, 1, "pool", outcome, usage), self.now)
        )

    def fail_request(self):
        self.finish_request(self.random.choice(["failed", "unreachable", "cancelled", "unused"]))

    def tick_scheduler(self):
        self.apply_actions(self.scheduler.tick(self.now))

    def withdraw_request(self):
        if self.waiting:
            name = self.random.choice(list(self.waiting))
            self.waiting.pop(name)
            self.scheduler.withdraw(Withdraw(name, "pool"))

    def send_progress(self):
        items = tuple(
            ProgressItem(name, self.random.randrange(20), 0.1, self.random.random() * 3)
            for name in self.running
        )
        for entry in range(3):
            self.apply_actions(
                self.scheduler.apply_progress(f"entry{entry}", Progress("pool", items), self.now)
            )

    def report_load(self):
        upstream = f"u{self.random.randrange(4)}"
        running = self.random.randrange(3)
        report = LoadReport(upstream, running, 0, 0.5, upstream in self.leaving)
        self.apply_actions(self.scheduler.apply_load_report(report, self.now))

    def toggle_leaving(self):
        name = f"u{self.random.randrange(4)}"
        if name in self.leaving:
            del self.leaving[name]
        elif len(self.leaving) < 2:
            self.leaving[name] = self.now
        self.apply_actions(self.scheduler.configure(make_spec(frozenset(self.leaving)), self.now))

    def remove_entry(self):
        if self.random.random() < 0.2:
            entry = f"entry{self.random.randrange(3)}"
            gone = {item.request for item in self.scheduler.waiting_items() if item.entry == entry}
            for name in gone:
                self.waiting.pop(name)
            for name in [n for n, r in self.scheduler._pool.running.items() if r.entry == entry]:
                self.running.pop(name, None)
            self.apply_actions(self.scheduler.remove_entry(entry, self.now))

    def adopt_request(self):
        self.last_number += 1
        item = RunningItem(
            f"r{self.last_number}",
            1,
            f"u{self.random.randrange(4)}",
            "t1",
            "m1",
            "all",
            50,
            50,
            3,
            0.4,
        )
        self.running[item.request] = (item.upstream, 1)
        self.apply_actions(self.scheduler.adopt("entry0", Adopt("pool", (item,)), self.now))

    # The independent check.

    def apply_actions(self, outs):
        for out in outs:
            action = out.action
            self.decisions.append(
                (
                    round(self.now, 6),
                    type(action).__name__,
                    action.request,
                    getattr(action, "upstream", getattr(action, "reason", "")),
                )
            )
            if isinstance(action, Grant):
                self.check_grant(action)
            else:
                self.check_shed(action, outs)

    def check_grant(self, grant):
        if grant.request in self.running:
            return
        self.counts["granted"] += 1
        acquire = self.waiting.pop(grant.request)
        assert grant.upstream in ROUTES[acquire.route], "granted against its selector"
        assert grant.upstream not in self.leaving, "a leaving upstream got new work"
        self.running[grant.request] = (grant.upstream, acquire.tier)

    def check_shed(self, shed, outs):
        """Check that no request is shed while one of a lower tier waits for a shared upstream."""
        self.counts[shed.reason] += 1
        acquire = self.waiting.pop(shed.request)
        if shed.reason is not Reason.SHED:
            return
        shed_together = {out.action.request for out in outs}
        for other in self.waiting.values():
            lower = other.tier > acquire.tier and other.request not in shed_together
            shared_upstreams = ROUTES[other.route] & ROUTES[acquire.route]
            assert not (lower and shared_upstreams), (
                f"{shed.request} of {acquire.tier} before {other.tier}"
            )


class GoalOverload(Overload):
    """Overload by requests with goals, whose callers return or ignore their Retry-After."""

    def goal_fields(self):
        caller = self.random.randrange(200)
        return {"goal_s": 0.2, "comes_back_s": 2.0, "whole_s": 20.0, "fingerprint": caller}


def run_overload(seed, steps=1500, scheduler_class=PoolScheduler, overload_class=Overload):
    """Drive a scheduler with one seed; return the driver with its counts and decisions."""
    run = overload_class(seed, scheduler_class)
    for _ in range(steps):
        run.step()
    return run
