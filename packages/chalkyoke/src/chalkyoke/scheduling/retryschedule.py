"""
chalkyoke.scheduling.retryschedule

Assign times to the retries of refused requests and reserve the work of each, so that retries do not
arrive together and find capacity when they arrive.
"""

import heapq
import math
from collections.abc import Callable, Iterable

import msgspec

from chalkyoke.scheduling.fairshare import INTERVAL_S
from chalkyoke.scheduling.messages import RetryReservation

# Tolerance before the assigned time, in seconds: clocks of callers and rounding of Retry-After.
EARLY_TOLERANCE_S = 0.05
# How long after the assigned time a reservation is kept, in seconds: some round trips of a caller
# and a pause of its event loop.
RELEASE_AFTER_S = 0.5
# Maximum number of reservations, which bounds memory and the size of a message: some 30 bytes each.
MAX_RESERVATIONS = 2000
# Longest time ahead of an imported reservation, in seconds: twice the longest Retry-After.
MAX_AHEAD_S = 120.0
# Maximum number of callers that share the assigned time of one fingerprint.
MAX_CLAIMS = 3


class Reservation(msgspec.Struct, eq=False):
    """Capacity that is reserved for the retry of a refused request.

    :param at: assigned time on the scheduler's clock, in seconds.
    :param work: reserved work in seconds.
    :param claims: number of callers that were told the assigned time.
    """

    fingerprint: int
    rank: int
    team: str
    at: float
    work: float
    claims: int = 1


class _Line:
    """The reservations of one tier and team."""

    def __init__(self) -> None:
        self.work_by_interval: dict[int, float] = {}

    def change(self, interval: int, work: float) -> None:
        left = self.work_by_interval.get(interval, 0.0) + work
        if left > 1e-9:
            self.work_by_interval[interval] = left
        else:
            self.work_by_interval.pop(interval, None)

    def work_until(self, until: float) -> float:
        last = int(until / INTERVAL_S)
        return sum(work for each, work in self.work_by_interval.items() if each <= last)


class RetrySchedule:
    """The assigned times of one pool's retries."""

    def __init__(self) -> None:
        self._unknown = 0
        self._pending: dict[int, Reservation] = {}
        self._lines: dict[tuple[int, str], _Line] = {}
        self._expiring: list[tuple[float, int]] = []
        self._changed: dict[int, None] = {}
        self._ended: dict[int, None] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def find(self, fingerprint: int) -> Reservation | None:
        """Return the reservation of a caller, if it has one; 0 is an unknown caller."""
        return self._pending.get(fingerprint) if fingerprint else None

    def reserved_work(self, rank: int, team: str, until: float) -> float:
        """Return the work that is reserved for a team up to a time, in seconds.

        :param until: time on the scheduler's clock, in seconds.
        """
        line = self._lines.get((rank, team))
        return line.work_until(until) if line is not None else 0.0

    def assign(
        self,
        wanted: Reservation,
        ahead: float,
        rate_per_s: Callable[[float], float],
        now: float,
        latest: float,
    ) -> float | None:
        """Assign the earliest time at which a retry finds capacity, and reserve its work.

        :param wanted: the reservation; its ``at`` is the earliest possible time and is replaced.
        :param ahead: work that is to be done before, besides reservations, in seconds.
        :param rate_per_s: predicts the work per second that can be reserved some seconds ahead.
        :param latest: the latest time that suits the caller.
        :return: the assigned time; None where no interval up to ``latest`` has capacity.
        """
        if len(self._pending) >= MAX_RESERVATIONS or latest < wanted.at:
            return None
        line = self._lines.get((wanted.rank, wanted.team)) or _Line()
        interval = _find_interval(line, wanted, ahead, rate_per_s, now, latest)
        if interval is None:
            return None
        wanted.at = max(wanted.at, interval * INTERVAL_S)
        if not wanted.fingerprint:
            # Nobody can claim it, but other retries are assigned to later times.
            self._unknown += 1
            wanted.fingerprint = -self._unknown
        self.add(wanted)
        return wanted.at

    def add(self, reservation: Reservation) -> None:
        """Add a reservation whose time is assigned; it replaces another one of the same caller.

        It is ignored where there are too many.
        """
        self.end(reservation.fingerprint)
        if len(self._pending) >= MAX_RESERVATIONS:
            return
        self._pending[reservation.fingerprint] = reservation
        self._change_line(reservation, reservation.work)
        heapq.heappush(self._expiring, (reservation.at, reservation.fingerprint))
        self._changed[reservation.fingerprint] = None
        self._ended.pop(reservation.fingerprint, None)

    def take_due(self, fingerprint: int, now: float) -> Reservation | None:
        """Use a reservation if its caller returns at the assigned time.

        :return: None for a caller without a reservation, and for one that returns too early.
        """
        found = self.find(fingerprint)
        if found is None or now < found.at - EARLY_TOLERANCE_S:
            return None
        self._change_line(found, -found.work)
        found.work = 0.0
        found.claims -= 1
        if found.claims <= 0:
            self.end(fingerprint)
        return found

    def end_unshared(self, fingerprint: int) -> None:
        """Release the reservation of a caller that is served before its assigned time."""
        found = self.find(fingerprint)
        if found is not None and found.claims == 1:
            self.end(fingerprint)

    def share(self, reservation: Reservation) -> None:
        """Note that one more caller of the same fingerprint was told the assigned time."""
        reservation.claims = min(MAX_CLAIMS, reservation.claims + 1)

    def end(self, fingerprint: int) -> None:
        """Release the reservation of a caller, if it has one."""
        found = self._pending.pop(fingerprint, None)
        if found is None:
            return
        self._change_line(found, -found.work)
        self._changed.pop(fingerprint, None)
        self._ended[fingerprint] = None

    def release_unused(self, now: float) -> None:
        """Release the reservations whose callers have not returned; call at every tick."""
        while self._expiring and self._expiring[0][0] + RELEASE_AFTER_S < now:
            at, fingerprint = heapq.heappop(self._expiring)
            found = self._pending.get(fingerprint)
            if found is not None and found.at == at:
                self.end(fingerprint)

    def _change_line(self, reservation: Reservation, work: float) -> None:
        key = (reservation.rank, reservation.team)
        line = self._lines.setdefault(key, _Line())
        line.change(int(reservation.at / INTERVAL_S), work)
        if not line.work_by_interval:
            del self._lines[key]

    # Copies for successors.

    def export_all(self, now: float) -> tuple[RetryReservation, ...]:
        """List all reservations, with times relative to now; changes are told again later."""
        return tuple(_to_message(each, now) for each in self._pending.values())

    def take_changes(self, now: float) -> tuple[tuple[RetryReservation, ...], tuple[int, ...]]:
        """Return and clear what has changed: new reservations, and fingerprints of ended ones."""
        new = tuple(_to_message(self._pending[each], now) for each in self._changed)
        ended = tuple(self._ended)
        self._changed.clear()
        self._ended.clear()
        return new, ended

    def import_items(self, items: Iterable[RetryReservation], now: float) -> None:
        """Add the reservations of a previous scheduler; known callers keep theirs."""
        near = [each for each in items if abs(each.in_s) <= MAX_AHEAD_S]
        ordered = sorted(near, key=lambda each: each.in_s)
        # Callers that the previous scheduler could not recognise have negative numbers too.
        self._unknown = max(self._unknown, *(-each.fingerprint for each in ordered), 0)
        for each in ordered[: max(0, MAX_RESERVATIONS - len(self._pending))]:
            if each.fingerprint and each.fingerprint not in self._pending:
                self.add(
                    Reservation(
                        each.fingerprint,
                        each.rank,
                        each.team,
                        now + each.in_s,
                        each.work,
                        each.claims,
                    )
                )


def _to_message(each: Reservation, now: float) -> RetryReservation:
    return RetryReservation(
        each.fingerprint, each.rank, each.team, round(each.at - now, 3), each.work, each.claims
    )


def _find_interval(
    line: _Line,
    wanted: Reservation,
    ahead: float,
    rate_per_s: Callable[[float], float],
    now: float,
    latest: float,
) -> int | None:
    """Find the first interval from which on the capacity exceeds the assigned work.

    Capacity and work are accumulated from now on, since a request may be longer than an interval.
    An earlier assignment must not make later ones exceed the capacity.
    """
    last = int(latest / INTERVAL_S)
    first = int(wanted.at / INTERVAL_S)
    end = max(last, max(line.work_by_interval, default=last))
    spare: list[float] = []
    capacity = 0.0
    assigned = line.work_until(first * INTERVAL_S - INTERVAL_S) + ahead
    for interval in range(int(now / INTERVAL_S), end + 1):
        capacity += INTERVAL_S * rate_per_s(interval * INTERVAL_S - now)
        if interval >= first:
            assigned += line.work_by_interval.get(interval, 0.0)
            spare.append(capacity - assigned)
    found: int | None = None
    least = math.inf
    for interval in range(end, first - 1, -1):
        least = min(least, spare[interval - first])
        if least < wanted.work:
            break
        if interval <= last:
            found = interval
    return found
