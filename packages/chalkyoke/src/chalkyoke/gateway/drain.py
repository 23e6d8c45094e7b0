"""
chalkyoke.gateway.drain

Decides which requests a node still takes during a planned stop. Performs no I/O.
"""

import msgspec

from chalkyoke.gateway.durations import AnswerDurations, Basis, Expected
from chalkyoke.gateway.reception import Admission

# How long before the node ends it refuses the requests that still wait, in seconds: time for the
# refusal to reach the caller.
REFUSAL_TIME_S = 0.3


class PlannedStop(msgspec.Struct, frozen=True):
    """The times of a planned stop, on the node's clock, in seconds.

    :param leaves_at: until when callers may still choose this node, as the load balancer has not
        removed it yet.
    :param ends_at: when the node ends, whatever is in progress.
    """

    leaves_at: float
    ends_at: float


class Drain:
    """Predicts which answers end before a stopping node does.

    :ivar stop: the planned stop in progress; None before.
    :ivar durations: the recent answers of this node, and those under way.
    """

    def __init__(self) -> None:
        self.stop: PlannedStop | None = None
        self.durations = AnswerDurations()

    def latest_dispatch(self, admission: Admission, now: float) -> float | None:
        """Return when a request must have been dispatched to end in time, on the node's clock.

        A request that arrives after the callers have left is dispatched only if hardly any answer
        of its route takes longer than the time left, as its caller can still go elsewhere. Before,
        refusals would turn away callers that the answer would have reached most of the time. A
        request that must not be repeated is refused if a recent answer would have been cut off, as
        its caller could neither repeat it nor learn whether it ran.

        :param now: time on the node's clock, in seconds.
        :return: None if no stop is in progress, or the caller gives up before its end.
        """
        stop = self.stop
        if stop is None or admission.deadline <= stop.ends_at:
            return None
        seconds = self._expected(admission, stop, now).seconds
        return stop.ends_at - max(REFUSAL_TIME_S, seconds or 0.0)

    def may_replace(self, admission: Admission, now: float) -> bool:
        """Return whether another replica may take a request over from one that is silent.

        The silent one has worked on it, and is likely to answer earlier if all have become slow.

        :param now: time on the node's clock, in seconds.
        """
        stop = self.stop
        if stop is None or admission.deadline <= stop.ends_at:
            return True
        expected_s = self.durations.replacement_s(admission, now)
        return expected_s is None or now + expected_s < stop.ends_at

    def inputs(self, admission: Admission, now: float) -> dict[str, float | str]:
        """Return what the decision on a request rests on, for the log; empty before a stop.

        :param now: time on the node's clock, in seconds.
        """
        stop = self.stop
        if stop is None:
            return {}
        expected = self._expected(admission, stop, now)
        return {
            "ends_in_s": round(stop.ends_at - now, 4),
            "expected_s": round(expected.seconds or 0.0, 4),
            "basis": expected.basis.value,
        }

    def _expected(self, admission: Admission, stop: PlannedStop, now: float) -> Expected:
        """Return how long the answer takes: as long as it may, if it is late and nothing is known.

        Before the callers have left, nothing known counts as no time.
        """
        timeout_s = admission.deadline - admission.arrived_at
        if admission.arrived_at > stop.leaves_at:
            found = self.durations.bound(admission, now)
            seconds = timeout_s if found.seconds is None else min(found.seconds, timeout_s)
            return Expected(seconds, found.basis)
        if admission.route.repeatable:
            expected_s = self.durations.typical_s(admission)
        else:
            expected_s = self.durations.longest_s(admission, now)
        if expected_s is None:
            return Expected(None, Basis.UNKNOWN)
        return Expected(min(expected_s, timeout_s), Basis.RECENT)
