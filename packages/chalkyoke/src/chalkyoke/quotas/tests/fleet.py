"""Simulation of nodes that share a quota in virtual time, with unequal traffic, kills and cuts."""

import itertools

import msgspec
from chalkyoke.catalog.resources import Team
from chalkyoke.quotas.client import STORE_WAIT_S, WINDOW_REPLICATION_INTERVAL_S
from chalkyoke.quotas.leases import HeldLeases
from chalkyoke.quotas.ledger import HandedOffWindow
from chalkyoke.quotas.messages import QuotaRequest, QuotaSpent
from chalkyoke.quotas.owner import Presence, QuotaOwner
from chalkyoke.quotas.snapshotcalls import SnapshotCalls
from chalkyoke.quotas.window import QuotaLimits

from .simstore import PREFIX, StoreClient

LIMITS = QuotaLimits(window_s=8.0, over=0.1, slack=72_000)
TEAM = Team("t", ("k",), rate_per_s=30_000, burst=30_000, by_tokens=True, default_cost=200)


# Time between two steps of the store while a request waits for it, in seconds.
STORE_STEP_S = 0.002

IDENTITIES = itertools.count(1)


class Node:
    def __init__(self, name, started, first_start, store=None):
        self.name, self.started = name, started
        identity = next(IDENTITIES) * 1000
        self.owner = QuotaOwner(
            LIMITS, first_start=first_start, identity=identity, snapshots=store is not None
        )
        self.store = None
        if store is not None:
            key = f"{PREFIX}{name}-{identity}"
            self.store = StoreClient(store, SnapshotCalls(self.owner.snapshots, key), name, key)
        self.leases = HeldLeases(LIMITS, lambda: 9)
        self.first_start = first_start

    def local(self, now):
        return now - self.started


def rank(name):
    return (name * 7 + 3) % 9


class Fleet:
    """All nodes of the simulation; ``sides`` lists the groups that can reach each other.

    :param store: a :class:`SimStore` for snapshots of the windows; None if there are none.
    """

    def __init__(self, count=9, store=None):
        self.now = 0.0
        self.team = TEAM
        self.leaving = set()
        self.store = store
        self.nodes = {n: Node(n, 0.0, True, store) for n in range(count)}
        self.sides = [set(range(count))]
        self.passed, self.refused = [], []
        self.reach = None
        self.noticed_at = 0.0
        self.replicated_at = 0.0

    def kill(self, *names):
        for name in names:
            self.nodes[name] = Node(name, self.now, False, self.store)

    def cut(self, *sides):
        self.sides = [set(side) for side in sides]
        self._update_owners()

    def cut_unnoticed(self, delay_s, *sides):
        """Cut the fleet into groups; the nodes detect the partition after a delay."""
        self.reach = [set(side) for side in sides]
        self.noticed_at = self.now + delay_s

    def tick(self):
        """Send the owners' updates to their successors, and let nodes detect a partition."""
        if self.reach is not None and self.now >= self.noticed_at:
            reach, self.reach = self.reach, None
            self.cut(*reach)
        self._step_store()
        if self.now - self.replicated_at < WINDOW_REPLICATION_INTERVAL_S:
            return
        self.replicated_at = self.now
        for side in self.sides:
            owner = self.nodes[self.owner_of(next(iter(side)))]
            tellings = owner.owner.window_updates(
                lambda _, name=owner.name: self.successors(name), owner.local(self.now)
            )
            for telling in tellings:
                if self.reaches(owner.name, telling.address):
                    other = self.nodes[telling.address]
                    other.owner.apply_window_updates(telling.message, other.local(self.now))

    def _step_store(self):
        if self.store is None:
            return
        for side in self.sides:
            for name in side:
                node = self.nodes[name]
                node.store.step(self.now, node.local(self.now))

    def _wait_for_store(self, owner, message):
        """Let a refused request wait for the store, as its owner does; return whether it has."""
        now = owner.local(self.now)
        if self.store is None or not owner.owner.is_bounded_by_snapshot(self.team, message, now):
            return False
        for _ in range(round(STORE_WAIT_S / STORE_STEP_S)):
            self._step_store()
            self.now += STORE_STEP_S
        self._step_store()
        return True

    def successors(self, name):
        """List the next owner, and the next owner in each other third of the fleet."""
        others = sorted(self.side(name) - self.leaving - {name}, key=rank)
        third = len(self.nodes) // 3
        firsts = {
            each // third: each for each in reversed(others) if each // third != name // third
        }
        return list(dict.fromkeys([*others[:1], *firsts.values()]))

    def reaches(self, name, other):
        sides = self.reach or self.sides
        return any(name in side and other in side for side in sides)

    def lose(self, *names):
        """Remove nodes for good; the others detect it at once."""
        self.sides = [side - set(names) for side in self.sides]
        self._update_owners()

    def side(self, name):
        return next(side for side in self.sides if name in side)

    def owner_of(self, name):
        fit = self.side(name) - self.leaving or self.side(name)
        return min(fit, key=rank)

    def leave(self, *names):
        """Let nodes leave as planned: they still answer, and are no longer owners."""
        self.leaving = set(names)
        self._update_owners()

    def _update_owners(self):
        for name, node in self.nodes.items():
            if not any(name in side for side in self.sides):
                continue
            is_owner = self.owner_of(name) == name
            for message in node.owner.release_unowned(
                lambda _, m=is_owner: m, node.local(self.now)
            ):
                owner = self.nodes[self.owner_of(name)]
                owner.owner.apply_returned(message, owner.local(self.now))
        for side in self.sides:
            owner = self.nodes[self.owner_of(next(iter(side)))]
            self._start_owning(owner, Presence(len(side), len(self.nodes)))

    def send_request(self, name, cost, rank=0):
        self.tick()
        node, owner = self.nodes[name], self.nodes[self.owner_of(name)]
        if node.leases.spend(self.team, cost, 1, node.local(self.now)):
            passed = True
        elif not self.reaches(name, owner.name):
            passed = node.leases.spend_own_share(self.team, cost, node.local(self.now))
        else:
            grant = self._grant(node, owner, cost, rank)
            passed = node.leases.accept_grant(grant, cost, node.local(self.now))
        (self.passed if passed else self.refused).append((self.now, cost))
        return passed

    def _grant(self, node, owner, cost, rank):
        presence = Presence(len(self.side(node.name)), len(self.nodes))
        message = QuotaRequest(
            "t",
            1,
            cost,
            node.leases.cost_ahead(self.team),
            1,
            rank,
            *node.leases.take_remainder("t"),
            node.leases.pop_unreported("t"),
        )
        self._start_owning(owner, presence)
        grant = owner.owner.answer_request(self.team, message, presence, owner.local(self.now))
        if grant.amount > 0 or not self._wait_for_store(owner, message):
            return grant
        again = msgspec.structs.replace(message, returned=0.0, alone=0.0)
        return owner.owner.answer_request(self.team, again, presence, owner.local(self.now))

    def _start_owning(self, owner, presence):
        if not owner.owner.is_new_owner("t"):
            return
        owner.owner.start_owning(self.team, presence, owner.local(self.now))
        for other in self.side(owner.name):
            each = self.nodes[other]
            known = each.local(self.now)
            handed = each.owner.hand_off("t", known) if each is not owner else HandedOffWindow()
            spent = QuotaSpent(
                "t",
                str(other),
                each.leases.spent("t", known),
                known,
                *msgspec.structs.astuple(handed),
            )
            owner.owner.apply_spending_report(self.team, spent, presence, owner.local(self.now))

    def worst_window(self, since=0.0):
        worst, start, total = 0.0, 0, 0.0
        passed = [each for each in self.passed if each[0] >= since]
        for at, cost in passed:
            total += cost
            while passed[start][0] <= at - LIMITS.window_s:
                total -= passed[start][1]
                start += 1
            worst = max(worst, total)
        return worst
