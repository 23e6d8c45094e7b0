"""
chalkyoke.quarantine.evidence

What speaks for and against a request being the one that ends replicas. Each node keeps all of it
and decides alone, so that no owner of the decision can be lost; what one decides is told to all.
"""

import heapq
from collections.abc import Iterable

import msgspec
import xxhash

from chalkyoke.quarantine.messages import HeldRequest
from chalkyoke.quarantine.served import ServedRequests

# A request is held back from so many ends under it on, none of its runs having been served whole
# since the first. Operators allow three more sends after the third end.
ENDS_TO_HOLD = 3.0
# It has to lie under this part of all ends since its first one: where replicas end by themselves,
# one after the other, who asks again meets three in a row by chance.
LEAST_SHARE = 0.75
# From so many ends on it is held back in any case: many such requests may come at once. One that is
# innocent is sent four times at most, two by its caller and two by us each time.
ENDS_IN_ANY_CASE = 5
# How long an end is remembered for that comparison, in seconds.
COMPARED_S = 60.0
# Two ends of one replica that are told this close together, in seconds, are one end, told by nodes
# that know different starts of it: a replica is back after some seconds.
SAME_END_S = 0.5
# How long a request is held back at first and at most, in seconds. After that it is on probation:
# one more end holds it back for twice as long. A request that ends replicas then costs one each ten
# minutes, later one an hour; one that was held back by mistake is served again.
HOLD_S = 600.0
MAX_HOLD_S = 3600.0
# How long ends count without a further one, in seconds.
REMEMBERED_S = 600.0
# Requests that are remembered at most: some 400 bytes each, so 2 MB. The least suspected go first.
MOST_REQUESTS = 5000
# Requests held back that a node tells another at most, the newest: 30 kB.
MOST_TOLD = 1000


class _End(msgspec.Struct, frozen=True):
    at: float
    weight: float


class Suspicion(msgspec.Struct):
    """What is known of one request.

    :ivar ends: the ends under it, by start of the replica.
    :ivar served_at: when it was last known to be served whole, on this node's clock.
    :ivar last_end: when a replica last ended under it.
    :ivar held_until: when it is let go; 0 before it was ever held back.
    :ivar holds: how often it has been held back.
    """

    ends: dict[str, _End] = msgspec.field(default_factory=dict)
    served_at: float = float("-inf")
    last_end: float = float("-inf")
    held_until: float = 0.0
    holds: int = 0

    @property
    def weight(self) -> float:
        """How much speaks against it, in ends."""
        return sum(each.weight for each in self.ends.values())

    @property
    def is_refuted(self) -> bool:
        """Whether it is known to have been served whole."""
        return self.served_at > float("-inf")

    def knows(self, start: str, at: float) -> bool:
        """Tell whether an end is known already."""
        if start in self.ends:
            return True
        replica = start.partition("/")[0]
        return any(
            known.partition("/")[0] == replica and abs(each.at - at) < SAME_END_S
            for known, each in self.ends.items()
        )


class EvidenceTracker:
    """Count ends of replicas by the requests that ran under them."""

    def __init__(self) -> None:
        self._known: dict[bytes, Suspicion] = {}
        self._held: set[bytes] = set()
        self._checksum: int | None = None
        self._ends: dict[str, float] = {}
        self._under: dict[str, set[bytes]] = {}
        self._served = ServedRequests()

    def __len__(self) -> int:
        return len(self._known)

    @property
    def held(self) -> frozenset[bytes]:
        """The requests that are held back."""
        return frozenset(self._held)

    @property
    def holds_any(self) -> bool:
        """Whether any request is held back."""
        return bool(self._held)

    def find(self, request: bytes) -> Suspicion | None:
        """Give what is known of a request."""
        return self._known.get(request)

    def is_held(self, request: bytes) -> bool:
        """Tell whether a request is held back."""
        return request in self._held

    def checksum(self) -> int:
        """Name the set of what is told to be held back; 0 is none."""
        if self._checksum is None:
            joined = b"".join(sorted(self._told()))
            self._checksum = xxhash.xxh64_intdigest(joined) if joined else 0
        return self._checksum

    def record_end(self, request: bytes, start: str, weight: float, at: float, now: float) -> bool:
        """Count an end.

        :param at: when the run broke, on this node's clock.
        :return: whether the request is held back from now on.
        """
        self._ends.setdefault(start, at)
        self._under.setdefault(start, set()).add(request)
        known = self._known.get(request)
        if known is None:
            known = self._known[request] = Suspicion(served_at=self._served.last_served_at(request))
        if at <= known.served_at or known.knows(start, at):
            return False
        known.ends[start] = _End(at, weight)
        known.last_end = max(known.last_end, at)
        if request in self._held or not (known.holds > 0 or self._is_enough(known)):
            self._bound()
            return False
        hold_s = min(MAX_HOLD_S, HOLD_S * 2**known.holds)
        self._hold(request, known, now + hold_s)
        return True

    def release_explained(self) -> list[bytes]:
        """Let go what was held back for ends that a request found since explains.

        :return: what is let go.
        """
        acquitted = [
            each
            for each in self._held
            if (known := self._known[each]).is_refuted
            and known.holds == 1
            and known.ends
            and not self._is_enough(known)
        ]
        for request in acquitted:
            self._known[request].holds = 0
            self._let_go(request)
        return acquitted

    def record_delivered(self, request: bytes, at: float) -> None:
        """Remember a whole answer, in case the request is suspected later."""
        self._served.record(request, at)

    def record_served(self, request: bytes, at: float) -> bool:
        """Take back what a whole answer refutes: who is served does not end its replica.

        :return: whether the request was held back.
        """
        known = self._known.setdefault(request, Suspicion())
        if at <= known.served_at:
            return False
        counted = bool(known.ends)
        known.served_at = at
        known.ends = {start: each for start, each in known.ends.items() if each.at > at}
        self._bound()
        if request not in self._held:
            return False
        # What is left may be too little for a hold that was decided before this was heard.
        too_little = counted and known.holds == 1 and not self._is_enough(known)
        if known.last_end > at and not too_little:
            return False
        known.holds = 0
        self._let_go(request)
        return True

    def merge_held(self, told: HeldRequest, now: float) -> bool:
        """Take what another node holds back.

        :return: whether the request is held back here from now on.
        """
        known = self._known.setdefault(told.request, Suspicion())
        last_end = now - told.last_end_age_s
        if last_end <= known.served_at or told.request in self._held:
            return False
        if known.is_refuted and known.ends and not self._unexplained(known):
            return False
        known.last_end = max(known.last_end, last_end)
        self._hold(told.request, known, now + min(MAX_HOLD_S, told.left_s))
        return True

    def held_requests(self, now: float) -> tuple[HeldRequest, ...]:
        """Word what is held back for another node."""
        return tuple(
            HeldRequest(each, now - self._known[each].last_end, self._known[each].held_until - now)
            for each in self._told()
        )

    def _told(self) -> list[bytes]:
        if len(self._held) <= MOST_TOLD:
            return list(self._held)
        return heapq.nlargest(MOST_TOLD, self._held, key=lambda each: self._known[each].last_end)

    def refuted(self, told: Iterable[HeldRequest], now: float) -> list[tuple[bytes, float]]:
        """List what another node holds back though it was served since, with when that was."""
        return [
            (each.request, known.served_at)
            for each in told
            if (known := self._known.get(each.request)) is not None
            and now - each.last_end_age_s <= known.served_at
        ]

    def expire(self, now: float) -> list[bytes]:
        """Let go what was held back for long enough, and forget what is old.

        :return: what is let go.
        """
        due = [each for each in self._held if self._known[each].held_until <= now]
        for request in due:
            self._known[request].ends.clear()
            self._let_go(request)
        self._ends = {start: at for start, at in self._ends.items() if now - at <= COMPARED_S}
        self._under = {start: each for start, each in self._under.items() if start in self._ends}
        for request, known in list(self._known.items()):
            newest = max(known.last_end, known.served_at, known.held_until)
            if request not in self._held and now - newest > REMEMBERED_S:
                del self._known[request]
        return due

    def _is_enough(self, known: Suspicion) -> bool:
        """Tell whether what speaks against a request is enough to hold it back."""
        ends = self._unexplained(known)
        if len(ends) >= ENDS_IN_ANY_CASE:
            return True
        if sum(each.weight for each in ends.values()) < ENDS_TO_HOLD:
            return False
        first = min(each.at for each in ends.values())
        since = sum(at >= first for at in self._ends.values())
        return len(ends) >= LEAST_SHARE * since

    def _unexplained(self, known: Suspicion) -> dict[str, _End]:
        """List the ends that count against a request.

        Against one that was served whole before, an end does not count under which a request ran
        that is held back and was never served: who asks often runs under most ends of others.
        """
        if not known.is_refuted:
            return known.ends
        return {start: each for start, each in known.ends.items() if not self._is_explained(start)}

    def _is_explained(self, start: str) -> bool:
        return any(
            each in self._held and not self._known[each].is_refuted
            for each in self._under.get(start, ())
        )

    def _hold(self, request: bytes, known: Suspicion, until: float) -> None:
        known.held_until = until
        known.holds += 1
        self._held.add(request)
        self._checksum = None

    def _let_go(self, request: bytes) -> None:
        self._held.discard(request)
        self._checksum = None

    def _bound(self) -> None:
        """Forget the least suspected requests where there are too many."""
        if len(self._known) <= MOST_REQUESTS:
            return
        ranked = sorted(
            (each for each in self._known if each not in self._held),
            key=lambda each: (self._known[each].weight, self._known[each].last_end),
        )
        for request in ranked[: MOST_REQUESTS // 10]:
            del self._known[request]
