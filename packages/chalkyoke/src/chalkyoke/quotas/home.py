"""
chalkyoke.quotas.home

The home's side of quotas. A node is the home of a team while rendezvous hashing over the live
members says so. Two nodes that both believe it each lease for the share of the fleet that they see,
so the sum stays near the limit.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from chalkyoke.catalog.resources import Team
from chalkyoke.quotas.messages import QuotaGrant, QuotaRequest, QuotaSpent
from chalkyoke.quotas.window import QuotaLimits, SpendingWindow

VALID_S = 0.5
USED_SHARE = 0.78
ASSUMED_SHARE = 0.94
# A quarter of the window may see four tenths of what the window may: when a home is lost, what it
# leased is then spread enough for its successor to assume that it was spread evenly.
SHORT_WINDOW = 0.25
SHORT_SHARE = 0.4
HELD_PER_RANK = 0.04
CHEAP_COSTS = 3.0
MOST_RANKS_HELD = 3
SPARE_DIVISOR = 8.0
SURVEY_S = 1.0
MIN_RETRY_S = 0.05


@dataclass(frozen=True, slots=True)
class Presence:
    """How much of the fleet a node sees.

    :param live: members that it believes alive, itself included.
    :param known: members that there may be, those included that are dead or out of sight.
    """

    live: int
    known: int

    @property
    def share(self) -> float:
        """The share of the fleet's limits that this side of a cut may use.

        :rtype: float
        """
        return min(1.0, self.live / max(1, self.known))


@dataclass(slots=True)
class _Survey:
    """What a new home has heard of what was spent before.

    :ivar leased: what it has leased itself since it began.
    """

    began: float
    told: dict[str, float] = field(default_factory=dict)
    leased: float = 0.0


class QuotaHome:
    """Lease cost to the nodes that ask.

    :param limits: what any window may see.
    :param first_start: whether the whole fleet starts for the first time; otherwise another home
        may have leased just now, and the window is assumed to be full.
    """

    def __init__(self, limits: QuotaLimits, *, first_start: bool) -> None:
        self.limits = limits
        self._first_start = first_start
        self._windows: dict[str, SpendingWindow] = {}
        self._surveys: dict[str, _Survey] = {}

    def must_survey(self, team: str) -> bool:
        """Tell whether this node is new as a team's home and should ask what was spent.

        :rtype: bool
        """
        return team not in self._windows and not self._first_start

    def ask(self, team: Team, message: QuotaRequest, presence: Presence, now: float) -> QuotaGrant:
        """Answer a node that asks for cost of a limited team.

        :rtype: QuotaGrant
        """
        most = self.limits.most(team.rate_per_s, team.burst) * USED_SHARE * presence.share
        window = self._window(team.name, most, now)
        # The less urgent are refused first: a part of the window is kept for the others.
        ranks_held = 0 if self._is_cheap(team, message) else min(message.rank, MOST_RANKS_HELD)
        ceiling = most * (1.0 - HELD_PER_RANK * ranks_held)
        room = min(
            ceiling - window.spent(now),
            SHORT_SHARE * most - window.spent(now, self.limits.window_s * SHORT_WINDOW),
        )
        if room < message.need:
            retry = max(MIN_RETRY_S, window.free_in_s(message.need - room, now))
            return QuotaGrant(team.name, message.number, 0.0, retry, VALID_S)
        amount = message.need + min(message.ahead, (room - message.need) / SPARE_DIVISOR)
        window.add(amount, now)
        survey = self._surveys.get(team.name)
        if survey is not None:
            survey.leased += amount
        return QuotaGrant(team.name, message.number, amount, 0.0, VALID_S)

    def _is_cheap(self, team: Team, message: QuotaRequest) -> bool:
        """Tell whether a request costs so little that refusing it makes no room for others."""
        return message.need <= CHEAP_COSTS * team.plain_cost

    def take_spent(self, team: Team, message: QuotaSpent, presence: Presence, now: float) -> None:
        """Take what a node has spent, in place of its part of what was assumed."""
        survey, window = self._surveys.get(team.name), self._windows.get(team.name)
        if survey is None or window is None or now - survey.began > SURVEY_S:
            return
        most = self.limits.most(team.rate_per_s, team.burst) * USED_SHARE
        part = most * ASSUMED_SHARE / presence.known
        unknown = max(0.0, 1.0 - message.known_s / self.limits.window_s)
        survey.told[message.host] = message.cost + part * unknown
        # Those out of sight count for the share of the limit that is not used here.
        missing = max(0, presence.live - len(survey.told))
        assumed = sum(survey.told.values()) + part * missing
        window.assume(assumed + survey.leased, survey.began)

    def forget_others(self, mine: Callable[[str], bool]) -> None:
        """Drop the windows of teams whose home is elsewhere.

        :param mine: tells whether this node is a team's home.
        """
        for name in list(self._windows):
            if not mine(name):
                del self._windows[name]
                self._surveys.pop(name, None)
                self._first_start = False

    def _window(self, name: str, most: float, now: float) -> SpendingWindow:
        window = self._windows.get(name)
        if window is None:
            window = self._windows[name] = SpendingWindow(self.limits.window_s)
            if not self._first_start:
                window.assume(most * ASSUMED_SHARE, now)
                self._surveys[name] = _Survey(now)
        return window
