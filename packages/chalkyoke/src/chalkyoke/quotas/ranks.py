"""
chalkyoke.quotas.ranks

Which requests get a team's quota while it does not bear all of them. Of what a rank asks for, twice
as large a part is served as of the next rank, and what a rank does not need goes to the others. So
a lasting shortage falls on the less urgent first, no rank is served less than a less urgent one,
and none gets nothing. Source: weighted max-min fairness, Bertsekas and Gallager, "Data Networks",
1992, with the demands as weights.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from chalkyoke.quotas.window import SpendingWindow

# Ranks that are told apart; all beyond count as the last of them. Routes have three here.
RANKS = 4
# The part that is served of a rank against that of the rank before. At a half, and a load of six
# times the usual, some 38, 19 and 10 in 100 of three ranks are served.
STEP = 0.5
# What is kept for each rank even where it has asked for nothing lately, of the window: a rank that
# wakes up is served at once. Four in 100 were kept before, by a fixed rule, and held.
KEPT_SHARE = 0.04

# What cheap requests may take before the ranks divide the rest, at most: at six times the usual
# load those that name no tokens ask for a tenth of their team's quota.
CHEAP_SHARE = 0.15


@dataclass(slots=True)
class _Rank:
    asked: SpendingWindow
    leased: SpendingWindow


@dataclass(slots=True)
class RankShares:
    """What each rank of one team has asked for and got lately.

    :param window_s: length of the window, in seconds.
    """

    window_s: float
    _cheap: SpendingWindow = field(init=False)
    _ranks: list[_Rank] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._cheap = SpendingWindow(self.window_s)
        self._ranks = [
            _Rank(SpendingWindow(self.window_s), SpendingWindow(self.window_s))
            for _ in range(RANKS)
        ]

    def ask(self, rank: int, cost: float, now: float) -> None:
        """Note that a request has asked for cost."""
        self._of(rank).asked.add(cost, now)

    def lease(self, rank: int, cost: float, now: float) -> None:
        """Note that cost that was asked for is leased for a request of a rank."""
        self._of(rank).leased.add(cost, now)

    def ask_cheap(self, cost: float, now: float) -> None:
        """Note that a request has asked for so little that it is never held back by its rank."""
        self._cheap.add(cost, now)

    def scale(self, factor: float) -> None:
        """Multiply all that was asked for and leased, after a change of the limit."""
        for each in self._ranks:
            each.asked.scale(factor)
            each.leased.scale(factor)
        self._cheap.scale(factor)

    def left(self, rank: int, most: float, now: float, within_s: float | None = None) -> float:
        """Tell how much a rank may still lease.

        :param most: what the span may see of all ranks together.
        :param within_s: length of the span that ends now; the whole window where none is given.
        """
        own = min(max(rank, 0), RANKS - 1)
        most -= min(CHEAP_SHARE * most, self._cheap.spent(now, within_s))
        kept = KEPT_SHARE * most
        asking = self._ranks[: max(own, self._last(now)) + 1]
        asked = [max(kept, each.asked.spent(now, within_s)) for each in asking]
        return divide(most, asked, kept)[own] - self._ranks[own].leased.spent(now, within_s)

    def _of(self, rank: int) -> _Rank:
        return self._ranks[min(max(rank, 0), RANKS - 1)]

    def _last(self, now: float) -> int:
        """Give the last rank that has asked for anything in the window."""
        asking = (index for index, each in enumerate(self._ranks) if each.asked.spent(now) > 0)
        return max(asking, default=0)


def divide(most: float, asked: Sequence[float], kept: float = 0.0) -> list[float]:
    """Divide a quota among ranks: each its weighted part, and what others leave of theirs.

    What nobody asks for is open to each of them.

    :param asked: what each rank asks for, the most urgent first.
    :param kept: a rank that asks for no more than this gets it in any case.
    """
    parts = [min(each, kept) for each in asked]
    open_ranks = [rank for rank, want in enumerate(asked) if want > kept]
    left = most - sum(parts[rank] for rank in range(len(asked)) if rank not in open_ranks)
    while open_ranks:
        weights = {rank: STEP**rank * asked[rank] for rank in open_ranks}
        total = sum(weights.values())
        content = [rank for rank in open_ranks if asked[rank] * total <= left * weights[rank]]
        if not content:
            for rank in open_ranks:
                parts[rank] = left * weights[rank] / total
            return parts
        for rank in content:
            parts[rank] = asked[rank]
            left -= asked[rank]
        open_ranks = [rank for rank in open_ranks if rank not in content]
    return [part + left for part in parts]
