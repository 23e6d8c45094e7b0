"""Answers of the store that are cut off after any number of their bytes, by a close or a reset.

Guards against a listing that looks empty or short, which would take replicas, hosts or the
configuration away, and against a write, a lease or a conflict that the store has not told.
"""

import asyncio

import pytest
from chalkyoke.http1.calls import HttpClient
from chalkyoke.http1.pool import ConnectionPool
from chalkyoke.http1.tests.test_calls import Server
from chalkyoke.platform.store import PlatformStore
from chalkyoke.storage.messages import (
    Changes,
    Conflict,
    HistoryLost,
    Item,
    LeaseGone,
    LeaseGranted,
    Listing,
    Removed,
    Unavailable,
    Written,
)

from tests import virtual

ITEM = b'{"key": "servers/a", "value": "e30=", "rev": 3, "made": 1, "lease": 0}'
LAST_ITEM = b'{"key": "servers/b", "value": "", "rev": 2}'
PAGE = b'{"items": [%b], "at": 4, "more": true}' % ITEM
LAST_PAGE = b'{"items": [%b], "at": 4}' % LAST_ITEM
EVENTS = b'{"events": [%b, {"key": "servers/b", "rev": 9, "gone": true}], "at": 9}' % ITEM
FIRST, LAST = Item("servers/a", b"{}", 3), Item("servers/b", b"", 2)
REASONS = {200: b"OK", 404: b"Not Found", 410: b"Gone", 412: b"Precondition Failed"}
# Each call, the status and the body of its answer, and what the call returns for the whole answer.
CALLS = {
    "listing": (lambda store: store.read("servers/"), 200, LAST_PAGE, Listing((LAST,), 4, 7)),
    "empty listing": (
        lambda store: store.read("servers/"),
        200,
        b'{"items": [], "at": 4}',
        Listing((), 4, 7),
    ),
    "changes": (
        lambda store: store.watch("servers/", 3, 1.0, 1.0),
        200,
        EVENTS,
        Changes((FIRST, Removed("servers/b", 9)), 9, 7),
    ),
    "history lost": (lambda store: store.watch("servers/", 3, 1.0, 1.0), 410, b"", HistoryLost()),
    "written": (lambda store: store.write("k", b"v"), 200, b'{"rev": 12}', Written(12, 7)),
    "conflict": (
        lambda store: store.write("k", b"v", expected=3),
        412,
        b'{"items": []}',
        Conflict(),
    ),
    "write without lease": (lambda store: store.write("k", b"v", lease=5), 404, b"", LeaseGone()),
    "lease": (
        lambda store: store.grant_lease(5.0),
        200,
        b'{"lease": 6, "ttl_ms": 5000}',
        LeaseGranted(6, 5.0, 7),
    ),
    "lease kept": (
        lambda store: store.renew_lease(6),
        200,
        b'{"ttl_ms": 5000}',
        LeaseGranted(6, 5.0, 7),
    ),
    "lease gone": (lambda store: store.renew_lease(6), 404, b"", LeaseGone()),
}
RESET = ConnectionResetError("reset by peer")
ends = pytest.mark.parametrize("error", [None, RESET], ids=["close", "reset"])


def encode(status, body, framing):
    lines = [b"HTTP/1.1 %d %b" % (status, REASONS[status]), b"Store-Era: 7"]
    if framing == "length":
        lines.append(b"Content-Length: %d" % len(body))
    elif framing == "chunks":
        lines.append(b"Transfer-Encoding: chunked")
        middle = len(body) // 2
        parts = [part for part in (body[:middle], body[middle:]) if part]
        body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
    return b"\r\n".join([*lines, b"", body])


class CuttingServer(Server):
    """Answers calls one after the other, then closes or resets their connections.

    :ivar answers: the bytes of the answers.
    """

    def __init__(self, answers, error):
        super().__init__()
        self.answers = list(answers)
        self._error = error

    def answer(self, connection, data):
        loop = asyncio.get_running_loop()
        loop.call_soon(connection.data_received, self.answers.pop(0))
        loop.call_soon(self._end, connection)

    def _end(self, connection):
        if not connection.transport.closed:
            connection.transport.closed = True
            connection.connection_lost(self._error)


def play_cuts(call, answers, error):
    """Make a call once for each number of bytes after which the last of its answers is cut.

    :return: what the calls return, by that number.
    """
    *before, last = answers

    async def main():
        found = []
        loop = asyncio.get_running_loop()
        for cut in range(len(last) + 1):
            server = CuttingServer([*before, last[:cut]], error)
            loop.create_connection = server.create_connection
            found.append(await call(PlatformStore(HttpClient(ConnectionPool(), "127.0.0.1:1"))))
        return found

    return virtual.run(main)


@ends
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("name", CALLS)
def test_a_call_whose_answer_is_cut_after_any_byte_fails(name, framing, error):
    call, status, body, whole = CALLS[name]
    found = play_cuts(call, [encode(status, body, framing)], error)
    assert found.pop() == whole
    for each in found:
        assert isinstance(each, Unavailable) and each.may_have_been_applied


# Without a length, a close may end an answer early, and only its body tells whether it is whole.
@ends
@pytest.mark.parametrize("name", CALLS)
def test_an_answer_that_ends_with_its_connection_is_whole_or_unavailable(name, error):
    call, status, body, whole = CALLS[name]
    answer = encode(status, body, "until close")
    found = play_cuts(call, [answer], error)
    if error is None:
        assert found[-1] == whole
    for cut, each in enumerate(found):
        is_told = error is None and (cut == len(answer) or status != 200)
        if is_told and cut >= len(answer) - len(body):
            assert each == whole
        else:
            assert isinstance(each, Unavailable) and each.may_have_been_applied


@ends
@pytest.mark.parametrize("framing", ["length", "chunks", "until close"])
def test_a_listing_whose_second_page_is_cut_is_unavailable(framing, error):
    """Guards against a listing that ends with its first page."""
    first, last = encode(200, PAGE, "length"), encode(200, LAST_PAGE, framing)
    found = play_cuts(lambda store: store.read("servers/"), [first, last], error)
    if framing != "until close" or error is None:
        assert found.pop() == Listing((FIRST, LAST), 4, 7)
    assert all(isinstance(each, Unavailable) for each in found)
