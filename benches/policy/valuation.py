"""
benches.policy.valuation

What service is worth when it counts from a caller's first try: an answer in time, less what was
lost by holding requests that were then not served, and by callers that came back in vain.
"""

from dataclasses import dataclass

# An answer after the goal of the first try earns this part of its credit.
LATE_SHARE = 0.3
# Holding costs nothing up to this part of the goal, and the whole credit from this part of the
# time that the caller had.
FREE_HOLD_SHARE = 1 / 8
WHOLE_LOSS_SHARE = 3 / 4
# What a caller loses that came back after a refusal and is not served again.
RETURN_COST = 0.3


def held_cost(held_s: float, goal_s: float, had_s: float) -> float:
    """Price holding a request that was then not served.

    :param held_s: how long it was held.
    :param goal_s: when its answer was due, from its first try.
    :param had_s: how long its caller would have waited.
    :return: a part of its credit, from 0 to 1.
    """
    free = FREE_HOLD_SHARE * goal_s
    whole = max(free, WHOLE_LOSS_SHARE * had_s)
    if held_s <= free:
        return 0.0
    return 1.0 if held_s >= whole else (held_s - free) / (whole - free)


@dataclass
class Value:
    """What one play was worth to its callers.

    :ivar credit: answers, each with its part.
    :ivar held: credit lost by holding in vain.
    :ivar returns: callers that came back in vain.
    :ivar beside_free: refusals while under half of the slots were taken and nothing waited.
    """

    demands: int = 0
    credit: float = 0.0
    held: float = 0.0
    returns: int = 0
    beside_free: int = 0

    @property
    def net(self) -> float:
        """The part of all demands' credit that is left."""
        lost = self.held + RETURN_COST * self.returns
        return (self.credit - lost) / max(1, self.demands)

    def note_answer(self, answered_s: float, goal_s: float) -> None:
        """Count a whole answer.

        :param answered_s: since the first try.
        """
        self.credit += 1.0 if answered_s <= goal_s else LATE_SHARE

    def note_unserved(self, held_s: float, goal_s: float, had_s: float, *, returned: bool) -> None:
        """Count a try that ended without a run."""
        self.held += held_cost(held_s, goal_s, had_s)
        self.returns += returned
