"""
chalkyoke.rollouts.share

One node's part in an order: which of its requests go to the new version, and what they met.
"""

import msgspec

from chalkyoke.rollouts.evidence import Tally
from chalkyoke.rollouts.exposure import CLOSING_PART, PROVEN_PART, TRIAL_PART, Exposure
from chalkyoke.rollouts.lead import ANSWER_S, LEAVE_S, Phase
from chalkyoke.rollouts.messages import RolloutReport, RolloutTold
from chalkyoke.rollouts.resources import RolloutOrder

# How long the leader's word holds, in seconds: three tellings. A node that hears nothing for longer
# goes back to the old version.
WORD_HOLDS_S = 3.0
TRIED_PARTS = {Phase.TRIAL: TRIAL_PART, Phase.PROVEN: PROVEN_PART}
ENDS = frozenset((Phase.DONE, Phase.UNDONE))


class Passed(msgspec.Struct, frozen=True):
    """How long ago an order was given, in seconds.

    :param least_s: less is not possible: some node has known of it for so long.
    :param most_s: more is not possible: the news of it were this old at most when they came.
    """

    least_s: float
    most_s: float


class RolloutShare:
    """A node's part in one order.

    :ivar ended: how the order has ended, once the leader has told; it stays so.
    :param given: when the order was given at the earliest, on the node's clock, in seconds.
    :param known: when at the latest.
    """

    def __init__(self, order: RolloutOrder, exposure: Exposure, given: float, known: float) -> None:
        self.order = order
        self.exposure = exposure
        self.ended: Phase | None = None
        self._given = given
        self._known = known
        self._phase = Phase.HELD
        self._told_at = float("-inf")
        self._tallies: dict[tuple[str, str], Tally] = {}
        self._unreported: set[tuple[str, str]] = set()

    def passed(self, now: float) -> Passed:
        """Tell how long ago the order was given."""
        return Passed(now - self._known, now - self._given)

    def learn_passed(self, least_s: float, now: float) -> None:
        """Take what another node knows of when the order was given.

        Only the least time can be told: on its way a message gets older, which leaves "at least"
        true and "at most" not.
        """
        self._known = min(self._known, now - least_s)
        self._given = min(self._given, self._known)

    def phase(self, now: float) -> Phase:
        """Tell what the leader has told; nothing is tried without its word."""
        if self.ended is not None:
            return self.ended
        return self._phase if now - self._told_at <= WORD_HOLDS_S else Phase.HELD

    def hear(self, message: RolloutTold, now: float) -> bool:
        """Take the leader's word.

        :return: whether the phase is another one.
        """
        before = self.phase(now)
        self._phase = Phase(message.phase)
        self._told_at = now
        self.learn_passed(message.least_s, now)
        if self._phase in ENDS and self.ended is None:
            self.ended = self._phase
        return before is not self.phase(now)

    # Requests.

    def takes_new(self, lasts_s: float, now: float, *, again: bool) -> bool:
        """Tell whether a request is to go to the new version; the node's share counts it then.

        :param lasts_s: how long it may last, in seconds.
        :param again: whether it was sent before: what one version failed is not for a trial.
        """
        if not self._is_for_new(lasts_s, now, again=again):
            return False
        self.exposure.take()
        return True

    def _is_for_new(self, lasts_s: float, now: float, *, again: bool) -> bool:
        phase = self.phase(now)
        if phase in TRIED_PARTS:
            return not again and self.exposure.allows(TRIED_PARTS[phase])
        if phase is not Phase.CLOSING:
            return False
        if self._leaves_old(lasts_s, now):
            return True
        return not again and self.exposure.allows(PROVEN_PART)

    def has_left_old(self, now: float) -> bool:
        """Tell whether nothing goes to old replicas any more, what was granted before included."""
        return self.phase(now) is Phase.CLOSING and self._leaves_old(0.0, now)

    def _leaves_old(self, lasts_s: float, now: float) -> bool:
        """Tell whether nothing that lasts so long goes to an old replica while an order closes."""
        passed = self.passed(now)
        if passed.least_s > self.order.over_s:
            return True
        outlasts = passed.most_s + lasts_s > self.order.over_s - ANSWER_S - LEAVE_S
        return outlasts and self.exposure.allows(CLOSING_PART)

    def note_end(self, route: str, replica: str, *, failed: bool, ratio: float) -> None:
        """Count an answer or a failure.

        :param replica: of the new version; empty for the old one.
        :param ratio: how long it took; 0 where that tells nothing.
        """
        key = (route, replica)
        tally = self._tallies.setdefault(key, Tally(route, replica))
        tally.note(failed=failed, ratio=ratio)
        self._unreported.add(key)

    # Reports.

    def report(self, now: float, old_running: int, *, whole: bool) -> RolloutReport:
        """Word what this node's requests met.

        :param old_running: requests that this node has at replicas of other versions. One more is
            told while others may follow them.
        :param whole: all of it, for a leader that has heard nothing yet; else what is new.
        """
        wanted = self._tallies if whole else self._unreported
        counts = tuple(self._tallies[key].word() for key in sorted(wanted))
        self._unreported.clear()
        name = self.order.name
        return RolloutReport(
            self.order.service,
            name.revision,
            counts,
            old_running + (not self.has_left_old(now)),
            self.passed(now).least_s,
            undone=self.ended is Phase.UNDONE,
            epoch=name.epoch,
            digest=name.digest,
        )
