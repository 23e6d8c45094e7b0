"""Answers that are cut off after any number of their bytes, by a close or a reset."""

import asyncio
import functools
from typing import NamedTuple

import pytest
from chalkyoke.http1.client import BreakReason, ClientConnection
from hypothesis import given, settings
from hypothesis import strategies as st

from .test_client import RecordingSink, match_own
from .transports import RecordingTransport

BODY = b"a body"
OK = b"HTTP/1.1 200 OK\r\n"
OLD = b"HTTP/1.0 200 OK\r\n"
FIELDS = b"Id: mine\r\nServer-Stamp: 3e1b.07\r\n"
LENGTH = b"Content-Length: 6\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"2\r\na \r\n4;name=value\r\nbody\r\n0\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: mine\r\nLink: </a>\r\n\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad"
# Sound answers, each with its body.
ANSWERS = {
    "length": (OK + FIELDS + LENGTH + b"\r\n" + BODY, BODY),
    "length first": (OK + LENGTH + FIELDS + b"\r\n" + BODY, BODY),
    "length of 0": (OK + FIELDS + b"Content-Length: 0\r\n\r\n", b""),
    "long length": (OK + FIELDS + b"Content-Length: 1234\r\n\r\n" + b"z" * 1234, b"z" * 1234),
    "chunks": (OK + FIELDS + CHUNKED + CHUNKS + b"\r\n", BODY),
    "no chunks": (OK + FIELDS + CHUNKED + b"0\r\n\r\n", b""),
    "trailers": (OK + FIELDS + CHUNKED + CHUNKS + b"Name: value\r\nOther: x\r\n\r\n", BODY),
    "interim": (INTERIM + OK + FIELDS + LENGTH + b"\r\n" + BODY, BODY),
    "after another answer": (OTHER + OK + FIELDS + LENGTH + b"\r\n" + BODY, BODY),
    "HTTP/1.0 length": (OLD + FIELDS + LENGTH + b"\r\n" + BODY, BODY),
    "HTTP/1.0 keep-alive": (OLD + FIELDS + LENGTH + b"Connection: keep-alive\r\n\r\n" + BODY, BODY),
    "204": (b"HTTP/1.1 204 No Content\r\n" + FIELDS + b"\r\n", b""),
    "304": (b"HTTP/1.1 304 Not Modified\r\n" + FIELDS + LENGTH + b"\r\n", b""),
    "404": (b"HTTP/1.1 404 Not Found\r\n" + FIELDS + LENGTH + b"\r\n" + BODY, BODY),
    "no reason": (b"HTTP/1.1 200\r\n" + FIELDS + LENGTH + b"\r\n" + BODY, BODY),
}
# Sound answers that end with their connection, up to the end of their head.
UNFRAMED_HEADS = {
    "no framing": OK + FIELDS + b"\r\n",
    "close": OK + FIELDS + b"Connection: close\r\n\r\n",
    "HTTP/1.0": OLD + FIELDS + b"\r\n",
    "HTTP/1.0 keep-alive": OLD + FIELDS + b"Connection: keep-alive\r\n\r\n",
    "interim": INTERIM + OK + FIELDS + b"\r\n",
}
RESET = ConnectionResetError("reset by peer")
REASONS = {None: BreakReason.CLOSED, RESET: BreakReason.RESET}
ends = pytest.mark.parametrize("error", REASONS, ids=["close", "reset"])


class Exchange(NamedTuple):
    """One exchange after its connection was lost."""

    connection: ClientConnection
    sink: RecordingSink


def receive(pieces, error, *, via="", bodiless=False):
    """Receive pieces of an answer in the running loop, then lose the connection.

    :param via: host through which the connection passes, if any.
    """
    connection, transport, sink = ClientConnection(), RecordingTransport(), RecordingSink()
    connection.connection_made(transport)
    connection.via = via
    connection.send(b"request", sink, match_own, request_id="mine", bodiless=bodiless)
    for piece in pieces:
        connection.data_received(piece)
    connection.connection_lost(error)
    return Exchange(connection, sink)


def in_loop(check):
    """Run a test in an event loop."""

    @functools.wraps(check)
    def run(*args, **fixtures):
        async def main():
            check(*args, **fixtures)

        asyncio.run(main())

    return run


def check_broken(found, error, body=b""):
    """Check that an exchange broke, after a part of the body at most."""
    assert (found.sink.ended, found.sink.broken) == (0, [REASONS[error]])
    assert body.startswith(found.sink.body)
    assert not found.connection.reusable


# Guards against a part of an answer that is taken for the whole, as by a reader that ends a head, a
# length or a chunk where the connection ends.
@ends
@pytest.mark.parametrize("name", ANSWERS)
@in_loop
def test_an_answer_that_is_cut_after_any_byte_is_broken(name, error):
    data, body = ANSWERS[name]
    for cut in range(len(data)):
        check_broken(receive([data[:cut]], error), error, body)
    whole = receive([data], error)
    assert (whole.sink.body, whole.sink.ended, whole.sink.broken) == (body, 1, [])


@ends
@pytest.mark.parametrize("via", ["", "n2"], ids=["direct", "tunnel"])
@pytest.mark.parametrize("name", UNFRAMED_HEADS)
@in_loop
def test_an_answer_that_ends_with_its_connection_and_is_cut_in_its_head_is_broken(name, via, error):
    head = UNFRAMED_HEADS[name]
    for cut in range(len(head)):
        check_broken(receive([head[:cut]], error, via=via), error)


# A close is the end of such an answer, unless another host may have made it.
@pytest.mark.parametrize(("via", "error"), [("", RESET), ("n2", None), ("n2", RESET)])
@pytest.mark.parametrize("name", UNFRAMED_HEADS)
@in_loop
def test_only_a_close_by_the_upstream_itself_ends_an_answer_without_a_length(name, via, error):
    head = UNFRAMED_HEADS[name]
    for cut in range(len(BODY) + 1):
        check_broken(receive([head + BODY[:cut]], error, via=via), error, BODY)
    whole = receive([head + BODY], None).sink
    assert (whole.body, whole.ended, whole.broken) == (BODY, 1, [])


framings = st.sampled_from(["length", "chunks", "unframed"])
values = st.text("abcXYZ 0123456789;=/.", max_size=30).map(lambda text: text.strip().encode())
names = st.text("abcdefgh", min_size=1, max_size=9).map(lambda text: b"X-" + text.encode())


class Drawn(NamedTuple):
    """An answer with any status, headers and body."""

    status: int
    version: bytes
    framing: str
    headers: list[tuple[bytes, bytes]]
    chunks: list[bytes]
    trailers: list[tuple[bytes, bytes]]
    interims: int
    bodiless: bool

    @property
    def has_body(self):
        return not self.bodiless and self.status not in (204, 304)

    @property
    def body(self):
        return b"".join(self.chunks) if self.has_body else b""

    @property
    def is_ended_by_close(self):
        return self.framing == "unframed" and self.has_body

    def encode(self):
        lines = [b"HTTP/%b %d Reason" % (self.version, self.status), b"Id: mine"]
        lines += [b"%b: %b" % pair for pair in self.headers]
        if self.framing == "length":
            lines.append(b"Content-Length: %d" % len(b"".join(self.chunks)))
        elif self.framing == "chunks":
            lines.append(b"Transfer-Encoding: chunked")
        body = b"".join(self._encode_body()) if self.has_body else b""
        return INTERIM * self.interims + b"\r\n".join([*lines, b"", body])

    def _encode_body(self):
        if self.framing != "chunks":
            yield from self.chunks
            return
        for each in self.chunks:
            if each:
                yield b"%x\r\n%b\r\n" % (len(each), each)
        yield b"0\r\n"
        for name, value in self.trailers:
            yield b"%b: %b\r\n" % (name, value)
        yield b"\r\n"


fields = st.lists(st.tuples(names, values), max_size=3)
drawn_answers = st.builds(
    Drawn,
    st.sampled_from([200, 201, 204, 206, 302, 304, 404, 500, 503]),
    st.sampled_from([b"1.1", b"1.0"]),
    framings,
    fields,
    st.lists(st.binary(max_size=40), max_size=4),
    fields,
    st.integers(0, 2),
    st.booleans(),
)


@given(drawn_answers, st.integers(1, 50))
@settings(max_examples=100, deadline=None)
@in_loop
def test_any_answer_that_is_cut_after_any_byte_is_broken(answer, piece_bytes):
    data = answer.encode()
    for error in REASONS:
        for cut in range(len(data) + 1):
            pieces = [data[at : min(cut, at + piece_bytes)] for at in range(0, cut, piece_bytes)]
            check_cut(answer, receive(pieces, error, bodiless=answer.bodiless), cut, error)


def check_cut(answer, found, cut, error):
    data, sink = answer.encode(), found.sink
    assert sink.ended + len(sink.broken) == 1
    assert answer.body.startswith(sink.body)
    if answer.is_ended_by_close:
        head_end = len(data) - len(answer.body)
        assert sink.ended == (cut >= head_end and error is None)
        assert not sink.ended or sink.body == data[head_end:cut]
        return
    assert sink.ended == (cut == len(data))
    if sink.ended:
        assert (sink.head.status, sink.body) == (answer.status, answer.body)
