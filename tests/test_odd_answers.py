"""
tests.test_odd_answers

Answers in framings that replicas use seldom, through whole nodes: what is whole arrives whole, and
whatever is not certain reaches no caller as a success.
"""

import pytest
from chalkyoke_fakes.rawanswers import AnswerEnd, RawAnswer
from chalkyoke_fakes.replica import read_events

from tests.gatewayfleet import run_check

PLAIN = ("/book/1", "/find/1")
# More than a node buffers of an answer before it forwards it.
LONG_BYTES = 400_000
REPEATABLE = ("/find/1", "/explain/1")


def play(answer, paths, check_answer, rounds=4):
    """Send requests one after the other to one node, whose replicas all give one raw answer.

    :param check_answer: called with the path, the answer, the replica that ran the request last and
        the number of runs.
    """

    async def check(fleet):
        replicas = [*fleet.models, *fleet.seats]
        for replica in replicas:
            replica.faults.raw_answer = answer
        for path in paths:
            for _ in range(rounds):
                got = await fleet.send_request(0, path, until_whole=True)
                ran = [each for each in replicas if each.runs[got.request]]
                runs = sum(each.runs[got.request] for each in ran)
                check_answer(path, got, ran, runs)
        assert any(each.runs for each in replicas)

    run_check(check, domains=("a", "b", "c"), replicas=1)


def check_whole(path, got, ran, runs):
    assert (got.status, got.whole, runs) == (200, True, 1), path
    assert got.body == ran[0].whole_body(got.request)


# Guards against bookings that are lost on a connection that was kept after an answer of HTTP/1.0.
@pytest.mark.parametrize("end", [AnswerEnd.CLOSE, AnswerEnd.KEEP])
@pytest.mark.parametrize(
    "connection", [b"", b"Connection: close\r\n", b"Connection: keep-alive\r\n"]
)
def test_answers_of_http_1_0_with_a_length_are_whole(connection, end):
    head = b"HTTP/1.0 200 OK\r\n{fields}Content-Length: {length}\r\n" + connection
    play(RawAnswer(head + b"\r\n{body}", end), PLAIN, check_whole)


def test_answers_of_http_1_0_that_end_with_their_connection_are_whole():
    play(RawAnswer(b"HTTP/1.0 200 OK\r\n{fields}\r\n{body}"), PLAIN, check_whole)


def check_no_success(path, got, ran, runs):
    assert got.status == 502, path
    assert 1 <= runs <= (2 if path in REPEATABLE else 1)


# Guards against a coded body that reaches its caller without the header that names the coding.
@pytest.mark.parametrize("coding", [b"gzip, chunked", b"gzip", b"chunked, gzip", b"identity"])
def test_answers_in_an_unknown_transfer_coding_are_no_success(coding):
    head = b"HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: %b\r\n\r\n" % coding
    play(RawAnswer(head + b"{chunk}0\r\n\r\n"), PLAIN, check_no_success)


# Guards against a compressed body that is passed on as the replica's own.
@pytest.mark.parametrize("coding", [b"gzip", b"deflate", b"br"])
def test_answers_in_a_content_coding_are_no_success(coding):
    head = b"HTTP/1.1 200 OK\r\n{fields}Content-Encoding: %b\r\n" % coding
    play(RawAnswer(head + b"Content-Length: {length}\r\n\r\n{body}"), PLAIN, check_no_success)


STREAMS = ("/chat/1", "/explain/1")
OK = b"HTTP/1.1 200 OK\r\n{fields}"
LENGTH = b"Content-Length: {length}\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def check_not_whole(path, got, ran, runs):
    if got.status == 503:
        # The replica rests after its answers.
        assert runs == 0
        return
    assert got.status == 502 or (got.status, got.whole) == (200, False), path
    assert 1 <= runs <= (2 if path in REPEATABLE else 1)


# Guards against a stream that looks complete although it holds no events, or ends within one.
@pytest.mark.parametrize(
    "text",
    [
        OK + b'Content-Type: application/json\r\nContent-Length: 13\r\n\r\n{"seat": "1a"}',
        OK + CHUNKED + b'd\r\n{"seat": "1a"}\r\n0\r\n\r\n',
        OK + b"Content-Length: 0\r\n\r\n",
        OK + CHUNKED + b"0\r\n\r\n",
        OK + b"\r\n",
        b"HTTP/1.1 204 No Content\r\n{fields}\r\n",
        OK + b"Content-Length: 21\r\n\r\nid: 0\ndata: piece 0 o",
        OK + CHUNKED + b"15\r\nid: 0\ndata: piece 0 o\r\n0\r\n\r\n",
        OK + CHUNKED + b"{chunk}10\r\nid: 8\ndata: more\n\r\n0\r\n\r\n",
        OK + b"\r\n{body}id: 8\ndata: more\n",
    ],
)
@pytest.mark.parametrize("end", [AnswerEnd.KEEP, AnswerEnd.CLOSE])
def test_an_answer_without_whole_events_is_no_stream(text, end):
    if end is AnswerEnd.KEEP and b"Content-Length" not in text and CHUNKED not in text:
        end = AnswerEnd.CLOSE
    play(RawAnswer(text, end), STREAMS, check_not_whole)


def check_events(path, got, ran, runs):
    assert (got.status, got.whole, runs) == (200, True, 1), path
    assert read_events(got.body) == read_events(ran[0].whole_body(got.request))


@pytest.mark.parametrize("framed", [LENGTH + b"{body}", CHUNKED + b"{chunk}0\r\n\r\n"])
@pytest.mark.parametrize("paths", [STREAMS, PLAIN])
def test_whole_events_are_whole_on_every_kind_of_route(framed, paths):
    check = check_events if paths is STREAMS else check_whole
    play(RawAnswer(OK + framed, AnswerEnd.KEEP), paths, check)


@pytest.mark.parametrize("framed", [LENGTH + b"{body}", CHUNKED + b"{chunk}0\r\n\r\n"])
def test_a_series_of_events_is_whole_on_a_plain_route(framed):
    head = OK + b"Content-Type: text/event-stream\r\n"
    play(RawAnswer(head + framed, AnswerEnd.KEEP), PLAIN, check_whole)


# Guards against a long answer, of which a part has been forwarded, that looks whole when it is cut.
@pytest.mark.parametrize("end", [AnswerEnd.CLOSE, AnswerEnd.RESET])
@pytest.mark.parametrize(
    "framing", [b"Content-Length: 500000\r\n\r\n", CHUNKED + b"100000\r\n", b"\r\n"]
)
def test_a_long_answer_that_is_cut_is_not_whole(framing, end):
    if framing == b"\r\n":
        end = AnswerEnd.RESET
    play(RawAnswer(OK + framing + b"z" * LONG_BYTES, end), PLAIN, check_not_whole, rounds=1)


# Far more than two replicas take, in seconds of virtual time.
LATE_S = 0.5
NO_STATUSES = [b"000", b"099", b"600", b"999"]


# Guards against a status outside of 100 to 599 that reaches the caller, or is taken for that of an
# interim answer, so that the caller waits for another one in vain.
@pytest.mark.parametrize("status", NO_STATUSES)
@pytest.mark.parametrize("end", [AnswerEnd.KEEP, AnswerEnd.CLOSE])
def test_an_answer_without_a_valid_status_is_none(status, end):
    head = b"HTTP/1.1 %b Odd\r\n{fields}" % status
    play(RawAnswer(head + LENGTH + b"{body}", end), PLAIN, check_no_success)
    play(RawAnswer(head + LENGTH + b"{body}", end), STREAMS, check_not_whole)


# Guards against waiting for a replica without valid answers where another one could serve.
@pytest.mark.parametrize("status", NO_STATUSES)
def test_another_replica_serves_what_got_an_answer_without_a_valid_status(status):
    async def check(fleet):
        odd = fleet.seats[0]
        head = b"HTTP/1.1 %b Odd\r\n{fields}" % status
        odd.faults.raw_answer = RawAnswer(head + LENGTH + b"{body}", AnswerEnd.KEEP)
        for _ in range(12):
            got = await fleet.send_request(0, "/find/1", until_whole=True)
            assert (got.status, got.whole) == (200, True)
            assert got.took_s < LATE_S
        assert odd.runs

    run_check(check, domains=("a", "b", "c"), replicas=3)
