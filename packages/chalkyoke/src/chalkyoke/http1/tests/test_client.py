import asyncio

import pytest
from chalkyoke.http1.client import BreakReason, ClientConnection

from .transports import KeptTransport

MINE = b"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"
OTHERS = b"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad"


class Kept:
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


def exchange(*pieces, lost=None, is_lost=False):
    async def main():
        connection, transport, sink = ClientConnection(), KeptTransport(), Kept()
        connection.connection_made(transport)
        connection.send(
            b"GET / HTTP/1.1\r\n\r\n", sink, lambda headers: (b"Id", b"mine") in headers
        )
        for piece in pieces:
            connection.data_received(piece)
        if is_lost:
            connection.connection_lost(lost)
        return connection, transport, sink

    return asyncio.run(main())


def test_an_answer_is_taken_whole_however_it_is_cut():
    connection, _, sink = exchange(*(MINE[i : i + 1] for i in range(len(MINE))))
    assert (sink.body, sink.ended, sink.broken) == (b"ok", 1, [])
    assert connection.reusable


def test_an_answer_to_another_request_is_skipped():
    connection, _, sink = exchange(OTHERS + MINE)
    assert (sink.head.status, sink.body, sink.ended) == (200, b"ok", 1)
    assert connection.reusable


def test_only_an_answer_to_another_request_is_no_answer():
    _, _, sink = exchange(OTHERS, is_lost=True)
    assert (sink.body, sink.ended, sink.broken) == (b"", 0, [BreakReason.CLOSED])


@pytest.mark.parametrize("extra", [OTHERS, MINE, b"\x00\x01 no answer", b"HTTP/1.1 200 OK\r\n"])
def test_bytes_after_an_answer_end_the_connection_and_not_the_answer(extra):
    connection, _, sink = exchange(MINE + extra)
    assert (sink.body, sink.ended, sink.broken) == (b"ok", 1, [])
    assert not connection.reusable


def test_bytes_that_come_at_rest_end_the_connection():
    connection, transport, sink = exchange(MINE, OTHERS)
    assert transport.aborted and not connection.reusable
    assert sink.body == b"ok"


def test_bytes_that_are_no_answer_break_the_exchange():
    connection, transport, sink = exchange(b"\x00\x01\x02\x03\r\n\r\n")
    assert sink.broken == [BreakReason.GARBLED] and transport.aborted
    assert not connection.reusable


@pytest.mark.parametrize(
    ("lost", "ended", "broken"),
    [(None, 1, []), (ConnectionResetError(), 0, [BreakReason.RESET])],
)
def test_an_answer_without_a_length_ends_with_its_connection_but_not_with_a_reset(
    lost, ended, broken
):
    head = b"HTTP/1.1 200 OK\r\nId: mine\r\n\r\nall of it"
    _, _, sink = exchange(head, lost=lost, is_lost=True)
    assert (sink.body, sink.ended, sink.broken) == (b"all of it", ended, broken)


def test_an_answer_that_is_cut_short_is_broken():
    _, _, sink = exchange(MINE[:-1], is_lost=True)
    assert (sink.ended, sink.broken) == (0, [BreakReason.CLOSED])


def test_an_answer_that_announces_the_end_is_the_last_on_its_connection():
    last = MINE.replace(b"Id: mine\r\n", b"Id: mine\r\nConnection: close\r\n")
    connection, _, sink = exchange(last)
    assert sink.ended == 1 and not connection.reusable


def test_the_time_that_a_connection_is_kept_is_read():
    kept = MINE.replace(b"Id: mine\r\n", b"Id: mine\r\nKeep-Alive: timeout=7, max=9\r\n")
    connection, _, _ = exchange(kept)
    assert connection.keep_alive_s == 7


def test_an_interim_answer_is_not_the_answer():
    _, _, sink = exchange(b"HTTP/1.1 103 Early Hints\r\nId: mine\r\n\r\n" + MINE)
    assert (sink.head.status, sink.ended) == (200, 1)
