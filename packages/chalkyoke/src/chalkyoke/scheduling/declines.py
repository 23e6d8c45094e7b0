"""
chalkyoke.scheduling.declines

What an upstream says by turning requests away that it has not run. It answers within a millisecond
and then has a free slot again, so that it would draw the work of its pool while others have places.
"""

import math
from collections.abc import Iterable

import msgspec

# How long an upstream gets nothing after a first decline, in seconds, doubled with each further
# one: it may only have been full for a moment.
FIRST_PAUSE_S = 0.1
# The longest pause, in seconds: one request a second finds out whether it serves again, at the cost
# of one try of the pool's callers.
MAX_PAUSE_S = 1.0


class _Closed(msgspec.Struct):
    """Since when requests are declined one after the other, and when the next is tried.

    :ivar count: declines of requests of which each was granted after the one before.
    """

    count: int = 0
    since: float = 0.0
    last: float = -math.inf
    until: float = -math.inf

    def record_decline(self, granted: float, now: float) -> None:
        """Count a decline; those of requests that were under way together count once."""
        if granted < self.last:
            return
        if not self.count:
            self.since = now
        self.count += 1
        self.last = now
        self.pause(now)

    @property
    def pause_s(self) -> float:
        """The pause before the next request is tried, in seconds."""
        return min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0 ** min(self.count - 1, 10))

    def pause(self, now: float) -> None:
        """Keep the next request away for a while."""
        self.until = now + self.pause_s

    def record_served(self, granted: float) -> None:
        """Note that a request was taken; one from before the last decline tells nothing."""
        if granted >= self.last:
            self.count = 0
            self.until = -math.inf


class Declines:
    """Whom one upstream turns away, as all entry processes have met it.

    One failure domain may be turned away alone: a decline closes the upstream for all, unless it
    has served another domain since this one is declined.
    """

    __slots__ = ("_all", "_domains", "_rests", "_served")

    def __init__(self) -> None:
        self._all = _Closed()
        self._domains: dict[str, _Closed] = {}
        self._served: dict[str, float] = {}
        self._rests: dict[str, float] = {}

    def record_decline(self, domain: str, granted: float, now: float) -> None:
        """Note that a request was turned away.

        :param domain: failure domain of the entry process that sent it.
        :param granted: when it was granted, on the scheduler's clock.
        """
        closed = self._domains.setdefault(domain, _Closed())
        closed.record_decline(granted, now)
        elsewhere = (at for other, at in self._served.items() if other != domain)
        if max(elsewhere, default=-math.inf) <= closed.since:
            self._all.record_decline(granted, now)

    def record_served(self, domain: str, granted: float, now: float) -> None:
        """Note that a request was taken."""
        self._all.record_served(granted)
        if (closed := self._domains.get(domain)) is not None:
            closed.record_served(granted)
        if self._domains:
            self._served[domain] = now

    def record_probe(self, domain: str, now: float) -> None:
        """Note a grant: while the upstream declines, the next one follows after a pause."""
        for closed in (self._all, self._domains.get(domain)):
            if closed is not None and closed.count:
                closed.pause(now)

    def record_rest(self, entry: str, seconds: float, now: float) -> None:
        """Note that the upstream wants nothing of an entry process for some time."""
        until = now + seconds
        self._rests = {name: at for name, at in self._rests.items() if at > now}
        self._rests[entry] = max(until, self._rests.get(entry, until))

    def opens_at(self, domain: str, now: float) -> float:
        """Tell when an entry process of a failure domain may be granted the upstream, rests aside.

        :return: on the scheduler's clock; a moment that is over where it may be now.
        """
        closed = self._domains.get(domain)
        until = max(self._all.until, closed.until if closed is not None else -math.inf)
        return until if until > now else -math.inf

    def rests_until(self, entry: str) -> float:
        """Tell until when the upstream wants nothing of an entry process."""
        return self._rests.get(entry, -math.inf)

    def resting(self, now: float) -> list[str]:
        """List the entry processes that the upstream wants nothing of."""
        return [entry for entry, until in self._rests.items() if until > now]

    def is_clear(self, now: float) -> bool:
        """Tell whether nobody is turned away."""
        counts = (closed.count for closed in (self._all, *self._domains.values()))
        return not any(counts) and not self.resting(now)

    @property
    def refuses_all(self) -> bool:
        """Whether it has declined so often that it is taken to refuse whatever it gets."""
        return self._all.pause_s >= MAX_PAUSE_S


class Closure(msgspec.Struct, frozen=True):
    """No upstream takes anything of an entry process for some time.

    :param until: when the first one may, on the scheduler's clock.
    :param refused: whether they refuse whatever they get, so that it is not worth waiting for.
    """

    until: float
    refused: bool


def find_closure(
    upstreams: Iterable[tuple[Declines, float]], entry: str, domain: str, now: float
) -> Closure | None:
    """Tell until when all upstreams are closed to an entry process; nothing where one is not.

    :param upstreams: what each turns away, and when it takes a request by the limit that it names.
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
