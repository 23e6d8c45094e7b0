"""
chalkyoke.memory.refusals

Notes when a host begins to refuse requests for lack of memory and when it ends, so that a thousand
refusals make two log lines.
"""

import msgspec

# Time without a refusal after which a period of refusals has ended, in seconds: longer than refused
# callers are told to wait.
QUIET_S = 2.0


class RefusalPeriod(msgspec.Struct):
    """A period in which requests were refused.

    :param began_at: in seconds.
    :param last_at: time of the last refusal, in seconds.
    :param requests: number of refused requests.
    :param largest: size of the largest refused body that was declared, in bytes.
    """

    began_at: float
    last_at: float
    requests: int = 0
    largest: int = 0


class RefusalLog:
    """Follows refusals. Times are seconds on one clock."""

    def __init__(self) -> None:
        self._period: RefusalPeriod | None = None

    def on_refused(self, size: int, now: float) -> bool:
        """Note a refused request.

        :param size: declared size of its body in bytes; 0 if it is unknown.
        :return: whether a period of refusals begins with it.
        """
        begins = self._period is None
        period = self._period or RefusalPeriod(now, now)
        period.last_at = now
        period.requests += 1
        period.largest = max(period.largest, size)
        self._period = period
        return begins

    def take_ended(self, now: float) -> RefusalPeriod | None:
        """Return the period that has ended, once; None if there is none."""
        period = self._period
        if period is None or now - period.last_at < QUIET_S:
            return None
        self._period = None
        return period
