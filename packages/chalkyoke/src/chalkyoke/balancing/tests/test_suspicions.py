"""
A replica of a plain service that fails about half of its requests, in a fleet of 195 hosts.

Without shared suspicions, each host selects replicas only by its own outcomes of the last 4 s,
although it uses a given replica only once in 17 s. Requests that may run only once then reach the
bad replica from one host after the other and fail after a millisecond. In a fleet of 195 hosts, 113
of 272 unserved requests failed in this way; a fleet of 18 hosts has the same fault.
The simulation sends 29 requests a second to five replicas, with real balancers, observers and
membership in virtual time and a message delay of 2 ms; shared suspicions must avoid at least half
of these failures.
"""

import heapq
import itertools
import random

import pytest
from chalkyoke.balancing.local import LocalBalancer
from chalkyoke.balancing.messages import SUSPICION_MESSAGES
from chalkyoke.balancing.suspicions import Suspicions
from chalkyoke.catalog.resources import Replica

from tests.memberfleet import Fleet

DOMAINS = 5
HOSTS_A_DOMAIN = 39
REQUESTS_A_SECOND = 29.0
REPEATABLE_SHARE = 0.29
# Share of the requests sent to the bad replica that fail because of it.
BAD_REPLICA_FAILURE_SHARE = 0.45
# Share of repeatable requests that fail on any replica.
REPEATABLE_FAILURE_SHARE = 0.14
BAD_FROM_S, BAD_TO_S = 5.0, 11.5
END_S = 20.0
DELAY_S = 0.002
ANSWER_S = 0.07


class Simulation:
    def __init__(self, seed, *, shared):
        self.random_source = random.Random(seed)
        self.now = 0.0
        self.queue = []
        self.order = itertools.count()
        self.failed = 0
        self.messages = 0
        self.late_choices = 0
        domains = {f"d{d}": [f"d{d}h{n}" for n in range(HOSTS_A_DOMAIN)] for d in range(DOMAINS)}
        self.fleet = Fleet(domains)
        self.fleet.run(8)
        self.replicas = [Replica(f"r{n}", "seats", "10.0.0.1", n, f"d{n}", 6) for n in range(5)]
        self.balancers, self.nodes = {}, {}
        for host, view in self.fleet.views.items():
            balancer = LocalBalancer(view.domain, self.random_source.random)
            self.balancers[host] = balancer
            if shared:
                self.nodes[host] = Suspicions(
                    view, balancer, self.send, lambda _: 5, lambda: self.now
                )

    def schedule(self, when, action, *args):
        heapq.heappush(self.queue, (when, next(self.order), action, args))

    def send(self, address, message):
        assert isinstance(message, SUSPICION_MESSAGES)
        self.messages += 1
        self.schedule(self.now + DELAY_S, self.nodes[address.split(":")[0]].receive, message)

    def request(self):
        self.schedule(self.now + self.random_source.expovariate(REQUESTS_A_SECOND), self.request)
        host = self.random_source.choice(sorted(self.balancers))
        repeatable = self.random_source.random() < REPEATABLE_SHARE
        chosen = self.balancers[host].choose(self.replicas, self.now, repeatable=repeatable)
        bad = chosen.id == "r2" and BAD_FROM_S <= self.now < BAD_TO_S
        if not bad and self.now > BAD_TO_S + 6.0:
            self.late_choices += chosen.id == "r2"
        failed = bad and self.random_source.random() < BAD_REPLICA_FAILURE_SHARE
        failed = failed or (repeatable and self.random_source.random() < REPEATABLE_FAILURE_SHARE)
        if failed and not repeatable:
            self.failed += 1
        route = "find" if repeatable else "book"
        took_s = 0.001 if failed else ANSWER_S
        self.schedule(self.now + took_s, self.ended, host, chosen.id, route, failed)

    def ended(self, host, replica, route, failed):
        seen = self.balancers[host].stats(replica)
        if failed:
            seen.record_failure(0.3, self.now)
        else:
            seen.record_answer(ANSWER_S, self.now)
        if host in self.nodes:
            self.nodes[host].record_outcome("seats", replica, route, failed=failed)

    def tick(self):
        self.schedule(self.now + 1.0, self.tick)
        for node in self.nodes.values():
            node.tick()

    def run(self):
        self.schedule(0.0, self.request)
        self.schedule(0.0, self.tick)
        while self.queue and self.queue[0][0] < END_S:
            self.now, _, action, args = heapq.heappop(self.queue)
            action(*args)
        return self


def test_shared_suspicions_halve_failures_of_bad_replica():
    alone = sum(Simulation(seed, shared=False).run().failed for seed in range(4))
    simulations = [Simulation(seed, shared=True).run() for seed in range(4)]
    shared = sum(each.failed for each in simulations)
    assert shared <= alone / 2, (alone, shared)


def test_recovered_replica_is_used_again():
    assert Simulation(9, shared=True).run().late_choices > 0


@pytest.mark.parametrize("seed", range(3))
def test_messages_stay_below_one_per_host_and_second(seed):
    """The bound includes reports."""
    simulation = Simulation(seed, shared=True).run()
    assert simulation.messages / END_S < DOMAINS * HOSTS_A_DOMAIN
