"""
benches.rounds.compare

Paired differences between two versions, each pair with the same day and seed.
"""

import math
import statistics
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from benches.rounds.report import Report

# Quantiles of Student's t by number of pairs. A mean difference is significant if it is this many
# standard errors away from 0: 19 in 20 that arise by chance alone are nearer.
T_95 = {
    2: 12.71,
    3: 4.30,
    4: 3.18,
    5: 2.78,
    6: 2.57,
    8: 2.36,
    10: 2.26,
    15: 2.14,
    20: 2.09,
    30: 2.05,
}
MIN_PAIRS = 2
# Windows with fewer owed requests vary too much to be listed.
MIN_OWED_REQUESTS = 15

Key = tuple[str, str, int]
"""Site, day and seed."""


@dataclass(frozen=True, slots=True)
class Difference:
    """The difference of one figure over pairs of runs.

    :param before: mean on the first version.
    :param after: mean on the second.
    :param spread: standard deviation of the pairs' differences; 0 for a single pair.
    """

    name: str
    before: float
    after: float
    spread: float
    pairs: int

    @property
    def mean(self) -> float:
        """The mean difference; positive where the second version has more."""
        return self.after - self.before

    @property
    def margin(self) -> float:
        """Half the width of the mean's 95% confidence interval; infinite for a single pair."""
        if self.pairs < MIN_PAIRS:
            return math.inf
        nearest = max(count for count in T_95 if count <= self.pairs)
        return T_95[nearest] * self.spread / math.sqrt(self.pairs)

    @property
    def noise(self) -> bool:
        """Whether the mean difference is within the margin, so that chance alone may explain it."""
        return abs(self.mean) <= self.margin


def difference(name: str, pairs: Iterable[tuple[float, float]]) -> Difference:
    """Summarise a figure's pairs of (before, after)."""
    listed = list(pairs)
    differences = [after - before for before, after in listed]
    return Difference(
        name,
        statistics.fmean(before for before, _ in listed),
        statistics.fmean(after for _, after in listed),
        statistics.stdev(differences) if len(differences) > 1 else 0.0,
        len(listed),
    )


def matched(
    before: Mapping[Key, Report], after: Mapping[Key, Report]
) -> dict[Key, tuple[Report, Report]]:
    """Pair the reports of the days and seeds that both versions have run."""
    return {key: (before[key], after[key]) for key in sorted(before.keys() & after.keys())}


def by_day(pairs: Mapping[Key, tuple[Report, Report]]) -> list[Difference]:
    """Compare the worth over all pairs, then by site and day."""
    groups: dict[str, list[tuple[float, float]]] = {"all": []}
    for (site, day, _), (before, after) in pairs.items():
        worths = (before.worth, after.worth)
        groups["all"].append(worths)
        groups.setdefault(f"{site} {day}", []).append(worths)
    return [difference(name, values) for name, values in groups.items() if values]


def by_part(pairs: Mapping[Key, tuple[Report, Report]]) -> list[Difference]:
    """Compare the parts of the worth, the kinds of request, and the prices other than 0."""
    rows = _differences_by_name("part", pairs, lambda report: report.parts)
    rows += _differences_by_name("kind", pairs, lambda report: report.classes)
    prices = _differences_by_name("price", pairs, lambda report: report.prices)
    return rows + [row for row in prices if row.before or row.after]


def by_window(pairs: Mapping[Key, tuple[Report, Report]], most: int = 8) -> list[Difference]:
    """Compare the windows in which the second version lost most, by site and day.

    :param most: number of windows at most.
    """
    groups: dict[str, list[tuple[float, float]]] = {}
    for (site, day, _), (before, after) in pairs.items():
        for first, second in zip(before.windows, after.windows, strict=False):
            if min(first.owed, second.owed) >= MIN_OWED_REQUESTS:
                name = f"{site} {day} {second.start_s:.0f} s"
                groups.setdefault(name, []).append((first.worth, second.worth))
    rows = [difference(name, values) for name, values in groups.items()]
    return sorted(rows, key=lambda row: row.after)[:most]


def _differences_by_name(
    kind: str,
    pairs: Mapping[Key, tuple[Report, Report]],
    figures: Callable[[Report], Mapping[str, float]],
) -> list[Difference]:
    names = dict.fromkeys(
        name for both in pairs.values() for report in both for name in figures(report)
    )
    return [
        difference(
            f"{kind}: {name}",
            [
                (figures(before)[name], figures(after)[name])
                for before, after in pairs.values()
                if name in figures(before) and name in figures(after)
            ]
            or [(0.0, 0.0)],
        )
        for name in names
    ]
