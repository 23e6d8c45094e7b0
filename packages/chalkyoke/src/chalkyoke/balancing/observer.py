"""
chalkyoke.balancing.observer

Detect replicas of a service that fail far more often than others, from the reports of all nodes. In
a fleet of 195 nodes, one node uses a given replica once in 17 s, so each node would detect a bad
replica on its own only at the expense of a caller. Source of the statistic: Page, "Continuous
Inspection Schemes", 1954.
"""

import math
from collections.abc import Iterable

import msgspec

from chalkyoke.balancing.messages import RouteCount

# The assumed share of requests that a bad replica fails.
BAD_REPLICA_FAILURE_SHARE = 0.4
# The sum of log likelihood ratios from which a replica is a suspect: two failures of a route that
# hardly ever fails (4 each), or many more of a route that fails one request in seven (1 each).
MIN_SUSPECT_EVIDENCE = 7.0
# Upper bound of the sum, so that a few answers clear a replica after a long period of failures.
MAX_EVIDENCE = 12.0
# Prior of a route's failure share: one failure in this many requests.
PRIOR_REQUESTS = 20.0
# Half-life of a route's counts, in seconds: a new release may change the failure share.
ROUTE_HALF_LIFE_S = 15.0
# How long a replica stays a suspect without further failures, in seconds. Meanwhile repeatable
# requests probe the replica.
SUSPECT_KEPT_S = 4.0
# Maximum share of a service's replicas that are suspects: where most replicas fail, the cause lies
# elsewhere, and the others would get all the load.
MAX_SUSPECT_SHARE = 1 / 3


class _RouteCounts(msgspec.Struct):
    """Count the outcomes of one route over all replicas, with exponential decay."""

    at: float
    requests: float = 0.0
    failures: float = 0.0

    def add_outcomes(self, requests: int, failures: int, now: float) -> None:
        kept = 0.5 ** ((now - self.at) / ROUTE_HALF_LIFE_S)
        self.at = now
        self.requests = self.requests * kept + requests
        self.failures = self.failures * kept + failures

    @property
    def failing_share(self) -> float:
        return (self.failures + 1.0) / (self.requests + PRIOR_REQUESTS)


class _Evidence(msgspec.Struct):
    """The evidence that a replica is bad, and the time of its last failure."""

    weight: float = 0.0
    failed_at: float = 0.0


class Observer:
    """Maintain the evidence against the replicas of one service."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteCounts] = {}
        self._evidence: dict[str, _Evidence] = {}

    def add_counts(self, counts: Iterable[RouteCount], now: float) -> None:
        """Add the counts of one node's report."""
        for each in counts:
            route = self._routes.setdefault(each.route, _RouteCounts(now))
            share = route.failing_share
            route.add_outcomes(each.answers + each.failures, each.failures, now)
            if share >= BAD_REPLICA_FAILURE_SHARE:
                # The whole route fails as often as a bad replica would, so its failures are no
                # evidence against this replica.
                continue
            evidence = self._evidence.setdefault(each.replica, _Evidence())
            evidence.weight += each.answers * math.log(
                (1.0 - BAD_REPLICA_FAILURE_SHARE) / (1.0 - share)
            )
            evidence.weight += each.failures * math.log(BAD_REPLICA_FAILURE_SHARE / share)
            evidence.weight = min(MAX_EVIDENCE, max(0.0, evidence.weight))
            if each.failures:
                evidence.failed_at = now

    def suspects(self, replicas: int, now: float) -> tuple[str, ...]:
        """List the suspects, the one with the most evidence first.

        :param replicas: number of replicas of the service.
        """
        for replica, each in list(self._evidence.items()):
            if now - each.failed_at > SUSPECT_KEPT_S:
                del self._evidence[replica]
        found = [
            name for name, each in self._evidence.items() if each.weight >= MIN_SUSPECT_EVIDENCE
        ]
        found.sort(key=lambda name: (-self._evidence[name].weight, name))
        max_suspects = max(1, int(replicas * MAX_SUSPECT_SHARE)) if replicas > 1 else 0
        return tuple(found[:max_suspects])

    def is_idle(self, now: float) -> bool:
        """Return whether there is no evidence and no recent count of any route."""
        return not self._evidence and all(
            now - each.at > ROUTE_HALF_LIFE_S for each in self._routes.values()
        )
