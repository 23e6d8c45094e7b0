"""
chalkyoke.entry.tests.test_cut_answers

Runs whose upstream cuts its answer off, from the dispatch to the end of the run.
"""

import asyncio
from types import SimpleNamespace

import pytest
from chalkyoke.administration.events import EventRing
from chalkyoke.administration.metrics import Metrics
from chalkyoke.clock import HybridClock
from chalkyoke.entry.dispatcher import Dispatcher
from chalkyoke.entry.ends import OutcomeRecorder
from chalkyoke.entry.messages import CallerRequest
from chalkyoke.entry.runs import Runs
from chalkyoke.entry.state import Complete
from chalkyoke.outcomes import Refusal, Verdict
from chalkyoke.tokens.codec import TokenCodec
from chalkyoke.tokens.ledger import TokenLedger
from chalkyoke.upstreams.client import UpstreamClient, make_session
from chalkyoke.upstreams.tests.cuttingupstream import CuttingUpstream

PATH, RESUME = "/run", "resume"
MAX_ANSWER_BYTES = 20_000
OK = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
REJECTED = b"HTTP/1.1 422 Unprocessable Content\r\nContent-Type: text/plain\r\n"
EVENTS = b'data: {"id": "r"}\n\ndata: [DONE]\n\n'
ends = pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])


def with_length(head, body):
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def in_chunks(head, body):
    chunk = b"%x\r\n%b\r\n" % (len(body), body)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"


def until_close(head, body):
    return head + b"\r\n" + body


framings = pytest.mark.parametrize("frame", [with_length, in_chunks, until_close])


class Entry:
    """The dispatcher of a node and what it needs, with one upstream.

    :ivar upstream: the upstream.
    """

    def __init__(self, session, upstream):
        now = asyncio.get_running_loop().time
        self.upstream = upstream
        self._runs = Runs(TokenLedger("h", "h:1", 1, lifetime_s=120), TokenCodec(b"k" * 16))
        acquirer = SimpleNamespace(release=lambda *_, **__: None)
        events = EventRing("h", HybridClock(), lambda: 0)
        recorder = OutcomeRecorder(self._runs, acquirer, events, Metrics(), now)
        service = SimpleNamespace(protocol="", max_answer_bytes=MAX_ANSWER_BYTES)
        self._service = service
        configuration = SimpleNamespace(service=lambda name: service)
        self._dispatcher = Dispatcher(
            acquirer, recorder, configuration, UpstreamClient(session), events, Metrics(), now
        )

    async def run(self, protocol, answer, resumed=b""):
        """Run a request to its end.

        :param protocol: of the service, ``plain`` or ``completions``.
        :param answer: the bytes that the upstream sends.
        :param resumed: the bytes that it sends each time the stream is resumed.
        """
        self._service.protocol = protocol
        self.upstream.answers[PATH] = [answer]
        self.upstream.answers[RESUME] = [resumed]
        request = CallerRequest(
            service="s",
            team="t",
            tier="t0",
            route="r",
            path=PATH,
            content_type="application/json",
            body=b"{}",
            labels={},
            budget_s=30.0,
            repeatable=False,
            stream=True,
            prompt_tokens=0,
            max_output=0 if protocol == "plain" else 5,
            blocks=(),
        )
        now = asyncio.get_running_loop().time()
        token, text = self._runs.issue_token(now)
        run, _ = self._runs.admit(token, text, request, now).unwrap()
        run.mark_queued()
        grant = SimpleNamespace(address=self.upstream.address, upstream="u", priority=0)
        await self._dispatcher.send(run, grant)
        return run


def run_entry(check):
    async def main():
        async with CuttingUpstream() as upstream, make_session() as session:
            await check(Entry(session, upstream))

    asyncio.run(main())


def check_whole(run, status, body):
    assert run.end == Complete()
    assert (run.head.status, b"".join(run.chunks)) == (status, body)


def check_failed(run):
    assert isinstance(run.end, Refusal) and run.end.verdict is not Verdict.NOT_RUN


# Guards against a caller that gets a part of an answer, or an empty one, as if it were complete.
@ends
@framings
@pytest.mark.parametrize("status_head", [OK, REJECTED], ids=["200", "422"])
@pytest.mark.parametrize("protocol", ["plain", "completions"])
def test_an_answer_that_is_cut_off_is_not_complete(protocol, status_head, frame, resets):
    body = b"a body" if status_head is REJECTED or protocol == "plain" else EVENTS
    data = frame(status_head, body)
    # In these, a close is the end that the upstream makes.
    cuts = range(data.index(b"\r\n\r\n"), len(data))
    cuts = () if frame is until_close and not resets else cuts
    status = int(status_head.split(b" ")[1])

    async def check(entry):
        entry.upstream.resets = resets
        for cut in cuts:
            run = await entry.run(protocol, data[:cut])
            if run.end == Complete():
                # The last event of a stream tells its end.
                assert protocol == "completions"
                assert b"".join(run.chunks) == EVENTS
            else:
                check_failed(run)
        if frame is not until_close or not resets:
            check_whole(await entry.run(protocol, data), status, body)

    run_entry(check)


@ends
def test_a_stream_that_ends_between_or_within_events_is_not_complete(resets):
    """Guards against a stream without a length that a close ends before its last event."""
    data = until_close(OK, EVENTS)

    async def check(entry):
        entry.upstream.resets = resets
        for cut in range(len(data)):
            check_failed(await entry.run("completions", data[:cut]))

    run_entry(check)


# Guards against a part of a rejection that its caller gets as the whole, because it comes in pieces
# or is long.
@framings
@pytest.mark.parametrize("size", [10, 5_000, MAX_ANSWER_BYTES])
def test_a_rejection_of_an_engine_is_relayed_whole(frame, size):
    body = b"x" * size

    async def check(entry):
        entry.upstream.piece_bytes = 1_000
        check_whole(await entry.run("completions", frame(REJECTED, body)), 422, body)

    run_entry(check)


def test_a_rejection_of_an_engine_that_is_too_large_is_not_complete():
    async def check(entry):
        body = b"x" * (MAX_ANSWER_BYTES + 1)
        check_failed(await entry.run("completions", with_length(REJECTED, body)))

    run_entry(check)


def test_a_plain_answer_to_a_request_for_a_stream_is_not_complete():
    async def check(entry):
        check_failed(await entry.run("completions", with_length(OK, b'{"id": "r"}')))

    run_entry(check)


def test_a_series_of_events_is_relayed_whole_by_a_plain_service():
    async def check(entry):
        check_whole(await entry.run("plain", in_chunks(OK, EVENTS)), 200, EVENTS)

    run_entry(check)


# Guards against a stream that looks complete since the engine, asked for the rest of it, answers
# that it knows no such request or no such path.
@framings
@pytest.mark.parametrize("events", [0, 1])
@pytest.mark.parametrize("status", [204, 302, 400, 404, 405, 410])
def test_a_stream_whose_rest_the_engine_does_not_have_is_not_complete(status, events, frame):
    first = EVENTS[: EVENTS.index(b"data: [DONE]")] if events else b""
    refused = frame(b"HTTP/1.1 %d Reason\r\nContent-Type: text/plain\r\n" % status, b"none")

    async def check(entry):
        run = await entry.run("completions", until_close(OK, first), refused)
        check_failed(run)
        assert b"".join(run.chunks) == first
        assert run.head is None or run.head.status == 200

    run_entry(check)


@pytest.mark.parametrize("cut", range(len(EVENTS)))
def test_a_stream_that_is_resumed_is_complete_after_its_last_event(cut):
    first = EVENTS.index(b"data: [DONE]")
    left = EVENTS[first:] if cut >= first else EVENTS

    async def check(entry):
        run = await entry.run("completions", until_close(OK, EVENTS[:cut]), in_chunks(OK, left))
        check_whole(run, 200, EVENTS)

    run_entry(check)


# Guards against the rest of a stream that is read from wherever a redirect points to.
@pytest.mark.parametrize("status", [301, 302, 303, 307, 308])
def test_a_stream_is_not_resumed_elsewhere(status):
    async def check(entry):
        entry.upstream.answers["/other"] = [in_chunks(OK, EVENTS)]
        moved = b"HTTP/1.1 %d Moved\r\nLocation: /other\r\n" % status
        run = await entry.run("completions", until_close(OK, b""), with_length(moved, b""))
        check_failed(run)
        assert not any(b" /other " in each for each in entry.upstream.requests)

    run_entry(check)
