"""
chalkyoke.balancing.observer

Find the replicas of one service that fail far more often than their requests do elsewhere, from
what all nodes report. A node among 195 meets a replica once in 17 s, and would find each bad one
out alone, at a caller's cost. Source of the statistic: Page, "Continuous Inspection Schemes", 1954.
"""

import math
from collections.abc import Iterable

import msgspec

from chalkyoke.balancing.messages import RouteCount

# The share of its requests that a bad replica is taken to fail.
BAD_REPLICA_FAILURE_SHARE = 0.4
# A replica is a suspect from this sum of log likelihood ratios on: two failures of a route that
# hardly ever fails (4 each), or far more of one that fails one request in seven (1 each).
MIN_SUSPECT_EVIDENCE = 7.0
# The sum counts up to this, so that some answers clear a replica that was bad for long.
MAX_EVIDENCE = 12.0
# A route is taken to have failed one of so many requests before anything is known of it.
PRIOR_REQUESTS = 20.0
# What is known of a route counts half after so many seconds: a release may change what it does.
ROUTE_HALF_LIFE_S = 15.0
# How long a suspect stays one without further failures, in seconds. Requests that may be repeated
# try it meanwhile.
SUSPECT_KEPT_S = 4.0
# The part of a service's replicas that are suspects at most: where most fail, the reason lies
# elsewhere, and the rest would bear everything.
MAX_SUSPECT_SHARE = 1 / 3


class _RouteEnds(msgspec.Struct):
    """How requests of one route ended at all replicas, the older the less."""

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
    """How much speaks for a replica being bad, and when it failed last."""

    weight: float = 0.0
    failed_at: float = 0.0


class Observer:
    """Watch the replicas of one service."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteEnds] = {}
        self._evidence: dict[str, _Evidence] = {}

    def add_counts(self, counts: Iterable[RouteCount], now: float) -> None:
        """Take a node's report."""
        for each in counts:
            route = self._routes.setdefault(each.route, _RouteEnds(now))
            share = route.failing_share
            route.add_outcomes(each.answers + each.failures, each.failures, now)
            if share >= BAD_REPLICA_FAILURE_SHARE:
                # Who fails as often as the others is not bad.
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
        """Name the suspects, the worst first.

        :param replicas: how many the service has.
        """
        for replica, each in list(self._evidence.items()):
            if now - each.failed_at > SUSPECT_KEPT_S:
                del self._evidence[replica]
        found = [
            name for name, each in self._evidence.items() if each.weight >= MIN_SUSPECT_EVIDENCE
        ]
        found.sort(key=lambda name: (-self._evidence[name].weight, name))
        most = max(1, int(replicas * MAX_SUSPECT_SHARE)) if replicas > 1 else 0
        return tuple(found[:most])

    def is_idle(self, now: float) -> bool:
        """Tell whether nothing is known any more."""
        return not self._evidence and all(
            now - each.at > ROUTE_HALF_LIFE_S for each in self._routes.values()
        )
