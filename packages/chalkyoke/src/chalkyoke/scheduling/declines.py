"""
chalkyoke.scheduling.declines

Track requests that an upstream declines without running them. Such an upstream answers within a
millisecond and then has a free slot again, so without a pause it would attract the requests of its
pool although other upstreams have free slots.
"""

import math
from collections.abc import Iterable

import msgspec

# Pause after a first decline, in seconds, doubled with each further one; it is short because the
# upstream may only have been full for a moment.
FIRST_PAUSE_S = 0.1
# The longest pause, in seconds: one request a second probes whether the upstream serves again, at
# the cost of one failed attempt.
MAX_PAUSE_S = 1.0


class _DeclineStreak(msgspec.Struct):
    """Track consecutive declines and the time of the next probe.

    :ivar count: consecutive declines, each of a request granted after the previous decline.
    :ivar since: time of the first of them.
    :ivar last: time of the latest one.
    :ivar until: end of the current pause.
    """

    count: int = 0
    since: float = 0.0
    last: float = -math.inf
    until: float = -math.inf

    def record_decline(self, granted: float, now: float) -> None:
        """Count a decline; requests that were in flight at the previous decline do not count."""
        if granted < self.last:
            return
        if not self.count:
            self.since = now
        self.count += 1
        self.last = now
        self.start_pause(now)

    @property
    def pause_s(self) -> float:
        """The pause before the next probe, in seconds."""
        return min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0 ** min(self.count - 1, 10))

    def start_pause(self, now: float) -> None:
        """Start a pause before the next probe."""
        self.until = now + self.pause_s

    def record_served(self, granted: float) -> None:
        """Reset the count after a served request, unless it was granted before the last decline."""
        if granted >= self.last:
            self.count = 0
            self.until = -math.inf


class Declines:
    """Track the declines of one upstream over all entry processes.

    An upstream may decline the requests of a single failure domain. A decline therefore pauses the
    upstream for all domains, unless it has served another domain since this one was first declined.
    """

    __slots__ = ("_all", "_domains", "_rests", "_served")

    def __init__(self) -> None:
        self._all = _DeclineStreak()
        self._domains: dict[str, _DeclineStreak] = {}
        self._served: dict[str, float] = {}
        self._rests: dict[str, float] = {}

    def record_decline(self, domain: str, granted: float, now: float) -> None:
        """Record that a request was declined.

        :param domain: failure domain of the entry process that sent the request.
        :param granted: time of the grant, on the scheduler's clock.
        """
        streak = self._domains.setdefault(domain, _DeclineStreak())
        streak.record_decline(granted, now)
        served_elsewhere = (at for other, at in self._served.items() if other != domain)
        if max(served_elsewhere, default=-math.inf) <= streak.since:
            self._all.record_decline(granted, now)

    def record_served(self, domain: str, granted: float, now: float) -> None:
        """Record that a request was served, which ends the pause unless it was granted earlier."""
        self._all.record_served(granted)
        if (streak := self._domains.get(domain)) is not None:
            streak.record_served(granted)
        if self._domains:
            self._served[domain] = now

    def record_probe(self, domain: str, now: float) -> None:
        """Record a grant: while the upstream declines, the next one follows after a pause."""
        for streak in (self._all, self._domains.get(domain)):
            if streak is not None and streak.count:
                streak.start_pause(now)

    def record_rest(self, entry: str, seconds: float, now: float) -> None:
        """Record that the upstream asks one entry process to send nothing for some seconds."""
        until = now + seconds
        self._rests = {name: at for name, at in self._rests.items() if at > now}
        self._rests[entry] = max(until, self._rests.get(entry, until))

    def opens_at(self, domain: str, now: float) -> float:
        """Return when a failure domain may be granted the upstream, regardless of rests.

        :return: time on the scheduler's clock; negative infinity where it may be granted now.
        """
        streak = self._domains.get(domain)
        until = max(self._all.until, streak.until if streak is not None else -math.inf)
        return until if until > now else -math.inf

    def rests_until(self, entry: str) -> float:
        """Return the end of an entry process's rest; negative infinity where there is none."""
        return self._rests.get(entry, -math.inf)

    def resting(self, now: float) -> list[str]:
        """List the entry processes that must currently send nothing to the upstream."""
        return [entry for entry, until in self._rests.items() if until > now]

    def is_clear(self, now: float) -> bool:
        """Return whether the upstream neither declines requests nor asks any process for rest."""
        counts = (streak.count for streak in (self._all, *self._domains.values()))
        return not any(counts) and not self.resting(now)

    @property
    def refuses_all(self) -> bool:
        """Whether the pause has reached its maximum: the upstream counts as refusing all."""
        return self._all.pause_s >= MAX_PAUSE_S


class Closure(msgspec.Struct, frozen=True):
    """A period in which no upstream accepts requests of an entry process.

    :param until: when the first upstream may accept one again, on the scheduler's clock.
    :param refused: whether all upstreams refuse all requests, so that waiting is pointless.
    """

    until: float
    refused: bool


def find_closure(
    upstreams: Iterable[tuple[Declines, float]], entry: str, domain: str, now: float
) -> Closure | None:
    """Return the period in which all upstreams reject an entry process; None where one accepts.

    :param upstreams: declines of each upstream, and when its announced limit allows a request.
    :param domain: failure domain of the entry process.
    """
    until = math.inf
    refused = True
    for each, limited_until in upstreams:
        rests, opens = each.rests_until(entry), each.opens_at(domain, now)
        if max(rests, opens, limited_until) <= now:
            return None
        until = min(until, max(rests, opens, limited_until))
        refused = refused and rests <= now and each.refuses_all
    return Closure(until, refused) if until < math.inf else None
