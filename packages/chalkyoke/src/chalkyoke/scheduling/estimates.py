"""
chalkyoke.scheduling.estimates

What is learned from finished and running work: engine speeds and output lengths. Model cards are
only the first guess.
"""

import math

import msgspec

# The weight of a sample of so many tokens in the learned speed of a stream, as a part of one.
SPEED_GAIN = 0.4
FULL_SAMPLE_TOKENS = 40.0
# The weight of a first output in the learned speed of reading prompts, as a part of one, and that
# of the first such sample.
PREFILL_GAIN = 0.15
FIRST_PREFILL_GAIN = 0.6
# How far one sample moves a speed, and how far it may go from the first guess, as factors.
MAX_STEP_FACTOR = 3.0
MIN_FACTOR = 0.05
MAX_FACTOR = 200.0
# A first output that takes so many times what was expected tells of something else than speed.
STALL_FACTOR = 4.0

# Parts of all requests that have no more output than is reckoned with.
MEDIAN_QUANTILE = 0.5
OPTIMISTIC_QUANTILE = 0.15
DEFAULT_CAUTION_QUANTILE = 0.65
# How far a tracked quantile moves with a sample, in logarithms: at first, and at least.
QUANTILE_STEP = 0.35
QUANTILE_MIN_STEP = 0.05
# Samples from which on a team's own outputs are believed, in number.
MIN_LENGTH_SAMPLES = 8
DEFAULT_OUTPUT_TOKENS = 128.0

# The part of requests that have no more output than what is reckoned with for the end of a stream.
HINT_QUANTILE = 0.95
# What outputs come to at that part of all, as a multiple of their callers' estimates, until it is
# learned: two standard deviations of a logarithmic spread of a half.
INITIAL_HINT_FACTOR = 2.5
# How many samples that first guess is worth.
HINT_PRIOR_SAMPLES = 50
# Ratios are tracked in hundredths: the tracker's least value is 1.
HINT_SCALE = 100.0


def _clamp(value: float, low: float, high: float) -> float:
    return max(low, min(high, value))


class SpeedModel:
    """Predict how long one upstream takes, and correct the prediction by what it does.

    The time of one output token is linear in the number of streams (continuous batching), times a
    learned factor; the time of one prompt token is a constant times another learned factor. Both
    factors are exponentially weighted in the logarithm, so that five times slower and five times
    faster weigh the same.

    :param prefill_tokens_per_s: first guess.
    :param decode_tokens_per_s: first guess for a single stream.
    :param batch_slowdown: how many times slower one stream is when all slots run.
    :param slots: streams at most.
    :param setup_s: first guess of what a request takes besides its tokens, in seconds.
    :param attention_s_per_pair: first guess of what each pair of prompt tokens takes, in seconds.
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

        :param streams: how many streams run, this one included.
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
        :param before: prompt tokens of other requests that are read first.
        :return: seconds.
        """
        own = self.read_time(tokens, tokens)
        return self._setup * self.prefill_factor + own + self.prefill_time(before)

    def read_time(self, tokens: float, context: float) -> float:
        """Predict the time to read prompt tokens against a context.

        :param context: prompt tokens that each of them attends to, at most.
        :return: seconds.
        """
        pairs = self._attention * tokens * context * self.prefill_factor
        return pairs + self.prefill_time(tokens)

    @property
    def samples(self) -> int:
        """How many first outputs it has learned from."""
        return self._firsts

    def adopt_factors(self, prefill_factor: float, decode_factor: float, samples: int) -> None:
        """Take what another one has learned, if that is more."""
        if samples <= self._firsts:
            return
        self._firsts = samples
        self.prefill_factor = _clamp(prefill_factor, MIN_FACTOR, MAX_FACTOR)
        self.decode_factor = _clamp(decode_factor, MIN_FACTOR, MAX_FACTOR)

    def learn_tokens(self, tokens: int, seconds: float, streams: int) -> None:
        """Learn from output tokens that came.

        :param tokens: how many came.
        :param seconds: in how long.
        :param streams: how many streams ran meanwhile.
        """
        if seconds <= 0:
            return

        predicted = self.token_time(streams)
        if tokens == 0:
            # A stall tells only that a token takes at least so long.
            if seconds > STALL_FACTOR * predicted:
                self._scale_decode(min(seconds / predicted, MAX_STEP_FACTOR), SPEED_GAIN)
            return

        weight = SPEED_GAIN * min(1.0, tokens / FULL_SAMPLE_TOKENS)
        self._scale_decode(seconds / tokens / predicted, weight)

    def learn_first(self, expected_s: float, observed_s: float) -> None:
        """Learn from the time to the first token.

        :param expected_s: what was predicted when it was granted.
        :param observed_s: what it took.
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
    """Follow one quantile with a single number.

    A step up on each larger sample and a step down on each smaller one, in the logarithm, with a
    step that shrinks. Source: Ma, Muthukrishnan and Sandler, "Frugal Streaming for Estimating
    Quantiles", 2013, here with a proportional step.
    """

    quantile: float
    value: float
    samples: int = 0

    def learn(self, sample: float) -> None:
        """Move towards one more sample."""
        self.samples += 1
        step = max(QUANTILE_MIN_STEP, QUANTILE_STEP / math.sqrt(self.samples))
        up = sample > self.value
        move = step * (self.quantile if up else self.quantile - 1.0)
        self.value = max(1.0, self.value * math.exp(2.0 * move))


class OutputEstimate(msgspec.Struct, frozen=True):
    """How many output tokens one request may have, by quantiles."""

    median: float
    optimistic: float
    cautious: float

    def capped(self, most: int) -> "OutputEstimate":
        """Keep it within a bound, in tokens.

        :rtype: OutputEstimate
        """
        cautious = min(self.cautious, most)
        median = min(self.median, cautious)
        return OutputEstimate(median, min(self.optimistic, median), cautious)


class OutputModel:
    """Predict output lengths from what routes and teams have asked for before.

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
        """Learn from one finished request."""
        for key in ((route, team), (route, "")):
            trackers = self._trackers.get(key)
            if trackers is None:
                start = max(1.0, float(output_tokens))
                trackers = tuple(QuantileTracker(each, start) for each in self._quantiles)
                self._trackers[key] = trackers
            for tracker in trackers:
                tracker.learn(output_tokens)


class HintModel:
    """Tell how far callers' own estimates of their output are off, by route.

    They are right at the median. How far the longer outputs go beyond is learned: a request is
    placed where it ends in time even so.
    """

    def __init__(self) -> None:
        self._trackers: dict[str, QuantileTracker] = {}

    def estimate(self, route: str, hint: int) -> OutputEstimate:
        """Estimate the output of a request by its caller's estimate.

        :param hint: in tokens.
        :rtype: OutputEstimate
        """
        factor = self._tracker(route).value / HINT_SCALE
        return OutputEstimate(hint, hint / INITIAL_HINT_FACTOR, hint * max(1.0, factor))

    def learn(self, route: str, hint: int, output_tokens: int, *, whole: bool) -> None:
        """Learn from a request that has ended.

        One that was cut off had at least so many tokens: that tells something only beyond what
        was expected, and is left out elsewhere. Without those, the longest would never be learned.

        :param whole: whether it ran to its end.
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
