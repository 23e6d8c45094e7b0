"""
chalkyoke.rollouts.share

One node's part in an order: which of its requests go to the new version, and what they met.
"""

import msgspec

from chalkyoke.rollouts.evidence import Tally
from chalkyoke.rollouts.exposure import CLOSING_FRACTION, PROVEN_FRACTION, TRIAL_FRACTION, Exposure
from chalkyoke.rollouts.lead import DECISION_MARGIN_S, OLD_REPLICA_MARGIN_S, Phase
from chalkyoke.rollouts.messages import RolloutReport, RolloutUpdate
from chalkyoke.rollouts.resources import RolloutOrder

# How long the leader's word holds, in seconds: three tellings. A node that hears nothing for longer
# goes back to the old version.
UPDATE_TTL_S = 3.0
TRIAL_FRACTIONS = {Phase.TRIAL: TRIAL_FRACTION, Phase.PROVEN: PROVEN_FRACTION}
FINAL_PHASES = frozenset((Phase.DONE, Phase.UNDONE))


class Elapsed(msgspec.Struct, frozen=True):
    """How long ago an order was given, in seconds.

    :param least_s: less is not possible: some node has known of it for so long.
    :param most_s: more is not possible: the news of it were this old at most when they came.
    """

    min_s: float
    max_s: float


class NodeRollout:
    """A node's part in one order.

    :ivar ended: how the order has ended, once the leader has told; it stays so.
    :param given: when the order was given at the earliest, on the node's clock, in seconds.
    :param known: when at the latest.
    """

    def __init__(self, order: RolloutOrder, exposure: Exposure, given: float, known: float) -> None:
        self.order = order
        self.exposure = exposure
        self.ended: Phase | None = None
        self._earliest_order_s = given
        self._latest_order_s = known
        self._phase = Phase.HELD
        self._updated_at_s = float("-inf")
        self._tallies: dict[tuple[str, str], Tally] = {}
        self._unreported: set[tuple[str, str]] = set()

    def elapsed(self, now: float) -> Elapsed:
        """Tell how long ago the order was given."""
        return Elapsed(now - self._latest_order_s, now - self._earliest_order_s)

    def update_elapsed(self, least_s: float, now: float) -> None:
        """Take what another node knows of when the order was given.

        Only the least time can be told: on its way a message gets older, which leaves "at least"
        true and "at most" not.
        """
        self._latest_order_s = min(self._latest_order_s, now - least_s)
        self._earliest_order_s = min(self._earliest_order_s, self._latest_order_s)

    def phase(self, now: float) -> Phase:
        """Tell what the leader has told; nothing is tried without its word."""
        if self.ended is not None:
            return self.ended
        return self._phase if now - self._updated_at_s <= UPDATE_TTL_S else Phase.HELD

    def apply_update(self, message: RolloutUpdate, now: float) -> bool:
        """Take the leader's word.

        :return: whether the phase is another one.
        """
        before = self.phase(now)
        self._phase = Phase(message.phase)
        self._updated_at_s = now
        self.update_elapsed(message.min_elapsed_s, now)
        if self._phase in FINAL_PHASES and self.ended is None:
            self.ended = self._phase
        return before is not self.phase(now)

    # Requests.

    def admit_to_new_version(self, lasts_s: float, now: float, *, again: bool) -> bool:
        """Tell whether a request is to go to the new version; the node's share counts it then.

        :param lasts_s: how long it may last, in seconds.
        :param again: whether it was sent before: what one version failed is not for a trial.
        """
        if not self._may_admit(lasts_s, now, again=again):
            return False
        self.exposure.reserve()
        return True

    def _may_admit(self, lasts_s: float, now: float, *, again: bool) -> bool:
        phase = self.phase(now)
        if phase in TRIAL_FRACTIONS:
            return not again and self.exposure.allows(TRIAL_FRACTIONS[phase])
        if phase is not Phase.CLOSING:
            return False
        if self._avoids_old_replicas(lasts_s, now):
            return True
        return not again and self.exposure.allows(PROVEN_FRACTION)

    def has_left_old(self, now: float) -> bool:
        """Tell whether nothing goes to old replicas any more, what was granted before included."""
        return self.phase(now) is Phase.CLOSING and self._avoids_old_replicas(0.0, now)

    def _avoids_old_replicas(self, lasts_s: float, now: float) -> bool:
        """Tell whether nothing that lasts so long goes to an old replica while an order closes."""
        passed = self.elapsed(now)
        if passed.min_s > self.order.over_s:
            return True
        outlasts = (
            passed.max_s + lasts_s > self.order.over_s - DECISION_MARGIN_S - OLD_REPLICA_MARGIN_S
        )
        return outlasts and self.exposure.allows(CLOSING_FRACTION)

    def count_end(self, route: str, replica: str, *, failed: bool, ratio: float) -> None:
        """Count an answer or a failure.

        :param replica: of the new version; empty for the old one.
        :param ratio: how long it took; 0 where that tells nothing.
        """
        key = (route, replica)
        tally = self._tallies.setdefault(key, Tally(route, replica))
        tally.count_request(failed=failed, ratio=ratio)
        self._unreported.add(key)

    # Reports.

    def report(self, now: float, old_running: int, *, whole: bool) -> RolloutReport:
        """Word what this node's requests met.

        :param old_running: requests that this node has at replicas of other versions. One more is
            told while others may follow them.
        :param whole: all of it, for a leader that has heard nothing yet; else what is new.
        """
        wanted = self._tallies if whole else self._unreported
        counts = tuple(self._tallies[key].to_counts() for key in sorted(wanted))
        self._unreported.clear()
        name = self.order.name
        return RolloutReport(
            self.order.service,
            name.revision,
            counts,
            old_running + (not self.has_left_old(now)),
            self.elapsed(now).min_s,
            undone=self.ended is Phase.UNDONE,
            epoch=name.epoch,
            digest=name.digest,
        )
