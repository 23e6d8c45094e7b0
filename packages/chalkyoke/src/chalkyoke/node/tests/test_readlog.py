"""Tests of the log of requests that are refused before they have been read."""

import asyncio
import contextlib

import pytest
from chalkyoke.administration.metrics import Metrics
from chalkyoke.http1.incoming import ServerLimits
from chalkyoke.http1.lingering import MAX_LINGER_S
from chalkyoke.http1.messages import find_header
from chalkyoke.http1.tests.transports import RecordingTransport
from chalkyoke.node import readlog
from chalkyoke.node.listener import Listener
from chalkyoke.node.readlog import ReadLog

from tests import virtual

LIMITS = ServerLimits(header_bytes=400, body_bytes=50, header_timeout_s=0.5)
HEAD = b"PUT /a HTTP/1.1\r\nHost: h\r\nId: r-1\r\n"
REFUSED = {
    400: b"PUT /a HTTP/1.1\r\nId: r-1\r\n\r\n",
    408: HEAD,
    413: HEAD + b"Content-Length: 51\r\n\r\n",
    431: HEAD + b"Name: " + b"v" * 500,
}
ENDLESS = HEAD + b"Transfer-Encoding: chunked\r\n\r\nffff\r\n" + b"x" * 51


class Lines:
    """Records log lines in place of the logger."""

    def __init__(self):
        self.found = []

    def notice(self, event, **fields):
        self.found.append({"event": event, **fields})


@contextlib.contextmanager
def open_connection(monkeypatch):
    """Open a connection; yield it with its transport, the metrics and the log lines."""
    metrics, lines = Metrics(), Lines()
    monkeypatch.setattr(readlog, "log", lines)
    reports = ReadLog(metrics, lambda headers: (find_header(headers, b"id") or b"").decode())
    listener = Listener("127.0.0.1:0", lambda *_: None, lambda: LIMITS, 100, None, reports)
    connection, transport = listener._make_connection(), RecordingTransport()
    connection.connection_made(transport)
    yield connection, transport, metrics, lines.found


@pytest.mark.parametrize("status", REFUSED)
def test_a_request_that_is_refused_before_its_end_leaves_one_line(status, monkeypatch):
    """Guards against requests that end by a limit of size or time and leave no trace."""

    async def check():
        with open_connection(monkeypatch) as (connection, transport, metrics, lines):
            connection.data_received(REFUSED[status])
            connection.data_received(b"x")
            await asyncio.sleep(1.0)
            assert transport.written.startswith(b"HTTP/1.1 %d " % status)
            (line,) = lines
            assert (line["event"], line["status"], line["target"]) == ("not_read", status, "/a")
            assert line["request"] == "r-1"
            assert metrics.counter_value("requests_not_read", status=str(status)) == 1

    virtual.run(check)


@pytest.mark.parametrize("cause", ["time", "reset"])
def test_a_caller_that_may_have_lost_its_answer_leaves_one_line(cause, monkeypatch):
    async def check():
        with open_connection(monkeypatch) as (connection, transport, metrics, lines):
            connection.data_received(ENDLESS)
            while cause == "time" and not transport.closed:
                connection.data_received(b"x")
                await asyncio.sleep(MAX_LINGER_S / 40)
            error = ConnectionResetError() if cause == "reset" else None
            connection.connection_lost(error)
            (line,) = [each for each in lines if each["event"] == "answer_lost"]
            assert (line["cause"], line["request"]) == (cause, "r-1")
            assert metrics.counter_value("answers_lost", cause=cause) == 1

    virtual.run(check)
