"""
chalkyoke.scheduling.timefactors

How long work takes on an upstream's machine at the moment, as the upstream reports it. Machines
that are shared with other work slow down for fractions of a second at a time, which a learned speed
is too slow to follow.
"""

import msgspec

# Validity of a reported time factor, in seconds. Disturbances last some 0.6 s and a report arrives
# at a random point of one: half of that is left where all last equally long, all of it where their
# length varies. With a longer validity, upstreams are avoided that have recovered; with a shorter
# one, a factor expires before the next response reports it.
TIME_FACTOR_VALID_S = 0.5
# Averaging window of the mean factor, in seconds: many disturbances.
MEAN_MEMORY_S = 10.0
# Upper bound of the weight of one report in the mean factor, as a share: a single report after a
# pause must not set the mean.
MAX_MEAN_GAIN = 0.02

# Bounds of a reported factor; values beyond them are taken for errors of the report.
MIN_TIME_FACTOR = 0.1
MAX_TIME_FACTOR = 20.0


class TimeFactor(msgspec.Struct):
    """The time factor of one upstream; 1.0 until the upstream reports another one.

    :ivar value: the last reported factor.
    :ivar reported_at: when it was reported, on the scheduler's clock.
    :ivar mean: mean of the reported factors; it is used where no report is valid.
    :ivar is_neutral: whether no factor other than 1.0 was reported. A field, since it is read for
        each upstream that is compared.
    :ivar lost_s: total time by which work took longer than with a factor of 1, up to
        ``reported_at``.
    """

    value: float = 1.0
    reported_at: float = -TIME_FACTOR_VALID_S
    mean: float = 1.0
    is_neutral: bool = True
    lost_s: float = 0.0

    def record(self, value: float, now: float) -> None:
        """Record a reported factor.

        :param value: above 0; a report of 1.0 ends an earlier disturbance.
        :param now: seconds on the scheduler's clock.
        """
        if self.is_neutral and value == 1.0:
            return
        value = max(MIN_TIME_FACTOR, min(MAX_TIME_FACTOR, value))
        self.lost_s = self.total_lost_s(now)
        # Weighted by time, since a busy plain service reports many times in one disturbance.
        gain = min(MAX_MEAN_GAIN, (now - self.reported_at) / MEAN_MEMORY_S)
        self.value = value
        self.reported_at = now
        self.mean += gain * (value - self.mean)
        self.is_neutral = False

    def valid_left_s(self, now: float) -> float:
        """Return how long the last report remains valid, in seconds; 0 where it is too old."""
        return max(0.0, self.reported_at + TIME_FACTOR_VALID_S - now)

    def current(self, now: float) -> float:
        """Return the factor that applies now: the last report, or the mean where it is too old.

        :rtype: float
        """
        return self.value if now < self.reported_at + TIME_FACTOR_VALID_S else self.mean

    def lengthen(self, work_s: float, now: float) -> float:
        """Predict how long work takes that starts now.

        :param work_s: its duration with a factor of 1, in seconds.
        :return: seconds: by the last report while that is valid, by the mean after that.
        """
        if self.is_neutral:
            return work_s
        left = self.valid_left_s(now)
        if work_s * self.value <= left:
            return work_s * self.value
        return left + (work_s - left / self.value) * self.mean

    def total_lost_s(self, now: float) -> float:
        """Return the total time by which work took longer than with a factor of 1, up to ``now``.

        :return: seconds; negative where work was faster. Only differences have a meaning.
        """
        if self.is_neutral:
            return self.lost_s
        elapsed = now - self.reported_at
        valid = min(elapsed, TIME_FACTOR_VALID_S)
        lost = valid * (1.0 - 1.0 / self.value)
        return self.lost_s + lost + (elapsed - valid) * (1.0 - 1.0 / self.mean)
