"""
chalkyoke.rollouts.evidence

Whether a new version is as good as the old one, by what requests of the same routes met at both at
the same time. Source of the test: Wald, "Sequential Tests of Statistical Hypotheses", 1945: it may
be looked at after each answer, and ends as soon as enough is known.
"""

import math
from collections.abc import Iterable
from enum import StrEnum

import msgspec

from chalkyoke.rollouts.messages import EndCounts, SlownessCount

# Classes of slowness to a doubling: each is 19% slower than the one before.
CLASSES_PER_DOUBLING = 4
# A version is bad from this sum of log likelihood ratios on: of good versions one in 1,000 reaches
# it for each route and measure.
BAD_THRESHOLD = math.log(1000.0)
# The same for what came within the last seconds, which is looked at again and again.
RECENT_BAD_THRESHOLD = math.log(100_000.0)
# It is as good on a route from this sum on: of bad versions one in ten gets there.
GOOD_THRESHOLD = -math.log(10.0)
# At the deadline a route with few requests only must not look bad by more than this, a third of
# what makes a version bad, if all routes together reach twice :data:`GOOD_FROM`.
LOW_TRAFFIC_THRESHOLD = 2.3
COMBINED_GOOD_THRESHOLD = 2 * GOOD_THRESHOLD
# How much larger the part of bad answers of a bad version is, at the least that has to be found.
MIN_FAILURE_RISE = 0.2
MIN_SLOW_RISE = 0.3
# An answer is slow beyond so many times what half of the old version's take, or a twentieth.
SLOW_MEDIAN_FACTOR = 2.0
SLOW_TAIL_FACTOR = 1.5
TAIL_QUANTILE = 0.95
# The least share of bad answers of the old version that is believed: no route is perfect.
MIN_EXPECTED_SHARE = 0.01
MAX_EXPECTED_SHARE = 0.9
# Answers of the old version on a route, until what it does there is known.
MIN_OLD_ENDS = 50
# What the old version does is taken so many standard errors worse than it was seen: 50 answers tell
# a share within some hundredths only, and a good version must not be left for that.
MARGIN_STANDARD_ERRORS = 1.5
# A route with less of the service's requests decides nothing alone.
MIN_ROUTE_SHARE = 0.05
# The part of the new replicas that are left out, the worst ones, where there are enough: a single
# replica that fails or is slow says nothing of its version.
TRIMMED_REPLICA_SHARE = 0.2
MIN_REPLICAS_TO_TRIM = 3
# What answers are judged by, as it stands in the log.
FAILURES = "failures"
SLOWER_THAN_HALF = "slower than half"
SLOWER_THAN_MOST = "slower than most"
SLOWNESS = frozenset((SLOWER_THAN_HALF, SLOWER_THAN_MOST))


class Tally(msgspec.Struct):
    """How requests of a route ended at one replica, or at several.

    :ivar slowness: answers by :func:`slowness_class`.
    """

    route: str
    replica: str = ""
    ends: int = 0
    failures: int = 0
    slowness: dict[int, int] = msgspec.field(default_factory=dict)

    def count_request(self, *, failed: bool, ratio: float) -> None:
        """Count one request.

        :param ratio: how long it took; 0 where that tells nothing.
        """
        self.ends += 1
        self.failures += failed
        if ratio > 0:
            slowness = slowness_class(ratio)
            self.slowness[slowness] = self.slowness.get(slowness, 0) + 1

    def add(self, other: "Tally", sign: int = 1) -> None:
        """Add another tally.

        :param sign: -1 takes it away.
        """
        self.ends += sign * other.ends
        self.failures += sign * other.failures
        for each, number in other.slowness.items():
            self.slowness[each] = self.slowness.get(each, 0) + sign * number

    def copy(self) -> "Tally":
        """Copy it as it is now."""
        return msgspec.structs.replace(self, slowness=dict(self.slowness))

    def to_counts(self) -> EndCounts:
        """Word it for another node."""
        slowness = tuple(SlownessCount(*each) for each in sorted(self.slowness.items()))
        return EndCounts(self.route, self.replica, self.ends, self.failures, slowness)

    @classmethod
    def from_counts(cls, told: EndCounts) -> "Tally":
        """Read what a node tells."""
        return cls(told.route, told.replica, told.ends, told.failures, dict(told.slowness))


class Verdict(StrEnum):
    """What is known of a version."""

    OPEN = "open"
    GOOD = "good"
    BAD = "bad"


class Finding(msgspec.Struct, frozen=True):
    """What is known of a version, and by what.

    :param route: the route that decided; empty for all together.
    :param measure: what of its answers decided.
    :param ends: answers of the new version that were looked at.
    :param found: of these, bad ones.
    :param expected: the share of bad ones that the old version has.
    """

    verdict: Verdict
    route: str = ""
    measure: str = ""
    ends: int = 0
    found: int = 0
    expected: float = 0.0


class _RouteTest(msgspec.Struct, frozen=True):
    """One route by one measure.

    :param weight: sum of log likelihood ratios; positive speaks against the new version.
    """

    route: str
    measure: str
    ends: int
    found: int
    expected: float
    log_ratio: float

    def finding(self, verdict: Verdict) -> Finding:
        return Finding(verdict, self.route, self.measure, self.ends, self.found, self.expected)


def slowness_class(ratio: float) -> int:
    """Class how long an answer took.

    :param ratio: to any time that is the same for both versions of a request.
    """
    return round(CLASSES_PER_DOUBLING * math.log2(max(ratio, 1e-6)))


def evaluate(
    tallies: Iterable[Tally], *, at_deadline: bool = False, bad_from: float = BAD_THRESHOLD
) -> Finding:
    """Judge a version by all that is known.

    :param tallies: of all nodes.
    :param bad_from: how much has to speak against it, as a sum of log likelihood ratios.
    :param at_deadline: whether no more can be waited for.
    """
    old, new = _sum_by_route(tallies)
    tests = [test for route in new for test in _route_tests(old.get(route), new[route])]
    worst = max(tests, key=lambda each: each.log_ratio, default=None)
    if worst is not None and worst.log_ratio >= bad_from:
        return worst.finding(Verdict.BAD)
    wanted = _significant_routes(old)
    if wanted and _all_routes_good(wanted, tests, at_deadline=at_deadline):
        ends = sum(each.ends for each in new.values())
        return Finding(Verdict.GOOD, ends=ends)
    return worst.finding(Verdict.OPEN) if worst else Finding(Verdict.OPEN)


def _sum_by_route(tallies: Iterable[Tally]) -> tuple[dict[str, Tally], dict[str, Tally]]:
    """Add up what nodes told, by route: of the old version, and of the new without its worst."""
    old: dict[str, Tally] = {}
    replicas: dict[str, dict[str, Tally]] = {}
    for each in tallies:
        found = replicas.setdefault(each.replica, {}) if each.replica else old
        found.setdefault(each.route, Tally(each.route, each.replica)).add(each)
    new: dict[str, Tally] = {}
    for replica in _without_worst(replicas, old):
        for route, each in replicas[replica].items():
            new.setdefault(route, Tally(route)).add(each)
    return old, new


def _without_worst(replicas: dict[str, dict[str, Tally]], old: dict[str, Tally]) -> list[str]:
    if len(replicas) < MIN_REPLICAS_TO_TRIM:
        return list(replicas)

    def badness(replica: str) -> tuple[float, str]:
        weight = sum(
            test.log_ratio
            for route, each in replicas[replica].items()
            for test in _route_tests(old.get(route), each)
        )
        return weight, replica

    ranked = sorted(replicas, key=badness)
    return ranked[: len(ranked) - math.ceil(TRIMMED_REPLICA_SHARE * len(ranked))]


def _significant_routes(old: dict[str, Tally]) -> list[str]:
    total = sum(each.ends for each in old.values())
    return [route for route, each in old.items() if each.ends >= MIN_ROUTE_SHARE * total > 0]


def _all_routes_good(wanted: list[str], tests: list[_RouteTest], *, at_deadline: bool) -> bool:
    """Tell whether each route that counts is good by each measure."""
    enough = LOW_TRAFFIC_THRESHOLD if at_deadline else GOOD_THRESHOLD
    for route in wanted:
        mine = [each.log_ratio for each in tests if each.route == route]
        if not mine or max(mine) > enough:
            return False
    if not at_deadline:
        return True
    measures = {each.measure for each in tests}
    return all(
        sum(each.log_ratio for each in tests if each.measure == measure) <= COMBINED_GOOD_THRESHOLD
        for measure in measures
    )


def _route_tests(old: Tally | None, new: Tally) -> list[_RouteTest]:
    """Compare one route by each measure; nothing where the old version is not known there."""
    if old is None or old.ends < MIN_OLD_ENDS:
        return []
    expected = _expected_share(old.failures, old.ends)
    tests = [_route_test(new.route, FAILURES, new.ends, new.failures, expected, MIN_FAILURE_RISE)]
    times, new_times = sum(old.slowness.values()), sum(new.slowness.values())
    if times < MIN_OLD_ENDS:
        return tests
    for measure, quantile, factor, rise in (
        (SLOWER_THAN_HALF, 0.5, SLOW_MEDIAN_FACTOR, MIN_SLOW_RISE),
        (SLOWER_THAN_MOST, TAIL_QUANTILE, SLOW_TAIL_FACTOR, MIN_FAILURE_RISE),
    ):
        bound = _quantile(old.slowness, quantile) + slowness_class(factor)
        share = _expected_share(_count_above(old.slowness, bound), times)
        slow = _count_above(new.slowness, bound)
        tests.append(_route_test(new.route, measure, new_times, slow, share, rise))
    return tests


def _route_test(
    route: str, measure: str, ends: int, found: int, expected: float, rise: float
) -> _RouteTest:
    if expected >= MAX_EXPECTED_SHARE:
        return _RouteTest(route, measure, ends, found, expected, 0.0)
    bad = min(expected + rise, (1.0 + expected) / 2.0)
    weight = found * math.log(bad / expected)
    weight += (ends - found) * math.log((1.0 - bad) / (1.0 - expected))
    return _RouteTest(route, measure, ends, found, expected, weight)


def _expected_share(found: int, ends: int) -> float:
    share = (found + 0.5) / (ends + 1.0)
    return max(
        MIN_EXPECTED_SHARE, share + MARGIN_STANDARD_ERRORS * math.sqrt(share * (1.0 - share) / ends)
    )


def _quantile(slowness: dict[int, int], quantile: float) -> int:
    left = quantile * sum(slowness.values())
    for each in sorted(slowness):
        left -= slowness[each]
        if left <= 0:
            return each
    return max(slowness)


def _count_above(slowness: dict[int, int], bound: int) -> int:
    return sum(number for each, number in slowness.items() if each > bound)
