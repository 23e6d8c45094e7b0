"""What is kept of a run that has ended, for a caller that comes back with its token."""

import pytest
from chalkyoke.entry.messages import AnswerHead, CallerRequest
from chalkyoke.entry.runs import MAX_KEPT_ANSWER_BYTES, Runs
from chalkyoke.memory.account import MemoryAccount, Purpose
from chalkyoke.outcomes import Reason, not_run
from chalkyoke.tokens.codec import TokenCodec
from chalkyoke.tokens.ledger import TokenLedger
from chalkyoke.tokens.messages import TokenProblem

BODY = b"x" * 1_000_000


def make_request(body=BODY):
    return CallerRequest(
        service="seats",
        team="team",
        tier="high",
        route="seats",
        path="/call",
        content_type="application/json",
        body=body,
        labels={},
        budget_s=10.0,
        repeatable=False,
        stream=False,
        prompt_tokens=1,
        max_output=0,
        blocks=(),
    )


def answer(run):
    run.mark_queued()
    assert run.claim_dispatch(1.0)
    run.start_answer(AnswerHead(200, "text/plain"))
    run.append_chunk(b"done", 1.0)
    run.finish(2.0)


def fail(run):
    run.mark_queued()
    assert run.claim_dispatch(1.0)
    run.fail(run.make_failure(Reason.NO_ANSWER, "no answer came"), 2.0)


def refuse(run):
    run.refuse(not_run(Reason.SHED, "no capacity"), 2.0)


# Guards against a host that keeps the bodies of all requests for the lifetime of their tokens.
@pytest.mark.parametrize("end", [answer, fail, refuse])
def test_a_run_that_has_ended_keeps_no_body_and_still_knows_its_request(end):
    runs = Runs(TokenLedger("h", "h:1", 1, lifetime_s=120), TokenCodec(b"k" * 16))
    token, text = runs.issue_token(0.0)
    run, is_new = runs.admit(token, text, make_request(), 0.0).ok_value
    assert is_new
    end(run)
    assert run.request.body == b""
    assert runs.admit(token, text, make_request(), 3.0).ok_value == (run, False)
    other = runs.admit(token, text, make_request(BODY + b"y"), 3.0)
    assert other.err_value is TokenProblem.OTHER_REQUEST


def keep(runs, size):
    token, text = runs.issue_token(0.0)
    run, _ = runs.admit(token, text, make_request(b""), 0.0).ok_value
    run.mark_queued()
    assert run.claim_dispatch(1.0)
    run.start_answer(AnswerHead(200, "text/plain"))
    run.append_chunk(b"x" * size, 1.0)
    run.finish(2.0)
    runs.keep_answer(run)
    return run


# Guards against a caller that reads slowly and is cut off by the answers to later callers.
def test_an_answer_that_is_being_read_is_not_dropped():
    runs = Runs(TokenLedger("h", "h:1", 1, lifetime_s=120), TokenCodec(b"k" * 16))
    read = keep(runs, MAX_KEPT_ANSWER_BYTES // 2)
    read.readers = 1
    idle = keep(runs, MAX_KEPT_ANSWER_BYTES // 2)
    newest = keep(runs, MAX_KEPT_ANSWER_BYTES // 2)
    assert [each.answer_dropped for each in (read, idle, newest)] == [False, True, False]


# Guards against answers kept for nobody while requests are refused for lack of memory.
def test_kept_answers_give_way_while_memory_is_scarce():
    account = MemoryAccount(10_000_000)
    runs = Runs(TokenLedger("h", "h:1", 1, lifetime_s=120), TokenCodec(b"k" * 16), account)
    kept = [keep(runs, 1_000_000) for _ in range(5)]
    for run in kept:
        run.answer_charge = account.open(Purpose.RESPONSES_RETAINED)
        run.answer_charge.resize(run.size)
    kept[0].readers = 1
    bodies = account.open(Purpose.BODIES_KEPT)
    bodies.resize(4_500_000)
    runs.make_room()
    runs.make_room()
    assert [each.answer_dropped for each in kept] == [False, True, True, False, False]
    assert account.total == 4_500_000 + 3_000_000
    runs.drop_idle()
    assert [each.answer_dropped for each in kept] == [False, True, True, True, False]
