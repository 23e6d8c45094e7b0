"""Requests that offer another protocol: the offer is ignored, and the connection goes on."""

import pytest
from chalkyoke.http1.incoming import ServerLimits

from .test_server import Caller, run

LIMITS = ServerLimits(header_bytes=400, body_bytes=50, header_timeout_s=3.0, idle_timeout_s=5.0)
OFFERS = {
    "h2c": b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n",
    "websocket": b"Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n",
    "both": b"Connection: Upgrade\r\nUpgrade: h2c, websocket\r\n",
}
BODIES = {
    "no body": (b"", b""),
    "a length": (b"Content-Length: 5\r\n\r\nhello", b"hello"),
    "a length of 0": (b"Content-Length: 0\r\n\r\n", b""),
    "chunks": (b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", b"hello"),
    "trailers": (
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nName: value\r\n\r\n",
        b"hello",
    ),
}


def encode_request(target, offer, framing):
    method = b"POST" if framing else b"GET"
    head = b"%b %b HTTP/1.1\r\nHost: h\r\n%b" % (method, target, offer)
    return head + (framing or b"\r\n")


def targets_of(caller):
    return [request.target for request, _ in caller.requests]


# Guards against a second request on a connection that is never read, because the one before it
# offered another protocol, as some clients do by default.
@pytest.mark.parametrize("piece_bytes", [1, 7, 10_000])
@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("offer", OFFERS)
def test_requests_after_the_offer_of_an_upgrade_are_answered(offer, body, piece_bytes):
    framing, content = BODIES[body]

    async def check():
        caller = Caller(LIMITS)
        for number in range(3):
            data = encode_request(b"/%d" % number, OFFERS[offer], framing)
            for start in range(0, len(data), piece_bytes):
                await caller.send(data[start : start + piece_bytes])
            await caller.answer(number)
        assert targets_of(caller) == [b"/0", b"/1", b"/2"]
        assert [request.body for request, _ in caller.requests] == [content] * 3
        assert caller.transport.written.count(b"HTTP/1.1 200 ") == 3
        assert b"HTTP/1.1 101" not in caller.transport.written
        assert not caller.transport.closed

    run(check)


@pytest.mark.parametrize("piece_bytes", [1, 11, 64, 10_000])
@pytest.mark.parametrize("body", BODIES)
def test_pipelined_requests_after_the_offer_of_an_upgrade_are_answered(body, piece_bytes):
    """Guards against bytes that are lost behind an offer in the same read."""
    framing, content = BODIES[body]
    plain = encode_request(b"/plain", b"", framing)

    async def check():
        caller = Caller(LIMITS)
        data = encode_request(b"/offer", OFFERS["h2c"], framing)
        data = data + plain + data + data + plain
        for start in range(0, len(data), piece_bytes):
            await caller.send(data[start : start + piece_bytes])
        for number in range(5):
            await caller.answer(number)
        assert targets_of(caller) == [b"/offer", b"/plain", b"/offer", b"/offer", b"/plain"]
        assert [request.body for request, _ in caller.requests] == [content] * 5
        assert not caller.transport.closed

    run(check)


def test_an_offer_with_a_close_ends_the_connection_after_its_answer():
    async def check():
        caller = Caller(LIMITS)
        offer = b"Connection: Upgrade, close\r\nUpgrade: h2c\r\n"
        await caller.send(encode_request(b"/a", offer, b"") + encode_request(b"/b", b"", b""))
        await caller.answer(0)
        assert targets_of(caller) == [b"/a"]
        assert b"Connection: close" in caller.transport.written

    run(check)


def test_an_upgrade_header_that_the_connection_does_not_name_changes_nothing():
    async def check():
        caller = Caller(LIMITS)
        await caller.send(encode_request(b"/a", b"Upgrade: h2c\r\n", b"") * 2)
        assert len(caller.requests) == 1
        await caller.answer(0)
        assert len(caller.requests) == 2

    run(check)


# Guards against the preface of HTTP/2, without an answer to its offer, that is read as a request.
@pytest.mark.parametrize("offer", [b"", encode_request(b"/a", OFFERS["h2c"], b"")])
def test_the_preface_of_another_protocol_is_refused(offer):
    async def check():
        caller = Caller(LIMITS)
        await caller.send(offer + b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
        for number in range(len(caller.requests)):
            await caller.answer(number)
        assert b"HTTP/1.1 400 " in caller.transport.written
        assert targets_of(caller) in ([], [b"/a"])

    run(check)


@pytest.mark.parametrize("target", [b"h:443", b"/a", b"*"])
@pytest.mark.parametrize("piece_bytes", [1, 10_000])
def test_the_connect_method_is_refused(target, piece_bytes):
    """Guards against a tunnel through this host, whose bytes would be read as requests."""
    data = b"CONNECT %b HTTP/1.1\r\nHost: h\r\n\r\n" % target + encode_request(b"/b", b"", b"")

    async def check():
        caller = Caller(LIMITS)
        for start in range(0, len(data), piece_bytes):
            await caller.send(data[start : start + piece_bytes])
        assert caller.transport.written.startswith(b"HTTP/1.1 400 ")
        assert caller.transport.written.count(b"HTTP/1.1 ") == 1
        assert caller.requests == []

    run(check)


def test_a_request_that_is_refused_behind_an_offer_is_refused_in_its_turn():
    async def check():
        caller = Caller(LIMITS)
        await caller.send(encode_request(b"/a", OFFERS["h2c"], b"") + b"GET * HTTP/1.1\r\n\r\n")
        assert len(caller.requests) == 1 and not caller.transport.written
        await caller.answer(0)
        found = caller.transport.written
        assert found.index(b"HTTP/1.1 200 ") < found.index(b"HTTP/1.1 400 ")

    run(check)


def test_a_head_without_end_behind_an_offer_is_refused_at_the_limit():
    """Guards against a limit of a head that no longer holds after an offer."""

    async def check():
        caller = Caller(LIMITS)
        await caller.send(encode_request(b"/a", OFFERS["h2c"], b"") + b"GET /b HTTP/1.1\r\nX: ")
        await caller.answer(0)
        sent = 0
        while b"HTTP/1.1 431 " not in caller.transport.written:
            await caller.send(b"y" * 50)
            sent += 50
            assert sent <= LIMITS.header_bytes + 50
        assert len(caller.requests) == 1

    run(check)
