"""
chalkyoke.scheduling.estimates

Estimate engine speeds and output lengths from finished and running requests. Configured speeds are
only the initial estimates.
"""

import math

import msgspec

# Weight of a full sample in the learned decode speed, as a share, and the size of a full sample in
# tokens; smaller samples weigh proportionally less.
SPEED_GAIN = 0.4
FULL_SAMPLE_TOKENS = 40.0
# Minimum weight of a first output in the learned prefill speed, as a share.
PREFILL_GAIN = 0.15
# Weight of the first such sample, as a share; the weight of the n-th sample is this share divided
# by n, but at least the minimum.
FIRST_PREFILL_GAIN = 0.6
# Bounds, as factors, of the change by one sample and of the deviation from the initial estimate.
MAX_STEP_FACTOR = 3.0
MIN_FACTOR = 0.05
MAX_FACTOR = 200.0
# A stream without output counts as slower once its silence exceeds the predicted time of a token by
# this factor.
STALL_FACTOR = 4.0

# Quantiles of the output length that estimates use: the share of requests with no more output.
MEDIAN_QUANTILE = 0.5
OPTIMISTIC_QUANTILE = 0.15
DEFAULT_CAUTION_QUANTILE = 0.65
# Initial step of a tracked quantile per sample, in natural logarithms; it is divided by the square
# root of the number of samples.
QUANTILE_STEP = 0.35
# Minimum step of a tracked quantile per sample, in natural logarithms.
QUANTILE_MIN_STEP = 0.05
# Number of samples from which a team's own output lengths are used.
MIN_LENGTH_SAMPLES = 8
DEFAULT_OUTPUT_TOKENS = 128.0

# Quantile of the output length that is used to predict the end of a stream with a caller's hint.
HINT_QUANTILE = 0.95
# Initial output length at that quantile, as a multiple of the caller's hint: two standard
# deviations of a logarithmic spread of a half.
INITIAL_HINT_FACTOR = 2.5
# Number of samples that the initial estimate counts as.
HINT_PRIOR_SAMPLES = 50
# Ratios are tracked in hundredths, because the tracker's minimum value is 1.
HINT_SCALE = 100.0


def _clamp(value: float, low: float, high: float) -> float:
    return max(low, min(high, value))


class SpeedModel:
    """Predict the times of one upstream and correct the predictions by observed times.

    The time of one output token is linear in the number of streams (continuous batching), times a
    learned factor; the time of one prompt token is a constant times another learned factor. Both
    factors are exponentially weighted in the logarithm, so that five times slower and five times
    faster weigh the same.

    :param prefill_tokens_per_s: initial estimate.
    :param decode_tokens_per_s: initial estimate for a single stream.
    :param batch_slowdown: how many times slower one stream is when all slots are in use.
    :param slots: maximum number of concurrent streams.
    :param setup_s: initial estimate of the time of a request besides its tokens, in seconds.
    :param attention_s_per_pair: initial estimate of the time per pair of prompt tokens, in seconds.
    """

    __slots__ = (
        "_attention",
        "_base",
        "_firsts",
        "_prefill",
        "_setup",
        "_slope",
        "decode_factor",
        "prefill_factor",
    )

    def __init__(
        self,
        prefill_tokens_per_s: float,
        decode_tokens_per_s: float,
        batch_slowdown: float,
        slots: int,
        setup_s: float = 0.0,
        attention_s_per_pair: float = 0.0,
    ) -> None:
        self._setup = setup_s
        self._attention = attention_s_per_pair
        self._firsts = 0
        self._prefill = 1.0 / prefill_tokens_per_s
        self._base = 1.0 / decode_tokens_per_s
        self._slope = (batch_slowdown - 1.0) / max(1, slots - 1)
        self.prefill_factor = 1.0
        self.decode_factor = 1.0

    def token_time(self, streams: int) -> float:
        """Predict the time between two output tokens of one stream.

        :param streams: number of concurrent streams, this one included.
        :return: seconds.
        """
        return self._base * (1.0 + self._slope * max(0, streams - 1)) * self.decode_factor

    def prefill_time(self, tokens: float) -> float:
        """Predict the time to read prompt tokens.

        :return: seconds.
        """
        return tokens * self._prefill * self.prefill_factor

    def first_time(self, tokens: float, before: float) -> float:
        """Predict the time until the first output token.

        :param tokens: prompt tokens to read.
        :param before: prompt tokens of other requests that are read earlier.
        :return: seconds.
        """
        own = self.read_time(tokens, tokens)
        return self._setup * self.prefill_factor + own + self.prefill_time(before)

    def read_time(self, tokens: float, context: float) -> float:
        """Predict the time to read prompt tokens against a context.

        :param context: maximum number of prompt tokens that each of them attends to.
        :return: seconds.
        """
        pairs = self._attention * tokens * context * self.prefill_factor
        return pairs + self.prefill_time(tokens)

    @property
    def samples(self) -> int:
        """The number of first outputs that the model has learned from."""
        return self._firsts

    def adopt_factors(self, prefill_factor: float, decode_factor: float, samples: int) -> None:
        """Replace the learned factors if the given ones have more samples."""
        if samples <= self._firsts:
            return
        self._firsts = samples
        self.prefill_factor = _clamp(prefill_factor, MIN_FACTOR, MAX_FACTOR)
        self.decode_factor = _clamp(decode_factor, MIN_FACTOR, MAX_FACTOR)

    def learn_tokens(self, tokens: int, seconds: float, streams: int) -> None:
        """Update the decode speed from the output of one interval.

        :param tokens: number of output tokens.
        :param seconds: decode time of these tokens.
        :param streams: number of concurrent streams during that time.
        """
        if seconds <= 0:
            return

        predicted = self.token_time(streams)
        if tokens == 0:
            # A stall only gives a lower bound for the time of a token.
            if seconds > STALL_FACTOR * predicted:
                self._scale_decode(min(seconds / predicted, MAX_STEP_FACTOR), SPEED_GAIN)
            return

        weight = SPEED_GAIN * min(1.0, tokens / FULL_SAMPLE_TOKENS)
        self._scale_decode(seconds / tokens / predicted, weight)

    def learn_first(self, expected_s: float, observed_s: float) -> None:
        """Update the prefill speed from the time to a first token.

        :param expected_s: time predicted at the grant, in seconds.
        :param observed_s: observed time, in seconds.
        """
        if expected_s <= 0 or observed_s <= 0:
            return
        ratio = _clamp(observed_s / expected_s, 1 / MAX_STEP_FACTOR, MAX_STEP_FACTOR)
        self._firsts += 1
        gain = max(PREFILL_GAIN, FIRST_PREFILL_GAIN / self._firsts)
        factor = self.prefill_factor * ratio**gain
        self.prefill_factor = _clamp(factor, MIN_FACTOR, MAX_FACTOR)

    def _scale_decode(self, ratio: float, gain: float) -> None:
        ratio = _clamp(ratio, 1 / MAX_STEP_FACTOR, MAX_STEP_FACTOR)
        self.decode_factor = _clamp(self.decode_factor * ratio**gain, MIN_FACTOR, MAX_FACTOR)


class QuantileTracker(msgspec.Struct):
    """Estimate one quantile of a stream of samples with a single number.

    The logarithm of the value steps up on each larger sample and down on each smaller one, by a
    step that shrinks. Source: Ma, Muthukrishnan and Sandler, "Frugal Streaming for Estimating
    Quantiles", 2013, here with a proportional step.
    """

    quantile: float
    value: float
    samples: int = 0

    def learn(self, sample: float) -> None:
        """Move the estimate one step toward a sample; its value never falls below 1."""
        self.samples += 1
        step = max(QUANTILE_MIN_STEP, QUANTILE_STEP / math.sqrt(self.samples))
        up = sample > self.value
        move = step * (self.quantile if up else self.quantile - 1.0)
        self.value = max(1.0, self.value * math.exp(2.0 * move))


class OutputEstimate(msgspec.Struct, frozen=True):
    """Estimate the output tokens of one request by quantiles."""

    median: float
    optimistic: float
    cautious: float

    def capped(self, most: int) -> "OutputEstimate":
        """Limit all quantiles to a maximum number of tokens.

        :rtype: OutputEstimate
        """
        cautious = min(self.cautious, most)
        median = min(self.median, cautious)
        return OutputEstimate(median, min(self.optimistic, median), cautious)


class OutputModel:
    """Predict output lengths from earlier outputs of the same route and team.

    :param caution: quantile of the cautious estimate.
    """

    def __init__(self, caution: float = DEFAULT_CAUTION_QUANTILE) -> None:
        self._quantiles = (MEDIAN_QUANTILE, OPTIMISTIC_QUANTILE, caution)
        self._trackers: dict[tuple[str, str], tuple[QuantileTracker, ...]] = {}

    def predict(self, route: str, team: str, max_output: int) -> OutputEstimate:
        """Predict the output of one request.

        :param max_output: the caller's own upper bound, in tokens.
        :rtype: OutputEstimate
        """
        for key in ((route, team), (route, "")):
            trackers = self._trackers.get(key)
            if trackers is not None and trackers[0].samples >= MIN_LENGTH_SAMPLES:
                median, optimistic, cautious = trackers
                learned = OutputEstimate(median.value, optimistic.value, cautious.value)
                return learned.capped(max_output)

        guess = DEFAULT_OUTPUT_TOKENS
        return OutputEstimate(guess, 1.0 + guess / 4, guess).capped(max_output)

    def learn(self, route: str, team: str, output_tokens: int) -> None:
        """Update the trackers of the team and of the route from a finished request."""
        for key in ((route, team), (route, "")):
            trackers = self._trackers.get(key)
            if trackers is None:
                start = max(1.0, float(output_tokens))
                trackers = tuple(QuantileTracker(each, start) for each in self._quantiles)
                self._trackers[key] = trackers
            for tracker in trackers:
                tracker.learn(output_tokens)


class HintModel:
    """Learn the error of the callers' own output estimates (hints), by route.

    Hints are accurate at the median. The model learns how far longer outputs exceed them, so that
    a request is placed where it ends in time even with a longer output.
    """

    def __init__(self) -> None:
        self._trackers: dict[str, QuantileTracker] = {}

    def estimate(self, route: str, hint: int) -> OutputEstimate:
        """Estimate the output of a request from its caller's hint.

        :param hint: the caller's estimate in tokens.
        :rtype: OutputEstimate
        """
        factor = self._tracker(route).value / HINT_SCALE
        return OutputEstimate(hint, hint / INITIAL_HINT_FACTOR, hint * max(1.0, factor))

    def learn(self, route: str, hint: int, output_tokens: int, *, whole: bool) -> None:
        """Update the error from a request that has ended.

        The output of a cut request is only a lower bound. It counts if it exceeds the tracked
        quantile and is ignored otherwise; without such samples the longest outputs would never be
        learned.

        :param whole: whether the request ran to its end.
        """
        tracker = self._tracker(route)
        ratio = HINT_SCALE * output_tokens / hint
        if whole or ratio > tracker.value:
            tracker.learn(ratio)

    def _tracker(self, route: str) -> QuantileTracker:
        found = self._trackers.get(route)
        if found is None:
            start = HINT_SCALE * INITIAL_HINT_FACTOR
            found = self._trackers[route] = QuantileTracker(
                HINT_QUANTILE, start, HINT_PRIOR_SAMPLES
            )
        return found
