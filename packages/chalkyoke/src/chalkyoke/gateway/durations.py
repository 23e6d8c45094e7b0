"""
chalkyoke.gateway.durations

Predict how long an answer takes from the recent answers of the same route, and from those that have
not ended yet. Performs no I/O.
"""

import statistics
from collections import deque

import msgspec

from chalkyoke.gateway.reception import Admission

# Number of recent answers of a route that are kept. The longest of n samples bounds the next one
# with probability n / (n + 1).
MAX_SAMPLES = 128
# Number of samples at which the allowance for few samples doubles the longest one.
FEW_SAMPLES = 4
# Factor on the longest recent answer, since answers take longer when the load grows.
LOAD_ALLOWANCE = 1.25
# Expected duration of an answer that has outlasted all recent ones, as a multiple of its age.
OUTLASTING_FACTOR = 2.0


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
        self._dispatched_at: dict[tuple[str, str], dict[str, float]] = {}

    def record_dispatch(self, admission: Admission, now: float) -> None:
        """Record that a request was dispatched; its first dispatch counts.

        :param now: time on the node's clock, in seconds.
        """
        under_way = self._dispatched_at.setdefault(_key(admission), {})
        under_way.setdefault(admission.search_id, now)

    def record_end(self, admission: Admission) -> None:
        """Record that a request has ended, however it did."""
        key = _key(admission)
        under_way = self._dispatched_at.get(key, {})
        under_way.pop(admission.search_id, None)
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
        found = self._samples.get(_key(admission))
        if found is None:
            found = self._samples[_key(admission)] = deque(maxlen=MAX_SAMPLES)
        found.append(sample)

    def typical_s(self, admission: Admission) -> float | None:
        """Return the median duration, in seconds; None for a route without recent answers."""
        durations = self._scaled(admission)
        return statistics.median(durations) if durations else None

    def longest_s(self, admission: Admission, now: float) -> float | None:
        """Return the longest duration seen, in seconds; None without any answer.

        :param now: time on the node's clock, in seconds.
        """
        durations, age_s = self._scaled(admission), self._longest_age_s(admission, now)
        return max([*durations, age_s]) or None

    def bound_s(self, admission: Admission, now: float) -> float | None:
        """Return a duration that few answers exceed, in seconds; None without any answer.

        Answers that become slower show first by the age of those that have not ended.

        :param now: time on the node's clock, in seconds.
        """
        durations, age_s = self._scaled(admission), self._longest_age_s(admission, now)
        longest_s = max(durations, default=0.0)
        if age_s > longest_s:
            return age_s * OUTLASTING_FACTOR
        if not durations:
            return None
        return longest_s * LOAD_ALLOWANCE * (1.0 + FEW_SAMPLES / len(durations))

    def retain(self, routes: set[str]) -> None:
        """Drop the answers of all other routes."""
        self._samples = {key: kept for key, kept in self._samples.items() if key[0] in routes}

    def _longest_age_s(self, admission: Admission, now: float) -> float:
        under_way = self._dispatched_at.get(_key(admission), {})
        ages = (now - at for request, at in under_way.items() if request != admission.search_id)
        return max(ages, default=0.0)

    def _scaled(self, admission: Admission) -> list[float]:
        most = admission.fields.max_output_tokens
        return [each.scaled_s(most) for each in self._samples.get(_key(admission), ())]


def _key(admission: Admission) -> tuple[str, str]:
    return admission.route.name, admission.service.name
