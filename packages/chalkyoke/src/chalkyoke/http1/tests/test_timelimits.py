"""Tests of the time in which a body may arrive."""

import asyncio

import pytest
from chalkyoke.http1.incoming import ServerLimits
from chalkyoke.http1.timelimits import MIN_BODY_BYTES_PER_S, BodyTime

from tests import virtual

from .test_server import POST, POST_CHUNKS, Caller

BASE_S = 2.0
LIMITS = ServerLimits(header_timeout_s=BASE_S)
# As many bytes as the lowest accepted rate brings in five times the base.
SIZE = int(5 * BASE_S * MIN_BODY_BYTES_PER_S)
PIECES = 100
PIECE = b"x" * (SIZE // PIECES)


def test_a_declared_body_has_the_time_for_its_length_from_the_start():
    time = BodyTime(10.0, BASE_S, MIN_BODY_BYTES_PER_S)
    assert time.ends_at == 10.0 + BASE_S + 1.0
    time.on_received(100)
    assert time.ends_at == 10.0 + BASE_S + 1.0


def test_a_body_of_unknown_length_has_the_time_for_what_has_come():
    time = BodyTime(10.0, BASE_S, None)
    assert time.ends_at == 10.0 + BASE_S
    time.on_received(MIN_BODY_BYTES_PER_S)
    assert time.ends_at == 10.0 + BASE_S + 1.0
    time.extend(3.0)
    assert time.ends_at == 10.0 + BASE_S + 4.0


UPLOADS = {
    "declared": (POST + b"Content-Length: %d\r\n\r\n" % SIZE, PIECE, b""),
    "chunks": (POST_CHUNKS, b"%x\r\n%b\r\n" % (len(PIECE), PIECE), b"0\r\n\r\n"),
}


@pytest.mark.parametrize("form", UPLOADS)
def test_bodies_may_come_as_slowly_in_chunks_as_with_a_length(form):
    """Guards against a limit on bodies in chunks that is only meant for heads."""
    head, piece, end = UPLOADS[form]

    async def check():
        caller = Caller(LIMITS)
        await caller.send(head)
        for _ in range(PIECES):
            await asyncio.sleep(0.99 * len(PIECE) / MIN_BODY_BYTES_PER_S)
            await caller.send(piece)
        await caller.send(end)
        assert caller.transport.written == b""
        assert [len(request.body) for request, _ in caller.requests] == [SIZE]

    virtual.run(check)


@pytest.mark.parametrize("form", UPLOADS)
def test_a_body_that_comes_too_slowly_is_answered_with_408(form):
    head, piece, _ = UPLOADS[form]

    async def check():
        caller = Caller(LIMITS)
        began = asyncio.get_running_loop().time()
        await caller.send(head)
        for _ in range(PIECES):
            if not caller.transport.ended:
                await asyncio.sleep(2 * len(PIECE) / MIN_BODY_BYTES_PER_S)
                await caller.send(piece)
        took_s = asyncio.get_running_loop().time() - began
        assert caller.transport.written.startswith(b"HTTP/1.1 408 ")
        assert caller.requests == []
        assert BASE_S < took_s <= BASE_S + SIZE / MIN_BODY_BYTES_PER_S + 0.5

    virtual.run(check)


def test_an_upload_without_end_in_tiny_chunks_is_answered_with_408():
    """Guards against the framing of chunks as a way to hold a connection for ever."""

    async def check():
        caller = Caller(LIMITS)
        await caller.send(POST_CHUNKS)
        for _ in range(3):
            await asyncio.sleep(BASE_S / 2)
            await caller.send((b"1;" + b"e" * 4_000 + b"\r\nx\r\n") * 10)
        assert caller.transport.written.startswith(b"HTTP/1.1 408 ")

    virtual.run(check)
