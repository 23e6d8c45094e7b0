"""
chalkyoke.rollouts.evidence

Decides whether a new version is as good as the old one, by comparing the outcomes of requests of
the same routes at both versions in the same period. Source of the test: Wald, "Sequential Tests of
Statistical Hypotheses", 1945. The test may be evaluated after each answer and ends as soon as the
evidence suffices.
"""

import math
from collections.abc import Iterable
from enum import StrEnum

import msgspec

from chalkyoke.rollouts.messages import EndCounts, SlownessCount

# Number of slowness classes per doubling of the duration: each is 19% slower than the one before.
CLASSES_PER_DOUBLING = 4
# Sum of log likelihood ratios from which a version is bad: one in 1,000 good versions reaches this
# sum for each route and measure.
BAD_THRESHOLD = math.log(1000.0)
# The same threshold for the answers of the last seconds, stricter because it is tested repeatedly.
RECENT_BAD_THRESHOLD = math.log(100_000.0)
# Sum from which a version is good on a route: one in ten bad versions reaches it.
GOOD_THRESHOLD = -math.log(10.0)
# At the deadline a route with few requests passes if its sum is at most this, a third of the
# threshold for a bad version, and all routes together reach twice :data:`GOOD_THRESHOLD`.
LOW_TRAFFIC_THRESHOLD = 2.3
COMBINED_GOOD_THRESHOLD = 2 * GOOD_THRESHOLD
# Smallest increases of the share of bad answers that the test must detect.
MIN_FAILURE_RISE = 0.2
MIN_SLOW_RISE = 0.3
# An answer is slow if it takes more than this many times the old version's median, or its 95th
# percentile: the time that a twentieth of its answers exceed.
SLOW_MEDIAN_FACTOR = 2.0
SLOW_TAIL_FACTOR = 1.5
TAIL_QUANTILE = 0.95
# Bounds of the expected share of bad answers. The lower one holds because no route is perfect; from
# the upper one on a route can't be compared.
MIN_EXPECTED_SHARE = 0.01
MAX_EXPECTED_SHARE = 0.9
# Number of the old version's answers on a route that are needed for a comparison.
MIN_OLD_ENDS = 50
# Number of standard errors by which the old version's share of bad answers is assumed to be worse
# than observed: 50 answers determine a share only to within some hundredths, and a good version
# must not be rolled back for that uncertainty.
MARGIN_STANDARD_ERRORS = 1.5
# A route with a smaller share of the service's requests need not be good for a good verdict.
MIN_ROUTE_SHARE = 0.05
# Share of the new replicas that are excluded, the worst ones first, if there are enough replicas: a
# single replica that fails or is slow is no evidence against its version.
TRIMMED_REPLICA_SHARE = 0.2
MIN_REPLICAS_TO_TRIM = 3
# Measures by which answers are compared, as written to the log.
FAILURES = "failures"
SLOWER_THAN_HALF = "slower than half"
SLOWER_THAN_MOST = "slower than most"
SLOWNESS = frozenset((SLOWER_THAN_HALF, SLOWER_THAN_MOST))


class Tally(msgspec.Struct):
    """Counts of the outcomes of a route's requests, at one replica or at several.

    :ivar slowness: number of answers by :func:`slowness_class`.
    """

    route: str
    replica: str = ""
    ends: int = 0
    failures: int = 0
    slowness: dict[int, int] = msgspec.field(default_factory=dict)

    def count_request(self, *, failed: bool, ratio: float) -> None:
        """Count one finished request.

        :param ratio: its duration relative to the reference time; 0 if the duration is no evidence.
        """
        self.ends += 1
        self.failures += failed
        if ratio > 0:
            slowness = slowness_class(ratio)
            self.slowness[slowness] = self.slowness.get(slowness, 0) + 1

    def add(self, other: "Tally", sign: int = 1) -> None:
        """Add the counts of another tally.

        :param sign: 1 to add, -1 to subtract.
        """
        self.ends += sign * other.ends
        self.failures += sign * other.failures
        for each, number in other.slowness.items():
            self.slowness[each] = self.slowness.get(each, 0) + sign * number

    def copy(self) -> "Tally":
        """Return an independent copy."""
        return msgspec.structs.replace(self, slowness=dict(self.slowness))

    def to_counts(self) -> EndCounts:
        """Return the counts as a message for another node."""
        slowness = tuple(SlownessCount(*each) for each in sorted(self.slowness.items()))
        return EndCounts(self.route, self.replica, self.ends, self.failures, slowness)

    @classmethod
    def from_counts(cls, counts: EndCounts) -> "Tally":
        """Return a tally of the counts that a node reported."""
        return cls(
            counts.route, counts.replica, counts.ends, counts.failures, dict(counts.slowness)
        )


class Verdict(StrEnum):
    """The verdict on a version; open while the evidence does not suffice."""

    OPEN = "open"
    GOOD = "good"
    BAD = "bad"


class Finding(msgspec.Struct, frozen=True):
    """A verdict on a version with its evidence.

    :param route: the decisive route; empty for all routes together.
    :param measure: the decisive measure.
    :param ends: number of evaluated answers of the new version.
    :param found: number of bad ones among them.
    :param expected: share of bad answers of the old version.
    """

    verdict: Verdict
    route: str = ""
    measure: str = ""
    ends: int = 0
    found: int = 0
    expected: float = 0.0


class _RouteTest(msgspec.Struct, frozen=True):
    """The comparison of one route by one measure.

    :param log_ratio: sum of log likelihood ratios; positive is evidence against the new version.
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
    """Return the class of an answer's duration, on a logarithmic scale.

    :param ratio: the duration relative to a reference time, the same for both versions.
    """
    return round(CLASSES_PER_DOUBLING * math.log2(max(ratio, 1e-6)))


def evaluate(
    tallies: Iterable[Tally], *, at_deadline: bool = False, bad_from: float = BAD_THRESHOLD
) -> Finding:
    """Evaluate a version by all reported tallies.

    :param tallies: tallies of all nodes.
    :param bad_from: sum of log likelihood ratios from which the version is bad.
    :param at_deadline: whether the verdict is due now, so that no more answers can be awaited.
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
    """Sum tallies by route, for the old version and for the new one without its worst replicas."""
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
    """Return whether each significant route is good by each measure."""
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
    """Compare one route by each measure; empty if the old version has too few answers there."""
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
