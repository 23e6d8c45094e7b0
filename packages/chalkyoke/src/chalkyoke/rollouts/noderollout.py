"""
chalkyoke.rollouts.noderollout

One node's part in an order: which of its requests go to the new version, and their outcomes.
"""

import msgspec

from chalkyoke.rollouts.evidence import Tally
from chalkyoke.rollouts.exposure import CLOSING_FRACTION, PROVEN_FRACTION, TRIAL_FRACTION, Exposure
from chalkyoke.rollouts.lead import DECISION_MARGIN_S, OLD_REPLICA_MARGIN_S, Phase
from chalkyoke.rollouts.messages import RolloutReport, RolloutUpdate
from chalkyoke.rollouts.resources import RolloutOrder

# Time for which the leader's update is valid, in seconds: three announcement intervals. A node that
# receives none for longer uses the old version again.
UPDATE_TTL_S = 3.0
TRIAL_FRACTIONS = {Phase.TRIAL: TRIAL_FRACTION, Phase.PROVEN: PROVEN_FRACTION}
FINAL_PHASES = frozenset((Phase.DONE, Phase.UNDONE))


class Elapsed(msgspec.Struct, frozen=True):
    """Bounds of the time since an order was given.

    :param min_s: lower bound in seconds: some node has known of the order for this long.
    :param max_s: upper bound in seconds, from the maximum age of the order when it was received.
    """

    min_s: float
    max_s: float


class NodeRollout:
    """A node's part in one order.

    :ivar ended: the final phase of the order, once the leader has announced it; it never changes.
    :param given: the earliest time at which the order was given, in seconds on the node's clock.
    :param known: the latest time at which the order was given, in seconds on the node's clock.
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
        """Return the bounds of the time since the order was given."""
        return Elapsed(now - self._latest_order_s, now - self._earliest_order_s)

    def update_elapsed(self, least_s: float, now: float) -> None:
        """Apply another node's lower bound of the time since the order was given.

        Nodes exchange only the lower bound: the delay of a message can invalidate an upper bound,
        but not a lower one.
        """
        self._latest_order_s = min(self._latest_order_s, now - least_s)
        self._earliest_order_s = min(self._earliest_order_s, self._latest_order_s)

    def phase(self, now: float) -> Phase:
        """Return the phase that the leader announced last; held if its update has expired."""
        if self.ended is not None:
            return self.ended
        return self._phase if now - self._updated_at_s <= UPDATE_TTL_S else Phase.HELD

    def apply_update(self, message: RolloutUpdate, now: float) -> bool:
        """Apply the leader's update.

        :return: whether the phase has changed.
        """
        before = self.phase(now)
        self._phase = Phase(message.phase)
        self._updated_at_s = now
        self.update_elapsed(message.least_s, now)
        if self._phase in FINAL_PHASES and self.ended is None:
            self.ended = self._phase
        return before is not self.phase(now)

    # Requests.

    def admit_to_new_version(self, lasts_s: float, now: float, *, again: bool) -> bool:
        """Return whether a request goes to the new version, and count it against the node's share.

        :param lasts_s: maximum duration of the request, in seconds.
        :param again: whether the request was sent before; retries are not used to try a version.
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
        """Return whether no request goes to old replicas any more, granted ones included."""
        return self.phase(now) is Phase.CLOSING and self._avoids_old_replicas(0.0, now)

    def _avoids_old_replicas(self, lasts_s: float, now: float) -> bool:
        """Return whether requests of this duration avoid old replicas while an order closes."""
        passed = self.elapsed(now)
        if passed.min_s > self.order.over_s:
            return True
        outlasts = (
            passed.max_s + lasts_s > self.order.over_s - DECISION_MARGIN_S - OLD_REPLICA_MARGIN_S
        )
        return outlasts and self.exposure.allows(CLOSING_FRACTION)

    def count_end(self, route: str, replica: str, *, failed: bool, ratio: float) -> None:
        """Count an answer or a failure.

        :param replica: a replica of the new version; empty for the old version.
        :param ratio: its duration relative to the reference time; 0 if the duration is no evidence.
        """
        key = (route, replica)
        tally = self._tallies.setdefault(key, Tally(route, replica))
        tally.count_request(failed=failed, ratio=ratio)
        self._unreported.add(key)

    # Reports.

    def report(self, now: float, old_running: int, *, whole: bool) -> RolloutReport:
        """Build a report on this node's requests.

        :param old_running: number of requests that this node has at replicas of other versions. The
            report has one more while others may follow.
        :param whole: whether to include all counts, for a leader that has no report of this node
            yet, instead of the changed ones only.
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
