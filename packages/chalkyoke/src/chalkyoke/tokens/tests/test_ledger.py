import pytest
from chalkyoke.exceptions import InvariantBroken
from chalkyoke.tokens.codec import TokenCodec, request_id_of
from chalkyoke.tokens.ledger import TokenLedger
from chalkyoke.tokens.messages import Token, TokenProblem
from chalkyoke.tokens.state import FINAL_STATES, TokenState
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

KEY = b"k" * 16


def make_ledger(**options):
    return TokenLedger("h1", "127.0.0.1:7000", incarnation=5, **options)


def test_unused_token_needs_no_memory():
    ledger = make_ledger()
    for _ in range(1000):
        ledger.issue(0.0)
    assert len(ledger) == 0


def test_token_is_rejected_with_another_request():
    ledger = make_ledger()
    token = ledger.issue(0.0)
    assert ledger.admit(token, b"one", 1.0).is_ok()
    assert ledger.admit(token, b"two", 1.0).unwrap_err() is TokenProblem.OTHER_REQUEST


def test_token_of_another_incarnation_is_rejected():
    token = make_ledger().issue(0.0)
    restarted = TokenLedger("h1", "127.0.0.1:7000", incarnation=6)
    assert restarted.admit(token, b"", 0.0).unwrap_err() is TokenProblem.OTHER_INCARNATION


def test_token_that_was_never_issued_is_rejected():
    token = Token("h1", "127.0.0.1:7000", 5, 99, 10**9)
    assert make_ledger().admit(token, b"", 0.0).unwrap_err() is TokenProblem.NEVER_ISSUED


def test_an_expired_token_stays_refused_when_the_clock_steps_back():
    ledger = make_ledger(lifetime_s=10)
    token = ledger.issue(0.0)
    record = ledger.admit(token, b"", 1.0).unwrap()
    ledger.transition(record, TokenState.REFUSED)
    assert ledger.expire(11.0) == [record]
    assert ledger.admit(token, b"", 2.0).unwrap_err() is TokenProblem.EXPIRED


def test_active_token_is_kept_beyond_its_expiry():
    ledger = make_ledger(lifetime_s=10)
    record = ledger.admit(ledger.issue(0.0), b"", 1.0).unwrap()
    ledger.transition(record, TokenState.QUEUED)
    assert ledger.expire(100.0) == []
    assert ledger.admit(record.token, b"", 100.0).unwrap() is record


def test_full_ledger_rejects_new_tokens_and_keeps_old_ones():
    ledger = make_ledger(capacity=1)
    first = ledger.issue(0.0)
    assert ledger.admit(first, b"", 0.0).is_ok()
    assert ledger.admit(ledger.issue(0.0), b"", 0.0).unwrap_err() is TokenProblem.LEDGER_FULL
    assert ledger.admit(first, b"", 0.0).is_ok()


def test_second_dispatch_breaks_an_invariant():
    ledger = make_ledger()
    record = ledger.admit(ledger.issue(0.0), b"", 0.0).unwrap()
    ledger.transition(record, TokenState.QUEUED)
    ledger.transition(record, TokenState.DISPATCHED)
    with pytest.raises(InvariantBroken):
        ledger.transition(record, TokenState.DISPATCHED)


def test_dispatched_request_fails_not_run_check():
    ledger = make_ledger()
    record = ledger.admit(ledger.issue(0.0), b"", 0.0).unwrap()
    ledger.transition(record, TokenState.QUEUED)
    ledger.transition(record, TokenState.DISPATCHED)
    with pytest.raises(InvariantBroken):
        ledger.check_not_run(record)


def test_token_round_trips_through_text():
    codec = TokenCodec(KEY)
    token = make_ledger().issue(3.0)
    assert codec.decode(codec.encode(token)).unwrap() == token
    assert request_id_of(codec.encode(token)) == "h1-5-1"
    assert request_id_of("h1-5-1") == "h1-5-1"


def test_token_of_another_fleet_is_forged():
    text = TokenCodec(b"x" * 16).encode(make_ledger().issue(0.0))
    assert TokenCodec(KEY).decode(text).unwrap_err() is TokenProblem.FORGED


@given(st.text(max_size=80), st.integers(0, 200))
def test_malformed_token_is_an_error_value_and_never_an_exception(junk, position):
    codec = TokenCodec(KEY)
    text = codec.encode(make_ledger().issue(0.0))
    assert codec.decode(junk).is_err()
    assert codec.decode("ck1_" + junk).is_err()
    changed = text[:position] + "A" + text[position + 1 :]
    if changed != text:
        assert codec.decode(changed).is_err()


class LedgerMachine(RuleBasedStateMachine):
    """Compare the ledger with a plain list of the transitions of each token."""

    tokens = Bundle("tokens")

    def __init__(self):
        super().__init__()
        self.ledger = make_ledger(lifetime_s=20, capacity=12)
        self.now = 0.0
        self.moves = {}

    @rule(target=tokens)
    def issue(self):
        return self.ledger.issue(self.now)

    @rule(seconds=st.floats(-5, 15))
    def pass_time(self, seconds):
        self.now = max(0.0, self.now + seconds)

    @rule(token=tokens, state=st.sampled_from(list(TokenState)))
    def use(self, token, state):
        admitted = self.ledger.admit(token, b"same", self.now)
        if admitted.is_err():
            return
        record = admitted.unwrap()
        history = self.moves.setdefault(token.sequence, [])
        try:
            self.ledger.transition(record, state)
        except InvariantBroken:
            return
        history.append(state)

    @rule()
    def expire(self):
        self.ledger.expire(self.now)

    @invariant()
    def every_history_is_one_way(self):
        for history in self.moves.values():
            assert history.count(TokenState.DISPATCHED) <= 1
            if TokenState.REFUSED in history:
                assert TokenState.DISPATCHED not in history
            assert all(state not in FINAL_STATES for state in history[:-1])


TestLedgerMachine = LedgerMachine.TestCase
