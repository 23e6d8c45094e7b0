"""
tests.test_odd_answers

Answers in framings that replicas use seldom, through whole nodes: what is whole arrives whole, and
whatever is not certain reaches no caller as a success.
"""

import pytest
from chalkyoke_fakes.rawanswers import AnswerEnd, RawAnswer

from tests.gatewayfleet import run_check

PLAIN = ("/book/1", "/find/1")
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
