"""
tests.test_cut_answers

Replicas that cut their answers off, by a close or a reset, through whole nodes. No caller gets a
success that is not a replica's whole body, and what may run once runs once.
"""

import asyncio

import pytest
from chalkyoke_fakes.rawanswers import AnswerEnd, RawAnswer
from chalkyoke_fakes.replica import read_events

from tests.gatewayfleet import DEADLINE_MS, run_check
from tests.memorynet import PartitionMode

OK = b"HTTP/1.1 200 OK\r\n{fields}"
OLD = b"HTTP/1.0 200 OK\r\n{fields}"
LENGTH = b"Content-Length: {length}\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
# What is sent of an answer, by the place where it ends.
PLACES = {
    "nothing": b"",
    "version": b"HTTP/1.",
    "status": b"HTTP/1.1 20",
    "status without reason": b"HTTP/1.1 200",
    "reason": b"HTTP/1.1 200 O",
    "status line": b"HTTP/1.1 200 OK\r\n",
    "before the framing": OK,
    "header name": OK + b"Content-Leng",
    "header name and colon": OK + b"Content-Length:",
    "header value": OK + b"Content-Type: text/pl",
    "digits of the length": OK + b"Content-Length: 1",
    "line of the length": OK + b"Content-Length: {length}\r",
    "before the empty line": OK + LENGTH,
    "within the empty line": OK + LENGTH + b"\r",
    "empty line without CR": OK + LENGTH + b"\n",
    "lines without CR": OK + b"Content-Length: 0\n\n",
    "folded header": OK + b"Name: a\r\n b\r\n" + LENGTH + b"\r\n{body}",
    "folded length": OK + b"Content-Length:\r\n 0\r\n\r\n",
    "name without colon": OK + b"Content-Leng\r\n\r\n",
    "before the body": OK + LENGTH + b"\r\n",
    "body": OK + LENGTH + b"\r\n{half}",
    "compressed body": OK + b"Content-Encoding: gzip\r\n" + LENGTH + b"\r\n{half}",
    "two lengths": OK + LENGTH + b"Content-Length: 2\r\n\r\n{body}",
    "length and chunks": OK + LENGTH + CHUNKED + b"{chunk}0\r\n\r\n",
    "before the chunks": OK + CHUNKED,
    "chunk size": OK + CHUNKED + b"1",
    "chunk extension": OK + CHUNKED + b"ff;name=val",
    "chunk": OK + CHUNKED + b"ffff\r\n{half}",
    "last chunk": OK + CHUNKED + b"{chunk}",
    "line of the last chunk": OK + CHUNKED + b"{chunk}0\r\n",
    "trailers": OK + CHUNKED + b"{chunk}0\r\nName: val",
    "interim": INTERIM,
    "interim head": b"HTTP/1.1 103 Early Hints\r\n{fields}Link: </",
    "status line after interim": INTERIM + b"HTTP/1.1 200 OK\r\n",
    "body after interim": INTERIM + OK + LENGTH + b"\r\n{half}",
    "HTTP/1.0 head": OLD,
    "HTTP/1.0 body": OLD + LENGTH + b"\r\n{half}",
    "HTTP/1.0 keep-alive": OLD + LENGTH + b"Connection: keep-alive\r\n\r\n{half}",
    "204 head": b"HTTP/1.1 204 No Content\r\n{fields}",
    "304 head": b"HTTP/1.1 304 Not Modified\r\n{fields}" + LENGTH,
    "404 body": b"HTTP/1.1 404 Not Found\r\n{fields}" + LENGTH + b"\r\n{half}",
}
# Cut answers that end with their connection: only a reset, or a host on the way, tells of the cut.
UNFRAMED_PLACES = {
    "unframed head": OK + b"\r\n",
    "unframed body": OK + b"\r\n{half}",
    "HTTP/1.0 unframed body": OLD + b"\r\n{half}",
    "HTTP/1.0 unframed keep-alive": OLD + b"Connection: keep-alive\r\n\r\n{half}",
}
PATHS = ("/book/1", "/find/1", "/chat/1", "/explain/1")
REPEATABLE = ("/find/1", "/explain/1")
NOT_RUN_STATUSES = (408, 421, 429, 503)
EVENTS = 8
AT_ONCE_S = 0.15 * DEADLINE_MS / 1000
ENDS = (AnswerEnd.CLOSE, AnswerEnd.RESET)


def all_replicas(fleet):
    return [*fleet.models, *fleet.seats]


def is_whole_success(got):
    return 200 <= got.status <= 299 and got.whole


def check_promises(fleet, path, got):
    runs = sum(replica.runs[got.request] for replica in all_replicas(fleet))
    assert runs <= (2 if path in REPEATABLE else 1)
    if got.status in NOT_RUN_STATUSES:
        assert runs == 0
    if got.status == 200:
        assert runs >= 1


def check_body(fleet, path, got):
    """Check that a success has a replica's whole body."""
    if path in ("/book/1", "/find/1"):
        ran = [each for each in fleet.seats if each.runs[got.request]]
        assert got.body in [each.whole_body(got.request) for each in ran]
    else:
        assert [number for number, _ in read_events(got.body)] == list(range(EVENTS))


def play_all_cut(text, ends=ENDS, *, cut_host=False):
    """Send requests to a host whose replicas all cut their answers.

    :param cut_host: whether the host reaches replicas through other hosts only.
    """

    async def check(fleet):
        if cut_host:
            await cut_off_first_host(fleet)
        for end in ends:
            for replica in all_replicas(fleet):
                replica.faults.raw_answer = RawAnswer(text, end)
            for path in PATHS:
                got = await fleet.send_request(0, path)
                check_promises(fleet, path, got)
                assert not is_whole_success(got), path
                assert got.took_s < AT_ONCE_S
                assert got.status in (200, 502), path

    run_check(check, domains=("a", "b", "c"), replicas=3)


def play_some_cut(text, ends=ENDS):
    """Send requests to a host, of whose replicas one of each service cuts its answers."""

    async def check(fleet):
        faulty = [fleet.models[0], fleet.seats[0]]
        for end in ends:
            for replica in faulty:
                replica.faults.raw_answer = RawAnswer(text, end)
            for path in PATHS:
                for _ in range(5):
                    got = await fleet.send_request(0, path)
                    check_promises(fleet, path, got)
                    if is_whole_success(got):
                        check_body(fleet, path, got)
                    else:
                        assert path not in REPEATABLE, got
        assert all(replica.runs for replica in faulty)

    run_check(check, domains=("a", "b", "c"), replicas=3)


async def cut_off_first_host(fleet):
    """Cut the first host from all replicas, and let it find its way through other hosts."""
    fleet.cut_from_replicas([0], all_replicas(fleet), PartitionMode.RESET)
    for path in PATHS:
        got = await fleet.send_request(0, path)
        while got.status != 200:
            await asyncio.sleep(0.1)
            got = await fleet.send_request(0, path)
    assert fleet.nodes[0].dialer.lost_paths


# Guards against a part of an answer that is taken for the whole, as by a reader that ends a head, a
# length or a chunk where the connection ends.
@pytest.mark.parametrize("place", PLACES)
def test_no_caller_gets_a_cut_answer_as_a_whole_one(place):
    play_all_cut(PLACES[place])


@pytest.mark.parametrize("place", PLACES)
def test_a_request_that_may_be_repeated_is_answered_by_another_replica(place):
    play_some_cut(PLACES[place])


@pytest.mark.parametrize("place", UNFRAMED_PLACES)
def test_no_caller_gets_an_unframed_answer_as_a_whole_one_after_a_reset(place):
    play_all_cut(UNFRAMED_PLACES[place], [AnswerEnd.RESET])
    play_some_cut(UNFRAMED_PLACES[place], [AnswerEnd.RESET])


# Guards against the end of a tunnel that is taken for the end of an answer.
@pytest.mark.parametrize("place", [*PLACES, *UNFRAMED_PLACES])
def test_no_caller_gets_a_cut_answer_as_a_whole_one_through_another_host(place):
    play_all_cut({**PLACES, **UNFRAMED_PLACES}[place], cut_host=True)
