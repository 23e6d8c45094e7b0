"""What is kept of a run that has ended, for a caller that comes back with its token."""

import pytest
from chalkyoke.entry.messages import AnswerHead, CallerRequest
from chalkyoke.entry.runs import Runs
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
