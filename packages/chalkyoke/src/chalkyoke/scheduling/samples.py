"""
chalkyoke.scheduling.samples

Collect the output of an upstream's streams between two progress reports.
"""

import msgspec

from chalkyoke.scheduling.state import RunningRequest, Upstream

# Lower bound of the share of a stream's time that counts as decoding, whatever prefill ran during
# that time.
MIN_OWN_SHARE = 0.2


class TokenSample(msgspec.Struct):
    """Accumulate output tokens of one upstream's streams and their decode time in seconds."""

    tokens: int = 0
    seconds: float = 0.0

    def add(
        self,
        item: RunningRequest,
        upstream: Upstream,
        output_tokens: int,
        elapsed_s: float,
        now: float,
    ) -> None:
        """Add the tokens and the time of one stream since its last progress report.

        Time in which the upstream read other prompts and time lost to its reported time factors
        are excluded.

        :param now: seconds on the scheduler's clock.
        """
        seconds = elapsed_s - item.elapsed_s
        stalled = upstream.stall_s - item.stalls_seen
        item.stalls_seen = upstream.stall_s
        self.tokens += output_tokens - item.output_tokens
        own = max(MIN_OWN_SHARE * seconds, seconds - stalled)
        total_lost = upstream.time_factor.total_lost_s(now)
        lost_share = (total_lost - item.lost_seen) / seconds if seconds > 0 else 0.0
        item.lost_seen = total_lost
        self.seconds += own * max(MIN_OWN_SHARE, 1.0 - lost_share)
