"""Whatever an upstream sends besides its answers, a caller gets its own answer or none."""

import asyncio
from typing import NamedTuple

from chalkyoke.http1.client import AnswerMatch, ClientConnection
from chalkyoke.http1.pool import ConnectionPool
from hypothesis import given, settings
from hypothesis import strategies as st

from .test_client import RecordingSink
from .test_pool import ADDRESS, InstantDialer
from .transports import RecordingTransport

STATUSES = {
    200: b"OK",
    204: b"No Content",
    404: b"Not Found",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    500: b"Internal Server Error",
    503: b"",
}
MAX_EXCHANGES = 4


class Answer(NamedTuple):
    """One answer of an upstream; its body names its request."""

    status: int
    number: int
    size: int
    chunked: bool
    id_first: bool
    marker: bytes = b";"

    @property
    def body(self):
        text = b"%d%b" % (self.number, self.marker)
        return b"" if self.status == 204 else text * self.size

    def encode(self):
        fields = [b"Id: %d" % self.number, b"Date: now"]
        body = self.body
        if self.status != 204:
            fields.append(b"Transfer-Encoding: chunked" if self.chunked else self._length())
            body = self._chunks() if self.chunked else body
        if not self.id_first:
            fields.reverse()
        line = b"HTTP/1.1 %d %b" % (self.status, STATUSES[self.status])
        return b"\r\n".join([line, *fields, b"", body])

    def _length(self):
        return b"Content-Length: %d" % len(self.body)

    def _chunks(self):
        chunk = b"%x\r\n%b\r\n" % (len(self.body), self.body) if self.body else b""
        return chunk + b"0\r\n\r\n"


class Extra(NamedTuple):
    """A copy of an earlier answer, broken off after some bytes, or whole."""

    of: int
    cut: int | None


class Turn(NamedTuple):
    """What an upstream sends in one exchange.

    :param before: sent before the answer.
    :param pieces: number of pieces in which all of it arrives.
    """

    answer: Answer
    before: list[Extra]
    pieces: int


answers = st.builds(
    Answer,
    st.sampled_from(sorted(STATUSES)),
    st.just(0),
    st.integers(0, 40),
    st.booleans(),
    st.booleans(),
)
# Status lines have up to 34 bytes, heads up to 90.
cuts = st.one_of(st.none(), st.integers(1, 34), st.integers(35, 100))
extras = st.lists(st.builds(Extra, st.integers(0, MAX_EXCHANGES), cuts), max_size=2)
turns = st.lists(
    st.builds(Turn, answers, extras, st.integers(1, 9)), min_size=2, max_size=MAX_EXCHANGES
)


def match_number(number):
    own = b"%d" % number

    def match(headers):
        found = {value for name, value in headers if name == b"Id"}
        if len(found) > 1:
            return AnswerMatch.INVALID
        return AnswerMatch.OWN if found == {own} else AnswerMatch.OTHER

    return match


def encode_extras(found, earlier):
    """Encode copies of earlier answers; without earlier answers there are none."""
    parts = []
    for each in found if earlier else ():
        copy = earlier[each.of % len(earlier)].encode()
        parts.append(copy[: each.cut])
    return b"".join(parts)


def are_whole(found):
    return all(each.cut is None for each in found)


def deliver(connection, data, pieces):
    size = max(1, -(-len(data) // pieces))
    for start in range(0, len(data), size):
        if connection.transport.closed:
            return
        connection.data_received(data[start : start + size])


def play(drawn, after):
    """Play the exchanges of one connection, until it can't be used again.

    :param after: sent behind the last answer.
    """
    connection, earlier = ClientConnection(), []
    connection.connection_made(RecordingTransport())
    for number, turn in enumerate(drawn):
        if not connection.reusable:
            return
        answer = turn.answer._replace(number=number)
        sink = RecordingSink()
        connection.send(b"request", sink, match_number(number), request_id=f"{number}")
        data = encode_extras(turn.before, earlier) + answer.encode()
        earlier.append(answer)
        if turn is drawn[-1]:
            data += encode_extras(after, earlier)
        deliver(connection, data, turn.pieces)
        check_answer(sink, answer)
        if are_whole(turn.before):
            assert sink.ended == 1


def check_answer(sink, answer):
    """Check that the caller has got the answer, a part of it that does not look whole, or none."""
    assert sink.ended + len(sink.broken) <= 1
    if sink.head is not None:
        assert sink.head.status == answer.status
        assert sink.head.reason == STATUSES[answer.status]
    assert answer.body.startswith(sink.body)
    if sink.ended:
        assert sink.head is not None and sink.body == answer.body


@given(turns, extras)
@settings(max_examples=300)
def test_a_caller_gets_its_own_answer_or_none(drawn, after):
    async def main():
        play(drawn, after)

    asyncio.run(main())


class Request(NamedTuple):
    """One request over a pool, and the answers of its connection that come once more.

    :param request_id: None for an upstream whose answers name no request.
    :param waiting: indices of earlier answers that come between the request and its answer.
    :param after: indices of those that come when the connection is idle again.
    """

    request_id: str | None
    answer: Answer
    waiting: list[int]
    after: list[int]


copies = st.lists(st.integers(0, MAX_EXCHANGES), max_size=2)
requests = st.lists(
    st.builds(Request, st.sampled_from(["0", "1", None]), answers, copies, copies),
    min_size=2,
    max_size=2 * MAX_EXCHANGES,
)


async def play_over_pool(drawn):
    """Play requests with equal, different and absent ids, one after the other."""
    pool, sent = ConnectionPool(dialer=InstantDialer()), {}
    for number, each in enumerate(drawn):
        connection = await pool.connect(
            *ADDRESS, limit=9, timeout_s=0.1, fresh_s=9.0, request_id=each.request_id
        )
        earlier = sent.setdefault(connection, [])
        name = each.request_id
        match = match_number(int(name)) if name else lambda headers: AnswerMatch.OWN
        # The body names the request, as its id may be that of others.
        answer = each.answer._replace(number=int(name or 0), marker=b"%d," % number)
        sink = RecordingSink()
        connection.send(b"request", sink, match, request_id=name)
        for copied in each.waiting if earlier else ():
            connection.data_received(earlier[copied % len(earlier)])
        connection.data_received(answer.encode())
        earlier.append(answer.encode())
        check_answer(sink, answer)
        assert sink.ended == 1
        pool.release(*ADDRESS, connection)
        for copied in each.after:
            if not connection.transport.closed:
                connection.data_received(earlier[copied % len(earlier)])


@given(requests)
@settings(max_examples=300)
def test_a_request_with_any_id_or_none_gets_its_own_answer(drawn):
    """Guards against answers to other requests that have the same id, or that name no request."""
    asyncio.run(play_over_pool(drawn))
