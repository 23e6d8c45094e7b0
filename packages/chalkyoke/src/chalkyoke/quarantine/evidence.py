"""
chalkyoke.quarantine.evidence

Evidence for and against a request ending the replicas that run it, and for and against each shared
part of its prompt. Each node keeps all evidence and decides on its own, so there is no central
decision maker that can fail. Decisions are broadcast to all nodes.
"""

import heapq
from collections.abc import Iterable

import msgspec
import xxhash

from chalkyoke.quarantine.messages import HeldRequest
from chalkyoke.quarantine.served import ServedRequests

# Number of replica ends after which a request is held back, if none of its runs was served in full
# since the first end. Operators allow three more sends after the third end.
ENDS_TO_HOLD = 3.0
# The same for a request that was served in full before: what callers send again and again runs at
# most ends that two others cause, until these have ended three replicas each. Operators allow six
# sends in all.
ENDS_TO_HOLD_SERVED = 5.0
# Time in which all nodes report their runs at an end, in seconds. Against a request that was served
# in full before, an end counts only afterwards: another request may explain it.
REPORTS_COMPLETE_S = 0.1
# Fraction of all replica ends since its first one at which a request must have been running. If
# replicas end by themselves one after another, a caller that retries meets three ends in a row by
# chance.
MIN_END_SHARE = 0.75
# Number of ends after which a request is held back whatever its fraction of the ends is, since many
# requests that end replicas may arrive at once. An innocent request is sent at most four times: two
# attempts by its caller with two sends each.
ENDS_TO_HOLD_ALWAYS = 5
# Number of replica ends after which a shared part of prompts is held back if no request with it is
# known to be served in full. A sound part runs at many ends too, but is served meanwhile.
ENDS_TO_HOLD_PART = 4.0
# Fraction of all replica ends since its first one at which a part must have been running: a rare
# part may not be served for some seconds while many replicas end by themselves.
MIN_PART_END_SHARE = 0.3
# Number of ends after which a part is held back whatever its fraction of the ends is, since many
# parts may end replicas in turn. Operators allow eight sends in all.
ENDS_TO_HOLD_PART_ALWAYS = 8
# Time for which ends count in the comparison with MIN_END_SHARE, in seconds.
COMPARISON_WINDOW_S = 60.0
# Two reported ends of one replica within this time, in seconds, are the same end, reported by nodes
# that know different starts of the replica: a restart takes some seconds.
SAME_END_S = 0.5
# Duration of the first and of the longest hold, in seconds. After a hold the request is on
# probation: one more end holds it back for twice as long. A request that ends replicas then ends
# one every ten minutes, later one an hour. A request that was held back by mistake is served again.
HOLD_S = 600.0
MAX_HOLD_S = 3600.0
# Time after the last end for which the evidence on a request is kept, in seconds.
EVIDENCE_RETENTION_S = 600.0
# Highest number of requests with evidence: about 400 bytes each, so 2 MB. The least suspected
# requests are evicted first.
MAX_REQUESTS = 5000
# Highest number of held requests in a message to another node, 30 kB; the newest are sent.
MAX_ANNOUNCED = 1000


class _End(msgspec.Struct, frozen=True):
    at: float
    weight: float


class Suspicion(msgspec.Struct):
    """The evidence on one request or on one shared part of prompts. All times are in seconds on
    this node's clock.

    :ivar is_part: whether it concerns a part.
    :ivar ends: replica ends at which the request was running, by start of the replica.
    :ivar served_at: time at which the request was last known to be served in full.
    :ivar last_end: time of the last replica end at which the request was running.
    :ivar held_until: end of the hold; 0 before the first hold.
    :ivar holds: number of holds so far.
    """

    is_part: bool = False
    ends: dict[str, _End] = msgspec.field(default_factory=dict)
    served_at: float = float("-inf")
    last_end: float = float("-inf")
    held_until: float = 0.0
    holds: int = 0

    @property
    def weight(self) -> float:
        """The weight of the evidence against the request, in replica ends."""
        return sum(each.weight for each in self.ends.values())

    @property
    def is_refuted(self) -> bool:
        """Whether the request is known to have been served in full."""
        return self.served_at > float("-inf")

    def has_end(self, start: str, at: float) -> bool:
        """Return whether an end is counted already, possibly under another start of the replica."""
        if start in self.ends:
            return True
        replica = start.partition("/")[0]
        return any(
            other.partition("/")[0] == replica and abs(each.at - at) < SAME_END_S
            for other, each in self.ends.items()
        )


class EvidenceTracker:
    """Count replica ends by the requests that were running, and decide which requests to hold."""

    def __init__(self) -> None:
        self._suspicions: dict[bytes, Suspicion] = {}
        self._held: set[bytes] = set()
        self._checksum: int | None = None
        self._end_times: dict[str, float] = {}
        self._requests_by_start: dict[str, set[bytes]] = {}
        self._served = ServedRequests()
        self._served_parts = ServedRequests()

    def __len__(self) -> int:
        return len(self._suspicions)

    @property
    def held(self) -> frozenset[bytes]:
        """The digests of the requests that are held back."""
        return frozenset(self._held)

    @property
    def holds_any(self) -> bool:
        """Whether any request is held back."""
        return bool(self._held)

    def find(self, request: bytes) -> Suspicion | None:
        """Return the evidence on a request; None if there is none."""
        return self._suspicions.get(request)

    def describe(self, request: bytes, now: float) -> dict[str, object]:
        """Describe the evidence against a request for the log.

        :return: the number of replica ends that count, the number of all ends since the first of
            them, and the seconds since this node last knew the request as served in full; None if
            it never did.
        """
        suspicion = self._suspicions[request]
        ends = self._unexplained_ends(suspicion)
        return {
            "ends": len(ends),
            "ends_since_first": self._ends_since_first(ends) if ends else 0,
            "served_age_s": round(now - suspicion.served_at, 1) if suspicion.is_refuted else None,
        }

    def is_held(self, request: bytes) -> bool:
        """Return whether a request is held back."""
        return request in self._held

    def checksum(self) -> int:
        """Return a checksum of the announced held requests; 0 if there are none."""
        if self._checksum is None:
            joined = b"".join(sorted(self._announced_holds()))
            self._checksum = xxhash.xxh64_intdigest(joined) if joined else 0
        return self._checksum

    def record_end(
        self,
        request: bytes,
        start: str,
        weight: float,
        at: float,
        now: float,
        *,
        is_part: bool = False,
    ) -> bool:
        """Count a replica end against a request that was running there, or against a part of it.

        :param start: the start of the replica that ended.
        :param weight: weight of the end as evidence.
        :param at: time at which the run broke, in seconds on this node's clock.
        :return: whether the request is held back from now on.
        """
        self._end_times.setdefault(start, at)
        self._requests_by_start.setdefault(start, set()).add(request)
        suspicion = self._suspicions.get(request)
        if suspicion is None:
            suspicion = self._suspicions[request] = Suspicion(
                is_part, served_at=self.last_served_at(request)
            )
        suspicion.is_part = is_part
        if at <= suspicion.served_at or suspicion.has_end(start, at):
            return False
        suspicion.ends[start] = _End(at, weight)
        suspicion.last_end = max(suspicion.last_end, at)
        if request in self._held or not (
            suspicion.holds > 0 or self._is_sufficient(suspicion, now)
        ):
            self._evict_excess()
            return False
        hold_s = min(MAX_HOLD_S, HOLD_S * 2**suspicion.holds)
        self._start_hold(request, suspicion, now + hold_s)
        return True

    def release_explained(self, now: float) -> list[bytes]:
        """Release requests whose ends are explained by a request that was held back later.

        :param now: seconds on this node's clock.
        :return: the released requests.
        """
        explained = [
            each
            for each in self._held
            if (suspicion := self._suspicions[each]).is_refuted
            and suspicion.holds == 1
            and suspicion.ends
            and not self._is_sufficient(suspicion, now)
        ]
        for request in explained:
            self._suspicions[request].holds = 0
            self._release(request)
        return explained

    def is_cleared_by_run(self, digest: bytes) -> bool:
        """Return whether a complete answer refutes evidence against a request or a part.

        A part that has been served is not suspected, so further answers change nothing.
        """
        suspicion = self._suspicions.get(digest)
        if suspicion is None or not suspicion.ends:
            return False
        return not (suspicion.is_part and suspicion.is_refuted)

    def record_delivered(self, request: bytes, at: float, parts: Iterable[bytes] = ()) -> None:
        """Record a complete answer, in case the request or a part of it is suspected later."""
        self._served.record(request, at)
        for part in parts:
            self._served_parts.record(part, at)

    def last_served_at(self, request: bytes) -> float:
        """Return when a request, or one with a part, was last known to be served in full.

        :return: seconds; minus infinity if it never was.
        """
        suspicion = self._suspicions.get(request)
        here = max(self._served.last_served_at(request), self._served_parts.last_served_at(request))
        return here if suspicion is None else max(here, suspicion.served_at)

    def record_served(self, request: bytes, at: float, now: float) -> bool:
        """Drop the evidence that a complete answer refutes: a served request ends no replica.

        :return: whether the request is released by this.
        """
        suspicion = self._suspicions.setdefault(request, Suspicion())
        if at <= suspicion.served_at:
            return False
        counted = bool(suspicion.ends)
        suspicion.served_at = at
        suspicion.ends = {start: each for start, each in suspicion.ends.items() if each.at > at}
        self._evict_excess()
        if request not in self._held:
            return False
        # The hold may have been decided before this report arrived, and the remaining ends may not
        # be enough for it.
        too_little = counted and suspicion.holds == 1 and not self._is_sufficient(suspicion, now)
        if suspicion.last_end > at and not too_little:
            return False
        suspicion.holds = 0
        self._release(request)
        return True

    def merge_held(self, held: HeldRequest, now: float) -> bool:
        """Apply the hold of another node, unless the evidence here refutes it.

        :return: whether the request is held back here from now on.
        """
        suspicion = self._suspicions.setdefault(held.request, Suspicion())
        last_end = now - held.last_end_age_s
        if last_end <= suspicion.served_at or held.request in self._held:
            return False
        if self._is_sound_part(held.request):
            return False
        if suspicion.is_refuted and suspicion.ends and not self._unexplained_ends(suspicion):
            return False
        suspicion.last_end = max(suspicion.last_end, last_end)
        self._start_hold(held.request, suspicion, now + min(MAX_HOLD_S, held.left_s))
        return True

    def held_requests(self, now: float) -> tuple[HeldRequest, ...]:
        """Build the list of held requests for another node."""
        return tuple(
            HeldRequest(
                each, now - self._suspicions[each].last_end, self._suspicions[each].held_until - now
            )
            for each in self._announced_holds()
        )

    def _announced_holds(self) -> list[bytes]:
        if len(self._held) <= MAX_ANNOUNCED:
            return list(self._held)
        return heapq.nlargest(
            MAX_ANNOUNCED, self._held, key=lambda each: self._suspicions[each].last_end
        )

    def refuted_holds(
        self, announced: Iterable[HeldRequest], now: float
    ) -> list[tuple[bytes, float]]:
        """List the holds of another node that are refuted here.

        :return: the requests that were served in full after their last end and the parts that were
            served at all, and when they were.
        """
        return [
            (each.request, served_at)
            for each in announced
            if now - each.last_end_age_s <= (served_at := self.last_served_at(each.request))
            or self._is_sound_part(each.request)
        ]

    def _is_sound_part(self, digest: bytes) -> bool:
        """Return whether a digest is that of a part with which requests were served in full."""
        suspicion = self._suspicions.get(digest)
        if suspicion is not None and suspicion.is_part and suspicion.is_refuted:
            return True
        return self._served_parts.last_served_at(digest) > float("-inf")

    def expire(self, now: float) -> list[bytes]:
        """Release requests whose hold is over, and drop old evidence.

        :return: the released requests.
        """
        due = [each for each in self._held if self._suspicions[each].held_until <= now]
        for request in due:
            self._suspicions[request].ends.clear()
            self._release(request)
        self._end_times = {
            start: at for start, at in self._end_times.items() if now - at <= COMPARISON_WINDOW_S
        }
        self._requests_by_start = {
            start: each
            for start, each in self._requests_by_start.items()
            if start in self._end_times
        }
        for request, suspicion in list(self._suspicions.items()):
            newest = max(suspicion.last_end, suspicion.served_at, suspicion.held_until)
            if request not in self._held and now - newest > EVIDENCE_RETENTION_S:
                del self._suspicions[request]
        return due

    def _is_sufficient(self, suspicion: Suspicion, now: float) -> bool:
        """Return whether the evidence against a request or a part is enough to hold it back."""
        ends, enough = self._unexplained_ends(suspicion), ENDS_TO_HOLD
        if suspicion.is_part:
            return not suspicion.is_refuted and self._is_sufficient_for_part(ends)
        if suspicion.is_refuted:
            enough = ENDS_TO_HOLD_SERVED
            reported_by = now - REPORTS_COMPLETE_S
            ends = {start: each for start, each in ends.items() if each.at <= reported_by}
        elif len(ends) >= ENDS_TO_HOLD_ALWAYS:
            return True
        if sum(each.weight for each in ends.values()) < enough:
            return False
        return len(ends) >= MIN_END_SHARE * self._ends_since_first(ends)

    def _is_sufficient_for_part(self, ends: dict[str, _End]) -> bool:
        if sum(each.weight for each in ends.values()) < ENDS_TO_HOLD_PART:
            return False
        if len(ends) >= ENDS_TO_HOLD_PART_ALWAYS:
            return True
        return len(ends) >= MIN_PART_END_SHARE * self._ends_since_first(ends)

    def _ends_since_first(self, ends: dict[str, _End]) -> int:
        """Count the replica ends since the first of some, whatever was running there."""
        first = min(each.at for each in ends.values())
        return sum(at >= first for at in self._end_times.values())

    def _unexplained_ends(self, suspicion: Suspicion) -> dict[str, _End]:
        """Return the ends that count against a request or a part.

        An end does not count where a part was running that is held and lies under an end at which
        this one was not running.
        If the request was served in full before, an end doesn't count when a request that was never
        served was running there too and is held, or lies under as many ends as a hold takes: a
        request that is sent often runs at most of the ends that others cause. Two that end replicas
        in turn lie under half of the ends each, too few to be held at once.
        """
        return {
            start: each
            for start, each in suspicion.ends.items()
            if not any(self._explains(other, suspicion) for other in self._suspects_at(start))
        }

    def _suspects_at(self, start: str) -> list[Suspicion]:
        found = map(self._suspicions.get, self._requests_by_start.get(start, ()))
        return [each for each in found if each is not None and not each.is_refuted]

    @staticmethod
    def _explains(suspect: Suspicion, other: Suspicion) -> bool:
        """Return whether a suspect explains the ends at which another one was running too."""
        if suspect is other:
            return False
        if suspect.is_part and suspect.holds > 0 and suspect.ends.keys() - other.ends.keys():
            return True
        if other.is_part or not other.is_refuted:
            return False
        return suspect.holds > 0 or suspect.weight >= ENDS_TO_HOLD

    def _start_hold(self, request: bytes, suspicion: Suspicion, until: float) -> None:
        suspicion.held_until = until
        suspicion.holds += 1
        self._held.add(request)
        self._checksum = None

    def _release(self, request: bytes) -> None:
        self._held.discard(request)
        self._checksum = None

    def _evict_excess(self) -> None:
        """Drop the evidence on the least suspected requests if there are too many requests."""
        if len(self._suspicions) <= MAX_REQUESTS:
            return
        ranked = sorted(
            (each for each in self._suspicions if each not in self._held),
            key=lambda each: (self._suspicions[each].weight, self._suspicions[each].last_end),
        )
        for request in ranked[: MAX_REQUESTS // 10]:
            del self._suspicions[request]
