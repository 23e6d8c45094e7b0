import math

import pytest
from chalkyoke.limits.allowance import BURST_REQUESTS, BURST_S, MIN_RATE_PER_S, Allowance
from chalkyoke_fakes.soak.limits import WINDOW_S, max_allowed_requests
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

LIMITS = st.sampled_from((0.0, 0.2, 0.4, 1.0, 3.8, 40.0))


def test_an_allowance_is_empty_at_first_and_fills_at_the_limit():
    allowance = Allowance(4.0, 1.0, 10.0)
    assert not allowance.is_open(10.0)
    assert allowance.opens_in_s(10.0) == 0.25
    assert allowance.is_open(10.25)
    allowance.consume(10.25)
    assert allowance.opens_in_s(10.25) == 0.25


def test_waiting_requests_are_sent_one_after_the_other():
    allowance = Allowance(2.0, 1.0, 0.0)
    assert [allowance.reserve(1.2, 0.0) for _ in range(3)] == [0.5, 1.0, None]
    allowance.refund()
    assert allowance.reserve(1.2, 0.0) == 1.0


@pytest.mark.parametrize("limit_per_s", [0.0, 0.1])
def test_a_replica_with_a_limit_near_zero_gets_one_request_in_five_seconds(limit_per_s):
    allowance = Allowance(limit_per_s, 1.0, 0.0)
    assert allowance.opens_in_s(0.0) == pytest.approx(1 / MIN_RATE_PER_S)


class Spending(RuleBasedStateMachine):
    """No sequence of requests, returned permits and new limits exceeds the limit in a window."""

    @initialize(limit_per_s=LIMITS)
    def begin(self, limit_per_s):
        self.now = 0.0
        self.allowance = Allowance(limit_per_s, 1.0, 0.0)
        self.limits = [(0.0, limit_per_s)]
        self.sent = []

    @rule(seconds=st.sampled_from((0.01, 0.05, 0.3, 1.0, 3.0, 20.0)))
    def wait(self, seconds):
        self.now += seconds

    @rule(count=st.integers(1, 20))
    def send_while_open(self, count):
        for _ in range(count):
            if self.allowance.is_open(self.now):
                self.allowance.consume(self.now)
                self.sent.append(self.now)

    @rule(count=st.integers(1, 20), most_wait_s=st.sampled_from((0.0, 0.2, 1.0)))
    def reserve(self, count, most_wait_s):
        for _ in range(count):
            wait_s = self.allowance.reserve(most_wait_s, self.now)
            if wait_s is not None:
                self.sent.append(self.now + wait_s)

    @rule()
    def refund(self):
        if self.sent and self.sent[-1] >= self.now:
            self.sent.pop()
            self.allowance.refund()

    @rule(limit_per_s=LIMITS)
    def change_limit(self, limit_per_s):
        # Requests that wait under an earlier limit return their permits and request new ones.
        for _ in [each for each in self.sent if each > self.now]:
            self.allowance.refund()
        self.sent = [each for each in self.sent if each <= self.now]
        self.allowance.reconfigure(limit_per_s, 1.0, self.now)
        self.limits.append((self.now, limit_per_s))

    @invariant()
    def no_window_exceeds_the_tolerance(self):
        sent = sorted(self.sent)
        for index, began in enumerate(sent):
            ended = began + WINDOW_S
            count = sum(1 for at in sent[index:] if at < ended)
            # An earlier limit counts until it is replaced.
            before = [each for at, each in self.limits if at < began][-1:]
            most = max([*before, *(each for at, each in self.limits if began <= at < ended)])
            assert count <= max_allowed_requests(most), (count, most)

    @invariant()
    def the_burst_is_bounded(self):
        rate = max(MIN_RATE_PER_S, self.allowance.limit_per_s)
        probe = Allowance(self.allowance.limit_per_s, 1.0, self.now)
        assert math.isclose(probe.rate_per_s, rate)
        saved = Allowance(rate, 1.0, self.now - 1000.0)
        count = 0
        while saved.is_open(self.now):
            saved.consume(self.now)
            count += 1
        assert count <= BURST_REQUESTS + BURST_S * rate


TestSpending = Spending.TestCase
