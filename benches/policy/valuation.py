"""
benches.policy.valuation

The value of service to callers, timed from their first attempt.

Answers earn credit. Holding a request that is then not served and refusing a caller that retries
cost credit.
"""

from dataclasses import dataclass

# Share of its credit that an answer earns after the goal, counted from the first attempt.
LATE_SHARE = 0.3
# Holding is free up to the first share, of the goal; from the second share, of the time that the
# caller had, it costs the whole credit. In between the cost grows linearly.
FREE_HOLD_SHARE = 1 / 8
WHOLE_LOSS_SHARE = 3 / 4
# Share of its credit that a caller loses when it retries after a refusal and isn't served again.
RETURN_COST = 0.3


def held_cost(held_s: float, goal_s: float, had_s: float) -> float:
    """Return the cost of holding a request that was then not served.

    :param held_s: time that it was held.
    :param goal_s: time from the first attempt by which the answer was due.
    :param had_s: time that the caller would have waited.
    :return: the share of its credit that is lost, from 0 to 1.
    """
    free = FREE_HOLD_SHARE * goal_s
    whole = max(free, WHOLE_LOSS_SHARE * had_s)
    if held_s <= free:
        return 0.0
    return 1.0 if held_s >= whole else (held_s - free) / (whole - free)


@dataclass
class Value:
    """The value of one run to its callers, in credits of one per demand.

    :ivar credit: credit earned by answers.
    :ivar held: credit lost by holding requests that weren't served.
    :ivar returns: retries that weren't served.
    :ivar beside_free: unserved attempts while under half of the slots were in use and none waited.
    """

    demands: int = 0
    credit: float = 0.0
    held: float = 0.0
    returns: int = 0
    beside_free: int = 0

    @property
    def net(self) -> float:
        """The share of all demands' credit that remains after the costs."""
        lost = self.held + RETURN_COST * self.returns
        return (self.credit - lost) / max(1, self.demands)

    def note_answer(self, answered_s: float, goal_s: float) -> None:
        """Add the credit of a whole answer.

        :param answered_s: time from the first attempt to the end of the answer.
        """
        self.credit += 1.0 if answered_s <= goal_s else LATE_SHARE

    def note_unserved(self, held_s: float, goal_s: float, had_s: float, *, returned: bool) -> None:
        """Add the costs of an attempt that ended without being dispatched.

        :param returned: whether the attempt was a retry.
        """
        self.held += held_cost(held_s, goal_s, had_s)
        self.returns += returned
