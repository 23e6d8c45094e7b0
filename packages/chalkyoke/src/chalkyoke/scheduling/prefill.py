"""
chalkyoke.scheduling.prefill

How long a service's engines take to read a prompt: a fixed part, a part for each token, and a part
for each pair of tokens. The parts are learned apart from each other: short prompts show the first
and long ones the last, and one common factor would misjudge the long by what the short have shown.
"""

import math
from dataclasses import dataclass

# How much of an error one prompt corrects. At a third, five long prompts halve an error twice over;
# at more, the queueing that is part of every observation moves the parts to and fro.
LEARN_GAIN = 0.3
# One observation counts as at most so many times too long or too short.
MOST_RATIO = 3.0
# The parts stay within this factor of the first guesses: engines differ by less than 20 times.
MOST_DRIFT = 50.0

PrefillParts = tuple[float, float, float]
"""Seconds for each request, for each prompt token, and for each pair of them."""


@dataclass(slots=True)
class PrefillShape:
    """The parts of a first output's time, for an upstream of speed factor 1.

    :param setup_s: for each request, in seconds.
    :param token_s: for each prompt token.
    :param pair_s: for each pair of a prompt token and one that it attends to.
    :ivar samples: how many prompts it has learned from.

    Usage::

      >>> shape = PrefillShape(0.05, 1 / 35_000, 1.2e-9)
      >>> shape.learn(tokens=30_000, before=0, ratio=0.5)
    """

    setup_s: float
    token_s: float
    pair_s: float
    samples: int = 0
    _first: PrefillParts = (0.0, 0.0, 0.0)

    def __post_init__(self) -> None:
        self._first = self.parts

    @property
    def parts(self) -> PrefillParts:
        """The three parts, in seconds."""
        return (self.setup_s, self.token_s, self.pair_s)

    def read_s(self, tokens: float, context: float) -> float:
        """Predict the time to read prompt tokens against a context."""
        return tokens * (self.token_s + self.pair_s * context)

    def first_s(self, tokens: float, before: float) -> float:
        """Predict the time to the first output.

        :param before: prompt tokens of other requests that are read first.
        """
        return self.setup_s + self.read_s(tokens, tokens) + self.token_s * before

    def learn(self, tokens: float, before: float, ratio: float) -> None:
        """Correct the parts by what a prompt took.

        The parts move in the logarithm, each by its share of the time, as a normalised least mean
        squares filter does. Source: Nagumo and Noda, "A learning method for system identification",
        1967.

        :param ratio: observed time over predicted time.
        """
        whole = self.first_s(tokens, before)
        if whole <= 0:
            return
        shares = (
            self.setup_s / whole,
            self.token_s * (tokens + before) / whole,
            self.pair_s * tokens * tokens / whole,
        )
        error = math.log(min(MOST_RATIO, max(1.0 / MOST_RATIO, ratio)))
        step = LEARN_GAIN * error / sum(share * share for share in shares)
        moved = [
            part * math.exp(step * share) for part, share in zip(self.parts, shares, strict=True)
        ]
        self.samples += 1
        self._set((moved[0], moved[1], moved[2]))

    def take_over(self, parts: PrefillParts, samples: int) -> None:
        """Take what another one has learned, if that is more."""
        if samples > self.samples:
            self.samples = samples
            self._set(parts)

    def _set(self, parts: PrefillParts) -> None:
        bounded = [
            min(first * MOST_DRIFT, max(first / MOST_DRIFT, part))
            for part, first in zip(parts, self._first, strict=True)
        ]
        self.setup_s, self.token_s, self.pair_s = bounded
