"""
chalkyoke.gateway.durations

Predict how long an answer takes from the recent answers of the same route, from those that have not
ended yet, and from slow ones of other routes to the same service. Performs no I/O.
"""

import enum
import math
import statistics
from collections import deque

import msgspec

from chalkyoke.gateway.reception import Admission
from chalkyoke.gateway.slowdowns import SlowAnswer, Slowdowns

# Number of recent answers of a route that are kept. The longest of n samples bounds the next one
# with probability n / (n + 1).
MAX_SAMPLES = 128
# Number of samples at which the allowance for few samples doubles the longest one.
FEW_SAMPLES = 4
# Factor on the longest recent answer, since answers take longer when the load grows.
LOAD_ALLOWANCE = 1.25
# Expected duration of an answer that has outlasted all recent ones, as a multiple of its age.
OUTLASTING_FACTOR = 3.0
# How long the answers under way of a service are not looked at again, in seconds.
KEEP_UNDER_WAY_S = 0.05


class Basis(enum.StrEnum):
    """What an expected duration rests on."""

    UNKNOWN = "no answers"
    RECENT = "recent answers"
    UNDER_WAY = "answers under way"
    SERVICE = "answers of other routes"


class Expected(msgspec.Struct, frozen=True):
    """How long an answer is expected to take.

    :param seconds: None without any evidence.
    """

    seconds: float | None
    basis: Basis


class AnswerDuration(msgspec.Struct, frozen=True):
    """How long one answer took, from its dispatch to a replica.

    :param first_s: time until the first event of a stream, else until the end, in seconds.
    :param rest_s: time from the first event to the end, in seconds.
    :param max_output_tokens: output that the caller allowed; 0 if it stated none.
    """

    first_s: float
    rest_s: float
    max_output_tokens: int

    def scaled_s(self, max_output_tokens: int) -> float:
        """Return the duration for another allowed output, in seconds.

        The output is not scaled unless both requests state how much they allow.
        """
        if not max_output_tokens or not self.max_output_tokens:
            return self.first_s + self.rest_s
        return self.first_s + self.rest_s * max_output_tokens / self.max_output_tokens


class AnswerDurations:
    """The recent answers of each route and service, and the requests that replicas have."""

    def __init__(self) -> None:
        self._samples: dict[tuple[str, str], deque[AnswerDuration]] = {}
        # By the output that the callers allowed, rounded up; each in the order of the dispatches.
        self._dispatched_at: dict[tuple[str, str], dict[int, dict[str, float]]] = {}
        self._slowdowns = Slowdowns()
        # By service: when it was computed, and the result.
        self._kept_under_way: dict[str, tuple[float, list[tuple[tuple[str, str], SlowAnswer]]]] = {}

    def record_dispatch(self, admission: Admission, now: float) -> None:
        """Record that a request was dispatched; its first dispatch counts.

        :param now: time on the node's clock, in seconds.
        """
        under_way = self._dispatched_at.setdefault(_key(admission), {})
        alike = under_way.setdefault(_rounded_output(admission), {})
        alike.setdefault(admission.search_id, now)

    def record_end(self, admission: Admission) -> None:
        """Record that a request has ended, however it did."""
        key, most = _key(admission), _rounded_output(admission)
        under_way = self._dispatched_at.get(key, {})
        alike = under_way.get(most, {})
        alike.pop(admission.search_id, None)
        if not alike:
            under_way.pop(most, None)
        if not under_way:
            self._dispatched_at.pop(key, None)

    def record(self, admission: Admission, took_s: float, first_s: float | None) -> None:
        """Record an answer.

        :param took_s: time from the dispatch to the end, in seconds.
        :param first_s: time from the dispatch to the first event, in seconds; None if the answer is
            no stream.
        """
        first_s = took_s if first_s is None else first_s
        sample = AnswerDuration(first_s, took_s - first_s, admission.fields.max_output_tokens)
        self._record_slowdown(admission, took_s)
        found = self._samples.get(_key(admission))
        if found is None:
            found = self._samples[_key(admission)] = deque(maxlen=MAX_SAMPLES)
        found.append(sample)

    def typical_s(self, admission: Admission) -> float | None:
        """Return the median duration, in seconds; None for a route without recent answers."""
        durations = self._scaled(_key(admission), admission.fields.max_output_tokens)
        return statistics.median(durations) if durations else None

    def longest_s(self, admission: Admission, now: float) -> float | None:
        """Return the longest duration seen, in seconds; None without any answer.

        :param now: time on the node's clock, in seconds.
        """
        durations = self._scaled(_key(admission), admission.fields.max_output_tokens)
        longest_s = max(durations, default=0.0)
        return max(longest_s, self._longest_age_s(admission, now, longest_s)) or None

    def bound_s(self, admission: Admission, now: float) -> float | None:
        """Return a duration that few answers exceed, in seconds; None without any answer.

        :param now: time on the node's clock, in seconds.
        """
        return self.bound(admission, now).seconds

    def bound(self, admission: Admission, now: float) -> Expected:
        """Return a duration that few answers exceed, and what it rests on.

        Answers that become slower show first by the age of those that have not ended, and at the
        routes to their service that are used the most.

        :param now: time on the node's clock, in seconds.
        """
        durations = self._scaled(_key(admission), admission.fields.max_output_tokens)
        longest_s = max(durations, default=0.0)
        age_s = self._longest_age_s(admission, now, longest_s)
        if age_s > longest_s:
            return Expected(age_s * OUTLASTING_FACTOR, Basis.UNDER_WAY)
        if not durations:
            return Expected(None, Basis.UNKNOWN)
        bound_s = longest_s * LOAD_ALLOWANCE * (1.0 + FEW_SAMPLES / len(durations))
        excess_s = self._service_excess_s(_key(admission), now)
        if excess_s > 0.0:
            return Expected(bound_s + excess_s, Basis.SERVICE)
        return Expected(bound_s, Basis.RECENT)

    def replacement_s(self, admission: Admission, now: float) -> float | None:
        """Return how long another replica takes for a request that has one, at most.

        Long answers under way may be those of the same replica, so they don't count once an answer
        to a later request of the route has ended.

        :param now: time on the node's clock, in seconds.
        :return: seconds; None without any answer.
        """
        expected = self.bound(admission, now)
        if expected.basis is not Basis.UNDER_WAY or expected.seconds is None:
            return expected.seconds
        age_s = expected.seconds / OUTLASTING_FACTOR
        if self._slowdowns.is_news(_key(admission), SlowAnswer(now - age_s, age_s)):
            return expected.seconds
        durations = self._scaled(_key(admission), admission.fields.max_output_tokens)
        return max(durations) * LOAD_ALLOWANCE if durations else None

    def retain(self, routes: set[str]) -> None:
        """Drop the answers of all other routes."""
        self._samples = {key: kept for key, kept in self._samples.items() if key[0] in routes}
        self._slowdowns.retain(routes)
        self._kept_under_way.clear()

    def _record_slowdown(self, admission: Admission, took_s: float) -> None:
        key, most = _key(admission), _rounded_output(admission)
        alike = self._dispatched_at.get(key, {}).get(most, {})
        at = alike.get(admission.search_id) if alike else None
        if at is None:
            return
        before_s = max(self._scaled(key, admission.fields.max_output_tokens), default=took_s)
        self._slowdowns.record(key, at, took_s - before_s)

    def _service_excess_s(self, key: tuple[str, str], now: float) -> float:
        """Return how much longer answers of other routes to the service take than before.

        What an answer under way will have taken is a multiple of what it has taken so far.

        :return: seconds; 0 if they don't, or if a later answer of the route itself has ended.
        """
        excess_s = self._slowdowns.excess_s(key, now) * LOAD_ALLOWANCE
        for other, slow in self._slow_under_way(key[1], now):
            if other != key and self._slowdowns.is_news(key, slow):
                excess_s = max(excess_s, slow.excess_s * OUTLASTING_FACTOR)
        return excess_s

    def _slow_under_way(self, service: str, now: float) -> list[tuple[tuple[str, str], SlowAnswer]]:
        """Return the routes of a service with an answer under way that outlasts all recent ones.

        Reading the recent answers of many routes takes long, so the result is kept for a moment.
        """
        kept = self._kept_under_way.get(service)
        if kept is not None and kept[0] <= now < kept[0] + KEEP_UNDER_WAY_S:
            return kept[1]
        found = []
        for key, groups in self._dispatched_at.items():
            if key[1] != service:
                continue
            for most, alike in groups.items():
                at = next(iter(alike.values()), now)
                excess_s = now - at - max(self._scaled(key, most), default=math.inf)
                if excess_s > 0.0:
                    found.append((key, SlowAnswer(at, excess_s)))
        self._kept_under_way[service] = (now, found)
        return found

    def _longest_age_s(self, admission: Admission, now: float, above_s: float) -> float:
        """Return the age of the oldest other request that has outlasted all recent answers.

        Recent answers are scaled by the output that its caller allowed.

        :param above_s: ages up to this one don't count, in seconds.
        :return: 0 if there is none.
        """
        key, longest_s = _key(admission), 0.0
        for most, alike in self._dispatched_at.get(key, {}).items():
            others = (at for request, at in alike.items() if request != admission.search_id)
            age_s = now - next(others, now)
            if age_s <= max(above_s, longest_s):
                continue
            if age_s > max(self._scaled(key, most), default=0.0):
                longest_s = age_s
        return longest_s

    def _scaled(self, key: tuple[str, str], max_output_tokens: int) -> list[float]:
        return [each.scaled_s(max_output_tokens) for each in self._samples.get(key, ())]


def _key(admission: Admission) -> tuple[str, str]:
    return admission.route.name, admission.service.name


def _rounded_output(admission: Admission) -> int:
    """Return the next power of two, so that there are few different ones."""
    most = admission.fields.max_output_tokens
    return 1 << (most - 1).bit_length() if most > 0 else 0
