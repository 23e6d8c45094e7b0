import asyncio
import tracemalloc

import pytest
from chalkyoke.http1.client import (
    AnswerMatch,
    BoundedClientConnection,
    BreakReason,
    ClientConnection,
)
from chalkyoke.http1.upload import COPIED_BYTES, Upload
from hypothesis import given, settings
from hypothesis import strategies as st

from .transports import RecordingTransport

OWN_ANSWER = b"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"
OTHER_ANSWER = b"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad"


class RecordingSink:
    def __init__(self):
        self.head, self.body, self.ended, self.broken = None, b"", 0, []

    def answer_head(self, head):
        self.head = head

    def answer_data(self, data):
        self.body += data

    def answer_end(self):
        self.ended += 1

    def answer_broken(self, how):
        self.broken.append(how)


def match_own(headers):
    found = {value for name, value in headers if name == b"Id"}
    if len(found) > 1:
        return AnswerMatch.INVALID
    return AnswerMatch.OWN if found == {b"mine"} else AnswerMatch.OTHER


def exchange(*pieces, error=None, closes=False):
    async def main():
        connection, transport, sink = ClientConnection(), RecordingTransport(), RecordingSink()
        connection.connection_made(transport)
        connection.send(b"GET / HTTP/1.1\r\n\r\n", sink, match_own, request_id="mine")
        for piece in pieces:
            connection.data_received(piece)
        if closes:
            connection.connection_lost(error)
        return connection, transport, sink

    return asyncio.run(main())


def test_answer_is_complete_for_any_segmentation():
    connection, _, sink = exchange(*(OWN_ANSWER[i : i + 1] for i in range(len(OWN_ANSWER))))
    assert (sink.body, sink.ended, sink.broken) == (b"ok", 1, [])
    assert connection.reusable


def test_answer_to_another_request_is_skipped():
    connection, _, sink = exchange(OTHER_ANSWER + OWN_ANSWER)
    assert (sink.head.status, sink.body, sink.ended) == (200, b"ok", 1)
    assert connection.reusable


def test_exchange_breaks_when_only_another_requests_answer_arrives():
    _, _, sink = exchange(OTHER_ANSWER, closes=True)
    assert (sink.body, sink.ended, sink.broken) == (b"", 0, [BreakReason.CLOSED])


@pytest.mark.parametrize(
    "extra", [OTHER_ANSWER, OWN_ANSWER, b"\x00\x01 no answer", b"HTTP/1.1 200 OK\r\n"]
)
def test_bytes_after_an_answer_close_the_connection_and_keep_the_answer(extra):
    connection, _, sink = exchange(OWN_ANSWER + extra)
    assert (sink.body, sink.ended, sink.broken) == (b"ok", 1, [])
    assert not connection.reusable


def test_bytes_on_an_idle_connection_abort_it():
    connection, transport, sink = exchange(OWN_ANSWER, OTHER_ANSWER)
    assert transport.aborted and not connection.reusable
    assert sink.body == b"ok"


def test_malformed_answer_breaks_the_exchange():
    connection, transport, sink = exchange(b"\x00\x01\x02\x03\r\n\r\n")
    assert sink.broken == [BreakReason.GARBLED] and transport.aborted
    assert not connection.reusable


HEAD_OF_OTHER = b"HTTP/1.1 200 OK\r\nDate: now\r\nId: other\r\nContent-Length: 2\r\n"
FAILURE = b"HTTP/1.1 500 Internal Server Error\r\nId: mine\r\nContent-Length: 2\r\n\r\nno"


# Guards against a failure that reached its caller as a success, because a part of an earlier answer
# and the failure were read as one head.
@pytest.mark.parametrize("cut", range(1, len(HEAD_OF_OTHER)))
def test_a_part_of_an_answer_and_the_next_answer_are_not_read_as_one(cut):
    connection, transport, sink = exchange(HEAD_OF_OTHER[:cut] + FAILURE)
    assert (sink.head, sink.ended, sink.broken) == (None, 0, [BreakReason.GARBLED])
    assert transport.aborted and not connection.reusable


def test_a_part_of_an_interim_answer_and_the_next_answer_are_not_read_as_one():
    _, _, sink = exchange(b"HTTP/1.1 103 Early" + FAILURE)
    assert (sink.head, sink.broken) == (None, [BreakReason.GARBLED])


def test_an_answer_that_its_matcher_calls_invalid_breaks_the_exchange():
    connection, transport, sink = exchange(
        b"HTTP/1.1 200 OK\r\nId: other\r\nId: mine\r\nContent-Length: 0\r\n\r\n"
    )
    assert (sink.head, sink.broken) == (None, [BreakReason.GARBLED])
    assert transport.aborted and not connection.reusable


@pytest.mark.parametrize("value", [b"HTTP/1.1 proxy", b"HTTP/1.1", b"see HTTP/2", b"HTTP/1.1 2000"])
def test_a_header_that_names_the_protocol_is_no_second_status_line(value):
    _, _, sink = exchange(OWN_ANSWER.replace(b"Id:", b"Via: %b\r\nId:" % value))
    assert (sink.ended, sink.broken) == (1, [])


@pytest.mark.parametrize(
    ("error", "ended", "broken"),
    [(None, 1, []), (ConnectionResetError(), 0, [BreakReason.RESET])],
)
def test_answer_without_length_is_complete_after_a_close_but_not_after_a_reset(
    error, ended, broken
):
    head = b"HTTP/1.1 200 OK\r\nId: mine\r\n\r\nall of it"
    _, _, sink = exchange(head, error=error, closes=True)
    assert (sink.body, sink.ended, sink.broken) == (b"all of it", ended, broken)


def test_truncated_answer_is_broken():
    _, _, sink = exchange(OWN_ANSWER[:-1], closes=True)
    assert (sink.ended, sink.broken) == (0, [BreakReason.CLOSED])


def test_connection_close_header_ends_the_reuse_of_the_connection():
    last = OWN_ANSWER.replace(b"Id: mine\r\n", b"Id: mine\r\nConnection: close\r\n")
    connection, _, sink = exchange(last)
    assert sink.ended == 1 and not connection.reusable


def test_keep_alive_timeout_is_parsed():
    kept = OWN_ANSWER.replace(b"Id: mine\r\n", b"Id: mine\r\nKeep-Alive: timeout=7, max=9\r\n")
    connection, _, _ = exchange(kept)
    assert connection.keep_alive_s == 7


def test_interim_answer_is_skipped():
    _, _, sink = exchange(b"HTTP/1.1 103 Early Hints\r\nId: mine\r\n\r\n" + OWN_ANSWER)
    assert (sink.head.status, sink.ended) == (200, 1)


class SlowUpstream(RecordingTransport):
    """A transport whose upstream takes nothing until ``drain``."""

    def write(self, data):
        super().write(data)
        self.unsent += len(data)
        self.connection.pause_writing()

    def drain(self):
        self.unsent = 0
        self.connection.resume_writing()


def upload_to(transport, body):
    connection = transport.connection = ClientConnection()
    connection.connection_made(transport)
    sink = RecordingSink()
    connection.send(b"head", sink, lambda headers: AnswerMatch.OWN, upload=Upload(body))
    return connection, sink


def test_a_body_is_copied_in_pieces_while_the_upstream_reads_slowly():
    async def main():
        body, transport = bytes(range(256)) * 1000, SlowUpstream()
        upload_to(transport, body)
        assert transport.unsent <= COPIED_BYTES
        while len(transport.written) < len(body) + 4:
            transport.drain()
            assert transport.unsent <= COPIED_BYTES
        assert transport.written == b"head" + body

    asyncio.run(main())


@pytest.mark.parametrize("size", [100_000, 10], ids=["unwritten", "in-the-transport"])
def test_a_connection_with_an_unfinished_body_carries_no_other_request(size):
    """The rest of the body would be read as the next request, or delay it."""

    async def main():
        transport = SlowUpstream()
        connection, sink = upload_to(transport, b"x" * size)
        connection.data_received(OWN_ANSWER)
        sent = len(transport.written)
        transport.drain()
        assert sink.ended == 1 and not connection.reusable and transport.aborted
        assert len(transport.written) == sent

    asyncio.run(main())


def test_a_bounded_connection_reads_answers_in_small_parts():
    async def main():
        connection, sink = BoundedClientConnection(16), RecordingSink()
        connection.connection_made(RecordingTransport())
        connection.send(b"GET", sink, lambda headers: AnswerMatch.OWN)
        left = OWN_ANSWER
        while left:
            buffer = connection.get_buffer(-1)
            part, left = left[: len(buffer)], left[len(buffer) :]
            buffer[: len(part)] = part
            connection.buffer_updated(len(part))
        assert (sink.body, sink.ended) == (b"ok", 1)

    asyncio.run(main())


HEAD_LIMIT_BYTES = 65_536
SKIPPED_LIMIT_BYTES = 1_048_576
# Bytes that may come beyond the limit before the connection ends: what is parsed at once.
SLACK_BYTES = 65_536 + 4_096
ENDLESS_BYTES = 400_000
LARGE_READ_BYTES = 4_000_000
MAX_PEAK_BYTES = 2_000_000
CHUNKED = b"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
# What comes before the endless part, and the part that repeats without end.
ENDLESS_PLACES = {
    "line breaks before an answer": (b"", b"\r\n"),
    "reason phrase": (b"HTTP/1.1 200 ", b"z"),
    "header name": (b"HTTP/1.1 200 OK\r\nId: mine\r\n", b"z"),
    "header value": (b"HTTP/1.1 200 OK\r\nId: mine\r\nName: ", b"z"),
    "headers": (b"HTTP/1.1 200 OK\r\nId: mine\r\n", b"Name: value\r\n"),
    "head of an interim answer": (b"HTTP/1.1 103 Early Hints\r\nName: ", b"z"),
    "head after an interim answer": (b"HTTP/1.1 100 OK\r\n\r\nHTTP/1.1 200 OK\r\nName: ", b"z"),
    "head after another answer": (OTHER_ANSWER + b"HTTP/1.1 200 OK\r\nName: ", b"z"),
    "chunk extension": (CHUNKED + b"2;", b"z"),
    "later chunk extension": (CHUNKED + b"2\r\nok\r\n2;", b"z"),
    "trailer value": (CHUNKED + b"2\r\nok\r\n0\r\nName: ", b"z"),
    "trailers": (CHUNKED + b"2\r\nok\r\n0\r\n", b"Name: value\r\n"),
}


def feed_endlessly(begin, endless, piece_bytes, endless_bytes=ENDLESS_BYTES):
    """Feed an answer without end until its connection ends.

    :return: the sink, the transport, and the bytes of the endless part that were fed.
    """

    async def main():
        connection, transport, sink = ClientConnection(), RecordingTransport(), RecordingSink()
        connection.connection_made(transport)
        connection.send(b"GET", sink, match_own)
        data = begin + endless * (endless_bytes // len(endless))
        fed = 0
        while fed < len(data) and not transport.closed:
            connection.data_received(data[fed : fed + piece_bytes])
            fed += piece_bytes
        return sink, transport, fed - len(begin)

    return asyncio.run(main())


@pytest.mark.parametrize("place", ENDLESS_PLACES)
@given(piece_bytes=st.integers(100, 262_144))
@settings(deadline=None, max_examples=10)
def test_a_head_without_end_breaks_the_exchange_at_its_limit(place, piece_bytes):
    """Guards against answers without end that are kept until the request's deadline."""
    sink, transport, fed = feed_endlessly(*ENDLESS_PLACES[place], piece_bytes)
    assert sink.broken == [BreakReason.OVERSIZED] and transport.aborted
    assert not sink.ended
    assert fed <= HEAD_LIMIT_BYTES + SLACK_BYTES + piece_bytes


@pytest.mark.parametrize("place", ENDLESS_PLACES)
def test_the_memory_of_a_head_without_end_is_bounded(place):
    """Guards against a parser that gathers one large read of a value or a reason phrase."""
    begin, endless = ENDLESS_PLACES[place]
    data = begin + endless * (LARGE_READ_BYTES // len(endless))

    async def main():
        connection, sink = ClientConnection(), RecordingSink()
        connection.connection_made(RecordingTransport())
        connection.send(b"GET", sink, match_own)
        tracemalloc.start()
        try:
            connection.data_received(data)
            return sink.broken, tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()

    broken, peak_bytes = asyncio.run(main())
    assert broken == [BreakReason.OVERSIZED]
    assert peak_bytes <= MAX_PEAK_BYTES


@given(
    value_bytes=st.integers(0, HEAD_LIMIT_BYTES - 200),
    piece_bytes=st.sampled_from((100, 1_460, 65_536, 262_144)),
)
@settings(deadline=None, max_examples=30)
def test_an_answer_with_a_head_below_the_limit_is_complete(value_bytes, piece_bytes):
    large = b"Name: " + b"z" * value_bytes + b"\r\nId: mine"
    data = OWN_ANSWER.replace(b"Id: mine", large)
    pieces = [data[at : at + piece_bytes] for at in range(0, len(data), piece_bytes)]
    connection, _, sink = exchange(*pieces)
    assert (sink.body, sink.ended, sink.broken) == (b"ok", 1, [])
    assert connection.reusable


def test_many_small_chunks_are_no_head_without_end():
    data = CHUNKED + b"1\r\nz\r\n" * 50_000 + b"0\r\n\r\n"
    _, _, sink = exchange(data)
    assert (len(sink.body), sink.ended, sink.broken) == (50_000, 1, [])


UNLIMITED_BEGIN = b"HTTP/1.1 200 OK\r\nId: other\r\n"
# What precedes the awaited answer without end: what comes first, and the part that repeats.
ENDLESS_BEFORE_ANSWER = {
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\nName: value\r\n\r\n"),
    "other answers": (b"", OTHER_ANSWER),
    "body of another answer": (UNLIMITED_BEGIN + b"\r\n", b"z"),
    "long body of another answer": (UNLIMITED_BEGIN + b"Content-Length: 99999999\r\n\r\n", b"z"),
    "chunks of another answer": (
        UNLIMITED_BEGIN + b"Transfer-Encoding: chunked\r\n\r\n",
        b"2\r\nzz\r\n",
    ),
}


@pytest.mark.parametrize("place", ENDLESS_BEFORE_ANSWER)
@given(piece_bytes=st.integers(500, 262_144))
@settings(deadline=None, max_examples=6)
def test_skipped_answers_without_end_break_the_exchange_at_their_limit(place, piece_bytes):
    """Guards against an exchange that skips until its deadline what is no answer to its request."""
    begin, repeated = ENDLESS_BEFORE_ANSWER[place]
    sink, transport, fed = feed_endlessly(begin, repeated, piece_bytes, 4 * SKIPPED_LIMIT_BYTES)
    assert sink.broken == [BreakReason.OVERSIZED] and transport.aborted
    assert sink.head is None and not sink.ended
    assert fed <= SKIPPED_LIMIT_BYTES + SLACK_BYTES + piece_bytes


def test_an_answer_after_skipped_answers_below_the_limit_is_complete():
    other = OTHER_ANSWER * (SKIPPED_LIMIT_BYTES // len(OTHER_ANSWER) - 10)
    connection, _, sink = exchange(other + OWN_ANSWER)
    assert (sink.body, sink.ended, sink.broken) == (b"ok", 1, [])
    assert connection.reusable


def test_the_limit_of_skipped_answers_counts_for_one_request():
    """Guards against a limit that fills up over the requests of a kept connection."""
    half = OTHER_ANSWER * (SKIPPED_LIMIT_BYTES // len(OTHER_ANSWER) // 2)

    async def main():
        connection = ClientConnection()
        connection.connection_made(RecordingTransport())
        for number in range(4):
            sink = RecordingSink()
            connection.send(b"GET", sink, match_own, request_id=f"{number}")
            connection.data_received(half + OWN_ANSWER)
            assert (sink.ended, sink.broken) == (1, [])
        assert connection.reusable

    asyncio.run(main())


def test_the_body_of_the_answer_in_progress_has_no_such_limit():
    body_bytes = 3 * SKIPPED_LIMIT_BYTES
    head = b"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: %d\r\n\r\n" % body_bytes
    _, _, sink = exchange(head + b"z" * body_bytes)
    assert (len(sink.body), sink.ended, sink.broken) == (body_bytes, 1, [])


def test_trailers_of_an_answer_change_nothing_in_its_head():
    """Guards against headers of an answer that change after its head was forwarded or judged."""

    async def main():
        connection, sink = ClientConnection(), RecordingSink()
        connection.connection_made(RecordingTransport())
        connection.send(b"GET", sink, match_own, request_id="mine")
        connection.data_received(CHUNKED + b"2\r\nok\r\n0\r\nConnection: close\r\n\r\n")
        assert (sink.body, sink.ended) == (b"ok", 1)
        assert connection.reusable

    asyncio.run(main())
